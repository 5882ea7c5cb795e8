"""The simulated network: a mode for each link between two hosts, and a transport that delays or loses messages."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import gevent

from ..clients.http import UnreachableError
from .virtual_time import set_owner

STATE, CLOUD = "state", "cloud"
#: the shortest and longest delay of a message, in seconds
DELAY_S = (0.001, 0.006)
#: the longest additional delay of a message on a slow link, in seconds
MAX_SLOW_DELAY_S = 0.8
#: the shortest and longest time after which a late request is executed or answered, in seconds
LATE_DELIVERY_S = (2.0, 12.0)
#: longer than any simulation: a greenlet that sleeps for this time never continues
NEVER_S = 1e6


def run_detached(delay_s: float, call: Callable[..., object], *args: object) -> None:
    """Call a function after a delay, even if the controller process that requested the call is paused meanwhile.

    Args:
        delay_s: The delay in simulated seconds.
        call: The function.
        *args: The function's arguments.
    """

    def run() -> None:
        set_owner(None)
        gevent.sleep(delay_s)
        call(*args)

    gevent.spawn(run)


class LinkMode(Enum):
    """How a link treats messages from one host to another."""

    OPEN = auto()
    #: connections are refused; the state service responds with status 503
    REFUSED = auto()
    #: messages are held, and delivered when the mode changes, though their senders may have timed out
    HELD = auto()
    REQUESTS_LOST = auto()
    RESPONSES_LOST = auto()
    SLOW = auto()


class NetworkLinks:
    """The mode of each link, by its source and target hosts; `OPEN` by default.

    Attributes:
        modes: The modes that were set.
        held_deliveries: Functions that deliver the held messages of a link.
    """

    def __init__(self) -> None:
        self.modes: dict[tuple[str, str], LinkMode] = {}
        self.held_deliveries: dict[tuple[str, str], list[Callable[[], object]]] = {}

    def set_mode(self, a: str, b: str, mode: LinkMode) -> None:
        """Set the mode of both directions between two hosts; modes other than `HELD` deliver held messages."""
        for link in ((a, b), (b, a)):
            self.modes[link] = mode
            if mode is not LinkMode.HELD:
                for deliver in self.held_deliveries.pop(link, ()):
                    gevent.spawn(deliver)

    def open_all(self) -> None:
        """Open every link."""
        for a, b in list(self.modes):
            self.set_mode(a, b, LinkMode.OPEN)

    def mode(self, source: str, target: str) -> LinkMode:
        """Return the mode of the link from one host to another."""
        return self.modes.get((source, target), LinkMode.OPEN)


#: answers a request, given its method, path and body, with a status and a body
Handler = Callable[[str, str, bytes], tuple[int, bytes]]


@dataclass
class SimulatedTransport:
    """A client's transport over the simulated link from one host to another.

    Attributes:
        links: The simulated network.
        rng: Draws delays.
        source: The client's host.
        target: The server's host.
        find_handler: Returns the target's present request handler, or None if no process runs there.
    """

    links: NetworkLinks
    rng: random.Random
    source: str
    target: str
    find_handler: Callable[[], Handler | None]

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request over the link.

        Args:
            method: The HTTP method.
            path: The path with the query.
            body: The request's body.
            timeout: The longest wait for the response, in simulated seconds.

        Returns:
            The status and the body of the response.

        Raises:
            UnreachableError: The connection was refused, or no response was received in time.
        """
        with gevent.Timeout(timeout, False):
            return self._request(method, path, body)
        raise UnreachableError("timeout")

    def _request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        self._sleep_for_delay()
        mode, handler = self.links.mode(self.source, self.target), self.find_handler()
        if mode is LinkMode.REFUSED and self.target == STATE:
            return 503, b"{}"
        if mode is LinkMode.REFUSED or handler is None:
            raise UnreachableError("refused")
        if mode is LinkMode.HELD:
            held_handler = handler
            deliveries = self.links.held_deliveries.setdefault((self.source, self.target), [])
            deliveries.append(lambda: held_handler(method, path, body))
        if mode in (LinkMode.HELD, LinkMode.REQUESTS_LOST):
            gevent.sleep(NEVER_S)
        status, response = handler(method, path, body)
        if self.links.mode(self.target, self.source) in (LinkMode.HELD, LinkMode.RESPONSES_LOST):
            gevent.sleep(NEVER_S)
        self._sleep_for_delay()
        return status, response

    def _sleep_for_delay(self) -> None:
        is_slow = self.links.mode(self.source, self.target) is LinkMode.SLOW
        additional_s = MAX_SLOW_DELAY_S * self.rng.random() if is_slow else 0.0
        gevent.sleep(self.rng.uniform(*DELAY_S) + additional_s)
