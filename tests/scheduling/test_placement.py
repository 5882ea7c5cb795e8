"""Placement of single tasks: team limits between steps, and filling machines after heartbeats."""

from __future__ import annotations

import pytest

from grebestand.cluster_state.jobs import Job
from grebestand.cluster_state.machine import Machine
from grebestand.scheduling import placement
from grebestand.simulation.single_controller_cluster import SETTINGS
from support.scheduling_cluster import finish, scheduling_cluster


def test_team_limit_counts_tasks_that_started_between_two_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against exceeding a team's limit.

    Between two steps of a pass, filling a machine after its heartbeat may use up the limit.
    """
    cluster = scheduling_cluster(3, monkeypatch, SETTINGS.replace("cpus_max = 16.0", "cpus_max = 32.0"))
    scheduler = cluster.term.scheduler
    monkeypatch.setattr(placement, "STARTS_PER_STEP", 1)
    job_id = cluster.cluster.submit_job(cluster.controller, crew="red", shards=30, cpus=4.0)
    other_id = cluster.cluster.submit_job(cluster.controller, crew="red", shards=30, cpus=1.0, rank="best_effort")
    scheduler.update_targets(cluster.now)
    steps = scheduler.full_pass_steps(cluster.now)
    while not cluster.job(job_id).allocations:
        next(steps)
    scheduler.placement._start_tasks(cluster.job(other_id), cluster.machine(cluster.workers[2]), 12, cluster.now)
    cluster.begin_turn()
    finish(steps)
    # 16 + 12 of 32 CPUs were used when the pass was resumed, so one more task of 4 CPUs fits
    assert [len(cluster.job(i).allocations) for i in (job_id, other_id)] == [5, 12]


def test_heartbeat_without_changes_does_not_fill_machine_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against examining all waiting jobs at each heartbeat.

    With 1500 waiting jobs this is expensive, and useless if nothing on the machine has changed.
    """
    cluster = scheduling_cluster(1, monkeypatch)
    simulation, term, (worker,) = cluster.cluster, cluster.term, cluster.workers
    # the machine has memory for two tasks, and CPUs for three more
    simulation.submit_job(cluster.controller, shards=100, cpus=3.0, ramGb=30.0)
    simulation.run_rounds(term, 6)
    examined: list[str] = []
    slots_for = term.scheduler.placement._slots_for

    def recorded(job: Job, machine: Machine, now: float) -> int:
        examined.append(job.spec.id)
        return slots_for(job, machine, now)

    monkeypatch.setattr(term.scheduler.placement, "_slots_for", recorded)
    term.scheduling_loop.next_pass_at = term.scheduling_loop.next_targets_at = cluster.now + 100.0
    for _ in range(5):
        simulation.clock.now += 1.0
        assert simulation.handle_heartbeat(term, worker) is not None
    assert not examined
    worker.finish_task(worker.running_tasks()[0])
    simulation.clock.now += 1.0
    assert simulation.handle_heartbeat(term, worker) is not None
    assert examined
