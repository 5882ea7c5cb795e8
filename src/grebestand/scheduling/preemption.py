"""Room that stopping other work would make: what a job may displace, what that costs, and the stopping itself."""

from __future__ import annotations

import logging
import operator
from typing import NamedTuple

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import add, fits, multiply
from ..state_machines import AllocationState
from .job_ordering import JobOrdering
from .scheduling_context import SchedulingComponent, SchedulingContext

log = logging.getLogger(__name__)

#: what is known of a machine that was not looked at
NOT_RANKED: tuple[int, list[tuple[float, Allocation]]] = (-1, [])


class PreemptionCost(NamedTuple):
    """What is the same for all places of a job when one of them is to be stopped."""

    #: of a second of its work, in CPU seconds, gangs counted whole
    price: float
    saves: bool
    #: it counts for more: within a guarantee, or about to miss an aim
    dear: bool


class Preemption(SchedulingComponent):
    def __init__(self, view: SchedulingContext, aims: JobOrdering) -> None:
        super().__init__(view)
        self.aims = aims
        #: teams over their guarantee when the pass began: only they can be asked to give room back
        self.borrowers: set[int] = set()
        #: by machine: its count of edits, and what it holds, the cheapest to stop first
        self._ranked: dict[int, tuple[int, list[tuple[float, Allocation]]]] = {}
        #: by job, what is the same for all its places
        self._stakes: dict[Job, PreemptionCost] = {}

    def begin(self) -> None:
        """A full pass begins."""
        self.borrowers = {t for t, team in enumerate(self.registry.teams) if team.borrows()}

    def forget(self) -> None:
        """Time has passed, so that what stopping costs has to be looked up again."""
        self._ranked = {}
        self._stakes = {}

    def _may_displace(self, job: Job, victim: Allocation, reclaims: bool) -> bool:
        """Only the protocol's cases: higher priority, or a guarantee against another team's borrowing."""
        other = victim.job
        if other is job or not other.live or victim.stop is not None:
            return False
        mine, theirs = job.rank, other.rank
        if mine != theirs:
            # a guarantee never displaces higher priority: that work would displace it again in turn, and two
            # jobs that take turns in stopping each other get nowhere
            return mine < theirs
        return (
            reclaims and not other.guaranteed and other.team != job.team and self.registry.teams[other.team].borrows()
        )

    def may_stop(self, job: Job, victim: Allocation, now: float) -> bool:
        """Whether that is still so for a victim found earlier."""
        return victim.state is not AllocationState.GONE and self._may_displace(
            job, victim, self.reclaims_for(job, now) >= 0
        )

    def reclaims_for(self, job: Job, now: float) -> int:
        """The team for which the job may take back a guarantee from others, or -1."""
        others = job.guaranteed and bool(self.borrowers - {job.team})
        return job.team if others and now - job.wait_since >= self.policy_values.reclaim_after_s else -1

    def _victims(self, m: Machine, now: float) -> list[tuple[float, Allocation]]:
        """All that a machine holds, the cheapest to stop first, whoever asks.

        Sorted once for everybody: once for each team that took its guarantee back, with the same places and the same
        prices each time, was most of what a pass cost in a crowded fleet. Looked up again when the machine changes,
        and with each new targets since prices grow with time.
        """
        change_count, found = self._ranked.get(m.index, NOT_RANKED)
        if change_count != m.change_count:
            found = sorted(
                ((self._loss(p, now), p) for p in m.allocations.values() if p.stop is None), key=operator.itemgetter(0)
            )
            self._ranked[m.index] = m.change_count, found
        return found

    def _stake(self, job: Job, now: float) -> PreemptionCost:
        known = self._stakes.get(job)
        if known is None:
            spec = job.spec
            tasks = spec.tasks if job.gang else 1
            # what was stopped before should not be the cheapest again: some gangs were placed nine times
            price = (1.0 + job.displaced) * tasks * max(job.size[0], 1) / 1e6
            saves = spec.checkpoint_s > 0
            dear = job.guaranteed or (not saves and self.aims.tight(job, None, now))
            known = self._stakes[job] = PreemptionCost(price, saves, dear)
        return known

    def _loss(self, victim: Allocation, now: float) -> float:
        """Machine time that stopping this task throws away, gangs counted whole."""
        job = victim.job
        stake = self._stake(job, now)
        if victim.run_at is None:
            # its cores have stood still for an image that it will need again elsewhere
            seconds = 1.0 + now - victim.made_at
        elif stake.saves:
            seconds = job.spec.save_s + 1.0
        else:
            seconds = now - victim.run_at
        dear = stake.dear or (stake.saves and self.aims.tight(job, victim.run_at, now))
        return (3.0 if dear else 1.0) * stake.price * (1.0 + seconds)

    def hopeless(self, job: Job, m: Machine, reclaims: bool) -> bool:
        """Whether not even all that the job may displace there, and what leaves already, would make room for a task.

        A look at what each priority uses, and of its own priority what teams beyond their guarantee do; most machines
        are passed over by it.
        """
        if m.leaving:
            return False
        cpus = m.free[0] + sum(m.rank_cpus[job.rank + 1 :])
        if reclaims and cpus < job.size[0]:
            cpus += sum(
                n for (r, t), n in m.team_cpus.items() if r == job.rank and t != job.team and t in self.borrowers
            )
        return cpus < job.size[0]

    def eviction(self, job: Job, m: Machine, tasks: int, now: float) -> tuple[list[Allocation], float] | None:
        """The cheapest victims on one machine that free room for so many tasks, or None if none can."""
        need = multiply(job.size, tasks)
        room = m.free
        if m.leaving:
            for allocation in m.allocations.values():
                if allocation.stop is not None:
                    room = add(room, allocation.job.size)
        victims: list[Allocation] = []
        cost = 0.0
        reclaims = self.reclaims_for(job, now) >= 0
        for loss, allocation in self._victims(m, now):
            if fits(need, room):
                break
            # what has gone or was stopped since the list was made is not asked again
            if allocation.state is not AllocationState.GONE and self._may_displace(job, allocation, reclaims):
                victims.append(allocation)
                cost += loss
                room = add(room, allocation.job.size)
        return (victims, cost) if fits(need, room) else None

    def displace(self, victims: list[Allocation], job: Job, now: float) -> None:
        if victims:
            names = ", ".join(f"{v.job.spec.id}/{v.index}" for v in victims)
            log.info("stopped to make room for %s: %s", job.spec.id, names)
        for victim in victims:
            other = victim.job
            grace = other.spec.save_s + 1.0 if other.spec.checkpoint_s > 0 else 0.0
            if other.gang:
                other.displaced += 1
                self.dispatch.stop_job(other, "preempted", grace, now)
            else:
                self.dispatch.stop(victim, "preempted", grace, now)

    @staticmethod
    def patient(job: Job, after_s: float, now: float) -> bool:
        """Whether the job should go on waiting before anything is stopped for it."""
        return now - job.wait_since < after_s or now - job.preempt_at < 1.0
