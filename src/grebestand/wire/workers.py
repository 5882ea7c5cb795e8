"""Messages between workers and controllers: heartbeats with task status, and commands."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

#: integer that is at least 1
Positive = Annotated[int, msgspec.Meta(ge=1)]
#: integer that is at least 0
Natural = Annotated[int, msgspec.Meta(ge=0)]


class TaskPhase(StrEnum):
    """The phase of a task's execution on a machine."""

    #: the machine fetches the image of the task
    FETCHING = "fetching"
    #: the task waits until all tasks of its gang are ready; `gathering` on the wire
    WAITING = "gathering"
    RUNNING = "running"
    #: the task saves a checkpoint and then exits
    SAVING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why a task exited, or why a worker refused to start the task."""

    DONE = "done"
    #: stopped by a command
    STOPPED = "stopped"
    #: another task of its running gang was missing for longer than `gang_peer_s`; `mates_gone` on the wire
    PEERS = "mates_gone"
    #: not all tasks of its gang were ready within `gang_wait_s`; `incomplete` on the wire
    ALONE = "incomplete"
    ERROR = "error"
    #: refused: the machine has too little free capacity
    NO_ROOM = "no_room"
    #: refused: the machine still runs another attempt of the same task
    BUSY = "busy"
    #: refused: the worker does not know the job; `no_such` on the wire
    UNKNOWN = "no_such"


class TaskStatus(
    msgspec.Struct,
    omit_defaults=True,
    rename={"task": "shard", "attempt": "launch", "state": "tide", "why": "wake", "saved": "stored"},
):
    """The status of one attempt of a task, sent with the heartbeat of the machine that executes the attempt.

    Attributes:
        task: Name of the task, in the form that `wire.jobs.task_name` returns; `shard` on the wire.
        attempt: Number of the attempt; `launch` on the wire.
        state: Phase of the attempt; `tide` on the wire.
        why: Why the attempt exited, None unless `state` is `EXITED`; `wake` on the wire.
        saved: Whether the attempt saved a checkpoint before it exited; `stored` on the wire.
    """

    task: str
    attempt: Natural
    state: TaskPhase
    why: ExitReason | None = None
    saved: bool | None = None


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine": "vessel",
        "type": "hull",
        "zone": "quay",
        "spot": "driftwood",
        "epoch": "watch",
        "sequence": "tally",
        "token": "helm",
        "notice_s": "recallS",
        "tasks": "shards",
    },
):
    """A worker's heartbeat: a description of its machine, and the status of all tasks on the machine.

    Attributes:
        machine: Name of the machine; `vessel` on the wire.
        addr: Address at which the worker receives direct commands, as `host:port`.
        type: Name of the machine type; `hull` on the wire.
        zone: Name of the zone; `quay` on the wire.
        spot: Whether the cloud can reclaim the machine; `driftwood` on the wire.
        epoch: Incarnation number of the worker, increased when the worker's lease expires or the worker restarts. All
            tasks of earlier epochs have exited by then. `watch` on the wire.
        sequence: Sequence number of the heartbeat within the epoch; `tally` on the wire.
        token: Highest fencing token that the worker has received, 0 if none; `helm` on the wire.
        notice_s: Seconds until the cloud reclaims the machine, None unless the cloud has announced a reclamation;
            `recallS` on the wire.
        tasks: Status of every attempt that the worker has not received a `forget` command for; `shards` on the wire.
    """

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    epoch: Positive
    sequence: Positive
    token: Natural = 0
    notice_s: float | None = None
    tasks: list[TaskStatus] = []


class Command(
    msgspec.Struct,
    omit_defaults=True,
    rename={"op": "signal", "task": "shard", "attempt": "launch", "grace_s": "mooringS"},
):
    """A command to a worker about one attempt of a task.

    Attributes:
        op: `start`, `stop`, or `forget` to leave an exited attempt out of later heartbeats; `signal` on the wire.
        task: Name of the task; `shard` on the wire.
        attempt: Number of the attempt; `launch` on the wire.
        grace_s: With `stop`, seconds that the task has to save a checkpoint; `mooringS` on the wire.
    """

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"token": "helm", "commands": "signals"}):
    """The leader's response to a heartbeat; receiving the response renews the worker's lease.

    Attributes:
        token: Fencing token of the leader; a worker ignores commands with a lower token than the highest that it has
            received. `helm` on the wire.
        commands: Commands to execute, in order; `signals` on the wire.
    """

    token: int
    commands: list[Command]


class DirectCommands(msgspec.Struct, rename={"token": "helm", "epoch": "watch", "commands": "signals"}):
    """Commands that the leader sends to a worker's address without waiting for the next heartbeat.

    Attributes:
        token: Fencing token of the leader; `helm` on the wire.
        epoch: Epoch that the commands apply to; a worker in another epoch ignores them. `watch` on the wire.
        commands: Commands to execute, in order; `signals` on the wire.
    """

    token: int
    epoch: int
    commands: list[Command]


class Redirect(msgspec.Struct, omit_defaults=True, rename={"report_to": "harborMaster"}):
    """The response of a controller that does not process the heartbeat.

    Attributes:
        report_to: Address that the worker should send its heartbeats to, None if unknown; `harborMaster` on the wire.
    """

    report_to: str | None = None
