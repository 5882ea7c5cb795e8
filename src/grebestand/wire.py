"""Messages at the edge.

The protocol's field names live in this file only; everywhere else the field's standard terms are used
(job, task, machine, zone, gang, token, attempt, session).
"""

from __future__ import annotations

import math
import re
from enum import StrEnum
from typing import Any

import msgspec

JOB_ID = re.compile(r"j-[0-9]{1,20}\Z")
MAX_BODY = 64 * 1024
MAX_TASKS = 100_000
MAX_NAME = 200
MAX_AMOUNT = 1e9


class Kind(StrEnum):
    ARRAY = "array"
    GANG = "ensemble"
    SERVICE = "daemon"


class Priority(StrEnum):
    PRODUCTION = "critical"
    HIGH = "high"
    NORMAL = "standard"
    LOW = "best_effort"


#: order of priorities, highest first
PRIORITIES = (Priority.PRODUCTION, Priority.HIGH, Priority.NORMAL, Priority.LOW)


class JobView(StrEnum):
    """What a user is told about a job."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class TaskReport(StrEnum):
    FETCHING = "fetching"
    WAITING = "gathering"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class Why(StrEnum):
    DONE = "done"
    STOPPED = "stopped"
    PEERS = "mates_gone"
    ALONE = "incomplete"
    ERROR = "error"
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN = "no_such"


class JobSpec(
    msgspec.Struct,
    frozen=True,
    rename={
        "id": "ref",
        "klass": "lane",
        "team": "crew",
        "kind": "shape",
        "priority": "rank",
        "tasks": "shards",
        "gpus": "cards",
        "memory_gb": "ramGb",
        "image": "cargo",
        "image_gb": "pullGb",
        "types": "hulls",
        "zone": "quay",
        "one_zone": "samePlace",
        "spread": "scatter",
        "spot": "driftwood",
        "estimate_s": "reckonS",
        "checkpoint_s": "markS",
        "save_s": "stowS",
        "deadline_s": "dueS",
    },
):
    id: str
    klass: str
    team: str
    kind: Kind
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None


class Malformed(ValueError):
    """The input is not what the protocol allows: status 400."""


def check_spec(spec: JobSpec) -> None:
    """Raises `Malformed` where a field has the right type but not an allowed value."""
    if not JOB_ID.match(spec.id):
        raise Malformed("malformed job id")
    for name in (spec.klass, spec.team, spec.image):
        if not name or len(name) > MAX_NAME:
            raise Malformed("a name is empty or too long")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise Malformed("number of tasks out of range")
    amounts = (spec.gpus, spec.memory_gb, spec.image_gb, spec.estimate_s, spec.checkpoint_s, spec.save_s)
    for amount in amounts:
        if not (math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT):
            raise Malformed("an amount is out of range")
    if not (math.isfinite(spec.cpus) and 0 < spec.cpus <= MAX_AMOUNT):
        raise Malformed("cpus out of range")
    if spec.deadline_s is not None and not (math.isfinite(spec.deadline_s) and 0 < spec.deadline_s <= MAX_AMOUNT):
        raise Malformed("deadline out of range")
    if spec.types is not None and any(not t or len(t) > MAX_NAME for t in spec.types):
        raise Malformed("a machine type is empty or too long")
    if spec.zone is not None and (not spec.zone or len(spec.zone) > MAX_NAME):
        raise Malformed("the zone is empty or too long")


_spec_decoder = msgspec.json.Decoder(JobSpec)
_any_decoder = msgspec.json.Decoder()


def peek_id(body: bytes) -> str:
    """The well-formed job id of a submission whose other fields may be wrong, else `Malformed`.

    A known job has to be recognised before its fields are checked: a repeat is never answered 400.
    """
    try:
        raw = _any_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
        raise Malformed("not JSON") from e
    if not isinstance(raw, dict):
        raise Malformed("not an object")
    ident = raw.get("ref")
    if not isinstance(ident, str) or not JOB_ID.match(ident):
        raise Malformed("malformed job id")
    return ident


def decode_spec(body: bytes) -> JobSpec:
    try:
        spec = _spec_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
        raise Malformed(str(e)) from e
    check_spec(spec)
    return spec


class TaskStatus(
    msgspec.Struct,
    omit_defaults=True,
    rename={"task": "shard", "attempt": "launch", "state": "tide", "why": "wake", "saved": "stored"},
):
    task: str
    attempt: int
    state: TaskReport
    why: Why | None = None
    saved: bool | None = None


class Report(
    msgspec.Struct,
    rename={
        "machine": "vessel",
        "type": "hull",
        "zone": "quay",
        "spot": "driftwood",
        "session": "watch",
        "seq": "tally",
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
    session: int
    seq: int
    token: int = 0
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


class Orders(msgspec.Struct, rename={"token": "helm", "commands": "signals"}):
    token: int
    commands: list[Command]


class DirectOrders(msgspec.Struct, rename={"token": "helm", "session": "watch", "commands": "signals"}):
    token: int
    session: int
    commands: list[Command]


class Elsewhere(msgspec.Struct, omit_defaults=True, rename={"report_to": "harborMaster"}):
    report_to: str | None = None


class JobAnswer(msgspec.Struct, omit_defaults=True, rename={"id": "ref", "state": "tide"}):
    id: str
    state: JobView
    done: int | None = None
    running: int | None = None


class MachineType(
    msgspec.Struct,
    rename={
        "gpus": "cards",
        "memory_gb": "ramGb",
        "cache_gb": "localGb",
        "fetch_gb_per_s": "pullGbPerS",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "quays",
    },
):
    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: list[str]
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    price: float = 0.0
    spot_price: float = 0.0
    boot_s: float = 60.0


class MachineTypes(msgspec.Struct, rename={"types": "hulls"}):
    types: list[MachineType]


class RentRequest(
    msgspec.Struct,
    rename={"request": "charter", "type": "hull", "zone": "quay", "spot": "driftwood", "count": "howMany"},
):
    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Rented(msgspec.Struct, rename={"machines": "vessels"}):
    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={"id": "ref", "type": "hull", "zone": "quay", "spot": "driftwood", "state": "tide", "age_s": "heldS"},
):
    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0
    addr: str = ""


class MachineList(msgspec.Struct, rename={"machines": "vessels", "more": "truncated"}):
    machines: list[ListedMachine]
    more: bool = False


class Pair(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    key: str
    value: Any
    version: int


class PairList(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "logline"}):
    items: list[Pair]
    revision: int
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "logline"}):
    revision: int
    failed: list[str] = []


class Hold(msgspec.Struct, rename={"hold": "tenure"}):
    hold: int


class Condition(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    key: str
    version: int


class Change(msgspec.Struct, omit_defaults=True, rename={"put": "set", "delete": "remove", "hold": "tenure"}):
    put: str | None = None
    value: Any = msgspec.UNSET
    hold: int | None = None
    delete: str | None = None


class Transaction(msgspec.Struct, omit_defaults=True, rename={"conditions": "if", "changes": "apply"}):
    conditions: list[Condition] = []
    changes: list[Change] = []


class Event(msgspec.Struct, rename={"put": "set", "delete": "remove", "version": "stamp"}):
    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class Events(msgspec.Struct, rename={"revision": "logline"}):
    revision: int
    events: list[Event] = []


class NewHold(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    ttl_ms: int


class Names(msgspec.Struct, rename={"machines": "vessels"}):
    machines: list[str]


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    job, _, index = name.rpartition("/")
    if not job or not index.isdigit():
        raise Malformed("malformed task name")
    return job, int(index)
