"""What users send and are told: the description of a job, its checks, and the answer about it."""

from __future__ import annotations

import math
import re
from enum import StrEnum

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


class JobStatus(StrEnum):
    """What a user is told about a job."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


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


class MalformedError(ValueError):
    """The input is not what the protocol allows: status 400."""


def check_spec(spec: JobSpec) -> None:
    """Raises `MalformedError` where a field has the right type but not an allowed value."""
    if not JOB_ID.match(spec.id):
        raise MalformedError("malformed job id")
    for name in (spec.klass, spec.team, spec.image):
        if not name or len(name) > MAX_NAME:
            raise MalformedError("a name is empty or too long")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise MalformedError("number of tasks out of range")
    amounts = (spec.gpus, spec.memory_gb, spec.image_gb, spec.estimate_s, spec.checkpoint_s, spec.save_s)
    for amount in amounts:
        if not (math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT):
            raise MalformedError("an amount is out of range")
    if not (math.isfinite(spec.cpus) and 0 < spec.cpus <= MAX_AMOUNT):
        raise MalformedError("cpus out of range")
    if spec.deadline_s is not None and not (math.isfinite(spec.deadline_s) and 0 < spec.deadline_s <= MAX_AMOUNT):
        raise MalformedError("deadline out of range")
    if spec.types is not None and any(not t or len(t) > MAX_NAME for t in spec.types):
        raise MalformedError("a machine type is empty or too long")
    if spec.zone is not None and (not spec.zone or len(spec.zone) > MAX_NAME):
        raise MalformedError("the zone is empty or too long")


_spec_decoder = msgspec.json.Decoder(JobSpec)


_any_decoder = msgspec.json.Decoder()


def peek_id(body: bytes) -> str:
    """The well-formed job id of a submission whose other fields may be wrong, else `MalformedError`.

    A known job has to be recognised before its fields are checked: a repeat is never answered 400.
    """
    try:
        raw = _any_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
        raise MalformedError("not JSON") from e
    if not isinstance(raw, dict):
        raise MalformedError("not an object")
    ident = raw.get("ref")
    if not isinstance(ident, str) or not JOB_ID.match(ident):
        raise MalformedError("malformed job id")
    return ident


def decode_spec(body: bytes) -> JobSpec:
    try:
        spec = _spec_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
        raise MalformedError(str(e)) from e
    check_spec(spec)
    return spec


class JobStatusResponse(msgspec.Struct, omit_defaults=True, rename={"id": "ref", "state": "tide"}):
    id: str
    state: JobStatus
    done: int | None = None
    running: int | None = None


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    job, _, index = name.rpartition("/")
    if not job or not index.isdigit():
        raise MalformedError("malformed task name")
    return job, int(index)
