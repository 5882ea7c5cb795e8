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

#: values of `Machine.drain_reason`: it fails what it starts, it is slow, its cloud takes it back
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
            if job.failed_rounds > 1:
                job.retry_at = now + self._job_backoff_s(job)
            if not job.suspected_faulty and max(job.failed_rounds, len(job.avoided_machines)) >= OWN_FAULT_FAILURES:
                self._doubt(job, now)
            if len(job.avoided_machines) >= OWN_FAULT_FAILURES:
                self._exonerate_machines(job)
                return
        self._record_failure_of_machine(machine, job, now)
        is_faulty = machine.consecutive_failures >= self.sick_errors and len(machine.failed_job_ids) >= MIN_FAILED_JOBS
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
        """Count a failure of a job; tasks that fail together are one failure."""
        job.avoided_machines[machine.index] = now
        if len(job.avoided_machines) > MAX_AVOIDED_MACHINES:
            job.avoided_machines.pop(next(iter(job.avoided_machines)))
        job.max_run_before_failure_s = max(job.max_run_before_failure_s, ran_s)
        if now - job.last_failed_at > FAILURE_INTERVAL_S:
            job.failed_rounds += 1
            job.last_failed_at = now

    @staticmethod
    def _record_failure_of_machine(machine: Machine, job: Job, now: float) -> None:
        """Count a failure on a machine, and block it for a while.

        Further failures of a job that has never succeeded do not count: a job with a mistake of its own that is
        retried there would block the machine for longer and longer.
        """
        is_repetition = job.spec.id in machine.failed_job_ids and not job.has_progress
        machine.failed_job_ids.add(job.spec.id)
        if now - machine.last_failure_at > FAILURE_INTERVAL_S and not is_repetition:
            machine.consecutive_failures += 1
            machine.last_failure_at = now
        backoff_s = MACHINE_BACKOFF_S * 2 ** min(machine.consecutive_failures, MAX_MACHINE_BACKOFF_EXPONENT)
        machine.blocked_until = now + min(MAX_MACHINE_BACKOFF_S, backoff_s)
        log.info(
            LogEvent(
                "task_failed", job_id=job.spec.id, machine=machine.name, machine_failures=machine.consecutive_failures
            )
        )

    @staticmethod
    def _job_backoff_s(job: Job) -> float:
        """Return how long a job that keeps failing waits before it is retried."""
        return min(MAX_JOB_BACKOFF_S, JOB_BACKOFF_BASE_S ** min(job.failed_rounds - 1, MAX_JOB_BACKOFF_EXPONENT))

    @staticmethod
    def _has_task_running_for(job: Job, seconds: float, now: float) -> bool:
        """Return whether some task of a job has run for longer than so many seconds."""
        return any(a.running_since is not None and now - a.running_since > seconds for a in job.allocations.values())

    @classmethod
    def _runs_elsewhere(cls, job: Job, now: float) -> bool:
        """Return whether other tasks run for longer than those that failed: then the job is not at fault."""
        return cls._has_task_running_for(job, job.max_run_before_failure_s + FAILURE_INTERVAL_S, now)

    def _doubt(self, job: Job, now: float) -> None:
        """Note that a job is most likely at fault itself: it failed several times and never succeeded.

        It is retried less often and with one task, or one gang, at a time. It is never given up: machines may have
        been at fault after all.
        """
        job.suspected_faulty = True
        log.info(LogEvent("job_retries_reduced", job_id=job.spec.id, machines=len(job.avoided_machines)))
        for allocation in [a for a in job.allocations.values() if a.running_since is None]:
            if not job.is_gang:
                self.dispatch.stop(allocation, "its job fails", 0.0, now)

    def _exonerate_machines(self, job: Job) -> None:
        """Take back a job's failures from machines: it fails on any of them, so none is to blame.

        Otherwise a few such jobs would have healthy machines drained.
        """
        for index in job.avoided_machines:
            machine = self.inventory.find_by_index(index)
            if machine is None or job.spec.id not in machine.failed_job_ids:
                continue
            machine.failed_job_ids.discard(job.spec.id)
            machine.consecutive_failures = min(machine.consecutive_failures, len(machine.failed_job_ids))
            if not machine.consecutive_failures:
                machine.blocked_until = machine.last_failure_at = -math.inf
            if machine.drain_reason == DRAIN_FAULTY and len(machine.failed_job_ids) < MIN_FAILED_JOBS:
                machine.drain_reason = None

    @classmethod
    def look_again(cls, job: Job, now: float) -> None:
        """Let time heal: a job tries machines again that it failed on a while ago.

        Otherwise a job that may run on few machines would wait for ever. A job that was taken to be at fault is
        trusted again once one of its tasks runs for longer than those that failed.
        """
        if not job.suspected_faulty:
            for index in [i for i, failed_at in job.avoided_machines.items() if now - failed_at > AVOIDED_S]:
                del job.avoided_machines[index]
            return
        if cls._has_task_running_for(job, max(RECOVERED_AFTER_S, RECOVERED_FACTOR * job.max_run_before_failure_s), now):
            job.suspected_faulty = False
            job.failed_rounds = 0
            job.retry_at = 0.0

    def evacuate(self, machine: Machine, now: float) -> None:
        """Stop the tasks of a machine that is about to go; those that have progress to save get time for it."""
        reason = machine.drain_reason or DRAIN_DEFAULT
        for allocation in list(machine.allocations.values()):
            job = allocation.job
            if not job.is_live:
                continue
            saves = job.spec.checkpoint_s > 0 and machine.terminates_at - now > job.spec.save_s
            if self._may_run_on(allocation, machine, saves, now):
                continue
            grace_s = job.spec.save_s + SAVE_MARGIN_S if saves else 0.0
            if job.is_gang:
                self.dispatch.stop_job(job, reason, grace_s, now)
            else:
                self.dispatch.stop(allocation, reason, grace_s, now)

    def _may_run_on(self, allocation: Allocation, machine: Machine, saves: bool, now: float) -> bool:
        """Return whether a task of a machine that is drained is better left alone."""
        if machine.drain_reason == DRAIN_RECALL and not saves and allocation.running_since is not None:
            remaining_s = self.run_times.expected_run_s(allocation.job) - (now - allocation.running_since)
            if remaining_s < machine.terminates_at - now:
                return True  # it may well complete before the machine goes
        # a machine that is faulty or slow stays until what runs there has ended
        return machine.drain_reason in (DRAIN_FAULTY, DRAIN_SLOW) and allocation.state is AllocationState.RUNNING
