"""Machines that responses do not reach, and controllers that stood still."""

from __future__ import annotations

from grebestand.state_machines import MachineState, Reception
from support.heartbeat_clusters import make_unreachable, reception_and_state, start_cluster


def test_unreachable_machine_gets_no_tasks_until_it_is_reachable() -> None:
    """Its reports kept it alive in the books: what was placed there waited for ever, being told again and again."""
    cluster, controller, term = start_cluster()
    unreachable, _other = cluster.workers.values()
    make_unreachable(unreachable)
    job_id = cluster.accept(controller, shards=32)
    for _ in range(9):
        cluster.settle(term, 1)
        term.handle_heartbeat(unreachable.report())
    machine = term.inventory.by_name[unreachable.name]
    assert reception_and_state(machine) == (Reception.UNREACHABLE, MachineState.SUSPECT)
    assert not term.inventory.counts(machine)
    assert term.handle_heartbeat(unreachable.report()) is None  # no answer that could renew its lease
    allocations = term.registry.jobs[job_id].allocations.values()
    assert any(allocation.machine == machine.index for allocation in allocations)  # they count until its lease is over
    for _ in range(25):
        cluster.settle(term, 1)
        term.handle_heartbeat(unreachable.report())
    assert reception_and_state(machine) == (Reception.UNREACHABLE, MachineState.LEASE_EXPIRED)
    assert not machine.allocations
    unreachable.lapse()
    unreachable.reachable = True
    cluster.settle(term, 6)
    assert reception_and_state(machine) == (Reception.REACHABLE, MachineState.READY)
    assert len(unreachable.running()) == 16


def test_epoch_that_outlives_its_lease_shows_a_reachable_machine() -> None:
    """A filter that refuses the leader's own connections would have kept a machine that hears unused for ever."""
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    machine = term.inventory.by_name[worker.name]
    term.inventory.change_reception(machine, Reception.SUSPECTED, "test", cluster.clock.now)
    term.inventory.change_reception(machine, Reception.UNREACHABLE, "test", cluster.clock.now)
    cluster.accept(controller)
    worker.reachable = False  # for questions; its reports and their answers go on
    states = set()
    for second in range(90):
        if second == 22:
            worker.lapse()  # it was not answered for a lease
        response = term.handle_heartbeat(worker.report())
        if response is not None:
            worker.obey(response)
        cluster.settle(term, 1)
        states.add(reception_and_state(machine))
    assert (Reception.UNREACHABLE, MachineState.LEASE_EXPIRED) in states
    assert reception_and_state(machine) == (Reception.REACHABLE, MachineState.READY)
    assert worker.running()


def test_cancelled_tasks_on_unreachable_machine_end_with_its_lease() -> None:
    cluster, controller, term = start_cluster(1)
    (unreachable,) = cluster.workers.values()
    job_id = cluster.accept(controller, shards=2)
    cluster.settle(term, 3)
    make_unreachable(unreachable)
    assert unreachable.running() and controller.users.cancel(job_id).status == 200
    for second in range(45):
        if second == 20:
            unreachable.lapse()  # it has not been answered for a lease
        cluster.settle(term, 1)
        if second % 3 == 0:
            term.handle_heartbeat(unreachable.report())  # lost on the way back
    machine = term.inventory.by_name[unreachable.name]
    assert not unreachable.running() and not machine.allocations and job_id not in term.registry.jobs
    assert term.settings.params.workers.cancel_s >= 45.0


def test_one_lost_response_leaves_a_machine_reachable() -> None:
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    cluster.accept(controller)
    cluster.handle_heartbeat(term, worker, lose=True)
    machine = term.inventory.by_name[worker.name]
    term.handle_heartbeat(worker.report())
    assert machine.reception is Reception.REACHABLE and not term.machine_reconciliation.select_machines_to_query(
        cluster.clock.now
    )
    cluster.settle(term, 2)
    assert worker.running() and machine.missed_responses == 0


def test_stalled_controller_does_not_suspect_its_machines() -> None:
    cluster, controller, term = start_cluster(1)
    cluster.accept(controller, shards=4)
    cluster.settle(term, 3)
    cluster.clock.now += 10.0  # within its leader lease
    term.inventory.detect_silent_machines(cluster.clock.now)
    assert [machine.state for machine in term.inventory.machines] == [MachineState.READY]
