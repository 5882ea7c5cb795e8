"""Machines, controllers and zones that are unreachable or down while the rest of the cluster goes on.

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
    with simulated_time() as virtual_loop:
        yield virtual_loop


def busy_cluster(
    loop: VirtualLoop, seed: int, task_s: tuple[float, float] = (5.0, 40.0), machines: int = 12
) -> SimulatedCluster:
    """Return a cluster that runs arrays and gangs of both teams, some bound to a zone; users cancel some of them."""
    cluster = SimulatedCluster(loop, seed=seed, machines=machines)
    cluster.task_duration_s, cluster.cancelled_job_rate, cluster.burst_requests = task_s, 0.3, True
    for number in range(12):
        kinds: list[dict[str, Any]] = [{}, {"shape": "ensemble"}, {"samePlace": True}, {"quay": "ab"[number % 2]}]
        cluster.submit(["red", "blue"][number % 2], 2 + number % 4, 1.0, **kinds[number % 4])
    gevent.sleep(12)
    return cluster


# machines that send no heartbeats, though direct commands reach them --------------------------------------


def disconnect_one_zone(loop: VirtualLoop, seed: int = 51) -> SimulatedCluster:
    """Let the machines of one zone open no connections for 46 s, during cancellations and a failover."""
    cluster = busy_cluster(loop, seed)
    cluster.submit_continuously(1.5, cluster.loop.time + 60.0)
    for name in sorted(cluster.machines)[::2]:
        cluster.machines[name].cannot_connect = True
    gevent.sleep(4)
    cluster.cancel_running_jobs(6)
    gevent.sleep(4)
    crash_leader(cluster, 5.0)
    gevent.sleep(8)
    cluster.submit("blue", 4, 9.0, shape="ensemble", rank="critical")
    gevent.sleep(30)
    return cluster


def test_machines_without_connections_delay_nothing(loop: VirtualLoop) -> None:
    cluster = disconnect_one_zone(loop)
    gang = next(job for job in cluster.jobs.values() if job.cpus == 9.0)
    gang_machines = [machine for task, machine in cluster._machine_by_task.items() if task.startswith(gang.job_id)]
    # the six machines that send heartbeats have enough capacity for the gang
    assert gang.is_finished or (
        len(gang_machines) == 4 and not any(cluster.machines[name].cannot_connect for name in gang_machines)
    )
    assert cluster.longest_gap_between_starts(cluster.loop.time - 30.0, cluster.loop.time) < 8.0
    end_faults(cluster)
    assert cluster.wait_until_settled(400.0) == []


def test_disconnected_machines_that_count_as_reachable_are_found(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fault built in on purpose: a machine that sends no heartbeats still counts as reachable."""
    monkeypatch.setattr(machine_inventory, "SILENT_AFTER_INTERVALS", 1e9)
    with pytest.raises(AssertionError):
        test_machines_without_connections_delay_nothing(loop)


def test_cancelled_tasks_on_disconnected_machines_are_stopped_directly(loop: VirtualLoop) -> None:
    """Machines without connections renew no leases, yet a direct request stops cancelled tasks long before expiry."""
    cluster = busy_cluster(loop, 52, task_s=(60.0, 90.0))
    for machine in cluster.machines.values():
        machine.cannot_connect = machine.zone == "b"
    gevent.sleep(1.0)
    cancelled_jobs = cluster.cancel_running_jobs(40)
    gevent.sleep(4.0)
    assert cancelled_jobs and not [
        task for task in cluster._machine_by_task if task.rpartition("/")[0] in cancelled_jobs
    ]
    end_faults(cluster)
    assert cluster.wait_until_settled(900.0) == []


def test_leadership_is_stable_while_all_machines_are_disconnected(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, 53)
    leaders_before = len(cluster.leader_history)
    for machine in cluster.machines.values():
        machine.cannot_connect = True
    gevent.sleep(60)
    assert len(cluster.leader_history) - leaders_before <= 6
    end_faults(cluster)
    assert cluster.wait_until_settled(400.0) == []


# zones lose machines of jobs bound to them -------------------------------------------------------------------


def lose_machines_of_zones(loop: VirtualLoop, seed: int = 54) -> SimulatedCluster:
    """Run jobs bound to a given zone, any one zone or both, while machines hang or are deleted and leaders crash."""
    cluster = SimulatedCluster(loop, seed=seed, machines=14)
    cluster.task_duration_s = (20.0, 60.0)
    for number in range(20):
        kinds: list[dict[str, Any]] = [{"samePlace": True}, {"scatter": True}, {"quay": "a"}]
        shape = "ensemble" if number % 5 == 4 else "array"
        cluster.submit(["red", "blue"][number % 2], 4 + number % 5, 1.0, shape=shape, **kinds[number % 3])
    gevent.sleep(12)
    for number in range(4):
        machine = f"n-{2 * number + number % 2:06d}"
        if number % 2:
            cluster.machines[machine].is_hung = True
        else:
            cluster.cloud.request("POST", "/machines/delete", json.dumps({"vessels": [machine]}).encode(), 1.0)
        for controller in cluster.controller_names:
            cluster.links.set_mode(controller, "ab"[number % 2], LinkMode.HELD if number < 2 else LinkMode.OPEN)
        gevent.sleep(5)
        crash_leader(cluster, 0.3 if number % 2 else 6.0)
        gevent.sleep(6)
    end_faults(cluster)
    return cluster


def test_jobs_bound_to_a_zone_complete_though_it_loses_machines(loop: VirtualLoop) -> None:
    assert lose_machines_of_zones(loop).wait_until_settled(900.0) == []


# heartbeats that are delayed until a new leader has acted -------------------------------------------------


def delay_heartbeats_until_failover(loop: VirtualLoop, seed: int = 55) -> SimulatedCluster:
    """Hold heartbeats to the old leader, and duplicates to all, until the new leader has started and stopped tasks."""
    cluster = busy_cluster(loop, seed)
    cluster.submit_continuously(2.0, cluster.loop.time + 50.0)
    for _ in range(3):
        (leader,) = cluster.current_leaders() or [cluster.leader_history[-1][1]]
        for name in cluster.controller_names:
            cluster.links.set_mode(name, "a", LinkMode.HELD)
        cluster.duplicate_heartbeat_rate = 0.5
        gevent.sleep(3.5)
        cluster.crash(leader)
        gevent.spawn_later(1.0, start_if_stopped, cluster, leader)
        gevent.sleep(10)
        cluster.cancel_running_jobs(4)
        gevent.sleep(2)
        cluster.links.open_all()
        gevent.sleep(4)
    end_faults(cluster)
    return cluster


def test_heartbeats_delayed_until_failover_mislead_no_leader(loop: VirtualLoop) -> None:
    assert delay_heartbeats_until_failover(loop).wait_until_settled(500.0) == []


# all controllers are down for longer than a lease --------------------------------------------------------


def crash_all_controllers(loop: VirtualLoop, seed: int = 56, leases: float = 1.6) -> SimulatedCluster:
    """Crash all controllers just after cancellations; one machine is deleted and one restarts meanwhile."""
    cluster = busy_cluster(loop, seed, task_s=(30.0, 60.0))
    cluster.cancel_running_jobs(8, hang_s=10.0)
    gevent.sleep(0.3)
    for name in cluster.controller_names:
        cluster.crash(name)
    gevent.sleep(0.5 * leases * cluster.lease_s)
    cluster.cloud.request("POST", "/machines/delete", json.dumps({"vessels": ["n-000001"]}).encode(), 1.0)
    cluster.machines["n-000002"].restart(reset_session=True)
    gevent.sleep(0.5 * leases * cluster.lease_s)
    start_if_stopped(cluster, "node-2")
    gevent.sleep(6)
    end_faults(cluster)
    gevent.sleep(cluster.cancel_s)
    return cluster


@pytest.mark.parametrize("leases", [1.05, 1.6, 3.0])
def test_all_controllers_are_down_for_longer_than_a_lease(loop: VirtualLoop, leases: float) -> None:
    assert crash_all_controllers(loop, leases=leases).wait_until_settled(500.0) == []


# more work than capacity, of all ranks, over slow links ---------------------------------------------------


def overload_cluster(loop: VirtualLoop, seed: int = 57) -> SimulatedCluster:
    cluster = SimulatedCluster(loop, seed=seed, machines=4)
    cluster.task_duration_s = (8.0, 20.0)
    for name in cluster.controller_names:
        for other_end in ("a", "b", STATE, *(other for other in cluster.controller_names if other != name)):
            cluster.links.set_mode(name, other_end, LinkMode.SLOW)
    gevent.sleep(8)
    for number in range(20):
        cluster.submit("blue", 10, 2.0, rank="best_effort")
        cluster.submit(["red", "blue"][number % 2], 6, 2.0, rank="high" if number % 2 else "standard")
        if number % 5 == 2:
            cluster.submit("blue", 3, 8.0, shape="ensemble", rank="critical")
        gevent.sleep(2)
        if number == 10:
            crash_leader(cluster, 5.0)
    gevent.sleep(240)
    return cluster


def test_more_work_than_capacity_over_slow_links(loop: VirtualLoop) -> None:
    """Limits hold under preemption, critical jobs start in time, and half of the jobs of each rank complete."""
    cluster = overload_cluster(loop)
    waits_s = [
        job.first_started_at - job.submitted_at for job in cluster.jobs.values() if job.spec["rank"] == "critical"
    ]
    # four gangs, each with 3/8 of the capacity for up to 20 s, run one after another and during a failover
    assert all(wait_s < 90.0 for wait_s in waits_s), waits_s
    for rank in ("critical", "high", "standard", "best_effort"):
        jobs = [job for job in cluster.jobs.values() if job.spec["rank"] == rank]
        assert sum(job.done_at is not None for job in jobs) >= 0.5 * len(jobs), rank
    end_faults(cluster)
    assert cluster.wait_until_settled(900.0) == []


def test_urgent_work_that_waits_for_capacity_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: no task is preempted for urgent jobs."""
    monkeypatch.setattr(Preemption, "displace", lambda self, *args: None)
    with pytest.raises(AssertionError):
        test_more_work_than_capacity_over_slow_links(loop)


# leaders change ten times in two minutes, also in a store outage ------------------------------------------


def change_leaders_ten_times(loop: VirtualLoop, seed: int = 58, outage: bool = False) -> SimulatedCluster:
    cluster = busy_cluster(loop, seed, task_s=(10.0, 50.0))
    cluster.submit_continuously(2.0, cluster.loop.time + 120.0)
    for number in range(10):
        if number % 3 == 0:
            for name in cluster.controller_names:
                cluster.links.set_mode(name, "ab"[number % 2], LinkMode.HELD)
        if outage and number == 4:
            cluster.store.unavailable = True
            gevent.spawn_later(20.0, setattr, cluster.store, "unavailable", False)
        names = cluster.current_leaders() or [cluster.leader_history[-1][1]]
        leader = cluster.controllers[names[0]]
        if number % 2 and leader is not None:
            gevent.spawn(leader.leadership_transfer.resign, "played", "")
        else:
            crash_leader(cluster, [0.2, 7.0][number % 4 // 2])
        gevent.sleep(12.0)
        cluster.links.open_all()
    end_faults(cluster)
    return cluster


@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(loop: VirtualLoop, outage: bool) -> None:
    cluster = change_leaders_ten_times(loop, outage=outage)
    assert len(cluster.leader_history) >= (6 if outage else 9)
    assert cluster.wait_until_settled(600.0) == []


# cancellations, polls and repeated submissions as the last task ends --------------------------------------


def cancel_jobs_as_they_end(
    loop: VirtualLoop, seed: int = 59, fault: str = "none", late_write_rate: float = 0.3
) -> SimulatedCluster:
    cluster = SimulatedCluster(loop, seed=seed, machines=8)
    cluster.task_duration_s, cluster.cancel_at_end_rate, cluster.burst_requests = (2.0, 8.0), 1.0, True
    if fault == "late writes":
        cluster.late_write_rate = late_write_rate
    elif fault == "lost answers":
        cluster.lost_response_rate = 0.3
    elif fault == "slow":
        cluster.max_response_delay_s = 1.0
    for number in range(60):
        cluster.submit(["red", "blue"][number % 2], 1 + number % 3, 1.0)
        gevent.sleep(0.7)
        if fault == "crash" and number % 15 == 9:
            crash_leader(cluster, 0.3)
    gevent.sleep(20)
    end_faults(cluster)
    cluster.burst_requests = True
    return cluster


def cancel_jobs_as_they_end_with_late_writes(loop: VirtualLoop, seed: int) -> SimulatedCluster:
    return cancel_jobs_as_they_end(loop, seed, "late writes", 0.5)


@pytest.mark.parametrize("fault", ["none", "late writes", "lost answers", "slow", "crash"])
def test_cancellation_at_the_end_of_the_last_task_has_one_outcome(loop: VirtualLoop, fault: str) -> None:
    cluster = cancel_jobs_as_they_end(loop, fault=fault)
    assert cluster.wait_until_settled(300.0) == []
    completed = [job for job in cluster.jobs.values() if job.is_finished]
    assert len(completed) == 60 and any(job.cancelled_at is not None for job in completed)


# cancellations as the store begins to refuse the leader --------------------------------------------------


def cancel_jobs_as_the_leader_is_refused(
    loop: VirtualLoop, seed: int = 60, mode: LinkMode = LinkMode.REFUSED, writes: str = ""
) -> SimulatedCluster:
    """Cancel jobs as the store begins to refuse the leader, 1 s before a store outage longer than `cancel_s`.

    With `writes`, half of the commits are also applied late, or their responses are lost.
    """
    cluster = busy_cluster(loop, seed, task_s=(80.0, 120.0))
    (leader,) = cluster.current_leaders()
    if writes:
        setattr(cluster, writes, 0.5)
    cluster.links.set_mode(leader, STATE, mode)
    cluster.cancel_running_jobs(10)
    gevent.sleep(1.0)
    cluster.store.unavailable = True
    gevent.sleep(cluster.cancel_s + 12.0)
    cluster.store.unavailable = False
    gevent.sleep(10.0)
    end_faults(cluster)
    return cluster


@pytest.mark.parametrize("writes", ["", "late_write_rate", "lost_response_rate"])
@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD])
def test_jobs_cancelled_as_the_leader_is_refused_end_in_time(loop: VirtualLoop, mode: LinkMode, writes: str) -> None:
    assert cancel_jobs_as_the_leader_is_refused(loop, mode=mode, writes=writes).wait_until_settled(600.0) == []


# isolation of a zone with a controller --------------------------------------------------------------------


def isolate_zone(loop: VirtualLoop, seed: int = 61, leads: bool = True, failover: bool = False) -> SimulatedCluster:
    """Isolate a zone for longer than a lease while jobs are cancelled; held heartbeats then arrive at the same time."""
    cluster = busy_cluster(loop, seed)
    cluster.submit_continuously(2.0, cluster.loop.time + 50.0)
    (leader,) = cluster.current_leaders()
    inside = leader if leads else next(name for name in cluster.controller_names if name != leader)
    outside = [name for name in cluster.controller_names if name != inside]
    for other_end in (STATE, "b", *outside):
        cluster.links.set_mode(inside, other_end, LinkMode.HELD)
    for name in outside:
        cluster.links.set_mode(name, "a", LinkMode.HELD)
    for _ in range(3):
        cluster.cancel_running_jobs(4)
        gevent.sleep(0.5 * cluster.lease_s)
    if failover:
        crash_leader(cluster, 0.5)
        gevent.sleep(4.0)
    end_faults(cluster)
    return cluster


@pytest.mark.parametrize("failover", [False, True])
@pytest.mark.parametrize("leads", [True, False])
def test_zone_with_workers_and_a_controller_is_isolated(loop: VirtualLoop, leads: bool, failover: bool) -> None:
    assert isolate_zone(loop, leads=leads, failover=failover).wait_until_settled(500.0) == []


# faults built in on purpose -------------------------------------------------------------------------------


def ignore_zones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Placement, "_zone_counts", lambda self, job: {})


def ignore_possible_allocations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a new leader start tasks that may already run on unreconciled machines."""

    def add_none(self: JobRegistry, job: Any, machines: Any, tasks: int) -> None:
        job.unseen_tasks_below = job.first_unallocated = tasks
        self._release_unseen(job)

    monkeypatch.setattr(JobRegistry, "add_possible_holders", add_none)


def keep_live_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a cancellation leave the job's live record in the store."""
    monkeypatch.setattr(
        job_api,
        "completion_transaction",
        lambda *args: (
            completion_transaction(*args)[0],
            [change for change in completion_transaction(*args)[1] if change.put],
        ),
    )


def ignore_unreconciled_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count tasks that may run on unreconciled machines against no team."""
    monkeypatch.setattr(MachineInventory, "_set_unknown_usage", lambda self: None)


def start_tasks_that_may_run_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    ignore_unreconciled_machines(monkeypatch)
    ignore_possible_allocations(monkeypatch)


def cancel_unconditionally(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a cancellation be written without the condition that its job is not completed yet."""
    monkeypatch.setattr(
        job_api,
        "completion_transaction",
        lambda job_id, *args: ([key_absent(f"none/{job_id}")], completion_transaction(job_id, *args)[1]),
    )


def trust_outdated_cancellations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a leader respond with outdated information about cancellations, and record none from peers."""
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
    (change_leaders_ten_times, start_tasks_that_may_run_elsewhere),
    (cancel_jobs_as_they_end_with_late_writes, cancel_unconditionally),
    (cancel_jobs_as_the_leader_is_refused, trust_outdated_cancellations),
    (isolate_zone, lengthen_authority),
]


@pytest.mark.parametrize(("scenario", "inject_fault"), FAULTS, ids=[scenario.__name__ for scenario, _ in FAULTS])
def test_fault_built_in_on_purpose_is_found(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario, inject_fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_fault(monkeypatch)
    violations: list[str] = []
    for seed in range(4):
        with simulated_time() as virtual_loop:
            violations += scenario(virtual_loop, 51 + seed).wait_until_settled(90.0)
        if any(not text.startswith("j-") for text in violations):
            return
    raise AssertionError(f"fault not found: {violations[:5]}")
