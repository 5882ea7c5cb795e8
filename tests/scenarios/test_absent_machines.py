"""Machines, controllers and zones that are absent while others act, on several real controllers.

Each scenario also finds a fault that is built in on purpose; the table is in docs/meetings.md.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from grebestand.api import job_api
from grebestand.clients.kv_store import key_absent
from grebestand.cluster_state import machine_inventory
from grebestand.cluster_state.job_registry import JobRegistry
from grebestand.cluster_state.machine_inventory import MachineInventory
from grebestand.controller.cancellations import CancellationRecorder
from grebestand.leader.cancellation_horizon import CancellationHorizon
from grebestand.leader.election import LeaderElection
from grebestand.scheduling.placement import Placement
from grebestand.scheduling.preemption import Preemption
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.storage.job_records import completion_transaction
from support.cluster_actions import accept_every_heartbeat, crash_leader, end_faults, start_if_stopped

Scenario = Callable[[VirtualLoop, int], SimulatedCluster]


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


def busy_cluster(
    loop: VirtualLoop, seed: int, task_s: tuple[float, float] = (5.0, 40.0), machines: int = 12
) -> SimulatedCluster:
    """Return a cluster with arrays and gangs of both teams, some bound to a zone; users cancel some of them."""
    world = SimulatedCluster(loop, seed=seed, machines=machines)
    world.task_duration_s, world.cancelled_job_rate, world.burst_requests = task_s, 0.3, True
    for number in range(12):
        kinds: list[dict[str, Any]] = [{}, {"shape": "ensemble"}, {"samePlace": True}, {"quay": "ab"[number % 2]}]
        world.submit(["red", "blue"][number % 2], 2 + number % 4, 1.0, **kinds[number % 4])
    gevent.sleep(12)
    return world


# machines that send no heartbeats, though direct commands reach them --------------------------------------


def silence_one_zone(loop: VirtualLoop, seed: int = 51) -> SimulatedCluster:
    """The machines of one zone open no connection for 46 s, through a change of leader and cancellations."""
    world = busy_cluster(loop, seed)
    world.submit_continuously(1.5, world.loop.time + 60.0)
    for name in sorted(world.machines)[::2]:
        world.machines[name].cannot_connect = True
    gevent.sleep(4)
    world.cancel_running_jobs(6)
    gevent.sleep(4)
    crash_leader(world, 5.0)
    gevent.sleep(8)
    world.submit("blue", 4, 9.0, shape="ensemble", rank="critical")
    gevent.sleep(30)
    return world


def test_machines_without_connections_delay_nothing(loop: VirtualLoop) -> None:
    world = silence_one_zone(loop)
    gang = next(job for job in world.jobs.values() if job.cpus == 9.0)
    gang_machines = [machine for task, machine in world._machine_by_task.items() if task.startswith(gang.job_id)]
    # the capacity of the six machines that send heartbeats is enough, and was found there
    assert gang.is_finished or (
        len(gang_machines) == 4 and not any(world.machines[name].cannot_connect for name in gang_machines)
    )
    assert world.longest_gap_between_starts(world.loop.time - 30.0, world.loop.time) < 8.0
    end_faults(world)
    assert world.wait_until_settled(400.0) == []


def test_silent_machines_that_count_as_present_are_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: a machine that is silent is taken for one that sends heartbeats."""
    monkeypatch.setattr(machine_inventory, "SILENT_AFTER_INTERVALS", 1e9)
    with pytest.raises(AssertionError):
        test_machines_without_connections_delay_nothing(loop)


def test_cancelled_tasks_on_silent_machines_are_stopped_directly(loop: VirtualLoop) -> None:
    """No lease is renewed there; cancelled tasks end long before it expires, by the direct stop."""
    world = busy_cluster(loop, 52, task_s=(60.0, 90.0))
    for machine in world.machines.values():
        machine.cannot_connect = machine.zone == "b"
    gevent.sleep(1.0)
    cancelled_jobs = world.cancel_running_jobs(40)
    gevent.sleep(4.0)
    assert cancelled_jobs and not [task for task in world._machine_by_task if task.rpartition("/")[0] in cancelled_jobs]
    end_faults(world)
    assert world.wait_until_settled(900.0) == []


def test_leadership_does_not_wander_while_all_machines_are_silent(loop: VirtualLoop) -> None:
    world = busy_cluster(loop, 53)
    leaders_before = len(world.leader_history)
    for machine in world.machines.values():
        machine.cannot_connect = True
    gevent.sleep(60)
    assert len(world.leader_history) - leaders_before <= 6
    end_faults(world)
    assert world.wait_until_settled(400.0) == []


# jobs bound to one zone lose machines ---------------------------------------------------------------------


def lose_machines_of_zones(loop: VirtualLoop, seed: int = 54) -> SimulatedCluster:
    """Gangs and arrays in one zone, whichever, or spread; machines go silently, hang, or are taken, leaders end."""
    world = SimulatedCluster(loop, seed=seed, machines=14)
    world.task_duration_s = (20.0, 60.0)
    for number in range(20):
        kinds: list[dict[str, Any]] = [{"samePlace": True}, {"scatter": True}, {"quay": "a"}]
        shape = "ensemble" if number % 5 == 4 else "array"
        world.submit(["red", "blue"][number % 2], 4 + number % 5, 1.0, shape=shape, **kinds[number % 3])
    gevent.sleep(12)
    for number in range(4):
        machine = f"n-{2 * number + number % 2:06d}"
        if number % 2:
            world.machines[machine].is_hung = True
        else:
            world.cloud.request("POST", "/machines/delete", json.dumps({"vessels": [machine]}).encode(), 1.0)
        for controller in world.controller_names:
            world.links.set_mode(controller, "ab"[number % 2], LinkMode.HELD if number < 2 else LinkMode.OPEN)
        gevent.sleep(5)
        crash_leader(world, 0.3 if number % 2 else 6.0)
        gevent.sleep(6)
    end_faults(world)
    return world


def test_jobs_bound_to_a_zone_complete_though_it_loses_machines(loop: VirtualLoop) -> None:
    assert lose_machines_of_zones(loop).wait_until_settled(900.0) == []


# heartbeats that are delayed until a new leader has acted -------------------------------------------------


def delay_heartbeats_until_failover(loop: VirtualLoop, seed: int = 55) -> SimulatedCluster:
    """Heartbeats to the old leader, and copies to all, come after the new one has stopped, started and deleted."""
    world = busy_cluster(loop, seed)
    world.submit_continuously(2.0, world.loop.time + 50.0)
    for _ in range(3):
        (first,) = world.current_leaders() or [world.leader_history[-1][1]]
        for name in world.controller_names:
            world.links.set_mode(name, "a", LinkMode.HELD)
        world.duplicate_heartbeat_rate = 0.5
        gevent.sleep(3.5)
        world.crash(first)
        gevent.spawn_later(1.0, start_if_stopped, world, first)
        gevent.sleep(10)
        world.cancel_running_jobs(4)
        gevent.sleep(2)
        world.links.open_all()
        gevent.sleep(4)
    end_faults(world)
    return world


def test_heartbeats_delayed_until_failover_mislead_no_leader(loop: VirtualLoop) -> None:
    assert delay_heartbeats_until_failover(loop).wait_until_settled(500.0) == []


# all controllers absent for longer than a lease -----------------------------------------------------------


def crash_all_controllers(loop: VirtualLoop, seed: int = 56, leases: float = 1.6) -> SimulatedCluster:
    """Jobs are cancelled just before; meanwhile machines go and come back, and users go on."""
    world = busy_cluster(loop, seed, task_s=(30.0, 60.0))
    world.cancel_running_jobs(8, hang_s=10.0)
    gevent.sleep(0.3)
    for name in world.controller_names:
        world.crash(name)
    gevent.sleep(0.5 * leases * world.lease_s)
    world.cloud.request("POST", "/machines/delete", json.dumps({"vessels": ["n-000001"]}).encode(), 1.0)
    world.machines["n-000002"].restart(reset_session=True)
    gevent.sleep(0.5 * leases * world.lease_s)
    start_if_stopped(world, "node-2")
    gevent.sleep(6)
    end_faults(world)
    gevent.sleep(world.cancel_s)
    return world


@pytest.mark.parametrize("leases", [1.05, 1.6, 3.0])
def test_all_controllers_are_absent_for_longer_than_a_lease(loop: VirtualLoop, leases: float) -> None:
    assert crash_all_controllers(loop, leases=leases).wait_until_settled(500.0) == []


# more work than capacity, urgent and not, over slow links -------------------------------------------------


def overload_cluster(loop: VirtualLoop, seed: int = 57) -> SimulatedCluster:
    world = SimulatedCluster(loop, seed=seed, machines=4)
    world.task_duration_s = (8.0, 20.0)
    for name in world.controller_names:
        for other_end in ("a", "b", STATE, *(other for other in world.controller_names if other != name)):
            world.links.set_mode(name, other_end, LinkMode.SLOW)
    gevent.sleep(8)
    for number in range(20):
        world.submit("blue", 10, 2.0, rank="best_effort")
        world.submit(["red", "blue"][number % 2], 6, 2.0, rank="high" if number % 2 else "standard")
        if number % 5 == 2:
            world.submit("blue", 3, 8.0, shape="ensemble", rank="critical")
        gevent.sleep(2)
        if number == 10:
            crash_leader(world, 5.0)
    gevent.sleep(240)
    return world


def test_more_work_than_capacity_over_slow_links(loop: VirtualLoop) -> None:
    """Limits hold while work is preempted, what is urgent begins soon, and no priority is left below half."""
    world = overload_cluster(loop)
    waits_s = [job.first_started_at - job.submitted_at for job in world.jobs.values() if job.spec["rank"] == "critical"]
    # four gangs of three eighths of the capacity, each for up to 20 s, behind one another and a failover
    assert all(wait_s < 90.0 for wait_s in waits_s), waits_s
    for rank in ("critical", "high", "standard", "best_effort"):
        jobs = [job for job in world.jobs.values() if job.spec["rank"] == rank]
        assert sum(job.done_at is not None for job in jobs) >= 0.5 * len(jobs), rank
    end_faults(world)
    assert world.wait_until_settled(900.0) == []


def test_urgent_work_that_waits_for_capacity_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: nothing is preempted for it."""
    monkeypatch.setattr(Preemption, "displace", lambda self, *more: None)
    with pytest.raises(AssertionError):
        test_more_work_than_capacity_over_slow_links(loop)


# leaders change ten times in two minutes, also inside an outage -------------------------------------------


def change_leaders_ten_times(loop: VirtualLoop, seed: int = 58, outage: bool = False) -> SimulatedCluster:
    world = busy_cluster(loop, seed, task_s=(10.0, 50.0))
    world.submit_continuously(2.0, world.loop.time + 120.0)
    for number in range(10):
        if number % 3 == 0:
            for name in world.controller_names:
                world.links.set_mode(name, "ab"[number % 2], LinkMode.HELD)
        if outage and number == 4:
            world.store.unavailable = True
            gevent.spawn_later(20.0, setattr, world.store, "unavailable", False)
        names = world.current_leaders() or [world.leader_history[-1][1]]
        leader = world.controllers[names[0]]
        if number % 2 and leader is not None:
            gevent.spawn(leader.leadership_transfer.resign, "played", "")
        else:
            crash_leader(world, [0.2, 7.0][number % 4 // 2])
        gevent.sleep(12.0)
        world.links.open_all()
    end_faults(world)
    return world


@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(loop: VirtualLoop, outage: bool) -> None:
    world = change_leaders_ten_times(loop, outage=outage)
    assert len(world.leader_history) >= (6 if outage else 9)
    assert world.wait_until_settled(600.0) == []


# cancellations, polls and repeated submissions at the end of the last task --------------------------------


def cancel_jobs_as_they_end(
    loop: VirtualLoop, seed: int = 59, fault: str = "none", late_writes: float = 0.3
) -> SimulatedCluster:
    world = SimulatedCluster(loop, seed=seed, machines=8)
    world.task_duration_s, world.cancel_at_end_rate, world.burst_requests = (2.0, 8.0), 1.0, True
    if fault == "late writes":
        world.late_write_rate = late_writes
    elif fault == "lost answers":
        world.lost_response_rate = 0.3
    elif fault == "slow":
        world.max_response_delay_s = 1.0
    for number in range(60):
        world.submit(["red", "blue"][number % 2], 1 + number % 3, 1.0)
        gevent.sleep(0.7)
        if fault == "crash" and number % 15 == 9:
            crash_leader(world, 0.3)
    gevent.sleep(20)
    end_faults(world)
    world.burst_requests = True
    return world


def cancel_jobs_as_they_end_with_late_writes(loop: VirtualLoop, seed: int) -> SimulatedCluster:
    return cancel_jobs_as_they_end(loop, seed, "late writes", 0.5)


@pytest.mark.parametrize("fault", ["none", "late writes", "lost answers", "slow", "crash"])
def test_cancellation_at_the_end_of_the_last_task_has_one_outcome(loop: VirtualLoop, fault: str) -> None:
    world = cancel_jobs_as_they_end(loop, fault=fault)
    assert world.wait_until_settled(300.0) == []
    completed = [job for job in world.jobs.values() if job.is_finished]
    assert len(completed) == 60 and any(job.cancelled_at is not None for job in completed)


# cancellations at the moment at which the store refuses the leader ----------------------------------------


def cancel_jobs_as_the_leader_is_refused(
    loop: VirtualLoop, seed: int = 60, mode: LinkMode = LinkMode.REFUSED, writes: str = ""
) -> SimulatedCluster:
    """A second later nobody is served, for longer than `cancel_s`; the commits themselves lie at the edge."""
    world = busy_cluster(loop, seed, task_s=(80.0, 120.0))
    (leader,) = world.current_leaders()
    if writes:
        setattr(world, writes, 0.5)
    world.links.set_mode(leader, STATE, mode)
    world.cancel_running_jobs(10)
    gevent.sleep(1.0)
    world.store.unavailable = True
    gevent.sleep(world.cancel_s + 12.0)
    world.store.unavailable = False
    gevent.sleep(10.0)
    end_faults(world)
    return world


@pytest.mark.parametrize("writes", ["", "late_write_rate", "lost_response_rate"])
@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD])
def test_jobs_cancelled_as_the_leader_is_refused_end_in_time(loop: VirtualLoop, mode: LinkMode, writes: str) -> None:
    assert cancel_jobs_as_the_leader_is_refused(loop, mode=mode, writes=writes).wait_until_settled(600.0) == []


# a zone with workers and a controller ---------------------------------------------------------------------


def isolate_zone(loop: VirtualLoop, seed: int = 61, leads: bool = True, failover: bool = False) -> SimulatedCluster:
    """Cut off for longer than a lease, with cancellations and ends on both sides; all heartbeats come at once after."""
    world = busy_cluster(loop, seed)
    world.submit_continuously(2.0, world.loop.time + 50.0)
    (leader,) = world.current_leaders()
    inside = leader if leads else next(name for name in world.controller_names if name != leader)
    outside = [name for name in world.controller_names if name != inside]
    for other_end in (STATE, "b", *outside):
        world.links.set_mode(inside, other_end, LinkMode.HELD)
    for name in outside:
        world.links.set_mode(name, "a", LinkMode.HELD)
    for _ in range(3):
        world.cancel_running_jobs(4)
        gevent.sleep(0.5 * world.lease_s)
    if failover:
        crash_leader(world, 0.5)
        gevent.sleep(4.0)
    end_faults(world)
    return world


@pytest.mark.parametrize("failover", [False, True])
@pytest.mark.parametrize("leads", [True, False])
def test_zone_with_workers_and_a_controller_is_isolated(loop: VirtualLoop, leads: bool, failover: bool) -> None:
    assert isolate_zone(loop, leads=leads, failover=failover).wait_until_settled(500.0) == []


# faults built in on purpose -------------------------------------------------------------------------------


def ignore_zones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Placement, "_zone_counts", lambda self, job: {})


def ignore_possible_allocations(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new leader starts what it has not seen, wherever it may run."""

    def add_none(self: JobRegistry, job: Any, machines: Any, tasks: int) -> None:
        job.unseen_tasks_below = job.first_unallocated = tasks
        self._release_unseen(job)

    monkeypatch.setattr(JobRegistry, "add_possible_holders", add_none)


def keep_live_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cancellation leaves the live record where it is."""
    monkeypatch.setattr(
        job_api,
        "completion_transaction",
        lambda *given: (
            completion_transaction(*given)[0],
            [change for change in completion_transaction(*given)[1] if change.put],
        ),
    )


def ignore_unreconciled_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """What may be on unreconciled machines counts against no team."""
    monkeypatch.setattr(MachineInventory, "_set_unknown_usage", lambda self: None)


def start_what_may_run_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    ignore_unreconciled_machines(monkeypatch)
    ignore_possible_allocations(monkeypatch)


def cancel_unconditionally(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cancellation does not ask whether its job is over."""
    monkeypatch.setattr(
        job_api,
        "completion_transaction",
        lambda job_id, *more: ([key_absent(f"none/{job_id}")], completion_transaction(job_id, *more)[1]),
    )


def trust_old_knowledge(monkeypatch: pytest.MonkeyPatch) -> None:
    """Knowledge of cancellations is never too old, and no peer tells of new ones."""
    monkeypatch.setattr(CancellationRecorder, "record_from_peer", lambda self, job_ids: None)
    monkeypatch.setattr(CancellationHorizon, "allows_responses", lambda self: True)
    extend = LeaderElection._extend_authority
    monkeypatch.setattr(LeaderElection, "_extend_authority", lambda self, sent: extend(self, sent + 60.0))


def lengthen_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    extend = LeaderElection._extend_authority
    monkeypatch.setattr(LeaderElection, "_extend_authority", lambda self, sent: extend(self, sent + 15.0))


FAULTS: list[tuple[Scenario, Callable[[pytest.MonkeyPatch], None]]] = [
    (lose_machines_of_zones, ignore_zones),
    (delay_heartbeats_until_failover, accept_every_heartbeat),
    (crash_all_controllers, keep_live_records),
    (change_leaders_ten_times, start_what_may_run_elsewhere),
    (cancel_jobs_as_they_end_with_late_writes, cancel_unconditionally),
    (cancel_jobs_as_the_leader_is_refused, trust_old_knowledge),
    (isolate_zone, lengthen_authority),
]


@pytest.mark.parametrize(("scenario", "break_it"), FAULTS, ids=[scenario.__name__ for scenario, _ in FAULTS])
def test_fault_built_in_on_purpose_is_found(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario, break_it: Callable[[pytest.MonkeyPatch], None]
) -> None:
    break_it(monkeypatch)
    found: list[str] = []
    for seed in range(4):
        with simulated_time() as virtual:
            found += scenario(virtual, 51 + seed).wait_until_settled(90.0)
        if any(not text.startswith("j-") for text in found):
            return
    raise AssertionError(f"not found: {found[:5]}")
