"""What is known of a job when a user asks for it."""

from __future__ import annotations

from typing import NamedTuple

from ..storage.job_records import CompletedJobRecord
from ..wire.jobs import JobStatus


class JobLookup(NamedTuple):
    """A job's status for its user, its task counts, and where its live record stands."""

    state: JobStatus
    done: int = 0
    running: int = 0
    #: of its live record; 0 for a completed job
    version: int = 0
    #: another cluster runs it, or may come to run it
    may_run_remotely: bool = False

    @classmethod
    def from_record(cls, record: CompletedJobRecord) -> JobLookup:
        """Return what users are told of a completed job."""
        return cls(record.state, record.tasks if record.state is JobStatus.DONE else 0)
