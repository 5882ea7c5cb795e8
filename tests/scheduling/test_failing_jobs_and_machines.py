"""Task failures: faulty jobs are distinguished from faulty machines."""

from __future__ import annotations

from grebestand.wire.workers import ExitReason
from support.heartbeat_clusters import start_cluster


def test_failing_jobs_drain_no_machine_and_are_retried_within_bounds() -> None:
    """Guards against draining healthy machines because of faulty jobs, and against overly long backoff.

    Three faulty jobs on one machine used to cause the machine to be drained, and delayed each retry by two minutes.
    """
    cluster, controller, term = start_cluster(4)
    failing = {cluster.submit_job(controller, shards=12, cpus=0.5) for _ in range(3)}
    tried: dict[str, list[float]] = {job_id: [] for job_id in failing}
    for _ in range(150):
        for worker in cluster.workers.values():
            for task in worker.running_tasks():
                if (job_id := task.rpartition("/")[0]) in failing:
                    tried[job_id].append(cluster.clock.now)
                    worker.finish_task(task, ExitReason.ERROR)
        cluster.run_rounds(term, 1)
    assert len(term.inventory.machines) == 4
    assert all(machine.drain_reason is None and not machine.consecutive_failures for machine in term.inventory.machines)
    end = cluster.clock.now
    for times in tried.values():
        assert end - times[-1] < 40.0 and len([at for at in times if at > end - 60.0]) <= 4
    healthy_job = cluster.submit_job(controller, shards=4)
    cluster.run_rounds(term, 3)
    assert (
        sum(task.startswith(healthy_job) for worker in cluster.workers.values() for task in worker.running_tasks()) == 4
    )


def test_failing_job_gets_all_tasks_back_soon_after_one_runs() -> None:
    cluster, controller, term = start_cluster(4)
    job_id = cluster.submit_job(controller, shards=12)
    for _ in range(40):
        for worker in cluster.workers.values():
            for task in worker.running_tasks():
                worker.finish_task(task, ExitReason.ERROR)
        cluster.run_rounds(term, 1)
    assert term.registry.jobs[job_id].suspected_faulty
    cluster.run_rounds(term, 45)
    assert sum(len(worker.running_tasks()) for worker in cluster.workers.values()) == 12


def test_faulty_machine_is_found_among_failing_jobs() -> None:
    cluster, controller, term = start_cluster(4)
    faulty = cluster.workers["n-000000"]
    failing = [cluster.submit_job(controller, shards=2, cpus=4.0) for _ in range(2)]
    for second in range(60):
        if second % 4 == 0:
            cluster.submit_job(controller, shards=20, cpus=4.0)
        for worker in cluster.workers.values():
            for task in worker.running_tasks():
                if worker is faulty or task.rpartition("/")[0] in failing:
                    worker.finish_task(task, ExitReason.ERROR)
                elif second % 5 == 0:
                    worker.finish_task(task)
        cluster.run_rounds(term, 1)
    assert [machine.name for machine in term.inventory.machines if machine.drain_reason == "faulty"] == [faulty.name]
