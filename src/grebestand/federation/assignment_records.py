"""The live record of a gang, which names the cluster that runs it: how home writes it and reads it back."""

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
    """Writes of one term to the live records of gangs, each conditional on the version that the leader knows.

    Every method raises `StoreError` if the store could not be reached, in which case a write may have been made or may
    still be made, and `FencedError` if the term is over.
    """

    def __init__(self, term: Term) -> None:
        """Write under the fencing token of this term."""
        self.term = term

    def write(self, job: Job, assignment: RemoteAssignment | None) -> bool:
        """Set or clear the assignment in the live record and in the job; return False if the record has changed."""
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
        """Read the live record into the job; return False if there is none, as the job has been cancelled."""
        found = self.term.writer.store.get(live_key(job.spec.id), Urgency.ACCEPT)
        if found is None:
            return False
        record = msgspec.convert(found.value, LiveJobRecord)
        job.record_revision, job.remote_assignment = found.version, record.abroad
        return True

    def write_cancellation(self, job: Job) -> bool:
        """Replace the live record by that of a cancelled job; return False if the live record has changed."""
        job_id = job.spec.id
        record = CompletedJobRecord(JobStatus.CANCELLED, 0)
        _, failed = self.term.writer.commit(
            *completion_transaction(job_id, job.record_revision, record), Urgency.ACCEPT
        )
        if failed:
            return False
        self.term.completed_jobs.remember(job_id, record)
        return True
