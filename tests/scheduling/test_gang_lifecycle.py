"""The lifecycle of gangs: when a gang starts, and how it restarts."""

from __future__ import annotations

import pytest

from grebestand.cluster_state.jobs import Job
from grebestand.cluster_state.machine import Machine
from grebestand.scheduling.gang_scheduling import GangCandidate, GangPlacement
from grebestand.wire.workers import ExitReason, TaskPhase
from support.single_leader import start_cluster


def test_gang_that_loses_a_task_restarts_whole_with_new_attempt() -> None:
    cluster, controller, term, workers = start_cluster(3)
    job_id = cluster.submit_job(controller, shape="ensemble", shards=3, cpus=15.0)
    cluster.run_rounds(term)
    assert [len(worker.running_tasks()) for worker in workers] == [1, 1, 1]
    first = {worker.started_attempts[-1][1] for worker in workers}
    assert len(first) == 1
    workers[0].finish_task(workers[0].running_tasks()[0], ExitReason.PEERS)
    job = term.registry.jobs[job_id]
    cluster.handle_heartbeat(term, workers[0])
    assert all(p.stop_reason for p in job.allocations.values())
    assert not any(p.attempt not in first for p in job.allocations.values())
    cluster.run_rounds(term, 8)
    second = {worker.started_attempts[-1][1] for worker in workers}
    assert len(second) == 1 and second != first


def test_gang_waits_until_all_slots_are_free_at_once() -> None:
    cluster, controller, term, _workers = start_cluster(2)
    cluster.submit_job(controller, shape="ensemble", shards=1, cpus=15.0, rank="high")
    cluster.run_rounds(term)
    job_id = cluster.submit_job(controller, shape="ensemble", shards=2, cpus=15.0)
    cluster.run_rounds(term, 3)
    job = term.registry.jobs[job_id]
    assert not job.allocations
    assert "free at once" in job.pending_reason or "cleared" in job.pending_reason


def test_gang_waits_for_stopped_tasks_to_exit() -> None:
    """Guards against starting a gang on capacity whose stopped tasks have not exited.

    The worker refuses such a start, which breaks the gang.
    """
    cluster, controller, term, (worker,) = start_cluster(1)
    cluster.submit_job(controller, shards=8, cpus=2.0, rank="best_effort", markS=10.0, stowS=5.0)
    cluster.run_rounds(term, 8)
    low = worker.running_tasks()
    assert low
    gang = cluster.submit_job(controller, shape="ensemble", shards=1, cpus=15.0)
    term.scheduling_loop.step(cluster.clock.now)
    cluster.clock.now += 2.0  # the tasks have received the stop command and are still saving
    for task in low:
        worker.tasks[task].state = TaskPhase.SAVING
    term.machine_reconciliation.apply_direct_answer(
        term.inventory.by_name[worker.name], worker.next_heartbeat(), (1, 0)
    )
    term.registry.changed_since_scheduling = True
    term.scheduling_loop.step(cluster.clock.now)
    assert not term.registry.jobs[gang].allocations
    for task in low:
        worker.finish_task(task, ExitReason.STOPPED)
    cluster.run_rounds(term, 3)
    assert worker.running_tasks() == [f"{gang}/0"]


def test_gang_member_with_image_starts_when_all_others_have_it() -> None:
    """Guards against a gang that restarts forever while some of its machines fetch the image.

    A task on a machine with the image used to wait for the other tasks from the start. If their fetches took longer
    than `gang_wait_s`, the wait timed out and the whole gang restarted.
    """
    cluster, controller, term, workers = start_cluster(2)
    first = cluster.submit_job(controller, shards=1, cpus=15.0, cargo="big", pullGb=40.0)
    cluster.run_rounds(term, 3)
    with_image, without_image = workers if workers[0].running_tasks() else reversed(workers)
    with_image.finish_task(f"{first}/0")
    cluster.run_rounds(term, 4)
    gang = cluster.submit_job(controller, shape="ensemble", shards=2, cpus=15.0, cargo="big", pullGb=40.0)
    cluster.clock.now += 1.0
    for worker in (with_image, without_image, with_image, without_image):
        cluster.handle_heartbeat(term, worker)
        for status in worker.tasks.values():
            if status.state is TaskPhase.RUNNING:
                status.state = TaskPhase.FETCHING
    assert len(without_image.running_tasks()) == 1 and not with_image.running_tasks()
    (status,) = without_image.tasks.values()
    status.state = TaskPhase.WAITING
    cluster.clock.now += 1.0
    cluster.handle_heartbeat(term, without_image)
    cluster.handle_heartbeat(term, with_image)
    assert [t.split("/")[0] for t in with_image.running_tasks()] == [gang]


def test_broken_gang_lets_slow_machine_finish_its_fetch() -> None:
    cluster, controller, term, (fast, slow) = start_cluster(2)
    gang = cluster.submit_job(controller, shape="ensemble", shards=2, cpus=15.0, cargo="big", pullGb=40.0)
    cluster.run_rounds(term, 2)
    for worker, state in ((fast, TaskPhase.WAITING), (slow, TaskPhase.FETCHING)):
        (status,) = worker.tasks.values()
        status.state = state
        cluster.handle_heartbeat(term, worker)
    (task,) = fast.tasks
    fast.finish_task(task, ExitReason.ALONE)
    cluster.run_rounds(term, 3)
    assert (
        len(slow.running_tasks()) == 1 and not fast.running_tasks()
    )  # no task starts until the old attempt's task has exited
    (status,) = slow.tasks.values()
    old = status.attempt
    status.state = TaskPhase.WAITING
    cluster.run_rounds(term, 6)
    assert {a for t, a in slow.started_attempts + fast.started_attempts if t.startswith(gang)} > {old}
    assert len(fast.running_tasks()) == len(slow.running_tasks()) == 1


def test_only_smallest_of_similar_gangs_searches_for_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against examining every machine for every waiting gang in each pass.

    With a zone unreachable, thirty gangs waited in one run. A pass that could not place a gang need not search for
    another one of at least the same size.
    """
    cluster, controller, term, (worker, _other) = start_cluster(2)
    for _ in range(2):
        cluster.submit_job(controller, shape="ensemble", shards=1, cpus=16.0)
    cluster.run_rounds(term, 4)
    waiting = [cluster.submit_job(controller, shape="ensemble", shards=n, cpus=16.0) for n in (2, 2, 1, 1, 2, 1)]
    searched_for: list[str] = []
    candidates_on = term.scheduler.gangs.candidates_on

    def recorded(
        job: Job, machine: Machine, table: dict[int, tuple[int, list[GangPlacement]]], now: float
    ) -> list[GangCandidate]:
        searched_for.append(job.spec.id)
        return candidates_on(job, machine, table, now)

    monkeypatch.setattr(term.scheduler.gangs, "candidates_on", recorded)
    term.scheduler.place(cluster.clock.now)
    assert len(set(searched_for)) <= 2
    assert all("not all slots" in term.registry.jobs[i].pending_reason for i in waiting)
    # the freed capacity suffices for one gang, which the next pass starts
    worker.finish_task(worker.running_tasks()[0])
    cluster.run_rounds(term, 6)
    assert sum(1 for i in waiting if term.registry.jobs[i].allocations) == 1
