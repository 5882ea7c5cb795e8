"""Amounts of CPUs, GPUs and memory as integers, so that adding and removing tasks never drifts."""

from __future__ import annotations

import math

from ..wire.cloud import MachineType
from ..wire.jobs import JobSpec

#: Millionths of a CPU, of a GPU and of a gigabyte of memory.
Resources = tuple[int, int, int]
NO_RESOURCES: Resources = (0, 0, 0)
MICRO_UNITS = 1_000_000
#: Decimals of an amount in millionths that are significant: without rounding to them, the error of a binary fraction
#: such as 0.1 would count as one millionth more.
SIGNIFICANT_DECIMALS = 3


def fits(need: Resources, capacity: Resources) -> bool:
    """Return whether the capacity holds what is needed of every resource."""
    return need[0] <= capacity[0] and need[1] <= capacity[1] and need[2] <= capacity[2]


def subtract(amount: Resources, other: Resources) -> Resources:
    """Return the difference of two amounts."""
    return (amount[0] - other[0], amount[1] - other[1], amount[2] - other[2])


def add(amount: Resources, other: Resources) -> Resources:
    """Return the sum of two amounts."""
    return (amount[0] + other[0], amount[1] + other[1], amount[2] + other[2])


def multiply(amount: Resources, factor: int) -> Resources:
    """Return an amount taken several times."""
    return (amount[0] * factor, amount[1] * factor, amount[2] * factor)


def tasks_that_fit(need: Resources, capacity: Resources) -> int:
    """Return how many tasks of this size the capacity holds; 0 if they need nothing at all."""
    count = -1
    # written out for the three of them: it is asked for every machine, and a loop takes more than twice as long
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
    """Return an amount that is needed in millionths."""
    return math.ceil(round(amount * MICRO_UNITS, SIGNIFICANT_DECIMALS))


def to_micro_rounded_down(amount: float) -> int:
    """Return an amount that is offered in millionths."""
    return math.floor(round(amount * MICRO_UNITS, SIGNIFICANT_DECIMALS))


def task_resources(spec: JobSpec) -> Resources:
    """Return what one task of a job takes."""
    return (to_micro_rounded_up(spec.cpus), to_micro_rounded_up(spec.gpus), to_micro_rounded_up(spec.memory_gb))


def machine_capacity(machine_type: MachineType) -> Resources:
    """Return what a machine of this type offers."""
    return (
        to_micro_rounded_down(machine_type.cpus),
        to_micro_rounded_down(machine_type.gpus),
        to_micro_rounded_down(machine_type.memory_gb),
    )


def dominant_share(size: Resources, capacity: Resources) -> float:
    """Return the largest part of the capacity that one task takes of any resource, between 0 and 1 if it fits."""
    return max(
        (need / offer for need, offer in zip(size, capacity, strict=True) if need > 0 and offer > 0), default=0.0
    )
