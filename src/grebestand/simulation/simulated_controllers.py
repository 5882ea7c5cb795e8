"""The processes of the real controllers: started, crashed and paused, with the requests that reach them."""

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

#: retained heartbeats are delivered within this time after a new leader key, in seconds
RETAINED_DELIVERY_S = 0.25
LEADER_POLL_S = 0.1
#: the largest relative drift of a controller's clock
MAX_DRIFT = 0.0005


class SimulatedControllers:
    """The controllers of a simulated cluster: real ones, each on a simulated runtime of its own.

    Attributes:
        addresses: The host names by address.
        process_count: The number of processes that have been started.
        controllers: By host name, the controller that runs there, or None after a crash.
        runtimes: By host name, the runtime of the last process.
        leader_history: For each leader, the simulated time at which it was first observed, its host name and token.
        multiple_leader_times: The simulated times at which more than one controller led.
    """

    def __init__(
        self,
        cluster: ClusterBase,
        store: KeyValueStoreEmulator,
        cloud: CloudEmulator,
        machines: Mapping[str, DirectRequestReceiver],
    ) -> None:
        self.cluster = cluster
        self.store_access = StoreAccess(cluster, store, self._deliver_retained_heartbeats)
        self.cloud = cloud
        self.machines = machines
        self.addresses = {"127.0.0.1:3": CLOUD, "127.0.0.1:4": STATE}
        self.addresses |= {f"127.0.1.{i}:2": name for i, name in enumerate(cluster.controller_names)}
        self.process_count = 0
        self.controllers: dict[str, Controller | None] = dict.fromkeys(cluster.controller_names)
        self.runtimes: dict[str, SimulatedRuntime] = {}
        self.leader_history: list[tuple[float, str, int]] = []
        self.multiple_leader_times: list[float] = []

    # processes

    def start(self, name: str) -> None:
        """Start a new controller process on a host."""
        self.process_count += 1
        drift = self.cluster.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        runtime = SimulatedRuntime(
            self.cluster, name, self.process_count, drift, self.addresses, self.find_handler, self.machines
        )
        self.runtimes[name] = runtime
        # Greenlets inherit the owner of the greenlet that spawns them, so a pause concerns the whole process.
        gevent.spawn(self._begin, name, runtime).join()

    def _begin(self, name: str, runtime: SimulatedRuntime) -> None:
        set_owner(runtime)
        controller = Controller(self.cluster.settings[name], self.cluster.policy, runtime=runtime)
        self.controllers[name] = controller
        controller.start_loops()

    def pause(self, name: str, seconds: float) -> None:
        """Pause a controller's process; its clocks go on, and requests to it wait."""
        self.cluster.loop.paused_until[self.runtimes[name]] = self.cluster.loop.time + seconds

    def is_paused(self, name: str) -> bool:
        """Whether a controller's process is paused."""
        return self.cluster.loop.paused_until.get(self.runtimes[name], 0.0) > self.cluster.loop.time

    def crash(self, name: str) -> None:
        """End a controller's process: its further messages are not delivered, and requests don't reach it."""
        controller, self.controllers[name] = self.controllers[name], None
        if controller is not None:
            self.runtimes[name].terminated = True

    # requests

    def find_handler(self, source: str, target: str) -> Handler | None:
        """Return the request handler of one host for requests of another, or None if no process runs there."""
        if target == STATE:
            return lambda method, path, body: self.store_access.request(source, method, path, body)
        if target == CLOUD:
            return lambda method, path, body: self.cloud.request(method, path, body, 1.0)
        controller, runtime = self.controllers[target], self.runtimes[target]
        if controller is None:
            return None
        return lambda method, path, body: self._answer_peer(controller, runtime, path, body)

    @staticmethod
    def _answer_peer(controller: Controller, runtime: SimulatedRuntime, path: str, body: bytes) -> tuple[int, bytes]:
        runtime.wait_while_paused()
        response = controller.peer_api.handle_message(path, body)
        runtime.wait_while_paused()
        if runtime.terminated:
            raise UnreachableError("its process ended before it answered")
        return (404, b"") if response is None else (200, response)

    def heartbeat_handler(self, name: str) -> Handler | None:
        """Return a controller's handler of workers' heartbeats, or None if no process runs on the host."""
        controller, runtime = self.controllers[name], self.runtimes[name]

        def handle_heartbeat(method: str, path: str, body: bytes) -> tuple[int, bytes]:
            assert controller is not None
            runtime.wait_while_paused()
            response = controller.http_front.handle_heartbeat(body)
            runtime.wait_while_paused()
            if runtime.terminated:
                raise UnreachableError("its process ended before it answered")
            return response.status, response.body

        return handle_heartbeat if controller is not None else None

    def deliver_heartbeat(self, name: str, body: bytes) -> None:
        """Deliver a copy of a heartbeat to a controller, and drop the response."""
        handle_heartbeat = self.heartbeat_handler(name)
        if handle_heartbeat is not None:
            with contextlib.suppress(UnreachableError):
                handle_heartbeat("POST", "/checkin", body)

    def _deliver_retained_heartbeats(self) -> None:
        """Deliver the retained heartbeats to all controllers, before, while and after a new leader loads its term."""
        heartbeats, self.cluster.retained_heartbeats = self.cluster.retained_heartbeats, []
        for body in heartbeats:
            for name in self.cluster.controller_names:
                delay_s = self.cluster.fault_rng.uniform(0.0, RETAINED_DELIVERY_S)
                run_detached(delay_s, self.deliver_heartbeat, name, body)

    # leadership

    def accepts_requests(self, name: str) -> bool:
        """Whether users send requests to a controller: its process runs, and isn't paused."""
        return self.controllers[name] is not None and not self.is_paused(name)

    def current_leaders(self) -> list[str]:
        """Return the controllers that lead and may send commands now, according to their own clocks."""
        return [
            name
            for name, controller in self.controllers.items()
            if not self.is_paused(name)
            and controller is not None
            and controller.election.state is LeaderState.LEADING
            and controller.election.is_leader()
        ]

    def record_leaders(self) -> None:
        """Record the leaders, and times with more than one, every `LEADER_POLL_S` seconds without end."""
        last_token = 0
        while True:
            leaders = self.current_leaders()
            if len(leaders) > 1:
                self.multiple_leader_times.append(self.cluster.loop.time)
            for name in leaders:
                controller = self.controllers[name]
                if controller is not None and controller.election.token > last_token:
                    last_token = controller.election.token
                    self.leader_history.append((self.cluster.loop.time, name, last_token))
            gevent.sleep(LEADER_POLL_S)
