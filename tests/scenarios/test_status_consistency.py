"""What users are told of their jobs never goes back, whichever controllers they ask, and whatever fails meanwhile."""

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
    with simulated_time() as virtual:
        yield virtual


def ask_all_controllers(loop: VirtualLoop, seed: int, fault: str) -> SimulatedCluster:
    """Users ask all controllers right after each acceptance, end and cancellation, repeat themselves and cancel."""
    world = SimulatedCluster(loop, seed=seed, machines=8)
    world.burst_requests, world.cancelled_job_rate, world.cancel_at_end_rate = True, 0.4, 0.3
    world.task_duration_s = (2.0, 9.0)
    world.submit_continuously(1.0, 45.0)
    world.send_invalid_requests(45.0)
    gevent.sleep(12)
    if fault == "slow":
        world.max_response_delay_s = 1.2
    elif fault == "frozen":
        for name in world.controller_names:
            gevent.spawn_later(3.0 * int(name[-1]), world.pause, name, 1.5)
    elif fault == "refused":
        for name in world.current_leaders():
            world.links.set_mode(name, STATE, LinkMode.REFUSED)
    elif fault == "lost answers":
        world.lost_response_rate = 0.4
    elif fault != "none":
        change_leader(world, fault)
    gevent.sleep(20)
    end_faults(world)
    world.burst_requests = True
    return world


@pytest.mark.parametrize("fault", ["none", "slow", "frozen", "refused", "lost answers", *LEADER_CHANGES])
def test_no_answer_is_older_than_one_before(loop: VirtualLoop, fault: str) -> None:
    world = ask_all_controllers(loop, 31, fault)
    assert world.wait_until_settled(300.0) == []
    assert sum(job.cancelled_at is not None for job in world.jobs.values()) >= 5
    assert sum(job.done_at is not None for job in world.jobs.values()) >= 10


@pytest.mark.parametrize("how", LEADER_CHANGES)
def test_answers_are_consistent_while_only_answers_of_the_store_are_lost(loop: VirtualLoop, how: str) -> None:
    world = SimulatedCluster(loop, seed=32, machines=10)
    world.burst_requests, world.cancelled_job_rate, world.cancel_at_end_rate, world.lost_response_rate = (
        True,
        0.4,
        0.2,
        0.5,
    )
    world.task_duration_s = (3.0, 20.0)
    world.submit_continuously(1.5, 60.0)
    for _ in range(4):
        gevent.sleep(14)
        change_leader(world, how)
    end_faults(world)
    assert world.wait_until_settled(500.0) == []


# broken on purpose ----------------------------------------------------------------------------------------


def answer_from_read_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever asks while a shared read is under way is answered by that one."""
    ask = BatchedReads._ask

    def ask_and_stay_open(self: BatchedReads, batch: Any) -> None:
        ask(self, batch)
        self._open = batch
        gevent.sleep(0.02)

    monkeypatch.setattr(BatchedReads, "_ask", ask_and_stay_open)


def answer_repeats_without_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """A repeated submission of a completed job is answered without counts, as it was in an early version."""
    accept = JobApi._accept

    def without_counts(self: JobApi, job_id: str, *more: Any) -> Response:
        response = accept(self, job_id, *more)
        status = json.loads(response.body)
        return Response(response.status, json.dumps({**status, "done": 0}).encode())

    monkeypatch.setattr(JobApi, "_accept", without_counts)


@pytest.mark.parametrize("break_it", [answer_from_read_under_way, answer_repeats_without_counts])
def test_older_answer_is_found(monkeypatch: pytest.MonkeyPatch, break_it: Callable[[pytest.MonkeyPatch], None]) -> None:
    break_it(monkeypatch)
    for seed in range(31, 36):
        with simulated_time() as virtual:
            if ask_all_controllers(virtual, seed, "none").other_violations:
                return
    raise AssertionError("not found")
