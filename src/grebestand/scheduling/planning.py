"""The inputs of the greedy plan: the demand of each task type, and the machines grouped in pools."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..cluster_state.slots import Slot
from .greedy import Pool


@dataclass(frozen=True)
class TypeDemand:
    """The number of tasks to place for each active type; the lists are parallel."""

    #: Indices of the active types in the registry, the highest priority first.
    types: list[int]
    slots: list[Slot]
    #: The number of tasks that run or wait, by type.
    needs: list[float]
    #: `needs` plus the policy's number of spare slots for each type.
    targets: list[float]
    #: The number of types in the registry when the demand was computed; types may be added while a plan is computed.
    registered_types: int

    @property
    def zoned(self) -> bool:
        """Whether any type is bound to a zone."""
        return any(slot.zone is not None for slot in self.slots)


@dataclass
class MachinePools:
    """The pools of machines, and the number of machines in each pool."""

    pools: list[Pool] = field(default_factory=list)
    sizes: list[int] = field(default_factory=list)
    _index: dict[Pool, int] = field(default_factory=dict)

    def add_machine(self, pool: Pool) -> int:
        """Add one machine to a pool, which is created if necessary, and return the pool's index in `pools`."""
        index = self._index.setdefault(pool, len(self.pools))
        if index == len(self.pools):
            self.pools.append(pool)
            self.sizes.append(0)
        self.sizes[index] += 1
        return index
