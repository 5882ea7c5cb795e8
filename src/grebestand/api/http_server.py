"""HTTP servers: `gevent.pywsgi` with limits on connections and on how long a request may take to come in."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, ClassVar

from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer, headers_factory

from ..features.hooks import Gate
from ..flow_control.connection_limits import ConnectionPlan
from ..log_events import LogEvent
from ..settings.platform import parse_address
from ..wire.jobs import MAX_SUBMISSION_BYTES
from .response import Response

log = logging.getLogger(__name__)

#: reason phrases of the statuses that are used
REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    421: "Misdirected Request", 422: "Unprocessable Entity", 429: "Too Many Requests", 503: "Service Unavailable",
}  # fmt: skip
#: a connection may be idle for this long between two requests: workers send heartbeats every few seconds
IDLE_TIMEOUT_S = 120.0
#: a surplus connection has to send its request within this time
SURPLUS_TIMEOUT_S = 2.0
#: no pause between two parts of a request may be longer
REQUEST_TIMEOUT_S = 10.0
#: parsed blocks of headers are cached: up to this size in bytes, and so many of them
BLOCK_BYTES, BLOCKS = 1024, 256
#: the longest line of headers, as `http.client` limits it
LINE_BYTES = 65537
#: of a message of the WSGI server, in characters: it may contain what a client sent
MAX_LOGGED_CHARACTERS = 300
#: connections to an IPv6 address that the kernel keeps until they are accepted
IPV6_BACKLOG = 128

App = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]


class _Replay:
    """A file that returns lines which were read already, then the rest of a connection."""

    def __init__(self, lines: list[bytes], rest: Any) -> None:
        self._lines = iter(lines)
        self._rest = rest

    def readline(self, limit: int = LINE_BYTES) -> bytes:
        """Return the next line; one that was read already is not limited again."""
        line = next(self._lines, None)
        return self._rest.readline(limit) if line is None else line


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Serves a connection, and closes it if no complete request comes in time: it would occupy a socket for ever."""

    #: whether the connection is beyond those that the server keeps: its one request is answered, then it is closed
    surplus = False

    #: by block; clients send the same few blocks again and again, and parsing one takes half the time of a request
    _parsed: ClassVar[dict[bytes, Any]] = {}

    def MessageClass(self, rfile: Any, *_: Any) -> Any:  # noqa: N802 - the base class looks it up by this name
        """Return the parsed headers that follow in `rfile`; the name is that of the base class."""
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
        """Read the first line of the next request, for which a kept connection may be idle for longer."""
        self.socket.settimeout(SURPLUS_TIMEOUT_S if self.surplus else IDLE_TIMEOUT_S)
        line = super().read_requestline()
        self.socket.settimeout(REQUEST_TIMEOUT_S)
        return line

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close a connection that broke while it was answered without a log line; TLS errors are `OSError` too."""
        if isinstance(error, OSError):
            self.close_connection = True
        else:
            super().handle_error(kind, error, trace)

    def log_request(self) -> None:
        """Log no requests: there are hundreds a second."""

    def get_environ(self) -> Any:
        """Return the environment, with the connection and whether it is a surplus one."""
        environ = super().get_environ()
        environ["grebestand.connection"] = self
        environ["grebestand.surplus"] = self.surplus
        return environ


class _GatedHandler(_Handler):
    """Serves a connection that has passed a gate, which identified the other end."""

    def get_environ(self) -> Any:
        """Return the environment, with the identity of the other end."""
        environ = super().get_environ()
        environ["grebestand.peer"] = getattr(self.socket, "peer", None)
        return environ


class _DebugLog:
    """A file for messages of the WSGI server, which are about misbehaving clients mostly."""

    def write(self, text: str) -> None:
        """Log a message at debug level."""
        if text.strip() and log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("http_server_message", text=text.strip()[:MAX_LOGGED_CHARACTERS]))

    def flush(self) -> None:
        """Do nothing: nothing is buffered."""


class _BoundedServer(WSGIServer):  # type: ignore[misc]
    """Keeps a limited number of connections, and accepts some more to answer each once: none waits to be accepted."""

    max_connections: int
    open_connections = 0
    #: called with the handler of each connection that has ended
    on_end: Callable[[object], None]

    def handle(self, client: Any, address: Any) -> None:
        """Serve a connection until it ends."""
        handler = self.handler_class(client, address, self)
        handler.surplus = self.open_connections >= self.max_connections
        self.open_connections += 1
        try:
            handler.handle()
        finally:
            self.open_connections -= 1
            self.on_end(handler)


class _GatedServer(WSGIServer):  # type: ignore[misc]
    """Lets each connection pass a gate, in its own greenlet, before anything of it is read as HTTP."""

    gate: Gate

    def handle(self, client: Any, address: Any) -> None:
        """Serve a connection that the gate admits, and close any other."""
        host = str(address[0])
        admitted = self.gate.wrap(client, host) if self.gate.admit(host) else None
        if admitted is None:
            client.close()
            return
        super().handle(admitted, address)


def _listener_v6(host: str, port: int) -> Any:
    """Return a listening socket on an IPv6 address, as gevent's servers would resolve the name for IPv4."""
    listener = socket.socket(socket.AF_INET6, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(IPV6_BACKLOG)
    return listener


def listen(address: str, field: str, app: App, max_connections: int, gate: Gate | None = None) -> WSGIServer:
    """Return a server that serves so many connections at a time; more wait to be accepted.

    Args:
        field: The setting that the address is from, for errors.
        gate: What each connection passes first.

    Raises:
        ValueError: the address is malformed.
    """
    server_class, handler_class = (WSGIServer, _Handler) if gate is None else (_GatedServer, _GatedHandler)
    host, port = parse_address(address, field)
    listener = _listener_v6(host[1:-1], port) if host.startswith("[") else (host, port)
    server = server_class(
        listener, app, spawn=Pool(max_connections), log=None, error_log=_DebugLog(), handler_class=handler_class
    )
    if gate is not None:
        server.gate = gate
    return server


def listen_bounded(
    address: str, field: str, app: App, plan: ConnectionPlan, on_end: Callable[[object], None]
) -> WSGIServer:
    """Return a server that keeps as many connections as planned, and answers once on each of some more.

    The application finds in its environment the connection (`grebestand.connection`) and whether it is a surplus one
    (`grebestand.surplus`).

    Args:
        field: The setting that the address is from, for errors.
        on_end: Called with each connection that has ended.

    Raises:
        ValueError: the address is malformed.
    """
    server = _BoundedServer(
        parse_address(address, field), app, spawn=Pool(plan.serving + plan.turned_away), backlog=plan.backlog,
        log=None, error_log=_DebugLog(), handler_class=_Handler,
    )  # fmt: skip
    server.max_connections, server.on_end = plan.serving, on_end
    return server


def read_body(environ: dict[str, Any]) -> bytes:
    """Read and return the body of a request; of one that is too large, one byte more than is allowed."""
    length = environ.get("CONTENT_LENGTH")
    if length and (not length.isdigit() or int(length) > MAX_SUBMISSION_BYTES):
        return b"x" * (MAX_SUBMISSION_BYTES + 1)
    return bytes(environ["wsgi.input"].read(MAX_SUBMISSION_BYTES + 1))


def respond(response: Response, start_response: Callable[..., Any]) -> list[bytes]:
    """Send the status line and headers of a response, and return its body for the WSGI server to send."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(response.body)))]
    if response.retry_after is not None:
        headers.append(("Retry-After", str(response.retry_after)))
    if response.allow is not None:
        headers.append(("Allow", response.allow))
    if response.close:
        headers.append(("Connection", "close"))
    start_response(f"{response.status} {REASONS[response.status]}", headers)
    return [response.body]
