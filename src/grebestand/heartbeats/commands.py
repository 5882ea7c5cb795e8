"""Commands to workers: what the response to a heartbeat, or a direct message, has a worker start, stop or forget."""

from __future__ import annotations

from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import START_LOST, Allocation, Job
from ..cluster_state.machine import Machine
from ..metrics.duration_sketches import DurationSketches
from ..state_machines import AllocationState, JobState, MachineState
from ..wire.jobs import MalformedError, split_task
from ..wire.workers import Command, ExitReason, Heartbeat, TaskPhase, TaskStatus

#: A response, and a heartbeat that lists what was started, may have 64 KiB; this keeps both well below.
MAX_COMMANDS = 300

#: States of a gang's task before its machine has the image.
_BEFORE_IMAGE = (AllocationState.QUEUED, AllocationState.SENT, AllocationState.FETCHING)


class CommandBuilder:
    """Derives commands from the cluster state and marks the allocations that they start or stop as sent."""

    def __init__(self, registry: JobRegistry, sketches: DurationSketches) -> None:
        self.registry = registry
        self.sketches = sketches

    def commands(self, machine: Machine, heartbeat: Heartbeat, now: float, starts: bool = True) -> list[Command]:
        """Return the commands of the response to a machine's newest heartbeat.

        Start commands are sent in such responses only, and only to machines that are on record.

        Args:
            machine: The machine, reconciled with the heartbeat.
            heartbeat: The heartbeat that is answered.
            now: The present time, in seconds.
            starts: Whether tasks may start now; otherwise queued allocations wait for the next heartbeat.
        """
        # stops come first, since this response renews the lease of what they stop; a forgotten task may start again
        commands = self.unwanted_stops(heartbeat, machine)
        if machine.stopping_count:
            self._add_requested_stops(machine, commands, now)
        for status in heartbeat.tasks:
            if status.state is TaskPhase.EXITED and self._may_forget(status):
                commands.append(Command("forget", status.task, status.attempt))
        del commands[MAX_COMMANDS:]
        if starts and machine.state is MachineState.READY and machine.recorded:
            self._add_starts(machine, heartbeat, commands, now)
        return commands

    def unwanted_stops(self, heartbeat: Heartbeat, machine: Machine | None = None) -> list[Command]:
        """Return stop commands for the listed tasks that must not go on.

        These are the tasks of jobs that are over, however old the heartbeat is: whatever an earlier leader started was
        live when this one read the records, or is over.

        Args:
            heartbeat: The heartbeat that lists the tasks.
            machine: Given if the heartbeat says how its machine is now; then all that has no allocation there, such as
                second copies and other attempts, is stopped as well.
        """
        stops = []
        for status in heartbeat.tasks:
            if status.state is TaskPhase.EXITED:
                continue
            job = self.registry.jobs.get(status.task.rpartition("/")[0])
            unwanted_stops = job is None or job.state in (JobState.DONE, JobState.CANCELLED)
            if not unwanted_stops and machine is not None:
                allocation = machine.allocations.get(status.task)
                unwanted_stops = allocation is None or allocation.attempt != status.attempt
            if unwanted_stops:
                stops.append(Command("stop", status.task, status.attempt, 0.0))
        return stops[:MAX_COMMANDS]

    @staticmethod
    def needs_grant(machine: Machine) -> bool:
        """Return whether a durable grant must be widened before all that is queued for this machine may be sent."""
        return any(
            allocation.state is AllocationState.QUEUED and not allocation.job.covers(allocation)
            for allocation in machine.allocations.values()
        )

    @staticmethod
    def requested_stops(machine: Machine) -> list[Command]:
        """Return a stop command for every allocation of the machine that has been asked to stop."""
        return [
            Command("stop", allocation.name, allocation.attempt, allocation.grace)
            for allocation in machine.allocations.values()
            if allocation.stop_reason is not None
        ]

    @staticmethod
    def _add_requested_stops(machine: Machine, commands: list[Command], now: float) -> None:
        """Add the stops that were requested and are not among the commands, and record that they are sent.

        They are repeated until the task is gone: a repeat with the same grace changes nothing, and only a grace of 0
        cuts a checkpoint short.
        """
        stopped = {(command.task, command.attempt) for command in commands}
        for allocation in machine.allocations.values():
            if allocation.stop_reason is None:
                continue
            if (allocation.name, allocation.attempt) not in stopped:
                commands.append(Command("stop", allocation.name, allocation.attempt, allocation.grace))
            allocation.stop_sent_at = now

    def _add_starts(self, machine: Machine, heartbeat: Heartbeat, commands: list[Command], now: float) -> None:
        """Add start commands for what is queued, or was lost on the way, up to `MAX_COMMANDS` commands."""
        for allocation in machine.allocations.values():
            if len(commands) >= MAX_COMMANDS:
                break
            # written out, since it runs for every task of every heartbeat, and nearly all have started
            if allocation.stop_reason is not None or not (
                allocation.state is AllocationState.QUEUED
                or (allocation.state is AllocationState.SENT and allocation.sent_sequence == START_LOST)
            ):
                continue
            if not allocation.job.covers(allocation):
                continue  # a later leader would not know where to look for it
            if allocation.held and self._waits_for_images(allocation.job):
                continue
            self._record_start(machine, allocation, heartbeat, now)
            commands.append(Command("start", allocation.name, allocation.attempt))

    def _record_start(self, machine: Machine, allocation: Allocation, heartbeat: Heartbeat, now: float) -> None:
        """Record that the response to this heartbeat starts the allocation, and how long its parts took."""
        self.registry.move_allocation(allocation, AllocationState.SENT, now)
        allocation.record_start_command(heartbeat.epoch, heartbeat.sequence, now)
        job = allocation.job
        self.sketches.add("room to start", now - max(machine.freed_at, job.accepted_at))
        self.sketches.add("decision to start", now - allocation.decided_at)
        if job.gang_start is not None:
            job.gang_start.sent = now

    @staticmethod
    def _waits_for_images(job: Job) -> bool:
        """Return whether others of the gang still wait for their image, so that one more task would only wait too."""
        return any(not allocation.held and allocation.state in _BEFORE_IMAGE for allocation in job.allocations.values())

    def _may_forget(self, status: TaskStatus) -> bool:
        """Return whether a worker may forget a task that has exited.

        A result is forgotten only once it is durable: until then the heartbeat is the only record of it.
        """
        try:
            job_id, index = split_task(status.task)
        except MalformedError:
            return False  # the name is no task's, so it was not sent by a leader
        job = self.registry.jobs.get(job_id)
        if job is None or status.why is not ExitReason.DONE or index >= job.spec.tasks:
            return True
        return job.state in (JobState.DONE, JobState.CANCELLED) or job.is_durable(index)
