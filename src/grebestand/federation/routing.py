"""Which cluster a gang is offered to first: the operators' expression over what the clusters last told."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..cluster_state.jobs import Job
from .messages import FreeCapacity

#: what was told longer ago is as good as nothing told, in seconds
OLD_S = 120.0


@dataclass(frozen=True)
class RemoteLoad:
    """What a cluster last said of its room, and when that was by this cluster's steady clock."""

    room: FreeCapacity
    at: float


#: the value of offering a gang to a cluster that told this, so many seconds ago; higher goes first
Prefer = Callable[[Job, FreeCapacity, float], float]


def by_room(job: Job, room: FreeCapacity, age_s: float) -> float:
    """Without an expression: clusters with room for the whole gang first, by what they have free."""
    return float(room.free) + (1e6 if fits(job, room) else 0.0)


def value(prefer: Prefer, job: Job, told: RemoteLoad | None, now: float) -> float:
    """Clusters that have told nothing lately come after those that have, and are asked all the same."""
    if told is None or now - told.at > OLD_S:
        return -math.inf
    return prefer(job, told.room, now - told.at)


def without(told: RemoteLoad, job: Job) -> RemoteLoad:
    """What is left of a cluster's word once a gang has been offered to it."""
    each = max(1, int(told.room.cpus // job.spec.cpus))
    used = -(-job.spec.tasks // each)
    return RemoteLoad(msgspec.structs.replace(told.room, free=max(0, told.room.free - used)), told.at)


def fits(job: Job, room: FreeCapacity) -> bool:
    """Whether the gang would have fitted into what was told; a hint, as much may have changed."""
    return room.free * int(room.cpus // job.spec.cpus) >= job.spec.tasks
