"""What workers report and are told."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

#: what counts from 1, and what counts from 0
Positive = Annotated[int, msgspec.Meta(ge=1)]
Natural = Annotated[int, msgspec.Meta(ge=0)]


class TaskPhase(StrEnum):
    FETCHING = "fetching"
    WAITING = "gathering"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    DONE = "done"
    STOPPED = "stopped"
    PEERS = "mates_gone"
    ALONE = "incomplete"
    ERROR = "error"
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN = "no_such"


class TaskStatus(
    msgspec.Struct,
    omit_defaults=True,
    rename={"task": "shard", "attempt": "launch", "state": "tide", "why": "wake", "saved": "stored"},
):
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
    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"token": "helm", "commands": "signals"}):
    token: int
    commands: list[Command]


class DirectCommands(msgspec.Struct, rename={"token": "helm", "epoch": "watch", "commands": "signals"}):
    token: int
    epoch: int
    commands: list[Command]


class Redirect(msgspec.Struct, omit_defaults=True, rename={"report_to": "harborMaster"}):
    report_to: str | None = None
