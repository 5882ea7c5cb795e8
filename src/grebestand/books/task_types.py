"""Task types: jobs of one priority whose tasks ask for about the same share one, and the bound on their number."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .amounts import Amounts
from .slots import Slot

#: over so many seconds the rate of arrivals is averaged
RATE_S = 60.0


@dataclass
class TaskType:
    """A slot type: jobs of one priority whose tasks ask for about the same."""

    key: tuple[object, ...]
    rank: int
    size: Amounts
    spot: bool
    machine_types: frozenset[int] | None
    zone: int | None
    seen_at: float
    #: whether gangs are of it
    gangs: bool = False
    #: tasks of gangs that came a second, as of `_rate_at`
    _rate: float = 0.0
    _rate_at: float = 0.0

    def rate(self, now: float) -> float:
        """Tasks of gangs that come a second, over the last minute or so."""
        return self._rate * math.exp(-max(0.0, now - self._rate_at) / RATE_S)

    def came(self, tasks: int, now: float) -> None:
        """A gang of so many tasks has come."""
        self._rate = self.rate(now) + tasks / RATE_S
        self._rate_at = now
        self.gangs = True

    def slot(self, payoff: float) -> Slot:
        return Slot(self.size, payoff, self.spot, self.machine_types, self.zone)


def _bucket(amount: int, steps_per_octave: float) -> int:
    return -1 if amount <= 0 else math.ceil(math.log2(amount) * steps_per_octave - 1e-9)
