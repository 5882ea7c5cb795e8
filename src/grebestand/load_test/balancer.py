"""The load balancer between users and controllers: like the platform's, it passes over unhealthy ones."""

from __future__ import annotations

import random
import time

import gevent

from .connection import Connection, NoResponseError, Traffic

#: a probe may take this long, and is the pause between two, in seconds
PROBE_S = 1.0
#: a controller that refuses a connection gets none for this long, in seconds
REFUSED_PAUSE_S = 3.0
#: the latest results of probes that decide about health
PROBE_WINDOW = 6
#: a healthy controller becomes unhealthy by so many failures in the window, or in succession
MAX_FAILURES_IN_WINDOW = 3
CONSECUTIVE_FAILURES = 2
#: an unhealthy controller becomes healthy again by so many successes in succession; a new one by its first
CONSECUTIVE_SUCCESSES = 2


class Balancer:
    """Decides which controllers get new connections."""

    def __init__(self, controllers: dict[str, str], rng: random.Random) -> None:
        """Start probing the controllers.

        Args:
            controllers: names and addresses.
            rng: what choices are drawn from.
        """
        self.controllers = controllers
        self.rng = rng
        self.healthy = dict.fromkeys(controllers, False)
        self._avoided_until = dict.fromkeys(controllers, 0.0)
        for name in controllers:
            gevent.spawn(self._probe_forever, name)

    def _probe_forever(self, name: str) -> None:
        recovered = [True] * CONSECUTIVE_SUCCESSES
        results: list[bool] = []
        was_healthy = False
        while True:
            succeeded = self._probe(name)
            results = [*results, succeeded][-PROBE_WINDOW:]
            if self.healthy[name]:
                any_recent = any(results[-CONSECUTIVE_FAILURES:])
                self.healthy[name] = any_recent and results.count(False) < MAX_FAILURES_IN_WINDOW
                if not self.healthy[name]:
                    results = []
            elif succeeded and (not was_healthy or results[-CONSECUTIVE_SUCCESSES:] == recovered):
                self.healthy[name] = was_healthy = True
                results = [True]
            gevent.sleep(PROBE_S)

    def _probe(self, name: str) -> bool:
        connection = Connection(self.controllers[name], Traffic())
        try:
            return connection.request("GET", "/healthz", b"", PROBE_S)[0] == 200
        except NoResponseError:
            return False
        finally:
            connection.close()

    def record_refusal(self, name: str) -> None:
        """Avoid a controller for a while, as it has refused a connection."""
        self._avoided_until[name] = time.monotonic() + REFUSED_PAUSE_S

    def choose(self, excluded: set[str]) -> str:
        """Return a healthy controller that is not excluded, or any if there is none."""
        now = time.monotonic()
        names = [name for name in self.controllers if name not in excluded]
        healthy = [name for name in names if self.healthy[name] and self._avoided_until[name] < now]
        return self.rng.choice(healthy or names or list(self.controllers))
