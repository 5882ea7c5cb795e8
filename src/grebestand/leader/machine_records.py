"""Which machines are on record: only those may be given tasks, as a later leader is sure to know of them."""

from __future__ import annotations

import msgspec

from ..cluster_state.machine import Machine
from ..flow_control.rate_limiter import Urgency
from ..state_machines import MachineState
from ..storage.leader_records import MachineRecord
from .term_context import TermComponent, TermContext


class MachineRecords(TermComponent):
    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self.pages = self.writer.pages("machines/")

    def load(self, now: float) -> None:
        for name, value in self.pages.load(self.writer.store.pairs(self.pages.prefix)):
            if name not in self.inventory.by_name:
                record = msgspec.convert(value, MachineRecord)
                where = record.addr, record.type, record.zone, record.spot
                self.inventory.add(name, *where, now, recorded=True)
        self.registry.anywhere = {m.index for m in self.inventory.machines}

    def record(self) -> None:
        """A machine gets tasks only once a later leader is sure to know of it."""
        # one that echoes this term's token is there, and one that has heard of no term at all is new; a late copy of
        # one that is gone would put it on record again
        new = [
            m
            for m in self.inventory.machines
            if not m.recorded and m.state is MachineState.NEW and (m.has_seen_no_term or m.token == self.token)
        ]
        for m in new:
            self.pages.put(m.name, self._record_of(m))
        self.pages.save(Urgency.TAKEOVER)
        now = self.clock()
        for m in new:
            if m.state is MachineState.GONE:
                continue  # and its record was dropped
            m.recorded = True
            if m.state is MachineState.NEW and m.token == self.token:
                self.inventory.move(m, MachineState.READY, now)

    def _record_of(self, m: Machine) -> MachineRecord:
        names = self.registry
        return MachineRecord(names.machine_types.name(m.kind), names.zones.name(m.zone), m.spot, m.addr)
