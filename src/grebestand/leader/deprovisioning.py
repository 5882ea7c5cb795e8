"""Compares the cloud's list of machines with the inventory, and returns machines that are dead, faulty or idle."""

from __future__ import annotations

import logging
import math

from ..clients.cloud import CloudClient
from ..cluster_state.machine import Machine
from ..log_events import LogEvent
from ..state_machines import MachineState
from ..wire.cloud import ListedMachine
from .machine_reconciliation import MachineReconciliation
from .machine_records import MachineRecords
from .provisioning import Provisioning
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: The interval between two reads of the cloud's list, in seconds.
LIST_INTERVAL_S = 5.0
#: A rented machine that no list has shown for this many list lags and seconds is not expected any more.
UNLISTED_LAGS, UNLISTED_MARGIN_S = 4, 10
#: A silent machine has vanished if this many lists in a row lack it, and it has been silent for this many list lags: a
#: recorded machine has been up for a while, so that a list no older than twice its lag names it unless it is gone.
VANISHED_LISTS, VANISHED_LAGS = 2, 2.5
#: Machines that are deleted by one request.
MAX_DELETED_PER_REQUEST = 100
#: Deleted machines are remembered up to this number; lists stop naming them after their lag.
MAX_DELETED_REMEMBERED = 2000
#: What the cloud calls a machine that will not boot.
FAILED = "failed"
#: Marks a machine that is to be deleted once it is empty.
RETURN = "return"
#: Reasons of a drain after which an empty machine is deleted.
RETURNED_DRAINS = ("faulty", "slow", RETURN)


class Deprovisioning(TermComponent):
    """Deletes machines in the cloud, and removes them from the inventory and the records."""

    def __init__(
        self,
        context: TermContext,
        *,
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
        #: when the cloud's list was last read
        self.listed_at = -math.inf
        #: how many lists in a row lacked a silent machine
        self._missing_lists: dict[str, int] = {}
        #: machines that the cloud has deleted and may still list
        self._deleted: set[str] = set()

    def read_list(self) -> None:
        """Read the cloud's list if the last one is old, and delete the machines that it shows to be dead.

        Raises:
            CloudError: the cloud could not be reached.
            FencedError: this term may not give commands any more.
        """
        if self.clock() - self.listed_at >= LIST_INTERVAL_S:
            self._apply_list(self.cloud.machines())
            self.listed_at = self.clock()

    def _apply_list(self, listed: list[ListedMachine]) -> None:
        now = self.clock()
        dead = self._record_list(listed, now)
        list_lag_s = self.context.settings.params.cloud.list_lag_s
        self.provisioning.forget_unlisted(now, UNLISTED_LAGS * list_lag_s + UNLISTED_MARGIN_S)
        dead += self._dead_machines({entry.id for entry in listed}, now)
        if dead:
            self._remove(dead)

    def _record_list(self, listed: list[ListedMachine], now: float) -> list[str]:
        """Record which machines are on their way; return those that failed or take too long to boot."""
        dead: list[str] = []
        self.provisioning.begin_list()
        for entry in listed:
            pending = False
            if entry.state == FAILED:
                dead.append(entry.id)
            elif entry.id not in self.inventory.by_name and entry.id not in self._deleted:
                pending = not self.provisioning.boots.is_given_up(entry.type, entry.age_s)
                if not pending:
                    log.info(LogEvent("machine_never_started", machine=entry.id))
                    dead.append(entry.id)
            self.provisioning.record_listed(entry, now, pending=pending)
        return dead

    def _dead_machines(self, listed: set[str], now: float) -> list[str]:
        """Return the silent machines that are gone from the list, or silent for too long.

        The deletion of a machine that is gone from the list proves that it runs nothing, long before its lease would.
        """
        dead: list[str] = []
        silent_limit_s = self.context.policy_evaluator.value("dead_after_s")
        vanished_after_s = VANISHED_LAGS * self.context.settings.params.cloud.list_lag_s
        for machine in list(self.inventory.machines):
            if machine.state in (MachineState.READY, MachineState.NEW):
                self._missing_lists.pop(machine.name, None)
                continue
            missing = self._missing_lists.get(machine.name, 0) + 1 if machine.name not in listed else 0
            self._missing_lists[machine.name] = missing
            silent_s = now - max(machine.last_heard_at, self.context.started_at)
            vanished = missing >= VANISHED_LISTS and silent_s > vanished_after_s
            if vanished or (silent_s > silent_limit_s and machine.state is MachineState.LEASE_EXPIRED):
                log.info(LogEvent("machine_given_up", machine=machine.name, silent_s=silent_s))
                dead.append(machine.name)
        return dead

    def return_idle(self) -> None:
        """Delete faulty machines once they are empty, and those idle beyond the plan and the policy's reserve.

        Raises:
            CloudError: the cloud could not be reached.
            FencedError: this term may not give commands any more.
        """
        evaluator = self.context.policy_evaluator
        returned = [machine for machine in self.inventory.machines if self._may_return(machine)]
        for machine in self.context.scheduler.scale_out.surplus(
            evaluator.value("keep_empty"), evaluator.value("idle_return_s"), self.clock()
        ):
            machine.drain_reason = RETURN
            returned.append(machine)
        if returned:
            self._remove([machine.name for machine in returned[:MAX_DELETED_PER_REQUEST]])

    @staticmethod
    def _may_return(machine: Machine) -> bool:
        known = (MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.SUSPECT)
        return not machine.allocations and machine.state in known and machine.drain_reason in RETURNED_DRAINS

    def _remove(self, names: list[str]) -> None:
        """Delete machines; once the cloud has answered, they and all that ran on them are gone."""
        for start in range(0, len(names), MAX_DELETED_PER_REQUEST):
            self._delete(names[start : start + MAX_DELETED_PER_REQUEST])
        if len(self._deleted) > MAX_DELETED_REMEMBERED:
            self._deleted.clear()

    def _delete(self, names: list[str]) -> None:
        for name in names:
            machine = self.inventory.by_name.get(name)
            if machine is not None and machine.drain_reason is None:
                machine.drain_reason = RETURN
        self.election.guard()
        self.cloud.remove(names)
        now = self.clock()
        # not before: a machine whose deletion was not answered has to be found in the list again
        self._deleted.update(names)
        for name in names:
            machine = self.inventory.by_name.get(name)
            if machine is not None:
                self.machine_records.pages.drop(name, soon=True)
                self.inventory.change_state(machine, MachineState.GONE, now)
            self._missing_lists.pop(name, None)
        self.machine_reconciliation.check(now)
        log.info(LogEvent("machines_returned", machines=names))
