"""Where other clusters' messages come in: networks and certificates first, then bounds, then the guest's answer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from ..log_events import LogEvent
from .allowed_networks import AllowedNetworks
from .keyring import Keyring
from .messages import MAX_MESSAGE_BYTES, NOT_LEADING, InvalidMessageError, Message, Reply, UncertainReply, decode
from .rate_limits import TokenBucket
from .tls_link import PATH

log = logging.getLogger(__name__)

#: refusals told in the log, a second; a broken peer must not fill the disk either
LOGGED_REFUSALS_PER_S = 2.0


class LinkAdmission:
    """The address is looked at before the handshake's cost is paid."""

    def __init__(self, networks: AllowedNetworks, ring: Keyring, clock: Callable[[], float]) -> None:
        self.networks = networks
        self.ring = ring
        self._log_rate = TokenBucket(LOGGED_REFUSALS_PER_S, clock)

    def admit(self, host: str) -> bool:
        """Whether connections of this host are accepted."""
        inside = host in self.networks
        if not inside and self._log_rate.take(1.0):
            log.warning(LogEvent("link_refused", host=host, reason="not in the networks of any cluster"))
        return inside

    def wrap(self, socket: Any, host: str) -> Any:
        """The TLS handshake; returns the wrapped socket."""
        return self.ring.greet(socket, host)


class LinkServer:
    """`answer` is the guest of the present leader, or None where this controller does not lead."""

    def __init__(
        self,
        ring: Keyring,
        answer: Callable[[], Callable[[Message], Reply] | None],
        leader: Callable[[], str | None],
        clock: Callable[[], float],
    ) -> None:
        self.ring = ring
        self.answer = answer
        self.leader = leader
        self._log_rate = TokenBucket(LOGGED_REFUSALS_PER_S, clock)

    def _refuse(self, start: Callable[..., Any], status: str, text: str, who: object) -> list[bytes]:
        if self._log_rate.take(1.0):
            log.warning(LogEvent("link_message_refused", sender=who, reason=text))
        start(status, [("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", str(len(text.encode())))])
        return [text.encode()]

    def app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        """WSGI application: one message of another cluster and its reply."""
        peer = environ.get("grebestand.peer")
        who = peer[0] if peer else "nobody known"
        if not self.ring.believes(peer):
            return self._refuse(start, "403 Forbidden", "its certificate is not believed any more", who)
        if environ.get("PATH_INFO") != PATH or environ.get("REQUEST_METHOD") != "POST":
            return self._refuse(start, "404 Not Found", "no such message here; versions may differ", who)
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit() or int(length) > MAX_MESSAGE_BYTES:
            return self._refuse(start, "413 Payload Too Large", f"at most {MAX_MESSAGE_BYTES} bytes are read", who)
        try:
            message = decode(environ["wsgi.input"].read(int(length)))
        except InvalidMessageError as e:
            return self._refuse(start, "400 Bad Request", str(e), who)
        except OSError:
            return self._refuse(start, "400 Bad Request", "the message broke off", who)
        if message.home != who:
            return self._refuse(start, "403 Forbidden", f"it speaks for {message.home!r}", who)
        answer = self.answer()
        reply = answer(message) if answer is not None else UncertainReply(NOT_LEADING, self.leader())
        body = msgspec.msgpack.encode(reply)
        start("200 OK", [("Content-Type", "application/msgpack"), ("Content-Length", str(len(body)))])
        return [body]
