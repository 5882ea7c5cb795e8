"""What has been decided to start and to stop, and is still to be told to the workers."""

from __future__ import annotations

from ..states import JobState, PlaceState
from .fleet import Fleet
from .jobs import Job, Place
from .ledger import Ledger
from .machine import Machine

#: how many attempts a leader can name under one token before it would run into the next one's
ATTEMPTS_PER_TOKEN = 1 << 24


class Dispatch:
    def __init__(self, ledger: Ledger, fleet: Fleet, token: int) -> None:
        self.ledger = ledger
        self.fleet = fleet
        self.token = token
        #: machines with a stop that should not wait for the next report
        self.urgent: set[int] = set()
        #: jobs with queued tasks that their durable grant does not cover yet
        self.to_cover: dict[str, Job] = {}
        self._attempts = 0

    def next_attempt(self) -> int:
        """Unique among all leaders' attempts: the token never repeats, nor does the count below it."""
        self._attempts += 1
        return self.token * ATTEMPTS_PER_TOKEN + self._attempts

    def start(self, job: Job, index: int, m: Machine, attempt: int, now: float) -> Place:
        place = self.ledger.open_place(job, index, m.index, attempt, now)
        place.session = m.session
        self.fleet.occupy(m, place)
        if not job.covers(place):
            self.to_cover[job.spec.id] = job
        return place

    def stop(self, place: Place, why: str, grace: float, now: float) -> None:
        """Asks for a task's end. What was never sent is simply taken back."""
        m = self.fleet.at(place.machine)
        if m is None or place.state is PlaceState.GONE:
            return
        if place.state is PlaceState.QUEUED:
            self.fleet.release(m, place, now)
            return
        if place.stop is not None and grace >= place.grace:
            return
        if place.stop is None:
            m.leaving += 1
            m.edits += 1
        place.stop, place.grace = why, grace
        self.urgent.add(m.index)

    def stop_job(self, job: Job, why: str, grace: float, now: float) -> None:
        for place in list(job.places.values()):
            self.stop(place, why, grace, now)

    def cancel(self, job: Job, now: float) -> None:
        """The cancellation is committed: nothing more starts, and what is anywhere is stopped."""
        if job.state in (JobState.DONE, JobState.CANCELLED):
            return
        self.ledger.move_job(job, JobState.CANCELLED, now)
        self.stop_job(job, "cancelled", 0.0, now)
        self.ledger.drop_if_settled(job)
