"""Dispatch of scheduling decisions: allocations to start or to stop for which commands have to be sent."""

from __future__ import annotations

from ..state_machines import AllocationState, JobState
from .job_registry import JobRegistry
from .jobs import Allocation, Job
from .machine import Machine
from .machine_inventory import MachineInventory

#: Number of attempt numbers reserved for each fencing token. A leader that used more would reuse the numbers of the
#: next leader.
ATTEMPTS_PER_TOKEN = 1 << 24


class Dispatch:
    """Starts and stops allocations, and collects the machines to notify and the jobs to record for them."""

    def __init__(self, registry: JobRegistry, inventory: MachineInventory, token: int) -> None:
        self.registry = registry
        self.inventory = inventory
        #: Fencing token of the current term.
        self.token = token
        #: Indices of machines to notify directly of a stop, rather than in the response to their next heartbeat.
        self.urgent_machines: set[int] = set()
        #: Jobs with queued allocations that their durable grant does not include yet, by job id.
        self.jobs_awaiting_grant: dict[str, Job] = {}
        self._attempts = 0

    def next_attempt_number(self) -> int:
        """Return an attempt number that is unique across all leaders, since fencing tokens are never reused."""
        self._attempts += 1
        return self.token * ATTEMPTS_PER_TOKEN + self._attempts

    def start(self, job: Job, index: int, machine: Machine, attempt: int, now: float) -> Allocation:
        """Create an allocation for a task on a machine.

        The start command is sent in a response to a heartbeat of the machine.

        Args:
            job: The job.
            index: The index of the task in the job.
            machine: The machine.
            attempt: The attempt number.
            now: The current time, in seconds.
        """
        allocation = self.registry.open_allocation(job, index, machine.index, attempt, now)
        allocation.epoch = machine.epoch
        self.inventory.add_allocation(machine, allocation)
        if not job.grant_covers(allocation):
            self.jobs_awaiting_grant[job.spec.id] = job
        return allocation

    def stop(self, allocation: Allocation, reason: str, grace_s: float, now: float) -> None:
        """Request the stop of a task; an allocation that was never sent to its machine is released at once.

        Args:
            allocation: The task's allocation.
            reason: The reason, for logs and users.
            grace_s: Seconds that the task has to save a checkpoint. A repeated request has an effect only if its grace
                period is shorter.
            now: The current time, in seconds.
        """
        machine = self.inventory.find_by_index(allocation.machine_index)
        if machine is None or allocation.state is AllocationState.GONE:
            return
        if allocation.state is AllocationState.QUEUED:
            self.inventory.release(machine, allocation, now)
            return
        if allocation.stop_reason is not None and grace_s >= allocation.stop_grace_s:
            return
        if allocation.stop_reason is None:
            machine.record_stop_request()
        allocation.request_stop(reason, grace_s)
        self.urgent_machines.add(machine.index)

    def stop_job(self, job: Job, reason: str, grace_s: float, now: float) -> None:
        """Request the stop of all tasks of a job."""
        for allocation in list(job.allocations.values()):
            self.stop(allocation, reason, grace_s, now)

    def cancel(self, job: Job, now: float) -> None:
        """Apply a committed cancellation: no further task of the job starts, and its running tasks are stopped."""
        if job.state in (JobState.DONE, JobState.CANCELLED):
            return
        self.registry.change_job_state(job, JobState.CANCELLED, now)
        self.stop_job(job, "cancelled", 0.0, now)
        self.registry.remove_if_over(job)
