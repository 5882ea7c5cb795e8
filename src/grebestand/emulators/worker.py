"""A worker by its protocol, in memory: sessions, tokens, reports and commands."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ..wire.workers import DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus


@dataclass
class WorkerEmulator:
    """A worker that follows the protocol; what its tasks do is up to who plays them."""

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
        """The next heartbeat, with a sequence number above the last one's."""
        self.sequence += 1
        tasks = [msgspec.structs.replace(t) for t in self.tasks.values()]
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

    def apply_response(self, orders: HeartbeatResponse) -> None:
        """Execute the commands of a response, unless its token is older than one that was seen."""
        if orders.token < self.token:
            return
        self.token = orders.token
        for c in orders.commands:
            held = self.tasks.get(c.task)
            if c.op == "start" and (held is None or held.attempt != c.attempt):
                self.start_task(c.task, c.attempt)
                self.started_attempts.append((c.task, c.attempt))
            elif c.op == "stop" and held is not None and held.attempt == c.attempt:
                self.stop_task(held, c.grace_s or 0.0)
            elif c.op == "forget" and held is not None and held.state is TaskPhase.EXITED:
                del self.tasks[c.task]

    def start_task(self, task: str, attempt: int) -> None:
        """A start that is not a repeat."""
        self.tasks[task] = TaskStatus(task, attempt, TaskPhase.RUNNING)

    def stop_task(self, held: TaskStatus, grace_s: float) -> None:
        """A stop of what is there."""
        held.state, held.why = TaskPhase.EXITED, ExitReason.STOPPED

    def finish_task(self, task: str, why: ExitReason = ExitReason.DONE) -> None:
        """End a task by itself, for the given reason."""
        self.tasks[task].state, self.tasks[task].why = TaskPhase.EXITED, why

    def handle_direct_commands(self, orders: DirectCommands) -> tuple[int, Heartbeat]:
        """The answer to a direct order: executed if neither token nor session is an old one."""
        stale = orders.token < self.token or orders.epoch != self.epoch
        if not stale:
            self.apply_response(HeartbeatResponse(orders.token, orders.commands))
        return (409 if stale else 200), self.next_heartbeat()

    def expire_lease(self) -> None:
        """Its lease ran out: all tasks are killed and forgotten."""
        self.epoch += 1
        self.sequence = 0
        self.tasks.clear()

    def running_tasks(self) -> list[str]:
        """Names of the tasks that have not exited, sorted."""
        return sorted(t.task for t in self.tasks.values() if t.state is not TaskPhase.EXITED)
