"""Preemption: which work a job may displace, what stopping it costs, and the stopping itself."""

from __future__ import annotations

import logging
import operator
from typing import NamedTuple

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS, add, fits, multiply
from ..log_events import LogEvent
from ..state_machines import AllocationState
from .job_ordering import JobOrdering
from .scheduling_context import SAVE_MARGIN_S, SchedulingComponent, SchedulingContext

log = logging.getLogger(__name__)

#: change count and victims of a machine that was not examined yet; real change counts are not negative
NOT_EXAMINED: tuple[int, list[tuple[float, Allocation]]] = (-1, [])
#: how many times its cost protected work counts, so that other victims are found first
PROTECTED_WEIGHT = 3.0
#: seconds of work that every stop is taken to lose, so that work that has only just begun is not free to stop
STOP_OVERHEAD_S = 1.0
#: the same for a task that has not begun to run, on top of the time for which its cores have been idle
IDLE_OVERHEAD_S = 1.0
#: a job that has just preempted others waits this long before it preempts more: their capacity may not be free yet
PREEMPTION_INTERVAL_S = 1.0


class PreemptionCost(NamedTuple):
    """The part of the cost of stopping a task that is the same for all tasks of its job."""

    #: CPU seconds lost for each second of work, with all tasks of a gang counted
    cpus: float
    #: whether it saves its progress when it is stopped
    checkpoints: bool
    #: whether the job runs within its team's guarantee, or would miss an objective if it started anew
    is_protected: bool


class Preemption(SchedulingComponent):
    """Finds and stops the work that a job may displace."""

    def __init__(self, context: SchedulingContext, ordering: JobOrdering) -> None:
        super().__init__(context)
        self.ordering = ordering
        #: teams above their guarantee when the pass began: a guarantee is reclaimed from these only
        self.borrowers: set[int] = set()
        #: by machine: its change count, and its tasks with the cost of stopping each, the cheapest first
        self._victims_by_machine: dict[int, tuple[int, list[tuple[float, Allocation]]]] = {}
        self._costs_by_job: dict[Job, PreemptionCost] = {}

    def begin(self) -> None:
        """Start a full pass: find the teams that borrow."""
        self.borrowers = {index for index, team in enumerate(self.registry.teams) if team.borrows()}

    def forget(self) -> None:
        """Drop cached costs, which grow with time."""
        self._victims_by_machine = {}
        self._costs_by_job = {}

    def _may_displace(self, job: Job, victim: Allocation, reclaims: bool) -> bool:
        """Return whether a job may displace a task: one of lower priority, or one of a team that borrows.

        Args:
            job: the job that needs capacity.
            victim: a task of any job.
            reclaims: whether the job may reclaim its team's guarantee now.
        """
        other = victim.job
        if other is job or not other.live or victim.stop_reason is not None:
            return False
        if job.rank != other.rank:
            # a guarantee never displaces work of higher priority: that would displace it in turn, and two jobs that
            # keep stopping each other make no progress
            return job.rank < other.rank
        return (
            reclaims and not other.guaranteed and other.team != job.team and self.registry.teams[other.team].borrows()
        )

    def may_stop(self, job: Job, victim: Allocation, now: float) -> bool:
        """Return whether a victim that was found earlier may still be displaced."""
        return victim.state is not AllocationState.GONE and self._may_displace(
            job, victim, self.reclaims_for(job, now) >= 0
        )

    def reclaims_for(self, job: Job, now: float) -> int:
        """Return the index of the team whose guarantee the job may reclaim from others now, or -1."""
        others_borrow = job.guaranteed and bool(self.borrowers - {job.team})
        return job.team if others_borrow and now - job.wait_since >= self.policy_values.reclaim_after_s else -1

    def _ranked_victims(self, machine: Machine, now: float) -> list[tuple[float, Allocation]]:
        """Return all tasks of a machine that are not being stopped, the cheapest to stop first.

        The list does not depend on the job that asks, so it is sorted once per machine: sorting it for each team that
        reclaims its guarantee would dominate a pass on a crowded cluster. It is renewed when the machine changes, and
        with each computation of targets since costs grow with time.
        """
        change_count, victims = self._victims_by_machine.get(machine.index, NOT_EXAMINED)
        if change_count != machine.change_count:
            victims = sorted(
                ((self._lost_work(a, now), a) for a in machine.allocations.values() if a.stop_reason is None),
                key=operator.itemgetter(0),
            )
            self._victims_by_machine[machine.index] = machine.change_count, victims
        return victims

    def _cost_for_job(self, job: Job, now: float) -> PreemptionCost:
        """Return what stopping any task of the job costs, from the cache if it is there."""
        cost = self._costs_by_job.get(job)
        if cost is None:
            tasks = job.spec.tasks if job.gang else 1
            # a gang that was displaced before costs more, so that it is not the cheapest victim again and again
            cpus = (1.0 + job.preemption_count) * tasks * max(job.size[0], 1) / MICRO_UNITS
            checkpoints = job.spec.checkpoint_s > 0
            is_protected = job.guaranteed or (not checkpoints and self.ordering.tight(job, None, now))
            cost = self._costs_by_job[job] = PreemptionCost(cpus, checkpoints, is_protected)
        return cost

    def _lost_work(self, victim: Allocation, now: float) -> float:
        """Return the CPU seconds that stopping this task would waste, with all tasks of a gang counted."""
        job = victim.job
        cost = self._cost_for_job(job, now)
        if victim.run_at is None:
            # its cores have been idle while its image is fetched, which would have to be fetched again elsewhere
            seconds = IDLE_OVERHEAD_S + now - victim.decided_at
        elif cost.checkpoints:
            seconds = job.spec.save_s + SAVE_MARGIN_S
        else:
            seconds = now - victim.run_at
        is_protected = cost.is_protected or (cost.checkpoints and self.ordering.tight(job, victim.run_at, now))
        return (PROTECTED_WEIGHT if is_protected else 1.0) * cost.cpus * (STOP_OVERHEAD_S + seconds)

    def hopeless(self, job: Job, machine: Machine, reclaims: bool) -> bool:
        """Return whether displacing all that the job may displace on a machine frees too little for one task.

        This is a quick check of CPUs by priority and team, which rules out most machines. It may return False where
        `eviction` finds nothing, never True where it finds something.
        """
        if machine.stopping_count:
            return False
        cpus = machine.free[0] + sum(machine.rank_cpus[job.rank + 1 :])
        if reclaims and cpus < job.size[0]:
            cpus += sum(
                used
                for (rank, team), used in machine.team_cpus.items()
                if rank == job.rank and team != job.team and team in self.borrowers
            )
        return cpus < job.size[0]

    def eviction(self, job: Job, machine: Machine, tasks: int, now: float) -> tuple[list[Allocation], float] | None:
        """Return the cheapest victims on a machine that free capacity for so many tasks, and their cost.

        Returns:
            The victims and the CPU seconds that stopping them wastes, or None if there are not enough. There are no
            victims if the capacity is free, or will be once tasks that are being stopped are gone.
        """
        need = multiply(job.size, tasks)
        capacity = machine.free
        if machine.stopping_count:
            for allocation in machine.allocations.values():
                if allocation.stop_reason is not None:
                    capacity = add(capacity, allocation.job.size)
        victims: list[Allocation] = []
        cost = 0.0
        reclaims = self.reclaims_for(job, now) >= 0
        for lost_work, allocation in self._ranked_victims(machine, now):
            if fits(need, capacity):
                break
            # the list may name tasks that have ended or were stopped since
            if allocation.state is not AllocationState.GONE and self._may_displace(job, allocation, reclaims):
                victims.append(allocation)
                cost += lost_work
                capacity = add(capacity, allocation.job.size)
        return (victims, cost) if fits(need, capacity) else None

    def displace(self, victims: list[Allocation], job: Job, now: float) -> None:
        """Stop the victims in favour of a job; gangs are stopped whole, and tasks with checkpoints save first."""
        if victims:
            names = [f"{victim.job.spec.id}/{victim.index}" for victim in victims]
            log.info(LogEvent("tasks_preempted", for_job_id=job.spec.id, tasks=names))
        for victim in victims:
            other = victim.job
            grace_s = other.spec.save_s + SAVE_MARGIN_S if other.spec.checkpoint_s > 0 else 0.0
            if other.gang:
                other.preemption_count += 1
                self.dispatch.stop_job(other, "preempted", grace_s, now)
            else:
                self.dispatch.stop(victim, "preempted", grace_s, now)

    @staticmethod
    def patient(job: Job, after_s: float, now: float) -> bool:
        """Return whether the job should wait longer before any work is preempted for it."""
        return now - job.wait_since < after_s or now - job.preempt_at < PREEMPTION_INTERVAL_S
