"""Gangs: whole or not at all, on the cheapest machines, cleared where that is worth it."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

from ..books.amounts import Amounts, fits, how_many
from ..books.jobs import Job, Place
from ..books.machine import Machine
from .clearing import Clearing
from .images import Images
from .placing import Placing
from .view import Decision, View

log = logging.getLogger("grebestand.gangs")

RESERVE_S = 20.0
GANG_PROBATION_S = 30.0
#: a core that waits for an image also makes its job late, so it counts for more than a lost second of work
IDLE_WEIGHT = 2.0
CLEARING_COST = 5.0
#: where the slowest image of a gang takes more than this part of what tasks wait for their gang, the others start later
UNEVEN = 0.5
NO_ROOM_FOR_GANG = "not all slots are free at once, nor can they be cleared in one zone"


@dataclass
class Offer:
    """Room for so many tasks of a gang on one machine, what has to be stopped for it, and its price for each."""

    machine: Machine
    tasks: int
    victims: list[Place]
    cost: float
    #: the room is there now; without victims it may still have to wait for tasks that were stopped before
    ready: bool = False


class Gangs(Decision):
    def __init__(self, view: View, images: Images, clearing: Clearing, placing: Placing, gang_wait_s: float) -> None:
        super().__init__(view)
        self.images = images
        self.clearing = clearing
        self.placing = placing
        self.gang_wait_s = gang_wait_s
        #: the smallest gang for which the pass has found no room, by type, how it may be spread, and whose work may go
        self._no_gang: dict[tuple[int, bool, bool, int], tuple[int, Amounts]] = {}

    def begin(self) -> None:
        """A full pass begins."""
        self._no_gang = {}

    def place(self, job: Job, ready: list[Machine], now: float, has_reserved: bool) -> None:
        """Whole or not at all: every task needs a slot at the same moment."""
        n = job.spec.tasks
        if job.places:
            job.why_waiting = "tasks of the last attempt are not gone"
            return
        if self.ledger.teams[job.team].headroom(job.size) < n:
            job.why_waiting = "team limit"
            return
        # nothing in a pass makes room for a gang like one that found none; trying each of thirty took 130 ms
        alike = job.type, job.spec.one_zone, job.spec.spread, self.clearing.reclaims_for(job, now)
        tasks, size = self._no_gang.get(alike, (n + 1, job.size))
        if n >= tasks and fits(size, job.size) and not has_reserved:
            job.why_waiting = NO_ROOM_FOR_GANG
            return
        # one bad machine would cost the whole gang its start
        ready = [m for m in ready if not m.errors or now - m.error_at > GANG_PROBATION_S]
        offers = self.offers(job, ready, now)
        chosen = self.choose(job, offers)
        if chosen is None:
            job.why_waiting = NO_ROOM_FOR_GANG
            if not job.avoid and not self.clearing.patient(job, self.knobs.preempt_after_s, now):
                self._no_gang[alike] = n, job.size
            return
        if not all(offer.ready for offer, _ in chosen):
            job.why_waiting = "its slots are being cleared"
            job.preempt_at = now
            for offer, _ in chosen:
                offer.machine.reserved_for, offer.machine.reserved_until = job.spec.id, now + RESERVE_S
                self.clearing.displace(offer.victims, job, now)
            return
        attempt = self.dispatch.next_attempt()
        index = 0
        # a task whose machine has the image would wait for the others, and not for longer than the workers let it
        fetches = [self.images.fetch_s(job, offer.machine) for offer, _ in chosen]
        uneven = max(fetches) > UNEVEN * self.gang_wait_s
        for (offer, count), fetch in zip(chosen, fetches, strict=True):
            m = offer.machine
            for _ in range(count):
                place = self.dispatch.start(job, index, m, attempt, now)
                place.held = uneven and fetch == 0.0
                index += 1
            if m.reserved_for == job.spec.id:
                m.reserved_for = None
        log.info(
            "gang %s: %d tasks placed after %.1f s on %s",
            job.spec.id,
            n,
            now - job.accepted_at,
            ",".join(offer.machine.name for offer, _ in chosen),
        )

    def offers(self, job: Job, ready: list[Machine], now: float) -> list[Offer]:
        """What each machine could do for a gang: free room now, or room that stopping other work would free.

        Both have a price in CPU seconds: work thrown away, and cores that stand still while an image is
        fetched. A machine that has the image may be worth clearing though another is free.
        """
        offers = []
        patient = self.clearing.patient(job, self.knobs.preempt_after_s, now)
        for m in ready:
            if not self.placing.allowed(job, m):
                continue
            fetch = IDLE_WEIGHT * self.images.fetch_s(job, m) * job.size[0] / 1e6
            free = min(how_many(job.size, m.free), job.spec.tasks)
            if free > 0:
                offers.append(Offer(m, free, [], fetch, ready=True))
            if patient or (m.leaving and free > 0):
                continue
            for tasks in range(min(how_many(job.size, m.room), job.spec.tasks), free, -1):
                found = self.clearing.eviction(job, m, tasks, now)
                if found is not None:
                    # clearing takes a moment in any case, and more while something saves
                    offers.append(Offer(m, tasks, found[0], fetch + found[1] / tasks + CLEARING_COST))
                    break
        return offers

    def choose(self, job: Job, offers: list[Offer]) -> list[tuple[Offer, int]] | None:
        """The cheapest machines for a whole gang, in one zone or spread as its job demands."""
        ranked = sorted(
            offers,
            key=lambda o: (o.machine.reserved_for is None, o.cost, *self.placing.preference(job, o.machine)),
        )
        if not job.spec.one_zone:
            limit = -(-job.spec.tasks // 2) if job.spec.spread else job.spec.tasks
            return self._pick(ranked, job.spec.tasks, limit)
        best: list[tuple[Offer, int]] | None = None
        best_cost = math.inf
        for zone in sorted({o.machine.zone for o in ranked}):
            picked = self._pick([o for o in ranked if o.machine.zone == zone], job.spec.tasks, job.spec.tasks)
            if picked is None:
                continue
            cost = sum(o.cost * n for o, n in picked)
            if cost < best_cost:
                best, best_cost = picked, cost
        return best

    @staticmethod
    def _pick(ranked: list[Offer], tasks: int, zone_limit: int) -> list[tuple[Offer, int]] | None:
        left = tasks
        picked: list[tuple[Offer, int]] = []
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
