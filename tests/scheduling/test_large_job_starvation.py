"""Large jobs begin although small ones of their priority go on arriving."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from grebestand.scheduling.job_ordering import JobOrdering
from grebestand.simulation.single_controller_cluster import InMemoryController
from support.heartbeat_clusters import start_cluster


def wait_of_large_job(
    kind: str, large: Mapping[str, object], small: Mapping[str, object], failover_at: int = 0
) -> float | None:
    """Return how long a large job waits among small ones of its priority, in seconds; None if it does not begin."""
    cluster, controller, term = start_cluster(4)
    ends: dict[str, float] = {}
    for second in range(300):
        if second % 4 == 0:
            cluster.accept(controller, shape=kind, **small)
        if second == 12:
            job_id = cluster.accept(controller, shape=kind, **large)
        if second == failover_at and failover_at:
            cluster.clock.now += 13.0
            controller = InMemoryController(cluster, "node-1")
            term = controller.lead()
        for worker in cluster.workers.values():
            for task in worker.running():
                if cluster.clock.now >= ends.setdefault(task, cluster.clock.now + 18.0 + len(ends) % 7):
                    worker.finish(task)
        cluster.settle(term, 1)
        running = [task for worker in cluster.workers.values() for task in worker.running()]
        if second > 12 and any(task.startswith(job_id) for task in running):
            return cluster.clock.now - 1015.0
    return None


LARGE_GANG = ({"shards": 4, "cpus": 15.0}, {"shards": 1, "cpus": 15.0})


def test_largest_gang_begins_among_small_gangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Least work first, and whole or not at all: one machine after the other went to the next small gang."""
    waited = wait_of_large_job("ensemble", *LARGE_GANG)
    assert waited is not None and waited < 240.0
    monkeypatch.setattr(JobOrdering, "overdue", lambda *_: False)  # broken on purpose
    assert wait_of_large_job("ensemble", *LARGE_GANG) is None


def test_age_of_a_large_gang_survives_failover() -> None:
    waited = wait_of_large_job("ensemble", *LARGE_GANG, failover_at=80)
    assert waited is not None and waited < 240.0


def test_largest_array_begins_among_small_arrays() -> None:
    waited = wait_of_large_job("array", {"shards": 60, "cpus": 4.0}, {"shards": 12, "cpus": 4.0})
    assert waited is not None and waited < 240.0
