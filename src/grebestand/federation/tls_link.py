"""The client side of the link to another cluster: sends messages to the leader there over mutual TLS."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..clients.http import HttpTransport, Transport, UnreachableError
from ..log_events import LogEvent
from .keyring import Keyring
from .messages import NOT_LEADING, InvalidMessageError, Message, Reply, UncertainReply, decode_reply

log = logging.getLogger(__name__)

LINK_PATH = "/federation/1"
#: Timeout of one request to one controller, in seconds.
REQUEST_TIMEOUT_S = 1.5
#: Timeout of a message, in seconds, including requests to controllers that do not lead.
TOTAL_TIMEOUT_S = 3.0
#: No request is sent to a further controller if less time than this is left, in seconds.
MIN_REQUEST_TIMEOUT_S = 0.05
#: Timeout of making a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Limit on connections to one controller.
MAX_CONNECTIONS = 4
HTTP_OK = 200
#: At most this many bytes of the body of a refusal are logged.
LOGGED_BODY_BYTES = 120
#: Connects to a controller's host and port, or returns None if no certificate of the controller's cluster is trusted.
Connect = Callable[[str, int], Transport | None]


def tls_connector(peer: str, ring: Keyring) -> Connect:
    """Return a function that connects to controllers of a cluster with the keys current at that time.

    Args:
        peer: Name of the other cluster.
        ring: Keys of this cluster and the certificates that it trusts.
    """

    def connect(host: str, port: int) -> Transport | None:
        context = ring.client_context(peer)
        if context is None:
            return None
        return HttpTransport(host, port, MAX_CONNECTIONS, connect_s=CONNECT_TIMEOUT_S, tls=context)

    return connect


@dataclass(frozen=True)
class _OpenTransport:
    """A transport to a controller, and the edition of the keyring with which it was made."""

    edition: int
    transport: Transport


class TlsLink:
    """The link to one cluster; remembers which controller leads there and follows hints from the others."""

    def __init__(
        self,
        controllers: dict[str, tuple[str, int]],
        connect: Connect,
        edition: Callable[[], int],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start without connections.

        Args:
            controllers: Host and port of each controller of the cluster, by name.
            connect: Connects to a controller.
            edition: Returns the current edition of the keyring; connections made with an earlier one are replaced.
            clock: Steady clock, in seconds.
            rng: Source of the random order in which controllers are tried.
        """
        self.controllers = controllers
        self.connect = connect
        self.edition = edition
        self.clock = clock
        self.rng = rng
        self._leader: str | None = None
        self._open: dict[str, _OpenTransport] = {}

    def send(self, message: Message) -> Reply | None:
        """Send a message to the leader of the other cluster.

        Several controllers may receive the message until the leader is found; every message is idempotent.

        Args:
            message: The message.

        Returns:
            The leader's reply; without one, the last `UncertainReply` of another controller; None if none replied.
        """
        body = msgspec.msgpack.encode(message)
        deadline = self.clock() + TOTAL_TIMEOUT_S
        candidates = self._candidates()
        last: Reply | None = None
        while candidates and (left_s := deadline - self.clock()) > MIN_REQUEST_TIMEOUT_S:
            name = candidates.pop(0)
            reply = self._request(name, body, min(REQUEST_TIMEOUT_S, left_s))
            if reply is None:
                continue
            if not isinstance(reply, UncertainReply) or _is_of_leader(reply):
                self._leader = name
                return reply
            last = reply
            if reply.leader in candidates:
                candidates.remove(reply.leader)
                candidates.insert(0, reply.leader)
        self._leader = None
        return last

    def _candidates(self) -> list[str]:
        """Return the controllers in the order to try them: the last known leader, then the others in random order."""
        names = [name for name in self.controllers if name != self._leader]
        self.rng.shuffle(names)
        if self._leader in self.controllers:
            names.insert(0, self._leader)
        return names

    def _request(self, name: str, body: bytes, timeout_s: float) -> Reply | None:
        transport = self._transport(name)
        if transport is None:
            return None
        try:
            status, answer = transport.request("POST", LINK_PATH, body, timeout_s)
            if status != HTTP_OK:
                text = answer[:LOGGED_BODY_BYTES].decode("utf-8", "replace")
                log.info(LogEvent("link_request_refused", controller=name, status=status, body=text))
                return None
            return decode_reply(answer)
        except UnreachableError as error:
            log.debug(LogEvent("link_request_unanswered", controller=name, error=error))
            return None
        except InvalidMessageError as error:
            log.warning(LogEvent("link_reply_invalid", controller=name, error=error))
            return None

    def _transport(self, name: str) -> Transport | None:
        """Return the transport to a controller; it is replaced if the keys have changed."""
        edition = self.edition()
        known = self._open.get(name)
        if known is not None and known.edition == edition:
            return known.transport
        if known is not None:
            self.close(known.transport)
        transport = self.connect(*self.controllers[name])
        if transport is not None:
            self._open[name] = _OpenTransport(edition, transport)
        return transport

    @staticmethod
    def close(transport: Transport) -> None:
        """Close a transport that this link opened."""
        if isinstance(transport, HttpTransport):
            transport.close()


def _is_of_leader(reply: UncertainReply) -> bool:
    """Return whether the leader itself sent this uncertain reply, so that no other controller is certain."""
    return reply.leader is None and reply.reason != NOT_LEADING
