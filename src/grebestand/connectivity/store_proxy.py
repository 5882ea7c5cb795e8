"""Access to the key-value store through a peer, for a controller whose own link to the store is down.

`ProxiedStoreTransport` is the transport of the store's client on the controller whose link is down. `StoreProxyHandler`
executes the proxied requests on the peer. A proxied response is as reliable as a direct one (docs/cuts.md has the full
argument):

- A leader counts the validity of its lease from before it sent the renewal request.
- Only the original caller retries a request.
- If there is no response, the outcome of the request is unknown, as for a direct request.
- A proxy sends a request directly to the store or rejects it, so that requests cannot be forwarded in a loop.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from http import HTTPStatus

import msgspec

from ..clients.http import Transport, UnreachableError
from ..clients.peer import PeerClient
from ..flow_control.connection_limits import MAX_PROXIED_REQUESTS
from ..state_machines import LinkState
from ..wire.peers import ProxiedRequest, ProxiedResponse
from .link_health import LinkHealth

#: path of the API between controllers that serves proxied requests
PATH = "/state"
#: The direct link is down once requests have failed for this long, which leaves peers enough time to receive responses
#: that show that the store is up.
DOWN_AFTER_S = 1.5
#: a peer can be a proxy only if its last status was received within this time
STATUS_VALID_S = 2.5
#: a peer can be a proxy only if the store had answered it within this time before it sent its last status
STORE_RESPONSE_VALID_S = 2.0
#: In an outage of the store, the store's last responses to all controllers are close together in time. If a peer
#: received a response later than this after the first failure on this controller, the store itself is up.
OUTAGE_MARGIN_S = 0.5
#: a peer that did not respond to a proxied request is not used as a proxy for this long
PROXY_RETRY_DELAY_S = 2.0
#: maximum wait of a proxied watch, which occupies one of the proxy's `MAX_PROXIED_REQUESTS` slots for that time
MAX_PROXIED_WATCH_MS = 1000
#: minimum timeout of a proxied request at the proxy, for requests whose remaining time is shorter
MIN_TIMEOUT_S = 0.1
#: status of a `ProxiedResponse` if the store gave no response to the proxy
NO_RESPONSE = 0


class ProxiedStoreTransport:
    """A transport to the store that sends requests through a peer while the direct link is down.

    Attributes:
        direct: Transport over the direct link.
        link: Health of the direct link.
        peers: Returns the clients of all peers.
        proxied_requests: Number of requests that were sent through peers.
    """

    def __init__(self, direct: Transport, link: LinkHealth, peers: Callable[[], list[PeerClient]]) -> None:
        self.direct = direct
        self.link = link
        self.peers = peers
        self.proxied_requests = 0
        #: time until which a peer is not used as a proxy because it did not respond, by the name of the peer
        self._retry_at: dict[str, float] = {}

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request as `Transport.request` describes."""
        if self.link.state is LinkState.DOWN:
            proxy = next(self._proxy_candidates(), None)
            if proxy is not None:
                return self._request_through(proxy, method, path, body, timeout)
        return self.request_directly(method, path, body, timeout)

    def request_directly(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request over the direct link, and record its outcome in the health of the link."""
        if path.startswith("/changes"):
            # The outcome of a watch says nothing about the link: the store delays its response while there are no
            # changes, and responds to open watches in an outage as if there were no changes.
            return self.direct.request(method, path, body, timeout)
        sent_at = self.link.clock()
        try:
            status, response = self.direct.request(method, path, body, timeout)
        except UnreachableError as error:
            self.link.record_failure(sent_at, str(error), DOWN_AFTER_S)
            raise
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.link.record_failure(sent_at, "the store responded with status 503", DOWN_AFTER_S)
        else:
            self.link.record_success()
        return status, response

    def _proxy_candidates(self) -> Iterator[PeerClient]:
        """Yield the peers that the store answers, beginning with the peer that the store answered last.

        Only peers that the store answered after the direct link began to fail are candidates. An earlier response does
        not show that the store is still up, so in an outage of the store there are no candidates.
        """
        now, failing_since = self.link.clock(), self.link.failing_since
        if failing_since is None:
            return
        max_age_s = STATUS_VALID_S + STORE_RESPONSE_VALID_S
        candidates = []
        for peer in self.peers():
            served_at = self._served_at(peer, now)
            if served_at is not None and served_at > failing_since + OUTAGE_MARGIN_S and now - served_at < max_age_s:
                candidates.append((served_at, peer))
        for _, peer in sorted(candidates, key=lambda candidate: -candidate[0]):
            yield peer

    def _served_at(self, peer: PeerClient, now: float) -> float | None:
        """Return the time at which the store last answered a peer, or None if the peer cannot be a proxy now."""
        if peer.last_status is None or now - peer.last_heard_at >= STATUS_VALID_S:
            return None
        if self._retry_at.get(peer.name, -math.inf) > now:
            return None
        return peer.last_heard_at - peer.last_status.state_age_s

    def _request_through(
        self, proxy: PeerClient, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        """Send a request through a peer."""
        self.proxied_requests += 1
        request = ProxiedRequest(method, path, body, int(1000 * timeout))
        response = self._send(proxy, request, timeout)
        if response is None:
            self._retry_at[proxy.name] = self.link.clock() + PROXY_RETRY_DELAY_S
            raise UnreachableError(f"no usable response from {proxy.name} to the proxied request {method} {path}")
        if response.status == NO_RESPONSE:
            raise UnreachableError(
                f"{proxy.name} got no response from the store to the proxied request {method} {path}"
            )
        return response.status, response.body

    @staticmethod
    def _send(proxy: PeerClient, request: ProxiedRequest, timeout: float) -> ProxiedResponse | None:
        """Return a peer's response to a proxied request, or None if there is no response that can be decoded."""
        response = proxy.send(PATH, msgspec.msgpack.encode(request), timeout)
        if response is None:
            return None
        try:
            return msgspec.msgpack.decode(response, type=ProxiedResponse)
        except msgspec.DecodeError:  # like a missing response, leaves unknown whether the request was executed
            return None


class StoreProxyHandler:
    """Sends requests to the store on behalf of peers.

    Each request is sent once, over the direct link of this controller, and only while that link is not down.

    Attributes:
        store: This controller's own transport to the store.
        in_progress: Number of proxied requests in progress.
    """

    def __init__(self, store: ProxiedStoreTransport) -> None:
        self.store = store
        self.in_progress = 0

    def handle(self, body: bytes) -> bytes:
        """Execute an encoded `ProxiedRequest` and return the encoded `ProxiedResponse`."""
        request = msgspec.msgpack.decode(body, type=ProxiedRequest)
        return msgspec.msgpack.encode(self._handle(request))

    def _handle(self, request: ProxiedRequest) -> ProxiedResponse:
        """Send a request to the store, or reject it."""
        if self.store.link.state is LinkState.DOWN or self.in_progress >= MAX_PROXIED_REQUESTS:
            # the request is not executed; the peer is notified at once and may choose another proxy
            return ProxiedResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"")
        self.in_progress += 1
        try:
            timeout = max(MIN_TIMEOUT_S, 0.001 * request.timeout_ms)
            status, body = self.store.request_directly(
                request.method, _with_limited_wait(request.path), request.body, timeout
            )
            return ProxiedResponse(status, body)
        except UnreachableError:
            return ProxiedResponse(NO_RESPONSE, b"")
        finally:
            self.in_progress -= 1


def _with_limited_wait(path: str) -> str:
    """Limit the wait of a watch to `MAX_PROXIED_WATCH_MS`, after which the caller repeats the watch.

    Args:
        path: Path with query. The path of a request that is not a watch is returned unchanged.
    """
    head, parameter, wait_ms = path.partition("&waitMs=")
    return f"{head}{parameter}{min(int(wait_ms), MAX_PROXIED_WATCH_MS)}" if parameter and wait_ms.isdigit() else path
