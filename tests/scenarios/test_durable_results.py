"""Results of tasks outlast the leader that heard of them."""

from __future__ import annotations

import pytest

from grebestand.heartbeats.commands import CommandBuilder
from grebestand.leader.task_progress import TaskProgress
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import JobState
from grebestand.wire.workers import ExitReason


def test_result_is_not_forgotten_before_it_is_durable() -> None:
    """The first task of two is done, its leader ends before progress is written, and its page is dropped and written
    late: the next leader has it from the worker's heartbeat, which still has it."""
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    term = InMemoryController(cluster, "node-0").lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    cluster.run_rounds(term, 3)
    worker.finish_task(f"{job_id}/0")
    cluster.handle_heartbeat(term, worker)
    assert worker.tasks[f"{job_id}/0"].why is ExitReason.DONE  # still there: nothing is durable yet
    cluster.clock.now += 13.0
    next_term = InMemoryController(cluster, "node-1").lead()
    cluster.run_rounds(next_term, 3)
    jobs = next_term.registry.jobs
    assert jobs[job_id].is_done(0) and not jobs[job_id].is_done(1)
    worker.finish_task(f"{job_id}/1")
    cluster.run_rounds(next_term, 4)
    assert job_id not in jobs or jobs[job_id].state is JobState.DONE


def test_result_forgotten_before_it_is_durable_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: the task would be done again."""
    monkeypatch.setattr(CommandBuilder, "_may_forget", lambda *_: True)
    monkeypatch.setattr(TaskProgress, "save", lambda self: None)
    with pytest.raises((AssertionError, KeyError)):
        test_result_is_not_forgotten_before_it_is_durable()
