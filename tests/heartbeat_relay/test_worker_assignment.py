"""Assignment of workers to controllers: which workers a controller keeps, and where it redirects the others."""

from __future__ import annotations

from collections import Counter

import msgspec

from grebestand.emulators.worker import WorkerEmulator
from grebestand.heartbeat_relay.worker_assignment import (
    KEEP_RETURNING_S,
    PeerCapacity,
    WorkerAssignment,
    assignment_enabled,
)
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.wire.workers import Heartbeat


class AssignmentWithPeers:
    """The worker assignment of the controller `node-0` in zone `a`, and the peers that it knows."""

    def __init__(self, *others: PeerCapacity, limit: int = 1000, machines: int = 300) -> None:
        self.clock = ManualClock()
        self.others = list(others)
        self.assignment = WorkerAssignment("node-0", "a", limit, 3.0, self.clock, lambda: self.others)
        self.assignment.update_machine_count(machines)

    def arrive(self, count: int, zone: str = "a", first: int = 0) -> Counter[str | None]:
        """Let new workers send their first heartbeat; return how many are assigned to each controller."""
        destinations = Counter[str | None]()
        for i in range(first, first + count):
            to = self.assignment.choose_controller(f"n-{i}", zone, is_leader=False)
            if to == "node-0":
                self.assignment.record_heartbeat(f"n-{i}")
            destinations[to] += 1
        return destinations


def test_controller_keeps_its_share_and_redirects_the_rest() -> None:
    near, far = PeerCapacity("near", "a", True, 0, 900), PeerCapacity("far", "b", False, 0, 900)
    cluster = AssignmentWithPeers(near, far)
    destinations = cluster.arrive(300)
    # peers in the worker's zone come first, then the other peers; the leader's share is smaller
    assert (
        100 <= destinations["node-0"] <= 120 and 80 <= destinations["near"] <= 100 and 80 <= destinations["far"] <= 120
    )
    # workers that are already kept stay
    assert cluster.arrive(50) == {"node-0": 50}
    # workers of another zone are redirected to that zone while its controllers are below their share
    fresh = AssignmentWithPeers(near, far)
    assert fresh.arrive(80, zone="b") == {"far": 80}


def test_redirected_worker_that_comes_back_is_kept() -> None:
    cluster = AssignmentWithPeers(PeerCapacity("near", "a", True, 0, 900))
    cluster.arrive(300)
    redirected = list(cluster.assignment.redirected_at)[:20]
    assert [cluster.assignment.choose_controller(machine, "a", False) for machine in redirected] == ["node-0"] * 20
    cluster.clock.now += KEEP_RETURNING_S + 1.0
    cluster.assignment.update_rate_and_expire()
    # no worker has sent a heartbeat for that long
    assert not cluster.assignment.redirected_at and not cluster.assignment.kept_workers


def test_surplus_workers_are_shed_at_a_bounded_rate() -> None:
    cluster = AssignmentWithPeers()
    assert cluster.arrive(300) == {"node-0": 300}
    cluster.others = [PeerCapacity("new", "a", False, 0, 900)]
    moved = 0
    for _ in range(40):
        cluster.clock.now += 0.5
        for machine in list(cluster.assignment.kept_workers):
            to = cluster.assignment.choose_controller(machine, "a", False)
            if to == "new":
                moved += 1
            else:
                cluster.assignment.record_heartbeat(machine)
        cluster.others = [PeerCapacity("new", "a", False, moved, 900)]
        cluster.assignment.record_peer_status("new")
        # SHED_FRACTION_PER_S of the 300 workers at the start is 18 per second
        assert moved <= 19 * (cluster.clock.now - 1000.0) + 19
    assert 150 <= len(cluster.assignment.kept_workers) <= 180


def test_surplus_heartbeats_are_shed() -> None:
    """Guards against balancing only the number of workers: those of busy machines send more heartbeats.

    A leader that kept an even number of workers, but on the busiest machines, answered twice as many heartbeats as its
    peers.
    """
    cluster = AssignmentWithPeers(
        PeerCapacity("near", "a", False, 95, 900, heartbeats_per_s=40.0),
        PeerCapacity("far", "b", False, 95, 900, heartbeats_per_s=40.0),
    )
    cluster.assignment.machine_count = 290
    for i in range(100):
        cluster.assignment.record_heartbeat(f"n-{i}")
    moved = Counter[str | None]()
    for _ in range(12):
        cluster.clock.now += 1.0
        for machine in list(cluster.assignment.kept_workers) * 2:
            if machine in cluster.assignment.kept_workers:
                to = cluster.assignment.choose_controller(machine, "a", False)
                moved[to] += 1
                if to == "node-0":
                    cluster.assignment.record_heartbeat(machine)
        cluster.assignment.update_rate_and_expire()
    assert cluster.assignment.heartbeats_per_s > 120.0 and 5 <= moved["near"] + moved["far"] <= 14


def test_full_controller_keeps_no_new_worker() -> None:
    cluster = AssignmentWithPeers(PeerCapacity("near", "a", True, 290, 3), limit=20)
    destinations = cluster.arrive(40)
    assert destinations["node-0"] == 20 and destinations["near"] == 3 and destinations[None] == 17
    assert cluster.assignment.choose_controller("n-0", "a", False, cannot_keep=True) is None


def test_overloaded_controller_gets_workers_only_as_a_last_resort() -> None:
    overloaded = PeerCapacity("overloaded", "a", False, 0, 900, is_overloaded=True)
    cluster = AssignmentWithPeers(overloaded, PeerCapacity("near", "a", True, 0, 900))
    assert cluster.arrive(300)["overloaded"] == 0
    cluster = AssignmentWithPeers(PeerCapacity("near", "a", False, 0, 900))
    cluster.assignment.is_overloaded = lambda: True
    assert cluster.arrive(100) == {"near": 100}
    cluster.others = []
    # without a peer, an overloaded controller still accepts workers
    assert cluster.arrive(10, first=100) == {"node-0": 10}


def test_policy_enables_assignment_with_hysteresis() -> None:
    assert not assignment_enabled(lambda machines: machines > 100, False, 100) and assignment_enabled(
        lambda machines: machines > 100, False, 101
    )
    assert assignment_enabled(lambda machines: machines > 100, True, 90) and not assignment_enabled(
        lambda machines: machines > 100, True, 80
    )
    assert not assignment_enabled(lambda machines: True, True, 0)


def test_heartbeat_names_its_machine_and_zone() -> None:
    """The assignment depends on the machine and zone in a heartbeat, so that both have to survive the encoding."""
    worker = WorkerEmulator("n-000007", zone="b")
    heartbeat = msgspec.json.decode(msgspec.json.encode(worker.next_heartbeat()), type=Heartbeat)
    assert (heartbeat.machine, heartbeat.zone) == ("n-000007", "b")


def test_followers_together_respect_the_leaders_room() -> None:
    """Guards against redirecting more workers to the leader than it has connections for.

    When a cluster starts, several hundred workers connect within 0.1 s, before the leader's next status message.
    """
    leader = PeerCapacity("leader", "a", True, 900, 240)
    cluster = AssignmentWithPeers(
        leader, PeerCapacity("far", "b", False, 0, 900), PeerCapacity("near", "a", False, 0, 900)
    )
    assert sum(cluster.assignment.may_redirect_to_leader("leader") for _ in range(300)) == 80
    # when a cluster starts, other followers redirect workers too, although their status has not arrived yet
    unaware = AssignmentWithPeers(leader)
    unaware.assignment.followers = 5
    assert sum(unaware.assignment.may_redirect_to_leader("leader") for _ in range(300)) == 48
    cluster.assignment.record_peer_status("leader")
    cluster.others[0] = PeerCapacity("leader", "a", True, 1140, 0)
    assert sum(cluster.assignment.may_redirect_to_leader("leader") for _ in range(300)) == 20
    assert cluster.assignment.may_redirect_to_leader("nobody knows")
