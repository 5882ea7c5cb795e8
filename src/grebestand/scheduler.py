"""What runs where: targets and templates each period, placing on every change, preemption and migration.

All of it is pure apart from the books: the clock comes in, decisions go into the ledger through the desk.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from .fleet import Fleet, Machine
from .ledger import Job, Ledger, Place, room_of
from .machines import MachineState, PlaceState
from .placement import (
    MICRO,
    Amounts,
    Config,
    Pool,
    Seat,
    Slot,
    Wanted,
    cra,
    fits,
    gpa,
    how_many,
    plus,
    share,
)
from .settings import Objective
from .wire import PRIORITIES, Kind
from .workers import Desk

log = logging.getLogger("grebestand.scheduler")

#: a worker's report has to stay below 64 KiB
MOST_PLACES = 400
TYPE_MEMORY_S = 60.0
RESERVE_S = 20.0
GANG_PROBATION_S = 30.0
AGED_S = 180.0
#: a core that waits for an image also makes its job late, so it counts for more than a lost second of work
IDLE_WEIGHT = 2.0
CLEARING_COST = 5.0
#: an image is well spread if the machines that have it have so many times the room that is asked for with it
HOST_FACTOR = 2.0
#: where the slowest image of a gang takes more than this part of what tasks wait for their gang, the others start later
UNEVEN = 0.5
#: a task is moved only after it has run so many times as long as it takes to save
MOVE_AFTER = 10.0
NO_ROOM_FOR_GANG = "not all slots are free at once, nor can they be cleared in one zone"
#: a stopped task starts again about so much later at the earliest: saving, a report, an image, its turn
TIGHT_S = 30.0


@dataclass
class Knobs:
    """The policy's values of the moment."""

    g: float
    payoffs: tuple[float, float, float, float]
    period_s: float
    preempt_after_s: float
    reclaim_after_s: float
    migrate: bool
    lend_spare: bool


@dataclass(frozen=True)
class Shortage:
    """Machines that the greedy plan would use beyond those there are."""

    kind: int
    spot: bool
    count: int
    zones: tuple[int, ...]


@dataclass
class Offer:
    """Room for so many tasks of a gang on one machine, what has to be stopped for it, and its price for each."""

    machine: Machine
    tasks: int
    victims: list[Place]
    cost: float
    #: the room is there now; without victims it may still have to wait for tasks that were stopped before
    ready: bool = False


class Scheduler:
    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        desk: Desk,
        objectives: list[Objective],
        knobs: Callable[[], Knobs],
        gang_wait_s: float,
    ) -> None:
        self.gang_wait_s = gang_wait_s
        self.ledger = ledger
        self.fleet = fleet
        self.desk = desk
        self.knobs_of = knobs
        self.knobs = knobs()
        self.retargeted_at = self.explained_at = -math.inf
        self.shortages: list[Shortage] = []
        #: jobs that waited at the end of the last full pass, in order of service
        self.queue: list[Job] = []
        #: types of which something waited at the last full pass
        self.blocked: set[int] = set()
        #: teams over their guarantee at the last full pass: only they can be asked to give room back
        self.borrowers: set[int] = set()
        self._options: dict[tuple[int, int, int], list[tuple[float, Place]]] = {}
        #: sizes for which the pass has found no slot, by type and whether the job has waited for a period
        self._no_slot: dict[tuple[int, int, bool], Amounts] = {}
        #: the smallest gang for which the pass has found no room, by type, how it may be spread, and whose work may go
        self._no_gang: dict[tuple[int, bool, bool, int], tuple[int, Amounts]] = {}
        #: images for which the machines that have them had room enough when targets were last set
        self.well_spread: set[int] = set()
        self.within: dict[str, list[float]] = {}
        self.start_within: dict[str, list[float]] = {}
        self.deadline_times: dict[str, list[float]] = {}
        for o in objectives:
            if o.klass and o.kind == "deadline":
                self.deadline_times.setdefault(o.klass, []).append(o.times or 1.0)
            if o.klass and o.within_s and o.kind in ("finished", "wait"):
                table = self.within if o.kind == "finished" else self.start_within
                table.setdefault(o.klass, []).append(o.within_s)

    # targets and templates --------------------------------------------------------------------------------

    def _targets(self, now: float) -> tuple[list[int], list[Slot], list[float], list[float]]:
        """Active types, their slots, targets (running + waiting + g) and the bare need without g."""
        counts: dict[int, float] = {}
        for job in self.ledger.jobs.values():
            if not job.live:
                continue
            self.ledger.types[job.type].seen_at = now
            team = self.ledger.teams[job.team]
            # what a team's limit keeps from running is no reason to reserve room
            waiting = min(job.waiting(), team.headroom(job.size))
            counts[job.type] = counts.get(job.type, 0) + len(job.places) + waiting
        kinds = [i for i, t in enumerate(self.ledger.types) if i in counts or now - t.seen_at < TYPE_MEMORY_S]
        kinds.sort(key=lambda i: (self.ledger.types[i].rank, i))
        room = self._typical_room()
        slots = []
        for i in kinds:
            t = self.ledger.types[i]
            payoff = self.knobs.payoffs[t.rank]
            slots.append(t.slot(payoff * max(share(t.size, room), 1e-6)))
        need = [counts.get(i, 0.0) for i in kinds]
        return kinds, slots, [n + self.knobs.g for n in need], need

    def _typical_room(self) -> Amounts:
        rooms = [m.room for m in self.fleet.machines if m.room != (0, 0, 0)]
        return max(rooms) if rooms else (1_000_000, 1_000_000, 1_000_000)

    def retarget(self, now: float, spare: bool = True) -> None:
        """Targets, greedy plan, ranks and groups; templates change only where nothing has to be stopped for it."""
        self.retargeted_at = now
        self.knobs = self.knobs_of()
        kinds, slots, targets, need = self._targets(now)
        members = [m for m in self.fleet.machines if self._counts(m)]
        zoned = any(s.zone is not None for s in slots)
        pools: list[Pool] = []
        pool_index: dict[Pool, int] = {}
        seats: list[Seat] = []
        width = len(self.ledger.types)
        for m in members:
            pool = Pool(m.kind, m.zone if zoned else -1, m.spot, m.room)
            p = pool_index.setdefault(pool, len(pools))
            if p == len(pools):
                pools.append(pool)
            if not m.config:
                # the paper's initialisation: an unconfigured machine's template is what it holds
                m.config = self._holdings(m, width)
            config = tuple(m.config[k] if k < len(m.config) else 0 for k in kinds)
            empty = not m.places and m.reserved_for is None
            holds: Config = ()
            if m.places and m.reserved_for is None:
                all_held = self._holdings(m, width)
                held = tuple(all_held[k] for k in kinds)
                holds = held if sum(held) == sum(all_held) else ()
            seats.append(Seat(p, config, empty, holds, tag=m.index))
        seats.sort(key=lambda s: (s.empty, s.tag))
        sizes = [sum(1 for s in seats if s.pool == p) for p in range(len(pools))]
        plan = self._plan(slots, need, targets, pools, sizes)
        cra(seats, plan)
        by_index = {m.index: m for m in members}
        for seat in seats:
            m = by_index[seat.tag]
            m.rank, m.accept = seat.rank, seat.accept
            if seat.changed:
                wide = [0] * width
                for j, k in enumerate(kinds):
                    wide[k] = seat.config[j]
                m.config = tuple(wide)
        self._measure_shortage(slots, need, targets, pools, sizes, zoned)
        self._measure_images()
        if spare and self.knobs.migrate:
            self._migrate(now)
        self._explain(now)

    def _explain(self, now: float) -> None:
        """Tells a stranger reading the log why something waits."""
        if now - self.explained_at < self.knobs.period_s:
            return
        self.explained_at = now
        machines = self.fleet.machines
        by_state: dict[PlaceState, int] = {}
        for m in machines:
            for place in m.places.values():
                by_state[place.state] = by_state.get(place.state, 0) + place.job.size[0]
        shares = ", ".join(f"{n / MICRO:.0f} {state.name.lower()}" for state, n in by_state.items())
        log.info(
            "%d machines, %d accept, %d ready; %.0f of %.0f CPUs used (%s); %d tasks of %d jobs wait; g %.0f",
            len(machines),
            sum(1 for m in machines if m.accept),
            sum(1 for m in machines if self.fleet.usable(m, now)),
            sum(m.used[0] for m in machines) / MICRO,
            sum(m.room[0] for m in machines) / MICRO,
            shares,
            sum(j.waiting() for j in self.ledger.waiting_jobs()),
            sum(1 for _ in self.ledger.waiting_jobs()),
            self.knobs.g,
        )
        for job in self.ledger.waiting_jobs():
            if now - job.wait_since > 2 * self.knobs.period_s:
                why = job.why_waiting
                if job.suspects and not job.startable():
                    why = "some machines have not proved what they hold"
                elif now < job.hold_until:
                    why = "its tasks failed lately"
                log.info(
                    "%s: %d of %d tasks wait, the job for %.0f s: %s",
                    job.spec.id,
                    job.waiting(),
                    job.spec.tasks,
                    now - job.accepted_at,
                    why or "not yet tried",
                )

    @staticmethod
    def _plan(
        slots: list[Slot], need: list[float], targets: list[float], pools: list[Pool], sizes: list[int]
    ) -> list[Wanted]:
        """The greedy plan for what runs and waits, then spare slots from the machines that are left.

        The paper adds g to every type before it shares out machines. With g in the first round a type that
        came first held every machine as spares while another of the same payoff waited for ever.
        """
        plan = gpa(slots, need, pools, sizes)
        left = list(sizes)
        given = [0] * len(slots)
        for w in plan:
            left[w.pool] -= w.count
            for j, n in enumerate(w.config):
                given[j] += n * w.count
        spare = [max(0.0, t - n) for t, n in zip(targets, given, strict=True)]
        for w in gpa(slots, spare, pools, left):
            same = next((x for x in plan if x.pool == w.pool and x.config == w.config), None)
            if same is not None:
                same.count += w.count
            else:
                plan.append(w)
        return plan

    def _counts(self, m: Machine) -> bool:
        return m.state in (MachineState.READY, MachineState.SUSPECT) and m.recorded and m.drain is None and any(m.room)

    def _holdings(self, m: Machine, width: int) -> Config:
        wide = [0] * width
        for kind, count in m.slots.items():
            wide[kind] = count
        return tuple(wide)

    def _measure_shortage(
        self,
        slots: list[Slot],
        need: list[float],
        targets: list[float],
        pools: list[Pool],
        sizes: list[int],
        zoned: bool,
    ) -> None:
        """Runs the greedy plan once more as if machines were for the asking: what is lacking is rented."""
        wide_pools = list(pools)
        known = {(p.machine_type, p.zone, p.spot) for p in pools}
        for kind, t in self.fleet.kinds.items():
            zones = [self.ledger.zones.index(z) for z in t.zones] if zoned else [-1]
            room = next((p.room for p in pools if p.machine_type == kind), None)
            if room is None:
                room = room_of(t)
            for zone in zones:
                for spot in (False, True):
                    if (kind, zone, spot) not in known:
                        wide_pools.append(Pool(kind, zone, spot, room))
        have = sizes + [0] * (len(wide_pools) - len(sizes))
        plan: list[Wanted] = gpa(slots, targets, wide_pools, [n + max(40, n) for n in have])
        wanted = [0] * len(wide_pools)
        for w in plan:
            wanted[w.pool] += w.count
        # machines of one pool stand in for another's where the types allow both: count over all pools
        self.shortages = []
        lack = sum(wanted) - sum(have)
        if lack <= 0:
            return
        for p in sorted(range(len(wide_pools)), key=lambda p: wide_pools[p].spot):
            pool = wide_pools[p]
            usable = [s for s in slots if pool.takes(s)]
            if not usable:
                continue
            offered = self.fleet.kinds.get(pool.machine_type)
            if offered is None:
                continue
            zones_ok = tuple(self.ledger.zones.index(z) for z in offered.zones) if pool.zone < 0 else (pool.zone,)
            self.shortages.append(Shortage(pool.machine_type, pool.spot, lack, zones_ok))

    # placing ----------------------------------------------------------------------------------------------

    def _run_s(self, job: Job) -> float:
        """How long a task of it runs, by its owner's estimate and what its class has shown."""
        return job.spec.estimate_s * self.desk.run_ratio.get(job.spec.klass, 1.0)

    def _ends(self, job: Job) -> list[float]:
        """When the job has to be done for its aims."""
        ends = [job.accepted_at + w for w in self.within.get(job.spec.klass, ())]
        if job.spec.deadline_s is not None:
            times = self.deadline_times.get(job.spec.klass) or [1.0]
            ends += [job.accepted_at + t * job.spec.deadline_s for t in times]
        return ends

    def urgency(self, job: Job, now: float) -> tuple[object, ...]:
        """Order of service: guarantees, then priority, then who can still make an aim, least work first.

        When there is not room for all, serving the least work first lets the most jobs make it. A job too late
        for every aim comes behind those, but it ages: after a while it comes before them all.
        """
        spec = job.spec
        rest = self._run_s(job)
        limits = [end - rest for end in self._ends(job)]
        limits += [job.accepted_at + w for w in self.start_within.get(spec.klass, ())]
        work = job.unfinished() * job.size[0] * max(rest, 1.0)
        last = max(limits) if limits else job.accepted_at
        if now > last + AGED_S:
            group, value = 0, job.accepted_at
        elif not limits or now <= last:
            group, value = 1, work
        else:
            group, value = 2, job.accepted_at
        return (not job.guaranteed, job.rank, group, value, job.accepted_at)

    def place(self, now: float) -> None:
        """A full pass: every job that waits, over every machine."""
        waiting = [j for j in self.ledger.waiting_jobs() if now >= j.hold_until and j.startable() > 0]
        self.queue = []
        if not waiting:
            return
        self.ledger.rate_guarantees()
        waiting.sort(key=lambda j: self.urgency(j, now))
        self.blocked = {j.type for j in self.ledger.waiting_jobs()}
        self.borrowers = {t for t, team in enumerate(self.ledger.teams) if team.borrows()}
        self._options = {}
        self._no_slot = {}
        self._no_gang = {}
        reserved: set[str] = set()
        for m in self.fleet.machines:
            if m.reserved_for is not None:
                reserved.add(m.reserved_for)
                job = self.ledger.jobs.get(m.reserved_for)
                if now >= m.reserved_until or job is None or not job.live or job.waiting() == 0:
                    m.reserved_for = None
        ready = [m for m in self.fleet.machines if self.fleet.usable(m, now)]
        for job in waiting:
            if job.gang:
                self._place_gang(job, ready, now, job.spec.id in reserved)
            else:
                self._place_tasks(job, ready, now, job.spec.id in reserved)
        self.queue = [j for j in waiting if not j.gang and j.waiting() > 0]

    def _measure_images(self) -> None:
        """Finds the images whose machines, shared with other work, can serve what is asked for with them."""
        demand: dict[int, int] = {}
        for job in self.ledger.jobs.values():
            if job.live:
                tasks = len(job.places) + min(job.waiting(), self.ledger.teams[job.team].headroom(job.size))
                demand[job.image] = demand.get(job.image, 0) + tasks * job.size[0]
        hosts: dict[int, int] = {}
        for m in self.fleet.machines:
            if self._counts(m):
                for image in (*m.images, *m.pulls):
                    hosts[image] = hosts.get(image, 0) + m.room[0]
        self.well_spread = {i for i, need in demand.items() if hosts.get(i, 0) >= HOST_FACTOR * need}

    def _worth_fetching(self, job: Job, m: Machine, now: float) -> bool:
        """Whether the job's image is there, or should be fetched there.

        While it is fetched the cores stand still, and several images at once share the machine's rate. So one
        comes after the other, and where enough machines have the image already, the job waits for those as
        long as a fetch would take.
        """
        if job.image in m.images or job.image in m.pulls:
            return True
        fetch = self._fetch_s(job, m)
        if fetch <= self.fleet.report_s:
            return True
        return not m.pulls and (job.image not in self.well_spread or now - job.started_at >= fetch)

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
            want = min(job.startable(), self.ledger.teams[job.team].headroom(job.size))
            if want <= 0:
                done = done or job.waiting() == 0
                continue
            if now < job.hold_until or not self._allowed(job, m) or not self._worth_fetching(job, m, now):
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
            self.desk.start(job, index, m, self.desk.next_attempt(), now)
        return count

    def _allowed(self, job: Job, m: Machine) -> bool:
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

    def _place_tasks(self, job: Job, ready: list[Machine], now: float, has_reserved: bool) -> None:
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
                if job.size[0] > m.free[0] or not self._allowed(job, m):
                    continue
                n = self._slots_for(job, m, self.blocked, now)
                if n > 0 and self._worth_fetching(job, m, now):
                    options.append((self._preference(job, m), n, m))
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

    def _preference(self, job: Job, m: Machine) -> tuple[object, ...]:
        own = m.accept and job.type < len(m.config) and m.config[job.type] > m.slots_used(job.type)
        late = int(self._fetch_s(job, m) / self.fleet.report_s)
        return (
            late,
            not own,
            job.image not in m.images,
            not m.spot if job.spec.spot else m.spot,
            m.rank,
            -m.used[0],
            m.index,
        )

    def _place_gang(self, job: Job, ready: list[Machine], now: float, has_reserved: bool) -> None:
        """Whole or not at all: every task needs a slot at the same moment."""
        n = job.spec.tasks
        if job.places:
            job.why_waiting = "tasks of the last attempt are not gone"
            return
        if self.ledger.teams[job.team].headroom(job.size) < n:
            job.why_waiting = "team limit"
            return
        # nothing in a pass makes room for a gang like one that found none; trying each of thirty took 130 ms
        alike = job.type, job.spec.one_zone, job.spec.spread, self._reclaims_for(job, now)
        tasks, size = self._no_gang.get(alike, (n + 1, job.size))
        if n >= tasks and fits(size, job.size) and not has_reserved:
            job.why_waiting = NO_ROOM_FOR_GANG
            return
        # one bad machine would cost the whole gang its start
        ready = [m for m in ready if not m.errors or now - m.error_at > GANG_PROBATION_S]
        offers = self._offers(job, ready, now)
        chosen = self._choose_gang(job, offers)
        if chosen is None:
            job.why_waiting = NO_ROOM_FOR_GANG
            if not job.avoid and not self._patient(job, self.knobs.preempt_after_s, now):
                self._no_gang[alike] = n, job.size
            return
        if not all(offer.ready for offer, _ in chosen):
            job.why_waiting = "its slots are being cleared"
            job.preempt_at = now
            for offer, _ in chosen:
                offer.machine.reserved_for, offer.machine.reserved_until = job.spec.id, now + RESERVE_S
                self._displace(offer.victims, job, now)
            return
        attempt = self.desk.next_attempt()
        index = 0
        # a task whose machine has the image would wait for the others, and not for longer than the workers let it
        fetches = [self._fetch_s(job, offer.machine) for offer, _ in chosen]
        uneven = max(fetches) > UNEVEN * self.gang_wait_s
        for (offer, count), fetch in zip(chosen, fetches, strict=True):
            m = offer.machine
            for _ in range(count):
                place = self.desk.start(job, index, m, attempt, now)
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

    def _offers(self, job: Job, ready: list[Machine], now: float) -> list[Offer]:
        """What each machine could do for a gang: free room now, or room that stopping other work would free.

        Both have a price in CPU seconds: work thrown away, and cores that stand still while an image is
        fetched. A machine that has the image may be worth clearing though another is free.
        """
        offers = []
        patient = self._patient(job, self.knobs.preempt_after_s, now)
        for m in ready:
            if not self._allowed(job, m):
                continue
            fetch = IDLE_WEIGHT * self._fetch_s(job, m) * job.size[0] / 1e6
            free = min(how_many(job.size, m.free), job.spec.tasks)
            if free > 0:
                offers.append(Offer(m, free, [], fetch, ready=True))
            if patient or (m.leaving and free > 0):
                continue
            for tasks in range(min(how_many(job.size, m.room), job.spec.tasks), free, -1):
                found = self._eviction(job, m, tasks, now)
                if found is not None:
                    # clearing takes a moment in any case, and more while something saves
                    offers.append(Offer(m, tasks, found[0], fetch + found[1] / tasks + CLEARING_COST))
                    break
        return offers

    def _fetch_s(self, job: Job, m: Machine) -> float:
        """How long the job would wait for its image there; images that are fetched together share the rate."""
        if job.image in m.images:
            return 0.0
        kind = self.fleet.kinds.get(m.kind)
        if kind is None:
            return 0.0
        size = self.ledger.image_gb
        # one that is under way is half there on average
        under_way = job.image in m.pulls
        gigabytes = size[job.image] / 2 if under_way else size[job.image] + sum(size[i] for i in m.pulls)
        return gigabytes / max(kind.fetch_gb_per_s, 1e-3)

    def _choose_gang(self, job: Job, offers: list[Offer]) -> list[tuple[Offer, int]] | None:
        """The cheapest machines for a whole gang, in one zone or spread as its job demands."""
        ranked = sorted(
            offers,
            key=lambda o: (o.machine.reserved_for is None, o.cost, *self._preference(job, o.machine)),
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

    # preemption -------------------------------------------------------------------------------------------

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

    def _reclaims_for(self, job: Job, now: float) -> int:
        """The team for which the job may take back a guarantee from others, or -1."""
        others = job.guaranteed and bool(self.borrowers - {job.team})
        return job.team if others and now - job.wait_since >= self.knobs.reclaim_after_s else -1

    def _victims(self, job: Job, m: Machine, now: float) -> list[tuple[float, Place]]:
        """What the job may displace on a machine, the cheapest first; found once a pass for jobs alike."""
        team = self._reclaims_for(job, now)
        key = (m.index, job.rank, team)
        found = self._options.get(key)
        if found is None:
            found = [(self._loss(p, now), p) for p in m.places.values() if self._may_displace(job, p, team >= 0)]
            found.sort(key=lambda o: o[0])
            self._options[key] = found
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
        dearer = 3.0 if victim.job.guaranteed or self._tight(victim, now) else 1.0
        return again * dearer * tasks * (1.0 + seconds) * max(victim.job.size[0], 1) / 1e6

    def _tight(self, victim: Place, now: float) -> bool:
        """Whether a task that can still make an aim of its job would miss it if it were stopped."""
        job = victim.job
        rest = self._run_s(job)
        if job.spec.checkpoint_s > 0 and victim.run_at is not None:
            rest = max(0.0, rest - (now - victim.run_at))
        return any(0 <= end - now - rest < TIGHT_S for end in self._ends(job))

    def _eviction(self, job: Job, m: Machine, tasks: int, now: float) -> tuple[list[Place], float] | None:
        """The cheapest victims on one machine that free room for so many tasks, or None if none can."""
        need = (tasks * job.size[0], tasks * job.size[1], tasks * job.size[2])
        room = m.free
        victims: list[Place] = []
        cost = 0.0
        if m.leaving:
            for place in m.places.values():
                if place.stop is not None:
                    room = plus(room, place.job.size)
        for loss, place in self._victims(job, m, now):
            if fits(need, room):
                break
            if place.stop is not None or place.state is PlaceState.GONE:
                continue  # since the list was made
            victims.append(place)
            cost += loss
            room = plus(room, place.job.size)
        return (victims, cost) if fits(need, room) else None

    def _displace(self, victims: list[Place], job: Job, now: float) -> None:
        for victim in victims:
            other = victim.job
            grace = other.spec.save_s + 1.0 if other.spec.checkpoint_s > 0 else 0.0
            log.info("%s/%d is stopped to make room for %s", other.spec.id, victim.index, job.spec.id)
            if other.gang:
                other.displaced += 1
                self.desk.stop_job(other, "preempted", grace, now)
            else:
                self.desk.stop(victim, "preempted", grace, now)

    @staticmethod
    def _patient(job: Job, after_s: float, now: float) -> bool:
        """Whether the job should go on waiting before anything is stopped for it."""
        return now - job.wait_since < after_s or now - job.preempt_at < 1.0

    def _make_room(self, job: Job, ready: list[Machine], tasks: int, now: float) -> None:
        """Room for single tasks, where the protocol lets this job displace others."""
        if self._patient(job, self.knobs.reclaim_after_s, now):
            return
        lowest = job.rank == len(PRIORITIES) - 1
        if lowest and not (job.guaranteed and self.borrowers - {job.team}):
            return  # there is nothing that it could displace
        job.preempt_at = now
        options: list[tuple[float, Machine, list[Place]]] = []
        for m in ready:
            if not self._allowed(job, m) or m.reserved_for is not None:
                continue
            if m.leaving:
                continue
            found = self._eviction(job, m, 1, now)
            if found is not None and found[0]:
                options.append((found[1], m, found[0]))
        options.sort(key=lambda o: o[0])
        for _, m, victims in options[: max(1, min(tasks, 8))]:
            m.reserved_for, m.reserved_until = job.spec.id, now + 8.0
            self._displace(victims, job, now)

    # migration --------------------------------------------------------------------------------------------

    def _migrate(self, now: float) -> None:
        """Moves checkpointed work from the highest-rank reject machine into an empty accept slot of its type."""
        waiting = {j.type for j in self.ledger.waiting_jobs()}
        moving = sum(1 for m in self.fleet.machines if m.leaving for p in m.places.values() if p.stop == "migration")
        empty: dict[int, dict[Machine, int]] = {}
        for m in self.fleet.machines:
            if m.accept and self.fleet.usable(m, now) and m.reserved_for is None:
                for k, n in enumerate(m.config):
                    if n > m.slots_used(k):
                        empty.setdefault(k, {})[m] = n - m.slots_used(k)
        #: types and images for which no slot will do; each place in turn once looked through all the slots
        hopeless: set[tuple[int, int]] = set()
        rejected = sorted(
            (m for m in self.fleet.machines if not m.accept and m.rank and self.fleet.usable(m, now)),
            key=lambda m: -m.rank,
        )
        for m in rejected:
            for place in list(m.places.values()):
                if moving >= 2:
                    return
                spec = place.job.spec
                movable = spec.kind is Kind.SERVICE or (spec.checkpoint_s > 0 and spec.kind is Kind.ARRAY)
                # a move costs saving and fetching again; a task moved over and over finished minutes late
                fresh = place.run_at is None or now - place.run_at < MOVE_AFTER * max(spec.save_s, 1.0)
                if (
                    movable
                    and not fresh
                    and place.state is PlaceState.RUNNING
                    and place.stop is None
                    and place.job.type not in waiting
                ):
                    sought = place.job.type, place.job.image
                    if sought in hopeless:
                        continue
                    slots = empty.get(place.job.type, {})
                    to = next((s for s in slots if self._fetch_s(place.job, s) <= self.fleet.report_s), None)
                    if to is None:
                        hopeless.add(sought)
                        continue
                    slots[to] -= 1
                    if not slots[to]:
                        del slots[to]
                    moving += 1
                    self.desk.stop(place, "migration", spec.save_s + 1.0, now)
