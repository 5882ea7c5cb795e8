"""Gang scheduling: all tasks of a gang start at once or none does, on the cheapest machines, with preemption."""

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

#: how long a machine stays reserved for a gang: longer than stopped tasks take to save, and several passes
RESERVATION_S = 20.0
#: how long gangs avoid a machine after a failure on it: one bad machine costs the whole gang its start
GANG_PROBATION_S = 30.0
#: a core that idles while an image is fetched also delays its job, so it counts for more than a lost second of work
IDLE_WEIGHT = 2.0
#: CPU seconds added to the cost of each task for which others are stopped: capacity that is free now starts sooner
PREEMPTION_DELAY_COST = 5.0
#: if the slowest image fetch of a gang takes more than this share of the time for which workers let tasks wait for
#: their gang, the tasks that need no fetch start later
UNEVEN_FETCH_SHARE = 0.5
#: free slots in one zone at the lowest possible cost that are enough to choose from: the search may stop there
ENOUGH = 200
#: the same, as a multiple of the gang's tasks
ENOUGH_PER_TASK = 4
#: how often a choice is repaired for machines that changed during the search
MAX_REPAIRS = 3
GANG_DOES_NOT_FIT = "not all slots are free at once, nor can they be cleared in one zone"


@dataclass(frozen=True)
class GangPlacement:
    """Slots for a gang's tasks on one machine, whatever the gang's image."""

    tasks: int
    #: what has to be stopped first
    victims: list[Allocation]
    #: CPU seconds lost, for each task
    cost: float
    #: whether the slots are free now; without victims they may still have to wait for tasks that were stopped before
    ready: bool = False


@dataclass(frozen=True)
class GangCandidate:
    """Slots for a gang's tasks on one machine, as of a change count, with the cost of fetching the image included."""

    machine: Machine
    change_count: int
    tasks: int
    victims: list[Allocation]
    cost: float
    ready: bool


class GangShare(NamedTuple):
    """How many of a gang's tasks are to start on one machine."""

    candidate: GangCandidate
    tasks: int


@dataclass
class GangSelection:
    """The candidates that a search found, and the shares chosen from them: None if they are not enough."""

    candidates: list[GangCandidate]
    shares: list[GangShare] | None


#: gangs that find the same slots: their type, whether bound to one zone, whether spread, and the team that reclaims
#: its guarantee
GangShape = tuple[int, bool, bool, int]
#: by machine: its change count when it was examined, and the slots it had
PlacementTable = dict[int, tuple[int, list[GangPlacement]]]

#: entry of a machine that was not examined yet; real change counts are not negative
NOT_EXAMINED: tuple[int, list[GangPlacement]] = (-1, [])


class GangScheduling(SchedulingComponent):
    """Starts gangs whole, or preempts other work and reserves machines for them."""

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
            context: what all scheduling components share.
            images: where images are, and how long fetching them takes.
            preemption: finds and stops work that a gang may displace.
            placement: a job's constraints and preferences for machines.
            gang_wait_s: how long workers let a started task wait for the rest of its gang.
        """
        super().__init__(context)
        self.images = images
        self.preemption = preemption
        self.placement = placement
        self.gang_wait_s = gang_wait_s
        #: tasks and size of the smallest gang that this pass could not fit
        self._smallest_refused: dict[GangShape, tuple[int, Resources]] = {}
        #: borrowing teams for which the cached tables are valid
        self._borrowers: set[int] = set()
        #: the overdue gang for which this pass reserves free machines
        self._overdue_gang = ""
        #: what was found on machines, by everything about a gang that matters but its image
        self._tables: dict[tuple[object, ...], PlacementTable] = {}

    def begin(self) -> None:
        """Start a full pass."""
        self._smallest_refused = {}
        self._overdue_gang = ""
        if self.preemption.borrowers != self._borrowers:
            self.forget()

    def forget(self) -> None:
        """Drop cached tables: time has passed, so that costs are higher, or other teams borrow."""
        self._tables = {}
        self._borrowers = set(self.preemption.borrowers)

    def place(self, job: Job, ready: list[Machine], now: float, has_reserved: bool) -> Steps:
        """Start a gang whole, or preempt other work for it, or note why it waits.

        Args:
            job: a gang.
            ready: all usable machines.
            now: seconds on the leader's clock.
            has_reserved: whether machines are reserved for this gang.
        """
        is_overdue = self.preemption.ordering.overdue(job, now, self.policy_values.begin_after_s)
        if not self._may_start(job):
            if is_overdue:
                self._keep_team_limit(job)
            return
        reserves_free = is_overdue and not self._overdue_gang
        shape = job.type, job.spec.one_zone, job.spec.spread, self.preemption.reclaims_for(job, now)
        if self._similar_was_refused(job, shape) and not has_reserved and not reserves_free:
            job.why_waiting = GANG_DOES_NOT_FIT
            return
        turn = self.context.slice_number
        table = self._table_for(job, now)
        candidates = yield from self._find_candidates(job, ready, table, now)
        selection = GangSelection(candidates, self.choose(job, candidates))
        if self.context.slice_number != turn:
            if not self._repair(job, selection, table, now):
                job.why_waiting = "its machines changed while it was placed"
                return
            if not self._may_start(job):
                return
        if selection.shares is None:
            job.why_waiting = GANG_DOES_NOT_FIT
            if reserves_free:
                self._reserve_free_machines(job, selection.candidates, now)
            if not job.avoid and not self._must_not_preempt_yet(job, now):
                self._smallest_refused[shape] = job.spec.tasks, job.size
        elif all(share.candidate.ready for share in selection.shares):
            self._start(job, selection.shares, now)
        else:
            self._clear(job, selection.shares, now)

    def _may_start(self, job: Job) -> bool:
        """Return whether none of the gang's tasks may run anywhere and its team's limit admits all of them."""
        if not job.live or not job.startable():
            return False
        if job.allocations:
            job.why_waiting = "tasks of the last attempt are not gone"
            return False
        team = self.registry.teams[job.team]
        if not team.left_to(job.spec.id):
            job.why_waiting = f"its team's limit is kept for {team.limit_reserved_for}"
            return False
        if team.headroom(job.size) < job.spec.tasks:
            job.why_waiting = "team limit"
            return False
        return True

    def _keep_team_limit(self, job: Job) -> None:
        """Keep what is left of its team's limit for an overdue gang that this limit alone keeps from starting.

        Smaller jobs of its team would use up the limit again and again.
        """
        team = self.registry.teams[job.team]
        if not team.limit_reserved_for and job.startable() and team.headroom(job.size) < job.spec.tasks:
            team.limit_reserved_for = job.spec.id

    def _similar_was_refused(self, job: Job, shape: GangShape) -> bool:
        """Return whether this pass could not fit a gang of the same shape that was no larger.

        Nothing within a pass frees capacity for such a gang, and each search takes milliseconds.
        """
        tasks, size = self._smallest_refused.get(shape, (job.spec.tasks + 1, job.size))
        return job.spec.tasks >= tasks and fits(size, job.size)

    def _must_not_preempt_yet(self, job: Job, now: float) -> bool:
        """Return whether a gang should go on waiting before other work is stopped for it."""
        return self.preemption.patient(job, self.policy_values.preempt_after_s, now)

    def _find_candidates(
        self, job: Job, ready: list[Machine], table: PlacementTable, now: float
    ) -> Generator[None, None, list[GangCandidate]]:
        """Return what machines could do for a gang; the search ends early once there is enough of the cheapest."""
        candidates: list[GangCandidate] = []
        #: by zone, tasks that could start now at the lowest cost there can be
        cheapest_slots: dict[int, int] = {}
        lowest_cost = IDLE_WEIGHT * self.images.least_s(job) * job.size[0] / MICRO_UNITS
        enough = max(ENOUGH, ENOUGH_PER_TASK * job.spec.tasks)
        for examined, machine in enumerate(ready, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            # `offers` looks this up as well: most machines have nothing, and are skipped here without a call
            change_count, placements = table.get(machine.index, NOT_EXAMINED)
            if not placements and change_count == machine.change_count:
                continue
            for candidate in self.offers(job, machine, table, now):
                candidates.append(candidate)
                if candidate.ready and candidate.cost <= lowest_cost:
                    cheapest_slots[machine.zone] = cheapest_slots.get(machine.zone, 0) + candidate.tasks
            if cheapest_slots.get(machine.zone, 0) >= enough:
                break
        return candidates

    def _repair(self, job: Job, selection: GangSelection, table: PlacementTable, now: float) -> bool:
        """Replace chosen machines that changed while others were examined.

        Returns:
            False if the choice still rests on outdated candidates after `MAX_REPAIRS` attempts.
        """
        for _ in range(MAX_REPAIRS):
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
                    selection.candidates += self.offers(job, machine, table, now)
            selection.shares = self.choose(job, selection.candidates)
        return False

    def _clear(self, job: Job, shares: list[GangShare], now: float) -> None:
        """Stop the victims on the chosen machines, and reserve these for the gang."""
        victims = [victim for candidate, _ in shares for victim in candidate.victims]
        if not all(self.preemption.may_stop(job, victim, now) for victim in victims):
            self.forget()  # a guarantee or a limit has changed since they were looked up
            job.why_waiting = GANG_DOES_NOT_FIT
            return
        job.why_waiting = "its slots are being cleared"
        job.preempt_at = now
        for candidate, _ in shares:
            self._reserve(candidate.machine, job, until=now + RESERVATION_S)
            self.preemption.displace(candidate.victims, job, now)

    def _reserve_free_machines(self, job: Job, candidates: list[GangCandidate], now: float) -> None:
        """Reserve free machines for an overdue gang, in the zone where most of it fits, until it can start whole.

        This is done for one gang in a pass, the first in order of service, and for no more machines than it needs.
        Nothing is stopped for it that could not be stopped anyway. Each pass selects again, so that reservations end
        within `RESERVATION_S` if the gang starts elsewhere, is cancelled, or fits better into another zone.
        """
        self._overdue_gang = job.spec.id
        free_by_zone: dict[int, list[GangCandidate]] = {}
        for candidate in candidates:
            machine = candidate.machine
            if candidate.ready and not candidate.victims and machine.reserved_for in (None, job.spec.id):
                free_by_zone.setdefault(machine.zone if job.spec.one_zone else -1, []).append(candidate)
        if not free_by_zone:
            return
        best = max(free_by_zone.values(), key=lambda free: sum(candidate.tasks for candidate in free))
        best.sort(key=lambda c: (c.machine.reserved_for is None, c.cost, c.machine.index))
        missing = job.spec.tasks
        for candidate in best:
            if missing <= 0:
                break
            missing -= candidate.tasks
            self._reserve(candidate.machine, job, until=now + RESERVATION_S)
        reserved = job.spec.tasks - max(0, missing)
        job.why_waiting = f"{reserved} of its slots are kept for it, the others are not free"

    def _start(self, job: Job, shares: list[GangShare], now: float) -> None:
        """Start all tasks of a gang."""
        attempt = self.dispatch.next_attempt()
        free_since = max(job.wait_since, *(candidate.machine.freed_at for candidate, _ in shares))
        job.gang_start = GangStartTimeline(attempt, free_since, now)
        # a task whose machine has the image would wait for the others, and workers end that wait after a while
        fetches_s = [self.images.fetch_s(job, candidate.machine) for candidate, _ in shares]
        uneven = max(fetches_s) > UNEVEN_FETCH_SHARE * self.gang_wait_s
        index = 0
        for (candidate, tasks), fetch_s in zip(shares, fetches_s, strict=True):
            machine = candidate.machine
            for _ in range(tasks):
                allocation = self.dispatch.start(job, index, machine, attempt, now)
                allocation.held = uneven and fetch_s == 0.0
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
        """Return machines that could start the whole gang now without preemption, or None if there are not enough.

        Args:
            job: a gang that is not registered here: another cluster asks.
            now: seconds on the leader's clock.
        """
        candidates: list[GangCandidate] = []
        table: PlacementTable = {}
        for machine in self.inventory.machines:
            if self.inventory.is_schedulable(machine, now) and machine.free[0] >= job.size[0]:
                candidates += [c for c in self.offers(job, machine, table, now) if c.ready]
        shares = self.choose(job, candidates)
        return [candidate.machine for candidate, _ in shares] if shares is not None else None

    def _table_for(self, job: Job, now: float) -> PlacementTable:
        """Return what is known of machines for gangs like this one, whatever their images."""
        max_per_machine = max((tasks_that_fit(job.size, capacity) for capacity in self.inventory.capacities), default=0)
        key = (
            job.size,
            job.rank,
            self.preemption.reclaims_for(job, now),
            self._must_not_preempt_yet(job, now),
            min(job.spec.tasks, max_per_machine),
        )
        return self._cached_table(self._tables, key)

    def offers(self, job: Job, machine: Machine, table: PlacementTable, now: float) -> list[GangCandidate]:
        """Return what a machine could do for a gang: slots that are free now, or that preemption would free.

        Both cost CPU seconds: work that is thrown away, and cores that idle while the image is fetched. A machine
        that has the image may be worth clearing although another one is free.
        """
        change_count, placements = table.get(machine.index, NOT_EXAMINED)
        if change_count != machine.change_count:
            change_count, placements = table[machine.index] = machine.change_count, self._examine(job, machine, now)
        on_probation = machine.errors and now - machine.error_at <= GANG_PROBATION_S
        if not placements or on_probation or not self.placement.allowed(job, machine):
            return []
        fetch_cost = IDLE_WEIGHT * self.images.fetch_s(job, machine) * job.size[0] / MICRO_UNITS
        if machine.slowness > SLOW_MACHINE_RATIO:  # the slowest machine sets the speed of the whole gang
            fetch_cost += (machine.slowness - 1.0) * self.context.run_times.run_s(job) * job.size[0] / MICRO_UNITS
        return [
            GangCandidate(machine, change_count, p.tasks, p.victims, fetch_cost + p.cost, p.ready) for p in placements
        ]

    def _examine(self, job: Job, machine: Machine, now: float) -> list[GangPlacement]:
        """Return the slots that a machine has for a gang, whatever its image: free ones, and more by preemption."""
        if self.preemption.hopeless(job, machine, self.preemption.reclaims_for(job, now) >= 0):
            return []
        placements = []
        free = min(tasks_that_fit(job.size, machine.free), job.spec.tasks)
        if free > 0:
            placements.append(GangPlacement(free, [], 0.0, ready=True))
        if (machine.stopping_count and free > 0) or self._must_not_preempt_yet(job, now):
            return placements
        for tasks in range(min(tasks_that_fit(job.size, machine.capacity), job.spec.tasks), free, -1):
            eviction = self.preemption.eviction(job, machine, tasks, now)
            if eviction is not None:
                victims, cost = eviction
                placements.append(GangPlacement(tasks, victims, cost / tasks + PREEMPTION_DELAY_COST))
                break
        return placements

    def choose(self, job: Job, candidates: list[GangCandidate]) -> list[GangShare] | None:
        """Return the cheapest machines for a whole gang, in one zone or spread as its job demands.

        Returns:
            None if the candidates do not suffice.
        """
        tasks = job.spec.tasks
        if not job.spec.one_zone:
            max_per_zone = -(-tasks // 2) if job.spec.spread else tasks
            return self._pick(self._ranked(job, candidates), tasks, max_per_zone)
        best: list[GangShare] | None = None
        best_cost = math.inf
        for zone in sorted({c.machine.zone for c in candidates}):
            in_zone = self._ranked(job, [c for c in candidates if c.machine.zone == zone])
            shares = self._pick(in_zone, tasks, tasks)
            if shares is None:
                continue
            cost = sum(share.candidate.cost * share.tasks for share in shares)
            if cost < best_cost:
                best, best_cost = shares, cost
        return best

    def _ranked(self, job: Job, candidates: list[GangCandidate]) -> Iterator[GangCandidate]:
        """Yield the best candidates first. The order among equals is computed only as far as it is asked for."""

        def cost_key(candidate: GangCandidate) -> tuple[bool, float]:
            return candidate.machine.reserved_for is None, candidate.cost

        for _, equals in itertools.groupby(sorted(candidates, key=cost_key), cost_key):
            yield from sorted(equals, key=lambda c: self.placement.preference(job, c.machine))

    @staticmethod
    def _pick(ranked: Iterator[GangCandidate], tasks: int, max_per_zone: int) -> list[GangShare] | None:
        """Return shares of the first candidates that take all tasks, or None if they do not suffice."""
        missing = tasks
        shares: list[GangShare] = []
        tasks_by_zone: dict[int, int] = {}
        machines: set[int] = set()
        for candidate in ranked:
            machine = candidate.machine
            in_zone = tasks_by_zone.get(machine.zone, 0)
            count = min(candidate.tasks, missing, max_per_zone - in_zone)
            if count > 0 and machine.index not in machines:
                machines.add(machine.index)
                shares.append(GangShare(candidate, count))
                tasks_by_zone[machine.zone] = in_zone + count
                missing -= count
            if missing == 0:
                return shares
        return None
