"""Task types: classes of jobs with the same priority and placement constraints and similar resource needs."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .resources import Resources
from .slots import Slot

#: Priority, whether spot machines are allowed, allowed machine types (None: any) and zone (None: any) of a task type.
TypeRules = tuple[object, ...]
#: Number of elements of `TypeRules`.
RULE_COUNT = 4
#: Number of size buckets for each doubling of an amount: sizes within a type differ by a factor of at most 1.4.
STEPS_PER_OCTAVE = 2.0
#: Number of size buckets for each doubling once the maximum number of types is reached: sizes within a type then differ
#: by a factor of at most 4.
COARSE_STEPS_PER_OCTAVE = 0.5
#: Subtracted before rounding up, so that rounding errors of the logarithm do not move an exact power of two into the
#: next bucket.
BUCKET_TOLERANCE = 1e-9
#: The bucket of the amount 0.
EMPTY_BUCKET = -1


@dataclass
class TaskType:
    """A task type. Its slots have the size of the largest task of its jobs."""

    #: The rules, followed by the size buckets.
    key: tuple[object, ...]
    priority_rank: int
    size: Resources
    spot_allowed: bool
    machine_types: frozenset[int] | None
    zone: int | None
    #: When a job of this type was last added or included in the demand of a plan, in seconds of the leader's clock.
    last_seen_at: float

    @property
    def rules(self) -> TypeRules:
        """Priority and placement constraints that all jobs of this type share."""
        return self.key[:RULE_COUNT]

    def record_job(self, size: Resources, now: float) -> None:
        """Record that a job with tasks of the given size was assigned to this type."""
        self.size = (max(self.size[0], size[0]), max(self.size[1], size[1]), max(self.size[2], size[2]))
        self.last_seen_at = now

    def slot(self, payoff: float) -> Slot:
        """Return the slot that represents this type in the greedy plan.

        Args:
            payoff: The value of running one task of this type.
        """
        return Slot(self.size, payoff, self.spot_allowed, self.machine_types, self.zone)


def size_buckets(size: Resources, steps_per_octave: float) -> tuple[int, ...]:
    """Return the bucket of each amount on a logarithmic scale with `steps_per_octave` buckets for each doubling."""
    return tuple(_bucket(amount, steps_per_octave) for amount in size)


def _bucket(amount: int, steps_per_octave: float) -> int:
    if amount <= 0:
        return EMPTY_BUCKET
    return math.ceil(math.log2(amount) * steps_per_octave - BUCKET_TOLERANCE)
