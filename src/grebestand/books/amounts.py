"""Amounts of CPUs, cards and memory as integers, so that adding and removing tasks never drifts."""

from __future__ import annotations

import math

from ..wire.cloud import MachineType
from ..wire.jobs import JobSpec

#: millionths of a CPU, of a card, of a gigabyte
Amounts = tuple[int, int, int]
MICRO = 1_000_000


def fits(need: Amounts, room: Amounts) -> bool:
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2]


def minus(a: Amounts, b: Amounts) -> Amounts:
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2])


def plus(a: Amounts, b: Amounts) -> Amounts:
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def times(a: Amounts, n: int) -> Amounts:
    return (a[0] * n, a[1] * n, a[2] * n)


def how_many(need: Amounts, room: Amounts) -> int:
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


def micro_up(amount: float) -> int:
    return math.ceil(round(amount * MICRO, 3))


def micro_down(amount: float) -> int:
    return math.floor(round(amount * MICRO, 3))


def size_of(spec: JobSpec) -> Amounts:
    return (micro_up(spec.cpus), micro_up(spec.gpus), micro_up(spec.memory_gb))


def room_of(kind: MachineType) -> Amounts:
    return (micro_down(kind.cpus), micro_down(kind.gpus), micro_down(kind.memory_gb))


def share(size: Amounts, room: Amounts) -> float:
    """The largest part of a machine that one task takes of any resource."""
    return max((s / r for s, r in zip(size, room, strict=True) if s > 0 and r > 0), default=0.0)
