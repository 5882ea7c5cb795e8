"""Writes and reads of a gang's live record, which names the cluster that the gang is assigned to."""

from __future__ import annotations

import msgspec

from ..clients.kv_store import put, version_is
from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from ..leader.term import Term
from ..storage.job_records import CompletedJobRecord, LiveJobRecord, completion_transaction, live_key
from ..wire.jobs import JobStatus
from ..wire.remote_assignment import RemoteAssignment


class AssignmentRecords:
    """Writes to the live records of gangs in one term, each conditional on the record's version known to the leader.

    Every method raises `StoreError` if the store could not be reached; a write may have taken effect, or may later.
    Methods that write raise `FencedError` if the term is over.
    """

    def __init__(self, term: Term) -> None:
        """Use the fencing token of a term for all writes."""
        self.term = term

    def write(self, job: Job, assignment: RemoteAssignment | None) -> bool:
        """Set or clear the assignment in the live record and in the job.

        Args:
            job: The gang.
            assignment: The new assignment, or None to clear it.

        Returns:
            True if the record was written, False if the record has another version than the job's.
        """
        key = live_key(job.spec.id)
        accepted_at = self.term.wall() - (self.term.clock() - job.accepted_at)
        record = LiveJobRecord(job.spec, accepted_at, assignment, job.is_guest)
        change = put(key, msgspec.to_builtins(record))
        version, failed = self.term.writer.commit([version_is(key, job.record_revision)], [change], Urgency.ACCEPT)
        if failed:
            return False
        job.record_revision = version
        job.remote_assignment = assignment
        return True

    def reread(self, job: Job) -> bool:
        """Update the job from its live record; return False if there is no live record because the job has ended."""
        found = self.term.writer.store.get(live_key(job.spec.id), Urgency.ACCEPT)
        if found is None:
            return False
        record = msgspec.convert(found.value, LiveJobRecord)
        job.record_revision, job.remote_assignment = found.version, record.remote_assignment
        return True

    def write_cancellation(self, job: Job) -> bool:
        """Replace the live record by the completed record of a cancelled job.

        Args:
            job: The gang.

        Returns:
            True if the records were written, False if the live record has another version than the job's.
        """
        job_id = job.spec.id
        record = CompletedJobRecord(JobStatus.CANCELLED, 0)
        _, failed = self.term.writer.commit(
            *completion_transaction(job_id, job.record_revision, record), Urgency.ACCEPT
        )
        if failed:
            return False
        self.term.completed_jobs.remember(job_id, record)
        return True
