"""Who reaches whom: a matrix of links, each with two ends and a way, and what is held, lost or late on them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import gevent

from ..clients.http import UnreachableError
from .virtual_time import set_owner

STATE, CLOUD = "state", "cloud"
#: a message takes so long, in seconds, at the least and at the most
DELAY_S = (0.001, 0.006)
#: what a slow link adds to each message, at most
MAX_SLOW_DELAY_S = 0.8
#: what is carried out late, comes so long after it was sent, in seconds
LATE_DELIVERY_S = (2.0, 12.0)


def run_detached(seconds: float, call: Callable[..., object], *args: object) -> None:
    """What a controller has set off goes on though it stands still: it is on its way, or a machine's own."""

    def go() -> None:
        set_owner(None)
        gevent.sleep(seconds)
        call(*args)

    gevent.spawn(go)


class LinkMode(Enum):
    """What becomes of messages between two hosts."""

    OPEN = auto()
    #: connections are refused; a state service answers 503
    REFUSED = auto()
    #: nothing comes through; what was sent is delivered once the link is open again, though its sender has given up
    HELD = auto()
    #: what is sent is lost, or what is answered
    REQUESTS_LOST = auto()
    RESPONSES_LOST = auto()
    SLOW = auto()


class NetworkLinks:
    """The matrix. A pair that is not in it is open."""

    def __init__(self) -> None:
        self.modes: dict[tuple[str, str], LinkMode] = {}
        #: deliveries of what was held, by pair
        self.held_deliveries: dict[tuple[str, str], list[Callable[[], object]]] = {}

    def set_mode(self, a: str, b: str, way: LinkMode) -> None:
        """Both directions between two hosts."""
        for pair in ((a, b), (b, a)):
            self.modes[pair] = way
            if way is not LinkMode.HELD:
                for deliver in self.held_deliveries.pop(pair, ()):
                    gevent.spawn(deliver)

    def open_all(self) -> None:
        """Open every link."""
        for a, b in list(self.modes):
            self.set_mode(a, b, LinkMode.OPEN)

    def mode(self, a: str, b: str) -> LinkMode:
        """The mode of the link from one end to another."""
        return self.modes.get((a, b), LinkMode.OPEN)


Handler = Callable[[str, str, bytes], tuple[int, bytes]]


@dataclass
class SimulatedTransport:
    """A way from one host to another: what a client knows as its transport."""

    links: NetworkLinks
    rng: random.Random
    source: str
    target: str
    #: finds who answers there now; None: the process is gone
    find_handler: Callable[[], Handler | None]

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request over the link; raise `UnreachableError` after `timeout` seconds without an answer."""
        with gevent.Timeout(timeout, False):
            return self._request(method, path, body)
        raise UnreachableError("timeout")

    def _request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        self._sleep_for_delay()
        way, handler = self.links.mode(self.source, self.target), self.find_handler()
        if way is LinkMode.REFUSED and self.target == STATE:
            return 503, b"{}"
        if way is LinkMode.REFUSED or handler is None:
            raise UnreachableError("refused")
        if way is LinkMode.HELD:
            deliver = handler
            self.links.held_deliveries.setdefault((self.source, self.target), []).append(
                lambda: deliver(method, path, body)
            )
        if way in (LinkMode.HELD, LinkMode.REQUESTS_LOST):
            gevent.sleep(1e6)
        status, answer = handler(method, path, body)
        if self.links.mode(self.target, self.source) in (LinkMode.HELD, LinkMode.RESPONSES_LOST):
            gevent.sleep(1e6)
        self._sleep_for_delay()
        return status, answer

    def _sleep_for_delay(self) -> None:
        late = (
            MAX_SLOW_DELAY_S * self.rng.random() if self.links.mode(self.source, self.target) is LinkMode.SLOW else 0.0
        )
        gevent.sleep(self.rng.uniform(*DELAY_S) + late)
