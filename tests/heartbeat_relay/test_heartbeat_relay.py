"""Reports over any controller: who keeps which workers, batches to the leader, and every way in which a relay fails."""

from __future__ import annotations

import itertools
import json
from collections import Counter
from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from grebestand.api.heartbeat_api import HeartbeatApi
from grebestand.api.http_server import listen_bounded, respond
from grebestand.api.response import Response
from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.controller.controller import Controller
from grebestand.emulators.worker import WorkerEmulator
from grebestand.flow_control.connection_limits import BATCHES, ConnectionPlan, plan_connections
from grebestand.flow_control.overload import OverloadMonitor
from grebestand.heartbeat_relay.batch_receiver import BatchReceiver, BatchRefusedError
from grebestand.heartbeat_relay.forwarder import (
    ANSWER_S,
    BATCH_TIMEOUT_S,
    MAX_QUEUE_WAIT_S,
    MOST_REPORTS,
    PATH,
    PAUSE_S,
    UNRESPONSIVE_AFTER_S,
    HeartbeatForwarder,
)
from grebestand.heartbeat_relay.worker_assignment import BACK_S, PeerCapacity, WorkerAssignment, assignment_enabled
from grebestand.leader.election import LeaderElection
from grebestand.leader.term import Term
from grebestand.settings.platform import Quota
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.simulated_worker import SimulatedWorker
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController, ManualClock
from grebestand.simulation.virtual_time import VirtualLoop, simulated
from grebestand.state_machines import ForwarderState
from grebestand.wire.peers import HeartbeatBatch, HeartbeatBatchResponse
from grebestand.wire.workers import Heartbeat, HeartbeatResponse
from support.cluster_actions import SPREAD, back, crash_leader, heal


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated() as virtual:
        yield virtual


def spread_world(loop: VirtualLoop, seed: int = 1, machines: int = 18, controllers: int = 3) -> SimulatedCluster:
    """A cluster at work whose controllers all answer reports."""
    world = SimulatedCluster(loop, seed=seed, machines=machines, controllers=controllers, rules=SPREAD)
    world.task_s = (3.0, 20.0)
    world.cancelling = 0.2
    world.crowd(2.0, 75.0)
    gevent.sleep(15)
    return world


def kept(world: SimulatedCluster) -> dict[str, int]:
    return {name: len(node.spread.kept) for name, node in world.nodes.items() if node is not None}


def relays(world: SimulatedCluster) -> list[str]:
    (leader,) = world.leading()
    return [n for n in world.controllers if n != leader]


def test_reports_are_spread_and_each_is_answered_by_the_leader(loop: VirtualLoop) -> None:
    world = spread_world(loop, machines=30)
    even = 30 / 3
    assert all(0.8 * even <= count <= 1.2 * even for count in kept(world).values()), kept(world)
    asked = Counter[str]()
    moves = SimulatedWorker.report_to

    def counted(self: SimulatedWorker, name: str) -> tuple[int, bytes]:
        status, body = moves(self, name)
        asked[f"{status}"] += 1
        return status, body

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SimulatedWorker, "report_to", counted)
        gevent.sleep(30)
    # nobody is sent to and fro once all have found their place
    assert asked["200"] > 250 and set(asked) == {"200"}
    (leader,) = world.leading()
    node = world.nodes[leader]
    assert node is not None and node.receiver.reports > 250 and len(world.leaders) == 1
    assert world.settled(200.0) == []


def stop(world: SimulatedCluster, names: list[str], seconds: float) -> None:
    for name in names:
        world.crash(name)
        gevent.spawn_later(seconds, back, world, name)


def relay_ends(world: SimulatedCluster) -> None:
    stop(world, relays(world)[:1], 6.0)


def relay_is_back_at_once(world: SimulatedCluster) -> None:
    stop(world, relays(world)[:1], 0.3)


def relays_end(world: SimulatedCluster) -> None:
    stop(world, relays(world), 5.0)


def relay_stands_still(world: SimulatedCluster) -> None:
    world.freeze(relays(world)[0], 12.0)


def relay_loses_the_leader(world: SimulatedCluster, way: LinkMode = LinkMode.HELD, seconds: float = 25.0) -> None:
    (leader,) = world.leading()
    relay = relays(world)[0]
    world.links.set(relay, leader, way)
    gevent.spawn_later(seconds, world.links.set, relay, leader, LinkMode.OPEN)


def relay_is_refused(world: SimulatedCluster) -> None:
    relay_loses_the_leader(world, LinkMode.REFUSED)


def batches_are_lost(world: SimulatedCluster) -> None:
    (leader,) = world.leading()
    for relay in relays(world):
        world.links.ways[relay, leader] = LinkMode.ASKS_LOST
    gevent.spawn_later(25.0, world.links.heal)


def answers_to_batches_are_lost(world: SimulatedCluster) -> None:
    (leader,) = world.leading()
    for relay in relays(world):
        world.links.ways[leader, relay] = LinkMode.ANSWERS_LOST
    gevent.spawn_later(25.0, world.links.heal)


def relay_is_slow(world: SimulatedCluster) -> None:
    relay_loses_the_leader(world, LinkMode.SLOW)


def relay_loses_its_workers(world: SimulatedCluster) -> None:
    relay = relays(world)[0]
    for zone in "ab":
        world.links.set(relay, zone, LinkMode.HELD)
    gevent.spawn_later(25.0, world.links.heal)


def relay_loses_the_state_service(world: SimulatedCluster) -> None:
    relay = relays(world)[0]
    world.links.set(relay, STATE, LinkMode.HELD)
    gevent.spawn_later(25.0, world.links.heal)


def leader_ends(world: SimulatedCluster) -> None:
    crash_leader(world, 6.0)


def leader_is_back_at_once(world: SimulatedCluster) -> None:
    crash_leader(world, 0.3)


def leader_stands_still(world: SimulatedCluster) -> None:
    world.freeze(world.leading()[0], 20.0)


def leader_is_deposed(world: SimulatedCluster) -> None:
    """Cut from the state service and the others, and not from its workers; jobs are cancelled through the next."""
    (leader,) = world.leading()
    for far in (STATE, *relays(world)):
        world.links.set(leader, far, LinkMode.HELD)
    gevent.spawn_later(20.0, world.cancel_now, 4)
    gevent.spawn_later(40.0, world.links.heal)


def leader_gives_way(world: SimulatedCluster) -> None:
    node = world.nodes[world.leading()[0]]
    assert node is not None
    gevent.spawn(node.leadership_transfer._give_way, "played", "")


def leader_and_relay_end(world: SimulatedCluster) -> None:
    stop(world, [world.leading()[0], relays(world)[0]], 5.0)


def all_at_once(world: SimulatedCluster) -> None:
    relay_loses_its_workers(world)
    leader_ends(world)
    world.copies = 0.3
    world.late_orders = 0.5


FAILURES: list[Callable[[SimulatedCluster], None]] = [
    relay_ends, relay_is_back_at_once, relays_end, relay_stands_still, relay_loses_the_leader, relay_is_refused,
    batches_are_lost, answers_to_batches_are_lost, relay_is_slow, relay_loses_its_workers,
    relay_loses_the_state_service, leader_ends, leader_is_back_at_once, leader_stands_still, leader_is_deposed,
    leader_gives_way, leader_and_relay_end, all_at_once,
]  # fmt: skip


def after(world: SimulatedCluster, failure: Callable[[SimulatedCluster], None], seconds: float = 50.0) -> list[str]:
    """What was broken or lost by the time that all is over."""
    failure(world)
    gevent.sleep(6)
    if world.leading():
        world.cancel_now(3)
    gevent.sleep(seconds)
    heal(world)
    return world.settled(400.0)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_rule_breaks_and_nothing_is_lost(
    loop: VirtualLoop, failure: Callable[[SimulatedCluster], None], seed: int
) -> None:
    world = spread_world(loop, seed, controllers=3 if seed == 1 else 5)
    assert after(world, failure) == []
    assert not world.both


@pytest.mark.parametrize("failure", [relay_ends, relay_loses_the_leader, relay_stands_still, relay_is_slow])
def test_what_befalls_a_relay_costs_no_lease_and_no_leader(
    loop: VirtualLoop, failure: Callable[[SimulatedCluster], None]
) -> None:
    """Its workers go to the others, and what runs goes on."""
    world = spread_world(loop)
    failure(world)
    gevent.sleep(35)
    assert world.killed == 0 and len(world.leaders) == 1
    assert world.longest_pause(15.0, 45.0) < 9.0


def test_a_leader_that_no_worker_reaches_leads_on_over_the_others(loop: VirtualLoop) -> None:
    """Alone it would have had to give way: one change of leader less."""
    world = spread_world(loop)
    (leader,) = world.leading()
    for zone in "ab":
        world.links.set(leader, zone, LinkMode.HELD)
    gevent.sleep(40)
    assert world.leading() == [leader] and len(world.leaders) == 1 and world.killed == 0


def test_relays_keep_their_workers_while_the_leader_changes(loop: VirtualLoop) -> None:
    world = spread_world(loop, machines=30)
    before = kept(world)
    leader_gives_way(world)
    gevent.sleep(12)
    assert len(world.leaders) == 2 and world.killed == 0
    assert all(abs(count - before[name]) <= 4 for name, count in kept(world).items()), (before, kept(world))


def test_one_that_comes_back_fills_up_bit_by_bit(loop: VirtualLoop) -> None:
    """All at once they would take the one that is back for the answer to everything."""
    world = spread_world(loop, machines=60)
    name = relays(world)[0]
    world.crash(name)
    gevent.sleep(10)
    back(world, name)
    counts = []
    for _ in range(30):
        gevent.sleep(1)
        counts.append(kept(world)[name])
    assert max(b - a for a, b in itertools.pairwise(counts)) <= 10
    assert 0.7 * 20 <= counts[-1] <= 1.2 * 20


def relay_loses_it_for_long(world: SimulatedCluster) -> None:
    relay_loses_the_leader(world, seconds=90.0)


# breaks made on purpose, found by the checks of the simulated cluster


def answers_from_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A relay gives the answer before last once more, where the leader gives none in time."""
    told: dict[str, tuple[int, bytes]] = {}
    pass_on = HeartbeatForwarder.pass_on

    def remembering(self: HeartbeatForwarder, body: bytes, came_at: float) -> tuple[int, bytes]:
        machine = json.loads(body)["vessel"]
        status, said = pass_on(self, body, came_at)
        if status == 200:
            told[machine] = status, said
            return status, said
        return told.get(machine, (status, said))

    monkeypatch.setattr(HeartbeatForwarder, "pass_on", remembering)
    monkeypatch.setattr(HeartbeatForwarder, "open", lambda self: True)


def answers_without_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader goes on answering batches, whatever its own authority is."""
    answered = BatchReceiver._respond

    def always(self: BatchReceiver, batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(LeaderElection, "is_leader", lambda lead: lead is self.election or lead.authority_until > 0)
            return answered(self, batch)

    monkeypatch.setattr(BatchReceiver, "_respond", always)
    monkeypatch.setattr(LeaderElection, "check_clock", lambda self: None)


@pytest.mark.parametrize("break_it", [answers_from_memory, answers_without_authority])
def test_a_break_made_on_purpose_is_found(
    monkeypatch: pytest.MonkeyPatch, break_it: Callable[[pytest.MonkeyPatch], None]
) -> None:
    break_it(monkeypatch)
    found: list[str] = []
    for seed, failure in itertools.product(range(3), (relay_loses_it_for_long, leader_is_deposed)):
        with simulated() as loop:
            world = spread_world(loop, seed)
            world.task_s = (20.0, 90.0)
            found += after(world, failure, seconds=90.0)
    assert found


# the parts alone


class Leader:
    """A leader at the other end: answers what it is told to."""

    def __init__(self, answer: Callable[[HeartbeatBatch], HeartbeatBatchResponse]) -> None:
        self.answer = answer
        self.batches: list[HeartbeatBatch] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        assert (method, path) == ("POST", PATH)
        batch = msgspec.msgpack.decode(body, type=HeartbeatBatch)
        self.batches.append(batch)
        with gevent.Timeout(timeout, False):
            return 200, msgspec.msgpack.encode(self.answer(batch))
        raise UnreachableError("timeout")


def passing(
    loop: VirtualLoop, answer: Callable[[HeartbeatBatch], HeartbeatBatchResponse]
) -> tuple[HeartbeatForwarder, Leader]:
    leader = Leader(answer)
    peer = PeerClient("node-0", leader)
    sender = HeartbeatForwarder("node-1", lambda: loop.time, lambda: peer)
    gevent.spawn(sender.run)
    return sender, leader


def echo(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
    return HeartbeatBatchResponse([(200, body) for body in batch.reports])


def test_reports_that_come_together_go_together_and_each_has_its_own_answer(loop: VirtualLoop) -> None:
    sender, leader = passing(loop, echo)
    asked = [gevent.spawn(sender.pass_on, b"%d" % i, loop.time) for i in range(600)]
    gevent.joinall(asked)
    assert [g.value for g in asked] == [(200, b"%d" % i) for i in range(600)]
    assert [len(b.reports) for b in leader.batches] == [MOST_REPORTS, MOST_REPORTS, 600 - 2 * MOST_REPORTS]


def test_an_answer_that_is_too_old_is_given_to_nobody(loop: VirtualLoop) -> None:
    """A relay that stood still: by its own clock the report came long ago."""

    def late(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(2.0)
        return echo(batch)

    sender, _ = passing(loop, late)
    assert sender.pass_on(b"new", loop.time) == (200, b"new")
    assert sender.pass_on(b"old", loop.time - ANSWER_S + 1.0) == (0, b"")


def test_a_leader_that_is_late_gets_no_more_than_it_can_take(loop: VirtualLoop) -> None:
    def slow(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1.9)
        return HeartbeatBatchResponse([(200, b"")] * len(batch.reports), late=True)

    sender, leader = passing(loop, slow)
    for _ in range(BATCHES):
        gevent.spawn(sender.pass_on, b"", loop.time)
        gevent.sleep(0.1)
    gevent.spawn(sender.pass_on, b"waits", loop.time)
    gevent.sleep(0.1)
    assert len(leader.batches) == BATCHES  # and no more are under way
    gevent.sleep(MAX_QUEUE_WAIT_S)
    assert sender.pass_on(b"", loop.time) == (503, b"")  # at once


def test_a_leader_that_does_not_answer_is_left_alone_for_a_while(loop: VirtualLoop) -> None:
    def silent(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    sender, leader = passing(loop, silent)
    assert sender.open() and sender.pass_on(b"", loop.time) == (0, b"")
    assert loop.time >= UNRESPONSIVE_AFTER_S and sender.state is ForwarderState.RESTING and not sender.open()
    leader.answer = echo
    gevent.sleep(PAUSE_S)
    assert sender.open() and sender.pass_on(b"x", loop.time) == (200, b"x")


def test_half_of_an_answer_is_none(loop: VirtualLoop) -> None:
    sender, leader = passing(loop, echo)
    whole = leader.request

    def cut(method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        status, answer = whole(method, path, body, timeout)
        return status, answer[: len(answer) // 2]

    leader.request = cut  # type: ignore[method-assign]
    assert sender.pass_on(b"report", loop.time) == (0, b"")
    leader.answer, leader.request = (lambda batch: HeartbeatBatchResponse([])), whole  # type: ignore[method-assign]
    assert sender.pass_on(b"report", loop.time) == (0, b"")  # nor is an answer to something else


def test_a_leader_that_is_late_and_still_greets_keeps_its_relays(loop: VirtualLoop) -> None:
    """At its whole share all relays left it alone at once; thousands of workers came anew, and it was later still."""

    def late(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    peer = PeerClient("node-0", Leader(late))
    sender = HeartbeatForwarder("node-1", lambda: loop.time, lambda: peer)
    gevent.spawn(sender.run)
    for _ in range(3):
        asking = gevent.spawn(sender.pass_on, b"", loop.time)
        gevent.sleep(1.5)
        peer.last_heard_at = loop.time
        assert asking.get() == (0, b"") and sender.open()


def test_what_its_sender_has_given_up_is_not_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    world, _, term, receiver, workers = led()

    def long(begun: object) -> None:
        world.clock.now += BATCH_TIMEOUT_S + 0.1
        term.election.renew()

    monkeypatch.setattr(term, "cover_heartbeats", long)
    before = [m.last_response_at for m in term.inventory.machines]
    assert asked(receiver, *(msgspec.json.encode(w.report()) for w in workers)) == [(503, b"")] * 3
    assert [m.last_response_at for m in term.inventory.machines] == before


def test_a_leader_that_is_gone_is_no_reason_to_leave_the_next_alone(loop: VirtualLoop) -> None:
    """Its workers were sent to the new leader for as long as the old one would have been left alone."""

    def silent(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    old, new = PeerClient("node-0", Leader(silent)), PeerClient("node-2", Leader(echo))
    leads = old
    sender = HeartbeatForwarder("node-1", lambda: loop.time, lambda: leads)
    gevent.spawn(sender.run)
    assert sender.pass_on(b"", loop.time) == (0, b"") and not sender.open()
    leads = new
    assert sender.open() and sender.pass_on(b"x", loop.time) == (200, b"x")


def led() -> tuple[InMemoryCluster, InMemoryController, Term, BatchReceiver, list[WorkerEmulator]]:
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    workers = [world.worker(f"n-{i:06d}") for i in range(3)]
    world.settle(term, 3)
    load = OverloadMonitor(Quota(), world.clock)
    receiver = BatchReceiver(["node-1"], node.election, lambda: node.term, load, world.clock, lambda: None)
    return world, node, term, receiver, workers


def asked(receiver: BatchReceiver, *reports: bytes, sender: str = "node-1") -> list[tuple[int, bytes]]:
    answer = receiver.answer(msgspec.msgpack.encode(HeartbeatBatch(sender, list(reports))))
    return msgspec.msgpack.decode(answer, type=HeartbeatBatchResponse).answers


def test_a_batch_is_read_and_answered_like_so_many_reports() -> None:
    world, node, term, receiver, workers = led()
    world.accept(node, shards=30)
    term.scheduling_loop.step(world.clock.now + 10.0)
    world.clock.now += 1.0
    answers = asked(receiver, *(msgspec.json.encode(w.report()) for w in workers))
    orders = [msgspec.json.decode(body, type=HeartbeatResponse) for _, body in answers]
    assert [status for status, _ in answers] == [200] * 3 and {o.token for o in orders} == {term.token}
    for worker, order in zip(workers, orders, strict=True):
        worker.obey(order)
    assert sum(len(w.running()) for w in workers) == 30


def test_a_report_that_comes_over_two_controllers_is_taken_once() -> None:
    world, node, term, receiver, (worker, *_) = led()
    world.accept(node, shards=4)
    term.scheduling_loop.step(world.clock.now + 10.0)
    body = msgspec.json.encode(worker.report())
    first, second = (msgspec.json.decode(asked(receiver, body)[0][1], type=HeartbeatResponse) for _ in range(2))
    assert [c.op for c in first.commands].count("start") == 4 and second.commands == []


def test_nonsense_in_a_batch_is_its_own_affair(caplog: pytest.LogCaptureFixture) -> None:
    _, _, _, receiver, workers = led()
    good = msgspec.json.encode(workers[0].report())
    strange = msgspec.json.encode(msgspec.structs.replace(workers[1].report(), machine=""))
    large = b" " * (1 << 16) + good
    deep = b'{"shards":' + b"[" * 30_000
    answers = asked(receiver, b"{", good, b"\xff", large, deep, b"[]")
    assert [status for status, _ in answers] == [400, 200, 400, 400, 400, 400]
    assert asked(receiver, strange)[0][0] in (200, 400) and asked(receiver) == []
    assert "failed" not in caplog.text


def test_what_is_no_batch_of_another_controllers_is_refused_and_told_of_now_and_then(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world, _, _, receiver, workers = led()
    body = msgspec.json.encode(workers[0].report())
    many = msgspec.msgpack.encode(HeartbeatBatch("node-1", [b"{}"] * (MOST_REPORTS + 1)))
    whole = msgspec.msgpack.encode(HeartbeatBatch("node-1", [b" " * (1 << 19)] * 4))
    strange = msgspec.msgpack.encode(HeartbeatBatch("somebody", [body]))
    for wrong in (b"", b"\xc1", msgspec.msgpack.encode([1, 2]), many, whole, strange) * 3:
        with pytest.raises(BatchRefusedError):
            receiver.answer(wrong)
    assert caplog.text.count("heartbeat_batch_refused ") == 1 and receiver.reports == 0
    world.clock.now += 11.0
    with pytest.raises(BatchRefusedError):
        receiver.answer(strange)
    assert caplog.text.count("heartbeat_batch_refused ") == 2


def test_a_controller_that_may_not_answer_says_so_of_each_report() -> None:
    world, node, _, receiver, workers = led()
    body = msgspec.json.encode(workers[0].report())
    world.clock.now += 30.0  # its hold was not renewed
    assert asked(receiver, body) == [(503, b"")]
    node.term = None
    assert asked(receiver, body, body) == [(421, b"")] * 2


def test_authority_that_ends_while_a_batch_waits_takes_its_answers_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    world, _, term, receiver, workers = led()

    def long(begun: object) -> None:
        world.clock.now += 30.0

    monkeypatch.setattr(term, "cover_heartbeats", long)
    assert asked(receiver, msgspec.json.encode(workers[0].report())) == [(503, b"")]


class Neighbours:
    """Spread of one controller among others that say what they keep."""

    def __init__(self, *others: PeerCapacity, limit: int = 1000, machines: int = 300) -> None:
        self.clock = ManualClock()
        self.others = list(others)
        self.spread = WorkerAssignment("node-0", "a", limit, 3.0, self.clock, lambda: self.others)
        self.spread.told(machines)

    def arrive(self, count: int, zone: str = "a", first: int = 0) -> Counter[str | None]:
        allocations = Counter[str | None]()
        for i in range(first, first + count):
            to = self.spread.where(f"n-{i}", zone, leads=False)
            if to == "node-0":
                self.spread.keep(f"n-{i}")
            allocations[to] += 1
        return allocations


def test_each_keeps_its_share_and_sends_on_what_comes_on_top() -> None:
    near, far = PeerCapacity("near", "a", True, 0, 900), PeerCapacity("far", "b", False, 0, 900)
    world = Neighbours(near, far)
    allocations = world.arrive(300)
    # its own zone's others first, then whoever has room; the leader's share is a little less
    assert 100 <= allocations["node-0"] <= 120 and 80 <= allocations["near"] <= 100 and 80 <= allocations["far"] <= 120
    # a worker that is kept stays
    assert world.arrive(50) == {"node-0": 50}
    # those of another zone go there, as long as there is room
    fresh = Neighbours(near, far)
    assert fresh.arrive(80, zone="b") == {"far": 80}


def test_nobody_is_sent_to_and_fro() -> None:
    world = Neighbours(PeerCapacity("near", "a", True, 0, 900))
    world.arrive(300)
    sent = [m for m in world.spread.sent][:20]
    assert [world.spread.where(m, "a", False) for m in sent] == ["node-0"] * 20  # they come back: kept
    world.clock.now += BACK_S + 1.0
    world.spread.tidy()
    assert not world.spread.sent and not world.spread.kept  # nobody has reported for so long


def test_one_with_far_too_many_sends_them_away_bit_by_bit() -> None:
    world = Neighbours()
    assert world.arrive(300) == {"node-0": 300}
    world.others = [PeerCapacity("new", "a", False, 0, 900)]
    moved = 0
    for _ in range(40):
        world.clock.now += 0.5
        for machine in list(world.spread.kept):
            to = world.spread.where(machine, "a", False)
            if to == "new":
                moved += 1
            else:
                world.spread.keep(machine)
        world.others = [PeerCapacity("new", "a", False, moved, 900)]
        world.spread.heard("new")
        # six in a hundred of the 300 it began with, a second
        assert moved <= 19 * (world.clock.now - 1000.0) + 19
    assert 150 <= len(world.spread.kept) <= 180


def test_one_whose_workers_report_too_often_sends_some_where_fewer_come() -> None:
    """Counts were even, and the leader, with the busiest machines, answered twice as many reports as others."""
    world = Neighbours(
        PeerCapacity("near", "a", False, 95, 900, reports=40.0), PeerCapacity("far", "b", False, 95, 900, reports=40.0)
    )
    world.spread.machines = 290
    for i in range(100):
        world.spread.keep(f"n-{i}")
    moved = Counter[str | None]()
    for _ in range(12):
        world.clock.now += 1.0
        for machine in list(world.spread.kept) * 2:
            if machine in world.spread.kept:
                to = world.spread.where(machine, "a", False)
                moved[to] += 1
                if to == "node-0":
                    world.spread.keep(machine)
        world.spread.tidy()
    assert world.spread.rate > 120.0 and 5 <= moved["near"] + moved["far"] <= 14


def test_one_without_sockets_keeps_nobody_new() -> None:
    world = Neighbours(PeerCapacity("near", "a", True, 290, 3), limit=20)
    allocations = world.arrive(40)
    assert allocations["node-0"] == 20 and allocations["near"] == 3 and allocations[None] == 17
    assert world.spread.where("n-0", "a", False, surplus=True) is None


def test_one_that_is_late_gets_no_more_while_others_can() -> None:
    late = PeerCapacity("late", "a", False, 0, 900, late=True)
    world = Neighbours(late, PeerCapacity("near", "a", True, 0, 900))
    assert world.arrive(300)["late"] == 0
    world = Neighbours(PeerCapacity("near", "a", False, 0, 900))
    world.spread.late = lambda: True
    assert world.arrive(100) == {"near": 100}
    world.others = []
    assert world.arrive(10, first=100) == {"node-0": 10}  # better late than not at all


def test_the_spread_is_switched_by_the_policy_and_stays_for_a_while() -> None:
    assert not assignment_enabled(lambda n: n > 100, False, 100) and assignment_enabled(lambda n: n > 100, False, 101)
    assert assignment_enabled(lambda n: n > 100, True, 90) and not assignment_enabled(lambda n: n > 100, True, 80)
    assert not assignment_enabled(lambda n: True, True, 0)


@pytest.mark.parametrize("quota", [800, 1000, 1752, 2470])
@pytest.mark.parametrize("others", [0, 2, 5])
def test_all_sockets_together_stay_within_the_quota(quota: int, others: int) -> None:
    shares = plan_connections(Quota(max_connections=quota), others)
    beyond = shares.turned_away + shares.backlog
    assert shares.serving + beyond + shares.peers + shares.from_peers + shares.direct < quota
    assert 0 < shares.workers < shares.serving


def test_a_connection_beyond_what_is_held_is_answered_once_and_closed() -> None:
    ended: list[object] = []

    def app(environ: dict[str, object], start: Callable[..., object]) -> list[bytes]:
        surplus = bool(environ["grebestand.surplus"])
        return respond(Response(503 if surplus else 200, b"{}", close=surplus), start)

    server = listen_bounded("127.0.0.1:1", "here", app, ConnectionPlan(0, 0, 0, 1, 2, 8, 1), on_end=ended.append)
    server.address = ("127.0.0.1", 0)
    server.start()
    try:
        asks = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        held, beyond = (socket.create_connection(("127.0.0.1", server.server_port)) for _ in range(2))
        held.sendall(asks)
        assert held.recv(4096).startswith(b"HTTP/1.1 200")
        beyond.sendall(asks)
        answer = b"".join(iter(lambda: beyond.recv(4096), b""))
        assert answer.startswith(b"HTTP/1.1 503") and len(ended) == 1
        held.sendall(asks)
        assert held.recv(4096).startswith(b"HTTP/1.1 200")
        held.close()
    finally:
        server.stop(1)


def test_direct_orders_have_sockets_of_their_own(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    world = SimulatedCluster(loop, machines=2)
    node: Controller | None = world.nodes["node-0"]
    assert node is not None
    open_now, most = 0, 0

    def hanging(method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        nonlocal open_now, most
        open_now += 1
        most = max(most, open_now)
        gevent.sleep(timeout)
        open_now -= 1
        raise UnreachableError("timeout")

    monkeypatch.setattr(node.runtime, "once", hanging)
    refused = Counter[str]()

    def order() -> None:
        try:
            node.direct_commands.send("n-000000:1", "/do", b"{}")
        except UnreachableError as e:
            refused[str(e)] += 1

    gevent.joinall([gevent.spawn(order) for _ in range(300)])
    assert most == node.sockets.direct and refused["too many direct orders are under way"] == 300 - most


def test_a_worker_of_a_report_is_known_by_its_machine() -> None:
    """The spread goes by the names that reports carry: read here and at the leader, they mean the same worker."""
    worker = WorkerEmulator("n-000007", zone="b")
    report = msgspec.json.decode(msgspec.json.encode(worker.report()), type=Heartbeat)
    assert (report.machine, report.zone) == ("n-000007", "b")


def test_a_leader_that_answers_all_keeps_no_more_than_its_sockets_bear() -> None:
    """Thousands came within three seconds of its start, before it knew of enough machines to have others answer them:
    their connections took the last ones to the state service."""
    world, node, *_ = led()
    spread = WorkerAssignment("node-0", "a", 3, 3.0, world.clock, list)
    door = HeartbeatApi(
        "node-0", node.election, lambda: node.term, spread, HeartbeatForwarder("x", world.clock, lambda: None)
    )
    workers = [WorkerEmulator(f"n-{i:06d}") for i in range(5)]
    for _ in range(2):
        answers = [door.handle_heartbeat(msgspec.json.encode(w.report())) for w in workers]
        assert [a.status for a in answers] == [200, 200, 200, 421, 421] and answers[-1].close
        assert json.loads(answers[-1].body) == {}


def test_all_followers_together_send_a_leader_no_more_than_it_bears() -> None:
    """Where everything begins at once, several hundred came within a tenth of a second."""
    leader = PeerCapacity("leader", "a", True, 900, 240)
    world = Neighbours(leader, PeerCapacity("far", "b", False, 0, 900), PeerCapacity("near", "a", False, 0, 900))
    assert sum(world.spread.may_send("leader") for _ in range(300)) == 80
    # at a start the others are not heard of yet, and send all the same
    alone = Neighbours(leader)
    alone.spread.followers = 5
    assert sum(alone.spread.may_send("leader") for _ in range(300)) == 48
    world.spread.heard("leader")
    world.others[0] = PeerCapacity("leader", "a", True, 1140, 0)
    assert sum(world.spread.may_send("leader") for _ in range(300)) == 20
    assert world.spread.may_send("nobody knows")


def test_one_that_cannot_pass_reports_on_sends_no_more_than_there_is_room_for() -> None:
    """All at once they took the last sockets of a leader that had just come back."""
    world, node, *_ = led()
    node.term = None
    others = [PeerCapacity("leader", "a", True, 5, 2)]
    spread = WorkerAssignment("node-0", "a", 100, 3.0, world.clock, lambda: others)
    spread.told(300)
    sender = HeartbeatForwarder("node-0", world.clock, lambda: None)
    node.election.lose("told so")
    door = HeartbeatApi("node-0", node.election, lambda: node.term, spread, sender)
    sent = Counter[str | None]()
    for i in range(10):
        worker = WorkerEmulator(f"n-{i:06d}")
        spread.keep(worker.name)
        answer = door.handle_heartbeat(msgspec.json.encode(worker.report()))
        assert answer.status == 421 and answer.close
        sent[json.loads(answer.body).get("harborMaster")] += 1
    assert sent == {"leader": 2, None: 8}
