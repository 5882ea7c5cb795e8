"""Which machines the greedy plan lacks, and which of those there are it has no use for."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..cluster_state.machine import Machine
from ..cluster_state.resources import machine_capacity
from ..cluster_state.slots import Slot
from ..state_machines import MachineState
from .greedy import Pool, ServerDemand, gpa
from .scheduling_context import SchedulingComponent, SchedulingContext


@dataclass(frozen=True)
class CapacityShortage:
    """Machines that the greedy plan would use beyond those there are."""

    kind: int
    spot: bool
    count: int
    zones: tuple[int, ...]


class ScaleOut(SchedulingComponent):
    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        self.shortages: list[CapacityShortage] = []

    def measure(
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
        for kind, t in self.inventory.kinds.items():
            zones = [self.registry.zones.index(z) for z in t.zones] if zoned else [-1]
            room = next((p.room for p in pools if p.machine_type == kind), None)
            if room is None:
                room = machine_capacity(t)
            for zone in zones:
                for spot in (False, True):
                    if (kind, zone, spot) not in known:
                        wide_pools.append(Pool(kind, zone, spot, room))
        have = sizes + [0] * (len(wide_pools) - len(sizes))
        plan: list[ServerDemand] = gpa(slots, targets, wide_pools, [n + max(40, n) for n in have])
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
            offered = self.inventory.kinds.get(pool.machine_type)
            if offered is None:
                continue
            zones_ok = tuple(self.registry.zones.index(z) for z in offered.zones) if pool.zone < 0 else (pool.zone,)
            self.shortages.append(CapacityShortage(pool.machine_type, pool.spot, lack, zones_ok))

    def surplus(self, keep: float, idle_s: float, now: float) -> list[Machine]:
        """Machines that have been idle beyond the plan and the cushion for `idle_s` seconds, the idlest first."""
        idle = [
            m
            for m in self.inventory.machines
            if not m.allocations and m.drain is None and m.state is MachineState.READY and not m.in_accept_group
        ]
        idle.sort(key=lambda m: m.empty_since)
        return [m for m in idle[: max(0, len(idle) - math.ceil(keep))] if now - m.empty_since > idle_s]
