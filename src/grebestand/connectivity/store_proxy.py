"""Access to the key-value store through another controller, for one that the store does not answer.

`ProxiedStoreTransport` replaces the transport of the store's client, and `StoreProxyHandler` serves its requests on the
other controller. docs/cuts.md argues why a proxied response is as good as a direct one. In short: the caller counts its
leader lease from before it sent the request; nobody but the caller repeats a request; without a response the outcome
counts as unknown; and a proxy sends a request to the store itself or refuses it, so that there are no loops.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from http import HTTPStatus

import msgspec

from ..clients.http import Transport, UnreachableError
from ..clients.peer import PeerClient
from ..flow_control.connection_limits import RELAYED
from ..state_machines import LinkState
from ..wire.peers import ProxiedRequest, ProxiedResponse
from .link_health import LinkHealth

#: path at which controllers serve proxied requests
PATH = "/state"
#: the direct link is down once requests have been failing for this long; others may have got responses meanwhile
DOWN_AFTER_S = 1.5
#: a controller is considered as a proxy only if its last status is younger than this
HEARD_S = 2.5
#: when it sent that status, the store had to have answered it within this time
SERVED_S = 2.0
#: In an outage of the store itself, its last responses to all controllers are close together. A controller that got a
#: response later than this after the first failure here is served by a store that is up.
OUTAGE_S = 0.5
#: a proxy that did not respond is not asked again for this long
REST_S = 2.0
#: longest wait of a proxied watch, as it occupies one of the proxy's `RELAYED` slots
WATCH_MS = 1000
#: shortest limit on a proxied request, for callers whose time is nearly up
MIN_TIMEOUT_S = 0.1
#: status of a `ProxiedResponse` if the store gave no response
NO_RESPONSE = 0


class ProxiedStoreTransport:
    """A transport to the store: directly, or through another controller while the direct link is down.

    Attributes:
        direct: The direct transport.
        link: Health of the direct link.
        relayed: Number of requests that were sent through others.
    """

    def __init__(self, direct: Transport, link: LinkHealth, peers: Callable[[], list[PeerClient]]) -> None:
        """Bind the transport to the direct one and to the other controllers."""
        self.direct = direct
        self.link = link
        self.peers = peers
        self.relayed = 0
        #: by the name of a controller that did not respond as a proxy, until when it is not asked again
        self._resting_until: dict[str, float] = {}

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request as `Transport.request` describes."""
        if self.link.state is LinkState.DOWN:
            proxy = next(self.helpers(), None)
            if proxy is not None:
                return self._request_through(proxy, method, path, body, timeout)
        return self.ask(method, path, body, timeout)

    def ask(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request directly, and let its outcome count for the health of the link."""
        if path.startswith("/changes"):
            # a watch says nothing of the link: it is silent for as long as it requested, and in an outage it is
            # answered as if there were no changes
            return self.direct.request(method, path, body, timeout)
        sent = self.link.clock()
        try:
            status, response = self.direct.request(method, path, body, timeout)
        except UnreachableError as error:
            self.link.failed(sent, str(error), DOWN_AFTER_S)
            raise
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.link.failed(sent, "refused", DOWN_AFTER_S)
        else:
            self.link.answered()
        return status, response

    def helpers(self) -> Iterator[PeerClient]:
        """Yield the controllers that the store answers now, the one answered last first.

        A controller counts only if the store answered it after the direct link had begun to fail: before, the store
        answered everyone. In an outage of the store there is therefore none.
        """
        now, failed_at = self.link.clock(), self.link.failed_at
        if failed_at is None:
            return
        candidates = []
        for peer in self.peers():
            served_at = self._served_at(peer, now)
            if served_at is not None and served_at > failed_at + OUTAGE_S and now - served_at < HEARD_S + SERVED_S:
                candidates.append((served_at, peer))
        for _, peer in sorted(candidates, key=lambda candidate: -candidate[0]):
            yield peer

    def _served_at(self, peer: PeerClient, now: float) -> float | None:
        """Return when the store last answered a controller, or None if its status is old or it did not respond."""
        if peer.last is None or now - peer.last_heard_at >= HEARD_S:
            return None
        if self._resting_until.get(peer.name, -math.inf) > now:
            return None
        return peer.last_heard_at - peer.last.state_age_s

    def _request_through(
        self, proxy: PeerClient, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        """Send a request through another controller."""
        self.relayed += 1
        request = ProxiedRequest(method, path, body, int(1000 * timeout))
        response = self._send(proxy, request, timeout)
        if response is None:
            self._resting_until[proxy.name] = self.link.clock() + REST_S
            raise UnreachableError(f"no answer over {proxy.name}")
        if response.status == NO_RESPONSE:
            raise UnreachableError(f"{proxy.name} got no answer")
        return response.status, response.body

    @staticmethod
    def _send(proxy: PeerClient, request: ProxiedRequest, timeout: float) -> ProxiedResponse | None:
        """Return a controller's response to a proxied request, or None if there is none that can be decoded."""
        response = proxy.send(PATH, msgspec.msgpack.encode(request), timeout)
        if response is None:
            return None
        try:
            return msgspec.msgpack.decode(response, type=ProxiedResponse)
        except msgspec.DecodeError:  # as good as none: whether the request was executed is unknown
            return None


class StoreProxyHandler:
    """Sends requests to the store for other controllers: once each, directly, and only while the store answers here.

    Attributes:
        store: This controller's own transport to the store.
        busy: Number of requests in progress.
    """

    def __init__(self, store: ProxiedStoreTransport) -> None:
        """Bind the handler to this controller's transport."""
        self.store = store
        self.busy = 0

    def answer(self, body: bytes) -> bytes:
        """Handle an encoded `ProxiedRequest` and return the encoded `ProxiedResponse`."""
        request = msgspec.msgpack.decode(body, type=ProxiedRequest)
        return msgspec.msgpack.encode(self._handle(request))

    def _handle(self, request: ProxiedRequest) -> ProxiedResponse:
        """Send a request to the store, or refuse it."""
        if self.store.link.state is LinkState.DOWN or self.busy >= RELAYED:
            # not executed; the caller learns it at once and may choose another proxy
            return ProxiedResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"")
        self.busy += 1
        try:
            timeout = max(MIN_TIMEOUT_S, 0.001 * request.timeout_ms)
            status, body = self.store.ask(request.method, _with_short_wait(request.path), request.body, timeout)
            return ProxiedResponse(status, body)
        except UnreachableError:
            return ProxiedResponse(NO_RESPONSE, b"")
        finally:
            self.busy -= 1


def _with_short_wait(path: str) -> str:
    """Return the path of a watch with a wait of at most `WATCH_MS`, after which its caller asks again."""
    head, parameter, wait_ms = path.partition("&waitMs=")
    return f"{head}{parameter}{min(int(wait_ms), WATCH_MS)}" if parameter and wait_ms.isdigit() else path
