"""An emulation of the platform's load balancer, which distributes the users' connections over healthy controllers."""

from __future__ import annotations

import random
import time

import gevent

from .connection import Connection, NoResponseError, Traffic

#: timeout of a health probe
PROBE_TIMEOUT_S = 1.0
#: the pause between two health probes of a controller
PROBE_PAUSE_S = 1.0
#: a controller that refused a connection receives no connections for this time
REFUSED_PAUSE_S = 3.0
#: the number of latest probes that determine the health of a controller
PROBE_WINDOW = 6
#: a healthy controller becomes unhealthy after this many failed probes in the window
UNHEALTHY_FAILURES_IN_WINDOW = 3
#: a healthy controller becomes unhealthy after this many failed probes in succession
UNHEALTHY_CONSECUTIVE_FAILURES = 2
#: an unhealthy controller becomes healthy again after this many successful probes in succession
HEALTHY_CONSECUTIVE_SUCCESSES = 2


class Balancer:
    """Probes the health of controllers, and chooses a controller for each new connection."""

    def __init__(self, controllers: dict[str, str], rng: random.Random) -> None:
        """Start probing the controllers.

        Args:
            controllers: The address of each controller, by its name.
            rng: The random generator for choosing controllers.
        """
        self.controllers = controllers
        self.rng = rng
        self.healthy = dict.fromkeys(controllers, False)
        self._avoided_until = dict.fromkeys(controllers, 0.0)
        for name in controllers:
            gevent.spawn(self._probe_forever, name)

    def _probe_forever(self, name: str) -> None:
        """Probe a controller and update its health; a new controller becomes healthy by its first successful probe."""
        recovered = [True] * HEALTHY_CONSECUTIVE_SUCCESSES
        results: list[bool] = []
        was_healthy = False
        while True:
            succeeded = self._probe(name)
            results = [*results, succeeded][-PROBE_WINDOW:]
            if self.healthy[name]:
                any_recent = any(results[-UNHEALTHY_CONSECUTIVE_FAILURES:])
                self.healthy[name] = any_recent and results.count(False) < UNHEALTHY_FAILURES_IN_WINDOW
                if not self.healthy[name]:
                    results = []
            elif succeeded and (not was_healthy or results[-HEALTHY_CONSECUTIVE_SUCCESSES:] == recovered):
                self.healthy[name] = was_healthy = True
                results = [True]
            gevent.sleep(PROBE_PAUSE_S)

    def _probe(self, name: str) -> bool:
        connection = Connection(self.controllers[name], Traffic())
        try:
            return connection.request("GET", "/healthz", b"", PROBE_TIMEOUT_S)[0] == 200
        except NoResponseError:
            return False
        finally:
            connection.close()

    def record_refusal(self, name: str) -> None:
        """Avoid a controller that has refused a connection, for `REFUSED_PAUSE_S`, if another is healthy."""
        self._avoided_until[name] = time.monotonic() + REFUSED_PAUSE_S

    def choose(self, excluded: set[str]) -> str:
        """Return the name of a random healthy controller.

        Args:
            excluded: Names of controllers that are not to be chosen.

        Returns:
            A healthy controller that is not excluded and has not refused a connection recently. If there is none, any
            controller that is not excluded; if all are excluded, any controller.
        """
        now = time.monotonic()
        names = [name for name in self.controllers if name not in excluded]
        healthy = [name for name in names if self.healthy[name] and self._avoided_until[name] < now]
        return self.rng.choice(healthy or names or list(self.controllers))
