"""The scheduling loop runs computations in slices, and heartbeats are answered between slices."""

from __future__ import annotations

import pytest

from grebestand.leader.scheduling_loop import SLICE_S
from grebestand.scheduling.scheduling_context import Steps
from support.scheduling_cluster import SchedulingCluster, scheduling_cluster


def slow_down_passes(cluster: SchedulingCluster, monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    """Make each step of a pass take `step_s` seconds on the cluster's clock."""
    full_pass_steps = cluster.term.scheduler.full_pass_steps

    def slow_pass_steps(now: float) -> Steps:
        for _ in full_pass_steps(now):
            cluster.cluster.clock.now += step_s
            yield

    monkeypatch.setattr(cluster.term.scheduler, "full_pass_steps", slow_pass_steps)


def accept_gang(cluster: SchedulingCluster) -> str:
    """Accept a gang that needs all machines, and make sure that the next computation is a full pass."""
    job_id = cluster.cluster.submit_job(cluster.controller, shape="ensemble", shards=3, cpus=16.0)
    cluster.cluster.clock.now += 1.0
    cluster.term.scheduling_loop.next_targets_at = cluster.now + 100.0
    return job_id


def test_long_pass_runs_in_slices_with_heartbeats_answered_in_between(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a pass that blocks the leader.

    A pass over 5000 machines takes seconds, and without slices no heartbeat or request is answered during that time.
    """
    step_s = 0.03
    cluster = scheduling_cluster(3, monkeypatch)
    loop = cluster.term.scheduling_loop
    slow_down_passes(cluster, monkeypatch, step_s)
    job_id = accept_gang(cluster)
    slice_began = cluster.now
    loop.step(slice_began)
    assert loop.busy and cluster.now - slice_began < SLICE_S + step_s
    assert cluster.cluster.handle_heartbeat(cluster.term, cluster.workers[0]) is not None
    for _ in range(50):
        slice_began = cluster.now
        loop.run_slice()
        assert cluster.now - slice_began < SLICE_S + step_s
    assert len(cluster.job(job_id).allocations) == 3
    # a change reported by a heartbeat between slices triggers another pass; the starts of the pass itself do not
    loop.next_pass_at = cluster.now
    assert not cluster.term.registry.changed_since_scheduling


def test_pass_is_abandoned_when_leadership_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = scheduling_cluster(3, monkeypatch)
    loop = cluster.term.scheduling_loop
    slow_down_passes(cluster, monkeypatch, 0.05)
    job_id = accept_gang(cluster)
    loop.step(cluster.now)
    assert loop.busy
    cluster.controller.election.resign("gives way", 10.0)
    loop.run_slice()
    assert loop._work is None and not cluster.job(job_id).allocations
