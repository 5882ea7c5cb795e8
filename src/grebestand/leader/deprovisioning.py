"""Reads the cloud's list, and returns machines that are dead, faulty or idle."""

from __future__ import annotations

import logging
import math

from ..clients.cloud import CloudClient
from ..state_machines import MachineState
from ..wire.cloud import ListedMachine
from .machine_reconciliation import MachineReconciliation
from .machine_records import MachineRecords
from .provisioning import GIVEN_UP, PendingMachine, Provisioning
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

LIST_S = 5.0


class Deprovisioning(TermComponent):
    def __init__(
        self,
        context: TermContext,
        cloud: CloudClient,
        provisioning: Provisioning,
        machine_records: MachineRecords,
        machine_reconciliation: MachineReconciliation,
    ) -> None:
        super().__init__(context)
        self.cloud = cloud
        self.provisioning = provisioning
        self.machine_records = machine_records
        self.machine_reconciliation = machine_reconciliation
        self.listed_at = -math.inf
        #: in how many lists in a row a silent machine was missing
        self.unlisted: dict[str, int] = {}
        self.deprovisioning: set[str] = set()

    def read_list(self) -> None:
        """Reads the list again if the last one is old."""
        if self.clock() - self.listed_at >= LIST_S:
            self._read_list(self.cloud.machines())
            self.listed_at = self.clock()

    def _read_list(self, listed: list[ListedMachine]) -> None:
        now = self.clock()
        seen = set()
        self.provisioning.listed_pending = {}
        dead: list[str] = []
        lag = self.context.settings.params.cloud.list_lag_s
        for entry in listed:
            seen.add(entry.id)
            m = self.inventory.by_name.get(entry.id)
            if entry.state == "failed":
                dead.append(entry.id)
            elif m is None and entry.id not in self.deprovisioning:
                # its age is that of the time which the list describes
                e = PendingMachine(entry.type, entry.zone, entry.spot, now - entry.age_s)
                if entry.age_s > GIVEN_UP * self.provisioning.boots.usual_s(entry.type):
                    log.info("machine %s never came up", entry.id)
                    dead.append(entry.id)
                else:
                    self.provisioning.listed_pending[entry.id] = self.provisioning.expected.get(entry.id, e)
            self.provisioning.expected.pop(entry.id, None)
        for name in [n for n, e in self.provisioning.expected.items() if now - e.since > 4 * lag + 10]:
            del self.provisioning.expected[name]
        limit = self.context.policy_evaluator.value("dead_after_s")
        for m in list(self.inventory.machines):
            if m.state in (MachineState.READY, MachineState.NEW):
                self.unlisted.pop(m.name, None)
                continue
            missing = self.unlisted.get(m.name, 0) + 1 if m.name not in seen else 0
            self.unlisted[m.name] = missing
            silent = now - max(m.last_heard_at, self.context.started_at)
            # what is recorded has been up for a while, so a list that is not older than twice its lag names it
            # unless it is gone; deleting it proves that, long before its lease would
            vanished = missing >= 2 and silent > 2.5 * lag
            if vanished or (silent > limit and m.state is MachineState.LEASE_EXPIRED):
                log.info("machine %s is given up, silent for %.0f s", m.name, silent)
                dead.append(m.name)
        if dead:
            self._remove(dead)

    def _remove(self, names: list[str]) -> None:
        """Deletes machines. Once the cloud has answered, they and all that was on them are gone."""
        for start in range(0, len(names), 100):
            batch = names[start : start + 100]
            for name in batch:
                m = self.inventory.by_name.get(name)
                if m is not None and m.drain is None:
                    m.drain = "return"
            self.election.guard()
            self.cloud.remove(batch)
            now = self.clock()
            # not before: one whose deletion was not answered has to be found again
            self.deprovisioning.update(batch)
            for name in batch:
                m = self.inventory.by_name.get(name)
                if m is not None:
                    self.machine_records.pages.drop(name, soon=True)
                    self.inventory.move(m, MachineState.GONE, now)
                self.unlisted.pop(name, None)
            self.machine_reconciliation.check(now)
            log.info("returned %s", ", ".join(batch))
        if len(self.deprovisioning) > 2000:
            self.deprovisioning.clear()

    def return_idle(self) -> None:
        """Returns faulty machines once they are empty, and what has been idle beyond the plan and the cushion."""
        policy_evaluator = self.context.policy_evaluator
        settled = (MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.SUSPECT)
        going = [
            m
            for m in self.inventory.machines
            if not m.allocations and m.state in settled and m.drain in ("faulty", "slow", "return")
        ]
        for m in self.context.scheduler.renting.surplus(
            policy_evaluator.value("keep_empty"), policy_evaluator.value("idle_return_s"), self.clock()
        ):
            m.drain = "return"
            going.append(m)
        if going:
            self._remove([m.name for m in going[:100]])
