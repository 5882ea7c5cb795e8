"""Gang scheduling: changes during a search, early end of a search, and the log event of a start."""

from __future__ import annotations

import logging

import pytest

from grebestand.cluster_state.jobs import Job
from grebestand.cluster_state.machine import Machine
from grebestand.scheduling import gang_scheduling
from grebestand.scheduling.gang_scheduling import GangCandidate, PlacementTable
from grebestand.state_machines import MachineState
from grebestand.wire.workers import TaskPhase
from support.scheduling_cluster import WIDE_LIMIT_SETTINGS, SchedulingCluster, advance, finish, scheduling_cluster


def accept_gang(cluster: SchedulingCluster, tasks: int, cpus: float = 16.0) -> str:
    return cluster.cluster.submit_job(cluster.controller, shape="ensemble", shards=tasks, cpus=cpus)


def test_gang_does_not_start_on_machine_that_became_suspect_during_search(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against starting a gang on the basis of outdated results.

    Heartbeats are handled between the slices of a pass over 5000 machines, so selected machines may have changed
    before the start.
    """
    cluster = scheduling_cluster(3, monkeypatch)
    job_id = accept_gang(cluster, tasks=2)
    steps = cluster.term.scheduler.full_pass_steps(cluster.now)
    advance(steps, 4)  # one step for the job and one for each of the three machines
    first = cluster.machine(cluster.workers[0])
    cluster.term.inventory.change_state(first, MachineState.SUSPECT, cluster.now)
    cluster.begin_turn()
    finish(steps)
    allocations = cluster.job(job_id).allocations
    others = [cluster.machine(worker).index for worker in cluster.workers[1:]]
    assert sorted(allocation.machine_index for allocation in allocations.values()) == others


def test_gang_waits_if_machines_left_after_change_are_not_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = scheduling_cluster(2, monkeypatch)
    job_id = accept_gang(cluster, tasks=2)
    steps = cluster.term.scheduler.full_pass_steps(cluster.now)
    advance(steps, 3)
    cluster.machine(cluster.workers[1]).drain_reason = "recall"
    cluster.begin_turn()
    finish(steps)
    job = cluster.job(job_id)
    assert not job.allocations and "not all slots" in job.pending_reason


def test_gang_cancelled_during_search_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = scheduling_cluster(2, monkeypatch)
    job_id = accept_gang(cluster, tasks=2)
    job = cluster.job(job_id)
    steps = cluster.term.scheduler.full_pass_steps(cluster.now)
    advance(steps, 2)
    assert cluster.controller.job_api.cancel(job_id).status == 200
    cluster.term.job_watch.watch()
    cluster.begin_turn()
    finish(steps)
    assert not job.allocations and job_id not in cluster.term.registry.jobs


def test_search_for_gang_ends_once_there_is_enough_to_choose_from(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against examining every machine although the first ones suffice.

    In an empty cluster of thousands of machines, this would cost milliseconds for each gang.
    """
    cluster = scheduling_cluster(12, monkeypatch, WIDE_LIMIT_SETTINGS)
    scheduler = cluster.term.scheduler
    monkeypatch.setattr(gang_scheduling, "SUFFICIENT_CHEAPEST_SLOTS", 2)
    examined: set[int] = set()
    candidates_on = scheduler.gangs.candidates_on

    def recorded(job: Job, machine: Machine, table: PlacementTable, now: float) -> list[GangCandidate]:
        examined.add(machine.index)
        return candidates_on(job, machine, table, now)

    monkeypatch.setattr(scheduler.gangs, "candidates_on", recorded)
    accept_gang(cluster, tasks=1, cpus=15.0)
    scheduler.place(cluster.now)
    assert len(examined) == 4  # `SUFFICIENT_CHEAPEST_SLOTS_PER_TASK` machines for the only task
    accept_gang(cluster, tasks=9, cpus=15.0)
    scheduler.place(cluster.now)
    jobs = cluster.term.registry.jobs.values()
    assert all(job.allocations for job in jobs) and len(examined) == 12


def test_start_of_gang_logs_how_long_each_stage_took(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    cluster = scheduling_cluster(2, monkeypatch)
    caplog.set_level(logging.INFO)
    job_id = accept_gang(cluster, tasks=2)
    cluster.cluster.run_rounds(cluster.term, 2)
    for phase, rounds in ((TaskPhase.FETCHING, 2), (TaskPhase.RUNNING, 3)):
        for worker in cluster.workers:
            for status in worker.tasks.values():
                status.state = phase
        cluster.cluster.run_rounds(cluster.term, rounds)
    events = [r.getMessage() for r in caplog.records if "gang_started" in r.getMessage()]
    assert len(events) == 1 and events[0].startswith(f"gang_started job_id={job_id} tasks=2 placement_s=1 ")
    assert events[0].endswith(" image_s=1")
