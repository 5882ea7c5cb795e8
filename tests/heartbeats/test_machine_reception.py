"""Machines that receive no responses, and controllers that were paused."""

from __future__ import annotations

from grebestand.state_machines import MachineState, Reception
from support.heartbeat_clusters import make_unreachable, reception_and_state, start_cluster


def test_unreachable_machine_gets_no_tasks_until_it_is_reachable() -> None:
    """Heartbeats of a machine that receives no responses must not keep it available for tasks.

    Otherwise tasks placed there would wait forever, while their start commands are sent again and again.
    """
    cluster, controller, term = start_cluster()
    unreachable, _other = cluster.workers.values()
    make_unreachable(unreachable)
    job_id = cluster.submit_job(controller, shards=32)
    for _ in range(9):
        cluster.run_rounds(term, 1)
        term.handle_heartbeat(unreachable.next_heartbeat())
    machine = term.inventory.by_name[unreachable.name]
    assert reception_and_state(machine) == (Reception.UNREACHABLE, MachineState.SUSPECT)
    assert not term.inventory.counts_in_plan(machine)
    assert (
        term.handle_heartbeat(unreachable.next_heartbeat()) is None
    )  # no response, which could renew the machine's lease
    allocations = term.registry.jobs[job_id].allocations.values()
    assert any(
        allocation.machine_index == machine.index for allocation in allocations
    )  # counted until the lease expires
    for _ in range(25):
        cluster.run_rounds(term, 1)
        term.handle_heartbeat(unreachable.next_heartbeat())
    assert reception_and_state(machine) == (Reception.UNREACHABLE, MachineState.LEASE_EXPIRED)
    assert not machine.allocations
    unreachable.expire_lease()
    unreachable.reachable = True
    cluster.run_rounds(term, 6)
    assert reception_and_state(machine) == (Reception.REACHABLE, MachineState.READY)
    assert len(unreachable.running_tasks()) == 16


def test_epoch_that_outlives_its_lease_shows_a_reachable_machine() -> None:
    """A machine that receives responses must become reachable again even if direct queries cannot connect to it.

    Otherwise a firewall that rejects the leader's connections would keep the machine unused forever.
    """
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    machine = term.inventory.by_name[worker.name]
    term.inventory.change_reception(machine, Reception.SUSPECTED, "test", cluster.clock.now)
    term.inventory.change_reception(machine, Reception.UNREACHABLE, "test", cluster.clock.now)
    cluster.submit_job(controller)
    worker.reachable = False  # for direct queries; heartbeats and their responses still arrive
    states = set()
    for second in range(90):
        if second == 22:
            worker.expire_lease()  # the worker has received no response for a lease
        response = term.handle_heartbeat(worker.next_heartbeat())
        if response is not None:
            worker.apply_response(response)
        cluster.run_rounds(term, 1)
        states.add(reception_and_state(machine))
    assert (Reception.UNREACHABLE, MachineState.LEASE_EXPIRED) in states
    assert reception_and_state(machine) == (Reception.REACHABLE, MachineState.READY)
    assert worker.running_tasks()


def test_cancelled_tasks_on_unreachable_machine_end_with_its_lease() -> None:
    cluster, controller, term = start_cluster(1)
    (unreachable,) = cluster.workers.values()
    job_id = cluster.submit_job(controller, shards=2)
    cluster.run_rounds(term, 3)
    make_unreachable(unreachable)
    assert unreachable.running_tasks() and controller.job_api.cancel(job_id).status == 200
    for second in range(45):
        if second == 20:
            unreachable.expire_lease()  # the worker has received no response for a lease
        cluster.run_rounds(term, 1)
        if second % 3 == 0:
            term.handle_heartbeat(unreachable.next_heartbeat())  # the response is lost
    machine = term.inventory.by_name[unreachable.name]
    assert not unreachable.running_tasks() and not machine.allocations and job_id not in term.registry.jobs
    assert term.settings.params.workers.cancel_s >= 45.0


def test_one_lost_response_leaves_a_machine_reachable() -> None:
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    cluster.submit_job(controller)
    cluster.handle_heartbeat(term, worker, lose=True)
    machine = term.inventory.by_name[worker.name]
    term.handle_heartbeat(worker.next_heartbeat())
    assert machine.reception is Reception.REACHABLE and not term.machine_reconciliation.select_machines_to_query(
        cluster.clock.now
    )
    cluster.run_rounds(term, 2)
    assert worker.running_tasks() and machine.missed_responses == 0


def test_stalled_controller_does_not_suspect_its_machines() -> None:
    cluster, controller, term = start_cluster(1)
    cluster.submit_job(controller, shards=4)
    cluster.run_rounds(term, 3)
    cluster.clock.now += 10.0  # shorter than the leader lease
    term.inventory.detect_silent_machines(cluster.clock.now)
    assert [machine.state for machine in term.inventory.machines] == [MachineState.READY]
