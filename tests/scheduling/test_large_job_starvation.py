"""Large jobs begin although small jobs of the same priority keep arriving."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from grebestand.scheduling.job_ordering import JobOrdering
from grebestand.simulation.single_controller_cluster import InMemoryController
from support.heartbeat_clusters import start_cluster


def wait_of_large_job(
    shape: str, large: Mapping[str, object], small: Mapping[str, object], failover_at: int = 0
) -> float | None:
    """Run a large job among small jobs of the same priority.

    Args:
        shape: The shape of all jobs.
        large: The fields of the large job's submission.
        small: The fields of each small job's submission.
        failover_at: Second at which another controller takes over the lead; 0 for none.

    Returns:
        Seconds for which the large job waited, or None if it did not begin within 300 s.
    """
    cluster, controller, term = start_cluster(4)
    ends: dict[str, float] = {}
    for second in range(300):
        if second % 4 == 0:
            cluster.submit_job(controller, shape=shape, **small)
        if second == 12:
            job_id = cluster.submit_job(controller, shape=shape, **large)
        if second == failover_at and failover_at:
            cluster.clock.now += 13.0
            controller = InMemoryController(cluster, "node-1")
            term = controller.lead()
        for worker in cluster.workers.values():
            for task in worker.running_tasks():
                if cluster.clock.now >= ends.setdefault(task, cluster.clock.now + 18.0 + len(ends) % 7):
                    worker.finish_task(task)
        cluster.run_rounds(term, 1)
        running = [task for worker in cluster.workers.values() for task in worker.running_tasks()]
        if second > 12 and any(task.startswith(job_id) for task in running):
            return cluster.clock.now - 1015.0
    return None


LARGE_GANG = ({"shards": 4, "cpus": 15.0}, {"shards": 1, "cpus": 15.0})


def test_largest_gang_begins_among_small_gangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against starvation of a large gang.

    A gang starts only as a whole, and the gang with the least work comes first. Without aging, each machine that
    becomes free goes to the next small gang.
    """
    waited = wait_of_large_job("ensemble", *LARGE_GANG)
    assert waited is not None and waited < 240.0
    monkeypatch.setattr(JobOrdering, "overdue", lambda *_: False)  # without aging the gang starves
    assert wait_of_large_job("ensemble", *LARGE_GANG) is None


def test_age_of_a_large_gang_survives_failover() -> None:
    waited = wait_of_large_job("ensemble", *LARGE_GANG, failover_at=80)
    assert waited is not None and waited < 240.0


def test_largest_array_begins_among_small_arrays() -> None:
    waited = wait_of_large_job("array", {"shards": 60, "cpus": 4.0}, {"shards": 12, "cpus": 4.0})
    assert waited is not None and waited < 240.0
