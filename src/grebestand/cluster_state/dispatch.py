"""Dispatch: what has been decided to start and to stop, and is still to be sent to the workers."""

from __future__ import annotations

from ..state_machines import AllocationState, JobState
from .job_registry import JobRegistry
from .jobs import Allocation, Job
from .machine import Machine
from .machine_inventory import MachineInventory

#: How many attempts a leader can number under one token before the numbers would run into those of the next token.
ATTEMPTS_PER_TOKEN = 1 << 24


class Dispatch:
    """Starts and stops allocations, and collects what has to be sent or recorded for them."""

    def __init__(self, registry: JobRegistry, inventory: MachineInventory, token: int) -> None:
        self.registry = registry
        self.inventory = inventory
        #: Fencing token of this term.
        self.token = token
        #: Indices of machines with a stop that should not wait for the next heartbeat.
        self.urgent: set[int] = set()
        #: By id, jobs with queued allocations that their durable grant does not cover yet.
        self.to_cover: dict[str, Job] = {}
        self._attempts = 0

    def next_attempt(self) -> int:
        """Return a number that no other attempt of any leader has: the token never repeats, nor does the count."""
        self._attempts += 1
        return self.token * ATTEMPTS_PER_TOKEN + self._attempts

    def start(self, job: Job, index: int, machine: Machine, attempt: int, now: float) -> Allocation:
        """Open an allocation for a task on a machine; the start command goes with a response to its heartbeats."""
        allocation = self.registry.open_allocation(job, index, machine.index, attempt, now)
        allocation.epoch = machine.epoch
        self.inventory.add_allocation(machine, allocation)
        if not job.covers(allocation):
            self.to_cover[job.spec.id] = job
        return allocation

    def stop(self, allocation: Allocation, why: str, grace: float, now: float) -> None:
        """Ask for the end of a task; what was never sent is released at once.

        Args:
            allocation: The task's allocation.
            why: The reason, for logs and users.
            grace: Seconds in which the task may save a checkpoint. A later request counts only with a shorter grace.
            now: The present time, in seconds.
        """
        machine = self.inventory.at(allocation.machine)
        if machine is None or allocation.state is AllocationState.GONE:
            return
        if allocation.state is AllocationState.QUEUED:
            self.inventory.release(machine, allocation, now)
            return
        if allocation.stop_reason is not None and grace >= allocation.grace:
            return
        if allocation.stop_reason is None:
            machine.record_stop_request()
        allocation.request_stop(why, grace)
        self.urgent.add(machine.index)

    def stop_job(self, job: Job, why: str, grace: float, now: float) -> None:
        """Ask for the end of all tasks of a job."""
        for allocation in list(job.allocations.values()):
            self.stop(allocation, why, grace, now)

    def cancel(self, job: Job, now: float) -> None:
        """Apply a committed cancellation: nothing more of the job starts, and what runs is stopped."""
        if job.state in (JobState.DONE, JobState.CANCELLED):
            return
        self.registry.move_job(job, JobState.CANCELLED, now)
        self.stop_job(job, "cancelled", 0.0, now)
        self.registry.drop_if_settled(job)
