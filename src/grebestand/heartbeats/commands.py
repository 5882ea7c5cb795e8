"""Commands that tell a worker to start, stop or forget tasks, sent in heartbeat responses or direct messages."""

from __future__ import annotations

from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import START_LOST, Allocation, Job
from ..cluster_state.machine import Machine
from ..metrics.duration_sketches import DurationSketches
from ..state_machines import AllocationState, JobState, MachineState
from ..wire.jobs import MalformedError, split_task
from ..wire.workers import Command, ExitReason, Heartbeat, TaskPhase, TaskStatus

#: Maximum number of commands in a response. Keeps the response, and the heartbeat that lists the started tasks, well
#: below their maximum size of 64 KiB.
MAX_COMMANDS = 300

#: States of an allocation in which its machine may not have the image yet.
_BEFORE_IMAGE = (AllocationState.QUEUED, AllocationState.SENT, AllocationState.FETCHING)


class CommandBuilder:
    """Derives commands from the cluster state, and records for each allocation that its command is sent."""

    def __init__(self, registry: JobRegistry, sketches: DurationSketches) -> None:
        self.registry = registry
        self.sketches = sketches

    def build_commands(
        self, machine: Machine, heartbeat: Heartbeat, now: float, starts_allowed: bool = True
    ) -> list[Command]:
        """Return the commands for the response to a machine's newest heartbeat.

        Start commands are sent only in such responses, and only to machines with a durable record.

        Args:
            machine: The machine, which has been reconciled with the heartbeat.
            heartbeat: The heartbeat that the response answers.
            now: The current time, in seconds.
            starts_allowed: Whether tasks may start now; otherwise queued allocations wait for the next heartbeat.
        """
        # Stop commands come first, so that `MAX_COMMANDS` never drops them in favour of others: the response renews the
        # lease under which the tasks run. Forget commands precede start commands, as a forgotten task may start again.
        commands = self.unwanted_stops(heartbeat, machine)
        if machine.stopping_count:
            self._add_requested_stops(machine, commands, now)
        for status in heartbeat.tasks:
            if status.state is TaskPhase.EXITED and self._may_forget(status):
                commands.append(Command("forget", status.task, status.attempt))
        del commands[MAX_COMMANDS:]
        if starts_allowed and machine.state is MachineState.READY and machine.recorded:
            self._add_starts(machine, heartbeat, commands, now)
        return commands

    def unwanted_stops(self, heartbeat: Heartbeat, machine: Machine | None = None) -> list[Command]:
        """Return stop commands for the tasks in a heartbeat that must not keep running.

        The tasks of jobs that are over are stopped however old the heartbeat is. A task of an unknown job is stopped
        too: any job whose tasks an earlier leader started was live when this leader read the records, or is over.

        Args:
            heartbeat: The heartbeat that lists the tasks.
            machine: The machine if the heartbeat shows its current state, else None. With a machine, tasks without an
                allocation on the machine, such as duplicates and other attempts, are stopped as well.
        """
        stops = []
        for status in heartbeat.tasks:
            if status.state is TaskPhase.EXITED:
                continue
            job = self.registry.jobs.get(status.task.rpartition("/")[0])
            is_unwanted = job is None or job.state in (JobState.DONE, JobState.CANCELLED)
            if not is_unwanted and machine is not None:
                allocation = machine.allocations.get(status.task)
                is_unwanted = allocation is None or allocation.attempt != status.attempt
            if is_unwanted:
                stops.append(Command("stop", status.task, status.attempt, 0.0))
        return stops[:MAX_COMMANDS]

    @staticmethod
    def needs_grant(machine: Machine) -> bool:
        """Return whether the machine has a queued allocation that its job's durable grant does not include yet."""
        return any(
            allocation.state is AllocationState.QUEUED and not allocation.job.grant_covers(allocation)
            for allocation in machine.allocations.values()
        )

    @staticmethod
    def requested_stops(machine: Machine) -> list[Command]:
        """Return a stop command for each allocation of the machine with a requested stop."""
        return [
            Command("stop", allocation.name, allocation.attempt, allocation.stop_grace_s)
            for allocation in machine.allocations.values()
            if allocation.stop_reason is not None
        ]

    @staticmethod
    def _add_requested_stops(machine: Machine, commands: list[Command], now: float) -> None:
        """Add the requested stops that are missing from the commands, and record that they are sent.

        Stop commands are repeated until the task is gone. A repeated command with the same grace period has no effect,
        and only a grace period of 0 interrupts a checkpoint.
        """
        stopped = {(command.task, command.attempt) for command in commands}
        for allocation in machine.allocations.values():
            if allocation.stop_reason is None:
                continue
            if (allocation.name, allocation.attempt) not in stopped:
                commands.append(Command("stop", allocation.name, allocation.attempt, allocation.stop_grace_s))
            allocation.stop_sent_at = now

    def _add_starts(self, machine: Machine, heartbeat: Heartbeat, commands: list[Command], now: float) -> None:
        """Add start commands for queued allocations and lost start commands, up to `MAX_COMMANDS` commands in all."""
        for allocation in machine.allocations.values():
            if len(commands) >= MAX_COMMANDS:
                break
            # inlined, since this runs for each task of each heartbeat, and nearly all tasks have started already
            if allocation.stop_reason is not None or not (
                allocation.state is AllocationState.QUEUED
                or (allocation.state is AllocationState.SENT and allocation.sent_sequence == START_LOST)
            ):
                continue
            if not allocation.job.grant_covers(allocation):
                continue  # after a failover, the next leader would not know that the machine may run the task
            if allocation.held_for_gang_images and self._waits_for_images(allocation.job):
                continue
            self._record_start(machine, allocation, heartbeat, now)
            commands.append(Command("start", allocation.name, allocation.attempt))

    def _record_start(self, machine: Machine, allocation: Allocation, heartbeat: Heartbeat, now: float) -> None:
        """Record that the response to a heartbeat carries the allocation's start command, and the delays until then."""
        self.registry.change_allocation_state(allocation, AllocationState.SENT, now)
        allocation.record_start_command(heartbeat.epoch, heartbeat.sequence, now)
        job = allocation.job
        self.sketches.add("room to start", now - max(machine.freed_at, job.accepted_at))
        self.sketches.add("decision to start", now - allocation.decided_at)
        if job.gang_start_timeline is not None:
            job.gang_start_timeline.start_sent_at = now

    @staticmethod
    def _waits_for_images(job: Job) -> bool:
        """Return whether any task of the gang that is not held back still lacks its image.

        A held-back task that started now would only wait for the other tasks.
        """
        return any(
            not allocation.held_for_gang_images and allocation.state in _BEFORE_IMAGE
            for allocation in job.allocations.values()
        )

    def _may_forget(self, status: TaskStatus) -> bool:
        """Return whether a worker may forget a task that has exited.

        A worker has to report a result until it is durable, since there is no other record of the result before.
        """
        try:
            job_id, index = split_task(status.task)
        except MalformedError:
            return False  # no leader starts a task with a malformed name
        job = self.registry.jobs.get(job_id)
        if job is None or status.why is not ExitReason.DONE or index >= job.spec.tasks:
            return True
        return job.state in (JobState.DONE, JobState.CANCELLED) or job.is_durable(index)
