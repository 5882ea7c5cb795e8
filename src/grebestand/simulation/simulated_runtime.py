"""The simulated runtime of one controller process: clocks, and connections to other hosts."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent

from ..clients.http import Transport, UnreachableError
from .cluster_base import ClusterBase
from .network_links import LATE_DELIVERY_S, Handler, SimulatedTransport, run_detached


class DirectRequestReceiver(Protocol):
    """The part of a machine that controllers reach directly.

    Attributes:
        zone: The machine's zone.
        unheard_controllers: Controllers whose direct requests don't reach the machine.
    """

    zone: str
    unheard_controllers: frozenset[str]

    def handle_direct_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a direct request of a controller with a status and a body."""


class SimulatedRuntime:
    """A `Runtime` on virtual time, for one process of a controller.

    Attributes:
        cluster: The state that all parts of the cluster share.
        name: The controller's host name.
        drift: The relative drift of the host's clock.
        addresses: The host names by address.
        find_handler: Returns the present request handler for a source and a target host, or None if no process runs at
            the target.
        machines: All machines by name.
        terminated: Whether the process has ended.
    """

    def __init__(
        self,
        cluster: ClusterBase,
        name: str,
        process_number: int,
        drift: float,
        addresses: dict[str, str],
        find_handler: Callable[[str, str], Handler | None],
        machines: Mapping[str, DirectRequestReceiver],
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.drift = drift
        self.addresses = addresses
        self.find_handler = find_handler
        self.machines = machines
        self.rng = random.Random(f"{cluster.seed} {name} {process_number}")
        self.terminated = False

    def clock(self) -> float:
        """Return this host's monotonic clock, in seconds; it drifts against simulated time."""
        return 1000.0 + self.cluster.loop.time * (1 + self.drift)

    def wall(self) -> float:
        """Return the time of day, in seconds."""
        return 1.7e9 + self.cluster.loop.time

    def wait_while_paused(self) -> None:
        """Return as soon as this controller's process isn't paused."""
        while (remaining_s := self.cluster.loop.paused_until.get(self, 0.0) - self.cluster.loop.time) > 0:
            gevent.sleep(remaining_s)

    def connect(self, address: str, field: str, connections: int, connect_s: float = 1.5) -> Transport:
        """Return a transport over the simulated link to the server at an address."""
        target = self.addresses[address]
        return SimulatedTransport(
            self.cluster.links,
            self.rng,
            self.name,
            target,
            lambda: None if self.terminated else self.find_handler(self.name, target),
        )

    def request_once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send one request to a machine; faults may delay or lose the request or the response.

        Args:
            method: The HTTP method.
            address: The address of the machine's worker.
            path: The path with the query.
            body: The request's body.
            timeout: The longest wait for the response, in simulated seconds.

        Returns:
            The status and the body of the response.

        Raises:
            UnreachableError: No machine has this address, or no response was received in time.
        """
        name = address.rpartition(":")[0]
        if name not in self.machines:
            raise UnreachableError("no such machine")
        worker = self.machines[name]
        if self.name in worker.unheard_controllers:
            gevent.sleep(timeout)
            raise UnreachableError("timeout")
        if self.cluster.fault_rng.random() < self.cluster.late_command_rate:
            # Either the request is late, and executed if it is still valid then, or the response is late.
            delay_s = self.cluster.fault_rng.uniform(*LATE_DELIVERY_S)
            if self.cluster.fault_rng.random() < 0.5:
                run_detached(delay_s, worker.handle_direct_request, method, path, body)
                gevent.sleep(timeout)
                raise UnreachableError("timeout")
            status, response = worker.handle_direct_request(method, path, body)
            gevent.sleep(min(delay_s, timeout))
            if delay_s < timeout:
                return status, response
            raise UnreachableError("timeout")
        transport = SimulatedTransport(
            self.cluster.links,
            self.rng,
            self.name,
            worker.zone,
            lambda: None if self.terminated else worker.handle_direct_request,
        )
        return transport.request(method, path, body, timeout)
