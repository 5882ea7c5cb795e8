"""An emulated worker in memory, with the workers' protocol: sessions, tokens, heartbeats and commands."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ..wire.workers import DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus


@dataclass
class WorkerEmulator:
    """A worker that follows the protocol. Its tasks run until they are stopped or `finish_task` is called.

    Attributes:
        name: The machine's name.
        zone: The machine's zone.
        spot: Whether the machine is a spot machine.
        epoch: The number of the worker's session, which changes when all tasks are lost.
        sequence: The sequence number of the last heartbeat in this session.
        token: The largest leader token that the worker has received.
        notice_s: The seconds until the cloud reclaims the machine, or None.
        reachable: Whether direct requests reach the worker.
        addr: The worker's address; derived from the name if empty.
        type: The machine type.
        tasks: The tasks that the worker reports, by name.
        started_attempts: The task and the attempt of each start, in order.
    """

    name: str
    zone: str = "a"
    spot: bool = False
    epoch: int = 1
    sequence: int = 0
    token: int = 0
    notice_s: float | None = None
    reachable: bool = True
    addr: str = ""
    type: str = "m4"
    tasks: dict[str, TaskStatus] = field(default_factory=dict)
    started_attempts: list[tuple[str, int]] = field(default_factory=list)

    def next_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the next sequence number."""
        self.sequence += 1
        tasks = [msgspec.structs.replace(status) for status in self.tasks.values()]
        return Heartbeat(
            self.name,
            self.addr or f"{self.name}:1",
            self.type,
            self.zone,
            self.spot,
            self.epoch,
            self.sequence,
            self.token,
            self.notice_s,
            tasks,
        )

    def apply_response(self, response: HeartbeatResponse) -> None:
        """Execute the commands of a response, unless its token is smaller than one received before."""
        if response.token < self.token:
            return
        self.token = response.token
        for command in response.commands:
            status = self.tasks.get(command.task)
            if command.op == "start" and (status is None or status.attempt != command.attempt):
                self.start_task(command.task, command.attempt)
                self.started_attempts.append((command.task, command.attempt))
            elif command.op == "stop" and status is not None and status.attempt == command.attempt:
                self.stop_task(status, command.grace_s or 0.0)
            elif command.op == "forget" and status is not None and status.state is TaskPhase.EXITED:
                del self.tasks[command.task]

    def start_task(self, task: str, attempt: int) -> None:
        """Start a new attempt of a task; repeated start commands don't reach this method."""
        self.tasks[task] = TaskStatus(task, attempt, TaskPhase.RUNNING)

    def stop_task(self, status: TaskStatus, grace_s: float) -> None:
        """Stop a task of the worker, which may use up to `grace_s` seconds to save its work."""
        status.state, status.why = TaskPhase.EXITED, ExitReason.STOPPED

    def finish_task(self, task: str, reason: ExitReason = ExitReason.DONE) -> None:
        """Let a task exit by itself."""
        self.tasks[task].state, self.tasks[task].why = TaskPhase.EXITED, reason

    def handle_direct_commands(self, commands: DirectCommands) -> tuple[int, Heartbeat]:
        """Execute direct commands, unless their token or session is outdated.

        Returns:
            Status 200, or 409 for outdated commands, and a heartbeat.
        """
        is_outdated = commands.token < self.token or commands.epoch != self.epoch
        if not is_outdated:
            self.apply_response(HeartbeatResponse(commands.token, commands.commands))
        return (409 if is_outdated else 200), self.next_heartbeat()

    def expire_lease(self) -> None:
        """Kill and forget all tasks, and begin a new session, as when the machine's lease has expired."""
        self.epoch += 1
        self.sequence = 0
        self.tasks.clear()

    def running_tasks(self) -> list[str]:
        """Return the sorted names of the tasks that have not exited."""
        return sorted(status.task for status in self.tasks.values() if status.state is not TaskPhase.EXITED)
