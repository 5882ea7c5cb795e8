"""Looks over all live jobs, slowly: each has to be startable, placed, held with an end, or waiting for a named proof.

The books are kept by events: a report, a change of a record, a proof. One that is lost, or a fault of this program,
would leave a job waiting for something that never comes. So every job is looked at again and again, in the books and in
the record; what does not fit is logged and mended by a fresh read, a few at a time.
"""

from __future__ import annotations

import logging
import math

from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from ..state_machines import AllocationState, MachineState
from ..storage.job_records import live_key
from .job_watch import JobWatch
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: one page of the record is read so often, in seconds
PAGE_S = 5.0
#: records that are read again in one step
MOST_READ = 4
#: nothing but a machine that proves nothing takes longer than so many leases
PLACE_LEASES = 3.0
#: a job found on record only waits for so many leases, until all machines have told what they hold
HELD_LEASES = 1.5
#: without a start for so long, in seconds, a job's own list of waiting tasks is looked through
QUIET_S = 60.0
#: nobody holds a job back for longer, in seconds
MOST_HELD_S = 120.0


class JobAudit(TermComponent):
    def __init__(self, context: TermContext, jobs: JobWatch) -> None:
        super().__init__(context)
        self.job_watch = jobs
        self.page_at = -math.inf
        #: where the next page of the record begins
        self.since = ""
        self._turn = 0
        #: what was mended so far
        self.mended = 0

    def step(self) -> None:
        now = self.clock()
        quiet = []
        for job in list(self.registry.jobs.values()):
            if job.live:
                self._look(job, now)
                if (
                    now - max(job.started_at, job.wait_since) > QUIET_S
                    and not job.possible_holders
                    and job.waiting() > 0
                ):
                    quiet.append(job)
        if quiet:
            # a look through 100,000 tasks takes a while: one job each time
            self._turn += 1
            self._count(quiet[self._turn % len(quiet)])
        if now - self.page_at >= PAGE_S:
            self.page_at = now
            self._read_page()

    # the books --------------------------------------------------------------------------------------------

    def _defect(self, job: Job, what: str) -> None:
        self.mended += 1
        log.error("%s: %s: mended", job.spec.id, what)

    def _look(self, job: Job, now: float) -> None:
        for allocation in list(job.allocations.values()):
            m = self.inventory.at(allocation.machine)
            if m is None:
                self._defect(job, f"task {allocation.index} has a place on a machine that is gone")
                self.registry.move_allocation(allocation, AllocationState.GONE, now)
            elif allocation.name not in m.allocations:
                self._defect(job, f"{m.name} does not know of task {allocation.index}")
                self.inventory.add_allocation(m, allocation)  # its next report says whether it is there
            elif m.state is MachineState.LEASE_EXPIRED:
                self._defect(job, f"task {allocation.index} has a place on {m.name}, which holds nothing")
                self.inventory.release(m, allocation, now)
            elif (
                allocation.state in (AllocationState.QUEUED, AllocationState.SENT)
                and now - allocation.made_at > PLACE_LEASES * self.inventory.lease_s
            ):
                self.inventory.to_query.add(m.index)  # the machine itself has to say why
        if job.hold_until > now + MOST_HELD_S:
            self._defect(job, "it is held back for too long")
            job.hold_until = now
        for index in [i for i in job.possible_holders if not self._may_prove(i)]:
            self._defect(job, "it waits for the proof of a machine that is proved")
            self.registry.clear_possible_holder(index)
            job.possible_holders.discard(index)

    def _may_prove(self, index: int) -> bool:
        m = self.inventory.at(index)
        return m is not None and m.state is MachineState.UNRECONCILED

    def _count(self, job: Job) -> None:
        """Every waiting task stands in the list of those that came back, or beyond the cursor."""
        if job.gang:
            return  # placed whole, by its number of tasks
        back = {i for i in job.returned if i < job.fresh and not job.is_done(i) and i not in job.allocations}
        ahead = sum(1 for i in range(job.fresh, job.spec.tasks) if not job.is_done(i) and i not in job.allocations)
        if len(back) + ahead < job.waiting():
            self._defect(job, "some of its tasks are nowhere")
            job.returned = [i for i in range(job.fresh) if not job.is_done(i) and i not in job.allocations][::-1]
            self.registry.changed = True

    # the record -------------------------------------------------------------------------------------------

    def _read_page(self) -> None:
        """Holds one page of the live records against the books."""
        watched = self.job_watch.watched
        page = self.writer.store.page("live/", self.since, Urgency.PROGRESS)
        first, last = self.since, page.items[-1].key if page.more and page.items else "live0"
        self.since = last if page.more and page.items else ""
        found = {pair.key for pair in page.items}
        # what was changed since the watch last told is still to come that way
        over = self.job_watch.job_completion.completed_jobs
        listed = [p.key[5:] for p in page.items if p.version <= watched]
        strange = [i for i in listed if i not in self.registry.jobs and over.get(i) is None]
        missing = [
            ident
            for ident, job in self.registry.jobs.items()
            if job.live and job.version <= min(watched, page.revision) and first < live_key(ident) <= last
            and live_key(ident) not in found
        ]  # fmt: skip
        if missing:
            # most likely cancelled between the watch's last word and this page
            self.job_watch.catch_up()
            missing = [i for i in missing if i in self.registry.jobs and self.registry.jobs[i].live]
        for ident in (strange + missing)[:MOST_READ]:
            self._read_again(ident)

    def _read_again(self, ident: str) -> None:
        """A fresh read settles it. One of a job that is over by now is read once more, so that nothing of it runs."""
        found = self.writer.store.get(live_key(ident), Urgency.PROGRESS)
        now = self.clock()
        job = self.registry.jobs.get(ident)
        if found is None:
            if job is not None and job.live:
                self._defect(job, "it has no record any more")
                self.job_watch.removed(ident, now)
            return
        if job is not None or self.job_watch.job_completion.completed_jobs.get(ident) is not None:
            return
        self.job_watch.take(found.value, found.version, now)
        job = self.registry.jobs[ident]
        self._defect(job, "it was on record and not in the books")
        # it may run somewhere all the same. Within a lease each machine has reported, so that what it holds is in the
        # books, or holds nothing any more; those of an earlier term have to be proved first
        job.hold_until = now + HELD_LEASES * self.inventory.lease_s
        unreconciled = {m.index for m in self.inventory.unreconciled()}
        if unreconciled:
            self.registry.add_possible_holders(job, unreconciled, job.spec.tasks)
        if self.writer.store.get(live_key(ident), Urgency.PROGRESS) is None:
            self.job_watch.removed(ident, self.clock())
