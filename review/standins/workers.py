"""Stand-ins for workers, by the sections on workers, gangs and delayed messages of the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass
from typing import Any

from .http1 import Client, NoAnswerError, Server
from .rules import Rules

#: How long a worker waits for the answer to a report, and after a report without one, in seconds.
REPORT_TIMEOUT_S, RETRY_S = 4.0, 1.0
#: The shortest time between two reports, in seconds.
MIN_REPORT_INTERVAL_S = 0.5
STEP_S = 0.05


@dataclass
class Task:
    """One attempt of a task on a machine. Times are those of the monotonic clock.

    Attributes:
        shard: The task.
        launch: The attempt.
        tide: The state.
        wake: Why it exited.
        stored: Whether its progress was saved.
        ready_at: When its image will be there.
        since: When it began to wait or to run.
        base: The progress that it began with, in seconds.
        left_at: When it lost another task of its gang.
        stop_at: When it was first told to stop.
    """

    shard: str
    launch: int
    tide: str = "fetching"
    wake: str | None = None
    stored: bool = False
    ready_at: float = 0.0
    since: float = 0.0
    base: float = 0.0
    left_at: float | None = None
    stop_at: float | None = None

    @property
    def job(self) -> str:
        """The job's id."""
        return self.shard.rpartition("/")[0]

    def report(self) -> dict[str, Any]:
        """Return the task as reports list it."""
        entry: dict[str, Any] = {"shard": self.shard, "launch": self.launch, "tide": self.tide}
        if self.wake is not None:
            entry["wake"] = self.wake
        if self.stored:
            entry["stored"] = True
        return entry


class Fleet:
    """All workers, and what their tasks share: jobs, checkpoints, results and gangs.

    Attributes:
        nodes: The address of each controller that workers report to, by its name.
    """

    def __init__(self, rules: Rules, times: dict[str, float], flavor: dict[str, Any], rng: random.Random) -> None:
        self.rules = rules
        self.times = times
        self.flavor = flavor
        self.rng = rng
        self.nodes: dict[str, str] = {}
        self.workers: dict[str, Worker] = {}
        self.results: set[str] = set()
        self.saved: dict[str, float] = {}

    def spec(self, job: str) -> dict[str, Any]:
        """Return a job's submission."""
        return self.rules.jobs[job].spec

    async def add(self, name: str, zone: str, *, spot: bool) -> Worker:
        """Start the worker of a machine that is up."""
        worker = Worker(self, name, zone, spot)
        await worker.start()
        self.workers[name] = worker
        return worker

    def remove(self, name: str) -> None:
        """End a machine with all that is on it."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.end("machine gone")

    async def run(self) -> None:
        """Advance all tasks, until cancelled."""
        while True:
            now = time.monotonic()
            for worker in list(self.workers.values()):
                worker.step(now)
            self._step_gangs(now)
            self.rules.check_cancelled()
            await asyncio.sleep(STEP_S)

    def _step_gangs(self, now: float) -> None:
        gangs: dict[tuple[str, int], list[tuple[Worker, Task]]] = {}
        for worker in self.workers.values():
            for task in worker.tasks.values():
                if task.tide != "exited" and task.job in self.rules.jobs and self.spec(task.job)["shape"] == "ensemble":
                    gangs.setdefault((task.job, task.launch), []).append((worker, task))
        for (job, _), members in gangs.items():
            self._step_gang(job, members, now)

    def _step_gang(self, job: str, members: list[tuple[Worker, Task]], now: float) -> None:
        spec = self.spec(job)
        run_s = self.rules.jobs[job].run_s
        alive = [(worker, task) for worker, task in members if not worker.hung]
        waiting = [m for m in alive if m[1].tide == "gathering"]
        running = [m for m in alive if m[1].tide == "running"]
        saving = [m for m in alive if m[1].tide == "saving"]
        if len(waiting) == spec["shards"]:
            for _worker, task in waiting:
                task.tide, task.since, task.base = "running", now, self.saved.get(job, 0.0)
        elif len(running) == spec["shards"]:
            if now - running[0][1].since + running[0][1].base >= run_s:
                for worker, task in running:
                    worker.exit(task, "done")
        elif len(saving) == spec["shards"] and all(now - (t.stop_at or now) >= spec["stowS"] for _, t in saving):
            first = min(t.stop_at or now for _, t in saving)
            self.saved[job] = saving[0][1].base + max(0.0, first - saving[0][1].since)
            for worker, task in saving:
                task.stored = True
                worker.exit(task, "stopped")
        else:
            self._step_incomplete(job, waiting, running + saving, now)

    def _step_incomplete(
        self, job: str, waiting: list[tuple[Worker, Task]], begun: list[tuple[Worker, Task]], now: float
    ) -> None:
        for worker, task in waiting:
            if now - task.since >= self.times["gang_wait_s"]:
                worker.exit(task, "incomplete")
        for worker, task in begun:
            task.left_at = task.left_at or now
            if now - task.left_at >= self.times["gang_peer_s"]:
                mark = self.spec(job)["markS"]
                if mark:
                    worked = task.base + task.left_at - task.since
                    self.saved[job] = max(self.saved.get(job, 0.0), worked - worked % mark)
                worker.exit(task, "mates_gone")


class Worker:
    """The worker of one machine.

    Attributes:
        hung: Whether the machine hangs: it runs nothing, sends nothing and answers nothing.
        faulty: Whether every task that it starts fails.
        deaf: Whether answers and direct commands to it are lost, while its reports arrive.
        mute: Controllers that it cannot reach.
        answer_delay_s: How long the answers to its reports are on their way, in seconds.
        command_delay_s: How long direct commands are held up, in seconds.
    """

    def __init__(self, fleet: Fleet, name: str, zone: str, spot: bool) -> None:
        self.fleet = fleet
        self.name, self.zone, self.spot = name, zone, spot
        self.watch, self.tally, self.helm = 1, 0, 0
        self.recall_s: float | None = None
        self.tasks: dict[str, Task] = {}
        self.images: set[str] = set()
        self.hung = self.deaf = self.faulty = False
        self.mute: set[str] = set()
        self.answer_delay_s = self.command_delay_s = 0.0
        self.renewed_at = time.monotonic()
        self.changed = asyncio.Event()
        self.last_reports: list[bytes] = []
        self.server = Server(self._handle)
        self._helm_changed_at = -1e9
        self._loop: asyncio.Task[None] | None = None
        self.node = ""

    async def start(self) -> None:
        """Listen for direct commands and begin to report."""
        await self.server.start()
        self._loop = asyncio.create_task(self._run())

    def end(self, why: str) -> None:
        """End the worker with all its tasks."""
        if self._loop is not None:
            self._loop.cancel()
        self.server.close()
        self._kill_all(why)

    def restart(self) -> None:
        """Let the machine restart at once: all its tasks and counts are gone."""
        self._kill_all("machine restarted")
        self.watch, self.tally, self.helm = 1, 0, 0
        self.renewed_at = time.monotonic()
        self.changed.set()

    # tasks

    def _kill_all(self, why: str) -> None:
        for task in list(self.tasks.values()):
            if task.tide not in ("fetching", "exited"):
                self.fleet.rules.task_off(task.shard, self.name, why)
        self.tasks.clear()

    def exit(self, task: Task, wake: str) -> None:
        """End a task."""
        if task.tide == "exited":
            return
        was_on = task.tide != "fetching"
        task.tide, task.wake = "exited", wake
        if wake == "done":
            self.fleet.results.add(task.shard)
        if was_on:
            self.fleet.rules.task_off(task.shard, self.name, wake)
        self.changed.set()

    def step(self, now: float) -> None:
        """Advance the lease and the tasks that do not depend on others.

        A machine that hangs goes on within its lease only, so that its tasks are gone when the lease is over.
        """
        if now - self.renewed_at > self.fleet.times["lease_s"]:
            self.fleet.rules.write(f"lease of {self.name} is over")
            self._kill_all("lease")
            self.watch, self.renewed_at = self.watch + 1, now
            self.changed.set()
        for task in [] if self.hung else list(self.tasks.values()):
            self._step_task(task, now)

    def _step_task(self, task: Task, now: float) -> None:
        if task.tide == "exited":
            return
        spec = self.fleet.spec(task.job)
        if task.tide == "fetching" and now >= task.ready_at:
            self.images.add(spec["cargo"])
            self._have_image(task, spec, now)
        elif task.tide == "running" and spec["shape"] == "array":
            worked = task.base + now - task.since
            if worked >= self.fleet.rules.jobs[task.job].run_s:
                self.exit(task, "done")
            elif spec["markS"]:
                self.fleet.saved[task.shard] = worked - worked % spec["markS"]
        elif task.tide == "saving" and spec["shape"] != "ensemble" and now - (task.stop_at or now) >= spec["stowS"]:
            self.fleet.saved[task.shard] = task.base + (task.stop_at or now) - task.since
            task.stored = True
            self.exit(task, "stopped")

    def _have_image(self, task: Task, spec: dict[str, Any], now: float) -> None:
        self.fleet.rules.task_on(task.shard, self.name, self.zone, self.fleet.flavor["name"], spot=self.spot)
        task.since = now
        task.tide = "gathering" if spec["shape"] == "ensemble" else "running"
        task.base = self.fleet.saved.get(task.shard, 0.0)
        self.changed.set()
        if self.faulty:
            self.exit(task, "error")
            return
        if task.shard in self.fleet.results:
            self.exit(task, "done")

    def _execute(self, signals: list[dict[str, Any]]) -> None:
        for signal in signals:
            shard, launch = signal["shard"], signal["launch"]
            task = self.tasks.get(f"{shard}#{launch}")
            if signal["signal"] == "start" and task is None:
                self._start(shard, launch)
            elif signal["signal"] == "stop" and task is not None:
                self._stop(task, float(signal.get("mooringS") or 0.0))
            elif signal["signal"] == "forget" and task is not None and task.tide == "exited":
                del self.tasks[f"{shard}#{launch}"]

    def _start(self, shard: str, launch: int) -> None:
        now = time.monotonic()
        task = Task(shard, launch)
        rules = self.fleet.rules
        rules.write(f"start {shard} launch {launch} arrives at {self.name}")
        job = rules.jobs.get(task.job)
        busy = any(other.shard == shard and other.tide != "exited" for other in self.tasks.values())
        self.tasks[f"{shard}#{launch}"] = task
        self.changed.set()
        if job is None or job.submitted_at is None or int(shard.rpartition("/")[2]) >= job.spec["shards"]:
            task.tide, task.wake = "exited", "no_such"
            rules.break_rule("invented", f"start of {shard} arrives at {self.name}, and nobody sent that work")
        elif busy:
            task.tide, task.wake = "exited", "busy"
        elif not self._has_room():
            task.tide, task.wake = "exited", "no_room"
        else:
            has_image = job.spec["cargo"] in self.images
            fetch_s = job.spec["pullGb"] / self.fleet.flavor["pullGbPerS"]
            task.ready_at = now if has_image else now + fetch_s

    def _used(self, resource: str) -> float:
        return float(sum(self.fleet.spec(t.job)[resource] for t in self.tasks.values() if t.tide != "exited"))

    def busy_cpus(self) -> float:
        """Return how many CPUs the tasks on the machine take."""
        return self._used("cpus")

    def _has_room(self) -> bool:
        """Return whether all tasks fit, of which the one to be started is listed already."""
        return all(self._used(name) <= self.fleet.flavor[name] + 1e-6 for name in ("cpus", "cards", "ramGb"))

    def _stop(self, task: Task, grace_s: float) -> None:
        if task.tide == "exited":
            return
        spec = self.fleet.spec(task.job)
        if task.tide == "running" and spec["markS"] and grace_s >= spec["stowS"]:
            task.tide, task.stop_at = "saving", time.monotonic()
            self.changed.set()
        elif task.tide != "saving" or grace_s == 0:
            self.exit(task, "stopped")

    # messages

    def report(self) -> bytes:
        """Return the next report."""
        self.tally += 1
        message = {
            "vessel": self.name, "addr": self.server.address, "hull": self.fleet.flavor["name"], "quay": self.zone,
            "driftwood": self.spot, "watch": self.watch, "tally": self.tally, "helm": self.helm,
            "recallS": self.recall_s, "shards": [task.report() for task in self.tasks.values()],
        }  # fmt: skip
        return json.dumps(message, separators=(",", ":")).encode()

    def _see(self, helm: int) -> None:
        if helm > self.helm:
            now = time.monotonic()
            self.helm = helm
            if now - self._helm_changed_at > self.fleet.times["lease_s"] / 2:
                self._helm_changed_at = now
                self.changed.set()

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        if self.command_delay_s and path == "/do":
            await asyncio.sleep(self.command_delay_s)
        while self.hung:
            await asyncio.sleep(0.05)
        if self.deaf:
            return None
        if path == "/show":
            return 200, self.report()
        message = json.loads(body)
        if "helm" not in message or "watch" not in message:
            return 400, b"{}"
        if message["helm"] < self.helm or message["watch"] != self.watch:
            return 409, self.report()
        self._see(message["helm"])
        if message.get("signals"):
            self.fleet.rules.write(f"do {self.name} helm {message['helm']}: {message['signals']}")
        self._execute(message.get("signals") or [])
        self.step(time.monotonic())
        return 200, self.report()

    async def _run(self) -> None:
        rng = self.fleet.rng
        clients: dict[str, Client] = {}
        self.node = rng.choice(sorted(self.fleet.nodes))
        while True:
            interval = self.fleet.times["report_s"] * rng.uniform(0.75, 1.25)
            begun = time.monotonic()
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)
            left = interval - (time.monotonic() - begun)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0.01, left))
            while self.hung:
                await asyncio.sleep(STEP_S)
            self.step(time.monotonic())
            self.changed.clear()
            while True:
                client = clients.setdefault(self.node, Client(self.fleet.nodes[self.node]))
                if await self._report_once(client):
                    break
                self.step(time.monotonic())

    def _next_node(self) -> str:
        names = sorted(self.fleet.nodes)
        return names[(names.index(self.node) + 1) % len(names)]

    async def _report_once(self, client: Client) -> bool:
        """Send one report; return False if another has to be sent to another node at once."""
        sent_at, watch = time.monotonic(), self.watch
        body = self.report()
        self.last_reports = [*self.last_reports[-50:], body]
        try:
            if self.node in self.mute:
                await asyncio.sleep(REPORT_TIMEOUT_S)
                raise NoAnswerError("mute")
            status, answer, _ = await client.request("POST", "/checkin", body, REPORT_TIMEOUT_S)
            if self.answer_delay_s:
                await asyncio.sleep(min(self.answer_delay_s, REPORT_TIMEOUT_S + 1))
            if self.deaf or time.monotonic() - sent_at > REPORT_TIMEOUT_S:
                await asyncio.sleep(max(0.0, REPORT_TIMEOUT_S - (time.monotonic() - sent_at)))
                client.close()
                raise NoAnswerError("the answer was lost")
        except NoAnswerError:
            self.node = self._next_node()
            await asyncio.sleep(RETRY_S)
            return False
        while self.hung:
            await asyncio.sleep(STEP_S)
        self.step(time.monotonic())
        if time.monotonic() - sent_at > REPORT_TIMEOUT_S or watch != self.watch:
            return True
        if status == 421:
            target = json.loads(answer or b"{}").get("harborMaster")
            client.close()
            if target in self.fleet.nodes and target != self.node:
                self.node = target
                await asyncio.sleep(self.fleet.rng.uniform(0.0, 0.5))
            else:
                self.node = self._next_node()
                await asyncio.sleep(RETRY_S)
            return False
        if status != 200:
            self.node = self._next_node()
            await asyncio.sleep(RETRY_S)
            return False
        response = json.loads(answer)
        if response.get("helm", -1) >= self.helm:
            self._see(response["helm"])
            self.renewed_at = max(self.renewed_at, sent_at)
            self._execute(response.get("signals") or [])
        return True
