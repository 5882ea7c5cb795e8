"""Cache of the final states of completed jobs.

A final state never changes, so requests for the state of a completed job can be answered from this cache without
reading the key-value store.
"""

from __future__ import annotations

from collections import OrderedDict

from .job_records import CompletedJobRecord

#: Maximum number of cached records, which bounds the memory of a controller. The record that was added first is evicted
#: first, and is read from the key-value store again on demand.
MAX_COMPLETED_KEPT = 5000


class CompletedJobs:
    """The final records that this process wrote or read most recently, by job ID."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, CompletedJobRecord] = OrderedDict()

    def get(self, job_id: str) -> CompletedJobRecord | None:
        """Return the final record of a job, or None if the record is not cached."""
        return self._records.get(job_id)

    def remember(self, job_id: str, record: CompletedJobRecord) -> None:
        """Cache the final record of a job. Evicts the oldest record if `MAX_COMPLETED_KEPT` is exceeded."""
        self._records[job_id] = record
        if len(self._records) > MAX_COMPLETED_KEPT:
            self._records.popitem(last=False)
