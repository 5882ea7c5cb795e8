"""Cancellations that a leader hears of before, or otherwise than, by its own watch."""

from __future__ import annotations

import json

import pytest

from grebestand.leader.durable_grants import DurableGrants
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.storage.job_records import CompletedJobRecord
from grebestand.wire.jobs import JobStatus

CANCELLED = CompletedJobRecord(JobStatus.CANCELLED, 0)


def test_cancellation_before_its_job_is_known_is_not_forgotten() -> None:
    """A peer accepts a job and cancels it; its status comes before the leader's watch tells of the job."""
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    term = InMemoryController(cluster, "node-0").lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    term.completed_jobs.remember(job_id, CANCELLED)  # as `CancellationRecorder` does, which finds no such job to stop
    term.job_watch.apply_removal(job_id, cluster.clock.now)
    term.job_watch.watch()
    for _ in range(3):
        cluster.handle_heartbeat(term, worker)
    assert not worker.started_attempts


def test_cancellation_while_records_are_loaded_is_not_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """The status comes after the job's record was read, and before the term is loaded; the watch is still to come."""
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    cluster.run_rounds(InMemoryController(cluster, "node-0").lead(), 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    cluster.clock.now += 13.0
    controller = InMemoryController(cluster, "node-1")
    load = DurableGrants.load

    def load_after_cancellation(self: DurableGrants) -> None:
        controller.completed_jobs.remember(job_id, CANCELLED)
        load(self)

    monkeypatch.setattr(DurableGrants, "load", load_after_cancellation)
    term = controller.lead()
    for _ in range(3):
        cluster.handle_heartbeat(term, worker)
    assert not worker.started_attempts


def test_cancellation_that_the_audit_sees_first_is_no_defect(caplog: pytest.LogCaptureFixture) -> None:
    """The page was read after it, and the watch has not told of it yet: the log called it a defect."""
    cluster = InMemoryCluster()
    term = InMemoryController(cluster, "node-0").lead()
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    term.job_watch.watch()
    response = InMemoryController(cluster, "node-8").job_api.cancel(job_id)
    assert json.loads(response.body)["tide"] == "cancelled"
    term.job_audit._read_page()
    assert job_id not in term.registry.jobs
    assert not [record for record in caplog.records if record.levelname == "ERROR"]
