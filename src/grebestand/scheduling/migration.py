"""Migration: moves tasks from machines of the reject group into empty slots of their type in the accept group.

Machines that are emptied in this way get a new template or are returned to the cloud.
"""

from __future__ import annotations

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..state_machines import AllocationState
from ..wire.jobs import Kind
from .image_locality import ImageLocality
from .scheduling_context import SAVE_MARGIN_S, SchedulingComponent, SchedulingContext

#: a task is moved only after it has run this many times as long as it takes to save: a move costs saving and fetching
#: again, and a task that is moved over and over finishes late
MIN_RUN_PER_SAVE = 10.0
#: saving is taken to last at least this long
MIN_SAVE_S = 1.0
#: tasks that may be on the move at a time
MAX_MOVING = 2
#: reason for which a task is stopped
MIGRATION = "migration"


class Migration(SchedulingComponent):
    """Stops tasks that can be moved where a slot that suits them is free."""

    def __init__(self, context: SchedulingContext, images: ImageLocality) -> None:
        super().__init__(context)
        self.images = images

    def migrate(self, now: float) -> None:
        """Move tasks that save their progress, and services, beginning with the machine of the highest rank.

        A task is stopped here and takes its turn with the waiting tasks, for which the empty slot is found.
        """
        waiting_types = {job.type for job in self.registry.waiting_jobs()}
        moving = self._count_moving()
        empty_slots = self._empty_slots(now)
        #: types and images for which no slot will do, so that the slots are searched once for each
        without_slot: set[tuple[int, int]] = set()
        for machine in self._rejected_machines(now):
            for allocation in list(machine.allocations.values()):
                if moving >= MAX_MOVING:
                    return
                job = allocation.job
                if job.type in waiting_types or not self._may_move(allocation, now):
                    continue
                if (job.type, job.image) in without_slot:
                    continue
                slots = empty_slots.get(job.type, {})
                if not self._take_slot(job, slots):
                    without_slot.add((job.type, job.image))
                    continue
                moving += 1
                self.dispatch.stop(allocation, MIGRATION, job.spec.save_s + SAVE_MARGIN_S, now)

    def _count_moving(self) -> int:
        """Return how many tasks are being stopped for a move."""
        return sum(
            1
            for machine in self.inventory.machines
            if machine.stopping_count
            for allocation in machine.allocations.values()
            if allocation.stop_reason == MIGRATION
        )

    def _empty_slots(self, now: float) -> dict[int, dict[Machine, int]]:
        """Return the number of empty slots in the accept group, by type and machine."""
        empty_slots: dict[int, dict[Machine, int]] = {}
        for machine in self.inventory.machines:
            if machine.in_accept_group and self.inventory.is_schedulable(machine, now) and machine.reserved_for is None:
                for task_type, slots in enumerate(machine.template):
                    empty = slots - machine.slots_used(task_type)
                    if empty > 0:
                        empty_slots.setdefault(task_type, {})[machine] = empty
        return empty_slots

    def _rejected_machines(self, now: float) -> list[Machine]:
        """Return the usable machines of the reject group, the highest rank first."""
        rejected = [
            m
            for m in self.inventory.machines
            if not m.in_accept_group and m.rank and self.inventory.is_schedulable(m, now)
        ]
        rejected.sort(key=lambda machine: -machine.rank)
        return rejected

    @staticmethod
    def _may_move(allocation: Allocation, now: float) -> bool:
        """Return whether a task runs, loses little by being moved, and has run for long enough."""
        spec = allocation.job.spec
        movable = spec.kind is Kind.SERVICE or (spec.checkpoint_s > 0 and spec.kind is Kind.ARRAY)
        if not movable or allocation.state is not AllocationState.RUNNING or allocation.stop_reason is not None:
            return False
        min_run_s = MIN_RUN_PER_SAVE * max(spec.save_s, MIN_SAVE_S)
        return allocation.run_at is not None and now - allocation.run_at >= min_run_s

    def _take_slot(self, job: Job, slots: dict[Machine, int]) -> bool:
        """Take one of the empty slots whose machine has the job's image soon, or return False if there is none."""
        target = next((m for m in slots if self.images.fetch_s(job, m) <= self.inventory.report_s), None)
        if target is None:
            return False
        slots[target] -= 1
        if not slots[target]:
            del slots[target]
        return True
