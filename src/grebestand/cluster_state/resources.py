"""Amounts of CPUs, GPUs and memory, as integers so that sums do not drift as tasks come and go."""

from __future__ import annotations

import math

from ..wire.cloud import MachineType
from ..wire.jobs import JobSpec

#: CPUs, GPUs and gigabytes of memory, each in millionths.
Resources = tuple[int, int, int]
NO_RESOURCES: Resources = (0, 0, 0)
MICRO_UNITS = 1_000_000
#: Decimal places to which an amount in millionths is rounded before it is rounded up or down to an integer. Otherwise
#: the representation error of a binary fraction such as 0.1 could change the result by one millionth.
SIGNIFICANT_DECIMALS = 3


def fits(need: Resources, capacity: Resources) -> bool:
    """Return whether the capacity is sufficient for every resource."""
    return need[0] <= capacity[0] and need[1] <= capacity[1] and need[2] <= capacity[2]


def subtract(amount: Resources, other: Resources) -> Resources:
    """Return the difference of two amounts."""
    return (amount[0] - other[0], amount[1] - other[1], amount[2] - other[2])


def add(amount: Resources, other: Resources) -> Resources:
    """Return the sum of two amounts."""
    return (amount[0] + other[0], amount[1] + other[1], amount[2] + other[2])


def multiply(amount: Resources, factor: int) -> Resources:
    """Return an amount multiplied by a factor."""
    return (amount[0] * factor, amount[1] * factor, amount[2] * factor)


def tasks_that_fit(need: Resources, capacity: Resources) -> int:
    """Return how many tasks of this size fit into the capacity; 0 for tasks that need no resources."""
    count = -1
    # unrolled, as this runs for every machine and a loop over the three resources takes more than twice as long
    if need[0] > 0:
        count = capacity[0] // need[0]
        if count <= 0:
            return 0
    if need[1] > 0:
        by_gpus = capacity[1] // need[1]
        if by_gpus <= 0:
            return 0
        if count < 0 or by_gpus < count:
            count = by_gpus
    if need[2] > 0:
        by_memory = capacity[2] // need[2]
        if by_memory <= 0:
            return 0
        if count < 0 or by_memory < count:
            count = by_memory
    return max(0, count)


def to_micro_rounded_up(amount: float) -> int:
    """Convert a required amount to millionths, rounded up."""
    return math.ceil(round(amount * MICRO_UNITS, SIGNIFICANT_DECIMALS))


def to_micro_rounded_down(amount: float) -> int:
    """Convert an available amount to millionths, rounded down."""
    return math.floor(round(amount * MICRO_UNITS, SIGNIFICANT_DECIMALS))


def task_resources(spec: JobSpec) -> Resources:
    """Return the resources that one task of a job requires."""
    return (to_micro_rounded_up(spec.cpus), to_micro_rounded_up(spec.gpus), to_micro_rounded_up(spec.memory_gb))


def machine_capacity(machine_type: MachineType) -> Resources:
    """Return the resources of a machine of this type."""
    return (
        to_micro_rounded_down(machine_type.cpus),
        to_micro_rounded_down(machine_type.gpus),
        to_micro_rounded_down(machine_type.memory_gb),
    )


def dominant_share(size: Resources, capacity: Resources) -> float:
    """Return a task's largest fraction of the capacity over all resources, between 0 and 1 if the task fits."""
    return max(
        (need / available for need, available in zip(size, capacity, strict=True) if need > 0 and available > 0),
        default=0.0,
    )
