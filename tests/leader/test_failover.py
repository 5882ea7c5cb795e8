"""Which tasks a new leader starts at once after a failover, and which tasks wait for reconciliation."""

from __future__ import annotations

import pytest

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import MachineState
from grebestand.wire.workers import ExitReason
from support.single_leader import fail_over, start_cluster, start_partly_unreachable_job


def test_failover_waits_for_unreachable_machine() -> None:
    """Guards against running a task twice: a silent machine may still run tasks started by the last leader."""
    cluster, _controller, _term, connected, cut_off, job_id, cut_off_tasks = start_partly_unreachable_job(24)
    successor, new_term = fail_over(cluster, "node-1")
    cluster.run_rounds(new_term, 2)
    assert new_term.registry.jobs[job_id].possible_holders
    assert not cut_off_tasks & set(connected.running_tasks())
    # a job accepted in the new term cannot run on any machine yet and need not wait
    cluster.submit_job(successor, shards=1, crew="red", cpus=0.5)
    took_over = cluster.clock.now
    while cluster.clock.now < took_over + 17.0:
        cluster.run_rounds(new_term, 1)
        assert not cut_off_tasks & set(connected.running_tasks())
    cut_off.expire_lease()
    cluster.run_rounds(new_term, 8)
    assert new_term.machine_reconciliation.all_reconciled and not new_term.registry.jobs[job_id].possible_holders


def test_only_granted_tasks_wait_for_unreachable_machine() -> None:
    """After a failover a job does not wait if the records prove that its tasks run on no unreachable machine."""
    cluster, controller, term, (connected, cut_off) = start_cluster()
    small = cluster.submit_job(controller, shards=1)
    cluster.run_rounds(term)
    holder, other = (connected, cut_off) if connected.running_tasks() else (cut_off, connected)
    other.reachable = False
    _successor, new_term = fail_over(cluster, "node-1")
    # the grant names only the machine that can be reached
    cluster.run_rounds(new_term, 2)
    assert not new_term.machine_reconciliation.all_reconciled and not new_term.registry.jobs[small].possible_holders
    holder.finish_task(f"{small}/0", ExitReason.PEERS)
    cluster.run_rounds(new_term, 8)
    assert holder.running_tasks() == [f"{small}/0"]


def test_tasks_beyond_the_grant_start_at_once_after_failover() -> None:
    cluster, controller, term, (_connected, cut_off) = start_cluster()
    wide = cluster.submit_job(controller, shards=200, cpus=1.0, ramGb=0.1)
    cluster.run_rounds(term, 8)
    granted_below = cluster.records("grants/")[wide][0]
    assert 16 <= granted_below < 200
    cut_off.reachable = False
    _successor, new_term = fail_over(cluster, "node-1")
    cluster.run_rounds(new_term, 1)
    job = new_term.registry.jobs[wide]
    assert job.possible_holders and job.startable_count() == 200 - granted_below
    assert all(job.take_waiting_task() not in range(granted_below) for _ in range(5))


@pytest.mark.parametrize("rule", ["samePlace", "scatter"])
def test_zone_bound_tasks_wait_for_unseen_tasks(rule: str) -> None:
    """Guards against a new leader that starts the remaining tasks of a zone-bound job in another zone.

    Tasks beyond the grant could start at once, but if the tasks of a job have to share a zone, or to be spread over
    zones, the tasks on an unreachable machine count too.
    """
    cluster = InMemoryCluster()
    cut_off = cluster.add_worker("n-000000", zone="a")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(controller, shards=40, **{rule: True})
    cluster.run_rounds(term, 4)
    assert cut_off.running_tasks()
    cut_off.reachable = False
    connected = cluster.add_worker("n-000001", zone="b")
    _successor, new_term = fail_over(cluster, "node-1")
    cluster.run_rounds(new_term, 8)
    job = new_term.registry.jobs[job_id]
    assert job.possible_holders and not connected.started_attempts
    cut_off.reachable = True
    cut_off.expire_lease()
    cluster.run_rounds(new_term, 8)
    assert not job.possible_holders and (connected.started_attempts or cut_off.running_tasks())


def test_task_returned_during_reconciliation_is_not_lost() -> None:
    """Guards against reconciliation replacing the list of returned tasks, which lost a task above the old grant."""
    cluster, controller, term, (connected, cut_off) = start_cluster()
    wide = cluster.submit_job(controller, shards=200, cpus=1.0, ramGb=0.1)
    cluster.run_rounds(term, 8)
    cut_off.reachable = False
    _successor, new_term = fail_over(cluster, "node-1")
    cluster.run_rounds(new_term, 1)
    registry = new_term.registry
    job = registry.jobs[wide]
    index = job.take_waiting_task()
    assert job.possible_holders and index is not None and index >= job.unseen_tasks_below
    job.requeued_tasks.append(index)
    for machine in set(job.possible_holders):
        registry.clear_possible_holder(machine)
    assert not job.possible_holders and index in job.requeued_tasks
    assert connected.running_tasks()


def test_team_limit_counts_unreconciled_machine() -> None:
    cluster, _controller, _term, (_, cut_off) = start_cluster()
    cut_off.reachable = False
    successor, new_term = fail_over(cluster, "node-1")
    cluster.run_rounds(new_term, 2)
    job_id = cluster.submit_job(successor, shards=1, crew="red", cpus=1.0)
    cluster.run_rounds(new_term, 2)
    # red may use 16 CPUs, and the silent machine has 16
    assert not new_term.registry.jobs[job_id].allocations
    cluster.run_rounds(new_term, 25)
    assert new_term.registry.jobs[job_id].allocations


def test_unreconciled_machine_of_unknown_size_exhausts_team_limit() -> None:
    """Guards against exceeding a team limit in a failover before the machine types are known."""
    cluster, controller, term, (connected, cut_off) = start_cluster()
    wide = cluster.submit_job(controller, shards=200, cpus=1.0, ramGb=0.1, crew="red")
    cluster.run_rounds(term, 8)
    assert len(connected.running_tasks()) + len(cut_off.running_tasks()) == 16
    cluster.clock.now += 13.0
    successor = InMemoryController(cluster, "node-1")
    known, successor.job_api.machine_types = successor.job_api.machine_types, lambda: None
    term = successor.lead()
    assert term.registry.teams[0].headroom((1, 0, 1)) == 0
    types = known()
    assert types is not None
    term.inventory.set_machine_types(types)
    assert term.registry.teams[0].unreconciled_usage[0] == 32_000_000
    cluster.handle_heartbeat(term, connected)
    cluster.handle_heartbeat(term, connected)
    assert term.inventory.by_name[connected.name].state is MachineState.READY
    assert len(connected.running_tasks()) + len(cut_off.running_tasks()) == 16
    assert term.registry.jobs[wide].startable_count() > 0
