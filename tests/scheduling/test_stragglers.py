"""Slow machines: their estimated slowness, draining and return."""

from __future__ import annotations

import pytest

from grebestand.cluster_state.machine import Machine
from grebestand.wire.workers import ExitReason
from support.scheduling_cluster import WIDE_LIMIT_SETTINGS, SchedulingCluster, logged_events, scheduling_cluster

JOBS = 6
#: Number of the job that takes ten times as long on every machine.
SLOW_JOB = 1


def finish_tasks(cluster: SchedulingCluster, started: dict[str, list[str]], workers: range) -> None:
    for worker in (cluster.workers[i] for i in workers):
        for task in started[worker.name]:
            if task in worker.tasks and worker.tasks[task].why is None:
                worker.finish_task(task, ExitReason.DONE)


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> SchedulingCluster:
    """Return a cluster that has run several jobs, whose tasks take twice as long on the last machine as on the others.

    One of the jobs is slow on every machine, which must not affect any machine's estimate.
    """
    cluster = scheduling_cluster(6, monkeypatch, WIDE_LIMIT_SETTINGS)
    simulation, term = cluster.cluster, cluster.term
    for number in range(JOBS):
        job_id = simulation.submit_job(cluster.controller, shards=24, cpus=4.0)
        simulation.run_rounds(term, 3)
        started = {w.name: [task for task in w.running_tasks() if task.startswith(job_id)] for w in cluster.workers}
        run_time_s = 100 if number == SLOW_JOB else 10
        simulation.run_rounds(term, run_time_s)
        finish_tasks(cluster, started, range(5))
        simulation.run_rounds(term, run_time_s)
        finish_tasks(cluster, started, range(5, 6))
        simulation.run_rounds(term, 4)
    return cluster


@pytest.fixture
def slow_machine(cluster: SchedulingCluster) -> Machine:
    return cluster.machine(cluster.workers[5])


def test_slow_machine_is_told_from_job_that_is_slow_everywhere(
    cluster: SchedulingCluster, slow_machine: Machine
) -> None:
    assert slow_machine.slowness > 1.5
    assert all(cluster.machine(worker).slowness < 1.3 for worker in cluster.workers[:5])


def test_slow_machine_is_drained_once(
    cluster: SchedulingCluster, slow_machine: Machine, caplog: pytest.LogCaptureFixture
) -> None:
    assert slow_machine.drain_reason == "slow"
    records = [*caplog.get_records("setup"), *caplog.records]
    drained = logged_events(records, "machine_drained")
    assert [(fields["machine"], fields["reason"]) for fields in drained] == [(slow_machine.name, "slow")]


def test_slow_machine_is_returned_once_it_is_empty(cluster: SchedulingCluster, slow_machine: Machine) -> None:
    cluster.term.deprovisioning.return_idle()
    assert cluster.cluster.cloud.deleted_machines == [slow_machine.name]
