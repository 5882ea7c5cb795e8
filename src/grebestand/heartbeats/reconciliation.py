"""Reconciliation of heartbeats with the cluster state: which heartbeats show the current state of their machine.

Heartbeats may be lost, delayed, duplicated or reordered, and may have been sent before a failover. This module decides
what a heartbeat is evidence of; `task_reconciliation` applies the task states in the heartbeat. The reasoning is
explained in docs/design.md.
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

#: Time after which a start command that the answer to a direct query does not reflect is lost, in seconds. A worker
#: discards a response after 4 s, and a direct query may wait 3 s for the answer, so an earlier answer may have been
#: sent before the start command arrived.
START_COMMAND_LOST_AFTER_S = 8.0
#: An epoch that lasts for this many lease durations shows that responses arrive, since only responses renew a lease.
#: Above 1, since the first heartbeat of an epoch may be received late.
RESPONSES_ARRIVE_AFTER_LEASES = 1.4
#: Value of `Machine.drain_reason` once the provider has announced that it reclaims the machine.
RECLAIMED = "recall"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Properties of a heartbeat that decide what tasks missing from it show."""

    #: Whether the heartbeat answers a direct query. Such a heartbeat is not a delayed copy, but it may have been sent
    #: before the last response arrived.
    solicited: bool
    #: Whether the heartbeat is certain to be from after the worker's last restart.
    proven_current: bool
    #: Whether the machine was silent before the heartbeat. Its worker may be trying other controllers, since it
    #: receives no responses.
    was_silent: bool


class HeartbeatReconciler:
    """Applies heartbeats to the cluster state, as far as each is evidence of the current state of its machine."""

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
        #: Fencing token of the current term.
        self.token = dispatch.token

    def reconcile(self, heartbeat: Heartbeat, now: float, solicited: bool) -> Machine | None:
        """Reconcile one heartbeat with the cluster state.

        Results of tasks are accepted from any heartbeat, since they never change. Everything else is accepted only from
        a heartbeat that is newer than all before and carries the token of the current term. The worker sent such a
        heartbeat after it received a response of this term, so it no longer accepts commands of an earlier leader.

        Args:
            heartbeat: The heartbeat, which has been validated.
            now: The current time, in seconds.
            solicited: Whether the heartbeat answers a direct query of this leader, so that it cannot be a delayed copy.

        Returns:
            The machine if the heartbeat is to be answered: the heartbeat shows the machine's current state, or the
            worker does not know the current term yet. None otherwise.
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
        # a heartbeat that is not above the counts reached before the last restart may be a delayed copy from then
        proven = solicited or (epoch, sequence) > machine.pre_restart_bound
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
            self._restore_active_state(machine, now)
        if not solicited and silence_s < self.inventory.lease_s:
            self.sketches.add("late report", silence_s - self.inventory.heartbeat_interval_s)
        absent = self._apply_task_states(machine, heartbeat, now)
        if absent:
            was_silent = silence_s > SILENT_AFTER_INTERVALS * self.inventory.heartbeat_interval_s
            self._handle_absent(machine, heartbeat, absent, Evidence(solicited, proven, was_silent), now)
        if machine.state is MachineState.UNRECONCILED:
            self._reconcile_machine(machine, heartbeat, now)
        if heartbeat.notice_s is not None and machine.drain_reason != RECLAIMED:
            self._begin_reclaim(machine, heartbeat.notice_s, now)
        return machine

    def record_worker_restart(self, machine: Machine, epoch: int, now: float) -> None:
        """Record that a worker has restarted, so that its epochs and sequence numbers start over.

        The caller reconciles the answer that showed the restart afterwards, which lists the tasks on the machine. No
        allocation ends before: if the worker has not restarted after all, commands just sent may still take effect.

        Args:
            machine: The machine.
            epoch: The worker's epoch after the restart.
            now: The current time, in seconds.
        """
        log.info(LogEvent("machine_restarted", machine=machine.name, epoch=epoch))
        machine.record_restart(epoch)

    # evidence ---------------------------------------------------------------------------------------------

    def _find_or_add(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """Return the machine of a heartbeat, and add an unknown machine to the inventory.

        Returns None for a deleted machine, whose heartbeat must be a delayed copy from before the deletion.
        """
        machine = self.inventory.by_name.get(heartbeat.machine)
        if machine is not None:
            return machine
        if self.inventory.was_deleted(heartbeat.machine, now):
            return None
        machine = self.inventory.add_machine(
            heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.spot, now
        )
        machine.joined_without_token = not heartbeat.token
        log.info(LogEvent("machine_discovered", machine=machine.name, type=heartbeat.type, zone=heartbeat.zone))
        return machine

    def _is_consistent(self, machine: Machine, heartbeat: Heartbeat, solicited: bool, now: float) -> bool:
        """Return whether a newer heartbeat of the current term is consistent with what is known of its machine."""
        if solicited:
            self.inventory.change_reception(machine, Reception.REACHABLE, "the worker answered a direct query", now)
            return True
        if machine.reception is Reception.UNREACHABLE:
            # heartbeats that arrive do not show that responses reach the worker
            return self._has_outlived_lease(machine, heartbeat, now)
        if machine.state is MachineState.LEASE_EXPIRED and heartbeat.epoch <= machine.epoch:
            return False  # sent before the lease expired, as the worker then begins a later epoch
        if heartbeat.epoch > machine.epoch and (machine.epoch or machine.state is MachineState.LEASE_EXPIRED):
            return self._accept_expired_lease(machine, now)
        return True

    def _accept_expired_lease(self, machine: Machine, now: float) -> bool:
        """Return whether a heartbeat with a later epoch shows that the machine's lease expired.

        The alternative is a delayed heartbeat from before a restart of the worker. An expired lease also makes the
        machine's reception suspected at once: a worker that receives no responses tries one controller after the other,
        so its heartbeats arrive here rarely. Its lease expires in between, and each heartbeat would otherwise make the
        machine available for tasks again.
        """
        self.inventory.record_missed_response(
            machine, "the worker began a new epoch, so its lease expired", now, MISSED_RESPONSES_BEFORE_SUSPICION
        )
        # If the machine was answered within the last lease, either that response was lost, or this heartbeat is a
        # delayed copy from before a restart, with epochs that this leader has not seen. Accepting a delayed copy would
        # end the allocations of running tasks and start the tasks a second time.
        answered_within_lease = (
            machine.state is not MachineState.LEASE_EXPIRED and not self.inventory.has_lease_expired(machine, now)
        )
        return not (machine.allocations and answered_within_lease)

    def _has_outlived_lease(self, machine: Machine, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether an unreachable machine has stayed in one epoch for longer than its lease.

        Once the lease of an unreachable machine has expired, no tasks run there, and its heartbeats are answered again.
        If the responses arrive, they renew the lease and the epoch does not change. The machine thus becomes reachable
        again even if direct queries cannot reach its worker.
        """
        if machine.state is not MachineState.LEASE_EXPIRED or heartbeat.epoch < machine.unreachable_epoch:
            return False
        if heartbeat.epoch > machine.unreachable_epoch:
            machine.record_epoch_while_unreachable(heartbeat.epoch, now)
        if now - machine.unreachable_since <= RESPONSES_ARRIVE_AFTER_LEASES * self.inventory.lease_s:
            return False
        self.inventory.change_reception(
            machine, Reception.REACHABLE, "the epoch lasted longer than a lease, so responses arrive", now
        )
        return True

    def _handle_unusable(
        self, machine: Machine, heartbeat: Heartbeat, newer: bool, current_term: bool, now: float
    ) -> Machine | None:
        """Handle a heartbeat that does not show the current state of its machine.

        Returns:
            The machine if the heartbeat is to be answered, else None.
        """
        if newer and not current_term:
            if machine.token != self.token:
                # The worker does not know the current term yet. The response carries the new token, so that the next
                # heartbeat shows the current state of the machine.
                if machine.epoch:
                    self.inventory.record_missed_response(machine, "heartbeats carry an older token", now)
                machine.record_heartbeat(heartbeat, machine.token, now)
                return machine
            # the worker has acknowledged the current token, which a worker forgets only by a restart
            machine.update_pre_restart_bound()
        # a delayed copy, or a heartbeat from after a restart: only the answer to a direct query shows which
        self.inventory.to_query.add(machine.index)
        return None

    @staticmethod
    def _runs_unallocated_tasks(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Return whether a task without an allocation runs on the machine, of a job that is over or as a duplicate.

        The job was cancelled while there was no leader, or the task completed elsewhere. The task receives a stop
        command, but no record shows which team it belongs to. Until the task is gone, the machine stays unreconciled
        and its whole capacity counts against every team's limit. Otherwise other tasks of the same team could start and
        exceed the limit.
        """
        return any(
            status.state is not TaskPhase.EXITED and status.task not in machine.allocations
            for status in heartbeat.tasks
        )

    # effects ----------------------------------------------------------------------------------------------

    def _restore_active_state(self, machine: Machine, now: float) -> None:
        """Change the state of a machine that is not READY and has sent a valid heartbeat."""
        if machine.state is MachineState.LEASE_EXPIRED:
            self.inventory.change_state(machine, MachineState.READY if machine.recorded else MachineState.NEW, now)
        elif machine.state is MachineState.SUSPECT or (machine.state is MachineState.NEW and machine.recorded):
            self.inventory.change_state(machine, MachineState.READY, now)

    def _end_allocations_before(self, machine: Machine, epoch: int, now: float) -> None:
        """End the allocations that were sent in earlier epochs.

        The machine's lease expired between the epochs, so the worker has killed all its tasks.
        """
        for allocation in [a for a in machine.allocations.values() if a.epoch < epoch]:
            if allocation.state is AllocationState.QUEUED:
                allocation.epoch = epoch
            else:
                self.tasks.end_allocation(machine, allocation, "lease ended", now)

    def _apply_task_states(self, machine: Machine, heartbeat: Heartbeat, now: float) -> list[Allocation]:
        """Apply the reported state of each task, and return the sent allocations that the heartbeat does not list."""
        allocations, sequence = machine.allocations, heartbeat.sequence
        # Inlined, since this runs for each task of each heartbeat, and nearly all tasks are known and unchanged.
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
        """Handle allocations that were sent to a machine and that its heartbeat does not list.

        Args:
            machine: The machine.
            heartbeat: The heartbeat.
            absent: The allocations that the heartbeat does not list.
            evidence: Properties of the heartbeat that decide what the missing tasks show.
            now: The current time, in seconds.
        """
        start_lost = False
        for allocation in absent:
            if allocation.state is AllocationState.GONE:
                continue  # ended in this loop, together with another task of the gang
            if allocation.state is AllocationState.SENT:
                if not self._start_was_lost(allocation, heartbeat, evidence.solicited, now):
                    continue
                start_lost = True
                if allocation.stop_reason is None and allocation.job.is_live:
                    self.registry.change_allocation_state(allocation, AllocationState.SENT, now)
                    allocation.record_lost_start()
                    continue
            if evidence.proven_current:
                reason = "never started" if allocation.state is AllocationState.SENT else "vanished"
                self.tasks.end_allocation(machine, allocation, reason, now)
            else:
                # the heartbeat may be a delayed copy from before a restart, when the task had not started yet
                self.inventory.to_query.add(machine.index)
        if start_lost:
            missed = MISSED_RESPONSES_BEFORE_SUSPICION if evidence.was_silent else 1
            self.inventory.record_missed_response(machine, "start commands had no effect", now, missed)

    @staticmethod
    def _start_was_lost(allocation: Allocation, heartbeat: Heartbeat, solicited: bool, now: float) -> bool:
        """Return whether a heartbeat that does not list an allocation shows that its start command was lost.

        The answer to a direct query may be sent before the response with the start command arrives, so the answer is
        evidence only once that response can no longer arrive.
        """
        if solicited:
            return now - allocation.start_sent_at > START_COMMAND_LOST_AFTER_S
        return (heartbeat.epoch, heartbeat.sequence) > (allocation.sent_epoch, allocation.sent_sequence)

    def _reconcile_machine(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Move an unreconciled machine to READY, unless tasks without an allocation run there."""
        # the worker can have received the current token only with a response of this term
        self.inventory.confirm_reception(machine, now)
        if not self._runs_unallocated_tasks(machine, heartbeat):
            self.inventory.change_state(machine, MachineState.READY, now)

    def _begin_reclaim(self, machine: Machine, notice_s: float, now: float) -> None:
        """Stop the tasks on a machine after the provider has announced to reclaim it in `notice_s` seconds."""
        log.info(LogEvent("machine_reclaim_announced", machine=machine.name, notice_s=notice_s))
        machine.drain_reason = RECLAIMED
        machine.terminates_at = now + notice_s
        self.health.evacuate(machine, now)
