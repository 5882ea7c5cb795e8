"""Which heartbeats are evidence of the current state of a machine: delayed copies, restarts, results and tokens."""

from __future__ import annotations

import json

import msgspec
import pytest

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import LeaderState, MachineState
from grebestand.wire.workers import ExitReason
from support.heartbeat_clusters import make_unreachable, start_cluster


def test_job_start_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    cluster = InMemoryCluster()
    workers = [cluster.add_worker(f"n-{i:06d}") for i in range(2)]
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    gang = cluster.submit_job(controller, shape="ensemble", shards=2, cpus=4.0)
    cluster.run_rounds(term, 2)
    for worker in workers:
        for task in worker.running_tasks():
            worker.finish_task(task)
    cluster.run_rounds(term, 2)
    start_events = [record.getMessage() for record in caplog.records if "job_started" in record.getMessage()]
    assert len(start_events) == 1 and start_events[0].startswith(f"job_started job_id={gang} wait_s=")
    assert start_events[0].endswith(" kind=gang tasks=2")
    messages = [record.getMessage() for record in caplog.records]
    assert f"job_accepted job_id={gang} kind=gang tasks=2 class=train team=blue" in messages


def test_delayed_heartbeat_revives_neither_deleted_nor_expired_machine() -> None:
    """A delayed heartbeat of a deleted machine must not add the machine again, which would bring back its tasks."""
    cluster, controller, term = start_cluster()
    deleted, expired = cluster.workers.values()
    job_id = cluster.submit_job(controller, shards=20)
    cluster.run_rounds(term, 2)
    held_tasks = set(deleted.running_tasks()) | set(expired.running_tasks())
    delayed_heartbeats = [deleted.next_heartbeat(), expired.next_heartbeat()]  # sent and not delivered yet
    deleted.reachable = expired.reachable = False
    del cluster.workers[deleted.name]
    term.deprovisioning._remove([deleted.name])
    cluster.run_rounds(term, 25)
    assert term.inventory.by_name[expired.name].state is MachineState.LEASE_EXPIRED
    for delayed in delayed_heartbeats:
        term.handle_heartbeat(delayed)
    assert deleted.name not in term.inventory.by_name
    assert term.inventory.by_name[expired.name].state is MachineState.LEASE_EXPIRED
    job = term.registry.jobs[job_id]
    assert held_tasks and not job.allocations and job.startable_count() == 20


def test_delayed_heartbeat_of_earlier_term_reconciles_nothing() -> None:
    """A delayed heartbeat of an earlier term must not add a task to a machine that the task has left since.

    Otherwise the task would be stopped on the machine where it runs.
    """
    cluster, controller, term = start_cluster()
    first, second = cluster.workers.values()
    job_id = cluster.submit_job(controller, shards=1)
    cluster.run_rounds(term, 2)
    holder, other = (first, second) if first.running_tasks() else (second, first)
    delayed = holder.next_heartbeat()
    holder.finish_task(f"{job_id}/0", ExitReason.STOPPED)
    cluster.run_rounds(term, 3)
    holder, other = (first, second) if first.running_tasks() else (second, first)
    moved = delayed.machine != holder.name
    cluster.clock.now += 13.0
    next_controller = InMemoryController(cluster, "node-1")
    next_term = next_controller.lead()
    # a delayed heartbeat of a machine that was deleted before the new term began
    from_unknown_machine = msgspec.structs.replace(delayed, machine="n-000777", addr="n-000777:1")
    for report in (delayed, from_unknown_machine):
        next_term.handle_heartbeat(report)
    any_accepted = next_term.heartbeat_handler.heartbeat_received_in_term
    cluster.run_rounds(next_term, 3)
    assert not any_accepted and "n-000777" not in cluster.records("machines/")
    assert (
        holder.running_tasks() == [f"{job_id}/0"] and not other.running_tasks() and (moved or holder.started_attempts)
    )


def test_new_machine_gets_tasks_with_its_second_heartbeat() -> None:
    """A machine must get a durable record before it acknowledges the token.

    Otherwise it would get its first tasks with its third heartbeat, one heartbeat interval later.
    """
    cluster, controller, term = start_cluster(1)
    cluster.submit_job(controller, shards=40)
    worker = cluster.add_worker("n-000009")
    cluster.run_rounds(term, 2)
    assert len(worker.running_tasks()) == 16


def test_result_counts_from_a_delayed_heartbeat() -> None:
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    job_id = cluster.submit_job(controller)
    cluster.run_rounds(term, 2)
    worker.finish_task(f"{job_id}/0")
    delayed = worker.next_heartbeat()
    worker.reachable = False
    cluster.run_rounds(term, 30)
    term.handle_heartbeat(delayed)
    cluster.run_rounds(term, 1)
    assert json.loads(controller.job_api.poll(job_id).body)["tide"] == "done"


def test_token_that_no_leader_had_does_not_end_the_term() -> None:
    """A worker that reports a higher token than any leader has had must not end the term.

    The leader pauses and verifies its lease once, and then ignores the invalid token.
    """
    cluster, _controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    worker.token = 1 << 50
    assert term.handle_heartbeat(worker.next_heartbeat()) is None and not term.writer.is_leader()
    assert term.election.renew() and term.election.state is LeaderState.PAUSED
    term.election.change_state(LeaderState.LEADING, "test")
    assert term.handle_heartbeat(worker.next_heartbeat()) is None and term.writer.is_leader()


def test_unreachable_machine_does_not_block_jobs_after_failover() -> None:
    """Heartbeats with an older token must not extend the lease of a machine that receives no responses.

    Otherwise the machine would never be reconciled, and jobs whose tasks it may run would wait forever.
    """
    cluster, controller, term = start_cluster()
    unreachable, _other = cluster.workers.values()
    job_id = cluster.submit_job(controller, shards=32)
    cluster.run_rounds(term, 3)
    make_unreachable(unreachable)
    cluster.clock.now += 13.0
    next_controller = InMemoryController(cluster, "node-1")
    next_term = next_controller.lead()
    for second in range(40):
        cluster.run_rounds(next_term, 1)
        if not second % 3:
            next_term.handle_heartbeat(unreachable.next_heartbeat())
    assert next_term.machine_reconciliation.all_reconciled and not next_term.registry.jobs[job_id].possible_holders


@pytest.mark.parametrize("counts_start_over", [True, False])
def test_restarted_worker_is_reconciled_within_seconds(counts_start_over: bool) -> None:
    """Heartbeats of a worker whose counts start over must not be taken for delayed copies.

    Otherwise the worker's tasks would be started again only after its lease had expired.
    """
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    job_id = cluster.submit_job(controller, shards=4)
    cluster.run_rounds(term, 3)
    worker.tasks.clear()
    if counts_start_over:
        worker.epoch, worker.sequence, worker.token = 1, 0, 0
    cluster.run_rounds(term, 5)
    assert sorted(worker.running_tasks()) == [f"{job_id}/{i}" for i in range(4)]
    assert len(worker.started_attempts) == 8  # each of the 4 tasks was started exactly once more
