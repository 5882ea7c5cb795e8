"""What has been decided to start and to stop, and is still to be told to the workers."""

from __future__ import annotations

from ..state_machines import AllocationState, JobState
from .job_registry import JobRegistry
from .jobs import Allocation, Job
from .machine import Machine
from .machine_inventory import MachineInventory

#: how many attempts a leader can name under one token before it would run into the next one's
ATTEMPTS_PER_TOKEN = 1 << 24


class Dispatch:
    def __init__(self, registry: JobRegistry, inventory: MachineInventory, token: int) -> None:
        self.registry = registry
        self.inventory = inventory
        self.token = token
        #: machines with a stop that should not wait for the next report
        self.urgent: set[int] = set()
        #: jobs with queued tasks that their durable grant does not cover yet
        self.to_cover: dict[str, Job] = {}
        self._attempts = 0

    def next_attempt(self) -> int:
        """Unique among all leaders' attempts: the token never repeats, nor does the count below it."""
        self._attempts += 1
        return self.token * ATTEMPTS_PER_TOKEN + self._attempts

    def start(self, job: Job, index: int, m: Machine, attempt: int, now: float) -> Allocation:
        allocation = self.registry.open_allocation(job, index, m.index, attempt, now)
        allocation.epoch = m.epoch
        self.inventory.add_allocation(m, allocation)
        if not job.covers(allocation):
            self.to_cover[job.spec.id] = job
        return allocation

    def stop(self, allocation: Allocation, why: str, grace: float, now: float) -> None:
        """Asks for a task's end. What was never sent is simply taken back."""
        m = self.inventory.at(allocation.machine)
        if m is None or allocation.state is AllocationState.GONE:
            return
        if allocation.state is AllocationState.QUEUED:
            self.inventory.release(m, allocation, now)
            return
        if allocation.stop is not None and grace >= allocation.grace:
            return
        if allocation.stop is None:
            m.leaving += 1
            m.change_count += 1
        allocation.stop, allocation.grace = why, grace
        self.urgent.add(m.index)

    def stop_job(self, job: Job, why: str, grace: float, now: float) -> None:
        for allocation in list(job.allocations.values()):
            self.stop(allocation, why, grace, now)

    def cancel(self, job: Job, now: float) -> None:
        """The cancellation is committed: nothing more starts, and what is anywhere is stopped."""
        if job.state in (JobState.DONE, JobState.CANCELLED):
            return
        self.registry.move_job(job, JobState.CANCELLED, now)
        self.stop_job(job, "cancelled", 0.0, now)
        self.registry.drop_if_settled(job)
