"""Failed tasks: whether the failures are attributed to the machine or to the job."""

from __future__ import annotations

from grebestand.state_machines import AllocationState, JobState
from grebestand.wire.workers import ExitReason
from support.single_leader import start_cluster


def test_faulty_machine_is_drained_and_healthy_one_is_not() -> None:
    cluster, controller, term, (faulty, healthy) = start_cluster()
    for second in range(80):
        if second % 4 == 0 and second < 60:
            cluster.submit_job(controller, shards=8)
        cluster.run_rounds(term, 1)
        for worker in (faulty, healthy):
            for task in worker.running_tasks():
                worker.finish_task(task, ExitReason.ERROR if worker is faulty else ExitReason.DONE)
    inventory = term.inventory
    assert faulty.name not in inventory.by_name or inventory.by_name[faulty.name].drain_reason == "faulty"
    assert inventory.by_name[healthy.name].drain_reason is None
    assert not term.registry.jobs


def test_job_that_fails_everywhere_drains_no_machine() -> None:
    cluster, controller, term, workers = start_cluster(4)
    job_id = cluster.submit_job(controller, shards=8)
    for _ in range(60):
        cluster.run_rounds(term, 1)
        for worker in workers:
            for task in worker.running_tasks():
                worker.finish_task(task, ExitReason.ERROR)
    assert all(machine.drain_reason is None for machine in term.inventory.machines)
    assert term.registry.jobs[job_id].retry_at > 0
    assert sum(len(worker.started_attempts) for worker in workers) < 120


def test_exit_reason_decides_whether_machine_or_job_is_delayed() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    for why in (ExitReason.NO_ROOM, ExitReason.UNKNOWN, ExitReason.ALONE, ExitReason.PEERS, ExitReason.BUSY):
        job_id = cluster.submit_job(controller)
        cluster.run_rounds(term, 8)
        worker.finish_task(f"{job_id}/0", why)
        cluster.handle_heartbeat(term, worker)
        machine = term.inventory.by_name[worker.name]
        job = term.registry.jobs[job_id]
        assert job.state is JobState.WAITING or job.allocations[0].state is AllocationState.SENT
        assert (machine.blocked_until > cluster.clock.now) == (why is ExitReason.NO_ROOM)
        assert (job.retry_at > cluster.clock.now) == (why is ExitReason.UNKNOWN)
        controller.job_api.cancel(job_id)
        cluster.run_rounds(term, 3)
