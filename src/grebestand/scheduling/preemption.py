"""Preemption: determines which tasks a job may displace and what stopping them costs, and stops them."""

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

#: Change count and victims of a machine that has not been examined; real change counts are not negative.
NOT_EXAMINED: tuple[int, list[tuple[float, Allocation]]] = (-1, [])
#: Factor by which the cost of stopping protected work is multiplied, so that other victims are chosen first.
PROTECTED_WEIGHT = 3.0
#: Seconds of work added to the loss of every stop, so that a task that has only just begun is not free to stop.
STOP_OVERHEAD_S = 1.0
#: Seconds of work added, for a task that does not run yet, to the time for which the task's cores have been idle.
NOT_RUNNING_OVERHEAD_S = 1.0
#: Minimum time between two preemptions for one job: the capacity of the first victims may not be free before.
PREEMPTION_INTERVAL_S = 1.0


class PreemptionCost(NamedTuple):
    """The part of the cost of stopping a task that is the same for all tasks of a job."""

    #: CPU seconds lost for each second of work; for a gang, the sum over all of its tasks.
    cpus: float
    #: Whether a task of the job saves its progress when it is stopped.
    checkpoints: bool
    #: Whether the job runs within its team's guarantee, or would miss an objective if a task restarted from the
    #: beginning.
    is_protected: bool


class Preemption(SchedulingComponent):
    """Finds and stops the tasks that a job may displace."""

    def __init__(self, context: SchedulingContext, ordering: JobOrdering) -> None:
        super().__init__(context)
        self.ordering = ordering
        #: Indices of the teams that were above their guarantee when the pass began. Only tasks of these teams may be
        #: preempted by another team that reclaims its guarantee.
        self.borrowing_teams: set[int] = set()
        #: By machine index: the change count, and the tasks with the cost of stopping each, the cheapest first.
        self._victims_by_machine: dict[int, tuple[int, list[tuple[float, Allocation]]]] = {}
        self._costs_by_job: dict[Job, PreemptionCost] = {}

    def begin_pass(self) -> None:
        """Find the teams that borrow at the start of a full pass."""
        self.borrowing_teams = {index for index, team in enumerate(self.registry.teams) if team.exceeds_guarantee()}

    def clear_cache(self) -> None:
        """Discard cached costs, which grow with time."""
        self._victims_by_machine = {}
        self._costs_by_job = {}

    def _may_displace(self, job: Job, victim: Allocation, reclaims: bool) -> bool:
        """Return whether a job may displace a task of lower priority, or of a team that borrows.

        Args:
            job: The job that needs capacity.
            victim: A task of any job.
            reclaims: Whether the job may reclaim its team's guarantee now.
        """
        other = victim.job
        if other is job or not other.is_live or victim.stop_reason is not None:
            return False
        if job.priority_rank != other.priority_rank:
            # A guarantee never displaces work of higher priority. That work could displace the guaranteed job again,
            # and two jobs that keep stopping each other make no progress.
            return job.priority_rank < other.priority_rank
        return (
            reclaims
            and not other.within_guarantee
            and other.team_index != job.team_index
            and self.registry.teams[other.team_index].exceeds_guarantee()
        )

    def may_still_displace(self, job: Job, victim: Allocation, now: float) -> bool:
        """Return whether a victim that was found earlier may still be displaced by the job."""
        return victim.state is not AllocationState.GONE and self._may_displace(
            job, victim, self.reclaims_for(job, now) >= 0
        )

    def reclaims_for(self, job: Job, now: float) -> int:
        """Return the team's index if the job may reclaim its team's guarantee from other teams now, or else -1."""
        others_borrow = job.within_guarantee and bool(self.borrowing_teams - {job.team_index})
        return job.team_index if others_borrow and now - job.waiting_since >= self.policy_values.reclaim_after_s else -1

    def _ranked_victims(self, machine: Machine, now: float) -> list[tuple[float, Allocation]]:
        """Return all tasks of a machine that are not being stopped, the cheapest to stop first.

        The list does not depend on the preempting job, so it is cached for each machine: sorting the tasks for each
        team that reclaims its guarantee would dominate a pass on a crowded cluster. The cached list is replaced when
        the machine changes, and at each update of targets, since costs grow with time.
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
        """Return the cached cost parameters of the job, computing them first if necessary."""
        cost = self._costs_by_job.get(job)
        if cost is None:
            tasks = job.spec.tasks if job.is_gang else 1
            # Cost of a gang grows with its past preemptions, so that the same gang is not chosen every time.
            cpus = (1.0 + job.preemption_count) * tasks * max(job.task_size[0], 1) / MICRO_UNITS
            checkpoints = job.spec.checkpoint_s > 0
            is_protected = job.within_guarantee or (
                not checkpoints and self.ordering.stop_would_miss_objective(job, None, now)
            )
            cost = self._costs_by_job[job] = PreemptionCost(cpus, checkpoints, is_protected)
        return cost

    def _lost_work(self, victim: Allocation, now: float) -> float:
        """Return the CPU seconds that stopping a task would waste; for a gang, the sum over all of its tasks."""
        job = victim.job
        cost = self._cost_for_job(job, now)
        if victim.running_since is None:
            # The cores were idle during the image fetch, and would be idle again during a fetch on another machine.
            seconds = NOT_RUNNING_OVERHEAD_S + now - victim.decided_at
        elif cost.checkpoints:
            seconds = job.spec.save_s + SAVE_MARGIN_S
        else:
            seconds = now - victim.running_since
        is_protected = cost.is_protected or (
            cost.checkpoints and self.ordering.stop_would_miss_objective(job, victim.running_since, now)
        )
        return (PROTECTED_WEIGHT if is_protected else 1.0) * cost.cpus * (STOP_OVERHEAD_S + seconds)

    def cannot_free_enough(self, job: Job, machine: Machine, reclaims: bool) -> bool:
        """Return whether preemption on a machine cannot free enough CPUs for one task of the job.

        This quick check, based on CPUs by priority and team, rules out most machines. The check is one-sided: it
        may return False for a machine where `find_victims` finds no victims, but never True for one where
        `find_victims` succeeds.

        Args:
            job: The job that needs capacity.
            machine: The machine to check.
            reclaims: Whether the job may reclaim its team's guarantee now.
        """
        if machine.stopping_count:
            return False
        cpus = machine.free[0] + sum(machine.micro_cpus_by_rank[job.priority_rank + 1 :])
        if reclaims and cpus < job.task_size[0]:
            cpus += sum(
                used
                for (rank, team), used in machine.micro_cpus_by_rank_and_team.items()
                if rank == job.priority_rank and team != job.team_index and team in self.borrowing_teams
            )
        return cpus < job.task_size[0]

    def find_victims(self, job: Job, machine: Machine, tasks: int, now: float) -> tuple[list[Allocation], float] | None:
        """Find the cheapest victims on a machine that free capacity for a number of tasks.

        Args:
            job: The job that needs capacity.
            machine: The machine to examine.
            tasks: The number of tasks of the job that need capacity on the machine.
            now: Seconds on the leader's clock.

        Returns:
            The victims and the CPU seconds that stopping them wastes, or None if preemption cannot free enough. The
            list of victims is empty if the capacity is free, or will be once tasks that are being stopped have exited.
        """
        need = multiply(job.task_size, tasks)
        capacity = machine.free
        if machine.stopping_count:
            for allocation in machine.allocations.values():
                if allocation.stop_reason is not None:
                    capacity = add(capacity, allocation.job.task_size)
        victims: list[Allocation] = []
        cost = 0.0
        reclaims = self.reclaims_for(job, now) >= 0
        for lost_work, allocation in self._ranked_victims(machine, now):
            if fits(need, capacity):
                break
            # the cached list may contain tasks that have ended or have been asked to stop since it was sorted
            if allocation.state is not AllocationState.GONE and self._may_displace(job, allocation, reclaims):
                victims.append(allocation)
                cost += lost_work
                capacity = add(capacity, allocation.job.task_size)
        return (victims, cost) if fits(need, capacity) else None

    def displace(self, victims: list[Allocation], job: Job, now: float) -> None:
        """Stop the victims in favour of a job.

        A gang is stopped as a whole, and tasks with checkpoints get time to save before they are killed.

        Args:
            victims: The tasks to stop.
            job: The job that needs capacity.
            now: Seconds on the leader's clock.
        """
        if victims:
            names = [f"{victim.job.spec.id}/{victim.task_index}" for victim in victims]
            log.info(LogEvent("tasks_preempted", for_job_id=job.spec.id, tasks=names))
        for victim in victims:
            other = victim.job
            grace_s = other.spec.save_s + SAVE_MARGIN_S if other.spec.checkpoint_s > 0 else 0.0
            if other.is_gang:
                other.preemption_count += 1
                self.dispatch.stop_job(other, "preempted", grace_s, now)
            else:
                self.dispatch.stop(victim, "preempted", grace_s, now)

    @staticmethod
    def must_wait(job: Job, after_s: float, now: float) -> bool:
        """Return whether the job must wait longer before other work is preempted for it.

        Args:
            job: The job that needs capacity.
            after_s: Seconds that a job has to wait before its first preemption.
            now: Seconds on the leader's clock.
        """
        return now - job.waiting_since < after_s or now - job.last_preempted_others_at < PREEMPTION_INTERVAL_S
