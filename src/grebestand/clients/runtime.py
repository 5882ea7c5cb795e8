"""What a controller needs of its surroundings: clocks, luck, and ways to others. Simulated worlds hand in theirs."""

from __future__ import annotations

import random
import time
from typing import Protocol

from ..settings.platform import parse_address
from .http import HttpTransport, Transport, UnreachableError


class Runtime(Protocol):
    rng: random.Random

    def clock(self) -> float:
        """The steady clock, in seconds."""

    def wall(self) -> float:
        """The time of day, in seconds."""

    def connect(self, address: str, field: str, connections: int, connect_s: float = 1.5) -> Transport:
        """A way to a server that is asked again and again; `field` names the address in an error."""

    def once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """One request over a connection of its own; raises `UnreachableError`."""


class SystemRuntime:
    """The real one."""

    def __init__(self) -> None:
        self.rng = random.Random()

    def clock(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def connect(self, address: str, field: str, connections: int, connect_s: float = 1.5) -> Transport:
        host, port = parse_address(address, field)
        return HttpTransport(host, port, connections, connect_s)

    def once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        try:
            host, port = parse_address(address, "addr")
        except ValueError as e:
            raise UnreachableError(str(e)) from e
        transport = HttpTransport(host, port, 1)
        try:
            return transport.request(method, path, body, timeout)
        finally:
            transport.close()
