"""Slots: what the greedy plan knows of a task type, and templates, which count the slots of a machine by type."""

from __future__ import annotations

from dataclasses import dataclass

from .resources import Resources

#: How many slots of each task type a machine is to have, by the type's index.
SlotTemplate = tuple[int, ...]


@dataclass(frozen=True)
class Slot:
    """What the greedy plan knows of a task type."""

    size: Resources
    #: The value of one task, by which the plan prefers one type to another.
    payoff: float
    #: Whether spot machines will do.
    spot: bool = True
    #: Indices of the allowed machine types and zone; None: any.
    machine_types: frozenset[int] | None = None
    zone: int | None = None
