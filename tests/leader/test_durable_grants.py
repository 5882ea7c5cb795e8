"""Grants: where a job's tasks may have been started."""

from __future__ import annotations

import gevent
import gevent.event
import pytest

from support.single_leader import start_cluster


def test_heartbeat_is_answered_before_its_grants_are_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against heartbeats that wait for grants while the write rate limit is used up.

    The delayed heartbeats once timed out for most workers.
    """
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller)
    release = gevent.event.Event()
    save = term.grants.pages.save
    monkeypatch.setattr("grebestand.leader.heartbeat_handler.GRANT_WAIT_S", 0.001)
    monkeypatch.setattr(term.grants.pages, "save", lambda urgency: (release.wait(), save(urgency)))
    with gevent.Timeout(20):
        response = cluster.handle_heartbeat(term, worker)
        assert response is not None and not worker.started_attempts
        release.set()
        assert term.grants.write_task is not None
        term.grants.write_task.join()
    assert job_id in cluster.records("grants/")
    cluster.run_rounds(term, 1)
    assert worker.started_attempts


def test_grant_of_wide_array_ends_without_machine_names() -> None:
    """Guards against one write for each new machine of a wide array, which used up the rate limit of the store."""
    cluster, controller, term, _workers = start_cluster(40)
    job_id = cluster.submit_job(controller, shards=1000, cpus=8.0, ramGb=1.0)
    before = cluster.store.revision
    cluster.run_rounds(term, 4)
    granted_below, machines = cluster.records("grants/")[job_id]
    assert machines is None or len(machines) <= 16
    assert granted_below < 1000
    assert cluster.store.revision - before < 12
