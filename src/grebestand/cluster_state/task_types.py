"""Task types: jobs of one priority and placement whose tasks need about the same resources share one."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .resources import Resources
from .slots import Slot

#: Priority, whether spot machines will do, the allowed machine types and the zone (None: any) of a task type.
TypeRules = tuple[object, ...]
RULE_COUNT = 4
#: Into how many buckets a doubling of an amount is divided: sizes in one type differ by a factor of 1.4 at the most.
STEPS_PER_OCTAVE = 2.0
#: The same once there are as many types as are allowed: then they differ by a factor of 4 at the most.
COARSE_STEPS_PER_OCTAVE = 0.5
#: Keeps an exact power of two in its own bucket in spite of rounding errors of the logarithm.
BUCKET_TOLERANCE = 1e-9
#: The bucket of an amount of nothing.
EMPTY_BUCKET = -1


@dataclass
class TaskType:
    """A task type; its slots are as large as the largest task of its jobs."""

    #: The rules, and then the buckets of the sizes.
    key: tuple[object, ...]
    rank: int
    size: Resources
    spot: bool
    machine_types: frozenset[int] | None
    zone: int | None
    #: When a job of this type last came, in seconds of the leader's clock.
    seen_at: float

    @property
    def rules(self) -> TypeRules:
        """What the jobs of this type have in common beside their size."""
        return self.key[:RULE_COUNT]

    def record_job(self, size: Resources, now: float) -> None:
        """Record that a job with tasks of this size has this type."""
        self.size = (max(self.size[0], size[0]), max(self.size[1], size[1]), max(self.size[2], size[2]))
        self.seen_at = now

    def slot(self, payoff: float) -> Slot:
        """Return the slot that stands for this type in the greedy plan."""
        return Slot(self.size, payoff, self.spot, self.machine_types, self.zone)


def size_buckets(size: Resources, steps_per_octave: float) -> tuple[int, ...]:
    """Return the bucket of each amount on a logarithmic scale."""
    return tuple(_bucket(amount, steps_per_octave) for amount in size)


def _bucket(amount: int, steps_per_octave: float) -> int:
    if amount <= 0:
        return EMPTY_BUCKET
    return math.ceil(math.log2(amount) * steps_per_octave - BUCKET_TOLERANCE)
