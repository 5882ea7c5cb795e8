"""The audit of jobs finds and repairs defects of the cluster state."""

from __future__ import annotations

from support.heartbeat_clusters import start_cluster


def test_task_left_on_a_deleted_machine_runs_again() -> None:
    cluster, controller, term = start_cluster(2)
    job_id = cluster.submit_job(controller, shards=2)
    cluster.run_rounds(term, 2)
    job = term.registry.jobs[job_id]
    allocation = next(iter(job.allocations.values()))
    machine = term.inventory.find_by_index(allocation.machine_index)
    assert machine is not None
    del machine.allocations[allocation.name]  # deliberate defect: the machine is deleted, and the allocation stays
    del cluster.workers[machine.name]
    term.deprovisioning._remove([machine.name])
    for _ in range(6):
        term.job_audit.step()
        cluster.run_rounds(term, 2)
    assert term.job_audit.defects_repaired == 1 and len(cluster.workers) == 1
    running = sorted(task for worker in cluster.workers.values() for task in worker.running_tasks())
    assert running == [f"{job_id}/0", f"{job_id}/1"]


def test_job_of_an_unread_record_runs_once_it_can_run_nowhere_else() -> None:
    cluster, controller, term = start_cluster(2)
    job_id = cluster.submit_job(controller, shards=2)
    job = term.registry.jobs.pop(job_id)  # deliberate defect: the job is not in the registry
    term.registry.teams[job.team_index].used[:] = [0, 0]
    for _ in range(20):
        cluster.run_rounds(term, 1)
        term.job_audit.step()
    assert term.job_audit.defects_repaired == 1 and not any(
        worker.running_tasks() for worker in cluster.workers.values()
    )
    for _ in range(20):
        cluster.run_rounds(term, 1)
        term.job_audit.step()
    assert (
        sum(len(worker.running_tasks()) for worker in cluster.workers.values()) == 2
        and term.job_audit.defects_repaired == 1
    )


def test_job_without_a_record_does_not_go_on() -> None:
    cluster, controller, term = start_cluster(1)
    job_id = cluster.submit_job(controller, shards=2)
    cluster.run_rounds(term, 2)
    cluster.store.data.pop(f"live/{job_id}")  # removed without a change event for the watch
    cluster.run_rounds(term, 1)
    for _ in range(4):
        term.job_audit.step()
        cluster.run_rounds(term, 2)
    assert job_id not in term.registry.jobs and not cluster.workers["n-000000"].running_tasks()


def test_task_in_no_list_is_found() -> None:
    cluster, controller, term = start_cluster(1)
    job_id = cluster.submit_job(controller, shards=40)
    cluster.run_rounds(term, 2)
    job = term.registry.jobs[job_id]
    job.first_unallocated = 40  # deliberate defect: the cursor skips all waiting tasks
    worker = cluster.workers["n-000000"]
    for _ in range(16):
        for task in worker.running_tasks()[:1]:
            worker.finish_task(task)
        cluster.run_rounds(term, 1)
    before = len(worker.started_attempts)
    for _ in range(90):
        cluster.run_rounds(term, 1)
        term.job_audit.step()
    assert term.job_audit.defects_repaired == 1 and len(worker.started_attempts) > before


def test_healthy_jobs_are_left_alone() -> None:
    cluster, controller, term = start_cluster(2)
    for shards in (1, 30, 200):
        cluster.submit_job(controller, shards=shards, ramGb=0.1)
    cluster.submit_job(controller, shape="ensemble", shards=2, cpus=15.0)
    for second in range(120):
        for worker in cluster.workers.values():
            if second % 3 == 0:
                for task in worker.running_tasks()[:2]:
                    worker.finish_task(task)
        cluster.run_rounds(term, 1)
        term.job_audit.step()
    assert not term.job_audit.defects_repaired
