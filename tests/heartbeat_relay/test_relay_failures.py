"""The heartbeat relay in simulated clusters, under failures of followers, the leader and the links between them.

Each worker sends its heartbeats to one controller. A follower forwards them in batches to the leader, and returns the
leader's responses to the workers.
"""

from __future__ import annotations

import itertools
import json
from collections import Counter
from collections.abc import Callable, Iterator

import gevent
import pytest

from grebestand.heartbeat_relay.batch_receiver import BatchReceiver
from grebestand.heartbeat_relay.forwarder import HeartbeatForwarder
from grebestand.leader.election import LeaderElection
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.simulated_worker import SimulatedWorker
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.wire.peers import HeartbeatBatch, HeartbeatBatchResponse
from support.cluster_actions import SPREAD_HEARTBEATS_POLICY, crash_leader, end_faults, start_if_stopped


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


def start_busy_cluster(loop: VirtualLoop, seed: int = 1, machines: int = 18, controllers: int = 3) -> SimulatedCluster:
    """Return a cluster with running jobs in which every controller answers heartbeats."""
    cluster = SimulatedCluster(
        loop, seed=seed, machines=machines, controllers=controllers, rules=SPREAD_HEARTBEATS_POLICY
    )
    cluster.task_duration_s = (3.0, 20.0)
    cluster.cancelled_job_rate = 0.2
    cluster.submit_continuously(2.0, 75.0)
    gevent.sleep(15)
    return cluster


def assigned_worker_counts(cluster: SimulatedCluster) -> dict[str, int]:
    """Return by running controller the number of workers assigned to it, which send their heartbeats to it."""
    return {
        name: len(controller.worker_assignment.kept_workers)
        for name, controller in cluster.controllers.items()
        if controller is not None
    }


def followers(cluster: SimulatedCluster) -> list[str]:
    """Return the names of all controllers except the leader."""
    (leader,) = cluster.current_leaders()
    return [name for name in cluster.controller_names if name != leader]


def test_workers_are_spread_evenly_and_answered_by_the_leader(loop: VirtualLoop) -> None:
    cluster = start_busy_cluster(loop, machines=30)
    even_share = 30 / 3
    counts = assigned_worker_counts(cluster)
    assert all(0.8 * even_share <= count <= 1.2 * even_share for count in counts.values()), counts
    statuses = Counter[str]()
    original_send_heartbeat = SimulatedWorker.send_heartbeat

    def count_status(self: SimulatedWorker, name: str) -> tuple[int, bytes]:
        status, body = original_send_heartbeat(self, name)
        statuses[f"{status}"] += 1
        return status, body

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SimulatedWorker, "send_heartbeat", count_status)
        gevent.sleep(30)
    # no worker is redirected once the shares are balanced
    assert statuses["200"] > 250 and set(statuses) == {"200"}
    (leader,) = cluster.current_leaders()
    controller = cluster.controllers[leader]
    assert (
        controller is not None
        and controller.batch_receiver.heartbeats_received > 250
        and len(cluster.leader_history) == 1
    )
    assert cluster.wait_until_settled(200.0) == []


def crash_for(cluster: SimulatedCluster, names: list[str], seconds: float) -> None:
    """Crash controllers, and restart them after a number of seconds."""
    for name in names:
        cluster.crash(name)
        gevent.spawn_later(seconds, start_if_stopped, cluster, name)


def follower_crashes(cluster: SimulatedCluster) -> None:
    crash_for(cluster, followers(cluster)[:1], 6.0)


def follower_restarts(cluster: SimulatedCluster) -> None:
    crash_for(cluster, followers(cluster)[:1], 0.3)


def all_followers_crash(cluster: SimulatedCluster) -> None:
    crash_for(cluster, followers(cluster), 5.0)


def follower_stalls(cluster: SimulatedCluster) -> None:
    cluster.pause(followers(cluster)[0], 12.0)


def follower_loses_leader(cluster: SimulatedCluster, mode: LinkMode = LinkMode.HELD, seconds: float = 25.0) -> None:
    """Interrupt or slow down the link between a follower and the leader for some time."""
    (leader,) = cluster.current_leaders()
    follower = followers(cluster)[0]
    cluster.links.set_mode(follower, leader, mode)
    gevent.spawn_later(seconds, cluster.links.set_mode, follower, leader, LinkMode.OPEN)


def follower_is_refused_by_leader(cluster: SimulatedCluster) -> None:
    follower_loses_leader(cluster, LinkMode.REFUSED)


def batches_are_lost(cluster: SimulatedCluster) -> None:
    (leader,) = cluster.current_leaders()
    for follower in followers(cluster):
        cluster.links.modes[follower, leader] = LinkMode.REQUESTS_LOST
    gevent.spawn_later(25.0, cluster.links.open_all)


def batch_responses_are_lost(cluster: SimulatedCluster) -> None:
    (leader,) = cluster.current_leaders()
    for follower in followers(cluster):
        cluster.links.modes[leader, follower] = LinkMode.RESPONSES_LOST
    gevent.spawn_later(25.0, cluster.links.open_all)


def follower_is_slow(cluster: SimulatedCluster) -> None:
    """Slow down the link between a follower and the leader."""
    follower_loses_leader(cluster, LinkMode.SLOW)


def follower_loses_its_workers(cluster: SimulatedCluster) -> None:
    """Cut a follower off from the workers of both zones."""
    follower = followers(cluster)[0]
    for zone in "ab":
        cluster.links.set_mode(follower, zone, LinkMode.HELD)
    gevent.spawn_later(25.0, cluster.links.open_all)


def follower_loses_store(cluster: SimulatedCluster) -> None:
    follower = followers(cluster)[0]
    cluster.links.set_mode(follower, STATE, LinkMode.HELD)
    gevent.spawn_later(25.0, cluster.links.open_all)


def leader_crashes(cluster: SimulatedCluster) -> None:
    crash_leader(cluster, 6.0)


def leader_restarts(cluster: SimulatedCluster) -> None:
    crash_leader(cluster, 0.3)


def leader_stalls(cluster: SimulatedCluster) -> None:
    cluster.pause(cluster.current_leaders()[0], 20.0)


def leader_is_deposed(cluster: SimulatedCluster) -> None:
    """Cut the leader off from the store and its peers but not from workers; cancel jobs after a peer has taken over."""
    (leader,) = cluster.current_leaders()
    for peer in (STATE, *followers(cluster)):
        cluster.links.set_mode(leader, peer, LinkMode.HELD)
    gevent.spawn_later(20.0, cluster.cancel_running_jobs, 4)
    gevent.spawn_later(40.0, cluster.links.open_all)


def leader_transfers_leadership(cluster: SimulatedCluster) -> None:
    controller = cluster.controllers[cluster.current_leaders()[0]]
    assert controller is not None
    gevent.spawn(controller.leadership_transfer.resign, "test", "")


def leader_and_follower_crash(cluster: SimulatedCluster) -> None:
    crash_for(cluster, [cluster.current_leaders()[0], followers(cluster)[0]], 5.0)


def several_failures_at_once(cluster: SimulatedCluster) -> None:
    follower_loses_its_workers(cluster)
    leader_crashes(cluster)
    cluster.duplicate_heartbeat_rate = 0.3
    cluster.late_command_rate = 0.5


def follower_loses_leader_for_long(cluster: SimulatedCluster) -> None:
    follower_loses_leader(cluster, seconds=90.0)


FAILURES: list[Callable[[SimulatedCluster], None]] = [
    follower_crashes, follower_restarts, all_followers_crash, follower_stalls, follower_loses_leader,
    follower_is_refused_by_leader, batches_are_lost, batch_responses_are_lost, follower_is_slow,
    follower_loses_its_workers, follower_loses_store, leader_crashes, leader_restarts, leader_stalls, leader_is_deposed,
    leader_transfers_leadership, leader_and_follower_crash, several_failures_at_once,
]  # fmt: skip


def violations_after(
    cluster: SimulatedCluster, failure: Callable[[SimulatedCluster], None], seconds: float = 50.0
) -> list[str]:
    """Cause a failure, repair it after some time, and return all violated invariants and lost jobs."""
    failure(cluster)
    gevent.sleep(6)
    if cluster.current_leaders():
        cluster.cancel_running_jobs(3)
    gevent.sleep(seconds)
    end_faults(cluster)
    return cluster.wait_until_settled(400.0)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seed", [1, 2])
def test_failure_violates_no_invariant_and_loses_no_job(
    loop: VirtualLoop, failure: Callable[[SimulatedCluster], None], seed: int
) -> None:
    cluster = start_busy_cluster(loop, seed, controllers=3 if seed == 1 else 5)
    assert violations_after(cluster, failure) == []
    assert not cluster.multiple_leader_times


@pytest.mark.parametrize("failure", [follower_crashes, follower_loses_leader, follower_stalls, follower_is_slow])
def test_follower_failure_expires_no_worker_lease_and_changes_no_leader(
    loop: VirtualLoop, failure: Callable[[SimulatedCluster], None]
) -> None:
    """Workers of a failed follower reach other controllers before their leases expire, so that no task is killed."""
    cluster = start_busy_cluster(loop)
    failure(cluster)
    gevent.sleep(35)
    assert cluster.lease_expiry_kills == 0 and len(cluster.leader_history) == 1
    assert cluster.longest_gap_between_starts(15.0, 45.0) < 9.0


def test_leader_unreachable_for_workers_receives_heartbeats_through_followers(loop: VirtualLoop) -> None:
    """Forwarded heartbeats avoid a failover: a leader that receives no heartbeats at all resigns."""
    cluster = start_busy_cluster(loop)
    (leader,) = cluster.current_leaders()
    for zone in "ab":
        cluster.links.set_mode(leader, zone, LinkMode.HELD)
    gevent.sleep(40)
    assert (
        cluster.current_leaders() == [leader] and len(cluster.leader_history) == 1 and cluster.lease_expiry_kills == 0
    )


def test_followers_keep_their_workers_through_a_failover(loop: VirtualLoop) -> None:
    cluster = start_busy_cluster(loop, machines=30)
    before = assigned_worker_counts(cluster)
    leader_transfers_leadership(cluster)
    gevent.sleep(12)
    assert len(cluster.leader_history) == 2 and cluster.lease_expiry_kills == 0
    after = assigned_worker_counts(cluster)
    assert all(abs(count - before[name]) <= 4 for name, count in after.items()), (before, after)


def test_restarted_follower_gets_workers_gradually(loop: VirtualLoop) -> None:
    """Guards against overloading a restarted follower, which keeps no workers and so is far below its share."""
    cluster = start_busy_cluster(loop, machines=60)
    name = followers(cluster)[0]
    cluster.crash(name)
    gevent.sleep(10)
    start_if_stopped(cluster, name)
    counts = []
    for _ in range(30):
        gevent.sleep(1)
        counts.append(assigned_worker_counts(cluster)[name])
    assert max(later - earlier for earlier, later in itertools.pairwise(counts)) <= 10
    even_share = 60 / 3
    assert 0.7 * even_share <= counts[-1] <= 1.2 * even_share


def follower_answers_from_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: followers repeat the last response to a worker if the leader's does not arrive in time."""
    last_responses: dict[str, tuple[int, bytes]] = {}
    forward = HeartbeatForwarder.forward

    def forward_or_repeat(self: HeartbeatForwarder, body: bytes, received_at: float) -> tuple[int, bytes]:
        machine = json.loads(body)["vessel"]
        status, response = forward(self, body, received_at)
        if status == 200:
            last_responses[machine] = status, response
            return status, response
        return last_responses.get(machine, (status, response))

    monkeypatch.setattr(HeartbeatForwarder, "forward", forward_or_repeat)
    monkeypatch.setattr(HeartbeatForwarder, "accepts_heartbeats", lambda self: True)


def leader_answers_without_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: a leader answers batches after its leader lease has expired."""
    respond = BatchReceiver._respond

    def respond_without_lease(self: BatchReceiver, batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                LeaderElection, "is_leader", lambda election: election is self.election or election.authority_until > 0
            )
            return respond(self, batch)

    monkeypatch.setattr(BatchReceiver, "_respond", respond_without_lease)
    monkeypatch.setattr(LeaderElection, "check_clock", lambda self: None)


@pytest.mark.parametrize("inject_fault", [follower_answers_from_memory, leader_answers_without_lease])
def test_invariant_checks_detect_injected_faults(
    monkeypatch: pytest.MonkeyPatch, inject_fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_fault(monkeypatch)
    violations: list[str] = []
    for seed, failure in itertools.product(range(3), (follower_loses_leader_for_long, leader_is_deposed)):
        with simulated_time() as loop:
            cluster = start_busy_cluster(loop, seed)
            cluster.task_duration_s = (20.0, 90.0)
            violations += violations_after(cluster, failure, seconds=90.0)
    assert violations
