"""What the greedy plan is computed from: the demand of each task type, and the machines in pools."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..cluster_state.slots import Slot
from .greedy import Pool


@dataclass(frozen=True)
class TypeDemand:
    """How many tasks of each active type there are to place; the lists run in parallel."""

    #: indices of the active types in the registry, the highest priority first
    types: list[int]
    slots: list[Slot]
    #: tasks that run or wait
    needs: list[float]
    #: the same, with the policy's spare slots for each type
    targets: list[float]
    #: how many types the registry had; more may be added while a plan is computed
    registered_types: int

    @property
    def zoned(self) -> bool:
        """Whether some type is bound to a zone."""
        return any(slot.zone is not None for slot in self.slots)


@dataclass
class MachinePools:
    """The pools of machines, and how many machines each has."""

    pools: list[Pool] = field(default_factory=list)
    sizes: list[int] = field(default_factory=list)
    _index: dict[Pool, int] = field(default_factory=dict)

    def add_machine(self, pool: Pool) -> int:
        """Count one machine of a pool, and return the pool's index."""
        index = self._index.setdefault(pool, len(self.pools))
        if index == len(self.pools):
            self.pools.append(pool)
            self.sizes.append(0)
        self.sizes[index] += 1
        return index
