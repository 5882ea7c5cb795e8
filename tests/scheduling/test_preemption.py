"""Preemption for single tasks."""

from __future__ import annotations

import pytest

from grebestand.cluster_state.jobs import Allocation, Job
from grebestand.cluster_state.machine import Machine
from support.scheduling_cluster import scheduling_cluster


def test_similar_jobs_share_one_list_of_machines_to_clear(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against examining every machine for every waiting job in each pass.

    Jobs of the same type that may preempt the same tasks share one list of machines. Without sharing, each of 80
    waiting jobs examined every machine.
    """
    cluster = scheduling_cluster(4, monkeypatch)
    simulation, scheduler = cluster.cluster, cluster.term.scheduler
    simulation.submit_job(cluster.controller, shards=64, cpus=1.0, ramGb=0.1, rank="best_effort")
    simulation.run_rounds(cluster.term, 5)
    assert sum(len(worker.running_tasks()) for worker in cluster.workers) == 64
    high = [simulation.submit_job(cluster.controller, cpus=2.0, crew="red", rank="high") for _ in range(6)]
    simulation.clock.now += 30.0  # longer than the minimum wait before a preemption
    for job_id in high:
        cluster.job(job_id).waiting_since -= 60.0
    examined: list[str] = []
    eviction = scheduler.preemption.find_victims

    def recorded(job: Job, machine: Machine, tasks: int, now: float) -> tuple[list[Allocation], float] | None:
        examined.append(job.spec.id)
        return eviction(job, machine, tasks, now)

    monkeypatch.setattr(scheduler.preemption, "find_victims", recorded)
    scheduler.place(cluster.now)
    reserved = {machine.reserved_for for machine in cluster.term.inventory.machines} - {None}
    assert len(reserved) == 4 and reserved <= set(high)  # each machine is reserved for a different job
    assert len(examined) <= 8  # once for the list and once when the machine is cleared, for each of four machines
