"""Which controller keeps which workers."""

from __future__ import annotations

from collections import Counter

import msgspec

from grebestand.emulators.worker import WorkerEmulator
from grebestand.heartbeat_relay.worker_assignment import BACK_S, PeerCapacity, WorkerAssignment, assignment_enabled
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.wire.workers import Heartbeat


class Neighbours:
    """The assignment of one controller among others, whose last status messages are given."""

    def __init__(self, *others: PeerCapacity, limit: int = 1000, machines: int = 300) -> None:
        self.clock = ManualClock()
        self.others = list(others)
        self.assignment = WorkerAssignment("node-0", "a", limit, 3.0, self.clock, lambda: self.others)
        self.assignment.told(machines)

    def arrive(self, count: int, zone: str = "a", first: int = 0) -> Counter[str | None]:
        """Have new workers come, and return how many of them go to which controller."""
        destinations = Counter[str | None]()
        for i in range(first, first + count):
            to = self.assignment.where(f"n-{i}", zone, leads=False)
            if to == "node-0":
                self.assignment.keep(f"n-{i}")
            destinations[to] += 1
        return destinations


def test_controller_keeps_its_share_and_redirects_the_rest() -> None:
    near, far = PeerCapacity("near", "a", True, 0, 900), PeerCapacity("far", "b", False, 0, 900)
    neighbours = Neighbours(near, far)
    destinations = neighbours.arrive(300)
    # its own zone's others first, then whoever has room; the leader's share is a little less
    assert (
        100 <= destinations["node-0"] <= 120 and 80 <= destinations["near"] <= 100 and 80 <= destinations["far"] <= 120
    )
    # a worker that is kept stays
    assert neighbours.arrive(50) == {"node-0": 50}
    # those of another zone go there, as long as there is room
    fresh = Neighbours(near, far)
    assert fresh.arrive(80, zone="b") == {"far": 80}


def test_redirected_worker_that_comes_back_is_kept() -> None:
    neighbours = Neighbours(PeerCapacity("near", "a", True, 0, 900))
    neighbours.arrive(300)
    sent = list(neighbours.assignment.sent)[:20]
    # they come back, and are kept
    assert [neighbours.assignment.where(machine, "a", False) for machine in sent] == ["node-0"] * 20
    neighbours.clock.now += BACK_S + 1.0
    neighbours.assignment.tidy()
    assert not neighbours.assignment.sent and not neighbours.assignment.kept  # nobody has reported for so long


def test_surplus_workers_are_shed_at_a_bounded_rate() -> None:
    neighbours = Neighbours()
    assert neighbours.arrive(300) == {"node-0": 300}
    neighbours.others = [PeerCapacity("new", "a", False, 0, 900)]
    moved = 0
    for _ in range(40):
        neighbours.clock.now += 0.5
        for machine in list(neighbours.assignment.kept):
            to = neighbours.assignment.where(machine, "a", False)
            if to == "new":
                moved += 1
            else:
                neighbours.assignment.keep(machine)
        neighbours.others = [PeerCapacity("new", "a", False, moved, 900)]
        neighbours.assignment.heard("new")
        # six in a hundred of the 300 it began with, a second
        assert moved <= 19 * (neighbours.clock.now - 1000.0) + 19
    assert 150 <= len(neighbours.assignment.kept) <= 180


def test_surplus_heartbeats_are_shed() -> None:
    """Counts were even, and the leader, with the busiest machines, answered twice as many reports as others."""
    neighbours = Neighbours(
        PeerCapacity("near", "a", False, 95, 900, reports=40.0), PeerCapacity("far", "b", False, 95, 900, reports=40.0)
    )
    neighbours.assignment.machines = 290
    for i in range(100):
        neighbours.assignment.keep(f"n-{i}")
    moved = Counter[str | None]()
    for _ in range(12):
        neighbours.clock.now += 1.0
        for machine in list(neighbours.assignment.kept) * 2:
            if machine in neighbours.assignment.kept:
                to = neighbours.assignment.where(machine, "a", False)
                moved[to] += 1
                if to == "node-0":
                    neighbours.assignment.keep(machine)
        neighbours.assignment.tidy()
    assert neighbours.assignment.rate > 120.0 and 5 <= moved["near"] + moved["far"] <= 14


def test_full_controller_keeps_no_new_worker() -> None:
    neighbours = Neighbours(PeerCapacity("near", "a", True, 290, 3), limit=20)
    destinations = neighbours.arrive(40)
    assert destinations["node-0"] == 20 and destinations["near"] == 3 and destinations[None] == 17
    assert neighbours.assignment.where("n-0", "a", False, surplus=True) is None


def test_overloaded_controller_gets_workers_only_as_a_last_resort() -> None:
    late = PeerCapacity("late", "a", False, 0, 900, late=True)
    neighbours = Neighbours(late, PeerCapacity("near", "a", True, 0, 900))
    assert neighbours.arrive(300)["late"] == 0
    neighbours = Neighbours(PeerCapacity("near", "a", False, 0, 900))
    neighbours.assignment.late = lambda: True
    assert neighbours.arrive(100) == {"near": 100}
    neighbours.others = []
    assert neighbours.arrive(10, first=100) == {"node-0": 10}  # better late than not at all


def test_policy_enables_assignment_with_hysteresis() -> None:
    assert not assignment_enabled(lambda machines: machines > 100, False, 100) and assignment_enabled(
        lambda machines: machines > 100, False, 101
    )
    assert assignment_enabled(lambda machines: machines > 100, True, 90) and not assignment_enabled(
        lambda machines: machines > 100, True, 80
    )
    assert not assignment_enabled(lambda machines: True, True, 0)


def test_heartbeat_names_its_machine_and_zone() -> None:
    """The spread goes by the names that reports carry: read here and at the leader, they mean the same worker."""
    worker = WorkerEmulator("n-000007", zone="b")
    report = msgspec.json.decode(msgspec.json.encode(worker.next_heartbeat()), type=Heartbeat)
    assert (report.machine, report.zone) == ("n-000007", "b")


def test_followers_together_respect_the_leaders_room() -> None:
    """Where everything begins at once, several hundred came within a tenth of a second."""
    leader = PeerCapacity("leader", "a", True, 900, 240)
    neighbours = Neighbours(leader, PeerCapacity("far", "b", False, 0, 900), PeerCapacity("near", "a", False, 0, 900))
    assert sum(neighbours.assignment.may_redirect_to_leader("leader") for _ in range(300)) == 80
    # at a start the others are not heard of yet, and send all the same
    alone = Neighbours(leader)
    alone.assignment.followers = 5
    assert sum(alone.assignment.may_redirect_to_leader("leader") for _ in range(300)) == 48
    neighbours.assignment.heard("leader")
    neighbours.others[0] = PeerCapacity("leader", "a", True, 1140, 0)
    assert sum(neighbours.assignment.may_redirect_to_leader("leader") for _ in range(300)) == 20
    assert neighbours.assignment.may_redirect_to_leader("nobody knows")
