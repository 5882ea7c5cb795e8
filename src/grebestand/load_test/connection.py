"""HTTP/1.1 over one persistent connection, as cheap as it can be: thousands of hollow workers share a process.

Bodies have a length; other forms are refused in words. Bytes are counted with their headers.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from ..errors import GrebestandError

#: one read takes at most this, in bytes
READ_BYTES = 65536
#: the largest headers that are read, in bytes
MAX_HEAD_BYTES = 16384
HEAD_END = b"\r\n\r\n"
RETRY_AFTER = b"\r\nRetry-After:"
#: a socket's timeout must not be 0, which means that it does not block
MIN_TIMEOUT_S = 0.01
#: the other end of a connection may be idle for this long, in seconds
IDLE_TIMEOUT_S = 30.0
REASON_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


class NoResponseError(GrebestandError):
    """No response came that can be read.

    Attributes:
        kind: refused, reset, timeout or unreadable.
        reason: what the operating system or the parser says.
    """

    def __init__(self, kind: str, reason: str = "") -> None:
        self.kind = kind
        self.reason = reason
        super().__init__(f"{kind}: {reason}" if reason else kind)


@dataclass
class Traffic:
    """Bytes that were sent and received, headers included, and messages in both directions."""

    sent: int = 0
    received: int = 0
    messages: int = 0
    #: requests that could not be read: their connections were closed
    unreadable: int = 0


def _parse_head(data: bytes) -> tuple[str, int, bool]:
    """Return the first line, the length of the body, and whether the connection is closed after it."""
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
            raise ValueError(f"transfer encoding {value}")
    return lines[0], length, close


class Connection:
    """The client's end of a persistent connection."""

    def __init__(self, address: str, traffic: Traffic) -> None:
        self.address = address
        self.traffic = traffic
        #: whether no response has come yet over the connection that is open, or is to be opened
        self.is_new = True
        self._socket: socket.socket | None = None
        self._rest = b""

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._socket is not None:
            self._socket.close()
        self._socket, self._rest, self.is_new = None, b"", True

    def request(self, method: str, path: str, body: bytes, timeout_s: float) -> tuple[int, bytes, float]:
        """Send a request and wait for the response.

        Returns:
            Status, body, and the seconds of `Retry-After`, 0 without that header.

        Raises:
            NoResponseError: no response came that can be read; the connection is closed.
        """
        deadline = time.monotonic() + timeout_s
        try:
            return self._ask(method, path, body, deadline)
        except ConnectionRefusedError as error:
            raise self._failed("refused", error) from error
        except TimeoutError as error:
            raise self._failed("timeout", error) from error
        except OSError as error:
            raise self._failed("reset", error) from error
        except ValueError as error:
            raise self._failed("unreadable", error) from error

    def _failed(self, kind: str, error: Exception) -> NoResponseError:
        if self._socket is not None:
            self._socket.close()
        self._socket, self._rest = None, b""
        return NoResponseError(kind, str(error))

    def _ask(self, method: str, path: str, body: bytes, deadline: float) -> tuple[int, bytes, float]:
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
                raise ValueError("headers too large")
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
            raise TimeoutError("no answer in time")
        sock.settimeout(remaining_s)
        data = bytes(sock.recv(READ_BYTES))
        if not data:
            raise ConnectionResetError("closed by the other end")
        self.traffic.received += len(data)
        return data


Answerer = Callable[[str, str, bytes], tuple[int, bytes]]


def serve_connection(sock: socket.socket, handle: Answerer, traffic: Traffic) -> None:
    """Serve one connection until the other end closes it; a request that cannot be read ends it as well.

    Args:
        sock: the connection, which is closed at the end.
        handle: returns status and body for method, path and body.
        traffic: counts requests and responses.
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
        return  # the other end is gone
    except ValueError:
        traffic.unreadable += 1
    finally:
        sock.close()
