"""The surroundings of one controller: its clocks, and its ways to other controllers, state service, cloud, machines."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent

from ..clients.http import Transport, UnreachableError
from .cluster_base import ClusterBase
from .network_links import LATE_DELIVERY_S, Handler, SimulatedTransport, run_detached


class DirectRequestReceiver(Protocol):
    """What a controller reaches of a machine."""

    zone: str
    unheard_controllers: frozenset[str]

    def handle_direct_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
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
        machines: Mapping[str, DirectRequestReceiver],
    ) -> None:
        self.basis = basis
        self.name = name
        self.drift = drift
        #: who is there, by address
        self.addresses = addresses
        #: finds who answers, for one who asks and one who is asked
        self.find_handler = server
        self.machines = machines
        self.rng = random.Random(f"{basis.seed} {name} {life}")
        #: its process has ended
        self.terminated = False

    def clock(self) -> float:
        """This host's monotonic clock, in seconds; it drifts against the simulated time."""
        return 1000.0 + self.basis.loop.time * (1 + self.drift)

    def wall(self) -> float:
        """The time of day, in seconds."""
        return 1.7e9 + self.basis.loop.time

    def wait_while_paused(self) -> None:
        """Comes back once this controller does not stand still."""
        while (left := self.basis.loop.paused_until.get(self, 0.0) - self.basis.loop.time) > 0:
            gevent.sleep(left)

    def connect(self, address: str, field: str, connections: int, connect_s: float = 1.5) -> Transport:
        """A transport over the simulated link to the server at an address."""
        far = self.addresses[address]
        return SimulatedTransport(
            self.basis.links,
            self.rng,
            self.name,
            far,
            lambda: None if self.terminated else self.find_handler(self.name, far),
        )

    def once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """One request to a machine; held up, lost or unanswered by the faults in force."""
        machine = address.rpartition(":")[0]
        if machine not in self.machines:
            raise UnreachableError("no such machine")
        seat = self.machines[machine]
        if self.name in seat.unheard_controllers:
            gevent.sleep(timeout)
            raise UnreachableError("timeout")
        if self.basis.fault_rng.random() < self.basis.late_command_rate:
            # it is held up, and carried out if it is still valid then; or its answer is
            late = self.basis.fault_rng.uniform(*LATE_DELIVERY_S)
            if self.basis.fault_rng.random() < 0.5:
                run_detached(late, seat.handle_direct_request, method, path, body)
                gevent.sleep(timeout)
                raise UnreachableError("timeout")
            status, answer = seat.handle_direct_request(method, path, body)
            gevent.sleep(min(late, timeout))
            if late < timeout:
                return status, answer
            raise UnreachableError("timeout")
        wire = SimulatedTransport(
            self.basis.links,
            self.rng,
            self.name,
            seat.zone,
            lambda: None if self.terminated else seat.handle_direct_request,
        )
        return wire.request(method, path, body, timeout)
