"""Ranking of clusters for an offer, by the operators' expression over the clusters' free capacity."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..cluster_state.jobs import Job
from .messages import FreeCapacity

#: A reply to a probe is ignored if it is older than this, in seconds.
LOAD_VALID_S = 120.0
#: Added to the preference for a cluster with capacity for the whole gang; larger than any number of free machines.
FITS_BONUS = 1e6


@dataclass(frozen=True)
class RemoteLoad:
    """A cluster's last reply to a probe.

    Attributes:
        capacity: The cluster's free capacity.
        received_at: When the reply was received, by this cluster's steady clock, in seconds.
    """

    capacity: FreeCapacity
    received_at: float


#: Returns how much a cluster is preferred for a gang, given its last reply to a probe and that reply's age in seconds.
PreferenceFunction = Callable[[Job, FreeCapacity, float], float]


def prefer_free_capacity(job: Job, capacity: FreeCapacity, age_s: float) -> float:
    """Return a preference for clusters with capacity for the whole gang, then for those with more free machines."""
    return float(capacity.free_machines) + (FITS_BONUS if fits(job, capacity) else 0.0)


def preference(prefer: PreferenceFunction, job: Job, load: RemoteLoad | None, now: float) -> float:
    """Return how much a cluster is preferred for a gang.

    Args:
        prefer: The operators' preference.
        job: The gang.
        load: The cluster's last reply to a probe, or None.
        now: Time of this cluster's steady clock, in seconds.

    Returns:
        The preference; minus infinity without a recent reply, so that the cluster is ranked last but not excluded.
    """
    if load is None or now - load.received_at > LOAD_VALID_S:
        return -math.inf
    return prefer(job, load.capacity, now - load.received_at)


def load_after_offer(load: RemoteLoad, job: Job) -> RemoteLoad:
    """Return a cluster's load, less the machines that a gang offered to it would use."""
    tasks_per_machine = max(1, int(load.capacity.max_cpus // job.spec.cpus))
    machines = -(-job.spec.tasks // tasks_per_machine)
    free = max(0, load.capacity.free_machines - machines)
    return RemoteLoad(msgspec.structs.replace(load.capacity, free_machines=free), load.received_at)


def fits(job: Job, capacity: FreeCapacity) -> bool:
    """Return whether the whole gang fits into this capacity; only a hint, as the capacity may have changed since."""
    return capacity.free_machines * int(capacity.max_cpus // job.spec.cpus) >= job.spec.tasks
