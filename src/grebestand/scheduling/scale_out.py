"""Scale out and in: the machines that the greedy plan lacks, and those that it has no use for."""

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

#: for the plan, each pool may grow to twice its size and by at least so many machines; enough for demand to show
MIN_POOL_GROWTH = 40


@dataclass(frozen=True)
class CapacityShortage:
    """Machines of one type that would cover what the greedy plan lacks."""

    machine_type: int
    spot: bool
    count: int
    zones: tuple[int, ...]


class ScaleOut(SchedulingComponent):
    """Compares the machines there are with those that the greedy plan would use."""

    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        #: as of the last computation of targets; on-demand machines come before spot machines
        self.shortages: list[CapacityShortage] = []

    def measure(self, demand: TypeDemand, pools: MachinePools) -> None:
        """Compute the greedy plan as if machines could be added at will, and record what is short.

        Machines of one pool stand in for those of another where types allow both, so that one number is counted over
        all pools.
        """
        rentable = self._rentable_pools(pools.pools, demand.zoned)
        candidates = pools.pools + rentable
        sizes = pools.sizes + [0] * len(rentable)
        plan = gpa(demand.slots, demand.targets, candidates, [size + max(MIN_POOL_GROWTH, size) for size in sizes])
        missing = sum(entry.count for entry in plan) - sum(sizes)
        self.shortages = self._shortages(candidates, demand.slots, missing) if missing > 0 else []

    def _rentable_pools(self, pools: list[Pool], zoned: bool) -> list[Pool]:
        """Return the pools of machines that the cloud offers and the cluster has none of."""
        present = {(pool.machine_type, pool.zone, pool.spot) for pool in pools}
        rentable: list[Pool] = []
        for kind, offered in self.inventory.machine_types.items():
            zones = [self.registry.zones.index(zone) for zone in offered.zones] if zoned else [-1]
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
        """Return a shortage for each pool that takes some type and is still offered, on-demand machines first."""
        shortages: list[CapacityShortage] = []
        for pool in sorted(pools, key=lambda pool: pool.spot):
            offered = self.inventory.machine_types.get(pool.machine_type)
            if offered is None or not any(pool.takes(slot) for slot in slots):
                continue
            zones = (pool.zone,) if pool.zone >= 0 else tuple(self.registry.zones.index(z) for z in offered.zones)
            shortages.append(CapacityShortage(pool.machine_type, pool.spot, missing, zones))
        return shortages

    def surplus(self, keep: float, idle_s: float, now: float) -> list[Machine]:
        """Return machines that the plan has no use for and that have been idle for a while, the idlest first.

        Args:
            keep: how many idle machines are kept in any case.
            idle_s: how many seconds a machine has to have been idle.
            now: seconds on the leader's clock.
        """
        idle = [
            m
            for m in self.inventory.machines
            if not m.allocations and m.drain_reason is None and m.state is MachineState.READY and not m.in_accept_group
        ]
        idle.sort(key=lambda m: m.empty_since)
        return [m for m in idle[: max(0, len(idle) - math.ceil(keep))] if now - m.empty_since > idle_s]
