"""Amounts of CPUs, cards and memory as integers, so that adding and removing tasks never drifts."""

from __future__ import annotations

import math

from ..wire.cloud import MachineType
from ..wire.jobs import JobSpec

#: millionths of a CPU, of a card, of a gigabyte
Resources = tuple[int, int, int]
MICRO_UNITS = 1_000_000


def fits(need: Resources, room: Resources) -> bool:
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2]


def subtract(a: Resources, b: Resources) -> Resources:
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2])


def add(a: Resources, b: Resources) -> Resources:
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def multiply(a: Resources, n: int) -> Resources:
    return (a[0] * n, a[1] * n, a[2] * n)


def tasks_that_fit(need: Resources, room: Resources) -> int:
    """How many tasks of this size fit into the room."""
    count = -1
    # written out for the three of them: it is asked for every machine, and a loop takes more than twice as long
    if need[0] > 0:
        count = room[0] // need[0]
        if count <= 0:
            return 0
    if need[1] > 0:
        some = room[1] // need[1]
        if some <= 0:
            return 0
        if count < 0 or some < count:
            count = some
    if need[2] > 0:
        some = room[2] // need[2]
        if some <= 0:
            return 0
        if count < 0 or some < count:
            count = some
    return max(0, count)


def to_micro_rounded_up(amount: float) -> int:
    return math.ceil(round(amount * MICRO_UNITS, 3))


def to_micro_rounded_down(amount: float) -> int:
    return math.floor(round(amount * MICRO_UNITS, 3))


def task_resources(spec: JobSpec) -> Resources:
    return (to_micro_rounded_up(spec.cpus), to_micro_rounded_up(spec.gpus), to_micro_rounded_up(spec.memory_gb))


def machine_capacity(kind: MachineType) -> Resources:
    return (to_micro_rounded_down(kind.cpus), to_micro_rounded_down(kind.gpus), to_micro_rounded_down(kind.memory_gb))


def dominant_share(size: Resources, room: Resources) -> float:
    """The largest part of a machine that one task takes of any resource."""
    return max((s / r for s, r in zip(size, room, strict=True) if s > 0 and r > 0), default=0.0)
