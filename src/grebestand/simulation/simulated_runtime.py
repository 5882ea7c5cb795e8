"""The surroundings of one controller: its clocks, and its ways to other controllers, state service, cloud, machines."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent

from ..clients.http import Transport, UnreachableError
from .cluster_base import ClusterBase
from .network_links import LATE_S, Handler, SimulatedTransport, later


class Commanded(Protocol):
    """What a controller reaches of a machine."""

    zone: str
    deaf_to: frozenset[str]

    def answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a direct request of a controller."""


class SimulatedRuntime:
    """A `Runtime` on simulated time, for one process of a controller."""

    def __init__(
        self,
        basis: ClusterBase,
        name: str,
        life: int,
        drift: float,
        addresses: dict[str, str],
        server: Callable[[str, str], Handler | None],
        machines: Mapping[str, Commanded],
    ) -> None:
        self.basis = basis
        self.name = name
        self.drift = drift
        #: who is there, by address
        self.addresses = addresses
        #: finds who answers, for one who asks and one who is asked
        self.server = server
        self.machines = machines
        self.rng = random.Random(f"{basis.seed} {name} {life}")
        #: its process has ended
        self.gone = False

    def clock(self) -> float:
        """This host's monotonic clock, in seconds; it drifts against the simulated time."""
        return 1000.0 + self.basis.loop.time * (1 + self.drift)

    def wall(self) -> float:
        """The time of day, in seconds."""
        return 1.7e9 + self.basis.loop.time

    def awake(self) -> None:
        """Comes back once this controller does not stand still."""
        while (left := self.basis.loop.frozen.get(self, 0.0) - self.basis.loop.time) > 0:
            gevent.sleep(left)

    def connect(self, address: str, field: str, connections: int, connect_s: float = 1.5) -> Transport:
        """A transport over the simulated link to the server at an address."""
        far = self.addresses[address]
        return SimulatedTransport(
            self.basis.links, self.rng, self.name, far, lambda: None if self.gone else self.server(self.name, far)
        )

    def request_once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """One request to a machine; held up, lost or unanswered by the faults in force."""
        machine = address.rpartition(":")[0]
        if machine not in self.machines:
            raise UnreachableError("no such machine")
        seat = self.machines[machine]
        if self.name in seat.deaf_to:
            gevent.sleep(timeout)
            raise UnreachableError("timeout")
        if self.basis.luck.random() < self.basis.late_orders:
            # it is held up, and carried out if it is still valid then; or its answer is
            late = self.basis.luck.uniform(*LATE_S)
            if self.basis.luck.random() < 0.5:
                later(late, seat.answer, method, path, body)
                gevent.sleep(timeout)
                raise UnreachableError("timeout")
            status, answer = seat.answer(method, path, body)
            gevent.sleep(min(late, timeout))
            if late < timeout:
                return status, answer
            raise UnreachableError("timeout")
        wire = SimulatedTransport(
            self.basis.links, self.rng, self.name, seat.zone, lambda: None if self.gone else seat.answer
        )
        return wire.request(method, path, body, timeout)
