"""Gang scheduling: starts all tasks of a gang at once or none, on the cheapest machines, with preemption if needed."""

from __future__ import annotations

import itertools
import logging
import math
from collections.abc import Generator, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..cluster_state.jobs import Allocation, GangStartTimeline, Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS, Resources, fits, tasks_that_fit
from ..log_events import LogEvent
from .image_locality import ImageLocality
from .placement import SLOW_MACHINE_RATIO, Placement
from .preemption import Preemption
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

log = logging.getLogger(__name__)

#: How long a machine stays reserved for a gang: longer than several passes, and than stopped tasks take to save.
RESERVATION_S = 20.0
#: How long gangs avoid a machine after a failure there: one faulty machine makes the start of the whole gang fail.
GANG_PROBATION_S = 30.0
#: Cost of a core that is idle during an image fetch, relative to a lost second of work: an idle core also delays the
#: job.
IDLE_CPU_WEIGHT = 2.0
#: CPU seconds added to the cost of each task that needs preemption, since tasks start sooner on free capacity.
PREEMPTION_DELAY_CPU_S = 5.0
#: If the slowest image fetch of a gang takes more than this share of the time for which workers hold a started task
#: for its gang, the tasks that need no fetch are started later.
UNEVEN_FETCH_SHARE = 0.5
#: The search for machines may end once it has found this many free slots at the lowest possible cost in one zone.
SUFFICIENT_CHEAPEST_SLOTS = 200
#: The search for machines continues until the free slots at the lowest possible cost in one zone number at least this
#: many times the gang's tasks.
SUFFICIENT_CHEAPEST_SLOTS_PER_TASK = 4
#: How many times machines that changed during the search may be replaced before the pass gives up on the gang.
MAX_RESELECTIONS = 3
NO_GANG_SLOTS_REASON = "not all slots are free at once, nor can they be cleared in one zone"


@dataclass(frozen=True)
class GangPlacement:
    """Slots for a gang's tasks on one machine, whatever the gang's image."""

    tasks: int
    #: Allocations to stop before the gang's tasks can start.
    victims: list[Allocation]
    #: CPU seconds lost per task of the gang.
    cost: float
    #: Whether the slots are free now. Slots without victims may still wait for tasks that are already being stopped.
    free_now: bool = False


@dataclass(frozen=True)
class GangCandidate:
    """Slots for a gang's tasks on one machine, valid for one change count; the cost includes fetching the image."""

    machine: Machine
    change_count: int
    tasks: int
    victims: list[Allocation]
    cost: float
    free_now: bool


class GangShare(NamedTuple):
    """The number of a gang's tasks to start on one machine."""

    candidate: GangCandidate
    tasks: int


@dataclass
class GangSelection:
    """The candidates that a search found, and the shares selected from them (None: the candidates do not suffice)."""

    candidates: list[GangCandidate]
    shares: list[GangShare] | None


#: What determines the slots that a gang can find, whatever its size: its task type, whether it is bound to one zone,
#: whether it is spread over zones, and the team that reclaims its guarantee (-1: none).
GangShape = tuple[int, bool, bool, int]
#: By machine index: the change count when the machine was examined, and the placements found there.
PlacementTable = dict[int, tuple[int, list[GangPlacement]]]

#: Table entry of a machine that has not been examined; real change counts are not negative.
NOT_EXAMINED: tuple[int, list[GangPlacement]] = (-1, [])


class GangScheduling(SchedulingComponent):
    """Starts all tasks of a gang together, or preempts other work and reserves machines for the gang."""

    def __init__(
        self,
        context: SchedulingContext,
        *,
        images: ImageLocality,
        preemption: Preemption,
        placement: Placement,
        gang_wait_s: float,
    ) -> None:
        """Build the component.

        Args:
            context: The state and services that all scheduling components share.
            images: Estimates how long fetching an image takes.
            preemption: Finds and stops work that a gang may displace.
            placement: Checks a job's constraints and ranks machines for it.
            gang_wait_s: Seconds for which a worker holds a started task until the rest of its gang is ready.
        """
        super().__init__(context)
        self.images = images
        self.preemption = preemption
        self.placement = placement
        self.gang_wait_s = gang_wait_s
        #: By shape, the number and size of tasks of the smallest gang that this pass could not place.
        self._smallest_unplaceable: dict[GangShape, tuple[int, Resources]] = {}
        #: The borrowing teams for which the cached tables are valid.
        self._borrowing_teams: set[int] = set()
        #: Id of the overdue gang for which this pass reserves free machines; empty if there is none.
        self._overdue_gang = ""
        #: Cached placements by machine. The key holds all properties of a gang that the placements depend on.
        self._tables: dict[tuple[object, ...], PlacementTable] = {}

    def begin_pass(self) -> None:
        """Reset the state of the previous pass, and discard cached tables if other teams borrow now."""
        self._smallest_unplaceable = {}
        self._overdue_gang = ""
        if self.preemption.borrowing_teams != self._borrowing_teams:
            self.clear_cache()

    def clear_cache(self) -> None:
        """Discard cached tables, because costs have grown with time or the set of borrowing teams has changed."""
        self._tables = {}
        self._borrowing_teams = set(self.preemption.borrowing_teams)

    def place(self, job: Job, schedulable: list[Machine], now: float, has_reservation: bool) -> Steps:
        """Start a whole gang, preempt other work for it, or record why the gang waits.

        Args:
            job: A gang.
            schedulable: All schedulable machines.
            now: Seconds on the leader's clock.
            has_reservation: Whether machines are reserved for this gang.

        Yields:
            Nothing; other work may run at each yield.
        """
        is_overdue = self.preemption.ordering.overdue(job, now, self.policy_values.begin_after_s)
        if not self._may_start(job):
            if is_overdue:
                self._reserve_team_limit(job)
            return
        reserves_free = is_overdue and not self._overdue_gang
        shape = job.type_index, job.spec.one_zone, job.spec.spread, self.preemption.reclaims_for(job, now)
        if self._similar_is_unplaceable(job, shape) and not has_reservation and not reserves_free:
            job.pending_reason = NO_GANG_SLOTS_REASON
            return
        slice_number = self.context.slice_number
        table = self._table_for(job, now)
        candidates = yield from self._find_candidates(job, schedulable, table, now)
        selection = GangSelection(candidates, self.select_shares(job, candidates))
        if self.context.slice_number != slice_number:
            if not self._replace_outdated(job, selection, table, now):
                job.pending_reason = "its machines changed while it was placed"
                return
            if not self._may_start(job):
                return
        if selection.shares is None:
            job.pending_reason = NO_GANG_SLOTS_REASON
            if reserves_free:
                self._reserve_free_machines(job, selection.candidates, now)
            if not job.avoided_machines and not self._must_not_preempt_yet(job, now):
                self._smallest_unplaceable[shape] = job.spec.tasks, job.task_size
        elif all(share.candidate.free_now for share in selection.shares):
            self._start(job, selection.shares, now)
        else:
            self._clear(job, selection.shares, now)

    def _may_start(self, job: Job) -> bool:
        """Return whether the gang may start now; otherwise record why it waits.

        None of the gang's tasks may still run anywhere, and the team's limit must admit all of them.
        """
        if not job.is_live or not job.startable_count():
            return False
        if job.allocations:
            job.pending_reason = "tasks of the last attempt are not gone"
            return False
        team = self.registry.teams[job.team_index]
        if not team.may_use_remaining_limit(job.spec.id):
            job.pending_reason = f"its team's limit is kept for {team.limit_reserved_for}"
            return False
        if team.headroom(job.task_size) < job.spec.tasks:
            job.pending_reason = "team limit"
            return False
        return True

    def _reserve_team_limit(self, job: Job) -> None:
        """Reserve the rest of the team's limit for an overdue gang that cannot start because of this limit.

        Without the reservation, smaller jobs of the same team could use up the limit indefinitely.
        """
        team = self.registry.teams[job.team_index]
        if not team.limit_reserved_for and job.startable_count() and team.headroom(job.task_size) < job.spec.tasks:
            team.limit_reserved_for = job.spec.id

    def _similar_is_unplaceable(self, job: Job, shape: GangShape) -> bool:
        """Return whether this pass could not place a gang of the same shape that was no larger.

        Searching again would be futile, as no capacity for the gang is freed within a pass, and takes milliseconds.
        """
        tasks, size = self._smallest_unplaceable.get(shape, (job.spec.tasks + 1, job.task_size))
        return job.spec.tasks >= tasks and fits(size, job.task_size)

    def _must_not_preempt_yet(self, job: Job, now: float) -> bool:
        """Return whether a gang must wait longer before other work is stopped for it."""
        return self.preemption.must_wait(job, self.policy_values.preempt_after_s, now)

    def _find_candidates(
        self, job: Job, schedulable: list[Machine], table: PlacementTable, now: float
    ) -> Generator[None, None, list[GangCandidate]]:
        """Return the candidates for a gang; the search ends early once it has found enough slots of the lowest cost."""
        candidates: list[GangCandidate] = []
        #: By zone, the number of free slots at the lowest possible cost.
        cheapest_slots: dict[int, int] = {}
        lowest_cost = IDLE_CPU_WEIGHT * self.images.min_fetch_s(job) * job.task_size[0] / MICRO_UNITS
        sufficient_slots = max(SUFFICIENT_CHEAPEST_SLOTS, SUFFICIENT_CHEAPEST_SLOTS_PER_TASK * job.spec.tasks)
        for examined, machine in enumerate(schedulable, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            # `candidates_on` makes the same lookup. Most machines have no slots, and skipping them here saves the call.
            change_count, placements = table.get(machine.index, NOT_EXAMINED)
            if not placements and change_count == machine.change_count:
                continue
            for candidate in self.candidates_on(job, machine, table, now):
                candidates.append(candidate)
                if candidate.free_now and candidate.cost <= lowest_cost:
                    cheapest_slots[machine.zone_index] = cheapest_slots.get(machine.zone_index, 0) + candidate.tasks
            if cheapest_slots.get(machine.zone_index, 0) >= sufficient_slots:
                break
        return candidates

    def _replace_outdated(self, job: Job, selection: GangSelection, table: PlacementTable, now: float) -> bool:
        """Replace selected machines that changed while the search examined others.

        Returns:
            Whether the selection is up to date: False if it still contains outdated candidates after
            `MAX_RESELECTIONS` attempts.
        """
        for _ in range(MAX_RESELECTIONS):
            if selection.shares is None:
                return True
            outdated = {
                candidate.machine
                for candidate, _ in selection.shares
                if candidate.change_count != candidate.machine.change_count
                or not self.inventory.is_schedulable(candidate.machine, now)
            }
            if not outdated:
                return True
            selection.candidates = [c for c in selection.candidates if c.machine not in outdated]
            for machine in sorted(outdated, key=lambda m: m.index):
                if self.inventory.is_schedulable(machine, now):
                    selection.candidates += self.candidates_on(job, machine, table, now)
            selection.shares = self.select_shares(job, selection.candidates)
        return False

    def _clear(self, job: Job, shares: list[GangShare], now: float) -> None:
        """Stop the victims on the selected machines, and reserve these machines for the gang."""
        victims = [victim for candidate, _ in shares for victim in candidate.victims]
        if not all(self.preemption.may_still_displace(job, victim, now) for victim in victims):
            self.clear_cache()  # a guarantee or a limit has changed since the victims were found
            job.pending_reason = NO_GANG_SLOTS_REASON
            return
        job.pending_reason = "its slots are being cleared"
        job.last_preempted_others_at = now
        for candidate, _ in shares:
            self._reserve(candidate.machine, job, until=now + RESERVATION_S)
            self.preemption.displace(candidate.victims, job, now)

    def _reserve_free_machines(self, job: Job, candidates: list[GangCandidate], now: float) -> None:
        """Reserve free machines for an overdue gang until the whole gang can start.

        The machines are in the zone with the most free slots for the gang, if the gang is bound to one zone. Each
        pass does this for one gang only, the most urgent overdue one, and reserves no more machines than that gang
        needs. No work is stopped for the reservation. Each pass selects the machines again, so that reservations
        expire within `RESERVATION_S` if the gang starts elsewhere, is cancelled, or fits better into another zone.
        """
        self._overdue_gang = job.spec.id
        free_by_zone: dict[int, list[GangCandidate]] = {}
        for candidate in candidates:
            machine = candidate.machine
            if candidate.free_now and not candidate.victims and machine.reserved_for in (None, job.spec.id):
                free_by_zone.setdefault(machine.zone_index if job.spec.one_zone else -1, []).append(candidate)
        if not free_by_zone:
            return
        selected = max(free_by_zone.values(), key=lambda free: sum(candidate.tasks for candidate in free))
        selected.sort(key=lambda c: (c.machine.reserved_for is None, c.cost, c.machine.index))
        missing = job.spec.tasks
        for candidate in selected:
            if missing <= 0:
                break
            missing -= candidate.tasks
            self._reserve(candidate.machine, job, until=now + RESERVATION_S)
        reserved = job.spec.tasks - max(0, missing)
        job.pending_reason = f"{reserved} of its slots are kept for it, the others are not free"

    def _start(self, job: Job, shares: list[GangShare], now: float) -> None:
        """Start all tasks of a gang on the selected machines."""
        attempt = self.dispatch.next_attempt_number()
        free_since = max(job.waiting_since, *(candidate.machine.freed_at for candidate, _ in shares))
        job.gang_start_timeline = GangStartTimeline(attempt, free_since, now)
        # A task whose machine has the image would wait for tasks whose machines still fetch the image. Workers limit
        # that wait to `gang_wait_s`, so such a task is held back if the longest fetch comes near this limit.
        fetches_s = [self.images.fetch_s(job, candidate.machine) for candidate, _ in shares]
        uneven = max(fetches_s) > UNEVEN_FETCH_SHARE * self.gang_wait_s
        index = 0
        for (candidate, tasks), fetch_s in zip(shares, fetches_s, strict=True):
            machine = candidate.machine
            for _ in range(tasks):
                allocation = self.dispatch.start(job, index, machine, attempt, now)
                allocation.held_for_gang_images = uneven and fetch_s == 0.0
                index += 1
            if machine.reserved_for == job.spec.id:
                machine.reserved_for = None
        log.info(
            LogEvent(
                "gang_placed",
                job_id=job.spec.id,
                tasks=index,
                wait_s=now - job.accepted_at,
                machines=[candidate.machine.name for candidate, _ in shares],
            )
        )

    def machines_for(self, job: Job, now: float) -> list[Machine] | None:
        """Return machines that could start the whole gang now without preemption.

        Args:
            job: A gang of another cluster; the gang is not in this cluster's registry.
            now: Seconds on the leader's clock.

        Returns:
            The machines, or None if there are not enough.
        """
        candidates: list[GangCandidate] = []
        table: PlacementTable = {}
        for machine in self.inventory.machines:
            if self.inventory.is_schedulable(machine, now) and machine.free[0] >= job.task_size[0]:
                candidates += [c for c in self.candidates_on(job, machine, table, now) if c.free_now]
        shares = self.select_shares(job, candidates)
        return [candidate.machine for candidate, _ in shares] if shares is not None else None

    def _table_for(self, job: Job, now: float) -> PlacementTable:
        """Return the cached table of placements for gangs that are equivalent to this one except for their images."""
        max_per_machine = max(
            (tasks_that_fit(job.task_size, capacity) for capacity in self.inventory.capacities), default=0
        )
        key = (
            job.task_size,
            job.priority_rank,
            self.preemption.reclaims_for(job, now),
            self._must_not_preempt_yet(job, now),
            min(job.spec.tasks, max_per_machine),
        )
        return self._get_or_create_table(self._tables, key)

    def candidates_on(self, job: Job, machine: Machine, table: PlacementTable, now: float) -> list[GangCandidate]:
        """Return the candidates that a machine provides for a gang: free slots, and slots that preemption would free.

        The cost of a candidate in CPU seconds covers both work lost to preemption and cores idle during the image
        fetch. Preempting work on a machine that has the image may therefore cost less than using a free machine
        without the image.

        Args:
            job: The gang.
            machine: The machine to examine.
            table: Cached placements for gangs like this one; updated if the machine has changed.
            now: Seconds on the leader's clock.
        """
        change_count, placements = table.get(machine.index, NOT_EXAMINED)
        if change_count != machine.change_count:
            change_count, placements = table[machine.index] = machine.change_count, self._examine(job, machine, now)
        on_probation = machine.consecutive_failures and now - machine.last_failure_at <= GANG_PROBATION_S
        if not placements or on_probation or not self.placement.satisfies_constraints(job, machine):
            return []
        fetch_cost = IDLE_CPU_WEIGHT * self.images.fetch_s(job, machine) * job.task_size[0] / MICRO_UNITS
        if machine.slowness > SLOW_MACHINE_RATIO:  # the slowest machine determines the speed of the whole gang
            fetch_cost += (
                (machine.slowness - 1.0) * self.context.run_times.expected_run_s(job) * job.task_size[0] / MICRO_UNITS
            )
        return [
            GangCandidate(machine, change_count, p.tasks, p.victims, fetch_cost + p.cost, p.free_now)
            for p in placements
        ]

    def _examine(self, job: Job, machine: Machine, now: float) -> list[GangPlacement]:
        """Return the placements for a gang on a machine: free slots, and slots that preemption would free."""
        if self.preemption.cannot_free_enough(job, machine, self.preemption.reclaims_for(job, now) >= 0):
            return []
        placements = []
        free_slots = min(tasks_that_fit(job.task_size, machine.free), job.spec.tasks)
        if free_slots > 0:
            placements.append(GangPlacement(free_slots, [], 0.0, free_now=True))
        if (machine.stopping_count and free_slots > 0) or self._must_not_preempt_yet(job, now):
            return placements
        for tasks in range(min(tasks_that_fit(job.task_size, machine.capacity), job.spec.tasks), free_slots, -1):
            eviction = self.preemption.find_victims(job, machine, tasks, now)
            if eviction is not None:
                victims, cost = eviction
                placements.append(GangPlacement(tasks, victims, cost / tasks + PREEMPTION_DELAY_CPU_S))
                break
        return placements

    def select_shares(self, job: Job, candidates: list[GangCandidate]) -> list[GangShare] | None:
        """Select the cheapest machines for a whole gang, in one zone or spread over zones as the job's spec requires.

        Args:
            job: The gang.
            candidates: All candidates found, in any order.

        Returns:
            The number of tasks for each selected machine, or None if the candidates do not suffice.
        """
        tasks = job.spec.tasks
        if not job.spec.one_zone:
            max_per_zone = -(-tasks // 2) if job.spec.spread else tasks
            return self._take_shares(self._ranked(job, candidates), tasks, max_per_zone)
        best: list[GangShare] | None = None
        best_cost = math.inf
        for zone in sorted({c.machine.zone_index for c in candidates}):
            in_zone = self._ranked(job, [c for c in candidates if c.machine.zone_index == zone])
            shares = self._take_shares(in_zone, tasks, tasks)
            if shares is None:
                continue
            cost = sum(share.candidate.cost * share.tasks for share in shares)
            if cost < best_cost:
                best, best_cost = shares, cost
        return best

    def _ranked(self, job: Job, candidates: list[GangCandidate]) -> Iterator[GangCandidate]:
        """Yield candidates, the best first; candidates of equal cost are sorted only when they are reached."""

        def cost_key(candidate: GangCandidate) -> tuple[bool, float]:
            return candidate.machine.reserved_for is None, candidate.cost

        for _, equal_cost in itertools.groupby(sorted(candidates, key=cost_key), cost_key):
            yield from sorted(equal_cost, key=lambda c: self.placement.preference(job, c.machine))

    @staticmethod
    def _take_shares(ranked: Iterator[GangCandidate], tasks: int, max_per_zone: int) -> list[GangShare] | None:
        """Return shares of the highest-ranked candidates that cover all tasks, or None if there are too few."""
        missing = tasks
        shares: list[GangShare] = []
        tasks_by_zone: dict[int, int] = {}
        machines: set[int] = set()
        for candidate in ranked:
            machine = candidate.machine
            in_zone = tasks_by_zone.get(machine.zone_index, 0)
            count = min(candidate.tasks, missing, max_per_zone - in_zone)
            if count > 0 and machine.index not in machines:
                machines.add(machine.index)
                shares.append(GangShare(candidate, count))
                tasks_by_zone[machine.zone_index] = in_zone + count
                missing -= count
            if missing == 0:
                return shares
        return None
