"""Tells faulty machines from faulty jobs, and evacuates machines that are about to go."""

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

#: values of `Machine.drain`: it fails what it starts, it is slow, its cloud takes it back
DRAIN_FAULTY = "faulty"
DRAIN_SLOW = "slow"
DRAIN_RECALL = "recall"
#: where a machine is evacuated without being drained
DRAIN_DEFAULT = "drain"

#: failures of one job, or on one machine, that are closer together than this count as one
FAILURE_INTERVAL_S = 1.0
#: a job that failed this often, or on this many machines, and never succeeded is most likely at fault itself
OWN_FAULT_FAILURES = 3
#: a machine is at fault only if tasks of at least this many jobs failed on it
MIN_FAILED_JOBS = 2
#: how many machines a job remembers to have failed on, and for how long
MAX_AVOIDED_MACHINES = 64
AVOIDED_S = 60.0
#: a job that keeps failing is retried with exponential backoff: 2 ** (failures - 1) seconds, up to a limit
JOB_BACKOFF_BASE_S = 2.0
MAX_JOB_BACKOFF_EXPONENT = 7
MAX_JOB_BACKOFF_S = 30.0
#: so is a machine that keeps failing: 2 * 2 ** failures seconds, up to a limit
MACHINE_BACKOFF_S = 2.0
MAX_MACHINE_BACKOFF_EXPONENT = 5
MAX_MACHINE_BACKOFF_S = 60.0
#: a job is no longer taken to be at fault once a task of it has run for this long, and twice as long as any that failed
RECOVERED_AFTER_S = 10.0
RECOVERED_FACTOR = 2.0


class MachineHealth:
    """Counts failures of jobs and on machines, and gives each fewer chances as its failures mount."""

    def __init__(
        self, inventory: MachineInventory, dispatch: Dispatch, run_times: RunTimeEstimates, sick_errors: int
    ) -> None:
        self.inventory = inventory
        self.dispatch = dispatch
        self.run_times = run_times
        #: failures in a row after which a machine is drained
        self.sick_errors = sick_errors

    def record_failure(self, machine: Machine, job: Job, ran_s: float, now: float) -> None:
        """Record that a task has failed, and draw the consequences for its job and its machine.

        Args:
            machine: where the task ran.
            job: the task's job.
            ran_s: how many seconds it had run.
            now: seconds on the leader's clock.
        """
        self._record_failure_of_job(job, machine, ran_s, now)
        if not job.has_progress and not self._runs_elsewhere(job, now):
            # whichever is at fault: while the job waits, other jobs show what the machine does with them
            if job.errors > 1:
                job.retry_at = now + self._job_backoff_s(job)
            if not job.suspected_faulty and max(job.errors, len(job.avoid)) >= OWN_FAULT_FAILURES:
                self._doubt(job, now)
            if len(job.avoid) >= OWN_FAULT_FAILURES:
                self._exonerate_machines(job)
                return
        self._record_failure_of_machine(machine, job, now)
        is_faulty = machine.errors >= self.sick_errors and len(machine.error_jobs) >= MIN_FAILED_JOBS
        if machine.drain_reason is None and is_faulty:
            log.warning(LogEvent("machine_drained", machine=machine.name, reason=DRAIN_FAULTY, failures=machine.errors))
            machine.drain_reason = DRAIN_FAULTY
            self.evacuate(machine, now)

    @staticmethod
    def _record_failure_of_job(job: Job, machine: Machine, ran_s: float, now: float) -> None:
        """Count a failure of a job; tasks that fail together are one failure."""
        job.avoid[machine.index] = now
        if len(job.avoid) > MAX_AVOIDED_MACHINES:
            job.avoid.pop(next(iter(job.avoid)))
        job.fails_after_s = max(job.fails_after_s, ran_s)
        if now - job.failed_at > FAILURE_INTERVAL_S:
            job.errors += 1
            job.failed_at = now

    @staticmethod
    def _record_failure_of_machine(machine: Machine, job: Job, now: float) -> None:
        """Count a failure on a machine, and block it for a while.

        Further failures of a job that has never succeeded do not count: a job with a mistake of its own that is
        retried there would block the machine for longer and longer.
        """
        is_repetition = job.spec.id in machine.error_jobs and not job.has_progress
        machine.error_jobs.add(job.spec.id)
        if now - machine.error_at > FAILURE_INTERVAL_S and not is_repetition:
            machine.errors += 1
            machine.error_at = now
        backoff_s = MACHINE_BACKOFF_S * 2 ** min(machine.errors, MAX_MACHINE_BACKOFF_EXPONENT)
        machine.blocked_until = now + min(MAX_MACHINE_BACKOFF_S, backoff_s)
        log.info(LogEvent("task_failed", job_id=job.spec.id, machine=machine.name, machine_failures=machine.errors))

    @staticmethod
    def _job_backoff_s(job: Job) -> float:
        """Return how long a job that keeps failing waits before it is retried."""
        return min(MAX_JOB_BACKOFF_S, JOB_BACKOFF_BASE_S ** min(job.errors - 1, MAX_JOB_BACKOFF_EXPONENT))

    @staticmethod
    def _has_task_running_for(job: Job, seconds: float, now: float) -> bool:
        """Return whether some task of a job has run for longer than so many seconds."""
        return any(a.run_at is not None and now - a.run_at > seconds for a in job.allocations.values())

    @classmethod
    def _runs_elsewhere(cls, job: Job, now: float) -> bool:
        """Return whether other tasks run for longer than those that failed: then the job is not at fault."""
        return cls._has_task_running_for(job, job.fails_after_s + FAILURE_INTERVAL_S, now)

    def _doubt(self, job: Job, now: float) -> None:
        """Note that a job is most likely at fault itself: it failed several times and never succeeded.

        It is retried less often and with one task, or one gang, at a time. It is never given up: machines may have
        been at fault after all.
        """
        job.suspected_faulty = True
        log.info(LogEvent("job_retries_reduced", job_id=job.spec.id, machines=len(job.avoid)))
        for allocation in [a for a in job.allocations.values() if a.run_at is None]:
            if not job.gang:
                self.dispatch.stop(allocation, "its job fails", 0.0, now)

    def _exonerate_machines(self, job: Job) -> None:
        """Take back a job's failures from machines: it fails on any of them, so none is to blame.

        Otherwise a few such jobs would have healthy machines drained.
        """
        for index in job.avoid:
            machine = self.inventory.at(index)
            if machine is None or job.spec.id not in machine.error_jobs:
                continue
            machine.error_jobs.discard(job.spec.id)
            machine.errors = min(machine.errors, len(machine.error_jobs))
            if not machine.errors:
                machine.blocked_until = machine.error_at = -math.inf
            if machine.drain_reason == DRAIN_FAULTY and len(machine.error_jobs) < MIN_FAILED_JOBS:
                machine.drain_reason = None

    @classmethod
    def look_again(cls, job: Job, now: float) -> None:
        """Let time heal: a job tries machines again that it failed on a while ago.

        Otherwise a job that may run on few machines would wait for ever. A job that was taken to be at fault is
        trusted again once one of its tasks runs for longer than those that failed.
        """
        if not job.suspected_faulty:
            for index in [i for i, failed_at in job.avoid.items() if now - failed_at > AVOIDED_S]:
                del job.avoid[index]
            return
        if cls._has_task_running_for(job, max(RECOVERED_AFTER_S, RECOVERED_FACTOR * job.fails_after_s), now):
            job.suspected_faulty = False
            job.errors = 0
            job.retry_at = 0.0

    def evacuate(self, machine: Machine, now: float) -> None:
        """Stop the tasks of a machine that is about to go; those that have progress to save get time for it."""
        reason = machine.drain_reason or DRAIN_DEFAULT
        for allocation in list(machine.allocations.values()):
            job = allocation.job
            if not job.live:
                continue
            saves = job.spec.checkpoint_s > 0 and machine.terminates_at - now > job.spec.save_s
            if self._may_run_on(allocation, machine, saves, now):
                continue
            grace_s = job.spec.save_s + SAVE_MARGIN_S if saves else 0.0
            if job.gang:
                self.dispatch.stop_job(job, reason, grace_s, now)
            else:
                self.dispatch.stop(allocation, reason, grace_s, now)

    def _may_run_on(self, allocation: Allocation, machine: Machine, saves: bool, now: float) -> bool:
        """Return whether a task of a machine that is drained is better left alone."""
        if machine.drain_reason == DRAIN_RECALL and not saves and allocation.run_at is not None:
            remaining_s = self.run_times.run_s(allocation.job) - (now - allocation.run_at)
            if remaining_s < machine.terminates_at - now:
                return True  # it may well complete before the machine goes
        # a machine that is faulty or slow stays until what runs there has ended
        return machine.drain_reason in (DRAIN_FAULTY, DRAIN_SLOW) and allocation.state is AllocationState.RUNNING
