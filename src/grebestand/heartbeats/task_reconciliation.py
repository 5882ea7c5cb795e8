"""Reconciliation of the task states in heartbeats with jobs and allocations."""

from __future__ import annotations

import logging

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import Allocation, GangStartTimeline, Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import MachineInventory
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..log_events import LogEvent
from ..scheduling.machine_health import MachineHealth
from ..scheduling.stragglers import StragglerDetector
from ..state_machines import AllocationState, JobState
from ..wire.jobs import Kind, MalformedError, split_task
from ..wire.workers import ExitReason, Heartbeat, TaskPhase, TaskStatus

log = logging.getLogger(__name__)

#: Allocation state for each task phase in heartbeats. An exited task has no state, since its allocation ends.
REPORTED_STATES = {
    TaskPhase.FETCHING: AllocationState.FETCHING,
    TaskPhase.WAITING: AllocationState.WAITING,
    TaskPhase.RUNNING: AllocationState.RUNNING,
    TaskPhase.SAVING: AllocationState.SAVING,
}
#: How long a gang's machines stay reserved for its next attempt while images are still being fetched, in seconds.
#: Allows for the slowest fetch to finish and for the gang to be placed again.
RESERVED_WHILE_FETCHING_S = 45.0
#: Number of heartbeat intervals before a job that a worker rejected as unknown is started again, so that the job is not
#: rejected by one machine after the other meanwhile.
UNKNOWN_JOB_INTERVALS = 2


class TaskReconciler:
    """Applies the task states and results in heartbeats to allocations, jobs and gangs."""

    def __init__(
        self,
        registry: JobRegistry,
        inventory: MachineInventory,
        dispatch: Dispatch,
        run_times: RunTimeEstimates,
        health: MachineHealth,
        stragglers: StragglerDetector,
    ) -> None:
        self.registry = registry
        self.inventory = inventory
        self.dispatch = dispatch
        self.run_times = run_times
        self.health = health
        self.stragglers = stragglers

    def apply_results(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Record the tasks that are done. Their results are valid however old the heartbeat is."""
        for status in heartbeat.tasks:
            if status.state is TaskPhase.EXITED and status.why is ExitReason.DONE:
                self.apply_exited_or_unknown(machine, status, now)

    def apply_exited_or_unknown(self, machine: Machine, status: TaskStatus, now: float) -> None:
        """Apply the status of a task that has exited, or that has no matching allocation on the machine."""
        try:
            job_id, index = split_task(status.task)
        except MalformedError:
            return  # not a task name
        job = self.registry.jobs.get(job_id)
        if job is None or index >= job.spec.tasks:
            return  # `CommandBuilder` sends a stop command for the task
        if status.state is TaskPhase.EXITED:
            allocation = machine.allocations.get(status.task)
            if allocation is not None and allocation.attempt != status.attempt:
                allocation = None
            if status.why is ExitReason.DONE:
                self._apply_completion(machine, job, index, allocation, now)
            elif allocation is not None:
                self._apply_failure(machine, job, allocation, status, now)
        elif index not in job.allocations and job.is_live and not job.is_done(index):
            allocation = self._adopt(machine, job, index, status.attempt, now)
            allocation.reported_sequence = machine.sequence
            self.apply_state(machine, allocation, REPORTED_STATES[status.state], now)

    def apply_state(self, machine: Machine, allocation: Allocation, state: AllocationState, now: float) -> None:
        """Apply a reported state that differs from the state of the allocation."""
        job = allocation.job
        if allocation.state is AllocationState.SENT:
            self.inventory.confirm_reception(machine, now)
        self.registry.change_allocation_state(allocation, state, now)
        timeline = job.gang_start_timeline
        if timeline is not None and timeline.attempt == allocation.attempt:
            self._record_gang_stage(job, timeline, state, now)
        if state is AllocationState.RUNNING:
            self._log_job_start(job, now)
        if state is not AllocationState.FETCHING:
            self.inventory.record_image(machine, job.image_index, job.spec.image_gb)
            if allocation.keeps_fetching:
                self.dispatch.stop(allocation, "gang broken", 0.0, now)

    def end_allocation(self, machine: Machine, allocation: Allocation, reason: str, now: float) -> None:
        """End an allocation whose task was not completed."""
        job = allocation.job
        if log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("allocation_ended", task=allocation.name, machine=machine.name, reason=reason))
        was_queued = allocation.state is AllocationState.QUEUED
        self.inventory.release(machine, allocation, now)
        if job.is_gang and job.is_live and not was_queued and job.allocations:
            self._stop_rest_of_gang(machine, allocation, reason, now)

    # states -----------------------------------------------------------------------------------------------

    def _adopt(self, machine: Machine, job: Job, index: int, attempt: int, now: float) -> Allocation:
        """Return a new allocation for a task that an earlier leader started and that keeps running."""
        allocation = self.registry.open_allocation(job, index, machine.index, attempt, now)
        allocation.epoch = machine.epoch
        self.inventory.add_allocation(machine, allocation)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("task_adopted", task=allocation.name, machine=machine.name))
        return allocation

    @staticmethod
    def _log_job_start(job: Job, now: float) -> None:
        """Log the start of a job once: of an array with its first task, of a gang once all its tasks run."""
        if not job.start_logged and (not job.is_gang or job.done_count or job.running_count() == job.spec.tasks):
            job.start_logged = True
            log.info(
                LogEvent(
                    "job_started",
                    job_id=job.spec.id,
                    wait_s=now - job.accepted_at,
                    kind=job.spec.kind.name.lower(),
                    tasks=job.spec.tasks,
                )
            )

    @staticmethod
    def _record_gang_stage(job: Job, timeline: GangStartTimeline, state: AllocationState, now: float) -> None:
        """Record the stage that a gang's start has reached; once all its tasks run, log how long each stage took."""
        if state is AllocationState.FETCHING:
            timeline.reported_at = now
        elif state is AllocationState.RUNNING and job.running_count() == job.spec.tasks:
            job.gang_start_timeline = None
            reported = max(timeline.reported_at, timeline.start_sent_at)
            log.info(
                LogEvent(
                    "gang_started",
                    job_id=job.spec.id,
                    tasks=job.spec.tasks,
                    placement_s=timeline.placed_at - timeline.capacity_free_since,
                    grant_s=timeline.grant_durable_at - timeline.placed_at,
                    dispatch_s=timeline.start_sent_at - max(timeline.grant_durable_at, timeline.placed_at),
                    heartbeat_s=reported - timeline.start_sent_at,
                    image_s=now - reported,
                )
            )

    # results ----------------------------------------------------------------------------------------------

    def _apply_completion(
        self, machine: Machine, job: Job, index: int, allocation: Allocation | None, now: float
    ) -> None:
        """Record that a task is done.

        Args:
            machine: The machine that the task ran on.
            job: The job.
            index: The index of the task.
            allocation: The allocation of the attempt that completed the task, if it is known.
            now: The current time, in seconds.
        """
        if allocation is not None:
            if allocation.running_since is not None and job.spec.estimate_s > 0:
                self.run_times.record_run_time(job, now - allocation.running_since)
            self.stragglers.record_run_time(machine, allocation, now)
            self.inventory.release(machine, allocation, now)
        machine.record_success()
        self._mark_done(job, index, now)

    def _mark_done(self, job: Job, index: int, now: float) -> None:
        """Mark a task of a live job as done, or all tasks of a gang, which complete together."""
        if not job.is_live:
            return
        if job.spec.kind is Kind.GANG:
            for gang_index in range(job.spec.tasks):
                self.registry.mark_done(job, gang_index, now)
        elif not job.is_done(index):
            self.registry.mark_done(job, index, now)
            job.unsaved_chunks.setdefault(index // self.registry.chunk_bits, now)
        self._log_job_start(job, now)
        if job.unfinished_count() == 0:
            self.registry.change_job_state(job, JobState.CLOSING, now)

    def _apply_failure(
        self, machine: Machine, job: Job, allocation: Allocation, status: TaskStatus, now: float
    ) -> None:
        """End the allocation of a task that exited without being done, and handle the exit reason."""
        reason = status.why
        if reason is ExitReason.ERROR:
            ran_s = now - allocation.running_since if allocation.running_since is not None else 0.0
            self.health.record_failure(machine, job, ran_s, now)
        elif reason is ExitReason.NO_ROOM:
            # tasks that the leader does not know of use the machine's capacity, so wait for the next heartbeat
            machine.block_until(now + self.inventory.heartbeat_interval_s)
        elif reason is ExitReason.UNKNOWN:
            job.retry_at = max(job.retry_at, now + UNKNOWN_JOB_INTERVALS * self.inventory.heartbeat_interval_s)
        elif reason is ExitReason.STOPPED and status.saved:
            job.record_progress()
        if reason in (ExitReason.BUSY, ExitReason.NO_ROOM, ExitReason.UNKNOWN, ExitReason.ALONE):
            # BUSY: the machine runs another attempt of the task, which its heartbeat lists and which is adopted
            log.info(LogEvent("task_start_failed", task=status.task, machine=machine.name, reason=reason.name.lower()))
        self.end_allocation(machine, allocation, reason.value if reason else "exited", now)

    # gangs ------------------------------------------------------------------------------------------------

    def _stop_rest_of_gang(self, machine: Machine, ended: Allocation, reason: str, now: float) -> None:
        """Stop the other tasks of a gang after one of its tasks has ended without being done.

        The progress of the other tasks since the last checkpoint is lost in any case, and the gang cannot start again
        before all of them are gone. A stop requested earlier keeps its grace period for a checkpoint.
        """
        for other in list(ended.job.allocations.values()):
            if other.attempt != ended.attempt:
                self.dispatch.stop(other, "stale attempt", 0.0, now)
            elif other.stop_reason is None and not self._keep_fetching(machine, other, reason, now):
                self.dispatch.stop(other, "gang broken", 0.0, now)

    def _keep_fetching(self, machine: Machine, allocation: Allocation, reason: str, now: float) -> bool:
        """Return whether a task keeps fetching its image after its gang has timed out waiting for all tasks.

        If so, the machines stay reserved for the gang's next attempt. A worker aborts a fetch that no task waits for.
        If all fetches were aborted, a gang whose slowest fetch ends more than `gang_wait_s` after its fastest would
        preempt other tasks and restart its fetches with each attempt, and would never start.
        """
        if reason != ExitReason.ALONE.value or allocation.state is not AllocationState.FETCHING:
            return False
        allocation.keeps_fetching = True
        for needed in (machine, self.inventory.find_by_index(allocation.machine_index)):
            if needed is not None and needed.reserved_for is None:
                needed.reserve(allocation.job.spec.id, now + RESERVED_WHILE_FETCHING_S)
        return True
