"""What is around one cluster, on loopback: state service, cloud and workers by their protocols, with faults."""

from __future__ import annotations

import json
import math
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import gevent
import msgspec
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from ..clients.http import HttpTransport, UnreachableError
from ..storage.job_records import live_key
from ..wire.cloud import MachineType
from ..wire.jobs import JobSpec
from ..wire.workers import DirectCommands, HeartbeatResponse, Redirect
from .cloud import CloudEmulator
from .kv_store import KeyValueStoreEmulator
from .task_execution import EventRecorder, TaskExecution, TaskRunner

HOST = "127.0.0.1"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    429: "Too Many Requests",
    503: "Service Unavailable",
}
TICK_S = 0.05
#: how an answer about changes ends that has none
NO_EVENTS_SUFFIX = b'"events": []}'


def start_http_server(handle: Callable[[str, str, bytes], tuple[int, bytes]]) -> WSGIServer:
    """A started server on a free port of loopback."""

    def app(environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        path, query = environ["PATH_INFO"], environ.get("QUERY_STRING")
        body = environ["wsgi.input"].read()
        status, answer = handle(environ["REQUEST_METHOD"], f"{path}?{query}" if query else path, body)
        start(f"{status} {REASON_PHRASES[status]}", [("Content-Type", "application/json")])
        return [answer]

    server = WSGIServer((HOST, 0), app, log=None, error_log=None)
    server.start()
    return server


class HttpStoreEmulator:
    """The state service behind HTTP: watches wait, requests are limited, and it can fall silent, refuse or be late."""

    def __init__(self, clock: Callable[[], float], rps: float = 2000.0, write_rps: float = math.inf) -> None:
        self.store = KeyValueStoreEmulator(clock)
        self.store.rps, self.store.write_rps = rps, write_rps
        self.clock = clock
        self.unresponsive = False
        self.response_delay_s = 0.0
        #: transactions that were made; all requests, those above a limit, and bytes of paths, bodies and answers
        self.commit_count = self.request_count = self.rejected_count = self.byte_count = 0
        self._changed = Event()
        self._notified_revision = self.store.revision
        self.server = start_http_server(self.handle)
        self.address = f"{HOST}:{self.server.server_port}"
        gevent.spawn(self._run_lease_expiry)

    def handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer one request over HTTP, late or not at all while told so, and count it."""
        while self.unresponsive:
            gevent.sleep(0.1)  # holds are given their full time again when the silence ends (`speak`)
        if self.response_delay_s:
            gevent.sleep(self.response_delay_s)
        status, answer = self.store.request(method, path, body, 0.0)
        if status == 200 and path.startswith("/changes") and answer.endswith(NO_EVENTS_SUFFIX):
            status, answer = self._watch(path)
        self.request_count += 1
        self.rejected_count += status == 429
        self.byte_count += len(path) + len(body) + len(answer)
        self.commit_count += path == "/commit" and status == 200
        self._notify_watches()
        return status, answer

    def _notify_watches(self) -> None:
        """Wakes the watches if anything has changed."""
        if self.store.revision != self._notified_revision:
            self._notified_revision = self.store.revision
            self._changed.set()
            self._changed = Event()

    def _run_lease_expiry(self) -> None:
        """Holds end though nobody asks."""
        while True:
            gevent.sleep(TICK_S)
            if not self.unresponsive and not self.store.unavailable:
                self.store.expire_leases()
                self._notify_watches()

    def _watch(self, path: str) -> tuple[int, bytes]:
        """Waits for a change under the prefix; nothing has changed there so far."""
        query = dict(x.split("=", 1) for x in path.partition("?")[2].split("&"))
        prefix, seen = unquote(query["prefix"]), self.store.revision
        end = self.clock() + float(query.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            while self.unresponsive:
                gevent.sleep(0.1)
            events, seen = self.store.changes_after(prefix, seen), self.store.revision
            left = end - self.clock()
            if events or left <= 0:
                return 200, json.dumps({"logline": seen, "events": events}).encode()
            changed.wait(left)

    def resume_responses(self) -> None:
        """Ends a silence: all holds have their full time again."""
        self.unresponsive = False
        for hold, (life, _) in list(self.store.leases.items()):
            self.store.leases[hold] = (life, self.clock() + life)


class EmulatedSite:
    """A cluster without its controllers; those are started by `processes`."""

    def __init__(
        self, name: str, types: list[MachineType], workers: dict[str, float], tell: EventRecorder, seed: int
    ) -> None:
        self.name = name
        self.clock = time.monotonic
        self.rng = random.Random(f"{seed} {name}")
        self.machine_types = {t.name: t for t in types}
        self.heartbeat_interval_s = workers["report_s"]
        self.store = HttpStoreEmulator(self.clock)
        self.cloud = CloudEmulator()
        self.cloud.machine_types = types
        self.cloud.free_capacity = 0
        self.cloud.on_rented, self.cloud.on_deleted = self._boot_rented_machines, self._delete_machines
        self._cloud_server = start_http_server(lambda method, path, body: self.cloud.request(method, path, body, 0.0))
        self.cloud_address = f"{HOST}:{self._cloud_server.server_port}"
        self.task_execution = TaskExecution(
            name, workers["lease_s"], workers["gang_wait_s"], workers["gang_peer_s"], self._find_job_spec, tell
        )
        self._specs: dict[str, JobSpec] = {}
        #: controllers that workers report to, by name
        self.controller_addresses: dict[str, str] = {}
        self._servers: dict[str, WSGIServer] = {}
        gevent.spawn(self._run_tasks)

    def _find_job_spec(self, job: str) -> JobSpec | None:
        """As it was uploaded; here, as the accepted job's record has it."""
        if job not in self._specs:
            found = self.store.store.data.get(live_key(job))
            if found is None:
                return None
            self._specs[job] = msgspec.convert(found[0]["spec"], JobSpec)
        return self._specs[job]

    def _run_tasks(self) -> None:
        while True:
            self.task_execution.step(self.clock())
            gevent.sleep(TICK_S)

    # machines ---------------------------------------------------------------------------------------------

    def add_machine(self, kind: str, zone: str, spot: bool = False, name: str | None = None) -> TaskRunner:
        """A machine that is up: its worker reports from now on."""
        if name is None:
            name = f"n-{self.cloud.next_machine_number:06d}"
            self.cloud.next_machine_number += 1
        player = TaskRunner(name, zone, spot, type=kind)
        server = start_http_server(lambda method, path, body: self._handle_direct_request(player, path, body))
        player.addr = f"{HOST}:{server.server_port}"
        self._servers[name] = server
        self.task_execution.add_worker(player, self.clock())
        entry = {"ref": name, "addr": player.addr, "hull": kind, "quay": zone, "driftwood": spot, "tide": "running"}
        self.cloud.listed_machines = sorted([*self.cloud.listed_machines, entry], key=lambda e: str(e["ref"]))
        gevent.spawn(self._run_heartbeats, player)
        return player

    def fail_machine(self, name: str) -> None:
        """The machine dies: nothing more is heard from it, and the cloud lists it as failed."""
        self.task_execution.remove_worker(name, self.clock())
        for entry in self.cloud.listed_machines:
            if entry["ref"] == name:
                entry["tide"] = "failed"
        server = self._servers.pop(name, None)
        if server is not None:
            server.stop(timeout=0.1)

    def _boot_rented_machines(self, names: list[str], want: dict[str, Any]) -> None:
        def boot(name: str) -> None:
            gevent.sleep(self.machine_types[want["hull"]].boot_s * (0.6 + 0.9 * self.rng.random()))
            if name not in self.cloud.deleted_machines:
                self.add_machine(want["hull"], want["quay"], want["driftwood"], name)

        for name in names:
            gevent.spawn(boot, name)

    def _delete_machines(self, names: list[str]) -> None:
        for name in names:
            self.fail_machine(name)
        self.cloud.listed_machines = [e for e in self.cloud.listed_machines if e["ref"] not in names]

    # the workers' side of the protocol --------------------------------------------------------------------

    def _handle_direct_request(self, player: TaskRunner, path: str, body: bytes) -> tuple[int, bytes]:
        while self.clock() < player.hung_until:
            gevent.sleep(0.05)
        if path == "/show":
            return 200, msgspec.json.encode(player.next_heartbeat())
        try:
            orders = msgspec.json.decode(body, type=DirectCommands)
        except msgspec.DecodeError:
            return 400, b"{}"
        status, report = player.handle_direct_commands(orders)
        return status, msgspec.json.encode(report)

    def _run_heartbeats(self, player: TaskRunner) -> None:
        names = sorted(self.controller_addresses)
        at = self.rng.choice(names) if names else ""
        wires: dict[str, HttpTransport] = {}
        while self.task_execution.workers.get(player.name) is player:
            end = self.clock() + self.heartbeat_interval_s * (0.75 + 0.5 * self.rng.random())
            gevent.sleep(min(0.5, self.heartbeat_interval_s / 2))
            while self.clock() < end and not player.heartbeat_due:
                gevent.sleep(0.05)
            if self.clock() < player.hung_until or not self.controller_addresses:
                continue
            player.heartbeat_due = False
            at, good = self._send_heartbeat(player, at, wires)
            if not good:
                gevent.sleep(0.3)
        for wire in wires.values():
            wire.close()

    def _send_heartbeat(self, player: TaskRunner, at: str, wires: dict[str, HttpTransport]) -> tuple[str, bool]:
        """One report; the controller for the next one, and whether this one was answered."""
        names = sorted(self.controller_addresses)
        following = names[(names.index(at) + 1) % len(names)] if at in names else names[0]
        address = self.controller_addresses.get(at)
        if address is None:
            return following, False
        wire = wires.get(address)
        if wire is None:
            host, _, port = address.rpartition(":")
            wire = wires[address] = HttpTransport(host, int(port), 1)
        sent = self.clock()
        report = player.next_heartbeat()
        try:
            status, body = wire.request("POST", "/checkin", msgspec.json.encode(report), 4.0)
            if status == 421:
                other = msgspec.json.decode(body, type=Redirect).report_to
                return (other, True) if other in names and other != at else (following, False)
            if status != 200:
                return following, False
            orders = msgspec.json.decode(body, type=HeartbeatResponse)
        except (UnreachableError, msgspec.DecodeError):
            return following, False
        if orders.token >= player.token and report.epoch == player.epoch:
            player.lease_renewed_at = max(player.lease_renewed_at, sent)
            player.apply_response(orders)
        return at, True
