"""Durable progress of arrays."""

from __future__ import annotations

from support.single_leader import fail_over, start_cluster


def test_result_survives_crash_before_it_is_durable() -> None:
    cluster, controller, term, workers = start_cluster(1)
    job_id = cluster.submit_job(controller, shards=2)
    cluster.run_rounds(term)
    workers[0].finish_task(f"{job_id}/0")
    response = cluster.handle_heartbeat(term, workers[0])
    # the result is not durable yet, so the worker must not forget it
    assert response is not None and not [c for c in response.commands if c.op == "forget"]
    _successor, new_term = fail_over(cluster, "node-0")
    cluster.run_rounds(new_term, 2)
    assert new_term.registry.jobs[job_id].is_done(0)
    cluster.run_rounds(new_term, 3)
    assert f"{job_id}/0" not in workers[0].tasks
    assert workers[0].started_attempts.count((f"{job_id}/0", workers[0].started_attempts[0][1])) == 1


def test_hundred_thousand_tasks_take_bits_not_objects() -> None:
    cluster, controller, term, (_worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller, shards=100_000, cpus=1.0, ramGb=0.1)
    cluster.run_rounds(term, 2)
    job = term.registry.jobs[job_id]
    assert len(job.allocations) == 16 and job.waiting_count() == 100_000 - 16
    for index in range(99_000):
        term.registry.mark_done(job, index, 0.0)
        job.unsaved_chunks.setdefault(index // term.registry.chunk_bits, 0.0)
    term.progress.save()
    assert job.unsaved_chunks == {}
    assert cluster.store.largest_value <= 4096 and cluster.store.largest_txn <= 12
    _successor, new_term = fail_over(cluster, "node-1")
    assert new_term.registry.jobs[job_id].done_count == 99_000
