"""The forwarder of heartbeats against a leader that is overloaded, silent or gone."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest

from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.flow_control.connection_limits import BATCHES
from grebestand.heartbeat_relay.forwarder import (
    ANSWER_S,
    MAX_QUEUE_WAIT_S,
    MOST_REPORTS,
    PATH,
    PAUSE_S,
    UNRESPONSIVE_AFTER_S,
    HeartbeatForwarder,
)
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import ForwarderState
from grebestand.wire.peers import HeartbeatBatch, HeartbeatBatchResponse


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


class FakeLeader:
    """A leader at the other end, which answers batches with a given function."""

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


def start_forwarder(
    loop: VirtualLoop, answer: Callable[[HeartbeatBatch], HeartbeatBatchResponse]
) -> tuple[HeartbeatForwarder, FakeLeader]:
    leader = FakeLeader(answer)
    peer = PeerClient("node-0", leader)
    forwarder = HeartbeatForwarder("node-1", lambda: loop.time, lambda: peer)
    gevent.spawn(forwarder.run)
    return forwarder, leader


def echo(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
    return HeartbeatBatchResponse([(200, body) for body in batch.reports])


def test_simultaneous_heartbeats_share_batches_and_get_their_own_responses(loop: VirtualLoop) -> None:
    forwarder, leader = start_forwarder(loop, echo)
    requests = [gevent.spawn(forwarder.forward, b"%d" % i, loop.time) for i in range(600)]
    gevent.joinall(requests)
    assert [request.value for request in requests] == [(200, b"%d" % i) for i in range(600)]
    assert [len(b.reports) for b in leader.batches] == [MOST_REPORTS, MOST_REPORTS, 600 - 2 * MOST_REPORTS]


def test_response_that_is_too_old_is_dropped(loop: VirtualLoop) -> None:
    """A follower that stood still: by its own clock the heartbeat came long ago."""

    def slow_echo(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(2.0)
        return echo(batch)

    forwarder, _ = start_forwarder(loop, slow_echo)
    assert forwarder.forward(b"new", loop.time) == (200, b"new")
    assert forwarder.forward(b"old", loop.time - ANSWER_S + 1.0) == (0, b"")


def test_overloaded_leader_bounds_batches_and_queue(loop: VirtualLoop) -> None:
    def slow(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1.9)
        return HeartbeatBatchResponse([(200, b"")] * len(batch.reports), late=True)

    forwarder, leader = start_forwarder(loop, slow)
    for _ in range(BATCHES):
        gevent.spawn(forwarder.forward, b"", loop.time)
        gevent.sleep(0.1)
    gevent.spawn(forwarder.forward, b"waits", loop.time)
    gevent.sleep(0.1)
    assert len(leader.batches) == BATCHES  # and no more are under way
    gevent.sleep(MAX_QUEUE_WAIT_S)
    assert forwarder.forward(b"", loop.time) == (503, b"")  # at once


def test_forwarding_pauses_while_the_leader_does_not_answer(loop: VirtualLoop) -> None:
    def silent(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    forwarder, leader = start_forwarder(loop, silent)
    assert forwarder.open() and forwarder.forward(b"", loop.time) == (0, b"")
    assert loop.time >= UNRESPONSIVE_AFTER_S and forwarder.state is ForwarderState.RESTING and not forwarder.open()
    leader.answer = echo
    gevent.sleep(PAUSE_S)
    assert forwarder.open() and forwarder.forward(b"x", loop.time) == (200, b"x")


def test_truncated_or_mismatched_response_is_dropped(loop: VirtualLoop) -> None:
    forwarder, leader = start_forwarder(loop, echo)
    whole = leader.request

    def truncated(method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        status, answer = whole(method, path, body, timeout)
        return status, answer[: len(answer) // 2]

    leader.request = truncated  # type: ignore[method-assign]
    assert forwarder.forward(b"report", loop.time) == (0, b"")
    leader.answer, leader.request = (lambda batch: HeartbeatBatchResponse([])), whole  # type: ignore[method-assign]
    assert forwarder.forward(b"report", loop.time) == (0, b"")  # nor is an answer to something else


def test_overloaded_leader_that_sends_status_keeps_its_followers(loop: VirtualLoop) -> None:
    """Under full load all followers paused at once; thousands of workers came anew, and the leader was later still."""

    def slow_echo(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    peer = PeerClient("node-0", FakeLeader(slow_echo))
    forwarder = HeartbeatForwarder("node-1", lambda: loop.time, lambda: peer)
    gevent.spawn(forwarder.run)
    for _ in range(3):
        queries_under_way = gevent.spawn(forwarder.forward, b"", loop.time)
        gevent.sleep(1.5)
        peer.last_heard_at = loop.time
        assert queries_under_way.get() == (0, b"") and forwarder.open()


def test_pause_ends_with_the_next_leader(loop: VirtualLoop) -> None:
    """Its workers were sent to the new leader for as long as the old one would have been left alone."""

    def silent(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    old, new = PeerClient("node-0", FakeLeader(silent)), PeerClient("node-2", FakeLeader(echo))
    current_leader = old
    forwarder = HeartbeatForwarder("node-1", lambda: loop.time, lambda: current_leader)
    gevent.spawn(forwarder.run)
    assert forwarder.forward(b"", loop.time) == (0, b"") and not forwarder.open()
    current_leader = new
    assert forwarder.open() and forwarder.forward(b"x", loop.time) == (200, b"x")
