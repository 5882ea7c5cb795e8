"""The interface between controllers: status exchange, cached images, resignations, and messages of features."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ..clients.peer import PeerClient
from ..connectivity.store_proxy import PATH as STORE_PROXY_PATH
from ..connectivity.store_proxy import StoreProxyHandler
from ..features.hooks import Features
from ..heartbeat_relay.batch_receiver import BatchRefusedError
from ..heartbeat_relay.forwarder import BATCH_PATH as HEARTBEAT_BATCH_PATH
from ..log_events import LogEvent
from ..wire.peers import CachedImages, PeerStatus, ResignationNotice

log = logging.getLogger(__name__)

STATUS_PATH = "/hello"
CACHED_IMAGES_PATH = "/images"
RESIGNATION_PATH = "/resigned"

#: a status exchange that took this long to fail hung; a shorter one was refused, by a process or a machine that is down
HANGING_AFTER_S = 0.5
#: no worker is redirected to a peer that has hung for longer than this
HANGING_TOLERATED_S = 2.0
#: between two messages of the leader on which images the machines have
IMAGES_S = 5.0
#: a cancellation is part of every status for this long, unless there are more than so many
CANCELLATION_KEPT_S = 30.0
MAX_CANCELLATIONS_PER_STATUS = 500
#: a status that follows the one before within this time has left no cancellation out; less than `CANCELLATION_KEPT_S`,
#: so that it holds for clocks that drift apart
STATUS_GAP_TOLERATED_S = 25.0
#: a new leader asks each peer for cached images for no longer than this, before it begins to schedule
IMAGES_REQUEST_TIMEOUT_S = 0.3
#: the longest message that is read, in bytes
MAX_MESSAGE_BYTES = 1 << 22


class PeerListener(Protocol):
    """Acts on what this controller learns from its peers."""

    def on_peer_status(self, status: PeerStatus) -> None:
        """A peer has answered a status exchange with its own status."""

    def on_peer_cancellations(self, job_ids: list[str]) -> None:
        """A peer has confirmed these cancellations to its users."""

    def on_peer_resigned(self, notice: ResignationNotice) -> None:
        """A peer that led has resigned."""

    def on_leader_restarted(self, name: str) -> None:
        """A peer that led has a new process: the term of the earlier one is over."""

    def on_peer_recovered(self) -> None:
        """A peer that hung has answered, or refuses connections by now."""


class _NoListener:
    """Ignores all events."""

    def on_peer_status(self, status: PeerStatus) -> None:
        return

    def on_peer_cancellations(self, job_ids: list[str]) -> None:
        return

    def on_peer_resigned(self, notice: ResignationNotice) -> None:
        return

    def on_leader_restarted(self, name: str) -> None:
        return

    def on_peer_recovered(self) -> None:
        return


class PeerApi:
    """Exchanges messages with the other controllers and keeps what they said last."""

    def __init__(
        self,
        peers: list[PeerClient],
        clock: Callable[[], float],
        compose_status: Callable[[], PeerStatus],
        features: Features,
        store_proxy: StoreProxyHandler | None = None,
        answer_heartbeat_batch: Callable[[bytes], bytes] | None = None,
    ) -> None:
        """Without `store_proxy` or `answer_heartbeat_batch` the messages for these are answered as unknown paths."""
        self.peers = peers
        self.clock = clock
        self.compose_status = compose_status
        self.features = features
        self.store_proxy = store_proxy
        self.answer_heartbeat_batch = answer_heartbeat_batch
        self._listener: PeerListener = _NoListener()
        #: done and running tasks of each job, by the leader's latest status
        self.leader_counts: dict[str, tuple[int, int]] = {}
        #: addresses of some workers, by the leader's latest status
        self.samples: list[str] = []
        #: by the leader's latest message
        self.cached_images = CachedImages()

    def subscribe(self, listener: PeerListener) -> None:
        """Pass all later events to this listener alone."""
        self._listener = listener

    # requests to peers ------------------------------------------------------------------------------------

    def greet(self, peer: PeerClient) -> None:
        """Exchange the status with a peer."""
        sent_at = self.clock()
        status = peer.tell(STATUS_PATH, self.compose_status(), PeerStatus)
        self._record_hanging(peer, sent_at, answered=status is not None)
        if status is None:
            return
        restarted = peer.last is not None and peer.last.incarnation != status.incarnation
        self._record_cancellations_seen(peer, status, sent_at, restarted=restarted)
        if restarted and peer.last is not None:
            log.info(LogEvent("peer_restarted", controller=peer.name))
            if peer.last.token:
                self._listener.on_leader_restarted(peer.name)
        peer.last_heard_at, peer.last = self.clock(), status
        self._take_status(status)
        self._listener.on_peer_status(status)

    def _record_hanging(self, peer: PeerClient, sent_at: float, *, answered: bool) -> None:
        """Record since when status exchanges with a peer hang, in contrast to being refused."""
        if answered or self.clock() - sent_at < HANGING_AFTER_S:
            was_hanging, peer.unresponsive_since = peer.unresponsive_since < math.inf, math.inf
            if was_hanging:
                self._listener.on_peer_recovered()
        else:
            peer.unresponsive_since = min(peer.unresponsive_since, sent_at)

    def _record_cancellations_seen(
        self, peer: PeerClient, status: PeerStatus, sent_at: float, *, restarted: bool
    ) -> None:
        """Record up to when, and since when without a gap, a peer's confirmed cancellations are known here.

        Only answers count: they are as old as the request allows, while a message may have been delayed for minutes.
        """
        gap = (
            sent_at - peer.acknowledged_at > STATUS_GAP_TOLERATED_S
            or len(status.cancelled) >= MAX_CANCELLATIONS_PER_STATUS
        )
        if peer.last is None or restarted or gap:
            peer.acknowledged_since = self.clock()
        peer.acknowledged_at = max(peer.acknowledged_at, sent_at)

    def known_images(self) -> CachedImages:
        """Return which machine caches which images: from memory or, after a restart, from a peer that knows."""
        if not self.cached_images.machines:
            for peer in self.peers:
                images = peer.tell(CACHED_IMAGES_PATH, CachedImages(), CachedImages, timeout=IMAGES_REQUEST_TIMEOUT_S)
                if images is not None and images.machines:
                    return images
        return self.cached_images

    def send_images(self, images: CachedImages) -> None:
        """Send all peers, as the leader, which machine caches which images."""
        self.cached_images = images
        for peer in self.peers:
            peer.tell(CACHED_IMAGES_PATH, images, CachedImages)

    def send_resignation(self, name: str, token: int, heir: str = "") -> None:
        """Tell all peers that this controller, `name`, has resigned; `heir`, which is to lead next, comes first."""
        for peer in sorted(self.peers, key=lambda peer: peer.name != heir):
            peer.tell(RESIGNATION_PATH, ResignationNotice(name, token, heir), PeerStatus)

    # what peers said --------------------------------------------------------------------------------------

    def cancellations_confirmed_up_to(self, known_at: float) -> float:
        """Return up to when all cancellations that peers confirmed are known here, given a read sent at `known_at`.

        Only controllers confirm cancellations. Those that an earlier process of a peer confirmed without sending them
        were committed before the read, provided that the present process of the peer was heard before it.
        """
        seen_up_to = (peer.acknowledged_at if known_at >= peer.acknowledged_since else -math.inf for peer in self.peers)
        return min(seen_up_to, default=self.clock())

    def hangs(self, name: str) -> bool:
        """Return whether a peer has neither answered nor refused status exchanges for a while."""
        now = self.clock()
        return any(peer.name == name and now - peer.unresponsive_since > HANGING_TOLERATED_S for peer in self.peers)

    def _take_status(self, status: PeerStatus) -> None:
        if status.cancelled:
            self._listener.on_peer_cancellations(status.cancelled)
        if status.token:
            self.leader_counts = status.task_counts
            self.samples = status.worker_addresses or self.samples

    # requests from peers ----------------------------------------------------------------------------------

    def answer(self, path: str, body: bytes) -> bytes | None:
        """Return the answer to a message, or None if there is no such path.

        Raises:
            msgspec.DecodeError: the message cannot be decoded.
            BatchRefusedError: a batch of heartbeats is not one of a peer.
        """
        if path == STATUS_PATH:
            self._take_status(msgspec.msgpack.decode(body, type=PeerStatus))
        elif path == CACHED_IMAGES_PATH:
            return self._answer_images(msgspec.msgpack.decode(body, type=CachedImages))
        elif path == RESIGNATION_PATH:
            self._listener.on_peer_resigned(msgspec.msgpack.decode(body, type=ResignationNotice))
        elif path == STORE_PROXY_PATH:
            return self.store_proxy.answer(body) if self.store_proxy is not None else None
        elif path == HEARTBEAT_BATCH_PATH:
            return self.answer_heartbeat_batch(body) if self.answer_heartbeat_batch is not None else None
        elif path in self.features.messages:
            return self.features.messages[path](body)
        else:
            return None
        return msgspec.msgpack.encode(self.compose_status())

    def _answer_images(self, images: CachedImages) -> bytes:
        """Keep the leader's message, or answer a new leader, which sends an empty one, with the last that came."""
        if images.machines:
            self.cached_images = images
            return msgspec.msgpack.encode(CachedImages())
        return msgspec.msgpack.encode(self.cached_images)

    def app(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answer one request of a peer (a WSGI application)."""
        try:
            answer = self.answer(environ.get("PATH_INFO", ""), environ["wsgi.input"].read(MAX_MESSAGE_BYTES))
        except (msgspec.DecodeError, BatchRefusedError, OSError):
            start_response("400 Bad Request", [])
            return [b""]
        if answer is None:
            start_response("404 Not Found", [])
            return [b""]
        start_response("200 OK", [("Content-Type", "application/msgpack")])
        return [answer]
