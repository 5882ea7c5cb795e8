"""A simulated machine: a worker that sends heartbeats, runs tasks for a while, and has faults."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
import msgspec

from ..clients.http import UnreachableError
from ..emulators.worker import WorkerEmulator
from ..wire.workers import DirectCommands, ExitReason, HeartbeatResponse, Redirect
from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .network_links import NEVER_S, SimulatedTransport
from .simulated_controllers import SimulatedControllers
from .simulated_users import SimulatedUsers

#: at most this many heartbeats are retained
MAX_RETAINED_HEARTBEATS = 60
LEASE_CHECK_INTERVAL_S = 0.25
#: how long a task of a job that always fails runs, in seconds
FAILING_TASK_S = 1.0
#: how long a worker waits for the response to a heartbeat, in seconds
HEARTBEAT_TIMEOUT_S = 4.0
#: how long a worker waits after a heartbeat without a valid response, in seconds
RETRY_S = 1.0


@dataclass(kw_only=True)
class SimulatedWorker(WorkerEmulator):
    """One machine with its worker; the invariant checks are notified of every change.

    Attributes:
        cluster: The state that all parts of the cluster share.
        checks: The invariant checks.
        users: The users, who are notified of ended tasks.
        processes: The controllers' processes.
        controller_index: The index of the controller that receives the worker's heartbeats.
        lease_renewed_at: When the last heartbeat that renewed the lease was sent, in simulated seconds.
        task_end_times: By task, when it ends by itself, in simulated seconds.
        is_hung: Whether the machine hangs: only the lease is still checked.
        terminated: Whether the machine was deleted.
        unheard_controllers: Controllers whose responses and direct requests don't reach the worker, while its
            heartbeats reach them.
        cannot_connect: Whether the worker can't connect to any controller, while direct requests reach it.
        restart_count: How many times the worker has restarted.
    """

    cluster: ClusterBase
    checks: InvariantChecks
    users: SimulatedUsers
    processes: SimulatedControllers
    controller_index: int = 0
    lease_renewed_at: float = 0.0
    task_end_times: dict[str, float] = field(default_factory=dict)
    is_hung: bool = False
    terminated: bool = False
    unheard_controllers: frozenset[str] = frozenset()
    cannot_connect: bool = False
    restart_count: int = 0

    def handle_direct_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a direct request with a status and a body; never, if the machine hangs or was deleted."""
        if self.is_hung or self.terminated:
            gevent.sleep(NEVER_S)
        if path == "/show":
            return 200, msgspec.json.encode(self.next_heartbeat())
        status, heartbeat = self.handle_direct_commands(msgspec.json.decode(body, type=DirectCommands))
        self.checks.record_running_tasks(self)
        return status, msgspec.json.encode(heartbeat)

    def start_task(self, task: str, attempt: int) -> None:
        """Start a task that ends by itself after a random time."""
        super().start_task(task, attempt)
        self.checks.record_task_start(task)
        self.task_end_times[task] = self.cluster.loop.time + self.cluster.rng.uniform(*self.cluster.task_duration_s)
        if self.cluster.jobs[task.rpartition("/")[0]].always_fails:
            self.task_end_times[task] = self.cluster.loop.time + FAILING_TASK_S

    def step(self) -> None:
        """Check the lease, and end tasks whose time is over unless the machine hangs."""
        now = self.cluster.loop.time
        if now - self.lease_renewed_at > self.cluster.lease_s:
            self.checks.lease_expiry_kills += len(self.running_tasks())
            self.expire_lease()
            self.lease_renewed_at = now
        for task in self.running_tasks():
            if now >= self.task_end_times.get(task, now) and not self.is_hung:
                always_fails = self.cluster.jobs[task.rpartition("/")[0]].always_fails
                self.finish_task(task, ExitReason.ERROR if always_fails else ExitReason.DONE)
                if not always_fails:
                    self.checks.completed_tasks.add(task)
                    self.users.task_ended(task)
        self.checks.record_running_tasks(self)

    def restart(self, reset_session: bool) -> None:
        """Restart the worker without any tasks.

        Args:
            reset_session: Whether session, sequence number and token start again from zero, as after the loss of the
                worker's stored state; otherwise the session number is incremented.
        """
        self.restart_count += 1
        if reset_session:
            self.epoch, self.sequence, self.token = 0, 0, 0
        self.expire_lease()
        self.lease_renewed_at = self.cluster.loop.time
        self.checks.record_running_tasks(self)

    def terminate(self) -> None:
        """Delete the machine with its tasks."""
        self.terminated = True
        self.expire_lease()
        self.checks.record_running_tasks(self)

    def send_heartbeat(self, controller: str) -> tuple[int, bytes]:
        """Send a heartbeat to a controller, and apply the response.

        Args:
            controller: The controller's host name.

        Returns:
            The status and the body of the response.

        Raises:
            UnreachableError: The worker can't connect, or no response was received in time.
        """
        cluster = self.cluster
        if self.cannot_connect:
            gevent.sleep(1.0)
            raise UnreachableError("no connection")
        transport = SimulatedTransport(
            cluster.links, cluster.rng, self.zone, controller, lambda: self.processes.heartbeat_handler(controller)
        )
        sent_at = cluster.loop.time
        epoch, restart_count = self.epoch, self.restart_count
        body = msgspec.json.encode(self.next_heartbeat())
        if cluster.rng.random() < cluster.duplicate_heartbeat_rate:
            # By the time the duplicate is delivered, the worker has sent newer heartbeats or was deleted.
            delay_s = cluster.rng.uniform(1.0, 3.0 * cluster.lease_s)
            receiver = cluster.rng.choice(cluster.controller_names)
            gevent.spawn_later(delay_s, self.processes.deliver_heartbeat, receiver, body)
        may_retain = cluster.retained_heartbeat_rate and len(cluster.retained_heartbeats) < MAX_RETAINED_HEARTBEATS
        if may_retain and cluster.fault_rng.random() < cluster.retained_heartbeat_rate:
            cluster.retained_heartbeats.append(body)
        status, response_body = transport.request("POST", "/checkin", body, HEARTBEAT_TIMEOUT_S)
        if controller in self.unheard_controllers:
            gevent.sleep(HEARTBEAT_TIMEOUT_S)
            raise UnreachableError("timeout")
        same_session = epoch == self.epoch and restart_count == self.restart_count
        if status == 200 and same_session and not self.is_hung and not self.terminated:
            response = msgspec.json.decode(response_body, type=HeartbeatResponse)
            if response.token >= self.token:
                self.lease_renewed_at = sent_at
                self.checks.last_response_by_zone[self.zone] = cluster.loop.time
            self.apply_response(response)
            self.checks.record_running_tasks(self)
        return status, response_body

    def run_lease(self) -> None:
        """Check the lease and the tasks until the machine is deleted, also while a heartbeat waits for its response."""
        while not self.terminated:
            self.step()
            gevent.sleep(LEASE_CHECK_INTERVAL_S)

    def run(self) -> None:
        """Run the worker until the machine is deleted.

        Heartbeats follow redirects, and go to the next controller after a failure.
        """
        cluster = self.cluster
        gevent.spawn(self.run_lease)
        while not self.terminated:
            if self.is_hung:
                gevent.sleep(0.5)
                continue
            try:
                status, body = self.send_heartbeat(cluster.controller_names[self.controller_index])
            except UnreachableError:
                status, body = 0, b""
            others = [name for i, name in enumerate(cluster.controller_names) if i != self.controller_index]
            if status == 421 and (target := msgspec.json.decode(body, type=Redirect).report_to) and target in others:
                self.controller_index = cluster.controller_names.index(target)
                gevent.sleep(0.5 * cluster.rng.random())
                continue
            if status != 200:
                self.controller_index = (self.controller_index + 1) % len(cluster.controller_names)
                gevent.sleep(RETRY_S)
                continue
            gevent.sleep(cluster.heartbeat_interval_s * cluster.rng.uniform(0.75, 1.25))
