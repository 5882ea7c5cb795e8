"""Cancellations that reach a leader by another way than its watch of the job records, or before the watch."""

from __future__ import annotations

import json

import pytest

from grebestand.leader.durable_grants import DurableGrants
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.storage.job_records import CompletedJobRecord
from grebestand.wire.jobs import JobStatus

CANCELLED = CompletedJobRecord(JobStatus.CANCELLED, 0)


def test_cancellation_before_its_job_is_known_is_not_forgotten() -> None:
    """A leader must not start a job whose cancellation arrives before the job itself.

    A peer accepts a job and cancels it; the peer's status reaches the leader before the leader's watch reads the job.
    """
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    term = InMemoryController(cluster, "node-0").lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    term.completed_jobs.remember(job_id, CANCELLED)  # as `CancellationRecorder` does for an unknown job
    term.job_watch.apply_removal(job_id, cluster.clock.now)
    term.job_watch.watch()
    for _ in range(3):
        cluster.handle_heartbeat(term, worker)
    assert not worker.started_attempts


def test_cancellation_while_records_are_loaded_is_not_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new leader must not start a job that is cancelled while the new leader loads its records.

    A peer's status with the cancellation arrives after the job's record was read and before loading ends; the watch has
    not yet reported the removal of the record.
    """
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
    """The audit must not log a recent cancellation as a defect.

    The audit reads a page of job records after the cancellation, while the watch has not yet reported the cancellation.
    """
    cluster = InMemoryCluster()
    term = InMemoryController(cluster, "node-0").lead()
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    term.job_watch.watch()
    response = InMemoryController(cluster, "node-8").job_api.cancel(job_id)
    assert json.loads(response.body)["tide"] == "cancelled"
    term.job_audit._read_page()
    assert job_id not in term.registry.jobs
    assert not [record for record in caplog.records if record.levelname == "ERROR"]
