"""A small deployment on loopback: the project's controllers as processes, and stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from .cloud import Cloud
from .http1 import HOST, NoAnswerError, Relay, request_once
from .rules import JobHistory, Rules
from .state_service import StateService
from .workers import Fleet


class CaseError(Exception):
    """The case could not be brought about."""


ROOT = Path(__file__).resolve().parents[2]
POLL_TIMEOUT_S, REQUEST_TIMEOUT_S = 2.0, 5.0

#: The small deployment of the page "What its users need": detaxe-casa.
DETAXE: dict[str, Any] = {
    "zones": ["casa-north", "marrakech-air", "tanger-port"],
    "teams": [(f"refunds-ops-{i:02d}", 90.0, 270.0) for i in range(10)],
    "workers": {"report_s": 3.0, "lease_s": 21.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 51.0},
    "state": {"rps": 250.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 8.0},
    "quota": {"cpu": 1.0, "memory_mb": 266.0, "sockets": 2000},
    "objectives": [
        {"kind": "wait", "class": "refund-reconcile", "within_s": 40.0, "share": 0.85},
        {"kind": "finished", "class": "refund-reconcile", "within_s": 120.0, "share": 0.85},
        {"kind": "deadline", "class": "receipt-ocr", "share": 0.94, "times": 1.0},
        {"kind": "finished", "class": "fx-rate-backfill", "within_s": 150.0, "share": 0.88},
        {"kind": "finished", "class": "fx-rate-backfill", "within_s": 250.0, "share": 0.94},
        {"kind": "guarantee", "within_s": 10.0, "share": 0.95},
    ],
    "skew_ms": 1000.0,
    "flavor": {
        "name": "atlas-rack", "cpus": 16, "cards": 0, "ramGb": 64, "localGb": 50, "pullGbPerS": 0.5, "price": 0.66,
        "spotPrice": 0.27, "bootS": 35, "quays": ["casa-north", "marrakech-air", "tanger-port"],
    },
}  # fmt: skip
#: The other small deployment: lonchera-uio.
LONCHERA: dict[str, Any] = {
    "zones": ["quito-sur", "guayaquil-centro", "cuenca-norte", "manta-puerto"],
    "teams": [(f"plataforma-{i:02d}", 60.0, 216.0) for i in range(12)],
    "workers": {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 60.0},
    "state": {"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 48},
    "cloud": {"rps": 5.0, "list_lag_s": 5.0},
    "quota": {"cpu": 0.4, "memory_mb": 146.0, "sockets": 800},
    "objectives": [
        {"kind": "wait", "class": "menu-sync", "within_s": 40.0, "share": 0.82},
        {"kind": "wait", "class": "menu-sync", "within_s": 60.0, "share": 0.9},
        {"kind": "finished", "class": "menu-sync", "within_s": 250.0, "share": 0.9},
        {"kind": "deadline", "class": "order-digest", "share": 0.85, "times": 1.0},
        {"kind": "finished", "class": "allergen-scan", "within_s": 150.0, "share": 0.82},
        {"kind": "guarantee", "within_s": 30.0, "share": 0.88},
    ],
    "skew_ms": 1000.0,
    "flavor": {
        "name": "condor-grande", "cpus": 32, "cards": 0, "ramGb": 64, "localGb": 50, "pullGbPerS": 0.5, "price": 1.55,
        "spotPrice": 0.38, "bootS": 50, "quays": ["quito-sur", "guayaquil-centro", "cuenca-norte", "manta-puerto"],
    },
}  # fmt: skip


class Ports:
    """Free loopback ports, each kept bound until the end, so that nobody else gets it before its server listens."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self) -> str:
        """Return an address with a free port, on which another process may listen."""
        keeper = socket.socket()
        keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        keeper.bind((HOST, 0))
        self._sockets.append(keeper)
        return f"{HOST}:{keeper.getsockname()[1]}"

    def close(self) -> None:
        """Give all ports up."""
        for keeper in self._sockets:
            keeper.close()


def toml_table(name: str, values: dict[str, Any]) -> str:
    """Return a table of a TOML file."""
    return f"[{name}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items()) + "\n"


class Cluster:
    """One deployment. Use `async with`; all processes end with it."""

    def __init__(self, site: dict[str, Any], *, nodes: int = 3, seed: int = 1, record: str | None = None) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self.nodes = [f"berth-{i}" for i in range(nodes)]
        teams = {name: (cpus_max, 0.0) for name, _, cpus_max in site["teams"]}
        self.rules = Rules(teams, site["workers"]["cancel_s"], record)
        self.state = StateService(site["state"], self.rng)
        self.cloud = Cloud(site["flavor"], site["cloud"], self.rng)
        self.fleet = Fleet(self.rules, site["workers"], site["flavor"], self.rng)
        self.links: dict[tuple[str, str], Relay] = {}
        #: The last process of each controller, and all processes that were started.
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._started: list[subprocess.Popen[bytes]] = []
        self.ports = Ports()
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.cloud.delete = self.fleet.remove
        self.cloud.boot = self._boot
        self._tasks: list[asyncio.Task[Any]] = []
        self.next_job = 1
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        self.command = shlex.split(run)

    async def __aenter__(self) -> Cluster:
        await self.state.start(self.nodes)
        await self.cloud.start()
        peers = {node: self.ports.take() for node in self.nodes}
        self.fleet.nodes = {node: self.ports.take() for node in self.nodes}
        for source in self.nodes:
            for target in self.nodes:
                if source != target:
                    self.links[source, target] = Relay(peers[target])
                    await self.links[source, target].start()
        for index, node in enumerate(self.nodes):
            self._write_settings(node, index, peers)
        self._tasks.append(asyncio.create_task(self.fleet.run()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self._started:
            if process.poll() is None:
                process.kill()
                process.wait()
        for worker in list(self.fleet.workers.values()):
            worker.end("end of the run")
        self.ports.close()
        self.directory.cleanup()

    def _write_settings(self, node: str, index: int, peers: dict[str, str]) -> None:
        site = self.site
        zone = {name: site["zones"][i % len(site["zones"])] for i, name in enumerate(self.nodes)}
        text = f'host_name = "{node}"\narea = "{zone[node]}"\n'
        text += f'serve_on = "{self.fleet.nodes[node]}"\npeer_listen = "{peers[node]}"\n\n'
        for other in self.nodes:
            if other != node:
                address = self.links[node, other].address
                text += f'[[known]]\nhost_name = "{other}"\narea = "{zone[other]}"\naddress = "{address}"\n\n'
        text += toml_table("outside", {"cloud": self.cloud.server.address, "state": self.state.servers[node].address})
        text += toml_table("params", {"count": len(self.nodes), "zones": site["zones"], "skew_ms": site["skew_ms"]})
        for name, cpus, cpus_max in site["teams"]:
            text += f'[[params.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {cpus_max}\n'
            text += "gpus = 0.0\ngpus_max = 0.0\n\n"
        for objective in site["objectives"]:
            text += toml_table("[params.objectives]", objective)
        for table in ("workers", "state", "cloud", "quota"):
            text += toml_table(f"params.{table}", site[table])
        (Path(self.directory.name) / f"{node}.toml").write_text(text)

    # controllers

    def start_node(self, node: str) -> None:
        """Start a controller's process with the command of the deploy file."""
        log = open(Path(self.directory.name) / f"{node}.log", "ab")  # noqa: SIM115
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        settings = str(Path(self.directory.name) / f"{node}.toml")
        self.processes[node] = subprocess.Popen(
            [*self.command, settings], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment
        )
        log.close()
        self._started.append(self.processes[node])
        self.rules.write(f"node {node} starts")

    def signal_node(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a controller's process."""
        process = self.processes.get(node)
        if process is not None and process.poll() is None:
            self.rules.write(f"node {node} gets {number.name}")
            process.send_signal(number)

    def kill(self, node: str) -> None:
        """End a controller's process with no warning."""
        process = self.processes.get(node)
        if process is not None and process.poll() is None:
            self.signal_node(node, signal.SIGKILL)
            process.wait()

    def check_processes(self) -> None:
        """Check that every controller that was started and not killed still runs."""
        for node, process in self.processes.items():
            if process.poll() is not None and process.returncode != -signal.SIGKILL:
                raise CaseError(f"{node} ended with status {process.returncode}")

    def log_of(self, node: str) -> str:
        """Return what a controller has logged."""
        return (Path(self.directory.name) / f"{node}.log").read_text(errors="replace")

    def leader(self) -> str | None:
        """Return the controller that holds the leader key, by the state service."""
        found = self.state.data.get("leader")
        return found[0]["name"] if found else None

    async def add_machines(self, count: int, *, spot: bool = False) -> None:
        """Add machines that are up, spread over the zones."""
        zones = self.site["flavor"]["quays"]
        for i in range(count):
            zone = zones[i % len(zones)]
            name = self.cloud.new_machine(zone, spot)
            worker = await self.fleet.add(name, zone, spot=spot)
            self.cloud.set_up(name, worker.server.address)

    def _boot(self, name: str, zone: str, spot: bool) -> None:
        async def boot() -> None:
            await asyncio.sleep(self.site["flavor"]["bootS"] * self.rng.uniform(0.6, 1.5))
            if name in self.cloud.machines:
                worker = await self.fleet.add(name, zone, spot=spot)
                self.cloud.set_up(name, worker.server.address)

        self._tasks.append(asyncio.create_task(boot()))

    async def wait_for_leader(self, timeout_s: float = 25.0) -> str:
        """Wait until a controller holds the leader key, and return its name."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            name = self.leader()
            if name is not None:
                return name
            await asyncio.sleep(0.05)
        raise CaseError("no controller leads")

    async def must_accept(self, job_id: str, limit_s: float = 20.0) -> None:
        """Submit a job like a user, and check that it is accepted."""
        if not await self.insist("submit", job_id, limit_s=limit_s):
            raise CaseError(f"{job_id} was not accepted")

    def write_logs(self) -> None:
        """Write the controllers' lines on leadership and errors into the record."""
        for node in self.nodes:
            for line in self.log_of(node).splitlines():
                if "leadership_changed" in line or "ERROR" in line or "Error" in line or "term_loaded" in line:
                    self.rules.write(f"log of {node}: {line[:300]}")

    async def start(self, machines: int, *, timeout_s: float = 30.0) -> bool:
        """Start all controllers and machines; return whether every machine was answered in time."""
        await self.add_machines(machines)
        for node in self.nodes:
            self.start_node(node)
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            await asyncio.sleep(0.1)
            if self.leader() and all(worker.helm for worker in self.fleet.workers.values()):
                return True
        return False

    async def must_start(self, machines: int) -> None:
        """Start all controllers and machines, and check that every machine was answered."""
        if not await self.start(machines):
            raise CaseError("the machines were not answered")

    # users

    def new_job(self, *, team: str, run_s: float = 5.0, **fields: Any) -> str:
        """Make a job that is not submitted yet, and return its id."""
        job_id = f"j-{self.next_job:06d}"
        self.next_job += 1
        spec: dict[str, Any] = {
            "ref": job_id, "lane": "fx-rate-backfill", "crew": team, "shape": "array", "rank": "standard", "shards": 1,
            "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "cargo": "img-01", "pullGb": 0.0, "hulls": None, "quay": None,
            "samePlace": False, "scatter": False, "driftwood": True, "reckonS": run_s, "markS": 0.0, "stowS": 0.0,
            "dueS": None,
        }  # fmt: skip
        self.rules.jobs[job_id] = JobHistory(spec | fields, run_s)
        return job_id

    async def ask(self, what: str, job_id: str, node: str) -> tuple[int, str]:
        """Send one request of a user to a controller; return status and state, or 0 if there was no answer."""
        job = self.rules.jobs[job_id]
        asked_at = self.rules.now()
        path, method, body = f"/v2/runs/{job_id}", "GET", b""
        if what == "submit":
            path, method, body = "/v2/runs", "POST", json.dumps(job.spec).encode()
            job.submitted_at = job.submitted_at or asked_at
        elif what == "abort":
            path, method = f"{path}/abort", "POST"
            job.cancel_asked_at = job.cancel_asked_at or asked_at
        timeout_s = POLL_TIMEOUT_S if what == "poll" else REQUEST_TIMEOUT_S
        try:
            status, answer, _ = await request_once(self.fleet.nodes[node], method, path, body, timeout_s)
        except NoAnswerError as error:
            self.rules.write(f"{what} {job_id} asked {asked_at:.3f} of {node}: no answer ({error})")
            return 0, ""
        state = ""
        if status in (200, 201):
            state = json.loads(answer)["tide"]
        self.rules.told(job_id, what, asked_at, node, status, state)
        return status, state

    def pick_node(self) -> str:
        """Return a controller whose process runs, as the load balancer would."""
        up = [n for n in self.nodes if n in self.processes and self.processes[n].poll() is None]
        return self.rng.choice(up or self.nodes)

    async def insist(self, what: str, job_id: str, *, limit_s: float = 60.0, node: str | None = None) -> bool:
        """Submit or cancel, again and again like a user; return whether it was answered 200 or 201."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _ = await self.ask(what, job_id, node or self.pick_node())
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False
