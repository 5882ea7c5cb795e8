"""Requests to the key-value store through a proxy: the requesting controller and the proxy."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.connectivity.link_health import LinkHealth
from grebestand.connectivity.store_proxy import (
    DOWN_AFTER_S,
    MAX_PROXIED_WATCH_MS,
    PATH,
    ProxiedStoreTransport,
    StoreProxyHandler,
)
from grebestand.flow_control.connection_limits import MAX_PROXIED_REQUESTS
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
    """Return a peer's response to a proxied request. Status 0 means that the store gave the peer no response."""
    return 200, msgspec.msgpack.encode(ProxiedResponse(status, body))


def transport_with_link_down(clock: ManualClock, peers: list[PeerClient]) -> ProxiedStoreTransport:
    """Return the transport of a controller whose direct link to the store is down."""
    transport = ProxiedStoreTransport(ScriptedTransport(None), LinkHealth("state", clock), lambda: peers)
    transport.link.record_success()
    for _ in range(3):
        clock.now += DOWN_AFTER_S
        with pytest.raises(UnreachableError):
            transport.request_directly("GET", "/store/a", b"", 1.0)
    assert transport.link.state is LinkState.DOWN
    for peer in peers:
        peer.last_heard_at = clock.now
    return transport


# the controller whose link is down ------------------------------------------------------------------------


def test_request_goes_through_peer_while_link_is_down(clock: ManualClock) -> None:
    peer_transport = ScriptedTransport(proxied(200, b'{"logline":7}'))
    transport = transport_with_link_down(clock, [present_peer("node-1", clock, peer_transport)])
    assert transport.request("POST", "/commit", b"{}", 1.0) == (200, b'{"logline":7}')
    (request,) = [msgspec.msgpack.decode(body, type=ProxiedRequest) for _, _, body, _ in peer_transport.requests]
    assert peer_transport.requests[0][1] == PATH and (request.method, request.path) == ("POST", "/commit")


@pytest.mark.parametrize("lost", [None, proxied(0, b"")], ids=["no response of the peer", "no response of the store"])
def test_write_without_response_is_sent_once_and_its_outcome_is_unknown(
    clock: ManualClock, lost: tuple[int, bytes] | None
) -> None:
    """If the transport retried a write whose outcome is unknown, the write could be executed twice."""
    first, second = ScriptedTransport(lost), ScriptedTransport(proxied(200, b"{}"))
    peers = [present_peer("node-1", clock, first), present_peer("node-2", clock, second, 0.5)]
    transport = transport_with_link_down(clock, peers)
    with pytest.raises(UnreachableError):
        transport.request("POST", "/commit", b"{}", 1.0)
    assert (len(first.requests), len(second.requests)) == (1, 0)


def test_peer_that_does_not_respond_is_not_used_as_proxy_for_a_while(clock: ManualClock) -> None:
    unresponsive, second = ScriptedTransport(None), ScriptedTransport(proxied(200, b"{}"))
    peers = [present_peer("node-1", clock, unresponsive), present_peer("node-2", clock, second, 0.5)]
    transport = transport_with_link_down(clock, peers)
    with pytest.raises(UnreachableError):
        transport.request("GET", "/store/a", b"", 1.0)
    assert transport.request("GET", "/store/a", b"", 1.0)[0] == 200
    assert (len(unresponsive.requests), len(second.requests)) == (1, 1)


def test_no_proxy_is_used_in_an_outage_of_the_store(clock: ManualClock) -> None:
    peer_transport = ScriptedTransport(proxied(200, b"{}"))
    peer = present_peer("node-1", clock, peer_transport)
    transport = transport_with_link_down(clock, [peer])
    # the store answered the peer until about the time at which the direct link began to fail
    last_response_age_s = clock.now - (transport.link.failing_since or 0.0) - 0.2
    peer.last_status = PeerStatus("node-1", 0, last_response_age_s)
    with pytest.raises(UnreachableError):
        transport.request("GET", "/store/a", b"", 1.0)
    assert not peer_transport.requests


# the proxy ------------------------------------------------------------------------------------------------


def test_handler_never_forwards_to_another_peer(clock: ManualClock) -> None:
    """Two controllers whose links to the store are down must not forward requests to each other in a loop."""
    peer_transport = ScriptedTransport(proxied(200, b"{}"))
    transport = transport_with_link_down(clock, [present_peer("node-2", clock, peer_transport)])
    request = msgspec.msgpack.encode(ProxiedRequest("GET", "/store/a", b"", 1000))
    response = msgspec.msgpack.decode(StoreProxyHandler(transport).handle(request), type=ProxiedResponse)
    assert response.status == 503 and not peer_transport.requests


def test_handler_refuses_requests_beyond_its_limit_at_once(loop: VirtualLoop) -> None:
    """Proxied requests must not use up the capacity that the proxy needs for its own users and its own leadership."""

    class SlowStore:
        def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
            gevent.sleep(0.5)
            return 200, b"{}"

    handler = StoreProxyHandler(ProxiedStoreTransport(SlowStore(), LinkHealth("state", lambda: loop.time), list))
    request = msgspec.msgpack.encode(ProxiedRequest("GET", "/store/a", b"", 1000))
    requests = [gevent.spawn(handler.handle, request) for _ in range(MAX_PROXIED_REQUESTS + 5)]
    gevent.joinall(requests)
    statuses = [msgspec.msgpack.decode(request.value, type=ProxiedResponse).status for request in requests]
    assert (statuses.count(200), statuses.count(503)) == (MAX_PROXIED_REQUESTS, 5) and loop.time == 0.5


def test_proxied_watch_is_short_and_does_not_count_for_the_link(clock: ManualClock) -> None:
    """A watch that is open during an outage of the store gets a response whose content may be hours old.

    Such a response once counted as evidence that the link was up.
    """
    direct = ScriptedTransport((200, b'{"logline":3,"events":[]}'))
    transport = ProxiedStoreTransport(direct, LinkHealth("state", clock), list)
    request = msgspec.msgpack.encode(ProxiedRequest("GET", "/changes?prefix=live/&since=3&waitMs=5000", b"", 7000))
    StoreProxyHandler(transport).handle(request)
    assert (
        direct.requests[0][1].endswith(f"&waitMs={MAX_PROXIED_WATCH_MS}") and transport.link.state is LinkState.SUSPECT
    )
