"""Single tasks: the slots that a machine has for a job, and full passes and reports that fill them."""

from __future__ import annotations

import logging

from ..books.amounts import Amounts, fits, how_many
from ..books.jobs import Job, Place
from ..books.machine import Machine
from ..wire.jobs import PRIORITIES
from .clearing import Clearing
from .images import Images
from .view import Decision, View

log = logging.getLogger("grebestand.placing")

#: a worker's report has to stay below 64 KiB
MOST_PLACES = 400


class Placing(Decision):
    def __init__(self, view: View, images: Images, clearing: Clearing) -> None:
        super().__init__(view)
        self.images = images
        self.clearing = clearing
        #: jobs that waited at the end of the last full pass, in order of service
        self.queue: list[Job] = []
        #: types of which something waited at the last full pass
        self.blocked: set[int] = set()
        #: sizes for which the pass has found no slot, by type and whether the job has waited for a period
        self._no_slot: dict[tuple[int, int, bool], Amounts] = {}

    def begin(self) -> None:
        """A full pass begins."""
        self.blocked = {j.type for j in self.ledger.waiting_jobs()}
        self._no_slot = {}

    def fill(self, m: Machine, now: float) -> None:
        """Fills the room of one machine that has just reported, in the order of the last full pass.

        On hundreds of machines a full pass at each report would take more than a whole core. Gangs, and arrays
        whose tasks depend on where the others are, wait for the next full pass.
        """
        if not self.queue or m.reserved_for is not None or not self.fleet.usable(m, now):
            return
        done = False
        for job in self.queue:
            if job.size[0] > m.free[0] or not job.live or job.spec.one_zone or job.spec.spread:
                continue
            if self.view.features.place and self.view.features.veto(job, now) is not None:
                continue
            want = min(job.startable(), self.ledger.teams[job.team].headroom(job.size))
            if want <= 0:
                done = done or job.waiting() == 0
                continue
            if now < job.hold_until or not self.allowed(job, m) or not self.images.worth_fetching(job, m, now):
                continue
            count = min(want, self._slots_for(job, m, self.blocked, now))
            if count > 0:
                self._start_tasks(job, m, count, now)
        if done:
            self.queue = [j for j in self.queue if j.waiting() > 0]

    def _start_tasks(self, job: Job, m: Machine, count: int, now: float) -> int:
        """Starts up to so many of the job's waiting tasks on a machine."""
        for started in range(count):
            index = job.take()
            if index is None:
                return started
            job.started_at = now
            self.dispatch.start(job, index, m, self.dispatch.next_attempt(), now)
        return count

    def allowed(self, job: Job, m: Machine) -> bool:
        kinds = self.ledger.types[job.type].machine_types
        return (
            (job.spec.spot or not m.spot)
            and (kinds is None or m.kind in kinds)
            and (job.zone < 0 or job.zone == m.zone)
            and (m.reserved_for is None or m.reserved_for == job.spec.id)
            and (m.index not in job.avoid or not job.earned)
        )

    def _zone_counts(self, job: Job) -> dict[int, int]:
        counts: dict[int, int] = {}
        for place in job.places.values():
            m = self.fleet.at(place.machine)
            if m is not None:
                counts[m.zone] = counts.get(m.zone, 0) + 1
        return counts

    def _slots_for(self, job: Job, m: Machine, blocked_types: set[int], now: float) -> int:
        """How many of the job's tasks the machine takes now, by the paper's rules and our two additions."""
        room = how_many(job.size, m.free)
        if room <= 0:
            return 0
        room = min(room, MOST_PLACES - len(m.places))
        if m.errors:  # on probation: one task shows whether it works again, a full load would all be lost
            room = min(room, 1 - len(m.places))
        if m.reserved_for == job.spec.id:
            return room
        if m.accept:
            own = (m.config[job.type] if job.type < len(m.config) else 0) - m.slots_used(job.type)
            if own > 0:
                return min(room, own)
            if not self.knobs.lend_spare:
                return 0
            # spare slots of other types may be borrowed while nobody of theirs waits, if their own type may
            # take them back by preemption
            mine = job.rank
            for k, n in enumerate(m.config):
                if n > 0 and k != job.type:
                    higher = self.ledger.types[k].rank < mine
                    if k in blocked_types or not higher:
                        return 0
            return room
        return room if now - job.wait_since >= self.knobs.period_s or m.rank == 0 else 0

    def place(self, job: Job, ready: list[Machine], now: float, has_reserved: bool) -> None:
        want = min(job.startable(), self.ledger.teams[job.team].headroom(job.size))
        if want <= 0:
            job.why_waiting = "team limit"
            return
        bound = job.spec.one_zone or job.spec.spread
        zones = self._zone_counts(job) if bound else {}
        half = -(-job.spec.tasks // 2)
        alike = job.type, job.image, now - job.wait_since >= self.knobs.period_s
        hopeless = self._no_slot.get(alike)
        options = []
        if hopeless is None or has_reserved or not fits(hopeless, job.size):
            for m in ready:
                if job.size[0] > m.free[0] or not self.allowed(job, m):
                    continue
                n = self._slots_for(job, m, self.blocked, now)
                if n > 0 and self.images.worth_fetching(job, m, now):
                    options.append((self.preference(job, m), n, m))
            if not options and not job.avoid:
                self._no_slot[alike] = job.size
        options.sort(key=lambda o: o[0])
        if job.spec.one_zone and options:
            fixed = next(iter(zones), None)
            if fixed is None:
                by_zone: dict[int, int] = {}
                for _, n, m in options:
                    by_zone[m.zone] = by_zone.get(m.zone, 0) + n
                fixed = max(by_zone, key=lambda z: by_zone[z])
            options = [o for o in options if o[2].zone == fixed]
        placed = 0
        for _, n, m in options:
            if job.spec.spread:
                n = min(n, half - zones.get(m.zone, 0))
            n = self._start_tasks(job, m, min(n, want - placed), now)
            zones[m.zone] = zones.get(m.zone, 0) + n
            placed += n
            if placed >= want:
                break
        if placed:
            log.debug("%s: %d tasks placed, %d wait", job.spec.id, placed, job.waiting())
        if placed < want:
            job.why_waiting = "no slot"
            self._make_room(job, ready, want - placed, now)

    def preference(self, job: Job, m: Machine) -> tuple[object, ...]:
        own = m.accept and job.type < len(m.config) and m.config[job.type] > m.slots_used(job.type)
        late = int(self.images.fetch_s(job, m) / self.fleet.report_s)
        return (
            late,
            not own,
            job.image not in m.images,
            not m.spot if job.spec.spot else m.spot,
            m.rank,
            -m.used[0],
            m.index,
        )

    def _make_room(self, job: Job, ready: list[Machine], tasks: int, now: float) -> None:
        """Room for single tasks, where the protocol lets this job displace others."""
        if self.clearing.patient(job, self.knobs.reclaim_after_s, now):
            return
        lowest = job.rank == len(PRIORITIES) - 1
        if lowest and not (job.guaranteed and self.clearing.borrowers - {job.team}):
            return  # there is nothing that it could displace
        job.preempt_at = now
        options: list[tuple[float, Machine, list[Place]]] = []
        for m in ready:
            if not self.allowed(job, m) or m.reserved_for is not None:
                continue
            if m.leaving:
                continue
            found = self.clearing.eviction(job, m, 1, now)
            if found is not None and found[0]:
                options.append((found[1], m, found[0]))
        options.sort(key=lambda o: o[0])
        for _, m, victims in options[: max(1, min(tasks, 8))]:
            m.reserved_for, m.reserved_until = job.spec.id, now + 8.0
            self.clearing.displace(victims, job, now)
