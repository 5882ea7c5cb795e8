"""Measurement of this cluster's free capacity for gangs of other clusters: the reply to a probe."""

from __future__ import annotations

from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS
from ..leader.term import Term
from .messages import MAX_IMAGES, VERSION, FreeCapacity


def measure_free_capacity(term: Term, now: float) -> FreeCapacity:
    """Return the free machines, the average price and the most common images.

    Other clusters rank clusters for an offer by this reply; no machine is reserved.

    Args:
        term: The leader's term.
        now: Time of the steady clock, in seconds.
    """
    inventory = term.inventory
    schedulable = [machine for machine in inventory.machines if inventory.is_schedulable(machine, now)]
    free = [machine for machine in schedulable if not machine.allocations and machine.reserved_for is None]
    return FreeCapacity(
        version=VERSION,
        free_machines=len(free),
        max_cpus=max((machine.capacity[0] / MICRO_UNITS for machine in free), default=0.0),
        price_per_cpu_hour=_price_per_cpu_hour(term, schedulable),
        images=_commonest_images(term, schedulable),
    )


def _commonest_images(term: Term, machines: list[Machine]) -> list[str]:
    """Return the names of the images that are present on the most machines, the most common first."""
    machines_by_image: dict[int, int] = {}
    for machine in machines:
        for image in machine.images:
            machines_by_image[image] = machines_by_image.get(image, 0) + 1
    commonest = sorted(machines_by_image, key=lambda image: -machines_by_image[image])
    return [term.registry.images.name(image) for image in commonest[:MAX_IMAGES]]


def _price_per_cpu_hour(term: Term, machines: list[Machine]) -> float:
    """Return the average price of one CPU for one hour; 0 without machines of known types."""
    known_types = term.inventory.machine_types
    types = [known_types[machine.type_index] for machine in machines if machine.type_index in known_types]
    cpus = sum(machine_type.cpus for machine_type in types)
    # Paired by position, which is exact only if the type of every machine is known. That suffices for other clusters,
    # which use the price only to rank clusters.
    pairs = zip(types, machines, strict=False)
    price = sum(machine_type.spot_price if machine.spot else machine_type.price for machine_type, machine in pairs)
    return price / max(1.0, cpus)
