"""Slots, which represent a task type in the greedy plan, and templates: the slots of one machine by task type."""

from __future__ import annotations

from dataclasses import dataclass

from .resources import Resources

#: Number of slots that a machine provides for each task type, by task type index.
SlotTemplate = tuple[int, ...]


@dataclass(frozen=True)
class Slot:
    """Capacity for one task of a task type, as the greedy plan sees it."""

    size: Resources
    #: Value of running one task; the plan prefers types with a higher value.
    payoff: float
    #: Whether tasks of the type may run on spot machines.
    spot_allowed: bool = True
    #: Indices of the allowed machine types, and index of the required zone; None: any.
    machine_types: frozenset[int] | None = None
    zone: int | None = None
