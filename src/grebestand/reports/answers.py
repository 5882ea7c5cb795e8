"""What a worker is told in answer to its report, and directly."""

from __future__ import annotations

from ..books.jobs import Job
from ..books.ledger import Ledger
from ..books.machine import Machine
from ..measures.sketches import Sketches
from ..states import JobState, MachineState, PlaceState
from ..wire.jobs import Malformed, split_task
from ..wire.workers import Command, Report, TaskReport, TaskStatus, Why

#: a response line and a report body hold 64 KiB; this keeps both well below
MOST_COMMANDS = 300


class Answers:
    def __init__(self, ledger: Ledger, sketches: Sketches) -> None:
        self.ledger = ledger
        self.sketches = sketches

    def commands(self, m: Machine, r: Report, now: float, starts: bool = True) -> list[Command]:
        """What the worker is told. Starts ride on check-in responses only, and only to recorded machines.

        Without `starts` nothing begins now; what is queued waits for the next report.
        """
        out = self.unwanted(r, m)
        stopped = {(c.task, c.attempt) for c in out}
        forgets: list[Command] = []
        for status in r.tasks:
            if status.state is not TaskReport.EXITED:
                continue
            try:
                ident, index = split_task(status.task)
            except Malformed:
                continue
            if self._may_forget(self.ledger.jobs.get(ident), index, status):
                forgets.append(Command("forget", status.task, status.attempt))
        for place in m.places.values() if m.leaving else ():
            if place.stop is not None:
                # a repeat with the same grace changes nothing; only a grace of 0 cuts a save short
                if (place.name, place.attempt) not in stopped:
                    out.append(Command("stop", place.name, place.attempt, place.grace))
                place.stop_sent_at = now
        # stops first, as this answer renews the lease of what they are for; what is forgotten may start again
        out = (out + forgets)[:MOST_COMMANDS]
        for place in m.places.values() if starts and m.state is MachineState.READY and m.recorded else ():
            if len(out) >= MOST_COMMANDS:
                break
            if place.stop is not None:
                continue
            if place.state is PlaceState.QUEUED or (place.state is PlaceState.SENT and place.sent_seq < 0):
                if not place.job.covers(place):
                    continue  # a later leader would not know where to look for it
                if place.held and self._gang_fetches(place.job):
                    continue
                self.ledger.move_place(place, PlaceState.SENT, now)
                place.session = place.sent_session = r.session
                place.sent_seq = r.seq
                place.told_at = now
                job = place.job
                self.sketches.add("room to start", now - max(m.freed_at, job.accepted_at))
                self.sketches.add("decision to start", now - place.made_at)
                if job.stages is not None:
                    job.stages.sent = now
                out.append(Command("start", place.name, place.attempt))
        return out

    def unwanted(self, r: Report, m: Machine | None = None) -> list[Command]:
        """Stops of what a worker lists and must not go on with.

        Of jobs that are over: true whenever the report was written, since whatever an earlier leader may have started
        was live when this one read the records, or is over. Of a machine that is as its report says (`m`), also second
        copies and other attempts: all that is not in its books as it is there.
        """
        stops = []
        for status in r.tasks:
            if status.state is TaskReport.EXITED:
                continue
            job, place = self.ledger.jobs.get(status.task.rpartition("/")[0]), m.places.get(status.task) if m else None
            over = job is None or job.state in (JobState.DONE, JobState.CANCELLED)
            if over or (m is not None and (place is None or place.attempt != status.attempt)):
                stops.append(Command("stop", status.task, status.attempt, 0.0))
        return stops[:MOST_COMMANDS]

    @staticmethod
    def _gang_fetches(job: Job) -> bool:
        """Whether others of the gang still wait for the image, so that one more task would only wait for them."""
        early = (PlaceState.QUEUED, PlaceState.SENT, PlaceState.FETCHING)
        return any(not p.held and p.state in early for p in job.places.values())

    def _may_forget(self, job: Job | None, index: int, status: TaskStatus) -> bool:
        if job is None or status.why is not Why.DONE or index >= job.spec.tasks:
            return True
        # a result is forgotten only once it is durable: until then the report is the only record of it
        return job.state in (JobState.DONE, JobState.CANCELLED) or job.is_durable(index)

    @staticmethod
    def uncovered(m: Machine) -> bool:
        """Whether a grant has to be widened before all that is queued for this machine may be sent."""
        return any(p.state is PlaceState.QUEUED and not p.job.covers(p) for p in m.places.values())

    @staticmethod
    def direct_stops(m: Machine) -> list[Command]:
        return [Command("stop", p.name, p.attempt, p.grace) for p in m.places.values() if p.stop is not None]
