"""Messages exchanged with users: job descriptions with their validation, and job status responses."""

from __future__ import annotations

import math
import re
from enum import StrEnum

import msgspec

from ..errors import GrebestandError

JOB_ID = re.compile(r"j-[0-9]{1,20}\Z")
#: largest size of a submission, in bytes
MAX_SUBMISSION_BYTES = 64 * 1024
#: largest number of tasks of a job
MAX_TASKS = 100_000
#: largest length of a name, in characters
MAX_NAME_LENGTH = 200
#: largest amount of a resource, and largest number of seconds; keeps sums and products of such values finite
MAX_AMOUNT = 1e9

#: exceptions that msgspec raises for a body that cannot be decoded
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class MalformedError(GrebestandError, ValueError):
    """A request is not valid; its sender, a user or a worker, receives status 400.

    Attributes:
        reason: What is wrong with the request.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class Kind(StrEnum):
    """Whether the tasks of a job run independently, together or without end."""

    #: tasks that run independently of each other
    ARRAY = "array"
    #: tasks that all run at the same time; `ensemble` on the wire
    GANG = "ensemble"
    #: tasks that run until the job is cancelled; `daemon` on the wire
    SERVICE = "daemon"


class Priority(StrEnum):
    """Priority of a job; the values are the names on the wire."""

    PRODUCTION = "critical"
    HIGH = "high"
    NORMAL = "standard"
    LOW = "best_effort"


#: all priorities, highest first
PRIORITIES = (Priority.PRODUCTION, Priority.HIGH, Priority.NORMAL, Priority.LOW)


class JobStatus(StrEnum):
    """The state of a job in a status response."""

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
    """The description of a job, as submitted by its user.

    Attributes:
        id: Id of the job, chosen by the user; submitting an id again creates no second job. `ref` on the wire.
        klass: Class of the job, for the service-level objectives of that class; `lane` on the wire.
        team: Team whose quota the job counts against; `crew` on the wire.
        kind: Whether the tasks are independent, a gang or a service; `shape` on the wire.
        priority: Priority of the job; `rank` on the wire.
        tasks: Number of tasks; `shards` on the wire.
        cpus: Number of processors of each task.
        gpus: Number of GPUs of each task; `cards` on the wire.
        memory_gb: Memory of each task in gigabytes; `ramGb` on the wire.
        image: Name of the image that the tasks run; `cargo` on the wire.
        image_gb: Size of the image in gigabytes; `pullGb` on the wire.
        one_zone: Whether all tasks have to run in the same zone; `samePlace` on the wire.
        spread: Whether the tasks should be spread over zones; `scatter` on the wire.
        spot: Whether spot machines may be used; `driftwood` on the wire.
        estimate_s: The user's estimate of a task's run time in seconds, 0 for none; `reckonS` on the wire.
        checkpoint_s: Seconds between two checkpoints of a task, 0 if the task saves none; `markS` on the wire.
        save_s: Seconds that a task needs to save a checkpoint; `stowS` on the wire.
        types: Names of the allowed machine types, None for any; `hulls` on the wire.
        zone: Name of the only allowed zone, None for any; `quay` on the wire.
        deadline_s: Seconds after acceptance by which the job should be done, None for no deadline; `dueS` on the wire.
    """

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


def check_spec(spec: JobSpec) -> None:
    """Check the values in a job description; decoding has checked only their types.

    Raises:
        MalformedError: A value is empty, too long or out of range.
    """
    if not JOB_ID.match(spec.id):
        raise MalformedError("malformed job id")
    if not all(map(_is_name, (spec.klass, spec.team, spec.image))):
        raise MalformedError("a name is empty or too long")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise MalformedError("number of tasks out of range")
    amounts = (spec.gpus, spec.memory_gb, spec.image_gb, spec.estimate_s, spec.checkpoint_s, spec.save_s)
    if not all(amount == 0 or _is_positive_amount(amount) for amount in amounts):
        raise MalformedError("an amount is out of range")
    if not _is_positive_amount(spec.cpus):
        raise MalformedError("cpus out of range")
    if spec.deadline_s is not None and not _is_positive_amount(spec.deadline_s):
        raise MalformedError("deadline out of range")
    if spec.types is not None and not all(map(_is_name, spec.types)):
        raise MalformedError("a machine type is empty or too long")
    if spec.zone is not None and not _is_name(spec.zone):
        raise MalformedError("the zone is empty or too long")


def _is_name(text: str) -> bool:
    """Return whether the length of a name is allowed."""
    return 0 < len(text) <= MAX_NAME_LENGTH


def _is_positive_amount(amount: float) -> bool:
    """Return whether an amount is finite, positive and at most `MAX_AMOUNT`."""
    return math.isfinite(amount) and 0 < amount <= MAX_AMOUNT


_spec_decoder = msgspec.json.Decoder(JobSpec)
_any_decoder = msgspec.json.Decoder()


def peek_id(body: bytes) -> str:
    """Return the job id in a submission without checking the other fields.

    The id has to be known first: a repeated submission of a known job never receives status 400, whatever the other
    fields contain.

    Raises:
        MalformedError: The body contains no well-formed job id.
    """
    try:
        raw = _any_decoder.decode(body)
    except _DECODE_ERRORS as error:
        raise MalformedError("not JSON") from error
    if not isinstance(raw, dict):
        raise MalformedError("not an object")
    job_id = raw.get("ref")
    if not isinstance(job_id, str) or not JOB_ID.match(job_id):
        raise MalformedError("malformed job id")
    return job_id


def decode_spec(body: bytes) -> JobSpec:
    """Decode and check the job description in a submission.

    Raises:
        MalformedError: The body is not a job description, or contains a value that is not allowed.
    """
    try:
        spec = _spec_decoder.decode(body)
    except _DECODE_ERRORS as error:
        raise MalformedError(str(error)) from error
    check_spec(spec)
    return spec


class JobStatusResponse(msgspec.Struct, omit_defaults=True, rename={"id": "ref", "state": "tide"}):
    """The response to a request for the status of a job.

    Attributes:
        id: Id of the job; `ref` on the wire.
        state: State of the job; `tide` on the wire.
        done: Number of tasks that have succeeded, None if unknown.
        running: Number of tasks that are running, None if unknown.
    """

    id: str
    state: JobStatus
    done: int | None = None
    running: int | None = None


def task_name(job: str, index: int) -> str:
    """Return the name that identifies a task in messages: the id of the job and the index of the task in the job."""
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Return the job id and the index in the name of a task.

    Raises:
        MalformedError: The name does not have the form `JOB/INDEX`.
    """
    job, _, index = name.rpartition("/")
    if not job or not (
        index.isascii() and index.isdigit()
    ):  # `int` raises an exception for superscripts and other digits
        raise MalformedError("malformed task name")
    return job, int(index)
