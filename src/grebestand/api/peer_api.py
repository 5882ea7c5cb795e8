"""The interface between controllers: status exchange, cached images, resignations, and messages of features.

Each message is an HTTP request, told apart by its path.
"""

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

#: Duration from which on a failed status exchange shows that the peer does not respond. An exchange that fails sooner
#: was refused because the peer's process or machine is down.
UNRESPONSIVE_AFTER_S = 0.5
#: Time without a response after which workers are no longer redirected to a peer.
UNRESPONSIVE_TOLERATED_S = 2.0
#: Interval of the leader's messages that list which machines cache which images.
CACHED_IMAGES_INTERVAL_S = 5.0
#: How long a cancellation is repeated in each status message.
CANCELLATION_KEPT_S = 30.0
#: Maximum number of cancellations in a status message; the oldest are left out.
MAX_CANCELLATIONS_PER_STATUS = 500
#: Longest interval between two statuses of a peer in which no cancellation can have been left out. It is shorter than
#: `CANCELLATION_KEPT_S` to allow for clocks that drift apart.
STATUS_GAP_TOLERATED_S = 25.0
#: Timeout of a new leader's request for cached images to each peer; short, as scheduling begins only afterwards.
IMAGES_REQUEST_TIMEOUT_S = 0.3
#: Maximum size of a message in bytes; the rest of a longer message is not read.
MAX_MESSAGE_BYTES = 1 << 22


class PeerListener(Protocol):
    """Handles events that this controller learns from its peers."""

    def on_peer_status(self, status: PeerStatus) -> None:
        """Called when a peer has answered a status exchange with its own status."""

    def on_peer_cancellations(self, job_ids: list[str]) -> None:
        """Called with the ids of jobs whose cancellation a peer has confirmed to users."""

    def on_peer_resigned(self, notice: ResignationNotice) -> None:
        """Called when a peer that led has resigned."""

    def on_leader_restarted(self, name: str) -> None:
        """Called when the process of a peer that led has restarted, which ended the peer's term."""

    def on_peer_recovered(self) -> None:
        """Called when a peer that did not respond has answered or refused a connection."""


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
    """Exchanges messages with the other controllers, and stores the latest data received from them."""

    def __init__(
        self,
        peers: list[PeerClient],
        clock: Callable[[], float],
        compose_status: Callable[[], PeerStatus],
        features: Features,
        store_proxy: StoreProxyHandler | None = None,
        answer_heartbeat_batch: Callable[[bytes], bytes] | None = None,
    ) -> None:
        """Create the interface.

        Args:
            peers: Clients of the other controllers.
            clock: Monotonic clock, in seconds.
            compose_status: Returns the current status of this controller.
            features: Hooks of the features, some of which handle messages.
            store_proxy: Handles proxied store requests; without it their path counts as unknown.
            answer_heartbeat_batch: Handles batches of forwarded heartbeats; without it their path counts as unknown.
        """
        self.peers = peers
        self.clock = clock
        self.compose_status = compose_status
        self.features = features
        self.store_proxy = store_proxy
        self.answer_heartbeat_batch = answer_heartbeat_batch
        self._listener: PeerListener = _NoListener()
        #: Numbers of done and of running tasks by job id, from the leader's latest status.
        self.leader_task_counts: dict[str, tuple[int, int]] = {}
        #: Addresses of some workers, from the leader's latest status.
        self.sampled_worker_addresses: list[str] = []
        #: Which machines cache which images, from the leader's latest message.
        self.cached_images = CachedImages()

    def subscribe(self, listener: PeerListener) -> None:
        """Pass all later events to `listener`, which replaces the previous listener."""
        self._listener = listener

    # requests to peers ------------------------------------------------------------------------------------

    def exchange_status(self, peer: PeerClient) -> None:
        """Send this controller's status to a peer, and process the status in the peer's response."""
        sent_at = self.clock()
        status = peer.call(STATUS_PATH, self.compose_status(), PeerStatus)
        self._record_responsiveness(peer, sent_at, answered=status is not None)
        if status is None:
            return
        restarted = peer.last_status is not None and peer.last_status.incarnation != status.incarnation
        self._record_cancellations_seen(peer, status, sent_at, restarted=restarted)
        if restarted and peer.last_status is not None:
            log.info(LogEvent("peer_restarted", controller=peer.name))
            if peer.last_status.token:
                self._listener.on_leader_restarted(peer.name)
        peer.last_heard_at, peer.last_status = self.clock(), status
        self._apply_status(status)
        self._listener.on_peer_status(status)

    def _record_responsiveness(self, peer: PeerClient, sent_at: float, *, answered: bool) -> None:
        """Record since when status exchanges with a peer get no response, in contrast to being refused.

        Args:
            peer: The peer.
            sent_at: When the status was sent, by the monotonic clock.
            answered: Whether the peer answered the status exchange that has just ended.
        """
        if answered or self.clock() - sent_at < UNRESPONSIVE_AFTER_S:
            was_unresponsive, peer.unresponsive_since = peer.unresponsive_since < math.inf, math.inf
            if was_unresponsive:
                self._listener.on_peer_recovered()
        else:
            peer.unresponsive_since = min(peer.unresponsive_since, sent_at)

    def _record_cancellations_seen(
        self, peer: PeerClient, status: PeerStatus, sent_at: float, *, restarted: bool
    ) -> None:
        """Record the period for which all cancellations confirmed by a peer are known to this controller.

        Only the status in a peer's response is used, as its content is not older than the request that it answers. A
        status sent in a request by the peer may have been delayed for minutes.

        Args:
            peer: The peer.
            status: Status in the peer's response.
            sent_at: When the answered request was sent, by the monotonic clock.
            restarted: Whether the peer's process has restarted since the peer's previous response.
        """
        gap = (
            sent_at - peer.answered_request_sent_at > STATUS_GAP_TOLERATED_S
            or len(status.cancelled) >= MAX_CANCELLATIONS_PER_STATUS
        )
        if peer.last_status is None or restarted or gap:
            peer.gapless_since = self.clock()
        peer.answered_request_sent_at = max(peer.answered_request_sent_at, sent_at)

    def find_cached_images(self) -> CachedImages:
        """Return which machines cache which images: the stored list or, if that is empty, the list of a peer.

        The stored list is empty after a restart of this controller.
        """
        if not self.cached_images.machines:
            for peer in self.peers:
                images = peer.call(CACHED_IMAGES_PATH, CachedImages(), CachedImages, timeout=IMAGES_REQUEST_TIMEOUT_S)
                if images is not None and images.machines:
                    return images
        return self.cached_images

    def send_images(self, images: CachedImages) -> None:
        """Send all peers, as the leader, the list of which machines cache which images."""
        self.cached_images = images
        for peer in self.peers:
            peer.call(CACHED_IMAGES_PATH, images, CachedImages)

    def send_resignation(self, name: str, token: int, successor: str = "") -> None:
        """Notify all peers that this controller has resigned, the successor first.

        Args:
            name: Name of this controller.
            token: Fencing token of the term that ended.
            successor: Name of the peer that should lead next, or "" for any.
        """
        for peer in sorted(self.peers, key=lambda peer: peer.name != successor):
            peer.call(RESIGNATION_PATH, ResignationNotice(name, token, successor), PeerStatus)

    # data received from peers -----------------------------------------------------------------------------

    def cancellations_confirmed_up_to(self, known_at: float) -> float:
        """Return the time up to which this controller knows all cancellations that peers have confirmed to users.

        Only controllers confirm cancellations. An earlier process of a peer may have confirmed some without sending
        them to this controller. Those were committed before a read of the live records if the peer's current process
        answered before that read was sent, so the read has covered them.

        Args:
            known_at: When the latest answered read of the live records was sent, by the monotonic clock.

        Returns:
            The time by the monotonic clock, in seconds; -inf if the cancellations of some peer are not known.
        """
        seen_up_to = (
            peer.answered_request_sent_at if known_at >= peer.gapless_since else -math.inf for peer in self.peers
        )
        return min(seen_up_to, default=self.clock())

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a peer has neither answered nor refused status exchanges for `UNRESPONSIVE_TOLERATED_S`."""
        now = self.clock()
        return any(
            peer.name == name and now - peer.unresponsive_since > UNRESPONSIVE_TOLERATED_S for peer in self.peers
        )

    def _apply_status(self, status: PeerStatus) -> None:
        """Store the data of a peer's status, whether received as a request or as a response."""
        if status.cancelled:
            self._listener.on_peer_cancellations(status.cancelled)
        if status.token:
            self.leader_task_counts = status.task_counts
            self.sampled_worker_addresses = status.worker_addresses or self.sampled_worker_addresses

    # requests from peers ----------------------------------------------------------------------------------

    def handle_message(self, path: str, body: bytes) -> bytes | None:
        """Process a message from a peer.

        Args:
            path: Path of the request.
            body: Encoded message.

        Returns:
            The encoded response, or None if the path is unknown.

        Raises:
            msgspec.DecodeError: The message cannot be decoded.
            BatchRefusedError: A batch of heartbeats was not sent by a known peer, or exceeds the limits of a batch.
        """
        if path == STATUS_PATH:
            self._apply_status(msgspec.msgpack.decode(body, type=PeerStatus))
        elif path == CACHED_IMAGES_PATH:
            return self._answer_images(msgspec.msgpack.decode(body, type=CachedImages))
        elif path == RESIGNATION_PATH:
            self._listener.on_peer_resigned(msgspec.msgpack.decode(body, type=ResignationNotice))
        elif path == STORE_PROXY_PATH:
            return self.store_proxy.handle(body) if self.store_proxy is not None else None
        elif path == HEARTBEAT_BATCH_PATH:
            return self.answer_heartbeat_batch(body) if self.answer_heartbeat_batch is not None else None
        elif path in self.features.messages:
            return self.features.messages[path](body)
        else:
            return None
        return msgspec.msgpack.encode(self.compose_status())

    def _answer_images(self, images: CachedImages) -> bytes:
        """Store the leader's list of cached images, or respond with the stored list if the message is empty.

        A new leader requests the stored list with an empty message.
        """
        if images.machines:
            self.cached_images = images
            return msgspec.msgpack.encode(CachedImages())
        return msgspec.msgpack.encode(self.cached_images)

    def app(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answer one request of a peer, as a WSGI application."""
        try:
            response_body = self.handle_message(
                environ.get("PATH_INFO", ""), environ["wsgi.input"].read(MAX_MESSAGE_BYTES)
            )
        except (msgspec.DecodeError, BatchRefusedError, OSError):
            start_response("400 Bad Request", [])
            return [b""]
        if response_body is None:
            start_response("404 Not Found", [])
            return [b""]
        start_response("200 OK", [("Content-Type", "application/msgpack")])
        return [response_body]
