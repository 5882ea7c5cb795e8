"""Combinations of faults on several real controllers; docs/meetings.md says why each combination is safe."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.api.job_api import JobApi
from grebestand.leader.election import LeaderElection
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from support.cluster_actions import LEADER_CHANGES, change_leader, start_if_stopped
from support.network_faults import isolate


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


def busy_cluster(loop: VirtualLoop, seed: int, task_s: tuple[float, float] = (20.0, 90.0)) -> SimulatedCluster:
    """Return a cluster with jobs of two or three tasks that end far apart, some of them gangs."""
    cluster = SimulatedCluster(loop, seed=seed, machines=12)
    cluster.task_duration_s = task_s
    for number in range(16):
        shape = "ensemble" if number % 4 == 3 else "array"
        cluster.submit(cluster.rng.choice(["red", "blue"]), cluster.rng.randint(2, 3), 1.0, shape=shape)
    gevent.sleep(15)
    assert len(cluster.task_start_times) > 20 and not cluster.violations()
    return cluster


def cancel_jobs(cluster: SimulatedCluster, every: int = 2) -> None:
    """Cancel one in `every` jobs now."""
    for number, job in enumerate(cluster.jobs.values()):
        if number % every == 0 and not job.is_finished:
            job.cancel_at = min(job.cancel_at, cluster.loop.time)


# tasks of one job that end far apart ----------------------------------------------------------------------


@pytest.mark.parametrize("late_writes", [0.0, 0.4])
@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_tasks_end_far_apart_across_failovers(loop: VirtualLoop, leader_change: str, late_writes: float) -> None:
    cluster = busy_cluster(loop, seed=21)
    cluster.late_write_rate = late_writes
    for _ in range(5):
        change_leader(cluster, leader_change)
        gevent.sleep(17)
    cluster.late_write_rate = 0.0
    assert cluster.wait_until_settled(500.0) == []


# a slow store, a refused leader and an outage during polls ------------------------------------------------


def record_requests(cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, float, int]]:
    """Return a list that gets the method, the duration in seconds and the status of each request of a user."""
    requests: list[tuple[str, float, int]] = []
    for method in ("submit", "poll", "cancel"):
        handle = getattr(JobApi, method)

        def handle_timed(self: JobApi, argument: object, method: str = method, handle: object = handle) -> object:
            received_at = cluster.loop.time
            response = handle(self, argument)  # type: ignore[operator]
            requests.append((method, cluster.loop.time - received_at, response.status))
            return response

        monkeypatch.setattr(JobApi, method, handle_timed)
    return requests


def test_users_get_responses_in_time_or_503(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = busy_cluster(loop, seed=22)
    requests = record_requests(cluster, monkeypatch)
    cluster.cancelled_job_rate = 0.5
    cluster.submit_continuously(2.0, 120.0)
    cluster.max_response_delay_s = 3.0
    cancel_jobs(cluster)
    gevent.sleep(20)
    (leader,) = cluster.current_leaders() or [cluster.leader_history[-1][1]]
    cluster.links.set_mode(leader, STATE, LinkMode.REFUSED)
    gevent.sleep(6)
    cluster.store.unavailable = True
    gevent.sleep(60)
    cluster.store.unavailable = False
    gevent.sleep(15)
    cluster.links.open_all()
    cluster.max_response_delay_s = 0.0
    assert cluster.wait_until_settled(900.0) == []
    assert {status for _, _, status in requests} <= {200, 201, 503}
    assert max(seconds for method, seconds, _ in requests if method == "poll") < 4.0
    assert max(seconds for method, seconds, _ in requests if method != "poll") < 5.0


# a leader crashes while machines are unreachable, or get no responses of the next leader -------------------


@pytest.mark.parametrize("fault", ["unreachable", "deaf to the next", "hanging", "taken"])
def test_leader_crashes_while_machines_are_unreachable(loop: VirtualLoop, fault: str) -> None:
    cluster = busy_cluster(loop, seed=23)
    (leader,) = cluster.current_leaders()
    affected = [machine for machine in cluster.machines.values() if machine.zone == "b"]
    if fault == "unreachable":
        for name in cluster.controller_names:
            cluster.links.set_mode(name, "b", LinkMode.HELD)
    for machine in affected:
        if fault == "deaf to the next":
            machine.unheard_controllers = frozenset(name for name in cluster.controller_names if name != leader)
        elif fault == "hanging":
            machine.is_hung = True
    if fault == "taken":
        cluster._delete_machines([machine.name for machine in affected[:3]])
    cancel_jobs(cluster, every=3)
    gevent.sleep(2)
    cluster.crash(leader)
    gevent.sleep(30)
    cluster.links.open_all()
    for machine in affected:
        machine.unheard_controllers, machine.is_hung = frozenset(), False
    start_if_stopped(cluster, leader)
    assert cluster.wait_until_settled(500.0) == []


# a leader isolated with its workers and users ------------------------------------------------------------


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD])
def test_jobs_are_cancelled_through_the_new_leader_while_the_old_one_is_isolated(
    loop: VirtualLoop, mode: LinkMode
) -> None:
    cluster = busy_cluster(loop, seed=24)
    (leader,) = cluster.current_leaders()
    isolate(cluster, leader, mode)
    for number in range(3):
        gevent.sleep(8)
        cancel_jobs(cluster, every=4 - number)
    gevent.sleep(25)
    cluster.links.open_all()
    gevent.sleep(5)
    assert len(cluster.leader_history) <= 3  # no further failover when the old leader returns
    assert cluster.wait_until_settled(500.0) == []


def test_authority_beyond_the_lease_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: an isolated leader keeps its authority for 10 s too long."""
    extend = LeaderElection._extend_authority
    monkeypatch.setattr(LeaderElection, "_extend_authority", lambda self, sent: extend(self, sent + 10.0))
    cluster = busy_cluster(loop, seed=24)
    (leader,) = cluster.current_leaders()
    isolate(cluster, leader, LinkMode.HELD)
    gevent.sleep(40)
    assert cluster.violations()


# delayed commands, hung machines, heartbeats out of order -------------------------------------------------


def test_commands_and_responses_are_delayed_while_tokens_increase(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=25, task_s=(5.0, 40.0))
    cluster.late_command_rate, cluster.duplicate_heartbeat_rate = 0.8, 0.2
    cluster.submit_continuously(2.0, 60.0)
    for number in range(4):
        hung = [cluster.machines[f"n-{index:06d}"] for index in range(3 * number, 3 * number + 3)]
        for machine in hung:
            machine.is_hung = True
        cancel_jobs(cluster, every=3)
        gevent.sleep(6)
        for name in cluster.current_leaders():
            cluster.crash(name)
            gevent.spawn_later(0.3, start_if_stopped, cluster, name)
        gevent.sleep(3)
        for machine in hung:
            machine.is_hung = False
    cluster.late_command_rate = cluster.duplicate_heartbeat_rate = 0.0
    gevent.sleep(60)
    assert cluster.wait_until_settled(500.0) == []


def test_old_heartbeats_arrive_after_newer_ones_across_restarts_and_failovers(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=26, task_s=(5.0, 40.0))
    cluster.duplicate_heartbeat_rate = 0.4
    cluster.submit_continuously(2.0, 60.0)
    for number in range(4):
        cluster.machines[f"n-{number:06d}"].restart(reset_session=bool(number % 2))
        for name in cluster.current_leaders():
            cluster.crash(name)
            gevent.spawn_later(4.0 if number % 2 else 0.1, start_if_stopped, cluster, name)
        gevent.sleep(10)
    cluster.duplicate_heartbeat_rate = 0.0
    gevent.sleep(60)
    assert cluster.wait_until_settled(500.0) == []


# transactions that are applied late -----------------------------------------------------------------------


def test_submissions_and_cancellations_are_applied_after_their_503(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=27)
    cluster.late_write_rate, cluster.cancelled_job_rate = 0.6, 0.5
    cluster.submit_continuously(2.0, 70.0)
    cancel_jobs(cluster)
    gevent.sleep(50)
    cluster.late_write_rate = 0.0
    assert cluster.wait_until_settled(500.0) == []


# crashes of all controllers; leadership transfers there and back ------------------------------------------


@pytest.mark.parametrize("restart_s", [0.1, 1.0, 20.0])
def test_all_controllers_crash_and_one_restarts(loop: VirtualLoop, restart_s: float) -> None:
    cluster = busy_cluster(loop, seed=28)
    cancel_jobs(cluster, every=3)
    for name in cluster.controller_names:
        cluster.crash(name)
    gevent.sleep(restart_s)
    start_if_stopped(cluster, cluster.controller_names[1])
    gevent.sleep(25)
    for name in cluster.controller_names:
        start_if_stopped(cluster, name)
    tokens = [token for _, _, token in cluster.leader_history]
    assert tokens == sorted(set(tokens))
    assert cluster.wait_until_settled(500.0) == []


def test_leadership_transfer_to_a_successor_that_crashes_and_back(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=29)
    (first,) = cluster.current_leaders()
    first_leader, successor = (
        cluster.controllers[first],
        next(name for name in cluster.controller_names if name != first),
    )
    assert first_leader is not None
    gevent.spawn(first_leader.leadership_transfer.resign, "played", successor)
    gevent.sleep(0.02)
    cluster.crash(successor)
    cancel_jobs(cluster, every=3)
    gevent.sleep(12)
    assert cluster.current_leaders()  # within the wait for the successor and the lease of the leader key
    for name in cluster.current_leaders():
        next_leader = cluster.controllers[name]
        assert next_leader is not None
        gevent.spawn(next_leader.leadership_transfer.resign, "played", first)
    gevent.sleep(10)
    start_if_stopped(cluster, successor)
    assert cluster.longest_gap_between_starts(20.0, 25.0) <= 5.0 and not cluster.multiple_leader_times
    assert cluster.wait_until_settled(500.0) == []
