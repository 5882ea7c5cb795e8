"""A minimal HTTP/1.1 server and client on asyncio, for loopback addresses only."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
    429: "Too Many Requests", 503: "Service Unavailable",
}  # fmt: skip

#: Answers a request, given its method, path with query, and body; None means that no answer is ever sent.
Handler = Callable[[str, str, bytes], Awaitable[tuple[int, bytes] | None]]


class NoAnswerError(Exception):
    """A request got no answer in time, or its connection failed."""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of the next message; None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


class Server:
    """An HTTP server on a free loopback port."""

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The server's address, as `host:port`."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, body)
                if answer is None:
                    await reader.read()
                    return
                status, response = answer
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(response)}\r\n\r\n".encode() + response)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()


class Client:
    """Sends requests to one address over one persistent connection, one at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def request(self, method: str, path: str, body: bytes, timeout_s: float) -> tuple[int, bytes, dict[str, str]]:
        """Send a request and return the status, the body and the headers of the answer.

        Raises:
            NoAnswerError: there was no answer within `timeout_s` seconds; the connection is closed.
        """
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout_s)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            raise NoAnswerError(f"{type(error).__name__} {error}") from error
        except BaseException:
            self.close()
            raise

    async def _request(self, method: str, path: str, body: bytes) -> tuple[int, bytes, dict[str, str]]:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=1 << 22)
        reader, writer = self._streams
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise OSError("the connection was closed")
        first, headers, response = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), response, headers


async def request_once(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 5.0
) -> tuple[int, bytes, dict[str, str]]:
    """Send one request over a new connection; raises `NoAnswerError` like `Client.request`."""
    client = Client(address)
    try:
        return await client.request(method, path, body, timeout_s)
    finally:
        client.close()


class Relay:
    """A TCP relay in front of an address; while it is held, bytes wait and new connections are not answered."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.port = 0
        self._open = asyncio.Event()
        self._open.set()
        self._broken = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The relay's address, as `host:port`."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def hold(self) -> None:
        """Hold all bytes from now on."""
        self._open.clear()

    def open(self) -> None:
        """Deliver the bytes that were held, in order, and all others at once."""
        self._broken = False
        self._open.set()

    def reset(self, *, refuse: bool = False) -> None:
        """Reset all open connections; with `refuse`, close new ones at once until `open` is called."""
        self._broken = refuse
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._broken:
            writer.transport.abort()
            return
        self._writers.add(writer)
        there: asyncio.StreamWriter | None = None
        try:
            await self._open.wait()
            host, _, port = self.target.rpartition(":")
            back, there = await asyncio.open_connection(host, int(port))
            self._writers.add(there)
            await asyncio.wait(
                [asyncio.create_task(self._copy(reader, there)), asyncio.create_task(self._copy(back, writer))],
                return_when=asyncio.FIRST_COMPLETED,
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, there):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _copy(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                await self._open.wait()
                sink.write(data)
                await sink.drain()
            await self._open.wait()
