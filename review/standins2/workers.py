"""Machines with their workers: reports, leases, commands and tasks, as the protocol says. Gangs are not run."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from . import web
from .site import MachineType, Site

STEP_S = 0.05
REPORT_TIMEOUT_S = 4.0
SHORTEST_REPORT_S = 0.5
RETRY_S = 1.0
#: A task that fails does so after this time of running.
FAILING_S = 0.5

#: Called with what happened, the machine, the task, the attempt and a remark.
Recorder = Callable[[str, str, str, int, str], None]


@dataclass
class Task:
    """One attempt of a task on a machine; `ends_at` is when its present phase ends by itself."""

    name: str
    attempt: int
    job: dict[str, Any] | None
    state: str
    why: str | None = None
    stored: bool = False
    ends_at: float = float("inf")
    #: Whether the task fails, as it was started on a sick machine.
    fails: bool = False
    #: Since when the task is on its machine.
    on_since: float = float("inf")
    grace_s: float = 0.0

    def entry(self) -> dict[str, Any]:
        """Return the entry of a report."""
        entry: dict[str, Any] = {"shard": self.name, "launch": self.attempt, "tide": self.state}
        if self.state == "exited":
            entry["wake"] = self.why
            if self.stored:
                entry["stored"] = True
        return entry


@dataclass
class Machine:
    """A machine and its worker.

    Attributes:
        recall_at: When the cloud takes the machine away, or None.
        sick: Whether every task that starts here fails.
        failed: How many tasks have failed here.
        gone: Whether the machine has been deleted or taken.
        rented_at: When the machine was rented, or None if it was there from the beginning.
        up_at: When it is up.
    """

    name: str
    zone: str
    spot: bool
    fleet: Fleet
    kind: MachineType
    addr: str = ""
    watch: int = 1
    tally: int = 0
    helm: int = 0
    began_at: float = field(default_factory=time.monotonic)
    recall_at: float | None = None
    sick: bool = False
    failed: int = 0
    gone: bool = False
    rented_at: float | None = None
    up_at: float = 0.0
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    changed: bool = True
    last_answered_sent_at: float | None = None
    last_token_change_at: float = 0.0

    @property
    def present(self) -> list[Task]:
        """The tasks that have not exited."""
        return [task for task in self.tasks.values() if task.state != "exited"]

    def free(self, except_job: str | None = None) -> tuple[float, float]:
        """Return the CPUs and gigabytes that tasks leave free, those that fetch included; one job's may be left out."""
        kind = self.kind
        jobs = [task.job for task in self.present if task.job is not None and task.job["ref"] != except_job]
        return kind.cpus - sum(j["cpus"] for j in jobs), kind.memory_gb - sum(j["ramGb"] for j in jobs)

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tally += 1
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "vessel": self.name, "addr": self.addr, "hull": self.kind.name, "quay": self.zone,
            "driftwood": self.spot, "watch": self.watch, "tally": self.tally, "helm": self.helm, "recallS": recall,
            "shards": [task.entry() for task in self.tasks.values()],
        }  # fmt: skip

    # commands ---------------------------------------------------------------------------------------------

    def execute(self, helm: int, commands: list[dict[str, Any]]) -> None:
        """Execute the commands of a response or request whose token is not too low."""
        now = time.monotonic()
        if helm > self.helm:
            self.helm = helm
            if now - self.last_token_change_at > self.fleet.site.workers["lease_s"] / 2:
                self.last_token_change_at, self.changed = now, True
        for command in commands:
            key = command["shard"], command["launch"]
            if command["signal"] == "start" and key not in self.tasks:
                self._start(*key)
            elif command["signal"] == "stop" and key in self.tasks:
                self._stop(self.tasks[key], float(command.get("mooringS") or 0.0))
            elif command["signal"] == "forget" and key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]
                self.changed = True

    def _start(self, name: str, attempt: int) -> None:
        ref, _, index = name.rpartition("/")
        job = self.fleet.jobs.get(ref)
        task = self.tasks[name, attempt] = Task(name, attempt, job, "fetching")
        self.changed = True
        self.fleet.record("start", self.name, name, attempt, "")
        free_cpus, free_gb = self.free()  # the new task is counted already
        if job is None or not index.isdigit() or int(index) >= job["shards"]:
            self._exit(task, "no_such")
        elif any(other.name == name and other is not task for other in self.present):
            self._exit(task, "busy")
        elif free_cpus < -1e-9 or free_gb < -1e-9:
            self._exit(task, "no_room")
        else:
            rate = self.kind.fetch_gb_per_s
            fetch_s = 0.0 if job["cargo"] in self.images else job["pullGb"] / rate
            task.ends_at = time.monotonic() + fetch_s

    def _stop(self, task: Task, grace_s: float) -> None:
        if task.state == "exited" or task.job is None:
            return
        if task.state == "running" and task.job["markS"] > 0 and grace_s >= task.job["stowS"]:
            task.state, task.ends_at, task.grace_s = "saving", time.monotonic() + task.job["stowS"], grace_s
            self.changed = True
        elif task.state != "saving" or grace_s == 0.0:
            self._exit(task, "stopped")

    def _exit(self, task: Task, why: str) -> None:
        was_on = task.state in ("running", "saving")
        task.state, task.why, task.ends_at, self.changed = "exited", why, float("inf"), True
        self.fleet.record("off" if was_on else "exit", self.name, task.name, task.attempt, why)
        self.failed += why == "error"
        if why == "done":
            self.fleet.done.add(task.name)

    # time -------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Check the lease and advance the tasks."""
        now = time.monotonic()
        renewed_at = self.last_answered_sent_at if self.last_answered_sent_at is not None else self.began_at
        if now - renewed_at > self.fleet.site.workers["lease_s"]:
            for task in self.present:
                self._exit(task, "lease")
            self.tasks.clear()
            self.watch += 1
            self.began_at, self.last_answered_sent_at, self.changed = now, None, True
        for task in self.present:
            if now >= task.ends_at:
                self._advance(task, now)

    def _advance(self, task: Task, now: float) -> None:
        job = task.job
        assert job is not None
        if task.state == "saving":
            task.stored = True
            self._exit(task, "stopped")
        elif task.state == "running":
            self._exit(task, "error" if task.fails else "done")
        else:
            self.images.add(job["cargo"])
            task.state, task.fails, task.on_since, self.changed = "running", self.sick, now, True
            self.fleet.record("on", self.name, task.name, task.attempt, "")
            if task.name in self.fleet.done:
                self._exit(task, "done")
            elif task.fails:
                task.ends_at = now + FAILING_S
            else:
                task.ends_at = float("inf") if job["shape"] == "daemon" else now + self.fleet.run_s[job["ref"]]

    def end(self, why: str) -> None:
        """Take the machine away with all that is on it."""
        if not self.gone:
            self.gone = True
            for task in self.present:
                self._exit(task, why)
            self.tasks.clear()


class Fleet:
    """All machines of a deployment, and the jobs whose descriptions their users have uploaded.

    Attributes:
        run_s: How long a task of a job runs, by job id.
        done: The tasks whose result is kept.
        controllers: The address of each controller by name.
    """

    def __init__(self, site: Site, record: Recorder, seed: int) -> None:
        self.site = site
        self.record = record
        self.rng = random.Random(seed)
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.done: set[str] = set()
        self.controllers: dict[str, str] = {}
        self._next = 1
        self._loops: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []

    def alive(self) -> list[Machine]:
        """Return the machines that are up."""
        now = time.monotonic()
        return [machine for machine in self.machines.values() if not machine.gone and machine.up_at <= now]

    async def add(self, zone: str, spot: bool, kind: MachineType | None = None) -> Machine:
        """Add a machine that is up, of the site's own type unless another is given."""
        machine = Machine(f"n-{self._next:06}", zone, spot, self, kind or self.site.machine_type)
        self._next += 1

        async def direct(method: str, path: str, body: Any) -> tuple[int, Any] | None:
            if machine.gone or machine.up_at > time.monotonic():
                return None
            if path == "/show":
                return 200, machine.report()
            if not isinstance(body, dict) or "helm" not in body or "watch" not in body:
                return 400, {}
            if body["helm"] < machine.helm or body["watch"] != machine.watch:
                return 409, machine.report()
            machine.execute(body["helm"], body.get("signals") or [])
            return 200, machine.report()

        server, machine.addr = await web.serve(direct)
        self._servers.append(server)
        self.machines[machine.name] = machine
        return machine

    async def rent(self, zone: str) -> Machine:
        """Add an ordinary machine that comes up after the boot time that the cloud states."""
        machine = await self.add(zone, spot=False)
        machine.rented_at = time.monotonic()
        machine.up_at = machine.rented_at + machine.kind.boot_s
        self._loops.append(asyncio.create_task(self._boot(machine)))
        return machine

    async def _boot(self, machine: Machine) -> None:
        await asyncio.sleep(machine.kind.boot_s)
        machine.began_at = time.monotonic()
        if not machine.gone:
            self.record("up", machine.name, machine.zone, 0, "")
        await self._report(machine)

    def start(self) -> None:
        """Start the workers."""
        for machine in self.machines.values():
            self._loops.append(asyncio.create_task(self._report(machine)))
        self._loops.append(asyncio.create_task(self._step()))

    async def _step(self) -> None:
        while True:
            for machine in self.alive():
                machine.step()
                if machine.recall_at is not None and time.monotonic() >= machine.recall_at:
                    self.record("taken", machine.name, "", 0, "")
                    machine.end("taken")
            await asyncio.sleep(STEP_S)

    async def _report(self, machine: Machine) -> None:
        """Send reports to one controller at a time until the machine is gone."""
        names = sorted(self.controllers)
        clients = {name: web.Client(address) for name, address in self.controllers.items()}
        at = self.rng.randrange(len(names))
        await asyncio.sleep(self.rng.random() * self.site.workers["report_s"] / 2)
        while not machine.gone:
            sent_at, watch = time.monotonic(), machine.watch
            machine.changed = False
            try:
                status, _, body = await clients[names[at]].request(
                    "POST", "/checkin", machine.report(), REPORT_TIMEOUT_S
                )
            except OSError:
                status, body = 0, None
            if machine.gone:
                return
            if status == 200:
                helm = (body or {}).get("helm")
                if watch == machine.watch and helm is not None and helm >= machine.helm:
                    machine.last_answered_sent_at = sent_at
                    machine.execute(helm, body.get("signals") or [])
                due = sent_at + self.site.workers["report_s"] * self.rng.uniform(0.75, 1.25)
                while time.monotonic() < due and not (
                    machine.changed and time.monotonic() - sent_at >= SHORTEST_REPORT_S
                ):
                    await asyncio.sleep(STEP_S)
                continue
            target = (body or {}).get("harborMaster") if status == 421 and isinstance(body, dict) else None
            if target in self.controllers and target != names[at]:
                clients[names[at]].close()
                at = names.index(target)
                await asyncio.sleep(self.rng.random() / 2)
            else:
                at = (at + 1) % len(names)
                await asyncio.sleep(RETRY_S)
