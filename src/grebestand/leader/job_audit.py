"""Audits all live jobs at a slow pace: each has to be startable, allocated, delayed with an end, or unreconciled.

The cluster state is kept up to date by events. One that is lost, or a fault of this program, could leave a job waiting
for something that never comes. So every job is checked over and over, in memory and against its record; a defect is
logged and repaired by a fresh read, a few at a time.
"""

from __future__ import annotations

import logging
import math

from ..cluster_state.jobs import Allocation, Job
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..state_machines import AllocationState, MachineState
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import live_key
from ..wire.store import KeyValuePage
from .job_watch import LIVE_PREFIX, JobWatch
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: The interval between two reads of a page of live records, in seconds.
PAGE_INTERVAL_S = 5.0
#: Records that are read again after one page; the others follow when the page is read the next time.
MAX_RECORDS_REREAD = 4
#: A start that takes longer than this many leases is unexplained: by then its machine has confirmed it or expired.
START_LEASES = 3.0
#: A job found only on record waits for this many leases, until every machine has sent what it runs or has expired.
DELAY_LEASES = 1.5
#: The list of waiting tasks is checked if a job has waited for this long without a start, in seconds.
QUIET_S = 60.0
#: No part of the scheduler delays a job for longer, in seconds.
MAX_DELAY_S = 120.0
#: Sorts after every key that begins with the prefix of live records.
END_OF_LIVE_KEYS = "live0"


class JobAudit(TermComponent):
    """Finds and repairs jobs that wait for nothing."""

    def __init__(self, context: TermContext, job_watch: JobWatch, completed_jobs: CompletedJobs) -> None:
        super().__init__(context)
        self.job_watch = job_watch
        self.completed_jobs = completed_jobs
        self._page_read_at = -math.inf
        #: the last key of the page that was read last, or empty at the beginning
        self._last_key = ""
        self._quiet_turn = 0
        #: the number of defects repaired so far
        self.defects_repaired = 0

    def step(self) -> None:
        """Check all jobs in memory, the waiting tasks of one quiet job, and now and then a page of records.

        Raises:
            StoreError: the store could not be reached.
        """
        now = self.clock()
        quiet = []
        for job in list(self.registry.jobs.values()):
            if job.is_live:
                self._check_job(job, now)
                if self._is_quiet(job, now):
                    quiet.append(job)
        if quiet:
            # checking the tasks of a job of 100,000 takes a while: one job each time
            self._quiet_turn += 1
            self._check_waiting_tasks(quiet[self._quiet_turn % len(quiet)])
        if now - self._page_read_at >= PAGE_INTERVAL_S:
            self._page_read_at = now
            self._read_page()

    def _log_defect(self, job: Job, defect: str) -> None:
        self.defects_repaired += 1
        log.error(LogEvent("job_defect_repaired", job_id=job.spec.id, defect=defect))

    # in memory --------------------------------------------------------------------------------------------

    @staticmethod
    def _is_quiet(job: Job, now: float) -> bool:
        quiet_s = now - max(job.last_allocation_at, job.waiting_since)
        return quiet_s > QUIET_S and not job.possible_holders and job.waiting_count() > 0

    def _check_job(self, job: Job, now: float) -> None:
        for allocation in list(job.allocations.values()):
            self._check_allocation(job, allocation, now)
        if job.retry_at > now + MAX_DELAY_S:
            self._log_defect(job, "it is delayed for too long")
            job.retry_at = now
        for index in [index for index in job.possible_holders if not self._is_unreconciled(index)]:
            self._log_defect(job, "it waits for a machine that is reconciled")
            self.registry.clear_possible_holder(index)
            job.possible_holders.discard(index)

    def _check_allocation(self, job: Job, allocation: Allocation, now: float) -> None:
        machine = self.inventory.find_by_index(allocation.machine_index)
        if machine is None:
            self._log_defect(job, f"task {allocation.task_index} is allocated to a machine that is gone")
            self.registry.change_allocation_state(allocation, AllocationState.GONE, now)
        elif allocation.name not in machine.allocations:
            self._log_defect(job, f"{machine.name} lacks the allocation of task {allocation.task_index}")
            self.inventory.add_allocation(machine, allocation)  # the next heartbeat says whether the task is there
        elif machine.state is MachineState.LEASE_EXPIRED:
            self._log_defect(
                job, f"task {allocation.task_index} is allocated to {machine.name}, whose lease has expired"
            )
            self.inventory.release(machine, allocation, now)
        elif (
            allocation.state in (AllocationState.QUEUED, AllocationState.SENT)
            and now - allocation.decided_at > START_LEASES * self.inventory.lease_s
        ):
            self.inventory.to_query.add(machine.index)  # only the machine itself can explain it

    def _is_unreconciled(self, index: int) -> bool:
        machine = self.inventory.find_by_index(index)
        return machine is not None and machine.state is MachineState.UNRECONCILED

    def _check_waiting_tasks(self, job: Job) -> None:
        """Check that every waiting task is either listed as returned or beyond the cursor of fresh tasks."""
        if job.is_gang:
            return  # allocated as a whole, by its number of tasks
        returned = {
            index
            for index in job.requeued_tasks
            if index < job.first_unallocated and not job.is_done(index) and index not in job.allocations
        }
        fresh = sum(
            1
            for index in range(job.first_unallocated, job.spec.tasks)
            if not job.is_done(index) and index not in job.allocations
        )
        if len(returned) + fresh < job.waiting_count():
            self._log_defect(job, "some of its waiting tasks are not listed")
            seen = range(job.first_unallocated)
            # the last one is taken first, so that the order of tasks is kept
            job.requeued_tasks = [
                index for index in reversed(seen) if not job.is_done(index) and index not in job.allocations
            ]
            self.registry.changed_since_scheduling = True

    # against the records ----------------------------------------------------------------------------------

    def _read_page(self) -> None:
        """Compare one page of the live records with the registry."""
        watched = self.job_watch.watched
        after = self._last_key
        page = self.writer.store.page(LIVE_PREFIX, after, Urgency.PROGRESS)
        more = page.more and bool(page.items)
        self._last_key = page.items[-1].key if more else ""
        up_to = self._last_key if more else END_OF_LIVE_KEYS
        unknown = self._unknown_jobs(page, watched)
        missing = self._missing_jobs(page, watched, after, up_to)
        if missing:
            # most likely cancelled between the last answer of the watch and this page
            self.job_watch.catch_up()
            missing = [
                job_id for job_id in missing if job_id in self.registry.jobs and self.registry.jobs[job_id].is_live
            ]
        for job_id in (unknown + missing)[:MAX_RECORDS_REREAD]:
            self._read_again(job_id)

    def _unknown_jobs(self, page: KeyValuePage, watched: int) -> list[str]:
        """Return the jobs of a page that the registry lacks, without those that the watch has still to bring."""
        listed = [pair.key.removeprefix(LIVE_PREFIX) for pair in page.items if pair.version <= watched]
        return [
            job_id for job_id in listed if job_id not in self.registry.jobs and self.completed_jobs.get(job_id) is None
        ]

    def _missing_jobs(self, page: KeyValuePage, watched: int, after: str, up_to: str) -> list[str]:
        """Return the live jobs of the registry that a page should list, given the range of its keys, and does not."""
        listed = {pair.key for pair in page.items}
        known_to_both = min(watched, page.revision)
        return [
            job_id
            for job_id, job in self.registry.jobs.items()
            if job.is_live
            and job.record_revision <= known_to_both
            and after < live_key(job_id) <= up_to
            and live_key(job_id) not in listed
        ]

    def _read_again(self, job_id: str) -> None:
        """Decide by a fresh read of one record whether the job is live."""
        found = self.writer.store.get(live_key(job_id), Urgency.PROGRESS)
        now = self.clock()
        job = self.registry.jobs.get(job_id)
        if found is None:
            if job is not None and job.is_live:
                self._log_defect(job, "it has no record any more")
                self.job_watch.apply_removal(job_id, now)
            return
        if job is not None or self.completed_jobs.get(job_id) is not None:
            return
        self.job_watch.take(found.value, found.version, now)
        self._log_defect(self.registry.jobs[job_id], "it was on record and not in the registry")
        self._delay_until_seen(self.registry.jobs[job_id], now)
        # read once more: a job that is cancelled by now must not run
        if self.writer.store.get(live_key(job_id), Urgency.PROGRESS) is None:
            self.job_watch.apply_removal(job_id, self.clock())

    def _delay_until_seen(self, job: Job, now: float) -> None:
        """Delay a job that may already run somewhere.

        Within a lease each machine has sent what it runs or has expired; those of an earlier term that are unreconciled
        have to be reconciled first.
        """
        job.retry_at = now + DELAY_LEASES * self.inventory.lease_s
        unreconciled = {machine.index for machine in self.inventory.unreconciled_machines()}
        if unreconciled:
            self.registry.add_possible_holders(job, unreconciled, job.spec.tasks)
