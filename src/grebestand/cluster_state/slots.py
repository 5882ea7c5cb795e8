"""Slots: what the greedy algorithm knows of a task type, and a template as a count of slots for each type."""

from __future__ import annotations

from dataclasses import dataclass

from .resources import Resources

#: slots of each task type, by its index
SlotTemplate = tuple[int, ...]


@dataclass(frozen=True)
class Slot:
    """What the algorithm knows of a task type."""

    size: Resources
    payoff: float
    spot: bool = True
    machine_types: frozenset[int] | None = None
    zone: int | None = None
