"""Cache of the final states of completed jobs.

A final state never changes, so users may be answered from this cache without reading the key-value store.
"""

from __future__ import annotations

from collections import OrderedDict

from .job_records import CompletedJobRecord

#: bounds the memory of a controller; the oldest entries are evicted first and are read from the store again on demand
MAX_COMPLETED_KEPT = 5000


class CompletedJobs:
    """The final states that this process has seen most recently, by job id."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, CompletedJobRecord] = OrderedDict()

    def get(self, job_id: str) -> CompletedJobRecord | None:
        """Return the final record of a job, or None if this process does not remember it."""
        return self._records.get(job_id)

    def remember(self, job_id: str, record: CompletedJobRecord) -> None:
        """Add the final record of a job, and evict the oldest entry if there are too many."""
        self._records[job_id] = record
        if len(self._records) > MAX_COMPLETED_KEPT:
            self._records.popitem(last=False)
