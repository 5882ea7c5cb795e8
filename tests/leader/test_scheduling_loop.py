"""When targets are computed and scheduling passes run."""

from __future__ import annotations

import itertools

import pytest

from grebestand.scheduling.scheduling_context import Steps
from grebestand.state_machines import AllocationState
from support.single_leader import start_cluster


def test_heartbeat_fills_freed_capacity_between_passes() -> None:
    """Guards against a full pass for each heartbeat, which took the leader's whole core with hundreds of machines."""
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller, shards=40, cpus=1.0, ramGb=1.0)
    cluster.run_rounds(term, 3)
    assert len(worker.running_tasks()) == 16
    term.scheduling_loop.next_pass_at = term.scheduling_loop.next_targets_at = cluster.clock.now + 100.0
    for task in worker.running_tasks()[:4]:
        worker.finish_task(task)
    cluster.clock.now += 1.0
    cluster.handle_heartbeat(term, worker)
    assert len(worker.running_tasks()) == 16 and len(worker.started_attempts) == 20
    # tasks of a job cancelled between passes are not started
    assert controller.job_api.cancel(job_id).status == 200
    term.job_watch.watch()
    worker.finish_task(worker.running_tasks()[0])
    cluster.clock.now += 1.0
    before = len(worker.started_attempts)
    cluster.handle_heartbeat(term, worker)
    assert len(worker.started_attempts) == before


def test_pass_is_followed_by_proportional_rest() -> None:
    cluster, _controller, term, (_worker,) = start_cluster(1)
    passes: list[float] = []
    full_pass_steps = term.scheduler.full_pass_steps

    def slow(now: float) -> Steps:
        passes.append(now)
        yield from full_pass_steps(now)
        cluster.clock.now += 0.1

    term.scheduler.full_pass_steps = slow  # type: ignore[method-assign]
    for _ in range(300):
        cluster.clock.now += 0.01
        term.registry.changed_since_scheduling = True
        term.scheduling_loop.step(cluster.clock.now)
    # 300 steps of 10 ms and the passes themselves: at most one pass in 1.6 s
    assert 2 <= len(passes) <= 3
    assert all(b - a >= 1.6 for a, b in itertools.pairwise(passes))


def test_pass_that_outlasts_authority_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller that is paused during a pass has to notice afterwards that its authority has expired."""
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller)
    full_pass_steps = term.scheduler.full_pass_steps

    def late(now: float) -> Steps:
        yield from full_pass_steps(now)
        cluster.clock.now += 30.0

    monkeypatch.setattr(term.scheduler, "full_pass_steps", late)
    assert cluster.handle_heartbeat(term, worker) is None
    assert term.registry.jobs[job_id].allocations[0].state is AllocationState.QUEUED and not worker.started_attempts
