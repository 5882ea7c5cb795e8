"""Task types: jobs of one priority whose tasks ask for about the same share one, and the bound on their number."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .resources import Resources
from .slots import Slot


@dataclass
class TaskType:
    """A slot type: jobs of one priority whose tasks ask for about the same."""

    key: tuple[object, ...]
    rank: int
    size: Resources
    spot: bool
    machine_types: frozenset[int] | None
    zone: int | None
    seen_at: float

    def slot(self, payoff: float) -> Slot:
        return Slot(self.size, payoff, self.spot, self.machine_types, self.zone)


def _bucket(amount: int, steps_per_octave: float) -> int:
    return -1 if amount <= 0 else math.ceil(math.log2(amount) * steps_per_octave - 1e-9)
