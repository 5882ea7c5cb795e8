"""The HTTP server: `gevent.pywsgi`, with a limit on how long a request may take to come in."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, ClassVar

from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer, headers_factory

from ..features.hooks import Gate
from ..flow_control.connection_limits import ConnectionPlan
from ..settings.platform import parse_address
from ..wire.jobs import MAX_BODY
from .response import Response

log = logging.getLogger(__name__)

REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    421: "Misdirected Request", 422: "Unprocessable Entity", 429: "Too Many Requests", 503: "Service Unavailable",
}  # fmt: skip
#: a connection beyond what is held is to send its request within so long, in seconds
SURPLUS_S = 2.0
#: blocks of headers up to this size are remembered, and so many of them
BLOCK_BYTES, BLOCKS = 1024, 256
#: what `http.client` reads of a line of headers
LINE_BYTES = 65537


class _Replay:
    """Lines that were read already, and then the rest of what comes."""

    def __init__(self, lines: list[bytes], rest: Any) -> None:
        self._lines = iter(lines)
        self._rest = rest

    def readline(self, limit: int = LINE_BYTES) -> bytes:
        line = next(self._lines, None)
        return self._rest.readline(limit) if line is None else line


class _Handler(WSGIHandler):  # type: ignore[misc]
    """A connection that sends no complete request for long is closed: it would hold a socket for ever."""

    #: beyond what the server is to hold at a time: it gets one answer, and no other request is read
    surplus = False

    #: workers and users send the same few blocks again and again; parsing one took half the time of a request
    _parsed: ClassVar[dict[bytes, Any]] = {}

    def MessageClass(self, rfile: Any, *_: Any) -> Any:
        lines = []
        size = 0
        while size <= BLOCK_BYTES:
            lines.append(rfile.readline(LINE_BYTES))
            size += len(lines[-1])
            if lines[-1] in (b"\r\n", b"\n", b""):
                break
        else:
            return headers_factory(_Replay(lines, rfile))
        block = b"".join(lines)
        found = self._parsed.get(block)
        if found is None:
            found = headers_factory(_Replay(lines, rfile))
            if len(self._parsed) >= BLOCKS:
                self._parsed.pop(next(iter(self._parsed)))
            self._parsed[block] = found
        return found

    def read_requestline(self) -> Any:
        self.socket.settimeout(SURPLUS_S if self.surplus else 120.0)
        line = super().read_requestline()
        self.socket.settimeout(10.0)
        return line

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """A connection that broke while it was answered is nothing to be told of; TLS has its own names for it."""
        if isinstance(error, OSError):
            self.close_connection = True
        else:
            super().handle_error(kind, error, trace)

    def log_request(self) -> None:
        return

    def get_environ(self) -> Any:
        found = super().get_environ()
        found["grebestand.connection"] = self
        found["grebestand.surplus"] = self.surplus
        return found


class _GatedHandler(_Handler):
    """Says who the gate has found at the other end."""

    def get_environ(self) -> Any:
        found = super().get_environ()
        found["grebestand.peer"] = getattr(self.socket, "peer", None)
        return found


class _Quiet:
    def write(self, text: str) -> None:
        if text.strip():
            log.debug("http: %s", text.strip()[:300])

    def flush(self) -> None:
        return


class _Bounded(WSGIServer):  # type: ignore[misc]
    """Holds so many connections at a time, and takes some more in to be told so: none waits to be accepted."""

    most: int
    held = 0
    #: called with each connection that has ended
    on_end: Callable[[object], None]

    def handle(self, client: Any, address: Any) -> None:
        handler = self.handler_class(client, address, self)
        handler.surplus = self.held >= self.most
        self.held += 1
        try:
            handler.handle()
        finally:
            self.held -= 1
            self.on_end(handler)


App = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]


class _Gated(WSGIServer):  # type: ignore[misc]
    """Each connection passes a gate, in its own greenlet, before it is read."""

    gate: Gate

    def handle(self, client: Any, address: Any) -> None:
        host = str(address[0])
        passed = self.gate.wrap(client, host) if self.gate.admit(host) else None
        if passed is None:
            client.close()
            return
        super().handle(passed, address)


def _listener_v6(host: str, port: int) -> Any:
    """A listening socket on an IPv6 address; gevent's servers take names without brackets for IPv4."""
    made = socket.socket(socket.AF_INET6, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind((host, port))
    made.listen(128)
    return made


def listen(address: str, field: str, app: App, most: int, gate: Gate | None = None) -> WSGIServer:
    """A server for so many connections at a time; `field` names the address in an error."""
    kind, handler = (WSGIServer, _Handler) if gate is None else (_Gated, _GatedHandler)
    host, port = parse_address(address, field)
    where = _listener_v6(host[1:-1], port) if host.startswith("[") else (host, port)
    server = kind(where, app, spawn=Pool(most), log=None, error_log=_Quiet(), handler_class=handler)
    if gate is not None:
        server.gate = gate
    return server


def listen_bounded(
    address: str, field: str, app: App, shares: ConnectionPlan, on_end: Callable[[object], None]
) -> WSGIServer:
    """A server that holds as many connections as are its share, and answers once on some more.

    `on_end` hears of each that has ended. The app finds its connection in the environment, and whether it is of those
    beyond.
    """
    server = _Bounded(
        parse_address(address, field), app, spawn=Pool(shares.serving + shares.turned_away), backlog=shares.backlog,
        log=None, error_log=_Quiet(), handler_class=_Handler,
    )  # fmt: skip
    server.most, server.on_end = shares.serving, on_end
    return server


def read_body(environ: dict[str, Any]) -> bytes:
    """The body, or one byte more than is allowed if it is larger."""
    length = environ.get("CONTENT_LENGTH")
    if length and (not length.isdigit() or int(length) > MAX_BODY):
        return b"x" * (MAX_BODY + 1)
    return bytes(environ["wsgi.input"].read(MAX_BODY + 1))


def respond(answer: Response, start: Callable[..., Any]) -> list[bytes]:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(answer.body)))]
    if answer.retry_after is not None:
        headers.append(("Retry-After", str(answer.retry_after)))
    if answer.allow is not None:
        headers.append(("Allow", answer.allow))
    if answer.close:
        headers.append(("Connection", "close"))
    start(f"{answer.status} {REASONS[answer.status]}", headers)
    return [answer.body]
