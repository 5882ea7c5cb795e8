"""The other controllers' interface: greetings, cached images, resignations, and what features tell each other."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

import msgspec

from ..clients.peer import PeerClient
from ..connectivity.store_proxy import PATH, StoreProxyHandler
from ..features.hooks import Features
from ..heartbeat_relay.batch_receiver import BatchRefusedError
from ..heartbeat_relay.forwarder import PATH as REPORTS
from ..wire.peers import CachedImages, PeerStatus, ResignationNotice

log = logging.getLogger(__name__)

#: a greeting that took so long to fail was not refused; if that lasts for so long, in seconds, nobody is sent there
HANGS_S, SILENT_S = 0.5, 2.0
#: how often the leader tells the others which images the machines have
IMAGES_S = 5.0
#: cancellations are told to the others for so long, in seconds, and so many at the most; an answer that follows the one
#: before within the second time has left none out, whatever clocks drift
TOLD_S, TOLD_WHOLE_S, MOST_TOLD = 30.0, 25.0, 500


class PeerApi:
    """What this controller knows of the others, tells them, and answers them."""

    def __init__(
        self,
        peers: list[PeerClient],
        clock: Callable[[], float],
        hello: Callable[[], PeerStatus],
        resigned: Callable[[ResignationNotice], None],
        features: Features,
        relay: StoreProxyHandler | None = None,
    ) -> None:
        self.peers = peers
        self.relay = relay
        self.clock = clock
        self.hello = hello
        self.resigned = resigned
        self.features = features
        #: answers batches of reports that another controller passes on
        self.reports: Callable[[bytes], bytes] | None = None
        #: called when a controller that hung does so no more
        self.on_news: Callable[[], None] = lambda: None
        #: told of a controller that led, and has begun anew: its term is over
        self.ended: Callable[[str], None] = lambda name: None
        #: told of jobs that another controller has told its users are cancelled
        self.on_cancelled: Callable[[list[str]], None] = lambda idents: None
        #: done and running tasks of each job, as the leader last told
        self.leader_counts: dict[str, tuple[int, int]] = {}
        #: addresses of workers, as the leader last told
        self.samples: list[str] = []
        #: called with what another controller has answered to a greeting
        self.on_greeting: Callable[[PeerStatus], None] = lambda hello: None
        #: as the leader last told
        self.cached_images = CachedImages()

    def _take_hello(self, hello: PeerStatus) -> None:
        if hello.cancelled:
            self.on_cancelled(hello.cancelled)
        if hello.token:
            self.leader_counts = hello.counts
            self.samples = hello.samples or self.samples

    def greet(self, peer: PeerClient) -> None:
        sent = self.clock()
        answer = peer.tell("/hello", self.hello(), PeerStatus)
        if answer is not None or self.clock() - sent < HANGS_S:
            hung, peer.hangs_since = peer.hangs_since < math.inf, math.inf
            if hung:
                self.on_news()
        else:
            peer.hangs_since = min(peer.hangs_since, sent)
        if answer is not None:
            # answers only: they are as old as the request allows, while a message may have been held for minutes
            anew = peer.last is None or peer.last.incarnation != answer.incarnation
            if anew or sent - peer.told_at > TOLD_WHOLE_S or len(answer.cancelled) >= MOST_TOLD:
                peer.told_from = self.clock()
            peer.told_at = max(peer.told_at, sent)
            if peer.last is not None and peer.last.incarnation != answer.incarnation:
                # all that its earlier process said of its links is of another
                log.info("%s has begun anew", peer.name)
                if peer.last.token:
                    self.ended(peer.name)
            peer.last_heard_at, peer.last = self.clock(), answer
            self._take_hello(answer)
            self.on_greeting(answer)

    def cancellations_confirmed_up_to(self, known_at: float) -> float:
        """Up to when all others have told of every cancellation that they confirmed, given what was read at `known_at`.

        Nobody else confirms any. What an earlier process of theirs had told nobody of was committed before that read,
        if this one was heard of before it.
        """
        told = (p.told_at if known_at >= p.told_from else -math.inf for p in self.peers)
        return min(told, default=self.clock())

    def hangs(self, name: str) -> bool:
        """Whether another controller has not answered for a while, nor refused to."""
        now = self.clock()
        return any(peer.name == name and now - peer.hangs_since > SILENT_S for peer in self.peers)

    def known_images(self) -> CachedImages:
        """From memory, or, after a restart, from whoever was told."""
        if not self.cached_images.machines:
            for peer in self.peers:
                known = peer.tell("/images", CachedImages(), CachedImages, timeout=0.3)
                if known is not None and known.machines:
                    return known
        return self.cached_images

    def tell_images(self, images: CachedImages) -> None:
        self.cached_images = images
        for peer in self.peers:
            peer.tell("/images", images, CachedImages)

    def tell_resigned(self, name: str, token: int, heir: str = "") -> None:
        """Tells all others, the one that is to lead next first."""
        for peer in sorted(self.peers, key=lambda p: p.name != heir):
            peer.tell("/resigned", ResignationNotice(name, token, heir), PeerStatus)

    def answer(self, path: str, body: bytes) -> bytes | None:
        """The answer to a message, or None if there is no such path."""
        if path == "/hello":
            self._take_hello(msgspec.msgpack.decode(body, type=PeerStatus))
        elif path == "/images":
            told = msgspec.msgpack.decode(body, type=CachedImages)
            if told.machines:
                self.cached_images, told = told, CachedImages()
            else:
                told = self.cached_images
            return msgspec.msgpack.encode(told)
        elif path == "/resigned":
            self.resigned(msgspec.msgpack.decode(body, type=ResignationNotice))
        elif path == PATH:
            return self.relay.answer(body) if self.relay is not None else None
        elif path == REPORTS:
            return self.reports(body) if self.reports is not None else None
        elif path in self.features.messages:
            return self.features.messages[path](body)
        else:
            return None
        return msgspec.msgpack.encode(self.hello())

    def app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        try:
            answer = self.answer(environ.get("PATH_INFO", ""), environ["wsgi.input"].read(1 << 22))
        except (msgspec.DecodeError, BatchRefusedError, OSError):
            start("400 Bad Request", [])
            return [b""]
        if answer is None:
            start("404 Not Found", [])
            return [b""]
        start("200 OK", [("Content-Type", "application/msgpack")])
        return [answer]
