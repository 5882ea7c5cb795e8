"""Reconciliation of heartbeats with the cluster state: which of them say how their machine is now.

Heartbeats may be lost, delayed, duplicated or overtaken, and may come from before a failover. This module decides what
a heartbeat is evidence of; `task_reconciliation` applies what it says of tasks. The argument is in docs/design.md.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import Allocation
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import (
    MISSED_RESPONSES_BEFORE_SUSPICION,
    SILENT_AFTER_INTERVALS,
    MachineInventory,
)
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..log_events import LogEvent
from ..metrics.duration_sketches import DurationSketches
from ..scheduling.machine_health import MachineHealth
from ..scheduling.stragglers import StragglerDetector
from ..state_machines import AllocationState, MachineState, Reception
from ..wire.workers import Heartbeat, TaskPhase
from .task_reconciliation import REPORTED_STATES, TaskReconciler

log = logging.getLogger(__name__)

#: A worker drops a response after 4 s, and a direct question may wait 3 s for its answer. Only an answer that comes
#: later than both together after a start command shows that the command never arrived.
START_COMMAND_LOST_AFTER_S = 8.0
#: Nothing but responses renews a lease, so an epoch that lasts for this many leases shows that responses arrive. More
#: than one lease, since the first heartbeat of an epoch may be seen late.
RESPONSES_ARRIVE_AFTER_LEASES = 1.4
#: Value of `Machine.drain` once the provider has announced that it reclaims the machine.
RECLAIMED = "recall"


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a heartbeat that says how its machine is now can show."""

    #: It answers a direct question, so it is no delayed copy, but may overtake a response.
    solicited: bool
    #: It can't be of a previous life of the machine.
    proven: bool
    #: The machine had been silent before: it may be trying other controllers, as no response reaches it.
    rarely_heard: bool


class HeartbeatReconciler:
    """Applies heartbeats to the cluster state, each as far as it is evidence of the present."""

    def __init__(
        self,
        registry: JobRegistry,
        inventory: MachineInventory,
        dispatch: Dispatch,
        run_times: RunTimeEstimates,
        health: MachineHealth,
        stragglers: StragglerDetector,
        sketches: DurationSketches,
    ) -> None:
        self.registry = registry
        self.inventory = inventory
        self.health = health
        self.sketches = sketches
        self.tasks = TaskReconciler(registry, inventory, dispatch, run_times, health, stragglers)
        #: Fencing token of this term.
        self.token = dispatch.token

    def read(self, heartbeat: Heartbeat, now: float, solicited: bool) -> Machine | None:
        """Reconcile one heartbeat with the cluster state.

        A task's result never changes, so it counts from any heartbeat. All else is taken only from one that is newer
        than any before and carries this term's token: its worker sent it after a response of this term, so no command
        of an earlier leader can take effect behind it.

        Args:
            heartbeat: The heartbeat, checked for form.
            now: The present time, in seconds.
            solicited: Whether it is the answer to a question that this leader asked the worker directly, so that it
                cannot be a delayed copy.

        Returns:
            The machine, or None if the heartbeat shows nothing of how its machine is now. A machine that does not know
            of this term yet is returned as well, to be answered.
        """
        machine = self._find_or_add(heartbeat, now)
        if machine is None:
            return None
        epoch, sequence = heartbeat.epoch, heartbeat.sequence
        newer = (epoch, sequence) > (machine.epoch, machine.sequence)
        current_term = heartbeat.token == self.token
        if not newer or not current_term or not self._is_consistent(machine, heartbeat, solicited, now):
            self.tasks.apply_results(machine, heartbeat, now)
            return self._handle_unusable(machine, heartbeat, newer, current_term, now)
        # a heartbeat within the counts of the machine's previous life may be a delayed copy from then
        proven = solicited or (epoch, sequence) > machine.previous_epoch_end
        if not proven and machine.epoch and epoch != machine.epoch:
            self.tasks.apply_results(machine, heartbeat, now)
            self.inventory.to_query.add(machine.index)
            return None

        epoch_began = epoch > machine.epoch
        silence_s = now - machine.last_heard_at
        machine.record_heartbeat(heartbeat, self.token, now)
        if epoch_began:
            self._end_allocations_before(machine, epoch, now)
        if machine.state is not MachineState.READY:
            self._record_sign_of_life(machine, now)
        if not solicited and silence_s < self.inventory.lease_s:
            self.sketches.add("late report", silence_s - self.inventory.report_s)
        absent = self._apply_task_states(machine, heartbeat, now)
        if absent:
            rarely_heard = silence_s > SILENT_AFTER_INTERVALS * self.inventory.report_s
            self._handle_absent(machine, heartbeat, absent, Evidence(solicited, proven, rarely_heard), now)
        if machine.state is MachineState.UNRECONCILED:
            self._reconcile_machine(machine, heartbeat, now)
        if heartbeat.notice_s is not None and machine.drain_reason != RECLAIMED:
            self._begin_reclaim(machine, heartbeat.notice_s, now)
        return machine

    def restarted(self, machine: Machine, epoch: int, now: float) -> None:
        """Record that a worker counts its heartbeats anew, from `epoch` on.

        The answer that showed this follows, and says what is on the machine. What looked like a restart may have been a
        copy of its previous life; then commands just sent may still take effect, so no allocation ends here.
        """
        log.info(LogEvent("machine_restarted", machine=machine.name, epoch=epoch))
        machine.record_restart(epoch)

    # evidence ---------------------------------------------------------------------------------------------

    def _find_or_add(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """Return the heartbeat's machine; None if it was deleted, as the heartbeat was then sent before."""
        machine = self.inventory.by_name.get(heartbeat.machine)
        if machine is not None:
            return machine
        if self.inventory.was_deleted(heartbeat.machine, now):
            return None
        machine = self.inventory.add(
            heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.spot, now
        )
        machine.has_seen_no_term = not heartbeat.token
        log.info(LogEvent("machine_discovered", machine=machine.name, type=heartbeat.type, zone=heartbeat.zone))
        return machine

    def _is_consistent(self, machine: Machine, heartbeat: Heartbeat, solicited: bool, now: float) -> bool:
        """Return whether a new heartbeat of this term fits what is known of its machine; if not, it is queried."""
        if solicited:
            self.inventory.change_reception(machine, Reception.REACHABLE, "it answered a direct question", now)
            return True
        if machine.reception is Reception.UNREACHABLE:
            # that its heartbeats arrive says nothing of whether responses do
            return self._has_outlived_lease(machine, heartbeat, now)
        if machine.state is MachineState.LEASE_EXPIRED and heartbeat.epoch <= machine.epoch:
            return False  # an expired lease begins a later epoch, so this was sent before
        if heartbeat.epoch > machine.epoch and (machine.epoch or machine.state is MachineState.LEASE_EXPIRED):
            return self._accept_ended_lease(machine, now)
        return True

    def _accept_ended_lease(self, machine: Machine, now: float) -> bool:
        """Return whether a later epoch shows that the lease ended, rather than an earlier life of the machine.

        The worker was away, or its heartbeats arrive and responses do not. In the latter case they come rarely, as it
        tries one controller after the other; in between its lease expires here, and each heartbeat would have it used
        again, so this counts as enough missed responses for suspicion.
        """
        self.inventory.record_missed_response(
            machine, "it began a new epoch: its lease expired", now, MISSED_RESPONSES_BEFORE_SUSPICION
        )
        # Answered within a lease, either the response was lost, or this is a copy of an earlier life whose epochs are
        # not known here. Accepted, the copy would end running tasks and start them a second time.
        answered_within_lease = machine.state is not MachineState.LEASE_EXPIRED and not self.inventory.lease_expired(
            machine, now
        )
        return not (machine.allocations and answered_within_lease)

    def _has_outlived_lease(self, machine: Machine, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether an unreachable machine has stayed in one epoch for longer than its lease.

        Once its lease has expired it holds nothing and is answered again. If the responses arrive, no further lease
        expires; so it is known to be reachable even where it cannot be queried directly.
        """
        if machine.state is not MachineState.LEASE_EXPIRED or heartbeat.epoch < machine.unreachable_epoch:
            return False
        if heartbeat.epoch > machine.unreachable_epoch:
            machine.record_epoch_while_unreachable(heartbeat.epoch, now)
        if now - machine.unreachable_since <= RESPONSES_ARRIVE_AFTER_LEASES * self.inventory.lease_s:
            return False
        self.inventory.change_reception(
            machine, Reception.REACHABLE, "its epoch outlived its lease, which responses renew", now
        )
        return True

    def _handle_unusable(
        self, machine: Machine, heartbeat: Heartbeat, newer: bool, current_term: bool, now: float
    ) -> Machine | None:
        """Handle a heartbeat that does not say how its machine is now; return the machine if it is to be answered."""
        if newer and not current_term:
            if machine.token != self.token:
                # it does not know of this term yet: the response tells it, and its next heartbeat is evidence
                if machine.epoch:
                    self.inventory.record_missed_response(machine, "its heartbeats carry an older token", now)
                machine.record_heartbeat(heartbeat, machine.token, now)
                return machine
            # within one life counts only rise, and so does the token: this is another life
            machine.close_previous_epoch()
        # a delayed copy, or a worker that counts anew: only its answer to a question asked now tells which
        self.inventory.to_query.add(machine.index)
        return None

    @staticmethod
    def _runs_unknown_tasks(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Return whether something runs there that has no allocation: of a job that is over, or a second copy.

        It was cancelled while there was no leader, or completed elsewhere, and is told to stop; no record says whose it
        was. Until it is gone, the machine counts in full against every team, like one that has not been heard:
        otherwise tasks of the same team could start beside it and exceed the team's limit.
        """
        return any(
            status.state is not TaskPhase.EXITED and status.task not in machine.allocations
            for status in heartbeat.tasks
        )

    # what follows -----------------------------------------------------------------------------------------

    def _record_sign_of_life(self, machine: Machine, now: float) -> None:
        """Change the state of a machine that is not ready and has been heard."""
        if machine.state is MachineState.LEASE_EXPIRED:
            self.inventory.move(machine, MachineState.READY if machine.recorded else MachineState.NEW, now)
        elif machine.state is MachineState.SUSPECT or (machine.state is MachineState.NEW and machine.recorded):
            self.inventory.move(machine, MachineState.READY, now)

    def _end_allocations_before(self, machine: Machine, epoch: int, now: float) -> None:
        """End what was sent in earlier epochs: the lease ended in between, and the worker killed all its tasks."""
        for allocation in [a for a in machine.allocations.values() if a.epoch < epoch]:
            if allocation.state is AllocationState.QUEUED:
                allocation.epoch = epoch
            else:
                self.tasks.end_allocation(machine, allocation, "lease ended", now)

    def _apply_task_states(self, machine: Machine, heartbeat: Heartbeat, now: float) -> list[Allocation]:
        """Apply the reported state of each task, and return the allocations that were sent and are not reported."""
        allocations, sequence = machine.allocations, heartbeat.sequence
        # Written out, since it runs for every task of every heartbeat: nearly all are known and in the state they were.
        for status in heartbeat.tasks:
            allocation = allocations.get(status.task)
            if allocation is None or allocation.attempt != status.attempt or status.state is TaskPhase.EXITED:
                self.tasks.apply_exited_or_unknown(machine, status, now)
                continue
            allocation.reported_sequence = sequence
            if allocation.state is not REPORTED_STATES[status.state]:
                self.tasks.apply_state(machine, allocation, REPORTED_STATES[status.state], now)
        return [
            allocation
            for allocation in allocations.values()
            if allocation.reported_sequence != sequence and allocation.state is not AllocationState.QUEUED
        ]

    def _handle_absent(
        self,
        machine: Machine,
        heartbeat: Heartbeat,
        absent: list[Allocation],
        evidence: Evidence,
        now: float,
    ) -> None:
        """Handle allocations that were sent to a machine and are not in its heartbeat."""
        start_lost = False
        for allocation in absent:
            if allocation.state is AllocationState.GONE:
                continue  # ended together with another task of its gang
            if allocation.state is AllocationState.SENT:
                if not self._start_was_lost(allocation, heartbeat, evidence.solicited, now):
                    continue
                start_lost = True
                if allocation.stop_reason is None and allocation.job.live:
                    self.registry.move_allocation(allocation, AllocationState.SENT, now)
                    allocation.record_lost_start()
                    continue
            if evidence.proven:
                reason = "never started" if allocation.state is AllocationState.SENT else "vanished"
                self.tasks.end_allocation(machine, allocation, reason, now)
            else:
                # a delayed heartbeat of its previous life would not list it either
                self.inventory.to_query.add(machine.index)
        if start_lost:
            missed = MISSED_RESPONSES_BEFORE_SUSPICION if evidence.rarely_heard else 1
            self.inventory.record_missed_response(machine, "start commands had no effect", now, missed)

    @staticmethod
    def _start_was_lost(allocation: Allocation, heartbeat: Heartbeat, solicited: bool, now: float) -> bool:
        """Return whether a heartbeat without this allocation shows that its start command never arrived.

        The answer to a direct question may overtake the response that carries the command, so it counts only once that
        response can no longer arrive.
        """
        if solicited:
            return now - allocation.start_sent_at > START_COMMAND_LOST_AFTER_S
        return (heartbeat.epoch, heartbeat.sequence) > (allocation.sent_epoch, allocation.sent_sequence)

    def _reconcile_machine(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Record that an unreconciled machine's state is known, unless unknown tasks run there."""
        self.inventory.confirm_reception(machine, now)  # only a response of this term can have carried its token
        if not self._runs_unknown_tasks(machine, heartbeat):
            self.inventory.move(machine, MachineState.READY, now)

    def _begin_reclaim(self, machine: Machine, notice_s: float, now: float) -> None:
        """Stop what is on a machine that the provider has announced to reclaim."""
        log.info(LogEvent("machine_reclaim_announced", machine=machine.name, notice_s=notice_s))
        machine.drain_reason = RECLAIMED
        machine.terminates_at = now + notice_s
        self.health.evacuate(machine, now)
