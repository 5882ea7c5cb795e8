"""What a report proves, and what follows from it for the books."""

from __future__ import annotations

import logging

from ..books.dispatch import Dispatch
from ..books.fleet import DOUBTFUL, SILENT_REPORTS, Fleet
from ..books.jobs import Job, Place, Stages
from ..books.learned import RunTimes
from ..books.ledger import Ledger
from ..books.machine import Machine
from ..decisions.health import Health
from ..decisions.speed import Speeds
from ..measures.sketches import Sketches
from ..states import JobState, MachineState, PlaceState, Reception
from ..wire.jobs import Kind, Malformed, split_task
from ..wire.workers import Report, TaskReport, TaskStatus, Why

log = logging.getLogger("grebestand.reports")

_SEEN = {
    TaskReport.FETCHING: PlaceState.FETCHING,
    TaskReport.WAITING: PlaceState.WAITING,
    TaskReport.RUNNING: PlaceState.RUNNING,
    TaskReport.SAVING: PlaceState.SAVING,
}
#: a machine may have counted so much further than was heard of it before it began anew
UNSEEN_COUNTS = 40
#: a worker drops an answer after four seconds, and a question of three may have been made in between: so long after it
#: was told to start a task, its answer to a question shows that it was not
TOLD_S = 8.0
#: a session that lasts for so many leases is kept up by answers
OUTLIVED_LEASES = 1.4
#: how long the machines of a gang are kept for its next attempt while an image is still on its way
WARM_S = 45.0


class Reader:
    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        dispatch: Dispatch,
        run_times: RunTimes,
        health: Health,
        speeds: Speeds,
        sketches: Sketches,
    ) -> None:
        self.ledger = ledger
        self.fleet = fleet
        self.dispatch = dispatch
        self.run_times = run_times
        self.health = health
        self.speeds = speeds
        self.sketches = sketches
        self.token = dispatch.token

    def meet(self, r: Report, now: float) -> Machine | None:
        """The machine that a report is of; None if it was deleted: then the report was made before."""
        m = self.fleet.by_name.get(r.machine)
        if m is None:
            if self.fleet.was_deleted(r.machine, now):
                return None
            m = self.fleet.add(r.machine, r.addr, r.type, r.zone, r.spot, now)
            m.newborn = not r.token
            log.info("machine %s reports for the first time (%s, %s)", r.machine, r.type, r.zone)
        return m

    def read(self, r: Report, now: float, direct: bool) -> Machine | None:
        """Takes a report into the books; None if nothing in it is known to be so now.

        What each part of a report proves is in docs/design.md, "What a report proves". A result is true for ever. All
        else is taken only from a report that is newer than any before and echoes this term's token: it was made after
        the worker had heard of this term, so that nothing of an earlier leader can follow it.
        """
        m = self.meet(r, now)
        if m is None:
            return None
        newer = (r.session, r.seq) > (m.session, m.seq)
        fenced = r.token == self.token
        if not newer or not fenced or not self._explained(m, r, direct, now):
            self._read_results(m, r, now)
            return self._unproved(m, r, newer, fenced, now)
        # of a machine that has begun anew, what is not above its earlier counts may be a copy from before
        sure = direct or (r.session, r.seq) > m.former
        if not sure and m.session and r.session != m.session:
            self._read_results(m, r, now)
            self.fleet.to_ask.add(m.index)
            return None
        m.addr = r.addr
        new_session = r.session > m.session
        # one that is heard now and then only may be trying others, as nobody's answers come through
        seldom = now - m.heard_at > SILENT_REPORTS * self.fleet.report_s
        m.session, m.seq, m.token = r.session, r.seq, r.token
        if new_session:
            # the lease ended in between: the worker killed and forgot all tasks of earlier sessions
            for place in [p for p in m.places.values() if p.session < r.session]:
                if place.state is PlaceState.QUEUED:
                    place.session = r.session
                else:
                    self._lost(m, place, "lease ended", now)
        if m.state is MachineState.LAPSED:
            self.fleet.move(m, MachineState.READY if m.recorded else MachineState.NEW, now)
        elif m.state is MachineState.SUSPECT or (m.state is MachineState.NEW and m.recorded):
            self.fleet.move(m, MachineState.READY, now)
        if not direct and now - m.heard_at < self.fleet.lease_s:
            self.sketches.add("late report", now - m.heard_at - self.fleet.report_s)
        m.heard_at = now
        places, seq = m.places, r.seq
        for status in r.tasks:
            known = places.get(status.task)
            if known is None or known.attempt != status.attempt or status.state is TaskReport.EXITED:
                self._read_other(m, status, now)
                continue
            # nearly all that is ever reported: a known task, mostly with no news
            known.seen_seq = seq
            if known.state is not _SEEN[status.state]:
                self._read_state(m, known, _SEEN[status.state], now)
        self._read_absent(m, r, direct, sure, seldom, now)
        if m.state is MachineState.UNPROVED:
            self._heard_us(m, now)  # nobody but this term can have told it the token
            if not self._strangers(m, r):
                self.fleet.move(m, MachineState.READY, now)
        if r.notice_s is not None and m.drain != "recall":
            log.info("machine %s will be taken back in %.0f s", m.name, r.notice_s)
            m.drain = "recall"
            m.doom_at = now + r.notice_s
            self.health.evacuate(m, now)
        return m

    def _unproved(self, m: Machine, r: Report, newer: bool, fenced: bool, now: float) -> Machine | None:
        """What follows from a report that does not say how its machine is now."""
        if newer and not fenced and m.token != self.token:
            # it has not heard of this term yet: the answer tells it, and its next report is proof
            if m.session:
                self.fleet.doubt(m, "it goes on reporting an older token", now)
            m.addr, m.session, m.seq, m.heard_at = r.addr, r.session, r.seq, now
            return m
        if newer and not fenced:
            # counts only go up in one life, and so does the token: this is another
            m.former = max(m.former, (m.session, m.seq + UNSEEN_COUNTS))
        # an old copy, or a worker that began to count anew: only its answer to a question asked now tells which
        self.fleet.to_ask.add(m.index)
        return None

    def _explained(self, m: Machine, r: Report, direct: bool, now: float) -> bool:
        """Whether a new report of this term fits what is known of its machine; if not, it is asked."""
        if direct:
            self.fleet.receive(m, Reception.HEARS, "it answers", now)
            return True
        if m.reception is Reception.DEAF:
            # that its reports come says nothing of whether answers arrive
            return self._outlived(m, r, now)
        if m.state is MachineState.LAPSED and r.session <= m.session:
            return False  # its lease is over, so it has gone on to a later session: this was sent before
        if r.session > m.session and (m.session or m.state is MachineState.LAPSED):
            # its lease ended: it was away, or its reports come and the answers do not. They come seldom then, as it
            # tries one controller after the other; in between it lapsed here, and was used again with each report
            self.fleet.doubt(m, "its lease has ended", now, DOUBTFUL)
            if m.places and m.state is not MachineState.LAPSED and not self.fleet.lease_over(m, now):
                # it was answered within a lease: either the answer did not arrive, or this is a copy of an earlier life
                # whose sessions nobody here has heard of. Taken for true, it ended what ran, and it was started again
                return False
        return True

    def _outlived(self, m: Machine, r: Report, now: float) -> bool:
        """Whether a deaf machine has gone on in one session for longer than its lease.

        Once its lease is over it holds nothing and is answered again. If that arrives, no further lease ends; so it is
        also known to hear where it cannot be asked directly.
        """
        if m.state is not MachineState.LAPSED or r.session < m.deaf_session:
            return False
        if r.session > m.deaf_session:
            m.deaf_session, m.deaf_at = r.session, now
        if now - m.deaf_at <= OUTLIVED_LEASES * self.fleet.lease_s:
            return False
        self.fleet.receive(m, Reception.HEARS, "its lease did not end though nothing but answers renews it", now)
        return True

    @staticmethod
    def _strangers(m: Machine, r: Report) -> bool:
        """Whether something runs there that is in no books: of a job that is over, or a second copy.

        It was cancelled while nobody led, or done elsewhere, and is told to stop; whose it was is on no record.
        Until it is gone, the machine counts in full against every team like one that has not been heard. Taken for
        proved with such tasks on it, others of their team were started, and it was over its limit.
        """
        return any(s.state is not TaskReport.EXITED and s.task not in m.places for s in r.tasks)

    def _heard_us(self, m: Machine, now: float) -> None:
        """What it reports is as it was answered."""
        if m.reception is not Reception.DEAF:
            m.missed = 0
            self.fleet.receive(m, Reception.HEARS, "it does as it is told", now)

    def restarted(self, m: Machine, session: int, now: float) -> None:
        """A machine counts its reports anew: it has begun again, in this session.

        What was on it is read from the answer that showed this, which follows. A copy of its earlier life may have made
        it look so; then what was just sent there may still begin, so nothing is taken for lost here.
        """
        log.info("machine %s has begun anew", m.name)
        m.former = max(m.former, (m.session, m.seq + UNSEEN_COUNTS))
        for place in m.places.values():
            place.session = session
            place.sent_session = place.sent_seq = 0
        m.session = m.seq = m.token = 0

    def _read_results(self, m: Machine, r: Report, now: float) -> None:
        """Tasks that are done: however old the report is, they stay so."""
        for status in r.tasks:
            if status.state is TaskReport.EXITED and status.why is Why.DONE:
                self._read_other(m, status, now)

    def _read_absent(self, m: Machine, r: Report, direct: bool, sure: bool, seldom: bool, now: float) -> None:
        resent = False
        for place in [p for p in m.places.values() if p.seen_seq != r.seq and p.state is not PlaceState.QUEUED]:
            if place.state is PlaceState.GONE:
                continue  # with another task of its gang
            if place.state is PlaceState.SENT:
                # a direct report may overtake the check-in response that carries the start, so only a newer
                # check-in proves that the start was lost
                newer = (r.session, r.seq) > (place.sent_session, place.sent_seq)
                if (direct or not newer) and not (direct and now - place.told_at > TOLD_S):
                    continue
                resent = True
                if place.stop is not None or not place.job.live:
                    if sure:
                        self._lost(m, place, "never started", now)
                    else:
                        self.fleet.to_ask.add(m.index)
                else:
                    self.ledger.move_place(place, PlaceState.SENT, now)
                    place.sent_seq = -1  # send again
                continue
            if sure:
                self._lost(m, place, "vanished", now)
            else:
                # its earlier life's report, which came late, did not list it either: the machine is asked
                self.fleet.to_ask.add(m.index)
        if resent:
            self.fleet.doubt(m, "it was told to start tasks and has not", now, DOUBTFUL if seldom else 1)

    def _read_other(self, m: Machine, status: TaskStatus, now: float) -> None:
        """A task that has exited, or one that this leader has not started there."""
        try:
            ident, index = split_task(status.task)
        except Malformed:
            return
        job = self.ledger.jobs.get(ident)
        if job is None or index >= job.spec.tasks:
            return  # answered with a stop in `commands`
        if status.state is TaskReport.EXITED:
            place = m.places.get(status.task)
            same = place is not None and place.attempt == status.attempt
            self._read_exit(m, job, index, place if same else None, status, now)
        elif index not in job.places and job.live and not job.is_done(index):
            place = self._adopt(m, job, index, status, now)
            place.seen_seq = m.seq
            self._read_state(m, place, _SEEN[status.state], now)

    def _read_state(self, m: Machine, place: Place, state: PlaceState, now: float) -> None:
        """A task is in another state than it was before."""
        if place.state is PlaceState.SENT:
            self._heard_us(m, now)
        self.ledger.move_place(place, state, now)
        stages = place.job.stages
        if stages is not None and stages.attempt == place.attempt:
            self._stage(place.job, stages, state, now)
        if state is PlaceState.RUNNING:
            self._tell_begun(place.job, now)
        if state is not PlaceState.FETCHING:
            self.fleet.note_image(m, place.job.image, place.job.spec.image_gb)
            if place.warms:
                self.dispatch.stop(place, "gang broken", 0.0, now)

    @staticmethod
    def _tell_begun(job: Job, now: float) -> None:
        """Tells once when a job began: an array with its first task, a gang when all run."""
        if not job.begun and (not job.gang or job.done_count or job.running() == job.spec.tasks):
            job.begun = True
            log.info("%s began after %.1f s", job.spec.id, now - job.accepted_at)

    @staticmethod
    def _stage(job: Job, stages: Stages, state: PlaceState, now: float) -> None:
        """Tells of a gang that runs as a whole what each stage of its start took."""
        if state is PlaceState.FETCHING:
            stages.reported = now
        elif state is PlaceState.RUNNING and job.running() == job.spec.tasks:
            job.stages = None
            reported = max(stages.reported, stages.sent)
            log.info(
                "gang %s runs whole: %d tasks, placed %.1f s after there was room, %.1f s to the grant, %.1f s to the "
                "last answer, %.1f s to the last report of it, %.1f s to the last image",
                job.spec.id, job.spec.tasks, stages.placed - stages.room, stages.covered - stages.placed,
                stages.sent - max(stages.covered, stages.placed), reported - stages.sent, now - reported,
            )  # fmt: skip

    def _adopt(self, m: Machine, job: Job, index: int, status: TaskStatus, now: float) -> Place:
        """A task that an earlier leader started: it goes on."""
        place = self.ledger.open_place(job, index, m.index, status.attempt, now)
        place.session = m.session
        self.fleet.occupy(m, place)
        log.debug("found %s/%d on %s", job.spec.id, index, m.name)
        return place

    def _read_exit(self, m: Machine, job: Job, index: int, place: Place | None, status: TaskStatus, now: float) -> None:
        why = status.why
        if why is Why.DONE:
            if place is not None and place.run_at is not None and job.spec.estimate_s > 0:
                self.run_times.learn(job, now - place.run_at)
            if place is not None:
                self.speeds.finished(m, place, now)
                self.fleet.release(m, place, now)
            m.errors = 0
            m.error_jobs.clear()
            self.finish_task(job, index, now)
            return
        if place is None:
            return
        if why is Why.BUSY:
            # another attempt of this task is on this very machine: the report names it, and it is adopted
            log.info("%s on %s: another attempt is there", status.task, m.name)
        elif why is Why.ERROR:
            self.health.failed(m, job, now - place.run_at if place.run_at is not None else 0.0, now)
        elif why is Why.NO_ROOM:
            # the machine holds something this leader does not count: look again after the next reports
            log.info("%s refused by %s: no room", status.task, m.name)
            m.blocked_until = max(m.blocked_until, now + self.fleet.report_s)
        elif why is Why.UNKNOWN:
            log.info("%s refused by %s: no such job there", status.task, m.name)
            job.hold_until = max(job.hold_until, now + 2 * self.fleet.report_s)
        elif why is Why.STOPPED and status.saved:
            job.earned = True
            job.doubtful = False
        elif why is Why.ALONE:
            log.info("%s on %s: its gang did not become complete", status.task, m.name)
        self._lost(m, place, why.value if why else "exited", now)

    def _lost(self, m: Machine, place: Place, why: str, now: float) -> None:
        """A place ended without completing its task."""
        job = place.job
        log.debug("%s/%d on %s ended: %s", job.spec.id, place.index, m.name, why)
        was_queued = place.state is PlaceState.QUEUED
        self.fleet.release(m, place, now)
        if job.gang and job.live and not was_queued and job.places:
            # the rest of this attempt is of no use: their progress since the last checkpoint is lost anyway,
            # and no task may start again before all of them are gone. An orderly stop goes on as it is.
            for other in list(job.places.values()):
                if other.attempt == place.attempt:
                    if other.stop is None and not self._keeps_fetching(m, other, why, now):
                        self.dispatch.stop(other, "gang broken", 0.0, now)
                else:
                    self.dispatch.stop(other, "stale attempt", 0.0, now)

    def _keeps_fetching(self, m: Machine, place: Place, why: str, now: float) -> bool:
        """Whether a task of a gang that waited in vain goes on fetching, so that the next attempt finds the image.

        A machine gives up a fetch that no task waits for. When the slowest fetch of a gang took longer than
        `gang_wait_s` after the fastest, the gang cleared machines and began anew every 30 s without ever starting.
        """
        if why != Why.ALONE.value or place.state is not PlaceState.FETCHING:
            return False
        place.warms = True
        for machine in (m, self.fleet.at(place.machine)):
            if machine is not None and machine.reserved_for is None:
                machine.reserved_for, machine.reserved_until = place.job.spec.id, now + WARM_S
        return True

    def finish_task(self, job: Job, index: int, now: float) -> None:
        if not job.live:
            return
        if job.spec.kind is Kind.GANG:
            # a gang completes together: if one task is done, all are
            for i in range(job.spec.tasks):
                self.ledger.mark_done(job, i, now)
        elif not job.is_done(index):
            self.ledger.mark_done(job, index, now)
            job.dirty.setdefault(index // self.ledger.chunk_bits, now)
        self._tell_begun(job, now)
        if job.unfinished() == 0:
            self.ledger.move_job(job, JobState.CLOSING, now)
