"""Room that stopping other work would make: what a job may displace, what that costs, and the stopping itself."""

from __future__ import annotations

import logging

from ..books.amounts import fits, plus, times
from ..books.jobs import Job, Place
from ..books.machine import Machine
from ..states import PlaceState
from .aims import Aims
from .view import Decision, View

log = logging.getLogger("grebestand.clearing")


class Clearing(Decision):
    def __init__(self, view: View, aims: Aims) -> None:
        super().__init__(view)
        self.aims = aims
        #: teams over their guarantee when the pass began: only they can be asked to give room back
        self.borrowers: set[int] = set()
        #: by machine, then by priority and the team that takes its guarantee back
        self._options: dict[int, dict[tuple[int, int], list[tuple[float, Place]]]] = {}

    def begin(self) -> None:
        """A full pass begins."""
        self.borrowers = {t for t, team in enumerate(self.ledger.teams) if team.borrows()}
        self._options = {}

    def forget(self, m: Machine) -> None:
        """What was found on a machine may have changed since."""
        self._options.pop(m.index, None)

    def _may_displace(self, job: Job, victim: Place, reclaims: bool) -> bool:
        """Only the protocol's cases: higher priority, or a guarantee against another team's borrowing."""
        other = victim.job
        if other is job or not other.live or victim.stop is not None:
            return False
        mine, theirs = job.rank, other.rank
        if mine != theirs:
            # a guarantee never displaces higher priority: that work would displace it again in turn, and two
            # jobs that take turns in stopping each other get nowhere
            return mine < theirs
        return reclaims and not other.guaranteed and other.team != job.team and self.ledger.teams[other.team].borrows()

    def may_stop(self, job: Job, victim: Place, now: float) -> bool:
        """Whether that is still so for a victim found earlier."""
        return victim.state is not PlaceState.GONE and self._may_displace(job, victim, self.reclaims_for(job, now) >= 0)

    def reclaims_for(self, job: Job, now: float) -> int:
        """The team for which the job may take back a guarantee from others, or -1."""
        others = job.guaranteed and bool(self.borrowers - {job.team})
        return job.team if others and now - job.wait_since >= self.knobs.reclaim_after_s else -1

    def _victims(self, job: Job, m: Machine, now: float) -> list[tuple[float, Place]]:
        """What the job may displace on a machine, the cheapest first; found once a pass for jobs alike."""
        team = self.reclaims_for(job, now)
        known = self._options.setdefault(m.index, {})
        found = known.get((job.rank, team))
        if found is None:
            found = [(self._loss(p, now), p) for p in m.places.values() if self._may_displace(job, p, team >= 0)]
            found.sort(key=lambda o: o[0])
            known[job.rank, team] = found
        return found

    def _loss(self, victim: Place, now: float) -> float:
        """Machine time that stopping this task throws away, gangs counted whole."""
        spec = victim.job.spec
        if victim.run_at is None:
            # its cores have stood still for an image that it will need again elsewhere
            seconds = 1.0 + now - victim.made_at
        elif spec.checkpoint_s > 0:
            seconds = spec.save_s + 1.0
        else:
            seconds = now - victim.run_at
        tasks = spec.tasks if victim.job.gang else 1
        # what was stopped before should not be the cheapest again: some gangs were placed nine times
        again = 1.0 + victim.job.displaced
        dearer = 3.0 if victim.job.guaranteed or self.aims.tight(victim, now) else 1.0
        return again * dearer * tasks * (1.0 + seconds) * max(victim.job.size[0], 1) / 1e6

    def hopeless(self, job: Job, m: Machine, reclaims: bool) -> bool:
        """Whether not even all that the job may displace there, and what leaves already, would make room for a task.

        A look at what each priority uses; most machines are passed over by it.
        """
        if m.leaving:
            return False
        cpus = m.free[0] + sum(m.rank_cpus[job.rank + (not reclaims) :])
        return cpus < job.size[0]

    def eviction(self, job: Job, m: Machine, tasks: int, now: float) -> tuple[list[Place], float] | None:
        """The cheapest victims on one machine that free room for so many tasks, or None if none can."""
        need = times(job.size, tasks)
        room = m.free
        if m.leaving:
            for place in m.places.values():
                if place.stop is not None:
                    room = plus(room, place.job.size)
        victims: list[Place] = []
        cost = 0.0
        options = iter(self._victims(job, m, now))
        while not fits(need, room):
            option = next(options, None)
            if option is None:
                return None
            loss, place = option
            if place.stop is not None or place.state is PlaceState.GONE:
                continue  # since the list was made
            victims.append(place)
            cost += loss
            room = plus(room, place.job.size)
        return victims, cost

    def displace(self, victims: list[Place], job: Job, now: float) -> None:
        for victim in victims:
            other = victim.job
            grace = other.spec.save_s + 1.0 if other.spec.checkpoint_s > 0 else 0.0
            log.info("%s/%d is stopped to make room for %s", other.spec.id, victim.index, job.spec.id)
            if other.gang:
                other.displaced += 1
                self.dispatch.stop_job(other, "preempted", grace, now)
            else:
                self.dispatch.stop(victim, "preempted", grace, now)

    @staticmethod
    def patient(job: Job, after_s: float, now: float) -> bool:
        """Whether the job should go on waiting before anything is stopped for it."""
        return now - job.wait_since < after_s or now - job.preempt_at < 1.0
