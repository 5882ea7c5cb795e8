"""Distinguishes faulty machines from faulty jobs, and evacuates machines that are drained or about to be reclaimed."""

from __future__ import annotations

import logging
import math

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import MachineInventory
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..log_events import LogEvent
from ..state_machines import AllocationState
from .scheduling_context import SAVE_MARGIN_S

log = logging.getLogger(__name__)

#: Values of `Machine.drain_reason`: tasks fail on the machine, tasks run slowly on the machine, or the cloud reclaims
#: the machine.
DRAIN_FAULTY = "faulty"
DRAIN_SLOW = "slow"
DRAIN_RECALL = "recall"
#: Stop reason for the tasks of a machine that is evacuated without being drained.
DRAIN_DEFAULT = "drain"

#: Failures of one job, or on one machine, within this interval count as one failure.
FAILURE_INTERVAL_S = 1.0
#: A job that has failed this often, or on this many machines, and never made progress is most likely faulty itself.
MIN_FAILURES_TO_SUSPECT_JOB = 3
#: A machine is considered faulty only if tasks of at least this many jobs have failed there.
MIN_FAILED_JOBS_TO_DRAIN = 2
#: How many of the machines where a job failed are recorded with the job, and for how long the job avoids them.
MAX_AVOIDED_MACHINES = 64
AVOID_MACHINE_S = 60.0
#: A job that keeps failing is retried with exponential backoff: 2 ** (failures - 1) seconds, up to a limit.
JOB_BACKOFF_BASE = 2.0
MAX_JOB_BACKOFF_EXPONENT = 7
MAX_JOB_BACKOFF_S = 30.0
#: A machine where tasks keep failing is blocked with exponential backoff: 2 * 2 ** failures seconds, up to a limit.
MACHINE_BACKOFF_BASE_S = 2.0
MAX_MACHINE_BACKOFF_EXPONENT = 5
MAX_MACHINE_BACKOFF_S = 60.0
#: A job is no longer suspected to be faulty once one of its tasks has run for this long, and for `RECOVERED_FACTOR`
#: times as long as any task that failed.
RECOVERED_AFTER_S = 10.0
RECOVERED_FACTOR = 2.0


class MachineHealth:
    """Counts failures by job and by machine, and applies backoff, suspicion and draining as failures accumulate."""

    def __init__(
        self, inventory: MachineInventory, dispatch: Dispatch, run_times: RunTimeEstimates, drain_after_failures: int
    ) -> None:
        self.inventory = inventory
        self.dispatch = dispatch
        self.run_times = run_times
        #: Consecutive failures after which a machine is drained.
        self.drain_after_failures = drain_after_failures

    def record_failure(self, machine: Machine, job: Job, ran_s: float, now: float) -> None:
        """Record that a task has failed, and update the state of its job and its machine.

        Args:
            machine: The machine where the task ran.
            job: The task's job.
            ran_s: Seconds for which the task had run.
            now: Seconds on the leader's clock.
        """
        self._record_failure_of_job(job, machine, ran_s, now)
        if not job.has_progress and not self._runs_elsewhere(job, now):
            # Either the job or the machine may be faulty. While the job waits, other jobs show whether they run on the
            # machine.
            if job.failed_rounds > 1:
                job.retry_at = now + self._job_backoff_s(job)
            if (
                not job.suspected_faulty
                and max(job.failed_rounds, len(job.avoided_machines)) >= MIN_FAILURES_TO_SUSPECT_JOB
            ):
                self._mark_suspected_faulty(job, now)
            if len(job.avoided_machines) >= MIN_FAILURES_TO_SUSPECT_JOB:
                self._exonerate_machines(job)
                return
        self._record_failure_of_machine(machine, job, now)
        is_faulty = (
            machine.consecutive_failures >= self.drain_after_failures
            and len(machine.failed_job_ids) >= MIN_FAILED_JOBS_TO_DRAIN
        )
        if machine.drain_reason is None and is_faulty:
            log.warning(
                LogEvent(
                    "machine_drained", machine=machine.name, reason=DRAIN_FAULTY, failures=machine.consecutive_failures
                )
            )
            machine.drain_reason = DRAIN_FAULTY
            self.evacuate(machine, now)

    @staticmethod
    def _record_failure_of_job(job: Job, machine: Machine, ran_s: float, now: float) -> None:
        """Count a failure of a job; tasks that fail within `FAILURE_INTERVAL_S` count as one failure."""
        job.avoided_machines[machine.index] = now
        if len(job.avoided_machines) > MAX_AVOIDED_MACHINES:
            job.avoided_machines.pop(next(iter(job.avoided_machines)))
        job.max_run_before_failure_s = max(job.max_run_before_failure_s, ran_s)
        if now - job.last_failed_at > FAILURE_INTERVAL_S:
            job.failed_rounds += 1
            job.last_failed_at = now

    @staticmethod
    def _record_failure_of_machine(machine: Machine, job: Job, now: float) -> None:
        """Count a failure on a machine, and block the machine for a while.

        Repeated failures of a job that has never made progress are not counted. Otherwise a faulty job that is
        retried on the machine would block the machine for longer and longer.
        """
        is_repetition = job.spec.id in machine.failed_job_ids and not job.has_progress
        machine.failed_job_ids.add(job.spec.id)
        if now - machine.last_failure_at > FAILURE_INTERVAL_S and not is_repetition:
            machine.consecutive_failures += 1
            machine.last_failure_at = now
        backoff_s = MACHINE_BACKOFF_BASE_S * 2 ** min(machine.consecutive_failures, MAX_MACHINE_BACKOFF_EXPONENT)
        machine.blocked_until = now + min(MAX_MACHINE_BACKOFF_S, backoff_s)
        log.info(
            LogEvent(
                "task_failed", job_id=job.spec.id, machine=machine.name, machine_failures=machine.consecutive_failures
            )
        )

    @staticmethod
    def _job_backoff_s(job: Job) -> float:
        """Return the seconds for which a job that keeps failing waits before its next attempt."""
        return min(MAX_JOB_BACKOFF_S, JOB_BACKOFF_BASE ** min(job.failed_rounds - 1, MAX_JOB_BACKOFF_EXPONENT))

    @staticmethod
    def _has_task_running_for(job: Job, seconds: float, now: float) -> bool:
        """Return whether any task of a job has been running for more than the given seconds."""
        return any(a.running_since is not None and now - a.running_since > seconds for a in job.allocations.values())

    @classmethod
    def _runs_elsewhere(cls, job: Job, now: float) -> bool:
        """Return whether a task of the job runs for longer than those that failed, so that the job is not at fault."""
        return cls._has_task_running_for(job, job.max_run_before_failure_s + FAILURE_INTERVAL_S, now)

    def _mark_suspected_faulty(self, job: Job, now: float) -> None:
        """Mark a job that has failed several times and never made progress as most likely faulty itself.

        Such a job is retried less often, and with only one task or one gang at a time. The job is never abandoned,
        since machines may turn out to be at fault.
        """
        job.suspected_faulty = True
        log.info(LogEvent("job_retries_reduced", job_id=job.spec.id, machines=len(job.avoided_machines)))
        for allocation in [a for a in job.allocations.values() if a.running_since is None]:
            if not job.is_gang:
                self.dispatch.stop(allocation, "its job fails", 0.0, now)

    def _exonerate_machines(self, job: Job) -> None:
        """Remove a job's failures from the machines' records, because the job fails wherever it runs.

        Otherwise a few such jobs would cause healthy machines to be drained.
        """
        for index in job.avoided_machines:
            machine = self.inventory.find_by_index(index)
            if machine is None or job.spec.id not in machine.failed_job_ids:
                continue
            machine.failed_job_ids.discard(job.spec.id)
            machine.consecutive_failures = min(machine.consecutive_failures, len(machine.failed_job_ids))
            if not machine.consecutive_failures:
                machine.blocked_until = machine.last_failure_at = -math.inf
            if machine.drain_reason == DRAIN_FAULTY and len(machine.failed_job_ids) < MIN_FAILED_JOBS_TO_DRAIN:
                machine.drain_reason = None

    @classmethod
    def clear_expired_failures(cls, job: Job, now: float) -> None:
        """Clear old failures of a job, so that the job may run again on machines where it failed a while ago.

        Otherwise a job that is restricted to few machines would wait forever. A job that is suspected to be faulty
        keeps its failures until one of its tasks runs for longer than those that failed, which ends the suspicion.

        Args:
            job: A job with recorded failures.
            now: Seconds on the leader's clock.
        """
        if not job.suspected_faulty:
            for index in [i for i, failed_at in job.avoided_machines.items() if now - failed_at > AVOID_MACHINE_S]:
                del job.avoided_machines[index]
            return
        if cls._has_task_running_for(job, max(RECOVERED_AFTER_S, RECOVERED_FACTOR * job.max_run_before_failure_s), now):
            job.suspected_faulty = False
            job.failed_rounds = 0
            job.retry_at = 0.0

    def evacuate(self, machine: Machine, now: float) -> None:
        """Stop the tasks of a machine that is drained or about to be reclaimed.

        Tasks with checkpoints get time to save, if the machine stays up for long enough.

        Args:
            machine: The machine to evacuate.
            now: Seconds on the leader's clock.
        """
        reason = machine.drain_reason or DRAIN_DEFAULT
        for allocation in list(machine.allocations.values()):
            job = allocation.job
            if not job.is_live:
                continue
            saves = job.spec.checkpoint_s > 0 and machine.terminates_at - now > job.spec.save_s
            if self._may_finish(allocation, machine, saves, now):
                continue
            grace_s = job.spec.save_s + SAVE_MARGIN_S if saves else 0.0
            if job.is_gang:
                self.dispatch.stop_job(job, reason, grace_s, now)
            else:
                self.dispatch.stop(allocation, reason, grace_s, now)

    def _may_finish(self, allocation: Allocation, machine: Machine, saves: bool, now: float) -> bool:
        """Return whether a task of a drained machine may keep running because it can finish there."""
        if machine.drain_reason == DRAIN_RECALL and not saves and allocation.running_since is not None:
            remaining_s = self.run_times.expected_run_s(allocation.job) - (now - allocation.running_since)
            if remaining_s < machine.terminates_at - now:
                return True  # the task is expected to finish before the machine is reclaimed
        # A faulty or slow machine stays up until the tasks that run there have ended.
        return machine.drain_reason in (DRAIN_FAULTY, DRAIN_SLOW) and allocation.state is AllocationState.RUNNING
