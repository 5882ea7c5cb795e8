"""What this cluster has free for gangs of others: the reply to a probe."""

from __future__ import annotations

from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS
from ..leader.term import Term
from .messages import MAX_IMAGES, VERSION, FreeCapacity


def measure_free_capacity(term: Term, now: float) -> FreeCapacity:
    """Return the free machines, the average price and the images that most machines have.

    It helps others to choose whom to ask first; nothing is reserved.
    """
    inventory = term.inventory
    is_schedulable = [machine for machine in inventory.machines if inventory.is_schedulable(machine, now)]
    free = [machine for machine in is_schedulable if not machine.allocations and machine.reserved_for is None]
    return FreeCapacity(
        version=VERSION,
        free_machines=len(free),
        max_cpus=max((machine.capacity[0] / MICRO_UNITS for machine in free), default=0.0),
        price_per_cpu_hour=_price_per_cpu_hour(term, is_schedulable),
        images=_commonest_images(term, is_schedulable),
    )


def _commonest_images(term: Term, machines: list[Machine]) -> list[str]:
    """Return the names of the images that most machines have, the commonest first."""
    machines_by_image: dict[int, int] = {}
    for machine in machines:
        for image in machine.images:
            machines_by_image[image] = machines_by_image.get(image, 0) + 1
    commonest = sorted(machines_by_image, key=lambda image: -machines_by_image[image])
    return [term.registry.images.name(image) for image in commonest[:MAX_IMAGES]]


def _price_per_cpu_hour(term: Term, machines: list[Machine]) -> float:
    """Return the average price of a CPU for an hour; 0 without machines of known kinds."""
    all_kinds = term.inventory.machine_types
    kinds = [all_kinds[machine.type_index] for machine in machines if machine.type_index in all_kinds]
    cpus = sum(kind.cpus for kind in kinds)
    # paired by position, which is exact only while every machine's kind is known; the price is a hint for others
    pairs = zip(kinds, machines, strict=False)
    price = sum(kind.spot_price if machine.spot else kind.price for kind, machine in pairs)
    return price / max(1.0, cpus)
