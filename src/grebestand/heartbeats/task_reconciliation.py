"""Reconciliation of what heartbeats say of tasks with their jobs and allocations."""

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

#: The allocation state that each reported phase of a task stands for; an exited task has none.
REPORTED_STATES = {
    TaskPhase.FETCHING: AllocationState.FETCHING,
    TaskPhase.WAITING: AllocationState.WAITING,
    TaskPhase.RUNNING: AllocationState.RUNNING,
    TaskPhase.SAVING: AllocationState.SAVING,
}
#: How long a gang's machines stay reserved for its next attempt while an image is still being fetched, in seconds: time
#: for the slowest fetch to end and for the gang to be placed again.
RESERVED_WHILE_FETCHING_S = 45.0
#: A job that a worker does not know is not started again for this many heartbeat intervals, so that not every machine
#: refuses it in the meantime.
UNKNOWN_JOB_INTERVALS = 2


class TaskReconciler:
    """Applies the task states and results of heartbeats, and what follows from them for jobs."""

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
        """Record the tasks that are done. However old the heartbeat is, they stay so."""
        for status in heartbeat.tasks:
            if status.state is TaskPhase.EXITED and status.why is ExitReason.DONE:
                self.apply_exited_or_unknown(machine, status, now)

    def apply_exited_or_unknown(self, machine: Machine, status: TaskStatus, now: float) -> None:
        """Apply the status of a task that has exited, or that this leader has not started there."""
        try:
            job_id, index = split_task(status.task)
        except MalformedError:
            return  # the name is no task's
        job = self.registry.jobs.get(job_id)
        if job is None or index >= job.spec.tasks:
            return  # `CommandBuilder` has the worker stop it
        if status.state is TaskPhase.EXITED:
            allocation = machine.allocations.get(status.task)
            if allocation is not None and allocation.attempt != status.attempt:
                allocation = None
            if status.why is ExitReason.DONE:
                self._apply_completion(machine, job, index, allocation, now)
            elif allocation is not None:
                self._apply_failure(machine, job, allocation, status, now)
        elif index not in job.allocations and job.live and not job.is_done(index):
            allocation = self._adopt(machine, job, index, status.attempt, now)
            allocation.reported_sequence = machine.sequence
            self.apply_state(machine, allocation, REPORTED_STATES[status.state], now)

    def apply_state(self, machine: Machine, allocation: Allocation, state: AllocationState, now: float) -> None:
        """Apply a reported state that differs from the allocation's."""
        job = allocation.job
        if allocation.state is AllocationState.SENT:
            self.inventory.confirm_reception(machine, now)
        self.registry.move_allocation(allocation, state, now)
        timeline = job.gang_start
        if timeline is not None and timeline.attempt == allocation.attempt:
            self._record_gang_stage(job, timeline, state, now)
        if state is AllocationState.RUNNING:
            self._log_job_start(job, now)
        if state is not AllocationState.FETCHING:
            self.inventory.note_image(machine, job.image, job.spec.image_gb)
            if allocation.keeps_fetching:
                self.dispatch.stop(allocation, "gang broken", 0.0, now)

    def end_allocation(self, machine: Machine, allocation: Allocation, reason: str, now: float) -> None:
        """End an allocation whose task was not completed."""
        job = allocation.job
        if log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("allocation_ended", task=allocation.name, machine=machine.name, reason=reason))
        was_queued = allocation.state is AllocationState.QUEUED
        self.inventory.release(machine, allocation, now)
        if job.gang and job.live and not was_queued and job.allocations:
            self._stop_rest_of_gang(machine, allocation, reason, now)

    # states -----------------------------------------------------------------------------------------------

    def _adopt(self, machine: Machine, job: Job, index: int, attempt: int, now: float) -> Allocation:
        """Return a new allocation for a running task that an earlier leader started: it goes on."""
        allocation = self.registry.open_allocation(job, index, machine.index, attempt, now)
        allocation.epoch = machine.epoch
        self.inventory.add_allocation(machine, allocation)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("task_adopted", task=allocation.name, machine=machine.name))
        return allocation

    @staticmethod
    def _log_job_start(job: Job, now: float) -> None:
        """Log once when a job began: an array with its first task, a gang when all run."""
        if not job.begun and (not job.gang or job.done_count or job.running() == job.spec.tasks):
            job.begun = True
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
        """Record how far a gang's start has come; once all its tasks run, log how long each stage took."""
        if state is AllocationState.FETCHING:
            timeline.reported = now
        elif state is AllocationState.RUNNING and job.running() == job.spec.tasks:
            job.gang_start = None
            reported = max(timeline.reported, timeline.sent)
            log.info(
                LogEvent(
                    "gang_started",
                    job_id=job.spec.id,
                    tasks=job.spec.tasks,
                    placement_s=timeline.placed - timeline.room,
                    grant_s=timeline.covered - timeline.placed,
                    dispatch_s=timeline.sent - max(timeline.covered, timeline.placed),
                    heartbeat_s=reported - timeline.sent,
                    image_s=now - reported,
                )
            )

    # results ----------------------------------------------------------------------------------------------

    def _apply_completion(
        self, machine: Machine, job: Job, index: int, allocation: Allocation | None, now: float
    ) -> None:
        """Record that a task is done; `allocation` is the attempt that did it, if it is known."""
        if allocation is not None:
            if allocation.run_at is not None and job.spec.estimate_s > 0:
                self.run_times.learn(job, now - allocation.run_at)
            self.stragglers.record_run_time(machine, allocation, now)
            self.inventory.release(machine, allocation, now)
        machine.record_success()
        self._mark_done(job, index, now)

    def _mark_done(self, job: Job, index: int, now: float) -> None:
        """Mark a task of a live job done, or a whole gang, which completes together."""
        if not job.live:
            return
        if job.spec.kind is Kind.GANG:
            for gang_index in range(job.spec.tasks):
                self.registry.mark_done(job, gang_index, now)
        elif not job.is_done(index):
            self.registry.mark_done(job, index, now)
            job.unsaved_chunks.setdefault(index // self.registry.chunk_bits, now)
        self._log_job_start(job, now)
        if job.unfinished() == 0:
            self.registry.move_job(job, JobState.CLOSING, now)

    def _apply_failure(
        self, machine: Machine, job: Job, allocation: Allocation, status: TaskStatus, now: float
    ) -> None:
        """End the allocation of a task that exited without being done, and act on the reason."""
        reason = status.why
        if reason is ExitReason.ERROR:
            ran_s = now - allocation.run_at if allocation.run_at is not None else 0.0
            self.health.record_failure(machine, job, ran_s, now)
        elif reason is ExitReason.NO_ROOM:
            # the machine holds something that is not counted here: try again after the next heartbeats
            machine.block_until(now + self.inventory.report_s)
        elif reason is ExitReason.UNKNOWN:
            job.retry_at = max(job.retry_at, now + UNKNOWN_JOB_INTERVALS * self.inventory.report_s)
        elif reason is ExitReason.STOPPED and status.saved:
            job.record_progress()
        if reason in (ExitReason.BUSY, ExitReason.NO_ROOM, ExitReason.UNKNOWN, ExitReason.ALONE):
            # BUSY: another attempt is on this very machine; the heartbeat lists it, and it is adopted
            log.info(LogEvent("task_start_failed", task=status.task, machine=machine.name, reason=reason.name.lower()))
        self.end_allocation(machine, allocation, reason.value if reason else "exited", now)

    # gangs ------------------------------------------------------------------------------------------------

    def _stop_rest_of_gang(self, machine: Machine, ended: Allocation, reason: str, now: float) -> None:
        """Stop the other tasks of a gang that has lost one.

        Their progress since the last checkpoint is lost in any case, and no task may start again before all are gone.
        A stop that is under way, with its grace for a checkpoint, goes on as it is.
        """
        for other in list(ended.job.allocations.values()):
            if other.attempt != ended.attempt:
                self.dispatch.stop(other, "stale attempt", 0.0, now)
            elif other.stop_reason is None and not self._keep_fetching(machine, other, reason, now):
                self.dispatch.stop(other, "gang broken", 0.0, now)

    def _keep_fetching(self, machine: Machine, allocation: Allocation, reason: str, now: float) -> bool:
        """Return whether a task goes on fetching its image for the next attempt of a gang that waited in vain.

        A machine gives up a fetch that no task waits for. Without this, a gang whose slowest fetch takes longer than
        `gang_wait_s` after the fastest would preempt and begin anew with every attempt, and never start.
        """
        if reason != ExitReason.ALONE.value or allocation.state is not AllocationState.FETCHING:
            return False
        allocation.keeps_fetching = True
        for needed in (machine, self.inventory.at(allocation.machine)):
            if needed is not None and needed.reserved_for is None:
                needed.reserve(allocation.job.spec.id, now + RESERVED_WHILE_FETCHING_S)
        return True
