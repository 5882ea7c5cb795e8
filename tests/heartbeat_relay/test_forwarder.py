"""The heartbeat forwarder with a leader that is overloaded, unresponsive or replaced."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest

from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.flow_control.connection_limits import MAX_BATCHES_IN_FLIGHT
from grebestand.heartbeat_relay.forwarder import (
    BATCH_PATH,
    MAX_BATCH_HEARTBEATS,
    MAX_QUEUE_WAIT_S,
    PAUSE_S,
    RESPONSE_TIMEOUT_S,
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
    """The transport to a fake leader, which computes the response to each batch with a given function."""

    def __init__(self, answer: Callable[[HeartbeatBatch], HeartbeatBatchResponse]) -> None:
        self.answer = answer
        self.batches: list[HeartbeatBatch] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        assert (method, path) == ("POST", BATCH_PATH)
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
    return HeartbeatBatchResponse([(200, body) for body in batch.heartbeats])


def test_simultaneous_heartbeats_share_batches_and_get_their_own_responses(loop: VirtualLoop) -> None:
    forwarder, leader = start_forwarder(loop, echo)
    forwarding = [gevent.spawn(forwarder.forward, b"%d" % i, loop.time) for i in range(600)]
    gevent.joinall(forwarding)
    assert [greenlet.value for greenlet in forwarding] == [(200, b"%d" % i) for i in range(600)]
    assert [len(batch.heartbeats) for batch in leader.batches] == [
        MAX_BATCH_HEARTBEATS,
        MAX_BATCH_HEARTBEATS,
        600 - 2 * MAX_BATCH_HEARTBEATS,
    ]


def test_response_that_is_too_old_is_dropped(loop: VirtualLoop) -> None:
    """Guards against sending an outdated response after the follower's process was suspended for a while."""

    def slow_echo(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(2.0)
        return echo(batch)

    forwarder, _ = start_forwarder(loop, slow_echo)
    assert forwarder.forward(b"new", loop.time) == (200, b"new")
    assert forwarder.forward(b"old", loop.time - RESPONSE_TIMEOUT_S + 1.0) == (0, b"")


def test_overloaded_leader_bounds_batches_and_queue(loop: VirtualLoop) -> None:
    def slow(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1.9)
        return HeartbeatBatchResponse([(200, b"")] * len(batch.heartbeats), overloaded=True)

    forwarder, leader = start_forwarder(loop, slow)
    for _ in range(MAX_BATCHES_IN_FLIGHT):
        gevent.spawn(forwarder.forward, b"", loop.time)
        gevent.sleep(0.1)
    gevent.spawn(forwarder.forward, b"waits", loop.time)
    gevent.sleep(0.1)
    assert len(leader.batches) == MAX_BATCHES_IN_FLIGHT  # no further batch is sent before a response arrives
    gevent.sleep(MAX_QUEUE_WAIT_S)
    assert forwarder.forward(b"", loop.time) == (503, b"")  # refused without waiting


def test_forwarding_pauses_while_the_leader_does_not_answer(loop: VirtualLoop) -> None:
    def silent(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    forwarder, leader = start_forwarder(loop, silent)
    assert forwarder.accepts_heartbeats() and forwarder.forward(b"", loop.time) == (0, b"")
    assert (
        loop.time >= UNRESPONSIVE_AFTER_S
        and forwarder.state is ForwarderState.RESTING
        and not forwarder.accepts_heartbeats()
    )
    leader.answer = echo
    gevent.sleep(PAUSE_S)
    assert forwarder.accepts_heartbeats() and forwarder.forward(b"x", loop.time) == (200, b"x")


def test_truncated_or_mismatched_response_is_dropped(loop: VirtualLoop) -> None:
    forwarder, leader = start_forwarder(loop, echo)
    complete = leader.request

    def truncated(method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        status, response = complete(method, path, body, timeout)
        return status, response[: len(response) // 2]

    leader.request = truncated  # type: ignore[method-assign]
    assert forwarder.forward(b"heartbeat", loop.time) == (0, b"")
    leader.answer, leader.request = (lambda batch: HeartbeatBatchResponse([])), complete  # type: ignore[method-assign]
    assert forwarder.forward(b"heartbeat", loop.time) == (0, b"")  # the response is for a batch of another length


def test_overloaded_leader_that_sends_status_keeps_its_followers(loop: VirtualLoop) -> None:
    """Guards against pausing while the leader is only overloaded.

    All followers used to pause at the same time under full load. Thousands of workers then opened new connections to
    the leader and overloaded it further.
    """

    def slow_echo(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    peer = PeerClient("node-0", FakeLeader(slow_echo))
    forwarder = HeartbeatForwarder("node-1", lambda: loop.time, lambda: peer)
    gevent.spawn(forwarder.run)
    for _ in range(3):
        forwarding = gevent.spawn(forwarder.forward, b"", loop.time)
        gevent.sleep(1.5)
        peer.last_heard_at = loop.time
        assert forwarding.get() == (0, b"") and forwarder.accepts_heartbeats()


def test_pause_ends_with_the_next_leader(loop: VirtualLoop) -> None:
    """Guards against a pause that outlasts the term of the leader that did not respond.

    The follower went on redirecting its workers to the new leader until the pause for the old leader expired.
    """

    def silent(batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        gevent.sleep(1e6)
        return echo(batch)

    old, new = PeerClient("node-0", FakeLeader(silent)), PeerClient("node-2", FakeLeader(echo))
    current_leader = old
    forwarder = HeartbeatForwarder("node-1", lambda: loop.time, lambda: current_leader)
    gevent.spawn(forwarder.run)
    assert forwarder.forward(b"", loop.time) == (0, b"") and not forwarder.accepts_heartbeats()
    current_leader = new
    assert forwarder.accepts_heartbeats() and forwarder.forward(b"x", loop.time) == (200, b"x")
