"""Transports with a fixed behaviour, for tests without connections."""

from __future__ import annotations

from grebestand.clients.http import UnreachableError


class UnreachableTransport:
    """A transport to a server that never responds."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        raise UnreachableError("gone")
