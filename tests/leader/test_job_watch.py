"""The watch of the live records: contradictory and delayed responses."""

from __future__ import annotations

import pytest

from grebestand.clients.kv_store import StoreError
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.store import ChangeEvent, ChangeEvents


@pytest.mark.parametrize("answer", [ChangeEvents(3, []), ChangeEvents(900, [ChangeEvent(901, delete="live/j-1")])])
def test_contradictory_store_answer_is_not_knowledge(answer: ChangeEvents, monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    known_at = controller.election.cancellation_horizon.known_at
    term.job_watch.applied_revision = 500
    monkeypatch.setattr(controller.store, "watch", lambda *_: answer)
    with pytest.raises(StoreError):
        term.job_watch.catch_up()
    assert controller.election.cancellation_horizon.known_at == known_at and term.job_watch.applied_revision == 500


def test_late_older_answer_brings_no_job_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a delayed watch response that restores a job which a concurrent read has removed."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    before = term.job_watch.applied_revision
    job_id = cluster.submit_job(controller)
    early = controller.store.watch("live/", before, 0)
    controller.job_api.cancel(job_id)
    term.job_watch.catch_up()
    monkeypatch.setattr(controller.store, "watch", lambda *_: early)
    with pytest.raises(StoreError):  # the response has an older revision than the applied one
        term.job_watch.watch()
    assert job_id not in term.registry.jobs
    controller.election.cancellation_horizon.reset()
    monkeypatch.setattr(
        controller.store, "watch", lambda *_: ChangeEvents(term.job_watch.applied_revision, early.events)
    )
    term.job_watch.watch()  # current, but repeats an old event: applying it would restore the job permanently
    assert job_id not in term.registry.jobs and controller.election.cancellation_horizon.known_at == cluster.clock.now
