"""Task results survive the crash of the leader that received them."""

from __future__ import annotations

import pytest

from grebestand.heartbeats.commands import CommandBuilder
from grebestand.leader.task_progress import TaskProgress
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import JobState
from grebestand.wire.workers import ExitReason


def test_result_is_not_forgotten_before_it_is_durable() -> None:
    """A worker must report a finished task until the result is stored, so that no new leader runs the task again.

    The first of two tasks finishes, and the leader's term ends before the leader has stored the job's progress. The
    next leader takes the result from the worker's heartbeats.
    """
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    term = InMemoryController(cluster, "node-0").lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    cluster.run_rounds(term, 3)
    worker.finish_task(f"{job_id}/0")
    cluster.handle_heartbeat(term, worker)
    assert worker.tasks[f"{job_id}/0"].why is ExitReason.DONE  # the worker keeps the result until it is stored
    cluster.clock.now += 13.0
    next_term = InMemoryController(cluster, "node-1").lead()
    cluster.run_rounds(next_term, 3)
    jobs = next_term.registry.jobs
    assert jobs[job_id].is_done(0) and not jobs[job_id].is_done(1)
    worker.finish_task(f"{job_id}/1")
    cluster.run_rounds(next_term, 4)
    assert job_id not in jobs or jobs[job_id].state is JobState.DONE


def test_result_forgotten_before_it_is_durable_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: workers may forget results that are not stored, so the task would run again."""
    monkeypatch.setattr(CommandBuilder, "_may_forget", lambda *_: True)
    monkeypatch.setattr(TaskProgress, "save", lambda self: None)
    with pytest.raises((AssertionError, KeyError)):
        test_result_is_not_forgotten_before_it_is_durable()
