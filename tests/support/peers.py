"""Peers whose answers a test decides."""

from __future__ import annotations

from grebestand.clients.http import Transport, UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.wire.peers import PeerStatus


class ScriptedTransport:
    """A transport that gives prepared answers, the last one for ever; None is no answer. It keeps all requests."""

    def __init__(self, *answers: tuple[int, bytes] | None) -> None:
        self.answers = list(answers)
        self.requests: list[tuple[str, str, bytes, float]] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        self.requests.append((method, path, body, timeout))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise UnreachableError("timeout")
        return answer


def present_peer(name: str, clock: ManualClock, transport: Transport, store_age_s: float = 0.1) -> PeerClient:
    """Return a peer that has just answered, and said how long ago the key-value store had answered it."""
    peer = PeerClient(name, transport)
    peer.last_heard_at, peer.last_status = clock.now, PeerStatus(name, 0, store_age_s)
    return peer
