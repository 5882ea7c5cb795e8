"""Peers with prepared responses."""

from __future__ import annotations

from grebestand.clients.http import Transport, UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.wire.peers import PeerStatus


class ScriptedTransport:
    """A transport that returns prepared responses.

    Attributes:
        responses: The statuses and bodies of the remaining responses; None for a time-out. The last one is repeated.
        requests: The method, path, body and timeout in seconds of each request.
    """

    def __init__(self, *responses: tuple[int, bytes] | None) -> None:
        self.responses = list(responses)
        self.requests: list[tuple[str, str, bytes, float]] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        self.requests.append((method, path, body, timeout))
        response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        if response is None:
            raise UnreachableError("timeout")
        return response


def present_peer(name: str, clock: ManualClock, transport: Transport, store_age_s: float = 0.1) -> PeerClient:
    """Return a peer that has just answered.

    Args:
        name: The peer's name.
        clock: The clock of the controller that the peer answered.
        transport: The transport to the peer.
        store_age_s: The age of the peer's last response from the key-value store, in seconds, as the peer stated it.
    """
    peer = PeerClient(name, transport)
    peer.last_heard_at, peer.last_status = clock.now, PeerStatus(name, 0, store_age_s)
    return peer
