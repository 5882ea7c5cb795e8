"""Handling of single heartbeats: their effect on the cluster state, and the responses to them."""

from __future__ import annotations

import json

import msgspec
import pytest

from grebestand.api.heartbeat_api import HeartbeatApi
from grebestand.cluster_state.jobs import Allocation
from grebestand.cluster_state.machine import Machine
from grebestand.heartbeats import task_reconciliation
from grebestand.simulation.single_controller_cluster import InMemoryController
from grebestand.state_machines import AllocationState, LeaderState, MachineState
from grebestand.wire.jobs import split_task
from grebestand.wire.workers import Command, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus
from support.single_leader import fail_over, start_cluster, start_partly_unreachable_job


def test_stale_heartbeat_changes_nothing() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    old = worker.next_heartbeat()
    job_id = cluster.submit_job(controller)
    cluster.run_rounds(term)
    allocation = term.registry.jobs[job_id].allocations[0]
    assert allocation.state is AllocationState.RUNNING
    response = term.handle_heartbeat(old)
    assert isinstance(response, HeartbeatResponse) and not response.commands
    assert term.registry.jobs[job_id].allocations[0] is allocation


def test_lost_start_is_resent_with_same_attempt() -> None:
    """Only a newer heartbeat shows that a start command was lost.

    The answer to a direct query may be sent before the response with the start command arrives.
    """
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller)
    cluster.handle_heartbeat(term, worker, lose=True)
    allocation = term.registry.jobs[job_id].allocations[0]
    assert allocation.state is AllocationState.SENT
    # the grant is durable before the start command is sent, so that a later leader looks for the task
    assert job_id in cluster.records("grants/")
    term.machine_reconciliation.apply_direct_answer(
        term.inventory.by_name[worker.name], worker.next_heartbeat(), (1, 0)
    )
    assert allocation.sent_sequence > 0
    cluster.handle_heartbeat(term, worker)
    assert worker.started_attempts == [(f"{job_id}/0", allocation.attempt)]


def test_cancellation_stops_start_in_flight() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller)
    in_flight = term.handle_heartbeat(worker.next_heartbeat())
    assert isinstance(in_flight, HeartbeatResponse) and in_flight.commands
    InMemoryController(cluster, "node-1").job_api.cancel(job_id)
    term.job_watch.watch()
    assert term.registry.teams[1].used[0] > 0  # the start command may still arrive, so the task counts
    worker.apply_response(in_flight)
    assert worker.running_tasks()
    cluster.run_rounds(term, 3)
    assert not worker.running_tasks()
    assert job_id not in term.registry.jobs
    assert term.registry.teams[1].used == [0, 0]


def test_silent_machine_keeps_tasks_until_lease_expiry() -> None:
    cluster, _controller, term, connected, cut_off, job_id, cut_off_tasks = start_partly_unreachable_job()
    cluster.run_rounds(term, 19)
    assert not cut_off_tasks & set(connected.running_tasks())
    assert term.inventory.by_name[cut_off.name].state is MachineState.SUSPECT
    for task in connected.running_tasks():
        connected.finish_task(task)
    cluster.run_rounds(term, 10)
    assert cut_off_tasks & set(connected.running_tasks())
    assert job_id in term.registry.jobs


def test_new_epoch_releases_earlier_tasks() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller)
    cluster.run_rounds(term)
    first = worker.started_attempts[-1][1]
    worker.expire_lease()
    cluster.run_rounds(term, 8)
    assert worker.running_tasks() == [f"{job_id}/0"] and worker.started_attempts[-1][1] > first


def test_task_of_unknown_job_is_stopped_and_forgotten() -> None:
    cluster, _controller, term, (worker,) = start_cluster(1)
    worker.tasks["j-999999/0"] = TaskStatus("j-999999/0", 7, TaskPhase.RUNNING)
    cluster.run_rounds(term, 3)
    assert not worker.tasks


def test_heartbeat_with_null_fields_is_answered() -> None:
    _cluster, _controller, term, _ = start_cluster(1)
    body = json.dumps({
        "vessel": "n-000077", "addr": "x:1", "hull": "m4", "quay": "b", "driftwood": False, "watch": 1, "tally": 1,
        "helm": 0, "recallS": None, "shards": [], "unknown": {"x": 1},
    })  # fmt: skip
    response = term.handle_heartbeat(msgspec.json.decode(body, type=Heartbeat))
    assert isinstance(response, HeartbeatResponse) and response.token == term.token


def test_unchanged_heartbeat_splits_no_names_and_moves_no_allocation(monkeypatch: pytest.MonkeyPatch) -> None:
    """A heartbeat without changes must cause no work for each task, as the leader handles hundreds per second."""
    cluster, controller, term, (worker,) = start_cluster(1)
    cluster.submit_job(controller, shards=16)
    cluster.run_rounds(term, 4)
    assert len(worker.running_tasks()) == 16
    splits: list[str] = []
    moves: list[object] = []
    move = term.registry.change_allocation_state

    def counted_split(name: str) -> tuple[str, int]:
        splits.append(name)
        return split_task(name)

    def counted_move(allocation: Allocation, new: AllocationState, now: float) -> None:
        moves.append(new)
        move(allocation, new, now)

    monkeypatch.setattr(task_reconciliation, "split_task", counted_split)
    monkeypatch.setattr(term.registry, "change_allocation_state", counted_move)
    cluster.clock.now += 3.0
    response = cluster.handle_heartbeat(term, worker)
    assert response is not None and not response.commands
    assert not splits and not moves
    worker.finish_task(worker.running_tasks()[0])
    cluster.clock.now += 3.0
    assert cluster.handle_heartbeat(term, worker) is not None
    assert len(splits) <= 2 and len(moves) == 1


def test_response_is_dropped_if_authority_ends_while_it_is_built(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader must check its lease again just before it sends a response.

    The start commands of a dropped response are sent again later.
    """
    cluster, controller, term, (worker,) = start_cluster(1)
    api = HeartbeatApi("node-0", controller.election, lambda: term)
    job_id = cluster.submit_job(controller)
    commands = term.command_builder.build_commands

    def slow(machine: Machine, heartbeat: Heartbeat, now: float, starts: bool = True) -> list[Command]:
        built = commands(machine, heartbeat, now, starts)
        cluster.clock.now += 30.0
        return built

    monkeypatch.setattr(term.command_builder, "build_commands", slow)
    assert api.handle_heartbeat(msgspec.json.encode(worker.next_heartbeat())).status == 503
    assert controller.election.state is LeaderState.PAUSED
    monkeypatch.undo()
    assert term.registry.jobs[job_id].allocations[0].state is AllocationState.SENT and not worker.started_attempts
    # the leader lease has expired by now, so another controller leads, and the task is started once
    _successor, new_term = fail_over(cluster, "node-1")
    cluster.run_rounds(new_term, 6)
    assert [task for task, _ in worker.started_attempts] == [f"{job_id}/0"]
