"""The job status that users get never goes back to an older one, from whichever controller and under any fault."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from grebestand.api.job_api import JobApi
from grebestand.api.read_batching import BatchedReads
from grebestand.api.response import Response
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from support.cluster_actions import LEADER_CHANGES, change_leader, end_faults


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


def request_from_all_controllers(loop: VirtualLoop, seed: int, fault: str) -> SimulatedCluster:
    """Run a cluster whose users poll, resubmit and cancel at all controllers right after each change of a job."""
    cluster = SimulatedCluster(loop, seed=seed, machines=8)
    cluster.burst_requests, cluster.cancelled_job_rate, cluster.cancel_at_end_rate = True, 0.4, 0.3
    cluster.task_duration_s = (2.0, 9.0)
    cluster.submit_continuously(1.0, 45.0)
    cluster.send_invalid_requests(45.0)
    gevent.sleep(12)
    if fault == "slow":
        cluster.max_response_delay_s = 1.2
    elif fault == "frozen":
        for name in cluster.controller_names:
            gevent.spawn_later(3.0 * int(name[-1]), cluster.pause, name, 1.5)
    elif fault == "refused":
        for name in cluster.current_leaders():
            cluster.links.set_mode(name, STATE, LinkMode.REFUSED)
    elif fault == "lost answers":
        cluster.lost_response_rate = 0.4
    elif fault != "none":
        change_leader(cluster, fault)
    gevent.sleep(20)
    end_faults(cluster)
    cluster.burst_requests = True
    return cluster


@pytest.mark.parametrize("fault", ["none", "slow", "frozen", "refused", "lost answers", *LEADER_CHANGES])
def test_no_response_is_older_than_an_earlier_one(loop: VirtualLoop, fault: str) -> None:
    cluster = request_from_all_controllers(loop, 31, fault)
    assert cluster.wait_until_settled(300.0) == []
    assert sum(job.cancelled_at is not None for job in cluster.jobs.values()) >= 5
    assert sum(job.done_at is not None for job in cluster.jobs.values()) >= 10


@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_responses_are_consistent_while_only_store_responses_are_lost(loop: VirtualLoop, leader_change: str) -> None:
    cluster = SimulatedCluster(loop, seed=32, machines=10)
    cluster.burst_requests, cluster.cancelled_job_rate, cluster.cancel_at_end_rate, cluster.lost_response_rate = (
        True,
        0.4,
        0.2,
        0.5,
    )
    cluster.task_duration_s = (3.0, 20.0)
    cluster.submit_continuously(1.5, 60.0)
    for _ in range(4):
        gevent.sleep(14)
        change_leader(cluster, leader_change)
    end_faults(cluster)
    assert cluster.wait_until_settled(500.0) == []


# faults built in on purpose --------------------------------------------------------------------------------


def answer_from_read_in_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answer a request that arrives during a shared read with the result of that read, which may be too old."""
    ask = BatchedReads._compare_versions

    def ask_and_keep_batch_open(self: BatchedReads, batch: Any) -> None:
        ask(self, batch)
        self._open = batch
        gevent.sleep(0.02)

    monkeypatch.setattr(BatchedReads, "_compare_versions", ask_and_keep_batch_open)


def answer_repeats_without_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answer a repeated submission of a completed job without task counts."""
    accept = JobApi._accept

    def accept_without_counts(self: JobApi, job_id: str, *args: Any) -> Response:
        response = accept(self, job_id, *args)
        status = json.loads(response.body)
        return Response(response.status, json.dumps({**status, "done": 0}).encode())

    monkeypatch.setattr(JobApi, "_accept", accept_without_counts)


@pytest.mark.parametrize("inject_fault", [answer_from_read_in_progress, answer_repeats_without_counts])
def test_outdated_response_is_found(
    monkeypatch: pytest.MonkeyPatch, inject_fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_fault(monkeypatch)
    for seed in range(31, 36):
        with simulated_time() as virtual_loop:
            if request_from_all_controllers(virtual_loop, seed, "none").other_violations:
                return
    raise AssertionError("no seed gave an outdated answer")
