"""The processes of the real controllers: begun, crashed, frozen; what reaches them; who of them leads."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping

import gevent

from ..clients.http import UnreachableError
from ..controller.controller import Controller
from ..emulators.cloud import CloudEmulator
from ..emulators.kv_store import KeyValueStoreEmulator
from ..state_machines import LeaderState
from .cluster_base import ClusterBase
from .network_links import CLOUD, STATE, Handler, run_detached
from .simulated_runtime import DirectRequestReceiver, SimulatedRuntime
from .store_access import StoreAccess
from .virtual_time import set_owner

#: kept copies of reports come within so long of a new key, in seconds
RETAINED_DELIVERY_S = 0.25


class SimulatedControllers:
    """The controllers of a simulated cluster: real ones, each on a runtime of its own, started, frozen and
    crashed.
    """

    def __init__(
        self,
        basis: ClusterBase,
        state: KeyValueStoreEmulator,
        cloud: CloudEmulator,
        machines: Mapping[str, DirectRequestReceiver],
    ) -> None:
        self.basis = basis
        self.store = StoreAccess(basis, state, self._deliver_retained_heartbeats)
        self.cloud = cloud
        self.machines = machines
        self.addresses = {"127.0.0.1:3": CLOUD, "127.0.0.1:4": STATE}
        self.addresses |= {f"127.0.1.{i}:2": name for i, name in enumerate(basis.controller_names)}
        #: how many processes there have been
        self.process_count = 0
        self.controllers: dict[str, Controller | None] = dict.fromkeys(basis.controller_names)
        self.runtimes: dict[str, SimulatedRuntime] = {}
        #: who has led, since when and by which token; when two did
        self.leader_history: list[tuple[float, str, int]] = []
        self.multiple_leader_times: list[float] = []

    # processes --------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """A new process under this name."""
        self.process_count += 1
        drift = self.basis.rng.uniform(-0.0005, 0.0005)
        host = SimulatedRuntime(
            self.basis, name, self.process_count, drift, self.addresses, self.find_handler, self.machines
        )
        self.runtimes[name] = host
        # all that it spawns is its own, and stands still with it
        gevent.spawn(self._begin, name, host).join()

    def _begin(self, name: str, host: SimulatedRuntime) -> None:
        set_owner(host)
        node = Controller(self.basis.settings[name], self.basis.policy, runtime=host)
        self.controllers[name] = node
        node.begin()

    def pause(self, name: str, seconds: float) -> None:
        """It stands still while its clocks run on; what is sent to it waits."""
        self.basis.loop.paused_until[self.runtimes[name]] = self.basis.loop.time + seconds

    def is_paused(self, name: str) -> bool:
        """Whether a controller's process is frozen at the moment."""
        return self.basis.loop.paused_until.get(self.runtimes[name], 0.0) > self.basis.loop.time

    def crash(self, name: str) -> None:
        """Its loops end at their next step: nothing that it sends from now on arrives, and nothing reaches it."""
        node, self.controllers[name] = self.controllers[name], None
        if node is not None:
            self.runtimes[name].terminated = True

    # what reaches them, and what they reach ---------------------------------------------------------------

    def find_handler(self, near: str, far: str) -> Handler | None:
        """What answers `near` at the address of `far`, or None if no process is there."""
        if far == STATE:
            return lambda m, p, b: self.store.request(near, m, p, b)
        if far == CLOUD:
            return lambda m, p, b: self.cloud.request(m, p, b, 1.0)
        node, host = self.controllers[far], self.runtimes[far]
        return None if node is None else lambda m, p, b: self._answer_peer(node, host, p, b)

    @staticmethod
    def _answer_peer(node: Controller, host: SimulatedRuntime, path: str, body: bytes) -> tuple[int, bytes]:
        host.wait_while_paused()
        answer = node.peer_api.answer(path, body)
        host.wait_while_paused()
        if host.terminated:
            raise UnreachableError("its process ended before it answered")
        return (404, b"") if answer is None else (200, answer)

    def heartbeat_handler(self, name: str) -> Handler | None:
        """What answers workers' heartbeats at a controller, or None if its process is gone."""
        node, host = self.controllers[name], self.runtimes[name]

        def handle_heartbeat(method: str, path: str, body: bytes) -> tuple[int, bytes]:
            assert node is not None
            host.wait_while_paused()
            answer = node.http_front.handle_heartbeat(body)
            host.wait_while_paused()
            if host.terminated:
                raise UnreachableError("its process ended before it answered")
            return answer.status, answer.body

        return handle_heartbeat if node is not None else None

    def deliver_heartbeat(self, name: str, body: bytes) -> None:
        """A copy of a report comes late; nobody waits for its answer."""
        door = self.heartbeat_handler(name)
        if door is not None:
            with contextlib.suppress(UnreachableError):
                door("POST", "/checkin", body)

    def _deliver_retained_heartbeats(self) -> None:
        """A new leader has the key: what was kept for it comes to all, before, while and after it reads the records."""
        kept, self.basis.retained_heartbeats = self.basis.retained_heartbeats, []
        for body in kept:
            for name in self.basis.controller_names:
                run_detached(self.basis.fault_rng.uniform(0.0, RETAINED_DELIVERY_S), self.deliver_heartbeat, name, body)

    # who leads, and who serves ----------------------------------------------------------------------------

    def accepts_requests(self, name: str) -> bool:
        """Whether users are sent to this controller."""
        return self.controllers[name] is not None and not self.is_paused(name)

    def current_leaders(self) -> list[str]:
        """Controllers that would give orders now, by their own clocks."""
        return [
            n
            for n, c in self.controllers.items()
            if not self.is_paused(n)
            and c is not None
            and c.election.state is LeaderState.LEADING
            and c.election.is_leader()
        ]

    def record_leaders(self) -> None:
        """Who leads, ten times a second."""
        last = 0
        while True:
            now = self.current_leaders()
            if len(now) > 1:
                self.multiple_leader_times.append(self.basis.loop.time)
            for name in now:
                node = self.controllers[name]
                if node is not None and node.election.token > last:
                    last = node.election.token
                    self.leader_history.append((self.basis.loop.time, name, last))
            gevent.sleep(0.1)
