"""Cancelled jobs start no more tasks when the leader changes or is isolated at the time of the cancellation."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.leader.cancellation_horizon import MAX_AGE_FOR_STARTS_S, CancellationHorizon
from grebestand.leader.durable_grants import DurableGrants
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.storage.leader_records import GrantRecord
from support.cluster_actions import LEADER_CHANGES, change_leader, end_faults, start_if_stopped

#: the longest time that a command takes to reach a worker
COMMAND_DELAY_S = 4.0


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


@pytest.mark.parametrize("second_change", [False, True])
@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_jobs_cancelled_during_failover_end(loop: VirtualLoop, leader_change: str, second_change: bool) -> None:
    """Jobs are cancelled every 50 ms before, during and after the failover, some of them soon after acceptance."""
    cluster = SimulatedCluster(loop, seed=34, machines=10)
    cluster.burst_requests = True
    cluster.task_duration_s = (30.0, 60.0)
    for _ in range(60):
        cluster.submit(cluster.rng.choice(["red", "blue"]), 2, 1.0)
    gevent.sleep(12)
    for number, job_id in enumerate(list(cluster.jobs)):
        cluster.jobs[job_id].cancel_at = cluster.loop.time + 0.05 * number
        gevent.spawn_later(
            0.05 * number + 0.001, cluster._send_request, "cancel", job_id, cluster.rng.choice(cluster.controller_names)
        )
    gevent.sleep(1.0)
    change_leader(cluster, leader_change)
    for number in range(30):
        gevent.sleep(0.1)
        job_id = cluster.submit("blue", 2, 1.0)
        cluster.jobs[job_id].cancel_at = cluster.loop.time + 0.1 * (number % 10)
        if second_change and number == 12:
            change_leader(cluster, leader_change)
    gevent.sleep(20)
    end_faults(cluster)
    assert cluster.wait_until_settled(300.0) == []
    assert max((seconds for seconds, _ in cluster.starts_after_cancellation), default=0.0) < 1.0, (
        cluster.starts_after_cancellation
    )


# a leader that is not notified of cancellations -----------------------------------------------------------


def grant_whole_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make each job's grant cover all of its tasks, so that no start waits for the write of a grant."""
    whole_job = GrantRecord(2000, None), set[int]()
    monkeypatch.setattr(DurableGrants, "_widened", lambda self, job: (job, *whole_job))


def cancel_while_leader_is_isolated(
    loop: VirtualLoop, mode: LinkMode, monkeypatch: pytest.MonkeyPatch
) -> SimulatedCluster:
    """Isolate a leader from the store and its peers, not from workers, and cancel its job through the peers."""
    grant_whole_jobs(monkeypatch)
    cluster = SimulatedCluster(loop, seed=38, machines=10)
    cluster.task_duration_s = (2.0, 5.0)
    cluster.submit("blue", 2000, 1.0)
    gevent.sleep(12)
    (leader,) = cluster.current_leaders()
    followers = [name for name in cluster.controller_names if name != leader]
    for other_end in (STATE, *followers):
        cluster.links.set_mode(leader, other_end, mode)
    gevent.sleep(1.0)
    for job_id in cluster.jobs:
        cluster.jobs[job_id].cancel_at = cluster.loop.time
        gevent.spawn(cluster._send_request, "cancel", job_id, cluster.rng.choice(followers))
    gevent.sleep(25)
    end_faults(cluster)
    return cluster


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD])
def test_isolated_leader_starts_nothing_on_outdated_cancellations(
    loop: VirtualLoop, mode: LinkMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = cancel_while_leader_is_isolated(loop, mode, monkeypatch)
    assert (
        max((seconds for seconds, _ in cluster.starts_after_cancellation), default=0.0)
        < MAX_AGE_FOR_STARTS_S + COMMAND_DELAY_S
    )
    assert cluster.wait_until_settled(100.0) == []


def test_starts_on_outdated_cancellations_are_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: outdated information about cancellations does not prevent starts."""
    monkeypatch.setattr(CancellationHorizon, "allows_starts", lambda self: True)
    cluster = cancel_while_leader_is_isolated(loop, LinkMode.HELD, monkeypatch)
    assert max(seconds for seconds, _ in cluster.starts_after_cancellation) > MAX_AGE_FOR_STARTS_S + COMMAND_DELAY_S


@pytest.mark.parametrize("absent_peers", [0, 1])
def test_starts_continue_in_a_store_outage_only_while_all_peers_respond(
    loop: VirtualLoop, absent_peers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In an outage no controller can confirm a cancellation, so starts are safe while all peers report none.

    The leader cannot tell whether a peer that does not respond has confirmed cancellations before the outage.
    """
    grant_whole_jobs(monkeypatch)
    cluster = SimulatedCluster(loop, seed=39, machines=10)
    cluster.task_duration_s = (2.0, 5.0)
    cluster.submit("blue", 2000, 1.0)
    gevent.sleep(12)
    (leader,) = cluster.current_leaders()
    for name in [name for name in cluster.controller_names if name != leader][:absent_peers]:
        cluster.crash(name)
    cluster.store.unavailable = True
    gevent.sleep(11)
    starts_continue = cluster.longest_gap_between_starts(cluster.loop.time - 6.0, cluster.loop.time) < 2.0
    assert bool(starts_continue) is not bool(absent_peers)


def test_status_of_restarted_peer_does_not_confirm_its_earlier_cancellations(loop: VirtualLoop) -> None:
    """A leader must not start tasks because a restarted peer reports no cancellations.

    The previous process of the peer may have confirmed a cancellation just before it ended, of which the new process
    knows nothing, while the leader cannot read the store.
    """
    cluster = SimulatedCluster(loop, seed=40, machines=4)
    gevent.sleep(12)
    (leader_name,) = cluster.current_leaders()
    leader, peer_name = (
        cluster.controllers[leader_name],
        next(name for name in cluster.controller_names if name != leader_name),
    )
    assert leader is not None
    horizon = leader.election.cancellation_horizon
    peer = next(peer for peer in leader.peer_api.peers if peer.name == peer_name)
    assert leader.peer_api.cancellations_confirmed_up_to(horizon.known_at) > leader.clock() - 2.0
    cluster.store.unavailable = True
    cluster.crash(peer_name)
    start_if_stopped(cluster, peer_name)
    gevent.sleep(5.0)
    assert peer.answered_request_sent_at > leader.clock() - 2.0 and not horizon.allows_starts()
    cluster.store.unavailable = False
    gevent.sleep(2.0)
    assert horizon.allows_starts()
