"""The result of looking up a job for a user's request."""

from __future__ import annotations

from typing import NamedTuple

from ..storage.job_records import CompletedJobRecord
from ..wire.jobs import JobStatus


class JobLookup(NamedTuple):
    """A job's status and task counts, and the version of the job's live record.

    Attributes:
        state: Status of the job as shown to users.
        done: Number of done tasks.
        running: Number of running tasks.
        version: Version of the job's live record; 0 for a completed job.
        may_run_remotely: Whether another cluster runs the job or may come to run it.
    """

    state: JobStatus
    done: int = 0
    running: int = 0
    version: int = 0
    may_run_remotely: bool = False

    @classmethod
    def from_record(cls, record: CompletedJobRecord) -> JobLookup:
        """Return the lookup result for a completed job: all tasks are done unless the job was cancelled."""
        return cls(record.state, record.tasks if record.state is JobStatus.DONE else 0)
