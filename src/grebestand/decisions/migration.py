"""Moves checkpointed work from the highest-rank reject machine into an empty accept slot of its type."""

from __future__ import annotations

from ..books.machine import Machine
from ..states import PlaceState
from ..wire.jobs import Kind
from .images import Images
from .view import Decision, View

#: a task is moved only after it has run so many times as long as it takes to save
MOVE_AFTER = 10.0


class Migration(Decision):
    def __init__(self, view: View, images: Images) -> None:
        super().__init__(view)
        self.images = images

    def migrate(self, now: float) -> None:
        """Moves checkpointed work from the highest-rank reject machine into an empty accept slot of its type."""
        waiting = {j.type for j in self.ledger.waiting_jobs()}
        moving = sum(1 for m in self.fleet.machines if m.leaving for p in m.places.values() if p.stop == "migration")
        empty: dict[int, dict[Machine, int]] = {}
        for m in self.fleet.machines:
            if m.accept and self.fleet.usable(m, now) and m.reserved_for is None:
                for k, n in enumerate(m.config):
                    if n > m.slots_used(k):
                        empty.setdefault(k, {})[m] = n - m.slots_used(k)
        #: types and images for which no slot will do; each place in turn once looked through all the slots
        hopeless: set[tuple[int, int]] = set()
        rejected = sorted(
            (m for m in self.fleet.machines if not m.accept and m.rank and self.fleet.usable(m, now)),
            key=lambda m: -m.rank,
        )
        for m in rejected:
            for place in list(m.places.values()):
                if moving >= 2:
                    return
                spec = place.job.spec
                movable = spec.kind is Kind.SERVICE or (spec.checkpoint_s > 0 and spec.kind is Kind.ARRAY)
                # a move costs saving and fetching again; a task moved over and over finished minutes late
                fresh = place.run_at is None or now - place.run_at < MOVE_AFTER * max(spec.save_s, 1.0)
                if (
                    movable
                    and not fresh
                    and place.state is PlaceState.RUNNING
                    and place.stop is None
                    and place.job.type not in waiting
                ):
                    sought = place.job.type, place.job.image
                    if sought in hopeless:
                        continue
                    slots = empty.get(place.job.type, {})
                    to = next((s for s in slots if self.images.fetch_s(place.job, s) <= self.fleet.report_s), None)
                    if to is None:
                        hopeless.add(sought)
                        continue
                    slots[to] -= 1
                    if not slots[to]:
                        del slots[to]
                    moving += 1
                    self.dispatch.stop(place, "migration", spec.save_s + 1.0, now)
