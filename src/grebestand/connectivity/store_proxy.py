"""The state service over one other controller, for one that is cut off from it or refused by it.

`ProxiedStoreTransport` stands where the client's transport stood, `StoreProxyHandler` answers at the other end.
Why a relayed answer is as good as a direct one is argued in docs/cuts.md; in short:
the caller counts its authority from before it asked, nothing is asked twice by anybody but the caller, what has no
answer stays unknown, and a helper asks the state service itself or not at all, so that there are no loops.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

import msgspec

from ..clients.http import Transport, UnreachableError
from ..clients.peer import PeerClient
from ..flow_control.connection_limits import RELAYED
from ..state_machines import LinkState
from ..wire.peers import ProxiedRequest, ProxiedResponse
from .link_health import LinkHealth

PATH = "/state"
#: failing for so long the direct way is given up; other controllers may have been answered meanwhile
DOWN_AFTER_S = 1.5
#: a helper has told so lately, in seconds, that it is served, and was answered so lately itself
HEARD_S, SERVED_S = 2.5, 2.0
#: in an outage all are served until the same moment, give or take so much
OUTAGE_S = 0.5
#: a helper that did not answer is left alone for so long
REST_S = 2.0
#: a watch is held for so long at the most, since it takes one of the places for what is asked for others
WATCH_MS = 1000


class ProxiedStoreTransport:
    """A transport to the state service: the direct one, and in its place another controller while that one is down."""

    def __init__(self, direct: Transport, link: LinkHealth, peers: Callable[[], list[PeerClient]]) -> None:
        self.direct = direct
        self.link = link
        self.peers = peers
        #: by name, until when a helper that did not answer is left alone
        self._resting: dict[str, float] = {}
        #: requests that went over others
        self.relayed = 0

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        if self.link.state is LinkState.DOWN:
            helper = next(self.helpers(), None)
            if helper is not None:
                return self._over(helper, method, path, body, timeout)
        return self.ask(method, path, body, timeout)

    def ask(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """The direct way; what becomes of it is what is known of the link."""
        if path.startswith("/changes"):
            # a watch shows nothing: it is silent for as long as it asked, and answered in an outage like any other
            return self.direct.request(method, path, body, timeout)
        sent = self.link.clock()
        try:
            status, answer = self.direct.request(method, path, body, timeout)
        except UnreachableError as e:
            self.link.failed(sent, str(e), DOWN_AFTER_S)
            raise
        if status == 503:
            self.link.failed(sent, "refused", DOWN_AFTER_S)
        else:
            self.link.answered()
        return status, answer

    def helpers(self) -> Iterator[PeerClient]:
        """Controllers that are served now, the one answered last first; in an outage of all there is none.

        A helper counts only if it was answered after this controller had begun to fail: before that, all were.
        """
        now, failed = self.link.clock(), self.link.failed_at
        if failed is None:
            return
        found = []
        for peer in self.peers():
            if (
                peer.last is None
                or now - peer.last_heard_at >= HEARD_S
                or self._resting.get(peer.name, -math.inf) > now
            ):
                continue
            served_at = peer.last_heard_at - peer.last.state_age_s
            if served_at > failed + OUTAGE_S and now - served_at < HEARD_S + SERVED_S:
                found.append((served_at, peer))
        for _, peer in sorted(found, key=lambda f: -f[0]):
            yield peer

    def _over(self, helper: PeerClient, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        self.relayed += 1
        question = ProxiedRequest(method, path, body, int(1000 * timeout))
        answer = helper.send(PATH, msgspec.msgpack.encode(question), timeout)
        try:
            told = msgspec.msgpack.decode(answer, type=ProxiedResponse) if answer is not None else None
        except msgspec.DecodeError:
            told = None
        if told is None:
            self._resting[helper.name] = self.link.clock() + REST_S
            raise UnreachableError(f"no answer over {helper.name}")
        if not told.status:
            raise UnreachableError(f"{helper.name} got no answer")
        return told.status, told.body


class StoreProxyHandler:
    """Asks the state service for another controller: once, directly, and only while this one is served itself."""

    def __init__(self, store: ProxiedStoreTransport) -> None:
        self.store = store
        self.busy = 0

    def answer(self, body: bytes) -> bytes:
        q = msgspec.msgpack.decode(body, type=ProxiedRequest)
        return msgspec.msgpack.encode(self._ask(q))

    def _ask(self, q: ProxiedRequest) -> ProxiedResponse:
        if self.store.link.state is LinkState.DOWN or self.busy >= RELAYED:
            return ProxiedResponse(503, b"")  # not executed, and said so at once
        self.busy += 1
        try:
            return ProxiedResponse(
                *self.store.ask(q.method, _shortened(q.path), q.body, max(0.1, 0.001 * q.timeout_ms))
            )
        except UnreachableError:
            return ProxiedResponse(0, b"")
        finally:
            self.busy -= 1


def _shortened(path: str) -> str:
    """A watch for another controller does not take a place for long; its caller asks again."""
    head, sign, wait = path.partition("&waitMs=")
    return f"{head}{sign}{min(int(wait), WATCH_MS)}" if sign and wait.isdigit() else path
