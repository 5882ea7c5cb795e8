"""A machine: its worker, whose lease and reports go on, tasks that take a while, and what befalls it."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
import msgspec

from ..clients.http import UnreachableError
from ..emulators.worker import WorkerEmulator
from ..wire.workers import DirectCommands, ExitReason, HeartbeatResponse, Redirect
from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .network_links import SimulatedTransport
from .simulated_controllers import SimulatedControllers
from .simulated_users import SimulatedUsers

#: so many reports are kept at the most
MAX_RETAINED_HEARTBEATS = 60


@dataclass(kw_only=True)
class SimulatedWorker(WorkerEmulator):
    """One machine; what it does and what befalls it is told to the checks after every change."""

    basis: ClusterBase
    checks: InvariantChecks
    users: SimulatedUsers
    processes: SimulatedControllers
    #: the controller that it reports to, by its place among all
    controller_index: int = 0
    lease_renewed_at: float = 0.0
    task_end_times: dict[str, float] = field(default_factory=dict)
    is_hung: bool = False
    terminated: bool = False
    #: controllers whose answers and commands do not come through, while its reports arrive there
    unheard_controllers: frozenset[str] = frozenset()
    #: it can open no connection to any controller, while direct commands reach it
    cannot_connect: bool = False
    #: how often it has begun anew
    restart_count: int = 0

    def handle_direct_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a direct request; never, while it hangs or is dead."""
        if self.is_hung or self.terminated:
            gevent.sleep(1e6)
        if path == "/show":
            return 200, msgspec.json.encode(self.next_heartbeat())
        status, report = self.handle_direct_commands(msgspec.json.decode(body, type=DirectCommands))
        self.checks.record_running_tasks(self)
        return status, msgspec.json.encode(report)

    def start_task(self, task: str, attempt: int) -> None:
        """Start a task that ends by itself after a time drawn for it."""
        super().start_task(task, attempt)
        self.checks.record_task_start(task)
        self.task_end_times[task] = self.basis.loop.time + self.basis.rng.uniform(*self.basis.task_duration_s)
        if self.basis.jobs[task.rpartition("/")[0]].always_fails:
            self.task_end_times[task] = self.basis.loop.time + 1.0

    def step(self) -> None:
        """One look at the lease, and at the tasks; of a machine that hangs, only the lease goes on."""
        now = self.basis.loop.time
        if now - self.lease_renewed_at > self.basis.lease_s:
            self.checks.lease_expiry_kills += len(self.running_tasks())
            self.expire_lease()
            self.lease_renewed_at = now
        for task in self.running_tasks():
            if now >= self.task_end_times.get(task, now) and not self.is_hung:
                broken = self.basis.jobs[task.rpartition("/")[0]].always_fails
                self.finish_task(task, ExitReason.ERROR if broken else ExitReason.DONE)
                if not broken:
                    self.checks.completed_tasks.add(task)
                    self.users.task_ended(task)
        self.checks.record_running_tasks(self)

    def restart(self, anew: bool) -> None:
        """It is back at once with nothing on it; its session and its count go on, or begin anew with no token."""
        self.restart_count += 1
        if anew:
            self.epoch, self.sequence, self.token = 0, 0, 0
        self.expire_lease()
        self.lease_renewed_at = self.basis.loop.time
        self.checks.record_running_tasks(self)

    def terminate(self) -> None:
        """The cloud has taken it away, with all that is on it."""
        self.terminated = True
        self.expire_lease()
        self.checks.record_running_tasks(self)

    def send_heartbeat(self, name: str) -> tuple[int, bytes]:
        """Send a heartbeat to a controller and return status and body; raise `UnreachableError` without an answer."""
        basis = self.basis
        if self.cannot_connect:
            gevent.sleep(1.0)
            raise UnreachableError("no connection")
        wire = SimulatedTransport(
            basis.links, basis.rng, self.zone, name, lambda: self.processes.heartbeat_handler(name)
        )
        sent = basis.loop.time
        epoch, begun = self.epoch, self.restart_count
        body = msgspec.json.encode(self.next_heartbeat())
        if basis.rng.random() < basis.duplicate_heartbeat_rate:
            # to whoever is there then, long after its worker has gone on, or is gone
            late, at = basis.rng.uniform(1.0, 3.0 * basis.lease_s), basis.rng.choice(basis.controller_names)
            gevent.spawn_later(late, self.processes.deliver_heartbeat, at, body)
        if (
            basis.retained_heartbeat_rate
            and len(basis.retained_heartbeats) < MAX_RETAINED_HEARTBEATS
            and basis.fault_rng.random() < basis.retained_heartbeat_rate
        ):
            basis.retained_heartbeats.append(body)
        status, answer = wire.request("POST", "/checkin", body, 4.0)
        if name in self.unheard_controllers:
            gevent.sleep(4.0)
            raise UnreachableError("timeout")
        same = epoch == self.epoch and begun == self.restart_count
        if status == 200 and same and not self.is_hung and not self.terminated:
            orders = msgspec.json.decode(answer, type=HeartbeatResponse)
            if orders.token >= self.token:
                self.lease_renewed_at = sent
                self.checks.last_response_by_zone[self.zone] = basis.loop.time
            self.apply_response(orders)
            self.checks.record_running_tasks(self)
        return status, answer

    def run_lease(self) -> None:
        """Leases end on time, also while a report is under way."""
        while not self.terminated:
            self.step()
            gevent.sleep(0.25)

    def run(self) -> None:
        """Send heartbeats until the machine is dead, following redirects and going on to the next controller on
        failure.
        """
        basis = self.basis
        gevent.spawn(self.run_lease)
        while not self.terminated:
            if self.is_hung:
                gevent.sleep(0.5)
                continue
            try:
                status, answer = self.send_heartbeat(basis.controller_names[self.controller_index])
            except UnreachableError:
                status, answer = 0, b""
            others = [n for i, n in enumerate(basis.controller_names) if i != self.controller_index]
            if status == 421 and (to := msgspec.json.decode(answer, type=Redirect).report_to) and to in others:
                self.controller_index = basis.controller_names.index(to)
                gevent.sleep(0.5 * basis.rng.random())
                continue
            if status != 200:
                self.controller_index = (self.controller_index + 1) % len(basis.controller_names)
                gevent.sleep(1.0)
                continue
            gevent.sleep(basis.heartbeat_interval_s * basis.rng.uniform(0.75, 1.25))
