"""Following the live records: contradictory and late answers."""

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
    term.job_watch.watched = 500
    monkeypatch.setattr(controller.store, "changes", lambda *_: answer)
    with pytest.raises(StoreError):
        term.job_watch.catch_up()
    assert controller.election.cancellation_horizon.known_at == known_at and term.job_watch.watched == 500


def test_late_older_answer_brings_no_job_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch and a read may be under way at once; the job was put by the one and removed by the other."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    before = term.job_watch.watched
    job_id = cluster.submit_job(controller)
    early = controller.store.changes("live/", before, 0)
    controller.job_api.cancel(job_id)
    term.job_watch.catch_up()
    monkeypatch.setattr(controller.store, "changes", lambda *_: early)
    with pytest.raises(StoreError):  # and it is an earlier state than is known
        term.job_watch.watch()
    assert job_id not in term.registry.jobs
    controller.election.cancellation_horizon.begin()
    monkeypatch.setattr(controller.store, "changes", lambda *_: ChangeEvents(term.job_watch.watched, early.events))
    term.job_watch.watch()  # current, and lists what is known: taken again, the job would stay for ever
    assert job_id not in term.registry.jobs and controller.election.cancellation_horizon.known_at == cluster.clock.now
