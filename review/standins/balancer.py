"""A stand-in for the users' load balancer, by the section "Users -> controller nodes" of the protocol page."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from .http1 import Client, NoAnswerError, request_once

PROBE_INTERVAL_S, PROBE_TIMEOUT_S = 1.0, 1.0
#: Failures and successes in a row, or failures among the last probes, after which a node changes its health.
FAILURES_IN_A_ROW, SUCCESSES_IN_A_ROW, FAILURES_AMONG, LAST_PROBES = 2, 2, 3, 6
RESET_AFTER_S, PAUSE_S, MAX_PAUSE_S, PAUSE_MEMORY_S = 5.0, 3.0, 60.0, 120.0


@dataclass
class Backend:
    """What the balancer knows of one controller."""

    address: str
    healthy: bool = False
    ever_healthy: bool = False
    changed_at: float = 0.0
    probes: list[bool] = field(default_factory=list)
    removals: list[float] = field(default_factory=list)
    was_reset: bool = False
    clients: set[Client] = field(default_factory=set)


class Balancer:
    """Chooses a healthy controller for each new connection, and resets connections to unhealthy ones."""

    def __init__(self, nodes: dict[str, str]) -> None:
        self.backends = {name: Backend(address) for name, address in nodes.items()}
        self.resets = 0
        self.probe_results: dict[tuple[str, int], int] = {}

    def connect(self) -> tuple[str, Client] | None:
        """Return the controller for a new connection, with a client for it; None while no controller is healthy."""
        healthy = [name for name, backend in self.backends.items() if backend.healthy]
        if not healthy:
            return None
        name = min(healthy, key=lambda n: (len(self.backends[n].clients), n))
        client = Client(self.backends[name].address)
        self.backends[name].clients.add(client)
        return name, client

    def closed(self, name: str, client: Client) -> None:
        """Record that a user's connection is closed."""
        client.close()
        self.backends[name].clients.discard(client)

    async def run(self) -> None:
        """Probe all controllers about once a second, until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(name, backend) for name, backend in self.backends.items()))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, name: str, backend: Backend) -> None:
        try:
            status, _, _ = await request_once(backend.address, "GET", "/healthz", b"", PROBE_TIMEOUT_S)
        except NoAnswerError:
            status = 0
        self.probe_results[name, status] = self.probe_results.get((name, status), 0) + 1
        backend.probes = [*backend.probes, status == 200][-LAST_PROBES:]
        now = time.monotonic()
        if backend.healthy:
            in_a_row = backend.probes[-FAILURES_IN_A_ROW:].count(False) == FAILURES_IN_A_ROW
            if in_a_row or backend.probes.count(False) >= FAILURES_AMONG:
                backend.healthy, backend.changed_at, backend.was_reset = False, now, False
                backend.removals = [at for at in backend.removals if now - at < PAUSE_MEMORY_S] + [now]
        elif not backend.ever_healthy:
            if status == 200:
                backend.healthy = backend.ever_healthy = True
                backend.changed_at = now
        elif backend.probes[-SUCCESSES_IN_A_ROW:] == [True] * SUCCESSES_IN_A_ROW:
            pause = min(MAX_PAUSE_S, PAUSE_S * 2 ** max(0, len(backend.removals) - 1))
            if now - backend.changed_at >= pause:
                backend.healthy, backend.changed_at = True, now
        if not backend.healthy and not backend.was_reset and now - backend.changed_at >= RESET_AFTER_S:
            backend.was_reset = True
            self.resets += len(backend.clients)
            for client in list(backend.clients):
                client.close()
