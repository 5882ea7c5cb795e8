"""Moves checkpointed work from the highest-rank reject machine into an empty accept slot of its type."""

from __future__ import annotations

from ..cluster_state.machine import Machine
from ..state_machines import AllocationState
from ..wire.jobs import Kind
from .image_locality import ImageLocality
from .scheduling_context import SchedulingComponent, SchedulingContext

#: a task is moved only after it has run so many times as long as it takes to save
MOVE_AFTER = 10.0


class Migration(SchedulingComponent):
    def __init__(self, context: SchedulingContext, images: ImageLocality) -> None:
        super().__init__(context)
        self.images = images

    def migrate(self, now: float) -> None:
        """Moves checkpointed work from the highest-rank reject machine into an empty accept slot of its type."""
        waiting = {j.type for j in self.registry.waiting_jobs()}
        moving = sum(
            1 for m in self.inventory.machines if m.leaving for p in m.allocations.values() if p.stop == "migration"
        )
        empty: dict[int, dict[Machine, int]] = {}
        for m in self.inventory.machines:
            if m.in_accept_group and self.inventory.usable(m, now) and m.reserved_for is None:
                for k, n in enumerate(m.template):
                    if n > m.slots_used(k):
                        empty.setdefault(k, {})[m] = n - m.slots_used(k)
        #: types and images for which no slot will do; each place in turn once looked through all the slots
        hopeless: set[tuple[int, int]] = set()
        rejected = sorted(
            (m for m in self.inventory.machines if not m.in_accept_group and m.rank and self.inventory.usable(m, now)),
            key=lambda m: -m.rank,
        )
        for m in rejected:
            for allocation in list(m.allocations.values()):
                if moving >= 2:
                    return
                spec = allocation.job.spec
                movable = spec.kind is Kind.SERVICE or (spec.checkpoint_s > 0 and spec.kind is Kind.ARRAY)
                # a move costs saving and fetching again; a task moved over and over finished minutes late
                fresh = allocation.run_at is None or now - allocation.run_at < MOVE_AFTER * max(spec.save_s, 1.0)
                if (
                    movable
                    and not fresh
                    and allocation.state is AllocationState.RUNNING
                    and allocation.stop is None
                    and allocation.job.type not in waiting
                ):
                    sought = allocation.job.type, allocation.job.image
                    if sought in hopeless:
                        continue
                    slots = empty.get(allocation.job.type, {})
                    to = next(
                        (s for s in slots if self.images.fetch_s(allocation.job, s) <= self.inventory.report_s), None
                    )
                    if to is None:
                        hopeless.add(sought)
                        continue
                    slots[to] -= 1
                    if not slots[to]:
                        del slots[to]
                    moving += 1
                    self.dispatch.stop(allocation, "migration", spec.save_s + 1.0, now)
