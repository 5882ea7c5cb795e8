"""HTTP/1.1 over one persistent connection, as cheap as it can be: thousands of hollow workers share a process.

Bodies have a length; other forms are refused in words. Bytes are counted with their headers.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

#: what one read takes at the most, and the largest headers that are read, in bytes
READ_BYTES, HEAD_BYTES = 65536, 16384
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


class NoResponseError(Exception):
    """Nothing that can be read came back. `kind`: refused, reset, timeout or unreadable."""

    def __init__(self, kind: str, text: str = "") -> None:
        super().__init__(f"{kind}: {text}" if text else kind)
        self.kind = kind


@dataclass
class Traffic:
    """Bytes that were sent and received, headers included, and messages in both directions."""

    sent: int = 0
    received: int = 0
    messages: int = 0
    #: requests that could not be read: their connections were closed
    unreadable: int = 0


def _head(data: bytes) -> tuple[str, int, bool]:
    """The first line, the body's length and whether the connection is closed after it."""
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
    """The asking end."""

    def __init__(self, address: str, traffic: Traffic) -> None:
        self.address = address
        self.traffic = traffic
        #: no answer has come over the connection that is open, or is to be opened
        self.fresh = True
        self._socket: socket.socket | None = None
        self._rest = b""

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._socket is not None:
            self._socket.close()
        self._socket, self._rest, self.fresh = None, b"", True

    def ask(self, method: str, path: str, body: bytes, within_s: float) -> tuple[int, bytes, float]:
        """Status, body and what `Retry-After` says, in seconds; raises `NoResponseError`, and closes then."""
        end = time.monotonic() + within_s
        try:
            return self._ask(method, path, body, end)
        except ConnectionRefusedError as e:
            raise self._failed("refused", e) from e
        except TimeoutError as e:
            raise self._failed("timeout", e) from e
        except OSError as e:
            raise self._failed("reset", e) from e
        except ValueError as e:
            raise self._failed("unreadable", e) from e

    def _failed(self, kind: str, error: Exception) -> NoResponseError:
        if self._socket is not None:
            self._socket.close()
        self._socket, self._rest = None, b""
        return NoResponseError(kind, str(error))

    def _ask(self, method: str, path: str, body: bytes, end: float) -> tuple[int, bytes, float]:
        if self._socket is None:
            self.fresh = True
            host, _, port = self.address.rpartition(":")
            self._socket = socket.create_connection((host, int(port)), timeout=max(0.01, end - time.monotonic()))
        sock = self._socket
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
        request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        sock.settimeout(max(0.01, end - time.monotonic()))
        sock.sendall(request)
        self.traffic.sent += len(request)
        data = self._rest
        while (at := data.find(b"\r\n\r\n")) < 0:
            data += self._read(sock, end)
            if len(data) > HEAD_BYTES + READ_BYTES:
                raise ValueError("headers too large")
        first, length, close = _head(data[:at])
        retry_s = 0.0
        if b"\r\nRetry-After:" in data[:at]:
            retry_s = float(data[:at].partition(b"\r\nRetry-After:")[2].partition(b"\r\n")[0])
        while len(data) < at + 4 + length:
            data += self._read(sock, end)
        self._rest = data[at + 4 + length :]
        self.traffic.messages += 1
        status = int(first.split(" ")[1])
        answer = data[at + 4 : at + 4 + length]
        self.fresh = False
        if close:
            self.close()
        return status, answer, retry_s

    def _read(self, sock: socket.socket, end: float) -> bytes:
        left = end - time.monotonic()
        if left <= 0:
            raise TimeoutError("no answer in time")
        sock.settimeout(left)
        data = bytes(sock.recv(READ_BYTES))
        if not data:
            raise ConnectionResetError("closed by the other end")
        self.traffic.received += len(data)
        return data


Answerer = Callable[[str, str, bytes], tuple[int, bytes]]


def answer(sock: socket.socket, handle: Answerer, traffic: Traffic) -> None:
    """The answering end, until the other end closes; a request that cannot be read ends it."""
    data = b""
    try:
        sock.settimeout(30.0)
        while True:
            while (at := data.find(b"\r\n\r\n")) < 0:
                more = sock.recv(READ_BYTES)
                if not more or len(data) > HEAD_BYTES:
                    return
                data += more
            first, length, close = _head(data[:at])
            while len(data) < at + 4 + length:
                more = sock.recv(READ_BYTES)
                if not more:
                    return
                data += more
            traffic.received += at + 4 + length
            traffic.messages += 1
            method, path, _ = first.split(" ", 2)
            status, body = handle(method, path, data[at + 4 : at + 4 + length])
            data = data[at + 4 + length :]
            head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
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
