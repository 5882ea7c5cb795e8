"""A small HTTP/1.1 server and client on asyncio, for loopback addresses only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}  # fmt: skip

#: Answers a method, a path with query and a decoded JSON body by a status and a JSON value; None closes the connection.
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any] | None]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read the first line, the headers and the body of one message; None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


async def serve(handle: Handler) -> tuple[asyncio.Server, str]:
    """Start a server on a free port of loopback; return it with its address."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                answer = await handle(method, path, json.loads(body) if body else None)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # the client has gone, or sent no HTTP
        finally:
            writer.close()

    server = await asyncio.start_server(connected, HOST, 0)
    return server, f"{HOST}:{server.sockets[0].getsockname()[1]}"


class Client:
    """One persistent connection to an address, opened when needed and closed after a failure."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._streams is not None:
            with contextlib.suppress(RuntimeError):  # the loop may have ended before
                self._streams[1].close()
            self._streams = None

    async def request(self, method: str, path: str, value: Any, timeout_s: float) -> tuple[int, dict[str, str], Any]:
        """Send a request with a JSON body and return the status, the headers and the decoded body of its response.

        Raises:
            OSError: There is no usable response within the timeout.
        """
        try:
            return await asyncio.wait_for(self._request(method, path, value), timeout_s)
        except (TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise OSError(f"no response from {self.address}: {error!r}") from error
        except OSError:
            self.close()
            raise

    async def _request(self, method: str, path: str, value: Any) -> tuple[int, dict[str, str], Any]:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        message = await _read_message(reader)
        if message is None:
            raise ConnectionResetError("the connection was closed")
        first, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        decoded = None
        with contextlib.suppress(ValueError):
            decoded = json.loads(body) if body else None
        return int(first.split(" ", 2)[1]), headers, decoded
