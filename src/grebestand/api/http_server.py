"""HTTP servers based on `gevent.pywsgi`, with limits on connections and on the time to receive a request."""

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

#: Reason phrases of the statuses that the servers send.
REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    421: "Misdirected Request", 422: "Unprocessable Entity", 429: "Too Many Requests", 503: "Service Unavailable",
}  # fmt: skip
#: Longest time that a connection may be idle between two requests; workers send heartbeats every few seconds.
IDLE_TIMEOUT_S = 120.0
#: Time within which a surplus connection has to send its request.
SURPLUS_TIMEOUT_S = 2.0
#: Longest pause between two parts of a request.
REQUEST_TIMEOUT_S = 10.0
#: Size limit in bytes of a header block whose parsed form is cached, and maximum number of cached header blocks.
MAX_CACHED_HEADER_BYTES, MAX_CACHED_HEADERS = 1024, 256
#: Limit for reading one header line, the same as that of `http.client`.
MAX_HEADER_LINE_BYTES = 65537
#: Limit of a logged message of the WSGI server, which may contain arbitrary text sent by a client.
MAX_LOGGED_CHARACTERS = 300
#: Maximum number of connections to an IPv6 address that the kernel queues until they are accepted.
IPV6_BACKLOG = 128

App = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]


class _ReplayedLines:
    """A file object that returns lines read earlier, then the lines that are still to be read from a connection."""

    def __init__(self, lines: list[bytes], connection_file: Any) -> None:
        self._lines = iter(lines)
        self._connection_file = connection_file

    def readline(self, limit: int = MAX_HEADER_LINE_BYTES) -> bytes:
        """Return the next line; `limit` applies only to lines that are still to be read from the connection."""
        line = next(self._lines, None)
        return self._connection_file.readline(limit) if line is None else line


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Serves a connection; closes it if no complete request arrives in time, as it would occupy a socket forever."""

    #: Whether the server already had its maximum number of connections when this one was accepted. One request of such
    #: a connection is answered before it is closed.
    surplus = False

    #: Parsed headers by header block. Clients repeat the same few blocks, and parsing one takes half the time of a
    #: request.
    _parsed_headers: ClassVar[dict[bytes, Any]] = {}

    def MessageClass(self, rfile: Any, *_: Any) -> Any:  # noqa: N802 - the base class looks it up by this name
        """Return the parsed headers that follow in `rfile`, from the cache if an equal block was parsed before."""
        lines = []
        size = 0
        while size <= MAX_CACHED_HEADER_BYTES:
            lines.append(rfile.readline(MAX_HEADER_LINE_BYTES))
            size += len(lines[-1])
            if lines[-1] in (b"\r\n", b"\n", b""):
                break
        else:
            return headers_factory(_ReplayedLines(lines, rfile))
        block = b"".join(lines)
        headers = self._parsed_headers.get(block)
        if headers is None:
            headers = headers_factory(_ReplayedLines(lines, rfile))
            if len(self._parsed_headers) >= MAX_CACHED_HEADERS:
                self._parsed_headers.pop(next(iter(self._parsed_headers)))
            self._parsed_headers[block] = headers
        return headers

    def read_requestline(self) -> Any:
        """Read the first line of the next request, with the idle timeout instead of the request timeout."""
        self.socket.settimeout(SURPLUS_TIMEOUT_S if self.surplus else IDLE_TIMEOUT_S)
        line = super().read_requestline()
        self.socket.settimeout(REQUEST_TIMEOUT_S)
        return line

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close a connection without a log line if it broke during a response; TLS errors are `OSError`s as well."""
        if isinstance(error, OSError):
            self.close_connection = True
        else:
            super().handle_error(kind, error, trace)

    def log_request(self) -> None:
        """Do nothing: there are hundreds of requests a second, too many to log."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, extended by the connection and whether this is a surplus connection."""
        environ = super().get_environ()
        environ["grebestand.connection"] = self
        environ["grebestand.surplus"] = self.surplus
        return environ


class _GatedHandler(_Handler):
    """Serves a connection admitted by a gate, which may have identified the client."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, extended by the identity of the client, or None if the gate found none."""
        environ = super().get_environ()
        environ["grebestand.peer"] = getattr(self.socket, "peer", None)
        return environ


class _DebugLog:
    """A file object for messages of the WSGI server, most of which are about malformed requests."""

    def write(self, text: str) -> None:
        """Log a message at debug level, truncated to `MAX_LOGGED_CHARACTERS`."""
        if text.strip() and log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("http_server_message", text=text.strip()[:MAX_LOGGED_CHARACTERS]))

    def flush(self) -> None:
        """Do nothing, as no messages are buffered."""


class _BoundedServer(WSGIServer):  # type: ignore[misc]
    """Keeps a limited number of connections open, and answers one request on each surplus connection.

    Accepting surplus connections avoids that clients wait in the backlog without any response.

    Attributes:
        max_connections: Number of open connections from which on a new one is a surplus connection.
        open_connections: Current number of open connections.
        on_end: Called with the handler of each connection that has ended.
    """

    max_connections: int
    open_connections = 0
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
    """Checks each connection with a gate, in the connection's own greenlet, before reading any HTTP request."""

    gate: Gate

    def handle(self, client: Any, address: Any) -> None:
        """Serve a connection if the gate admits it; close the connection otherwise."""
        host = str(address[0])
        admitted = self.gate.wrap(client, host) if self.gate.admit(host) else None
        if admitted is None:
            client.close()
            return
        super().handle(admitted, address)


def _listener_v6(host: str, port: int) -> Any:
    """Return a listening socket on an IPv6 address, needed because gevent's servers resolve a host name for IPv4."""
    listener = socket.socket(socket.AF_INET6, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(IPV6_BACKLOG)
    return listener


def listen(address: str, field: str, app: App, max_connections: int, gate: Gate | None = None) -> WSGIServer:
    """Return a server with a limited number of connections; further ones wait in the backlog.

    Args:
        address: Address to listen on, as `host:port`.
        field: Name of the setting that holds the address, for error messages.
        app: WSGI application to serve.
        max_connections: Maximum number of connections served at a time.
        gate: Check that each connection has to pass before any request is read, if any.

    Returns:
        The server, which does not listen before it is started.

    Raises:
        ValueError: The address is malformed.
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
    """Return a server that keeps a planned number of connections, and answers one request on each surplus connection.

    The WSGI environment of a request contains the connection (`grebestand.connection`) and whether that is a surplus
    connection (`grebestand.surplus`).

    Args:
        address: Address to listen on, as `host:port`.
        field: Name of the setting that holds the address, for error messages.
        app: WSGI application to serve.
        plan: Numbers of kept and surplus connections, and length of the backlog.
        on_end: Called with the handler of each connection that has ended.

    Returns:
        The server, which does not listen before it is started.

    Raises:
        ValueError: The address is malformed.
    """
    server = _BoundedServer(
        parse_address(address, field), app, spawn=Pool(plan.serving + plan.surplus), backlog=plan.backlog,
        log=None, error_log=_DebugLog(), handler_class=_Handler,
    )  # fmt: skip
    server.max_connections, server.on_end = plan.serving, on_end
    return server


def read_body(environ: dict[str, Any]) -> bytes:
    """Read and return the body of a request.

    Returns:
        The body; if it exceeds `MAX_SUBMISSION_BYTES` bytes or its `Content-Length` is invalid,
        `MAX_SUBMISSION_BYTES` + 1 bytes, which callers reject by their length.
    """
    length = environ.get("CONTENT_LENGTH")
    if length and (not length.isdigit() or int(length) > MAX_SUBMISSION_BYTES):
        return b"x" * (MAX_SUBMISSION_BYTES + 1)
    return bytes(environ["wsgi.input"].read(MAX_SUBMISSION_BYTES + 1))


def respond(response: Response, start_response: Callable[..., Any]) -> list[bytes]:
    """Pass the status line and headers of a response to the WSGI server, and return the response's body."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(response.body)))]
    if response.retry_after is not None:
        headers.append(("Retry-After", str(response.retry_after)))
    if response.allow is not None:
        headers.append(("Allow", response.allow))
    if response.close:
        headers.append(("Connection", "close"))
    start_response(f"{response.status} {REASONS[response.status]}", headers)
    return [response.body]
