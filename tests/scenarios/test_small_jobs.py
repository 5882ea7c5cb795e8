"""Continuous submission of one-task jobs under a low rate limit on writes to the store."""

from __future__ import annotations

import random
from collections.abc import Iterator

import gevent
import pytest

from grebestand.api.read_batching import BatchedReads
from grebestand.controller.job_counts import TaskCounts
from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time

#: the longest time from a task's end to the next heartbeat, and from that heartbeat to the user's next poll
HEARTBEAT_DELAY_S, POLL_DELAY_S = 3.75, 2.0


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


def test_one_task_jobs_four_a_second_for_two_minutes(loop: VirtualLoop) -> None:
    """At 18 writes/s, with a quarter of the small jobs cancelled, users learn of results in time; large jobs finish."""
    cluster = SimulatedCluster(loop, seed=37, machines=10, write_rps=18.0, rps=250.0)
    cluster.task_duration_s = (2.0, 6.0)
    rng = random.Random(7)
    gevent.sleep(3)
    large_jobs = [cluster.submit("blue", 40, 1.0), cluster.submit("blue", 3, 10.0, shape="ensemble")]
    for _ in range(480):
        job_id = cluster.submit("blue", 1, 1.0)
        if rng.random() < 0.25:
            cluster.jobs[job_id].cancel_at = cluster.loop.time + rng.uniform(0.0, 8.0)
        gevent.sleep(0.25)
    assert cluster.wait_until_settled(120.0) == []
    small_jobs = [job for job_id, job in cluster.jobs.items() if job_id not in large_jobs]
    acceptance_delays_s = sorted(
        job.accepted_at - job.submitted_at for job in small_jobs if job.accepted_at is not None
    )
    assert acceptance_delays_s[int(0.96 * len(acceptance_delays_s))] < 1.0
    completion_delays_s = sorted(cluster.completion_delays_s.values())
    assert completion_delays_s[len(completion_delays_s) // 2] < 3.0
    # 0.5 s is for the write of the completion record
    assert completion_delays_s[int(0.95 * len(completion_delays_s))] < HEARTBEAT_DELAY_S + POLL_DELAY_S + 0.5
    assert cluster.store.write_count / len(cluster.jobs) < 4.2
    assert all(cluster.jobs[job_id].done_at is not None for job_id in large_jobs)


def test_repeated_requests_that_cost_a_write_are_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: controllers remember no accepted job, so each repeated request costs a write."""
    monkeypatch.setattr(BatchedReads, "knows", lambda self, job_id: False)
    monkeypatch.setattr(TaskCounts, "get", lambda self, job_id: (0, 0))
    with pytest.raises(AssertionError):
        test_one_task_jobs_four_a_second_for_two_minutes(loop)
