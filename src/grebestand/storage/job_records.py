"""Stored records of jobs. A job has either a `LiveJobRecord` or a `CompletedJobRecord`, never both at a time."""

from __future__ import annotations

import msgspec

from ..clients.kv_store import delete, key_absent, put, version_is
from ..wire.jobs import JobSpec, JobStatus
from ..wire.remote_assignment import RemoteAssignment
from ..wire.store import Change, Condition


class LiveJobRecord(msgspec.Struct, omit_defaults=True):
    """The record of an accepted job that is neither done nor cancelled.

    Attributes:
        spec: The specification that the user submitted.
        accepted_at: Time at which the job was accepted, in seconds since the Unix epoch. Stored as `at`.
        remote_assignment: The remote cluster that this gang is assigned to: the cluster runs the gang, or may start it.
            While `remote_assignment` is set, no task of the job may start in this cluster. Stored as `abroad`.
        guest: Whether the job is a gang that another cluster assigned to this one. Such a gang is never offered to a
            third cluster.
    """

    spec: JobSpec
    accepted_at: float = msgspec.field(name="at")
    remote_assignment: RemoteAssignment | None = msgspec.field(default=None, name="abroad")
    guest: bool = False


class CompletedJobRecord(msgspec.Struct):
    """The record of a completed job.

    Attributes:
        state: `JobStatus.DONE` or `JobStatus.CANCELLED`.
        tasks: Number of tasks that were known to have succeeded when the record was written.
    """

    state: JobStatus
    tasks: int


def live_key(job_id: str) -> str:
    """Return the key of a job's `LiveJobRecord`."""
    return f"live/{job_id}"


def completed_key(job_id: str) -> str:
    """Return the key of a job's `CompletedJobRecord`."""
    return f"over/{job_id}"


def completion_transaction(
    job_id: str, version: int, record: CompletedJobRecord
) -> tuple[list[Condition], list[Change]]:
    """Return the conditions and changes of the transaction that completes a job.

    The transaction deletes the live record and writes the completed record.

    Args:
        job_id: ID of the job.
        version: Expected version of the live record. The transaction fails if the live record has another version or
            if the job has a completed record.
        record: The final state to write.
    """
    return (
        [version_is(live_key(job_id), version), key_absent(completed_key(job_id))],
        [delete(live_key(job_id)), put(completed_key(job_id), msgspec.to_builtins(record))],
    )
