"""Requests to the key-value store through another controller, at both ends."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.connectivity.link_health import LinkHealth
from grebestand.connectivity.store_proxy import DOWN_AFTER_S, PATH, WATCH_MS, ProxiedStoreTransport, StoreProxyHandler
from grebestand.flow_control.connection_limits import RELAYED
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import LinkState
from grebestand.wire.peers import PeerStatus, ProxiedRequest, ProxiedResponse
from support.peers import ScriptedTransport, present_peer


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


def proxied(status: int, body: bytes) -> tuple[int, bytes]:
    """Return a peer's answer to a proxied request; status 0: the store gave it none."""
    return 200, msgspec.msgpack.encode(ProxiedResponse(status, body))


def transport_cut_off(clock: ManualClock, peers: list[PeerClient]) -> ProxiedStoreTransport:
    """Return the transport of a controller that has failed for long enough to be cut off from the store."""
    transport = ProxiedStoreTransport(ScriptedTransport(None), LinkHealth("state", clock), lambda: peers)
    transport.link.answered()
    for _ in range(3):
        clock.now += DOWN_AFTER_S
        with pytest.raises(UnreachableError):
            transport.ask("GET", "/store/a", b"", 1.0)
    assert transport.link.state is LinkState.DOWN
    for peer in peers:
        peer.last_heard_at = clock.now
    return transport


# the controller that is cut off ---------------------------------------------------------------------------


def test_request_goes_through_peer_while_link_is_down(clock: ManualClock) -> None:
    line = ScriptedTransport(proxied(200, b'{"logline":7}'))
    transport = transport_cut_off(clock, [present_peer("node-1", clock, line)])
    assert transport.request("POST", "/commit", b"{}", 1.0) == (200, b'{"logline":7}')
    (request,) = [msgspec.msgpack.decode(body, type=ProxiedRequest) for _, _, body, _ in line.requests]
    assert line.requests[0][1] == PATH and (request.method, request.path) == ("POST", "/commit")


@pytest.mark.parametrize("lost", [None, proxied(0, b"")], ids=["no answer of the peer", "no answer of the store"])
def test_write_without_answer_is_sent_once_and_stays_unknown(
    clock: ManualClock, lost: tuple[int, bytes] | None
) -> None:
    """If the transport repeated it by itself, a write whose end is unknown could be made twice."""
    line, spare = ScriptedTransport(lost), ScriptedTransport(proxied(200, b"{}"))
    peers = [present_peer("node-1", clock, line), present_peer("node-2", clock, spare, 0.5)]
    transport = transport_cut_off(clock, peers)
    with pytest.raises(UnreachableError):
        transport.request("POST", "/commit", b"{}", 1.0)
    assert (len(line.requests), len(spare.requests)) == (1, 0)


def test_peer_without_answer_is_left_alone_for_a_while(clock: ManualClock) -> None:
    dead, spare = ScriptedTransport(None), ScriptedTransport(proxied(200, b"{}"))
    peers = [present_peer("node-1", clock, dead), present_peer("node-2", clock, spare, 0.5)]
    transport = transport_cut_off(clock, peers)
    with pytest.raises(UnreachableError):
        transport.request("GET", "/store/a", b"", 1.0)
    assert transport.request("GET", "/store/a", b"", 1.0)[0] == 200
    assert (len(dead.requests), len(spare.requests)) == (1, 1)


def test_no_peer_is_asked_in_an_outage_of_the_store(clock: ManualClock) -> None:
    line = ScriptedTransport(proxied(200, b"{}"))
    peer = present_peer("node-1", clock, line)
    transport = transport_cut_off(clock, [peer])
    last_answer_age_s = clock.now - (transport.link.failed_at or 0.0) - 0.2  # served until the same moment
    peer.last = PeerStatus("node-1", 0, last_answer_age_s)
    with pytest.raises(UnreachableError):
        transport.request("GET", "/store/a", b"", 1.0)
    assert not line.requests


# the peer that is asked -----------------------------------------------------------------------------------


def test_handler_never_forwards_to_another_peer(clock: ManualClock) -> None:
    """Two controllers that are both cut off must not ask each other in circles."""
    line = ScriptedTransport(proxied(200, b"{}"))
    transport = transport_cut_off(clock, [present_peer("node-2", clock, line)])
    request = msgspec.msgpack.encode(ProxiedRequest("GET", "/store/a", b"", 1000))
    response = msgspec.msgpack.decode(StoreProxyHandler(transport).answer(request), type=ProxiedResponse)
    assert response.status == 503 and not line.requests


def test_handler_refuses_requests_beyond_its_limit_at_once(loop: VirtualLoop) -> None:
    """Its own users and its own leadership need the same store."""

    class SlowStore:
        def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
            gevent.sleep(0.5)
            return 200, b"{}"

    handler = StoreProxyHandler(ProxiedStoreTransport(SlowStore(), LinkHealth("state", lambda: loop.time), list))
    request = msgspec.msgpack.encode(ProxiedRequest("GET", "/store/a", b"", 1000))
    requests = [gevent.spawn(handler.answer, request) for _ in range(RELAYED + 5)]
    gevent.joinall(requests)
    statuses = [msgspec.msgpack.decode(request.value, type=ProxiedResponse).status for request in requests]
    assert (statuses.count(200), statuses.count(503)) == (RELAYED, 5) and loop.time == 0.5


def test_proxied_watch_is_short_and_shows_nothing_of_the_link(clock: ManualClock) -> None:
    """An open watch waits in an outage like any other: its answer, hours old in what it knows, proved a link once."""
    direct = ScriptedTransport((200, b'{"logline":3,"events":[]}'))
    transport = ProxiedStoreTransport(direct, LinkHealth("state", clock), list)
    request = msgspec.msgpack.encode(ProxiedRequest("GET", "/changes?prefix=live/&since=3&waitMs=5000", b"", 7000))
    StoreProxyHandler(transport).answer(request)
    assert direct.requests[0][1].endswith(f"&waitMs={WATCH_MS}") and transport.link.state is LinkState.SUSPECT
