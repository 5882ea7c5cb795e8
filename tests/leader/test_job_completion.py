"""Completion of jobs: the final commit, its races, and the records dropped afterwards."""

from __future__ import annotations

import json

import pytest

from grebestand.simulation.single_controller_cluster import InMemoryController
from support.single_leader import polled_state, start_cluster, start_finished_job


def test_job_is_done_only_after_commit_and_stays_done() -> None:
    cluster, controller, term, job_id = start_finished_job()
    assert polled_state(controller, job_id) != "done"
    term.job_completion.complete_jobs()
    assert polled_state(controller, job_id) == "done"
    assert job_id not in term.registry.jobs
    fresh = InMemoryController(cluster, "node-9")
    assert fresh.job_api.submit(cluster.submission_body(ref=job_id)).status == 200
    assert json.loads(fresh.job_api.cancel(job_id).body)["tide"] == "done"


def test_store_decides_between_done_and_cancelled() -> None:
    cluster, controller, term, job_id = start_finished_job()
    other = InMemoryController(cluster, "node-1")
    assert json.loads(other.job_api.cancel(job_id).body)["tide"] == "cancelled"
    term.job_completion.complete_jobs()
    assert polled_state(controller, job_id) == "cancelled"
    assert not term.registry.closing_jobs


def test_completion_continues_after_lost_answer() -> None:
    cluster, controller, term, job_id = start_finished_job()
    cluster.store.responses_to_drop = 1
    with pytest.raises(Exception, match="lost"):
        term.job_completion.complete_jobs()
    term.job_completion.complete_jobs()
    assert polled_state(controller, job_id) == "done"


def test_gang_is_done_with_its_first_done_task() -> None:
    cluster, controller, term, workers = start_cluster(2)
    job_id = cluster.submit_job(controller, shape="ensemble", shards=2, cpus=15.0)
    cluster.run_rounds(term)
    workers[0].finish_task(f"{job_id}/{workers[0].running_tasks()[0].split('/')[1]}")
    cluster.handle_heartbeat(term, workers[0])
    term.job_completion.complete_jobs()
    assert polled_state(controller, job_id) == "done"


def test_finished_jobs_leave_no_memory_and_few_records() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    for _ in range(30):
        job_id = cluster.submit_job(controller)
        cluster.run_rounds(term, 7)
        worker.finish_task(f"{job_id}/0")
        cluster.run_rounds(term, 1)
    cluster.run_rounds(term, 2)
    assert not term.registry.jobs and not worker.tasks
    assert not [k for k in cluster.store.data if k.startswith("live/")]
    assert len(term.progress.pages) == len(term.grants.pages) == 0
    assert len(cluster.records("progress/")) + len(cluster.records("grants/")) < 5  # until pages are rewritten
