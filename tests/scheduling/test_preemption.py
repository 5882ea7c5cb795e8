"""Preemption for single tasks."""

from __future__ import annotations

import pytest

from grebestand.cluster_state.jobs import Allocation, Job
from grebestand.cluster_state.machine import Machine
from support.scheduling_cluster import scheduling_cluster


def test_similar_jobs_share_one_list_of_machines_to_clear(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each of 80 jobs that may displace lower work once examined every machine for it in every pass."""
    cluster = scheduling_cluster(4, monkeypatch)
    world, scheduler = cluster.world, cluster.term.scheduler
    world.accept(cluster.controller, shards=64, cpus=1.0, ramGb=0.1, rank="best_effort")
    world.settle(cluster.term, 5)
    assert sum(len(worker.running()) for worker in cluster.workers) == 64
    high = [world.accept(cluster.controller, cpus=2.0, crew="red", rank="high") for _ in range(6)]
    world.clock.now += 30.0  # they wait for a while before they preempt, and no longer
    for job_id in high:
        cluster.job(job_id).waiting_since -= 60.0
    examined: list[str] = []
    eviction = scheduler.preemption.eviction

    def recorded(job: Job, machine: Machine, tasks: int, now: float) -> tuple[list[Allocation], float] | None:
        examined.append(job.spec.id)
        return eviction(job, machine, tasks, now)

    monkeypatch.setattr(scheduler.preemption, "eviction", recorded)
    scheduler.place(cluster.now)
    reserved = {machine.reserved_for for machine in cluster.term.inventory.machines} - {None}
    assert len(reserved) == 4 and reserved <= set(high)  # a machine each, and no machine for two of them
    assert len(examined) <= 8  # once for each of the four machines, and once more when it is used
