"""Which cluster a gang is offered to first: the operators' expression over the clusters' free capacity."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..cluster_state.jobs import Job
from .messages import FreeCapacity

#: the answer to a probe is ignored when it is older than this
LOAD_VALID_S = 120.0
#: a cluster with capacity for the whole gang goes before any without, however many machines that has free
FITS_BONUS = 1e6


@dataclass(frozen=True)
class RemoteLoad:
    """A cluster's last answer to a probe.

    Attributes:
        capacity: what the cluster has free.
        received_at: when the answer came, by this cluster's steady clock.
    """

    capacity: FreeCapacity
    received_at: float


#: how much a cluster is preferred for a gang, by its free capacity and the age of that answer in seconds
PreferenceFunction = Callable[[Job, FreeCapacity, float], float]


def prefer_free_capacity(job: Job, capacity: FreeCapacity, age_s: float) -> float:
    """Prefer clusters with capacity for the whole gang, then those with more free machines."""
    return float(capacity.free_machines) + (FITS_BONUS if fits(job, capacity) else 0.0)


def preference(prefer: PreferenceFunction, job: Job, load: RemoteLoad | None, now: float) -> float:
    """Return how much a cluster is preferred; one without a recent load comes last, and is asked all the same."""
    if load is None or now - load.received_at > LOAD_VALID_S:
        return -math.inf
    return prefer(job, load.capacity, now - load.received_at)


def load_after_offer(load: RemoteLoad, job: Job) -> RemoteLoad:
    """Return what a cluster has left once a gang has been offered to it."""
    tasks_per_machine = max(1, int(load.capacity.max_cpus // job.spec.cpus))
    machines = -(-job.spec.tasks // tasks_per_machine)
    free = max(0, load.capacity.free_machines - machines)
    return RemoteLoad(msgspec.structs.replace(load.capacity, free_machines=free), load.received_at)


def fits(job: Job, capacity: FreeCapacity) -> bool:
    """Return whether the whole gang fits into this capacity; a hint, as much may have changed since."""
    return capacity.free_machines * int(capacity.max_cpus // job.spec.cpus) >= job.spec.tasks
