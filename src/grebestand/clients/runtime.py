"""What a controller needs of its environment: clocks, randomness and transports. Simulations provide their own."""

from __future__ import annotations

import random
import time
from typing import Protocol

from ..settings.platform import parse_address
from .http import CONNECT_TIMEOUT_S, HttpTransport, Transport, UnreachableError


class Runtime(Protocol):
    """The environment of a controller.

    Attributes:
        rng: Source of all random draws.
    """

    rng: random.Random

    def clock(self) -> float:
        """Return the steady clock, in seconds since an arbitrary moment."""

    def wall(self) -> float:
        """Return the time of day, in seconds since the epoch."""

    def connect(self, address: str, field: str, connections: int, connect_s: float = CONNECT_TIMEOUT_S) -> Transport:
        """Return a transport to a server that gets many requests.

        Args:
            address: Address of the server, as `host:port`.
            field: Name of the settings field that holds the address, for errors.
            connections: Maximum number of connections.
            connect_s: Limit on the time to establish a connection, in seconds.

        Raises:
            SettingsError: The address is malformed.
        """

    def once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send one request over a connection of its own, as `Transport.request` describes.

        Raises:
            UnreachableError: There was no response within `timeout` seconds, or the address is malformed.
        """


class SystemRuntime:
    """The environment of a controller on a real machine: the system's clocks, and HTTP over TCP."""

    def __init__(self) -> None:
        """Seed the randomness from the system."""
        self.rng = random.Random()

    def clock(self) -> float:
        """Return the system's monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the system's time of day."""
        return time.time()

    def connect(self, address: str, field: str, connections: int, connect_s: float = CONNECT_TIMEOUT_S) -> Transport:
        """Return an HTTP transport, as `Runtime.connect` describes."""
        host, port = parse_address(address, field)
        return HttpTransport(host, port, connections, connect_s)

    def once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send one HTTP request, as `Runtime.once` describes."""
        try:
            host, port = parse_address(address, "addr")
        except ValueError as error:
            raise UnreachableError(str(error)) from error
        transport = HttpTransport(host, port, connections=1)
        try:
            return transport.request(method, path, body, timeout)
        finally:
            transport.close()
