"""Messages between workers and controllers: heartbeats with task status, and commands."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

#: a number that counts from 1
Positive = Annotated[int, msgspec.Meta(ge=1)]
#: a number that counts from 0
Natural = Annotated[int, msgspec.Meta(ge=0)]


class TaskPhase(StrEnum):
    """What a task does on its machine."""

    #: its image is being fetched
    FETCHING = "fetching"
    #: it waits until its gang is complete; `gathering` on the wire
    WAITING = "gathering"
    RUNNING = "running"
    #: it saves a checkpoint, after which it will stop
    SAVING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why a task exited, or why a worker refused to start it."""

    DONE = "done"
    #: a command stopped it
    STOPPED = "stopped"
    #: other tasks of its running gang were gone for too long; `mates_gone` on the wire
    PEERS = "mates_gone"
    #: its gang did not become complete in time; `incomplete` on the wire
    ALONE = "incomplete"
    ERROR = "error"
    #: refused: the machine's free capacity does not suffice
    NO_ROOM = "no_room"
    #: refused: the machine has another attempt of the same task
    BUSY = "busy"
    #: refused: the worker does not know such a job; `no_such` on the wire
    UNKNOWN = "no_such"


class TaskStatus(
    msgspec.Struct,
    omit_defaults=True,
    rename={"task": "shard", "attempt": "launch", "state": "tide", "why": "wake", "saved": "stored"},
):
    """The status of one attempt of a task on the machine of a heartbeat.

    Attributes:
        task: Name of the task, see `wire.jobs.task_name`; `shard` on the wire.
        attempt: Number of the attempt, by which commands refer to it; `launch` on the wire.
        state: What the task does; `tide` on the wire.
        why: Why it exited, if it did; `wake` on the wire.
        saved: Whether it saved a checkpoint before it exited; `stored` on the wire.
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
    """A worker's heartbeat: what its machine is, and the status of all its tasks.

    Attributes:
        machine: Name of the machine; `vessel` on the wire.
        addr: Address at which the worker takes direct commands, as `host:port`.
        type: Name of the machine type; `hull` on the wire.
        zone: Name of the zone; `quay` on the wire.
        spot: Whether the cloud can reclaim the machine; `driftwood` on the wire.
        epoch: Incarnation of the worker: it increases when the worker's lease expires or the worker restarts, and all
            tasks of earlier epochs have ended by then. `watch` on the wire.
        sequence: Number of the heartbeat within the epoch; `tally` on the wire.
        token: Highest fencing token that the worker has got; 0 for none. `helm` on the wire.
        notice_s: Seconds until the cloud reclaims the machine, if it has announced that; `recallS` on the wire.
        tasks: Status of every attempt that the worker knows and has not been told to forget; `shards` on the wire.
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
        op: `start`, `stop` or `forget` (an exited attempt needs no further status); `signal` on the wire.
        task: Name of the task; `shard` on the wire.
        attempt: Number of the attempt; `launch` on the wire.
        grace_s: With `stop`, seconds that the task gets to save a checkpoint; `mooringS` on the wire.
    """

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"token": "helm", "commands": "signals"}):
    """The leader's response to a heartbeat, which also renews the worker's lease.

    Attributes:
        token: Fencing token of the leader; a worker ignores commands with a token lower than one it has got. `helm` on
            the wire.
        commands: What the worker has to do, in this order; `signals` on the wire.
    """

    token: int
    commands: list[Command]


class DirectCommands(msgspec.Struct, rename={"token": "helm", "epoch": "watch", "commands": "signals"}):
    """Commands that the leader sends to a worker's address instead of waiting for a heartbeat.

    Attributes:
        token: Fencing token of the leader; `helm` on the wire.
        epoch: Epoch of the worker that is meant: a worker of another epoch executes nothing. `watch` on the wire.
        commands: What the worker has to do, in this order; `signals` on the wire.
    """

    token: int
    epoch: int
    commands: list[Command]


class Redirect(msgspec.Struct, omit_defaults=True, rename={"report_to": "harborMaster"}):
    """The response of a controller that does not handle the heartbeat itself.

    Attributes:
        report_to: Address to which the worker should send its heartbeats, if known; `harborMaster` on the wire.
    """

    report_to: str | None = None
