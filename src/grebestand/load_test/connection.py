"""Minimal HTTP/1.1 client and server for persistent connections.

Thousands of hollow workers share a process, so requests must use little CPU time. Bodies need a Content-Length;
messages with a transfer encoding are rejected as unreadable. Traffic counters include headers.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from ..errors import GrebestandError

#: the most bytes that one read from a socket returns
READ_BYTES = 65536
#: the size of the headers above which reading a message stops
MAX_HEAD_BYTES = 16384
HEAD_END = b"\r\n\r\n"
RETRY_AFTER = b"\r\nRetry-After:"
#: the shortest timeout of a socket; a timeout of 0 would make the socket non-blocking
MIN_TIMEOUT_S = 0.01
#: a server closes a connection that has been idle for this time
IDLE_TIMEOUT_S = 30.0
REASON_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


class NoResponseError(GrebestandError):
    """A request got no readable response.

    Attributes:
        kind: "refused", "reset", "timeout" or "unreadable".
        reason: The message of the operating system or the parser.
    """

    def __init__(self, kind: str, reason: str = "") -> None:
        self.kind = kind
        self.reason = reason
        super().__init__(f"{kind}: {reason}" if reason else kind)


@dataclass
class Traffic:
    """Counters of the traffic of connections.

    Attributes:
        sent: Bytes sent, including headers.
        received: Bytes received, including headers.
        messages: Pairs of request and response at clients, requests at servers.
        unreadable: Requests that a server could not parse, so that it closed their connections.
    """

    sent: int = 0
    received: int = 0
    messages: int = 0
    unreadable: int = 0


def _parse_head(data: bytes) -> tuple[str, int, bool]:
    """Parse the headers of a request or response.

    Returns:
        The first line, the length of the body in bytes, and whether the connection is to be closed after the message.

    Raises:
        ValueError: A header is malformed, or the body has a transfer encoding.
    """
    lines = data.decode("latin-1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name, value = name.lower(), value.strip()
        if name == "content-length":
            length = int(value)
        elif name == "connection":
            close = value.lower() == "close"
        elif name == "transfer-encoding":
            raise ValueError(f"expected a body with Content-Length, found Transfer-Encoding: {value}")
    return lines[0], length, close


class Connection:
    """The client's end of a persistent connection, which the first request opens."""

    def __init__(self, address: str, traffic: Traffic) -> None:
        """Prepare a connection without opening it.

        Args:
            address: The address of the server, as host:port.
            traffic: Counts requests and responses.
        """
        self.address = address
        self.traffic = traffic
        #: whether no response has been received over the current connection; keeps its value when a request fails,
        #: until `close` or the next request
        self.is_new = True
        self._socket: socket.socket | None = None
        self._rest = b""

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
        self._socket, self._rest, self.is_new = None, b"", True

    def request(self, method: str, path: str, body: bytes, timeout_s: float) -> tuple[int, bytes, float]:
        """Send a request and wait for the response.

        Args:
            method: The HTTP method.
            path: The path, with its query.
            body: The body, as JSON.
            timeout_s: The time for connecting, sending and receiving together, in seconds.

        Returns:
            The status, the body, and the value of `Retry-After` in seconds, 0 without that header.

        Raises:
            NoResponseError: No readable response was received in time; the connection is closed.
        """
        deadline = time.monotonic() + timeout_s
        try:
            return self._request(method, path, body, deadline)
        except ConnectionRefusedError as error:
            raise self._failed("refused", error) from error
        except TimeoutError as error:
            raise self._failed("timeout", error) from error
        except OSError as error:
            raise self._failed("reset", error) from error
        except ValueError as error:
            raise self._failed("unreadable", error) from error

    def _failed(self, kind: str, error: Exception) -> NoResponseError:
        """Close the connection and return the error to raise; `is_new` keeps its value for the caller."""
        if self._socket is not None:
            self._socket.close()
        self._socket, self._rest = None, b""
        return NoResponseError(kind, str(error))

    def _request(self, method: str, path: str, body: bytes, deadline: float) -> tuple[int, bytes, float]:
        sock = self._socket if self._socket is not None else self._connect(deadline)
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
        request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        sock.settimeout(max(MIN_TIMEOUT_S, deadline - time.monotonic()))
        sock.sendall(request)
        self.traffic.sent += len(request)
        return self._read_response(sock, deadline)

    def _connect(self, deadline: float) -> socket.socket:
        self.is_new = True
        host, _, port = self.address.rpartition(":")
        timeout_s = max(MIN_TIMEOUT_S, deadline - time.monotonic())
        self._socket = socket.create_connection((host, int(port)), timeout=timeout_s)
        return self._socket

    def _read_response(self, sock: socket.socket, deadline: float) -> tuple[int, bytes, float]:
        data = self._rest
        while (head_end := data.find(HEAD_END)) < 0:
            data += self._read(sock, deadline)
            if len(data) > MAX_HEAD_BYTES + READ_BYTES:
                raise ValueError(
                    f"expected at most {MAX_HEAD_BYTES} bytes of headers, found no end of headers in {len(data)} bytes"
                )
        head = data[:head_end]
        status_line, length, close = _parse_head(head)
        retry_s = 0.0
        if RETRY_AFTER in head:
            retry_s = float(head.partition(RETRY_AFTER)[2].partition(b"\r\n")[0])
        body_begin = head_end + len(HEAD_END)
        while len(data) < body_begin + length:
            data += self._read(sock, deadline)
        self._rest = data[body_begin + length :]
        self.traffic.messages += 1
        status = int(status_line.split(" ")[1])
        body = data[body_begin : body_begin + length]
        self.is_new = False
        if close:
            self.close()
        return status, body, retry_s

    def _read(self, sock: socket.socket, deadline: float) -> bytes:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError(f"no complete response from {self.address} within the timeout")
        sock.settimeout(remaining_s)
        data = bytes(sock.recv(READ_BYTES))
        if not data:
            raise ConnectionResetError(f"connection closed by {self.address} before the response was complete")
        self.traffic.received += len(data)
        return data


#: returns the status and the body of the response to a method, path and body
RequestHandler = Callable[[str, str, bytes], tuple[int, bytes]]


def serve_connection(sock: socket.socket, handle: RequestHandler, traffic: Traffic) -> None:
    """Serve one connection until the client closes it, the connection fails, or a request cannot be parsed.

    Args:
        sock: The connection, which is closed on return.
        handle: Returns the status and the body of the response to a method, path and body.
        traffic: Counts requests and responses.
    """
    data = b""
    try:
        sock.settimeout(IDLE_TIMEOUT_S)
        while True:
            while (head_end := data.find(HEAD_END)) < 0:
                more = sock.recv(READ_BYTES)
                if not more or len(data) > MAX_HEAD_BYTES:
                    return
                data += more
            request_line, length, close = _parse_head(data[:head_end])
            body_begin = head_end + len(HEAD_END)
            while len(data) < body_begin + length:
                more = sock.recv(READ_BYTES)
                if not more:
                    return
                data += more
            traffic.received += body_begin + length
            traffic.messages += 1
            method, path, _ = request_line.split(" ", 2)
            status, body = handle(method, path, data[body_begin : body_begin + length])
            data = data[body_begin + length :]
            head = f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: application/json\r\n"
            response = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
            sock.sendall(response)
            traffic.sent += len(response)
            if close:
                return
    except OSError:
        return  # the client has closed the connection or was idle for too long
    except ValueError:
        traffic.unreadable += 1
    finally:
        sock.close()
