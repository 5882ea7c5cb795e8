"""The server side of the link: checks each peer and message, then passes the message to the guest cluster."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from ..errors import GrebestandError
from ..log_events import LogEvent
from .allowed_networks import AllowedNetworks
from .keyring import Keyring
from .messages import MAX_MESSAGE_BYTES, NOT_LEADING, InvalidMessageError, Message, Reply, UncertainReply, decode
from .rate_limits import TokenBucket
from .tls_link import LINK_PATH

log = logging.getLogger(__name__)

#: Limit on refusals that are logged a second, so that a faulty peer cannot fill the disk.
LOGGED_REFUSALS_PER_S = 2.0


class LinkAdmission:
    """Admission of connections to the link: checks the address first, to spare refused hosts' TLS handshakes."""

    def __init__(self, networks: AllowedNetworks, ring: Keyring, clock: Callable[[], float]) -> None:
        """Admit connections from these networks.

        Args:
            networks: Networks from which other clusters may connect.
            ring: Makes the TLS handshake.
            clock: Steady clock, in seconds.
        """
        self.networks = networks
        self.ring = ring
        self._log_rate = TokenBucket(LOGGED_REFUSALS_PER_S, clock)

    def admit(self, host: str) -> bool:
        """Return whether connections from this address are accepted."""
        allowed = host in self.networks
        if not allowed and self._log_rate.take(1.0):
            log.warning(LogEvent("link_refused", host=host, reason="not in the networks of any cluster"))
        return allowed

    def wrap(self, socket: Any, host: str) -> Any:
        """Make the TLS handshake; return the TLS connection, or None if the peer is refused."""
        return self.ring.accept_handshake(socket, host)


class RequestRefusedError(GrebestandError):
    """A request is invalid, or the peer may not send the message in it.

    Attributes:
        status: HTTP status line of the response.
        reason: Why the request is refused; the body of the response.
    """

    def __init__(self, status: str, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


class LinkServer:
    """The WSGI application of the link."""

    def __init__(
        self,
        ring: Keyring,
        message_handler: Callable[[], Callable[[Message], Reply] | None],
        leader: Callable[[], str | None],
        clock: Callable[[], float],
    ) -> None:
        """Serve messages of other clusters.

        Args:
            ring: The trusted certificates.
            message_handler: Returns the function that replies to messages, or None if this controller does not lead.
            leader: Returns the name of the controller that leads this cluster, or None if unknown.
            clock: Steady clock, in seconds.
        """
        self.ring = ring
        self.message_handler = message_handler
        self.leader = leader
        self._log_rate = TokenBucket(LOGGED_REFUSALS_PER_S, clock)

    def app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        """Receive one message of another cluster and return the reply, as a WSGI application."""
        peer = environ.get("grebestand.peer")
        sender = peer[0] if peer else "unknown"
        try:
            message = self._read_message(environ, sender)
        except RequestRefusedError as refusal:
            return self._refuse(start, refusal, sender)
        handle = self.message_handler()
        reply = handle(message) if handle is not None else UncertainReply(NOT_LEADING, self.leader())
        body = msgspec.msgpack.encode(reply)
        start("200 OK", [("Content-Type", "application/msgpack"), ("Content-Length", str(len(body)))])
        return [body]

    def _read_message(self, environ: dict[str, Any], sender: str) -> Message:
        """Return the message of a request, or raise `RequestRefusedError`."""
        if not self.ring.trusts(environ.get("grebestand.peer")):
            raise RequestRefusedError("403 Forbidden", "its certificate is not believed any more")
        if environ.get("PATH_INFO") != LINK_PATH or environ.get("REQUEST_METHOD") != "POST":
            raise RequestRefusedError("404 Not Found", "no such message here; versions may differ")
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit() or int(length) > MAX_MESSAGE_BYTES:
            raise RequestRefusedError("413 Payload Too Large", f"at most {MAX_MESSAGE_BYTES} bytes are read")
        try:
            message = decode(environ["wsgi.input"].read(int(length)))
        except InvalidMessageError as error:
            raise RequestRefusedError("400 Bad Request", str(error)) from error
        except OSError as error:
            raise RequestRefusedError("400 Bad Request", "the message broke off") from error
        if message.home != sender:
            raise RequestRefusedError("403 Forbidden", f"it speaks for {message.home!r}")
        return message

    def _refuse(self, start: Callable[..., Any], refusal: RequestRefusedError, sender: str) -> list[bytes]:
        if self._log_rate.take(1.0):
            log.warning(LogEvent("link_message_refused", sender=sender, reason=refusal.reason))
        body = refusal.reason.encode()
        start(refusal.status, [("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", str(len(body)))])
        return [body]
