"""Migration: moves tasks from machines of the reject group into empty slots of their type in the accept group.

Machines emptied by migration get a new template or are returned to the cloud.
"""

from __future__ import annotations

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..state_machines import AllocationState
from ..wire.jobs import Kind
from .image_locality import ImageLocality
from .scheduling_context import SAVE_MARGIN_S, SchedulingComponent, SchedulingContext

#: A task is moved only after running for this many times its saving time: each move costs a save and an image fetch,
#: and a task that is moved too often finishes late.
MIN_RUN_PER_SAVE = 10.0
#: Lower bound on the saving time that determines when a task may be moved.
MIN_SAVE_S = 1.0
#: Maximum number of tasks being stopped for migration at a time.
MAX_CONCURRENT_MOVES = 2
#: Stop reason of a task that is moved.
MIGRATION_STOP_REASON = "migration"


class Migration(SchedulingComponent):
    """Stops movable tasks for which a suitable slot is free on another machine."""

    def __init__(self, context: SchedulingContext, images: ImageLocality) -> None:
        super().__init__(context)
        self.images = images

    def migrate(self, now: float) -> None:
        """Move services and tasks that save their progress, beginning with the machine of the highest rank.

        Migration only stops a task. The task then waits like any other, and a later pass places the task into the
        empty slot.

        Args:
            now: Seconds on the leader's clock.
        """
        waiting_types = {job.type_index for job in self.registry.waiting_jobs()}
        moving = self._count_moving()
        empty_slots = self._empty_slots(now)
        #: Types and images without a suitable slot, so that the slots are searched only once for each pair.
        without_slot: set[tuple[int, int]] = set()
        for machine in self._rejected_machines(now):
            for allocation in list(machine.allocations.values()):
                if moving >= MAX_CONCURRENT_MOVES:
                    return
                job = allocation.job
                if job.type_index in waiting_types or not self._may_move(allocation, now):
                    continue
                if (job.type_index, job.image_index) in without_slot:
                    continue
                slots = empty_slots.get(job.type_index, {})
                if not self._take_slot(job, slots):
                    without_slot.add((job.type_index, job.image_index))
                    continue
                moving += 1
                self.dispatch.stop(allocation, MIGRATION_STOP_REASON, job.spec.save_s + SAVE_MARGIN_S, now)

    def _count_moving(self) -> int:
        """Return the number of tasks that are being stopped for migration."""
        return sum(
            1
            for machine in self.inventory.machines
            if machine.stopping_count
            for allocation in machine.allocations.values()
            if allocation.stop_reason == MIGRATION_STOP_REASON
        )

    def _empty_slots(self, now: float) -> dict[int, dict[Machine, int]]:
        """Return the number of empty slots in the accept group, by type and machine."""
        empty_slots: dict[int, dict[Machine, int]] = {}
        for machine in self.inventory.machines:
            if machine.in_accept_group and self.inventory.is_schedulable(machine, now) and machine.reserved_for is None:
                for task_type, slots in enumerate(machine.slot_template):
                    empty = slots - machine.slots_used(task_type)
                    if empty > 0:
                        empty_slots.setdefault(task_type, {})[machine] = empty
        return empty_slots

    def _rejected_machines(self, now: float) -> list[Machine]:
        """Return the schedulable machines of the reject group, the highest rank first."""
        rejected = [
            m
            for m in self.inventory.machines
            if not m.in_accept_group and m.rank_in_plan and self.inventory.is_schedulable(m, now)
        ]
        rejected.sort(key=lambda machine: -machine.rank_in_plan)
        return rejected

    @staticmethod
    def _may_move(allocation: Allocation, now: float) -> bool:
        """Return whether a task may be moved: a running service or checkpointing task that has run for long enough."""
        spec = allocation.job.spec
        movable = spec.kind is Kind.SERVICE or (spec.checkpoint_s > 0 and spec.kind is Kind.ARRAY)
        if not movable or allocation.state is not AllocationState.RUNNING or allocation.stop_reason is not None:
            return False
        min_run_s = MIN_RUN_PER_SAVE * max(spec.save_s, MIN_SAVE_S)
        return allocation.running_since is not None and now - allocation.running_since >= min_run_s

    def _take_slot(self, job: Job, slots: dict[Machine, int]) -> bool:
        """Take an empty slot whose machine has the job's image or fetches it within a heartbeat interval.

        Args:
            job: The job of the task to move.
            slots: The number of empty slots by machine; the slot taken is removed.

        Returns:
            Whether there was such a slot.
        """
        target = next((m for m in slots if self.images.fetch_s(job, m) <= self.inventory.heartbeat_interval_s), None)
        if target is None:
            return False
        slots[target] -= 1
        if not slots[target]:
            del slots[target]
        return True
