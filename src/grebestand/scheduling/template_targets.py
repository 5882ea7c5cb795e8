"""Targets, the greedy plan, ranks and groups; templates change only where nothing has to be stopped for it."""

from __future__ import annotations

from ..cluster_state.machine import Machine
from ..cluster_state.resources import Resources, dominant_share
from ..cluster_state.slots import Slot, SlotTemplate
from .greedy import Pool, ServerDemand, TemplateAssignment, cra_steps, gpa
from .scale_out import ScaleOut
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

TYPE_MEMORY_S = 60.0


class TemplateTargets(SchedulingComponent):
    def __init__(self, context: SchedulingContext, renting: ScaleOut) -> None:
        super().__init__(context)
        self.renting = renting

    def _targets(self, now: float) -> tuple[list[int], list[Slot], list[float], list[float]]:
        """Active types, their slots, targets (running + waiting + g) and the bare need without g."""
        counts: dict[int, float] = {}
        for job in self.registry.jobs.values():
            if not job.live:
                continue
            self.registry.types[job.type].seen_at = now
            team = self.registry.teams[job.team]
            # what a team's limit keeps from running is no reason to reserve room
            waiting = min(job.wanted(), team.headroom(job.size))
            counts[job.type] = counts.get(job.type, 0) + len(job.allocations) + waiting
        kinds = [i for i, t in enumerate(self.registry.types) if i in counts or now - t.seen_at < TYPE_MEMORY_S]
        kinds.sort(key=lambda i: (self.registry.types[i].rank, i))
        room = self._typical_room()
        slots = []
        for i in kinds:
            t = self.registry.types[i]
            payoff = self.policy_values.payoffs[t.rank]
            slots.append(t.slot(payoff * max(dominant_share(t.size, room), 1e-6)))
        need = [counts.get(i, 0.0) for i in kinds]
        return kinds, slots, [n + self.policy_values.g for n in need], need

    def _typical_room(self) -> Resources:
        rooms = [m.capacity for m in self.inventory.machines if m.capacity != (0, 0, 0)]
        return max(rooms) if rooms else (1_000_000, 1_000_000, 1_000_000)

    def set(self, now: float) -> Steps:
        """Targets, greedy plan, ranks and groups; templates change only where nothing has to be stopped for it."""
        kinds, slots, targets, need = self._targets(now)
        members = [m for m in self.inventory.machines if self.inventory.counts(m)]
        zoned = any(s.zone is not None for s in slots)
        pools: list[Pool] = []
        pool_index: dict[Pool, int] = {}
        sizes: list[int] = []
        seats: list[TemplateAssignment] = []
        width = len(self.registry.types)
        turn = self.context.turn
        for looked, m in enumerate(members, 1):
            if not looked % MACHINES_PER_STEP:
                yield
            pool = Pool(m.kind, m.zone if zoned else -1, m.spot, m.capacity)
            p = pool_index.setdefault(pool, len(pools))
            if p == len(pools):
                pools.append(pool)
                sizes.append(0)
            sizes[p] += 1
            if not m.template:
                # the paper's initialisation: an unconfigured machine's template is what it holds
                m.template = self._holdings(m, width)
            config = tuple(m.template[k] if k < len(m.template) else 0 for k in kinds)
            empty, holds = self._held(m, kinds, width)
            seats.append(TemplateAssignment(p, config, empty, holds, tag=m.index))
        seats.sort(key=lambda s: (s.empty, s.tag))
        yield
        plan = self._plan(slots, need, targets, pools, sizes)
        yield
        yield from cra_steps(seats, plan)
        for looked, seat in enumerate(seats, 1):
            if not looked % MACHINES_PER_STEP:
                yield
            found = self.inventory.at(seat.tag)
            if found is None:
                continue  # it went while the plan was made
            found.rank, found.in_accept_group = seat.rank, seat.accept
            if not seat.changed:
                continue
            if self.context.turn != turn:
                # what it holds may have changed meanwhile; nothing is to be stopped for a template
                seat.empty, seat.holds = self._held(found, kinds, width)
                if not seat.may_become(seat.config):
                    continue
            wide = [0] * width
            for j, k in enumerate(kinds):
                wide[k] = seat.config[j]
            found.template = tuple(wide)
        yield
        self.renting.measure(slots, need, targets, pools, sizes, zoned)

    def _held(self, m: Machine, kinds: list[int], width: int) -> tuple[bool, SlotTemplate]:
        """Whether a machine is empty, and what it holds if that is all of these types and nobody's reservation."""
        if m.reserved_for is not None:
            return False, ()
        if not m.allocations:
            return True, ()
        every = self._holdings(m, width)
        held = tuple(every[k] for k in kinds)
        return False, (held if sum(held) == sum(every) else ())

    @staticmethod
    def _plan(
        slots: list[Slot], need: list[float], targets: list[float], pools: list[Pool], sizes: list[int]
    ) -> list[ServerDemand]:
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

    def _holdings(self, m: Machine, width: int) -> SlotTemplate:
        wide = [0] * width
        for kind, count in m.slots.items():
            wide[kind] = count
        return tuple(wide)
