"""The runtime environment of a controller: clocks, random numbers and transports.

A simulation replaces `SystemRuntime` by an implementation with virtual time and simulated connections.
"""

from __future__ import annotations

import random
import time
from typing import Protocol

from ..settings.platform import parse_address
from .http import CONNECT_TIMEOUT_S, HttpTransport, Transport, UnreachableError


class Runtime(Protocol):
    """The runtime environment of a controller.

    Attributes:
        rng: Random number generator for all random choices of the controller.
    """

    rng: random.Random

    def clock(self) -> float:
        """Return the time of the monotonic clock, in seconds since an arbitrary point in time."""

    def wall(self) -> float:
        """Return the wall-clock time, in seconds since the Unix epoch."""

    def connect(self, address: str, field: str, connections: int, connect_s: float = CONNECT_TIMEOUT_S) -> Transport:
        """Return a transport with a pool of connections, for a server that receives many requests.

        Args:
            address: Address of the server, as `host:port`.
            field: Name of the settings field that holds the address, for error texts.
            connections: Maximum number of connections.
            connect_s: Timeout for establishing a connection, in seconds.

        Raises:
            SettingsError: The address is malformed.
        """

    def request_once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send one request over a new connection, which is closed afterwards.

        Args:
            method: HTTP method.
            address: Address of the server, as `host:port`.
            path: Path with query.
            body: Body of the request, possibly empty.
            timeout: Limit on the whole duration of the request, in seconds.

        Returns:
            The status and the body of the response.

        Raises:
            UnreachableError: There was no response within `timeout` seconds, or the address is malformed.
        """


class SystemRuntime:
    """The runtime environment of a controller on a real machine: system clocks, and HTTP over TCP."""

    def __init__(self) -> None:
        """Seed the random number generator from the operating system."""
        self.rng = random.Random()

    def clock(self) -> float:
        """Return the time of the system's monotonic clock, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the system's wall-clock time, in seconds since the Unix epoch."""
        return time.time()

    def connect(self, address: str, field: str, connections: int, connect_s: float = CONNECT_TIMEOUT_S) -> Transport:
        """Return an HTTP transport, as `Runtime.connect` describes."""
        host, port = parse_address(address, field)
        return HttpTransport(host, port, connections, connect_s)

    def request_once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send one HTTP request, as `Runtime.request_once` describes."""
        try:
            host, port = parse_address(address, "addr")
        except ValueError as error:
            raise UnreachableError(str(error)) from error
        transport = HttpTransport(host, port, connections=1)
        try:
            return transport.request(method, path, body, timeout)
        finally:
            transport.close()
