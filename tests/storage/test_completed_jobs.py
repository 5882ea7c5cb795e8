"""The cache of final states of completed jobs: lookups and the bound on its size."""

from __future__ import annotations

import pytest

from grebestand.storage import completed_jobs
from grebestand.storage.completed_jobs import CompletedJobs
from grebestand.storage.job_records import CompletedJobRecord
from grebestand.wire.jobs import JobStatus


def test_oldest_final_state_is_evicted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(completed_jobs, "MAX_COMPLETED_KEPT", 2)
    cache = CompletedJobs()
    record = CompletedJobRecord(JobStatus.DONE, 1)
    for job_id in ("j-1", "j-2", "j-3"):
        cache.remember(job_id, record)
    assert cache.get("j-1") is None
    assert cache.get("j-2") is record and cache.get("j-3") is record
