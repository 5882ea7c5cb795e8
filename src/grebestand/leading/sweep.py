"""Looks over all live jobs, slowly: each has to be startable, placed, held with an end, or waiting for a named proof.

The books are kept by events: a report, a change of a record, a proof. One that is lost, or a fault of this program,
would leave a job waiting for something that never comes. So every job is looked at again and again, in the books and in
the record; what does not fit is logged and mended by a fresh read, a few at a time.
"""

from __future__ import annotations

import logging
import math

from ..books.jobs import Job
from ..limits.budget import Urgency
from ..records.jobs import live_key
from ..states import MachineState, PlaceState
from .basis import Basis, Part
from .live_jobs import LiveJobs

log = logging.getLogger("grebestand.sweep")

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


class Sweep(Part):
    def __init__(self, basis: Basis, jobs: LiveJobs) -> None:
        super().__init__(basis)
        self.jobs = jobs
        self.page_at = -math.inf
        #: where the next page of the record begins
        self.since = ""
        self._turn = 0
        #: what was mended so far
        self.mended = 0

    def step(self) -> None:
        now = self.clock()
        quiet = []
        for job in list(self.ledger.jobs.values()):
            if job.live:
                self._look(job, now)
                if now - max(job.started_at, job.wait_since) > QUIET_S and not job.suspects and job.waiting() > 0:
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
        for place in list(job.places.values()):
            m = self.fleet.at(place.machine)
            if m is None:
                self._defect(job, f"task {place.index} has a place on a machine that is gone")
                self.ledger.move_place(place, PlaceState.GONE, now)
            elif place.name not in m.places:
                self._defect(job, f"{m.name} does not know of task {place.index}")
                self.fleet.occupy(m, place)  # its next report says whether it is there
            elif m.state is MachineState.LAPSED:
                self._defect(job, f"task {place.index} has a place on {m.name}, which holds nothing")
                self.fleet.release(m, place, now)
            elif (
                place.state in (PlaceState.QUEUED, PlaceState.SENT)
                and now - place.made_at > PLACE_LEASES * self.fleet.lease_s
            ):
                self.fleet.to_ask.add(m.index)  # the machine itself has to say why
        if job.hold_until > now + MOST_HELD_S:
            self._defect(job, "it is held back for too long")
            job.hold_until = now
        for index in [i for i in job.suspects if not self._may_prove(i)]:
            self._defect(job, "it waits for the proof of a machine that is proved")
            self.ledger.prove(index)
            job.suspects.discard(index)

    def _may_prove(self, index: int) -> bool:
        m = self.fleet.at(index)
        return m is not None and m.state is MachineState.UNPROVED

    def _count(self, job: Job) -> None:
        """Every waiting task stands in the list of those that came back, or beyond the cursor."""
        if job.gang:
            return  # placed whole, by its number of tasks
        back = {i for i in job.returned if i < job.fresh and not job.is_done(i) and i not in job.places}
        ahead = sum(1 for i in range(job.fresh, job.spec.tasks) if not job.is_done(i) and i not in job.places)
        if len(back) + ahead < job.waiting():
            self._defect(job, "some of its tasks are nowhere")
            job.returned = [i for i in range(job.fresh) if not job.is_done(i) and i not in job.places][::-1]
            self.ledger.changed = True

    # the record -------------------------------------------------------------------------------------------

    def _read_page(self) -> None:
        """Holds one page of the live records against the books."""
        watched = self.jobs.watched
        page = self.pen.state.page("live/", self.since, Urgency.PROGRESS)
        first, last = self.since, page.items[-1].key if page.more and page.items else "live0"
        self.since = last if page.more and page.items else ""
        found = {pair.key for pair in page.items}
        # what was changed since the watch last told is still to come that way
        over = self.jobs.closing.finals
        listed = [p.key[5:] for p in page.items if p.version <= watched]
        strange = [i for i in listed if i not in self.ledger.jobs and over.get(i) is None]
        missing = [
            ident
            for ident, job in self.ledger.jobs.items()
            if job.live and job.version <= min(watched, page.revision) and first < live_key(ident) <= last
            and live_key(ident) not in found
        ]  # fmt: skip
        if missing:
            # most likely cancelled between the watch's last word and this page
            self.jobs.catch_up()
            missing = [i for i in missing if i in self.ledger.jobs and self.ledger.jobs[i].live]
        for ident in (strange + missing)[:MOST_READ]:
            self._read_again(ident)

    def _read_again(self, ident: str) -> None:
        """A fresh read settles it. One of a job that is over by now is read once more, so that nothing of it runs."""
        found = self.pen.state.get(live_key(ident), Urgency.PROGRESS)
        now = self.clock()
        job = self.ledger.jobs.get(ident)
        if found is None:
            if job is not None and job.live:
                self._defect(job, "it has no record any more")
                self.jobs.removed(ident, now)
            return
        if job is not None or self.jobs.closing.finals.get(ident) is not None:
            return
        self.jobs.take(found.value, found.version, now)
        job = self.ledger.jobs[ident]
        self._defect(job, "it was on record and not in the books")
        # it may run somewhere all the same. Within a lease each machine has reported, so that what it holds is in the
        # books, or holds nothing any more; those of an earlier term have to be proved first
        job.hold_until = now + HELD_LEASES * self.fleet.lease_s
        unproved = {m.index for m in self.fleet.unproved()}
        if unproved:
            self.ledger.suspect(job, unproved, job.spec.tasks)
        if self.pen.state.get(live_key(ident), Urgency.PROGRESS) is None:
            self.jobs.removed(ident, self.clock())
