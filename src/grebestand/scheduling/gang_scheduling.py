"""Gangs: whole or not at all, on the cheapest machines, cleared where that is worth it."""

from __future__ import annotations

import itertools
import logging
import math
from collections.abc import Iterator
from dataclasses import dataclass

from ..cluster_state.jobs import Allocation, GangStartTimeline, Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import Resources, fits, tasks_that_fit
from .image_locality import ImageLocality
from .placement import PLACED_LAST, Placement
from .preemption import Preemption
from .scheduling_context import MACHINES_A_STEP, SchedulingComponent, SchedulingContext, Steps

log = logging.getLogger(__name__)

RESERVE_S = 20.0
GANG_PROBATION_S = 30.0
#: a core that waits for an image also makes its job late, so it counts for more than a lost second of work
IDLE_WEIGHT = 2.0
CLEARING_COST = 5.0
#: where the slowest image of a gang takes more than this part of what tasks wait for their gang, the others start later
UNEVEN = 0.5
#: room for so many tasks in one zone, free and at the least price, is enough to choose from
ENOUGH = 200
#: how often a choice is mended for machines that changed while others were looked at
MOST_MENDS = 3
NO_ROOM_FOR_GANG = "not all slots are free at once, nor can they be cleared in one zone"


@dataclass(frozen=True)
class GangPlacement:
    """Room for so many tasks on one machine, what has to be stopped for it, and the price of that for each task."""

    tasks: int
    victims: list[Allocation]
    cost: float
    #: the room is there now; without victims it may still have to wait for tasks that were stopped before
    ready: bool = False


@dataclass(frozen=True)
class GangCandidates:
    """Room on a machine as it was at a count of its edits, with the price of fetching the gang's image added."""

    machine: Machine
    change_count: int
    tasks: int
    victims: list[Allocation]
    cost: float
    ready: bool


#: what is known of a machine that was not looked at
NEVER: tuple[int, list[GangPlacement]] = (-1, [])


class GangScheduling(SchedulingComponent):
    def __init__(
        self,
        view: SchedulingContext,
        images: ImageLocality,
        clearing: Preemption,
        placing: Placement,
        gang_wait_s: float,
    ) -> None:
        super().__init__(view)
        self.images = images
        self.clearing = clearing
        self.placing = placing
        self.gang_wait_s = gang_wait_s
        #: the smallest gang for which the pass has found no room, by type, how it may be spread, and whose work may go
        self._no_gang: dict[tuple[int, bool, bool, int], tuple[int, Resources]] = {}
        self._borrowers: set[int] = set()
        #: the overdue gang for which this pass keeps machines
        self._kept_for = ""
        #: what was seen of machines, by all that matters of a gang but its image
        self._known: dict[tuple[object, ...], dict[int, tuple[int, list[GangPlacement]]]] = {}

    def begin(self) -> None:
        """A full pass begins."""
        self._no_gang = {}
        self._kept_for = ""
        if self.clearing.borrowers != self._borrowers:
            self.forget()

    def forget(self) -> None:
        """What stopping work costs has to be looked up again: time has passed, or others may be asked for room."""
        self._known = {}
        self._borrowers = set(self.clearing.borrowers)

    def place(self, job: Job, ready: list[Machine], now: float, has_reserved: bool) -> Steps:
        """Whole or not at all: every task needs a slot at the same moment."""
        n = job.spec.tasks
        overdue = self.clearing.aims.overdue(job, now, self.policy_values.begin_after_s)
        if not self._may_start(job):
            team = self.registry.teams[job.team]
            if overdue and not team.kept_for and job.startable() and team.headroom(job.size) < n:
                # smaller jobs of its own team would take what is left of the limit again and again
                team.kept_for = job.spec.id
            return
        # nothing in a pass makes room for a gang like one that found none; trying each of thirty took 130 ms
        alike = job.type, job.spec.one_zone, job.spec.spread, self.clearing.reclaims_for(job, now)
        tasks, size = self._no_gang.get(alike, (n + 1, job.size))
        keeps = overdue and not self._kept_for
        if n >= tasks and fits(size, job.size) and not has_reserved and not keeps:
            job.why_waiting = NO_ROOM_FOR_GANG
            return
        turn = self.view.turn
        offers: list[GangCandidates] = []
        rooms = self._rooms(job, now)
        #: by zone, tasks that would start now at the least price there can be
        perfect: dict[int, int] = {}
        least = IDLE_WEIGHT * self.images.least_s(job) * job.size[0] / 1e6
        for looked, m in enumerate(ready, 1):
            if not looked % MACHINES_A_STEP:
                yield
            change_count, found = rooms.get(m.index, NEVER)
            if not found and change_count == m.change_count:
                continue
            for offer in self.offers(job, m, rooms, now):
                offers.append(offer)
                if offer.ready and offer.cost <= least:
                    perfect[m.zone] = perfect.get(m.zone, 0) + offer.tasks
            if perfect.get(m.zone, 0) >= max(ENOUGH, 4 * n):
                break  # there is nothing better, and enough to choose from
        chosen = self.choose(job, offers)
        for _ in range(MOST_MENDS):
            if chosen is None or self.view.turn == turn:
                break
            # the books may have changed while they were looked through: what was chosen is looked at again
            stale = {
                o.machine
                for o, _ in chosen
                if o.change_count != o.machine.change_count or not self.inventory.usable(o.machine, now)
            }
            if not stale:
                break
            offers = [o for o in offers if o.machine not in stale]
            for m in sorted(stale, key=lambda m: m.index):
                if self.inventory.usable(m, now):
                    offers += self.offers(job, m, rooms, now)
            chosen = self.choose(job, offers)
        else:
            job.why_waiting = "its machines changed while it was placed"
            return
        if self.view.turn != turn and not self._may_start(job):
            return
        if chosen is None:
            job.why_waiting = NO_ROOM_FOR_GANG
            if keeps:
                self._keep(job, offers, now)
            if not job.avoid and not self.clearing.patient(job, self.policy_values.preempt_after_s, now):
                self._no_gang[alike] = n, job.size
            return
        if not all(offer.ready for offer, _ in chosen):
            if not all(self.clearing.may_stop(job, v, now) for offer, _ in chosen for v in offer.victims):
                self.forget()  # a guarantee or a limit has changed since they were looked up
                job.why_waiting = NO_ROOM_FOR_GANG
                return
            job.why_waiting = "its slots are being cleared"
            job.preempt_at = now
            for offer, _ in chosen:
                offer.machine.reserved_for, offer.machine.reserved_until = job.spec.id, now + RESERVE_S
                self.clearing.displace(offer.victims, job, now)
            return
        self._start(job, chosen, now)

    def room_for(self, job: Job, now: float) -> list[Machine] | None:
        """Machines that would take the whole gang now, with nothing stopped for it; None if there are not enough.

        For a gang that is not in the books: another cluster asks.
        """
        offers: list[GangCandidates] = []
        rooms: dict[int, tuple[int, list[GangPlacement]]] = {}
        for m in self.inventory.machines:
            if self.inventory.usable(m, now) and m.free[0] >= job.size[0]:
                offers += [o for o in self.offers(job, m, rooms, now) if o.ready]
        chosen = self.choose(job, offers)
        return [offer.machine for offer, _ in chosen] if chosen is not None else None

    def _may_start(self, job: Job) -> bool:
        """Whether the whole gang is nowhere, and its team's limit leaves room for it."""
        if not job.live or not job.startable():
            return False
        if job.allocations:
            job.why_waiting = "tasks of the last attempt are not gone"
            return False
        team = self.registry.teams[job.team]
        if not team.left_to(job.spec.id):
            job.why_waiting = f"its team's limit is kept for {team.kept_for}"
            return False
        if team.headroom(job.size) < job.spec.tasks:
            job.why_waiting = "team limit"
            return False
        return True

    def _keep(self, job: Job, offers: list[GangCandidates], now: float) -> None:
        """Keeps free machines for an overdue gang, in the zone where most of it has room, until it can start whole.

        One gang a pass, the first in order of service, and no more machines than it needs; each pass looks anew, so
        that what is kept is given back within `RESERVE_S` once it starts elsewhere, is cancelled, or another zone is
        better.
        Nothing is stopped for it that could not be stopped anyway.
        """
        self._kept_for = job.spec.id
        free: dict[int, list[GangCandidates]] = {}
        for o in offers:
            if o.ready and not o.victims and o.machine.reserved_for in (None, job.spec.id):
                free.setdefault(o.machine.zone if job.spec.one_zone else -1, []).append(o)
        if not free:
            return
        best = max(free.values(), key=lambda group: sum(o.tasks for o in group))
        left = job.spec.tasks
        for o in sorted(best, key=lambda o: (o.machine.reserved_for is None, o.cost, o.machine.index)):
            if left <= 0:
                break
            left -= o.tasks
            o.machine.reserved_for, o.machine.reserved_until = job.spec.id, now + RESERVE_S
        job.why_waiting = f"{job.spec.tasks - max(0, left)} of its slots are kept for it, the others are not free"

    def _start(self, job: Job, chosen: list[tuple[GangCandidates, int]], now: float) -> None:
        attempt = self.dispatch.next_attempt()
        job.stages = GangStartTimeline(attempt, max(job.wait_since, *(o.machine.freed_at for o, _ in chosen)), now)
        index = 0
        # a task whose machine has the image would wait for the others, and not for longer than the workers let it
        fetches = [self.images.fetch_s(job, offer.machine) for offer, _ in chosen]
        uneven = max(fetches) > UNEVEN * self.gang_wait_s
        for (offer, count), fetch in zip(chosen, fetches, strict=True):
            m = offer.machine
            for _ in range(count):
                allocation = self.dispatch.start(job, index, m, attempt, now)
                allocation.held = uneven and fetch == 0.0
                index += 1
            if m.reserved_for == job.spec.id:
                m.reserved_for = None
        log.info(
            "gang %s: %d tasks placed after %.1f s on %s",
            job.spec.id,
            index,
            now - job.accepted_at,
            ",".join(offer.machine.name for offer, _ in chosen),
        )

    def _rooms(self, job: Job, now: float) -> dict[int, tuple[int, list[GangPlacement]]]:
        """What this pass knows of machines for gangs like this one, whatever their images: by machine, its count of
        edits when it was looked at, and what it had. Most machines have nothing, and are passed over by a look."""
        most = max((tasks_that_fit(job.size, room) for room in self.inventory.rooms), default=0)
        patient = self.clearing.patient(job, self.policy_values.preempt_after_s, now)
        key = job.size, job.rank, self.clearing.reclaims_for(job, now), patient, min(job.spec.tasks, most)
        return self._remembered(self._known, key)

    def offers(
        self, job: Job, m: Machine, rooms: dict[int, tuple[int, list[GangPlacement]]], now: float
    ) -> list[GangCandidates]:
        """What a machine could do for a gang: free room now, or room that stopping other work would free.

        Both have a price in CPU seconds: work thrown away, and cores that stand still while an image is
        fetched. A machine that has the image may be worth clearing though another is free.
        """
        change_count, found = rooms.get(m.index, NEVER)
        if change_count != m.change_count:
            change_count, found = rooms[m.index] = m.change_count, self._room(job, m, now)
        # one bad machine would cost the whole gang its start
        on_probation = m.errors and now - m.error_at <= GANG_PROBATION_S
        if not found or on_probation or not self.placing.allowed(job, m):
            return []
        fetch = IDLE_WEIGHT * self.images.fetch_s(job, m) * job.size[0] / 1e6
        if m.slowness > PLACED_LAST:  # the slowest machine sets the speed of the whole gang
            fetch += (m.slowness - 1.0) * self.view.run_times.run_s(job) * job.size[0] / 1e6
        return [GangCandidates(m, change_count, r.tasks, r.victims, fetch + r.cost, r.ready) for r in found]

    def _room(self, job: Job, m: Machine, now: float) -> list[GangPlacement]:
        """What there is on a machine for a gang's tasks, whatever their image."""
        if self.clearing.hopeless(job, m, self.clearing.reclaims_for(job, now) >= 0):
            return []
        found = []
        free = min(tasks_that_fit(job.size, m.free), job.spec.tasks)
        if free > 0:
            found.append(GangPlacement(free, [], 0.0, ready=True))
        if (m.leaving and free > 0) or self.clearing.patient(job, self.policy_values.preempt_after_s, now):
            return found
        for tasks in range(min(tasks_that_fit(job.size, m.capacity), job.spec.tasks), free, -1):
            evicted = self.clearing.eviction(job, m, tasks, now)
            if evicted is not None:
                # clearing takes a moment in any case, and more while something saves
                found.append(GangPlacement(tasks, evicted[0], evicted[1] / tasks + CLEARING_COST))
                break
        return found

    def choose(self, job: Job, offers: list[GangCandidates]) -> list[tuple[GangCandidates, int]] | None:
        """The cheapest machines for a whole gang, in one zone or spread as its job demands."""
        if not job.spec.one_zone:
            limit = -(-job.spec.tasks // 2) if job.spec.spread else job.spec.tasks
            return self._pick(self._ranked(job, offers), job.spec.tasks, limit)
        best: list[tuple[GangCandidates, int]] | None = None
        best_cost = math.inf
        for zone in sorted({o.machine.zone for o in offers}):
            there = self._ranked(job, [o for o in offers if o.machine.zone == zone])
            picked = self._pick(there, job.spec.tasks, job.spec.tasks)
            if picked is None:
                continue
            cost = sum(o.cost * n for o, n in picked)
            if cost < best_cost:
                best, best_cost = picked, cost
        return best

    def _ranked(self, job: Job, offers: list[GangCandidates]) -> Iterator[GangCandidates]:
        """The best offers first. What decides between equals is looked up only as far as they are asked for."""

        def price(o: GangCandidates) -> tuple[bool, float]:
            return o.machine.reserved_for is None, o.cost

        for _, equals in itertools.groupby(sorted(offers, key=price), price):
            yield from sorted(equals, key=lambda o: self.placing.preference(job, o.machine))

    @staticmethod
    def _pick(ranked: Iterator[GangCandidates], tasks: int, zone_limit: int) -> list[tuple[GangCandidates, int]] | None:
        left = tasks
        picked: list[tuple[GangCandidates, int]] = []
        used: dict[int, int] = {}
        taken: set[int] = set()
        for offer in ranked:
            m = offer.machine
            count = min(offer.tasks, left, zone_limit - used.get(m.zone, 0))
            if count > 0 and m.index not in taken:
                taken.add(m.index)
                picked.append((offer, count))
                used[m.zone] = used.get(m.zone, 0) + count
                left -= count
            if left == 0:
                return picked
        return None
