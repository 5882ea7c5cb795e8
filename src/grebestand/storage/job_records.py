"""Stored records of jobs: one for a live job and one for a completed job, never both at a time."""

from __future__ import annotations

import msgspec

from ..clients.kv_store import delete, key_absent, put, version_is
from ..wire.jobs import JobSpec, JobStatus
from ..wire.remote_assignment import RemoteAssignment
from ..wire.store import Change, Condition


class LiveJobRecord(msgspec.Struct, omit_defaults=True):
    """The record of an accepted job that is neither done nor cancelled.

    Attributes:
        spec: The job as its user described it.
        at: Time of day of acceptance, in seconds since the epoch.
        abroad: The cluster that runs the gang, or may come to run it. While it is set, no task of the job may start in
            this cluster.
        guest: Whether the job is a gang of another cluster. Such a gang is never offered to a further cluster.
    """

    spec: JobSpec
    at: float
    abroad: RemoteAssignment | None = None
    guest: bool = False


class CompletedJobRecord(msgspec.Struct):
    """The record of a completed job.

    Attributes:
        state: `JobStatus.DONE` or `JobStatus.CANCELLED`.
        tasks: Number of tasks known to have succeeded when the record was written.
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

    The transaction deletes the live record and writes the completed one. It fails if the live record no longer has
    `version`, or if the job is completed already.
    """
    return (
        [version_is(live_key(job_id), version), key_absent(completed_key(job_id))],
        [delete(live_key(job_id)), put(completed_key(job_id), msgspec.to_builtins(record))],
    )
