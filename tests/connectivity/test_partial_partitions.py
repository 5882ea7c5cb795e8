"""Cut links between several controllers on simulated time: who leads, what goes over whom, and what is never done."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest

from grebestand.clients.http import Transport, UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.connectivity.link_health import LinkHealth
from grebestand.connectivity.store_proxy import DOWN_AFTER_S, PATH, WATCH_MS, ProxiedStoreTransport, StoreProxyHandler
from grebestand.controller.leadership_transfer import HEARD_S
from grebestand.flow_control.connection_limits import RELAYED
from grebestand.leader.election import ALONE_S
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController, ManualClock
from grebestand.simulation.virtual_time import VirtualLoop, simulated
from grebestand.state_machines import IllegalTransitionError, LeaderState, LinkState
from grebestand.wire.peers import PeerStatus, ProxiedRequest, ProxiedResponse, ResignationNotice


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated() as virtual:
        yield virtual


class Line:
    """A transport that answers as it is told, and keeps what it was asked."""

    def __init__(self, *answers: tuple[int, bytes] | None) -> None:
        self.answers = list(answers)
        self.asked: list[tuple[str, str, bytes, float]] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        self.asked.append((method, path, body, timeout))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise UnreachableError("timeout")
        return answer


def helper(name: str, clock: ManualClock, line: Transport, served_s: float = 0.1) -> PeerClient:
    """Another controller that was just heard, and told when it was last served."""
    peer = PeerClient(name, line)
    peer.last_heard_at, peer.last = clock.now, PeerStatus(name, 0, served_s)
    return peer


def told(status: int, body: bytes) -> tuple[int, bytes]:
    return 200, msgspec.msgpack.encode(ProxiedResponse(status, body))


def cut_off(clock: ManualClock, direct: Line, peers: list[PeerClient]) -> ProxiedStoreTransport:
    """A controller that has failed for long enough to know that it is cut off from the state service."""
    store = ProxiedStoreTransport(direct, LinkHealth("state", clock), lambda: peers)
    store.link.answered()
    for _ in range(3):
        clock.now += DOWN_AFTER_S
        with pytest.raises(UnreachableError):
            store.ask("GET", "/store/a", b"", 1.0)
    assert store.link.state is LinkState.DOWN
    for peer in peers:
        peer.last_heard_at = clock.now
    direct.asked.clear()
    return store


# links ----------------------------------------------------------------------------------------------------


def state_of(link: LinkHealth) -> LinkState:
    return link.state


def test_a_link_is_down_only_after_it_has_failed_for_a_while_and_up_with_the_first_answer() -> None:
    clock = ManualClock()
    link = LinkHealth("state", clock)
    link.answered()
    clock.now += 1.0
    link.failed(clock.now - 1.0, "timeout", 1.5)
    assert state_of(link) is LinkState.SUSPECT
    clock.now += 0.6
    link.failed(clock.now, "timeout", 1.5)
    assert state_of(link) is LinkState.DOWN
    link.answered()
    assert state_of(link) is LinkState.UP
    link.failed(clock.now - 3.0, "timeout", 1.5)  # sent before the answer came: no news
    assert state_of(link) is LinkState.UP
    with pytest.raises(IllegalTransitionError):
        link.move(LinkState.DOWN, "never at once")


def test_what_stood_still_does_not_count_its_own_sleep_as_others_silence(loop: VirtualLoop) -> None:
    """A leader that stood still for 25 s would have given way for reports that lay unread at its door."""
    world = SimulatedCluster(loop)
    gevent.sleep(10)
    node = world.nodes[world.leading()[0]]
    assert node is not None
    node.leadership_transfer.looked_at -= 25.0
    assert node.term is not None
    node.term.heartbeat_handler.last_heard_at -= 25.0
    node.leadership_transfer.check_workers()
    assert node.election.state is LeaderState.LEADING


# relays ---------------------------------------------------------------------------------------------------


def test_a_controller_that_is_cut_off_is_served_over_one_that_is_not() -> None:
    clock = ManualClock()
    line = Line(told(200, b'{"logline":7}'))
    store = cut_off(clock, Line(None), [helper("node-1", clock, line)])
    assert store.request("POST", "/commit", b"{}", 1.0) == (200, b'{"logline":7}')
    (question,) = [msgspec.msgpack.decode(a[2], type=ProxiedRequest) for a in line.asked]
    assert line.asked[0][1] == PATH and (question.method, question.path) == ("POST", "/commit")


def test_a_write_without_an_answer_is_asked_once_and_stays_unknown() -> None:
    """If a relay asked again by itself, a write whose end is unknown could be made twice."""
    clock = ManualClock()
    dead, lost = Line(None), Line(told(0, b""))
    for line in (dead, lost):
        spare = Line(told(200, b"{}"))
        store = cut_off(clock, Line(None), [helper("node-1", clock, line), helper("node-2", clock, spare, 0.5)])
        with pytest.raises(UnreachableError):
            store.request("POST", "/commit", b"{}", 1.0)
        assert (len(line.asked), len(spare.asked)) == (1, 0)


def test_a_helper_that_does_not_answer_is_left_alone_for_a_while() -> None:
    clock = ManualClock()
    dead, spare = Line(None), Line(told(200, b"{}"))
    store = cut_off(clock, Line(None), [helper("node-1", clock, dead), helper("node-2", clock, spare, 0.5)])
    with pytest.raises(UnreachableError):
        store.request("GET", "/store/a", b"", 1.0)
    assert store.request("GET", "/store/a", b"", 1.0)[0] == 200
    assert (len(dead.asked), len(spare.asked)) == (1, 1)


def test_a_helper_asks_the_state_service_itself_or_not_at_all() -> None:
    """Two controllers that are both cut off must not ask each other in circles."""
    clock = ManualClock()
    line = Line(told(200, b"{}"))
    store = cut_off(clock, Line(None), [helper("node-2", clock, line)])
    question = msgspec.msgpack.encode(ProxiedRequest("GET", "/store/a", b"", 1000))
    answer = msgspec.msgpack.decode(StoreProxyHandler(store).answer(question), type=ProxiedResponse)
    assert answer.status == 503 and not line.asked


def test_in_an_outage_of_all_nobody_is_asked_in_place_of_the_state_service() -> None:
    clock = ManualClock()
    line = Line(told(200, b"{}"))
    peer = helper("node-1", clock, line)
    store = cut_off(clock, Line(None), [peer])
    peer.last = PeerStatus("node-1", 0, clock.now - (store.link.failed_at or 0.0) - 0.2)  # served until the same moment
    with pytest.raises(UnreachableError):
        store.request("GET", "/store/a", b"", 1.0)
    assert not line.asked


def test_a_helper_takes_so_many_at_a_time_and_refuses_the_rest_at_once(loop: VirtualLoop) -> None:
    """Its own users and its own leadership need the same state service."""

    class Slow:
        def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
            gevent.sleep(0.5)
            return 200, b"{}"

    door = StoreProxyHandler(ProxiedStoreTransport(Slow(), LinkHealth("state", lambda: loop.time), lambda: []))
    question = msgspec.msgpack.encode(ProxiedRequest("GET", "/store/a", b"", 1000))
    asked = [gevent.spawn(door.answer, question) for _ in range(RELAYED + 5)]
    gevent.joinall(asked)
    statuses = [msgspec.msgpack.decode(g.value, type=ProxiedResponse).status for g in asked]
    assert (statuses.count(200), statuses.count(503)) == (RELAYED, 5) and loop.time == 0.5


def test_a_watch_for_another_is_short_and_shows_nothing_of_the_link() -> None:
    """An open watch waits in an outage like any other: its answer, hours old in what it knows, proved a link once."""
    clock = ManualClock()
    direct = Line((200, b'{"logline":3,"events":[]}'))
    store = ProxiedStoreTransport(direct, LinkHealth("state", clock), lambda: [])
    question = msgspec.msgpack.encode(ProxiedRequest("GET", "/changes?prefix=live/&since=3&waitMs=5000", b"", 7000))
    StoreProxyHandler(store).answer(question)
    assert direct.asked[0][1].endswith(f"&waitMs={WATCH_MS}") and store.link.state is LinkState.SUSPECT


# who leads ------------------------------------------------------------------------------------------------


def test_authority_over_a_relay_counts_from_when_the_renewal_was_first_sent() -> None:
    """A relay that counted from its own clock would let a leader give orders after its hold has ended."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    node.lead()
    keep_alive = node.store.keep_alive

    def late(hold: int) -> None:
        world.clock.now += 2.0  # on its way over another controller
        keep_alive(hold)

    node.store.keep_alive = late  # type: ignore[method-assign]
    sent = world.clock.now
    assert node.election.renew()
    assert node.election.authority_until < sent + node.election.lease_ttl_s


def play(world: SimulatedCluster, cut: list[tuple[str, str]], way: LinkMode, seconds: float) -> None:
    for a, b in cut:
        world.links.set(a, b, way)
    gevent.sleep(seconds)


def workers_of(name: str) -> list[tuple[str, str]]:
    return [(name, "a"), (name, "b")]


def everybody_else(world: SimulatedCluster, name: str) -> list[str]:
    return [n for n in world.controllers if n != name]


@pytest.mark.parametrize("way", [LinkMode.REFUSED, LinkMode.HELD, LinkMode.ASKS_LOST, LinkMode.ANSWERS_LOST])
def test_a_leader_without_the_state_service_goes_on_over_another(loop: VirtualLoop, way: LinkMode) -> None:
    world = SimulatedCluster(loop, seed=3)
    world.crowd(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    play(world, [(leader, STATE)], way, 60)
    assert world.leading() == [leader] and len(world.leaders) == 1 and not world.killed
    assert world.longest_pause(20.0, 80.0) < 6.0
    world.links.heal()
    gevent.sleep(40)
    assert not world.broken() and all(j.accepted_at is not None for j in world.jobs.values())


def test_users_of_a_controller_without_the_state_service_are_served_over_another(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=4)
    gevent.sleep(20)
    other = everybody_else(world, world.leading()[0])[0]
    play(world, [(other, STATE)], LinkMode.HELD, 5)
    ref = world.submit(name=other)
    gevent.sleep(20)
    job = world.jobs[ref]
    assert job.accepted_at is not None and job.accepted_at - job.asked_at < 1.0 and job.done_at is not None


@pytest.mark.parametrize("apart", [False, True])
def test_a_leader_without_workers_gives_way_whether_or_not_others_can_be_heard(loop: VirtualLoop, apart: bool) -> None:
    """It kept the lead for 33 s while no peer answered, though it reached the state service all the time."""
    world = SimulatedCluster(loop, seed=5)
    world.crowd(1.0, 70.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    others = everybody_else(world, leader)
    cut = workers_of(leader) + ([(leader, o) for o in others] + [(others[0], others[1])] if apart else [])
    play(world, cut, LinkMode.HELD, 40)
    assert world.leading() and world.leading() != [leader]
    assert len(world.leaders) == 2 and world.leaders[1][0] - 20.0 < 1.6 * world.report_s + 2.5
    assert not world.killed and not world.broken()


def test_one_that_no_worker_reaches_does_not_take_the_key_before_one_that_is_reached(loop: VirtualLoop) -> None:
    """The lead went from one controller without workers to another, ten seconds each."""
    world = SimulatedCluster(loop, seed=6)
    world.crowd(1.0, 80.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    reached, unreached = everybody_else(world, leader)
    play(world, workers_of(leader) + workers_of(unreached) + [(leader, unreached)], LinkMode.HELD, 50)
    assert [name for _, name, _ in world.leaders] == [leader, reached]
    assert not world.broken()


def test_together_they_have_every_link_that_is_needed(loop: VirtualLoop) -> None:
    """One reaches the workers and not the state service, two the other way round: nothing ran."""
    world = SimulatedCluster(loop, seed=7)
    world.crowd(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    third, second = everybody_else(world, leader)
    play(world, workers_of(leader) + workers_of(second) + [(third, STATE)], LinkMode.HELD, 60)
    assert world.leading() == [third] and len(world.leaders) <= 3
    assert world.longest_pause(20.0, 80.0) < 16.0 and not world.broken()


def test_nobody_gives_way_and_nothing_is_relayed_in_an_outage_of_all(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=8)
    world.crowd(1.0, 60.0)
    gevent.sleep(20)
    relayed = [n.store_transport.relayed for n in world.nodes.values() if n is not None]
    world.store.down = True
    gevent.sleep(9)
    assert len(world.leading()) == 1 and len(world.leaders) == 1
    assert [n.store_transport.relayed for n in world.nodes.values() if n is not None] == relayed
    world.store.down = False
    gevent.sleep(20)
    assert len(world.leaders) == 1 and not world.broken()


def test_one_that_gave_way_leads_again_if_nobody_else_does(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=9, controllers=2)
    gevent.sleep(20)
    (leader,) = world.leading()
    (other,) = everybody_else(world, leader)
    world.crash(other)
    play(world, workers_of(leader), LinkMode.HELD, 8)
    assert world.leading() == []
    world.links.heal()
    gevent.sleep(ALONE_S + 3.0)
    assert world.leading() == [leader]


def test_a_resignation_names_an_heir_and_the_others_let_it_go_first() -> None:
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    peers = [helper("node-1", world.clock, Line(None)), helper("node-2", world.clock, Line(None))]
    for peer, age in zip(peers, (-1.0, 0.5), strict=True):
        assert peer.last is not None
        peer.last.workers_age_s = age
    leadership_transfer = node.leadership_transfer(*peers)
    assert leadership_transfer._heir() == "node-2"
    world.clock.now += HEARD_S
    assert leadership_transfer._heir() == ""  # nobody was heard lately
    node.workers_link.answered()
    assert leadership_transfer.patience() == 0.0
    leadership_transfer.succeed(ResignationNotice("node-1", 5, "node-2"))
    assert leadership_transfer.patience() > 0.0 and node.election.state is LeaderState.FOLLOWING


def test_a_controller_that_cannot_read_the_key_names_no_leader_to_workers() -> None:
    """It sent them to one that led no more, which sent them back: they never came to the third, which led."""
    world = InMemoryCluster()
    first, node = InMemoryController(world, "node-0"), InMemoryController(world, "node-1")
    first.lead()
    node.election.look()
    assert node.election.known_leader() == "node-0"
    world.clock.now += 10.0
    assert node.election.known_leader() is None


def test_the_same_seed_gives_the_same_world_to_the_byte() -> None:
    def history() -> str:
        with simulated() as loop:
            world = SimulatedCluster(loop, seed=11)
            world.crowd(1.5, 30.0)
            gevent.sleep(15)
            play(world, [(world.leading()[0], STATE)], LinkMode.HELD, 15)
            facts: list[Any] = [world.leaders, world.starts, world.store.log]
            return json.dumps(facts)

    assert history() == history()
