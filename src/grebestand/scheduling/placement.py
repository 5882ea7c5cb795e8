"""Single tasks: the slots that a machine has for a job, and full passes and reports that fill them."""

from __future__ import annotations

import logging

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import Resources, fits, tasks_that_fit
from ..wire.jobs import PRIORITIES
from .image_locality import ImageLocality
from .preemption import Preemption
from .scheduling_context import MACHINES_A_STEP, STARTS_A_STEP, SchedulingComponent, SchedulingContext, Steps

log = logging.getLogger(__name__)

#: a worker's report has to stay below 64 KiB
MOST_PLACES = 400
#: machines that one job has cleared in a pass, and that it tries for it
MOST_CLEARED, MOST_TRIED = 8, 200


#: a machine that takes so many times as long as others comes behind them
PLACED_LAST = 1.25
#: what is known of a machine that was not looked at
NOT_SEEN = (-1, 0)


class Placement(SchedulingComponent):
    def __init__(self, view: SchedulingContext, images: ImageLocality, clearing: Preemption) -> None:
        super().__init__(view)
        self.images = images
        self.clearing = clearing
        #: jobs that waited at the end of the last full pass, in order of service
        self.queue: list[Job] = []
        #: CPUs (millionths) of the smallest task among them
        self.least = 0
        #: types of which something waited at the last full pass
        self.blocked: set[int] = set()
        #: sizes for which the pass has found no slot, by type, image and whether the job has waited for a period
        self._no_slot: dict[tuple[int, int, bool], Resources] = {}
        #: sizes for which no machine's template had one, whatever the image
        self._slotless: dict[tuple[int, ...], Resources] = {}
        #: machines where the pass has found something to stop, the cheapest last, by type and the team that takes its
        #: guarantee back; who uses one takes it from the list
        self._clearable: dict[tuple[int, int], list[Machine]] = {}
        #: what templates let in, by type and age of jobs: by machine, with its count of edits then
        self._known: dict[tuple[int, bool], dict[int, tuple[int, int]]] = {}

    def begin(self) -> None:
        """A full pass begins. Slots that are known stay known: each is held against its machine's count of edits."""
        blocked = {j.type for j in self.registry.waiting_jobs()}
        if blocked != self.blocked:
            self.forget()
        self.blocked = blocked
        self._no_slot, self._slotless = {}, {}
        self._clearable = {}

    def end(self, waiting: list[Job]) -> None:
        """A full pass is over: what waits now is what reports' room is given to."""
        self.queue = [j for j in waiting if not j.gang and j.waiting() > 0]
        self.least = min((j.size[0] for j in self.queue), default=0)

    def forget(self) -> None:
        """Templates have changed, or whose spare slots may be borrowed."""
        self._known = {}

    def fill(self, m: Machine, now: float) -> None:
        """Fills the room of one machine that has just reported, in the order of the last full pass.

        On hundreds of machines a full pass at each report would take more than a whole core. Gangs, and arrays
        whose tasks depend on where the others are, wait for the next full pass.
        """
        if not self.queue or m.free[0] < self.least or not m.news:
            return
        if m.reserved_for is not None or not self.inventory.usable(m, now):
            return
        # what the last pass found no room for here finds none now unless something has changed on this machine
        m.news = False
        done = False
        refused: dict[tuple[int, bool], Resources] = {}
        for job in self.queue:
            if job.size[0] > m.free[0] or not job.live or job.spec.one_zone or job.spec.spread:
                continue
            alike = job.type, self._aged(job, now)
            if alike in refused and fits(refused[alike], job.size):
                continue
            if self.view.features.veto(job, now) is not None:
                continue
            want = self._want(job)
            if want <= 0:
                done = done or job.waiting() == 0
                continue
            if now < job.hold_until or not self.allowed(job, m) or not self.images.worth_fetching(job, m, now):
                continue
            slots = self._slots_for(job, m, self.blocked, now)
            if slots > 0:
                self._start_tasks(job, m, min(want, slots), now)
            else:
                refused[alike] = job.size
        if done:
            self.queue = [j for j in self.queue if j.waiting() > 0]

    def _start_tasks(self, job: Job, m: Machine, count: int, now: float) -> int:
        """Starts up to so many of the job's waiting tasks on a machine."""
        for started in range(count):
            fresh = job.fresh
            index = job.take()
            if index is None:
                return started
            job.started_at = now
            allocation = self.dispatch.start(job, index, m, self.dispatch.next_attempt(), now)
            allocation.first = job.fresh > fresh
        return count

    def allowed(self, job: Job, m: Machine) -> bool:
        kinds = self.registry.types[job.type].machine_types
        return (
            (job.spec.spot or not m.spot)
            and (kinds is None or m.kind in kinds)
            and (job.zone < 0 or job.zone == m.zone)
            and (m.reserved_for is None or m.reserved_for == job.spec.id)
            and (m.index not in job.avoid or not job.earned)
        )

    def _zone_counts(self, job: Job) -> dict[int, int]:
        counts: dict[int, int] = {}
        for allocation in job.allocations.values():
            m = self.inventory.at(allocation.machine)
            if m is not None:
                counts[m.zone] = counts.get(m.zone, 0) + 1
        return counts

    def _slots_for(self, job: Job, m: Machine, blocked_types: set[int], now: float) -> int:
        """How many of the job's tasks the machine takes now, by the paper's rules and our two additions."""
        room = tasks_that_fit(job.size, m.free)
        if room <= 0:
            return 0
        if m.reserved_for == job.spec.id:
            return min(room, self._most(m))
        return min(room, self._allowance(job.type, job.rank, self._aged(job, now), m, blocked_types))

    def _aged(self, job: Job, now: float) -> bool:
        """Whether it has waited for a period, so that it may have room on machines of the reject group."""
        return now - job.wait_since >= self.policy_values.period_s

    @staticmethod
    def _most(m: Machine) -> int:
        """Whatever the template: as many as a report can name, and one on probation, as a full load would be lost."""
        return (1 if m.errors else MOST_PLACES) - len(m.allocations)

    def _allowance(self, kind: int, rank: int, aged: bool, m: Machine, blocked_types: set[int]) -> int:
        """How many more tasks of a type a machine's template and group let in, whatever their size."""
        most = self._most(m)
        if not m.in_accept_group:
            return most if aged or m.rank == 0 else 0
        own = (m.template[kind] if kind < len(m.template) else 0) - m.slots_used(kind)
        if own > 0:
            return min(most, own)
        if not self.policy_values.lend_spare:
            return 0
        # spare slots of other types may be borrowed while nobody of theirs waits, if their own type may
        # take them back by preemption
        for k, n in enumerate(m.template):
            if n > 0 and k != kind and (k in blocked_types or self.registry.types[k].rank >= rank):
                return 0
        return most

    def place(self, job: Job, roomy: list[Machine], ready: list[Machine], now: float, has_reserved: bool) -> Steps:
        """Gives a job's waiting tasks the slots there are on machines with room, and if need be clears some."""
        want = self._want(job)
        if want <= 0:
            job.why_waiting = "team limit"
            return
        turn = self.view.turn
        options: list[tuple[tuple[object, ...], int, Machine]] = []
        aged = self._aged(job, now)
        alike = job.type, job.image, aged
        hopeless = self._no_slot.get(alike)
        # templates speak of types, not of sizes: what a machine lets in is looked up once for all jobs of a type
        known = self._remembered(self._known, (job.type, aged))
        # where no template has a slot, none has one for other images either
        slotless = self._slotless.get(alike[::2])
        if has_reserved or not ((hopeless and fits(hopeless, job.size)) or (slotless and fits(slotless, job.size))):
            slots = False
            for looked, m in enumerate(roomy, 1):
                if not looked % MACHINES_A_STEP:
                    yield
                if job.size[0] > m.free[0]:
                    continue
                if has_reserved and m.reserved_for == job.spec.id:
                    n = self._slots_for(job, m, self.blocked, now)
                else:
                    change_count, n = known.get(m.index, NOT_SEEN)
                    if change_count != m.change_count:
                        n = self._allowance(job.type, job.rank, aged, m, self.blocked)
                        known[m.index] = m.change_count, n
                    if n > 0:
                        n = min(n, tasks_that_fit(job.size, m.free))
                if n > 0:
                    slots = True
                    if self.allowed(job, m) and self.images.worth_fetching(job, m, now):
                        options.append((self.preference(job, m), n, m))
            if not slots:
                self._slotless[alike[::2]] = job.size
            elif not options and not job.avoid:
                self._no_slot[alike] = job.size
        options.sort(key=lambda o: o[0])
        # from here on the books are read as they are now
        zones = self._zone_counts(job) if job.spec.one_zone or job.spec.spread else {}
        half = -(-job.spec.tasks // 2)
        if job.spec.one_zone and options:
            fixed = next(iter(zones), None)
            if fixed is None:
                by_zone: dict[int, int] = {}
                for _, n, m in options:
                    by_zone[m.zone] = by_zone.get(m.zone, 0) + n
                fixed = max(by_zone, key=lambda z: by_zone[z])
            options = [o for o in options if o[2].zone == fixed]
        placed = since_step = 0
        want = self._want(job)
        for _, n, m in options:
            if placed >= want:
                break
            if since_step >= STARTS_A_STEP:
                since_step = 0
                yield
            if self.view.turn != turn:
                n = self._still(job, m, now)
                want = placed + self._want(job)
                if job.spec.one_zone or job.spec.spread:
                    zones = self._zone_counts(job)
            if job.spec.spread:
                n = min(n, half - zones.get(m.zone, 0))
            n = self._start_tasks(job, m, max(0, min(n, want - placed)), now)
            zones[m.zone] = zones.get(m.zone, 0) + n
            placed += n
            since_step += n
        if placed:
            log.debug("%s: %d tasks placed, %d wait", job.spec.id, placed, job.waiting())
        if placed < want:
            job.why_waiting = "no slot"
            yield from self._make_room(job, ready, want - placed, now)

    def _want(self, job: Job) -> int:
        """Tasks that may start now, counting what may be anywhere."""
        team = self.registry.teams[job.team]
        if not job.live or not team.left_to(job.spec.id):
            return 0
        return min(job.startable(), team.headroom(job.size))

    def _still(self, job: Job, m: Machine, now: float) -> int:
        """How many tasks a machine takes that was found good in an earlier turn."""
        if not self.inventory.usable(m, now) or not self.allowed(job, m):
            return 0
        return self._slots_for(job, m, self.blocked, now) if self.images.worth_fetching(job, m, now) else 0

    def preference(self, job: Job, m: Machine) -> tuple[object, ...]:
        own = m.in_accept_group and job.type < len(m.template) and m.template[job.type] > m.slots_used(job.type)
        late = int(self.images.fetch_s(job, m) / self.inventory.report_s)
        return (
            m.index in job.avoid,  # elsewhere it shows whose fault it is
            late,
            not own,
            m.slowness > PLACED_LAST,
            job.image not in m.images,
            not m.spot if job.spec.spot else m.spot,
            m.rank,
            -m.used[0],
            m.index,
        )

    def _make_room(self, job: Job, ready: list[Machine], tasks: int, now: float) -> Steps:
        """Room for single tasks, where the protocol lets this job displace others."""
        if self.clearing.patient(job, self.policy_values.reclaim_after_s, now):
            return
        lowest = job.rank == len(PRIORITIES) - 1
        if lowest and not (job.guaranteed and self.clearing.borrowers - {job.team}):
            return  # there is nothing that it could displace
        job.preempt_at = now
        alike = job.type, self.clearing.reclaims_for(job, now)
        ranked = self._clearable.get(alike)
        if ranked is None:
            # jobs alike take from one list: a look at every machine for each of them grew faster than the machines
            options: list[tuple[float, Machine]] = []
            for looked, m in enumerate(ready, 1):
                if not looked % MACHINES_A_STEP:
                    yield
                if self.clearing.hopeless(job, m, alike[1] >= 0):
                    continue
                found = self._evicted(job, m, now)
                if found is not None:
                    options.append((found[1], m))
            options.sort(key=lambda o: o[0], reverse=True)
            ranked = self._clearable[alike] = [m for _, m in options]
        want = max(1, min(tasks, MOST_CLEARED))
        for _ in range(min(len(ranked), MOST_TRIED)):
            if not want or not job.live:
                return
            m = ranked.pop()
            found = self._evicted(job, m, now) if self.inventory.usable(m, now) else None
            if found is not None:
                want -= 1
                m.reserved_for, m.reserved_until = job.spec.id, now + 8.0
                self.clearing.displace(found[0], job, now)

    def _evicted(self, job: Job, m: Machine, now: float) -> tuple[list[Allocation], float] | None:
        """What would be stopped there for one task, and what that costs."""
        # where a task would fit, it is the template that does not let it in: there is nothing to be stopped for it
        if m.reserved_for is not None or m.leaving or fits(job.size, m.free) or not self.allowed(job, m):
            return None
        found = self.clearing.eviction(job, m, 1, now)
        return found if found is not None and found[0] else None
