"""Scale-out and scale-in: the machines that the greedy plan lacks, and the machines that the plan does not use."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..cluster_state.machine import Machine
from ..cluster_state.resources import machine_capacity
from ..cluster_state.slots import Slot
from ..state_machines import MachineState
from .greedy import Pool, gpa
from .planning import MachinePools, TypeDemand
from .scheduling_context import SchedulingComponent, SchedulingContext

#: Minimum number of machines by which the plan may enlarge each pool. Larger pools may double, which is enough to
#: reveal unmet demand.
MIN_POOL_GROWTH = 40


@dataclass(frozen=True)
class CapacityShortage:
    """A number of machines of one type that would cover the shortage of the greedy plan."""

    machine_type: int
    spot: bool
    count: int
    zones: tuple[int, ...]


class ScaleOut(SchedulingComponent):
    """Compares the existing machines with the machines that the greedy plan would use."""

    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        #: Shortages at the last update of targets, on-demand machines before spot machines.
        self.shortages: list[CapacityShortage] = []

    def update_shortages(self, demand: TypeDemand, pools: MachinePools) -> None:
        """Compute the greedy plan as if machines could be added freely, and record the shortage.

        The shortage is one number over all pools, because machines of one pool can replace machines of another
        where task types allow both.

        Args:
            demand: The demand of the active task types.
            pools: The existing machines by pool.
        """
        rentable = self._rentable_pools(pools.pools, demand.zoned)
        candidates = pools.pools + rentable
        sizes = pools.sizes + [0] * len(rentable)
        plan = gpa(demand.slots, demand.targets, candidates, [size + max(MIN_POOL_GROWTH, size) for size in sizes])
        missing = sum(entry.count for entry in plan) - sum(sizes)
        self.shortages = self._shortages(candidates, demand.slots, missing) if missing > 0 else []

    def _rentable_pools(self, pools: list[Pool], zoned: bool) -> list[Pool]:
        """Return the pools of machines that the cloud offers and of which the cluster has none."""
        present = {(pool.machine_type, pool.zone, pool.spot) for pool in pools}
        rentable: list[Pool] = []
        for kind, offered in self.inventory.machine_types.items():
            zones = [self.registry.zones.intern(zone) for zone in offered.zones] if zoned else [-1]
            capacity = next((pool.capacity for pool in pools if pool.machine_type == kind), None)
            if capacity is None:
                capacity = machine_capacity(offered)
            rentable += [
                Pool(kind, zone, spot, capacity)
                for zone in zones
                for spot in (False, True)
                if (kind, zone, spot) not in present
            ]
        return rentable

    def _shortages(self, pools: list[Pool], slots: list[Slot], missing: int) -> list[CapacityShortage]:
        """Return a shortage for each pool that accepts any type and is still offered, on-demand machines first."""
        shortages: list[CapacityShortage] = []
        for pool in sorted(pools, key=lambda pool: pool.spot):
            offered = self.inventory.machine_types.get(pool.machine_type)
            if offered is None or not any(pool.accepts(slot) for slot in slots):
                continue
            zones = (pool.zone,) if pool.zone >= 0 else tuple(self.registry.zones.intern(z) for z in offered.zones)
            shortages.append(CapacityShortage(pool.machine_type, pool.spot, missing, zones))
        return shortages

    def surplus(self, keep: float, idle_s: float, now: float) -> list[Machine]:
        """Return machines that the plan does not use and that have been idle for some time, the longest idle first.

        Args:
            keep: The number of idle machines to keep, rounded up.
            idle_s: Seconds for which a machine must have been idle.
            now: Seconds on the leader's clock.
        """
        idle = [
            m
            for m in self.inventory.machines
            if not m.allocations and m.drain_reason is None and m.state is MachineState.READY and not m.in_accept_group
        ]
        idle.sort(key=lambda m: m.empty_since)
        return [m for m in idle[: max(0, len(idle) - math.ceil(keep))] if now - m.empty_since > idle_s]
