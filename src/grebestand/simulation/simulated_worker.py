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
MOST_KEPT = 60


@dataclass(kw_only=True)
class SimulatedWorker(WorkerEmulator):
    """One machine; what it does and what befalls it is told to the checks after every change."""

    basis: ClusterBase
    checks: InvariantChecks
    users: SimulatedUsers
    processes: SimulatedControllers
    #: the controller that it reports to, by its place among all
    node: int = 0
    answered_at: float = 0.0
    ends: dict[str, float] = field(default_factory=dict)
    hung: bool = False
    dead: bool = False
    #: controllers whose answers and commands do not come through, while its reports arrive there
    deaf_to: frozenset[str] = frozenset()
    #: it can open no connection to any controller, while direct commands reach it
    mute: bool = False
    #: how often it has begun anew
    begun: int = 0

    def answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a direct request; never, while it hangs or is dead."""
        if self.hung or self.dead:
            gevent.sleep(1e6)
        if path == "/show":
            return 200, msgspec.json.encode(self.report())
        status, report = self.direct(msgspec.json.decode(body, type=DirectCommands))
        self.checks.saw(self)
        return status, msgspec.json.encode(report)

    def begin(self, task: str, attempt: int) -> None:
        """Start a task that ends by itself after a time drawn for it."""
        super().begin(task, attempt)
        self.checks.began(task)
        self.ends[task] = self.basis.loop.time + self.basis.rng.uniform(*self.basis.task_s)
        if self.basis.jobs[task.rpartition("/")[0]].broken:
            self.ends[task] = self.basis.loop.time + 1.0

    def play(self) -> None:
        """One look at the lease, and at the tasks; of a machine that hangs, only the lease goes on."""
        now = self.basis.loop.time
        if now - self.answered_at > self.basis.lease_s:
            self.checks.killed += len(self.running())
            self.lapse()
            self.answered_at = now
        for task in self.running():
            if now >= self.ends.get(task, now) and not self.hung:
                broken = self.basis.jobs[task.rpartition("/")[0]].broken
                self.finish(task, ExitReason.ERROR if broken else ExitReason.DONE)
                if not broken:
                    self.checks.finished.add(task)
                    self.users.task_ended(task)
        self.checks.saw(self)

    def restart(self, anew: bool) -> None:
        """It is back at once with nothing on it; its session and its count go on, or begin anew with no token."""
        self.begun += 1
        if anew:
            self.epoch, self.sequence, self.token = 0, 0, 0
        self.lapse()
        self.answered_at = self.basis.loop.time
        self.checks.saw(self)

    def gone(self) -> None:
        """The cloud has taken it away, with all that is on it."""
        self.dead = True
        self.lapse()
        self.checks.saw(self)

    def report_to(self, name: str) -> tuple[int, bytes]:
        """Send a heartbeat to a controller and return status and body; raise `UnreachableError` without an answer."""
        basis = self.basis
        if self.mute:
            gevent.sleep(1.0)
            raise UnreachableError("no connection")
        wire = SimulatedTransport(basis.links, basis.rng, self.zone, name, lambda: self.processes.door(name))
        sent = basis.loop.time
        epoch, begun = self.epoch, self.begun
        body = msgspec.json.encode(self.report())
        if basis.rng.random() < basis.copies:
            # to whoever is there then, long after its worker has gone on, or is gone
            late, at = basis.rng.uniform(1.0, 3.0 * basis.lease_s), basis.rng.choice(basis.controllers)
            gevent.spawn_later(late, self.processes.deliver, at, body)
        if basis.kept and len(basis.kept_reports) < MOST_KEPT and basis.luck.random() < basis.kept:
            basis.kept_reports.append(body)
        status, answer = wire.request("POST", "/checkin", body, 4.0)
        if name in self.deaf_to:
            gevent.sleep(4.0)
            raise UnreachableError("timeout")
        same = epoch == self.epoch and begun == self.begun
        if status == 200 and same and not self.hung and not self.dead:
            orders = msgspec.json.decode(answer, type=HeartbeatResponse)
            if orders.token >= self.token:
                self.answered_at = sent
                self.checks.served_at[self.zone] = basis.loop.time
            self.obey(orders)
            self.checks.saw(self)
        return status, answer

    def keep(self) -> None:
        """Leases end on time, also while a report is under way."""
        while not self.dead:
            self.play()
            gevent.sleep(0.25)

    def run(self) -> None:
        """Send heartbeats until the machine is dead, following redirects and going on to the next controller on
        failure.
        """
        basis = self.basis
        gevent.spawn(self.keep)
        while not self.dead:
            if self.hung:
                gevent.sleep(0.5)
                continue
            try:
                status, answer = self.report_to(basis.controllers[self.node])
            except UnreachableError:
                status, answer = 0, b""
            others = [n for i, n in enumerate(basis.controllers) if i != self.node]
            if status == 421 and (to := msgspec.json.decode(answer, type=Redirect).report_to) and to in others:
                self.node = basis.controllers.index(to)
                gevent.sleep(0.5 * basis.rng.random())
                continue
            if status != 200:
                self.node = (self.node + 1) % len(basis.controllers)
                gevent.sleep(1.0)
                continue
            gevent.sleep(basis.report_s * basis.rng.uniform(0.75, 1.25))
