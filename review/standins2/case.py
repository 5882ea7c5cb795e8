"""One case: controllers as the deploy file starts them, stand-ins around them, users, a record and the checks."""

from __future__ import annotations

import asyncio
import os
import random
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from . import web
from .cloud import Cloud
from .site import Site, reserve_ports, write_settings
from .state import StateService
from .workers import Fleet, Machine

ROOT = Path(__file__).resolve().parents[2]
CONTROLLERS = 3
READY_TIMEOUT_S = 20.0
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, RETRY_S, GIVE_UP_S = 5.0, 2.0, 1.0, 60.0
POLL_INTERVAL_S = 5.0
#: The rule: no job waits this long while a machine that fits has room and its team is under its limit.
LONGEST_WAIT_S = 90.0
SAMPLE_S = 0.25


class CannotRunError(Exception):
    """The case could not run."""


class Case:
    """Runs one case; use it as an asynchronous context manager.

    Attributes:
        trouble: Whether the disruption is made.
        trouble_over_at: When the disruption was over, or None while it is not.
        answers: The last state that a poll told, by job id.
    """

    def __init__(self, folder: Path, site: Site, seed: int = 1) -> None:
        self.site = site
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.trouble_over_at: float | None = None
        self.began_at = time.monotonic()
        self.answers: dict[str, str] = {}
        self.rng = random.Random(seed)
        self.fleet = Fleet(site, self._task_event, seed)
        self.state = StateService(site.state, site.state_delay_s)
        self.cloud = Cloud(self.fleet)
        self._record = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - closed by __aexit__
        self._directory = tempfile.TemporaryDirectory(prefix="case-")
        self._ports = reserve_ports(2 * CONTROLLERS)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._waiting_since: dict[str, float] = {}
        self.longest_wait: dict[str, float] = {}

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        """Write one line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    def _task_event(self, what: str, machine: str, task: str, attempt: int, why: str) -> None:
        self.note(f"{machine} {what} {task} {attempt} {why}".rstrip())

    # processes --------------------------------------------------------------------------------------------

    async def __aenter__(self) -> Case:
        await self.state.start()
        await self.cloud.start()
        directory = Path(self._directory.name)
        ports = [reserved.getsockname()[1] for reserved in self._ports]
        self.fleet.controllers = write_settings(self.site, directory, self.cloud.address, self.state.address, ports)
        for name in self.fleet.controllers:
            self.start_controller(name)
        return self

    def start_controller(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        command = [*shlex.split(run), str(Path(self._directory.name) / f"{name}.toml")]
        with open(Path(self._directory.name) / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )  # fmt: skip
        self.note(f"{name} is started")

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            for name in self._processes:
                log = Path(self._directory.name) / f"{name}.log"
                Path(os.environ["KEEP_LOGS"], f"{name}.log").write_bytes(log.read_bytes())
        for reserved in self._ports:
            reserved.close()
        self._directory.cleanup()
        self._record.close()

    async def wait_until_ready(self) -> None:
        """Wait until every machine has heard of a leader.

        Raises:
            CannotRunError: That takes too long.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(machine.helm for machine in self.fleet.alive()):
            ended = [name for name, process in self._processes.items() if process.poll() is not None]
            if ended:
                raise CannotRunError(f"ended by themselves: {', '.join(ended)}")
            if time.monotonic() > end:
                raise CannotRunError("no leader in time")
            await asyncio.sleep(0.1)
        self.note("every machine has heard of a leader")

    # users ------------------------------------------------------------------------------------------------

    async def _ask(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any, float]:
        """Send a user's request to one controller; return status, body and the time to wait before a retry."""
        client = web.Client(self.fleet.controllers[self.rng.choice(sorted(self.fleet.controllers))])
        try:
            status, headers, value = await client.request(method, path, body, timeout_s)
            return status, value, max(RETRY_S, min(30.0, float(headers.get("retry-after", "0"))))
        except OSError:
            return 0, None, RETRY_S
        finally:
            client.close()

    async def submit(self, ref: str, run_s: float, **fields: Any) -> None:
        """Submit a job and poll it from then on.

        Raises:
            CannotRunError: The job is not accepted.
        """
        job = {
            "ref": ref, "lane": "review", "crew": self.site.teams[0].name, "shape": "array", "rank": "standard",
            "shards": 1, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "cargo": "img-01", "pullGb": 0.1, "hulls": None,
            "quay": None, "samePlace": False, "scatter": False, "driftwood": True, "reckonS": run_s, "markS": 0.0,
            "stowS": 0.0, "dueS": None, **fields,
        }  # fmt: skip
        if job["shape"] == "daemon":
            job["reckonS"] = 0.0
        self.fleet.jobs[ref], self.fleet.run_s[ref] = job, run_s
        end = time.monotonic() + GIVE_UP_S
        while time.monotonic() < end:
            status, value, pause_s = await self._ask("POST", "/v2/runs", job, SUBMIT_TIMEOUT_S)
            self.note(f"submit {ref} {job['shape']} {job['shards']}x{job['cpus']} {job['rank']}: {status} {value}")
            if status in (200, 201):
                asyncio.create_task(self._poll(ref))  # noqa: RUF006 - it ends with the program
                return
            if status in (400, 422):
                break
            await asyncio.sleep(pause_s)
        raise CannotRunError(f"{ref} was not accepted")

    async def _poll(self, ref: str) -> None:
        while self.answers.get(ref) not in ("done", "cancelled"):
            await asyncio.sleep(POLL_INTERVAL_S)
            status, value, _ = await self._ask("GET", f"/v2/runs/{ref}", None, POLL_TIMEOUT_S)
            self.note(f"poll {ref}: {status} {value}")
            if status == 200:
                self.answers[ref] = value["tide"]

    # observation ------------------------------------------------------------------------------------------

    def tasks_on(self, ref: str) -> dict[str, Machine]:
        """Return the tasks of a job that are present on machines, with their machines."""
        return {
            task.name: machine
            for machine in self.fleet.alive()
            for task in machine.present
            if task.job is not None and task.job["ref"] == ref
        }

    async def until(self, condition: Any, timeout_s: float, what: str) -> None:
        """Wait for a condition.

        Raises:
            CannotRunError: It does not hold in time.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"not in time: {what}")
            await asyncio.sleep(0.05)

    def _could_start(self, ref: str, counts_after_s: float) -> Machine | None:
        """Return a machine on which a waiting task of a job could start now, if there is one.

        Args:
            ref: The job's id.
            counts_after_s: A task that has been on its machine for a shorter time waits still, and its own place there
                is room for it.
        """
        job = self.fleet.jobs[ref]
        now = time.monotonic()
        present = {
            task.name: machine
            for machine in self.fleet.alive()
            for task in machine.present
            if task.job is job and (not counts_after_s or now - task.on_since >= counts_after_s)
        }
        names = [f"{ref}/{i}" for i in range(job["shards"])]
        if all(name in present or name in self.fleet.done for name in names):
            return None
        team = next(team for team in self.site.teams if team.name == job["crew"])
        left_out = ref if counts_after_s else None
        room = {machine.name: machine.free(except_job=left_out) for machine in self.fleet.alive()}
        used = sum(
            task.job["cpus"]
            for machine in self.fleet.alive()
            for task in machine.present
            if task.job is not None and task.job["crew"] == job["crew"] and not (counts_after_s and task.job is job)
        )
        if used + job["cpus"] > team.cpus_max:
            return None
        zones = {machine.zone for machine in present.values()}
        for machine in self.fleet.alive():
            free_cpus, free_gb = room[machine.name]
            if (
                job["cpus"] <= free_cpus
                and job["ramGb"] <= free_gb
                and (job["driftwood"] or not machine.spot)
                and job["quay"] in (None, machine.zone)
                and (job["hulls"] is None or machine.kind.name in job["hulls"])
                and not (job["samePlace"] and zones and machine.zone not in zones)
                and machine.recall_at is None
                and not machine.sick
            ):
                return machine
        return None

    async def watch_waits(self, refs: list[str], until_s: float, counts_after_s: float = 0.0) -> list[str]:
        """Watch these jobs until a time of the case; return those that broke the rule on waiting.

        A job counts as waiting while it has a task that is on no machine and not done, and some machine has room for
        it. A moment in which that does not hold begins its wait anew. The time before the trouble was over is not
        counted.

        Args:
            refs: The jobs' ids.
            until_s: When to end.
            counts_after_s: A start counts only once its task has been on its machine for this long, or is done.
        """
        broken: list[str] = []
        while self.now() < until_s and len(broken) < len(refs):
            now = time.monotonic()
            for ref in refs:
                machine = self._could_start(ref, counts_after_s) if self.answers.get(ref) != "cancelled" else None
                if machine is None or self.trouble_over_at is None:
                    self._waiting_since.pop(ref, None)
                    continue
                since = self._waiting_since.setdefault(ref, now)
                self.longest_wait[ref] = max(self.longest_wait.get(ref, 0.0), now - since)
                if now - since >= LONGEST_WAIT_S and ref not in broken:
                    broken.append(ref)
                    free_cpus, free_gb = machine.free()
                    self.note(
                        f"BROKEN {ref} has waited for {now - since:.1f} s; {machine.name} in {machine.zone} has "
                        f"{free_cpus:g} CPUs and {free_gb:g} GB free"
                    )
            if all(f"{ref}/{i}" in self.fleet.done for ref in refs for i in range(self.fleet.jobs[ref]["shards"])):
                self.note("all tasks of the watched jobs are done")
                break
            await asyncio.sleep(SAMPLE_S)
        for ref, wait_s in sorted(self.longest_wait.items()):
            self.note(f"longest wait of {ref} beside room: {wait_s:.1f} s")
        return broken

    async def watch_start(self, ref: str, zone: str, until_s: float) -> list[str]:
        """Watch a job of one task that is bound to a zone; return it if nothing is done for it after the trouble.

        That is so if, for 90 s and until the end of the play, its task has not been on a machine, no machine has been
        asked for in its zone, and the cloud would have given one at any time.

        Args:
            ref: The job's id.
            zone: The only zone that the job allows.
            until_s: When to end.
        """
        assert self.trouble_over_at is not None
        task = f"{ref}/0"
        while self.now() < until_s:
            if task in self.fleet.done:
                self.note(f"{task} is done")
                return []
            if any(
                task.name.startswith(f"{ref}/") for m in self.fleet.alive() if not m.recall_at for task in m.present
            ):
                self.trouble_over_at = time.monotonic()
            await asyncio.sleep(SAMPLE_S)
        waited_s = time.monotonic() - self.trouble_over_at
        idle = [m for m in self.fleet.alive() if m.zone != zone and not m.present]
        self.note(
            f"{ref} has waited for {waited_s:.1f} s; asked for since the trouble: {self.cloud.asked}; left to rent in "
            f"{zone}: {self.cloud.capacity[zone]}; idle in other zones: {len(idle)}"
        )
        if waited_s < LONGEST_WAIT_S or self.cloud.asked.get(zone) or not self.cloud.capacity[zone]:
            return []
        self.note(f"BROKEN {ref} is not run, and no machine is rented for it")
        return [ref]

    def used_by(self, crew: str) -> float:
        """Return the CPUs of a team's tasks that are present on machines."""
        return sum(
            task.job["cpus"]
            for machine in self.fleet.alive()
            for task in machine.present
            if task.job is not None and task.job["crew"] == crew
        )

    async def watch_guarantee(self, ref: str, borrower: str, until_s: float) -> list[str]:
        """Watch a job that is within its team's guarantee; return it if another team's borrowed work keeps it waiting.

        The job counts as kept waiting while none of its tasks is on a machine or done, and the other team uses more
        than its guarantee by at least one task of the job.
        """
        job = self.fleet.jobs[ref]
        teams = {team.name: team for team in self.site.teams}
        assert job["shards"] * job["cpus"] <= teams[job["crew"]].cpus
        since = time.monotonic()
        while self.now() < until_s:
            now = time.monotonic()
            if self.tasks_on(ref) or any(name.startswith(f"{ref}/") for name in self.fleet.done):
                self.note(f"{ref} has begun after {now - since:.1f} s")
                return []
            beyond = self.used_by(borrower) - teams[borrower].cpus
            if beyond < job["cpus"]:
                since = now
            elif now - since >= LONGEST_WAIT_S:
                self.note(f"BROKEN {ref} has waited for {now - since:.1f} s; {borrower} uses {beyond:g} CPUs beyond")
                return [ref]
            await asyncio.sleep(SAMPLE_S)
        self.note(f"{ref} waits, not kept by borrowed work for long enough")
        return []


def main(play: Any, folder: Path, site: Site) -> None:
    """Run a case, and exit with 1 if a rule was broken, 0 if it held, and 2 if the case could not run."""

    async def run() -> None:
        this = asyncio.current_task()
        assert this is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)  # ends the controllers as well
        async with Case(folder, site) as case:
            try:
                broken = await play(case)
                code = 1 if broken else 0
                case.note(f"broken: {', '.join(broken)}" if broken else "the rule held")
            except CannotRunError as error:
                code = 2
                case.note(f"could not run: {error}")
        # The processes are ended and the files closed; what is left are open connections of the stand-ins.
        os._exit(code)

    try:
        asyncio.run(run())
    except (KeyboardInterrupt, asyncio.CancelledError):
        os._exit(2)  # as above
