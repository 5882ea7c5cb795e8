"""Stores which machines there are: only recorded ones get tasks, so that a later leader knows where to look."""

from __future__ import annotations

import msgspec

from ..cluster_state.machine import Machine
from ..flow_control.rate_limiter import Urgency
from ..state_machines import MachineState
from ..storage.leader_records import MachineRecord
from .term_context import TermComponent, TermContext


class MachineRecords(TermComponent):
    """Restores the machines that an earlier leader recorded, and records new ones."""

    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self.pages = self.writer.pages("machines/")

    def load(self, now: float) -> None:
        """Restore all recorded machines; each is unreconciled until its state is known.

        Raises:
            StoreError: the store could not be reached.
        """
        for name, value in self.pages.load(self.writer.store.pairs(self.pages.prefix)):
            if name not in self.inventory.by_name:
                record = msgspec.convert(value, MachineRecord)
                self.inventory.add_machine(name, record.addr, record.type, record.zone, record.spot, now, recorded=True)
        self.registry.unreconciled_machines = {machine.index for machine in self.inventory.machines}

    def record(self) -> None:
        """Record new machines, after which they may get tasks.

        Raises:
            FencedError: this term may not write any more.
            StoreError: the store could not be reached; the machines are recorded by the next call.
        """
        unrecorded = [machine for machine in self.inventory.machines if self._should_record(machine)]
        for machine in unrecorded:
            self.pages.put(machine.name, self._record_of(machine))
        self.pages.save(Urgency.TAKEOVER)
        now = self.clock()
        for machine in unrecorded:
            if machine.state is MachineState.GONE:
                continue  # deleted during the write, and its record was dropped
            machine.recorded = True
            if machine.state is MachineState.NEW and machine.token == self.token:
                self.inventory.change_state(machine, MachineState.READY, now)

    def _should_record(self, machine: Machine) -> bool:
        """Return whether a machine is new and certain to exist.

        It exists if its worker has seen this term's token, or none at all. Any other heartbeat may be the late copy of
        a machine that has been deleted, which must not be recorded again.
        """
        if machine.recorded or machine.state is not MachineState.NEW:
            return False
        return machine.joined_without_token or machine.token == self.token

    def _record_of(self, machine: Machine) -> MachineRecord:
        registry = self.registry
        return MachineRecord(
            type=registry.machine_types.name(machine.type_index),
            zone=registry.zones.name(machine.zone_index),
            spot=machine.spot,
            addr=machine.addr,
        )
