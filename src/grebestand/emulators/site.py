"""The emulated systems around one cluster, as servers on loopback: state service, cloud and workers."""

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
#: the interval of steps of tasks and of checks for expired leases, in seconds
STEP_S = 0.05
#: how often a request looks whether the state service or a worker responds again, in seconds
RESUME_POLL_S = 0.1
#: how often a worker looks whether a heartbeat is due or the machine hangs, in seconds
WORKER_POLL_S = 0.05
#: how long a worker waits for the response to a heartbeat, in seconds
HEARTBEAT_TIMEOUT_S = 4.0
#: how long a worker waits after a failed heartbeat, in seconds
RETRY_S = 0.3
#: the end of a response to a watch that has no changes
NO_EVENTS_SUFFIX = b'"events": []}'


def start_http_server(handle: Callable[[str, str, bytes], tuple[int, bytes]]) -> WSGIServer:
    """Start an HTTP server on a free port of loopback.

    Args:
        handle: Returns the status and the body of the response to a method, a path with query, and a body.

    Returns:
        The started server.
    """

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        path, query = environ["PATH_INFO"], environ.get("QUERY_STRING")
        body = environ["wsgi.input"].read()
        status, response = handle(environ["REQUEST_METHOD"], f"{path}?{query}" if query else path, body)
        start_response(f"{status} {REASON_PHRASES[status]}", [("Content-Type", "application/json")])
        return [response]

    server = WSGIServer((HOST, 0), app, log=None, error_log=None)
    server.start()
    return server


class HttpStoreEmulator:
    """The emulated state service behind HTTP, with waiting watches, rate limits and faults.

    Attributes:
        store: The emulator that holds the data.
        clock: Returns the time in seconds.
        unresponsive: Whether requests wait until `resume_responses` is called.
        response_delay_s: The delay of every response, in seconds.
        commit_count: The number of successful commits.
        request_count: The number of answered requests.
        rejected_count: The number of requests above a rate limit.
        byte_count: The bytes of paths, bodies and responses.
        server: The HTTP server.
        address: The server's address.
    """

    def __init__(self, clock: Callable[[], float], rps: float = 2000.0, write_rps: float = math.inf) -> None:
        """Start the server.

        Args:
            clock: Returns the time in seconds.
            rps: The limit of requests per second.
            write_rps: The limit of puts and deletes per second.
        """
        self.store = KeyValueStoreEmulator(clock)
        self.store.rps, self.store.write_rps = rps, write_rps
        self.clock = clock
        self.unresponsive = False
        self.response_delay_s = 0.0
        self.commit_count = self.request_count = self.rejected_count = self.byte_count = 0
        self._changed = Event()
        self._notified_revision = self.store.revision
        self.server = start_http_server(self.handle)
        self.address = f"{HOST}:{self.server.server_port}"
        gevent.spawn(self._run_lease_expiry)

    def handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer one request, under the faults in force, and count it."""
        while self.unresponsive:
            gevent.sleep(RESUME_POLL_S)
        if self.response_delay_s:
            gevent.sleep(self.response_delay_s)
        status, response = self.store.request(method, path, body, 0.0)
        if status == 200 and path.startswith("/changes") and response.endswith(NO_EVENTS_SUFFIX):
            status, response = self._watch(path)
        self.request_count += 1
        self.rejected_count += status == 429
        self.byte_count += len(path) + len(body) + len(response)
        self.commit_count += path == "/commit" and status == 200
        self._notify_watches()
        return status, response

    def _notify_watches(self) -> None:
        """Notify the waiting watches if the revision has changed."""
        if self.store.revision != self._notified_revision:
            self._notified_revision = self.store.revision
            self._changed.set()
            self._changed = Event()

    def _run_lease_expiry(self) -> None:
        """Expire leases also while no request arrives."""
        while True:
            gevent.sleep(STEP_S)
            if not self.unresponsive and not self.store.unavailable:
                self.store.expire_leases()
                self._notify_watches()

    def _watch(self, path: str) -> tuple[int, bytes]:
        """Wait for changes after the present revision, or until the watch's time has passed."""
        query = dict(pair.split("=", 1) for pair in path.partition("?")[2].split("&"))
        prefix, revision = unquote(query["prefix"]), self.store.revision
        end = self.clock() + float(query.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            while self.unresponsive:
                gevent.sleep(RESUME_POLL_S)
            changes, revision = self.store.changes_after(prefix, revision), self.store.revision
            remaining_s = end - self.clock()
            if changes or remaining_s <= 0:
                return 200, json.dumps({"logline": revision, "events": changes}).encode()
            changed.wait(remaining_s)

    def resume_responses(self) -> None:
        """Answer requests again; all leases get their full duration, as after an outage."""
        self.unresponsive = False
        for lease_id, (duration_s, _) in list(self.store.leases.items()):
            self.store.leases[lease_id] = (duration_s, self.clock() + duration_s)


class EmulatedSite:
    """A cluster without its controllers, which `ControllerProcesses` starts.

    Attributes:
        name: The name of the cluster.
        clock: Returns the time in seconds.
        rng: Draws times of boots and heartbeats.
        machine_types: The cloud's machine types by name.
        heartbeat_interval_s: The interval between a worker's heartbeats, in seconds.
        store: The state service.
        cloud: The cloud.
        cloud_address: The address of the cloud's server.
        task_execution: The machines and the tasks on them.
        controller_addresses: By name, the addresses of the controllers that workers send heartbeats to.
    """

    def __init__(
        self,
        name: str,
        machine_types: list[MachineType],
        workers: dict[str, float],
        record_event: EventRecorder,
        seed: int,
    ) -> None:
        """Start the servers; the site has no machines yet.

        Args:
            name: The name of the cluster.
            machine_types: The cloud's machine types.
            workers: The settings of workers by their keys in the settings, in seconds.
            record_event: Called for each event of a task.
            seed: Determines the random numbers.
        """
        self.name = name
        self.clock = time.monotonic
        self.rng = random.Random(f"{seed} {name}")
        self.machine_types = {machine_type.name: machine_type for machine_type in machine_types}
        self.heartbeat_interval_s = workers["report_s"]
        self.store = HttpStoreEmulator(self.clock)
        self.cloud = CloudEmulator()
        self.cloud.machine_types = machine_types
        self.cloud.free_capacity = 0
        self.cloud.on_rented, self.cloud.on_deleted = self._boot_rented_machines, self._delete_machines
        self._cloud_server = start_http_server(lambda method, path, body: self.cloud.request(method, path, body, 0.0))
        self.cloud_address = f"{HOST}:{self._cloud_server.server_port}"
        self.task_execution = TaskExecution(
            name,
            workers["lease_s"],
            workers["gang_wait_s"],
            workers["gang_peer_s"],
            self._find_job_spec,
            record_event,
        )
        self._job_specs: dict[str, JobSpec] = {}
        self.controller_addresses: dict[str, str] = {}
        self._worker_servers: dict[str, WSGIServer] = {}
        gevent.spawn(self._run_tasks)

    def _find_job_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification in the record of an accepted job, which stands for the uploaded one, or None."""
        if job_id not in self._job_specs:
            found = self.store.store.data.get(live_key(job_id))
            if found is None:
                return None
            self._job_specs[job_id] = msgspec.convert(found[0]["spec"], JobSpec)
        return self._job_specs[job_id]

    def _run_tasks(self) -> None:
        while True:
            self.task_execution.step(self.clock())
            gevent.sleep(STEP_S)

    # machines

    def add_machine(self, machine_type: str, zone: str, spot: bool = False, name: str | None = None) -> TaskRunner:
        """Add a machine that is up, and start its worker.

        Args:
            machine_type: The name of the machine type.
            zone: The machine's zone.
            spot: Whether the machine is a spot machine.
            name: The machine's name; the cloud's next one if not given.

        Returns:
            The machine's worker.
        """
        if name is None:
            name = f"n-{self.cloud.next_machine_number:06d}"
            self.cloud.next_machine_number += 1
        worker = TaskRunner(name, zone, spot, type=machine_type)
        server = start_http_server(lambda method, path, body: self._handle_direct_request(worker, path, body))
        worker.addr = f"{HOST}:{server.server_port}"
        self._worker_servers[name] = server
        self.task_execution.add_worker(worker, self.clock())
        entry = {
            "ref": name,
            "addr": worker.addr,
            "hull": machine_type,
            "quay": zone,
            "driftwood": spot,
            "tide": "running",
        }
        self.cloud.listed_machines = sorted([*self.cloud.listed_machines, entry], key=lambda e: str(e["ref"]))
        gevent.spawn(self._run_heartbeats, worker)
        return worker

    def fail_machine(self, name: str) -> None:
        """Let a machine fail: its worker ends, and the cloud lists the machine as failed."""
        self.task_execution.remove_worker(name, self.clock())
        for entry in self.cloud.listed_machines:
            if entry["ref"] == name:
                entry["tide"] = "failed"
        server = self._worker_servers.pop(name, None)
        if server is not None:
            server.stop(timeout=0.1)

    def _boot_rented_machines(self, names: list[str], request: dict[str, Any]) -> None:
        def boot(name: str) -> None:
            gevent.sleep(self.machine_types[request["hull"]].boot_s * (0.6 + 0.9 * self.rng.random()))
            if name not in self.cloud.deleted_machines:
                self.add_machine(request["hull"], request["quay"], request["driftwood"], name)

        for name in names:
            gevent.spawn(boot, name)

    def _delete_machines(self, names: list[str]) -> None:
        for name in names:
            self.fail_machine(name)
        self.cloud.listed_machines = [entry for entry in self.cloud.listed_machines if entry["ref"] not in names]

    # workers

    def _handle_direct_request(self, worker: TaskRunner, path: str, body: bytes) -> tuple[int, bytes]:
        while self.clock() < worker.hung_until:
            gevent.sleep(WORKER_POLL_S)
        if path == "/show":
            return 200, msgspec.json.encode(worker.next_heartbeat())
        try:
            commands = msgspec.json.decode(body, type=DirectCommands)
        except msgspec.DecodeError:
            return 400, b"{}"
        status, heartbeat = worker.handle_direct_commands(commands)
        return status, msgspec.json.encode(heartbeat)

    def _run_heartbeats(self, worker: TaskRunner) -> None:
        """Send heartbeats, periodically and after changes, while the machine is up."""
        names = sorted(self.controller_addresses)
        controller = self.rng.choice(names) if names else ""
        transports: dict[str, HttpTransport] = {}
        while self.task_execution.workers.get(worker.name) is worker:
            end = self.clock() + self.heartbeat_interval_s * (0.75 + 0.5 * self.rng.random())
            gevent.sleep(min(0.5, self.heartbeat_interval_s / 2))
            while self.clock() < end and not worker.heartbeat_due:
                gevent.sleep(WORKER_POLL_S)
            if self.clock() < worker.hung_until or not self.controller_addresses:
                continue
            worker.heartbeat_due = False
            controller, succeeded = self._send_heartbeat(worker, controller, transports)
            if not succeeded:
                gevent.sleep(RETRY_S)
        for transport in transports.values():
            transport.close()

    def _send_heartbeat(
        self, worker: TaskRunner, controller: str, transports: dict[str, HttpTransport]
    ) -> tuple[str, bool]:
        """Send one heartbeat and apply the response.

        Args:
            worker: The worker.
            controller: The name of the controller that receives the heartbeat.
            transports: The worker's open transports by address.

        Returns:
            The name of the controller for the next heartbeat, and whether this one was answered or redirected.
        """
        names = sorted(self.controller_addresses)
        following = names[(names.index(controller) + 1) % len(names)] if controller in names else names[0]
        address = self.controller_addresses.get(controller)
        if address is None:
            return following, False
        transport = transports.get(address)
        if transport is None:
            host, _, port = address.rpartition(":")
            transport = transports[address] = HttpTransport(host, int(port), 1)
        sent_at = self.clock()
        heartbeat = worker.next_heartbeat()
        try:
            status, body = transport.request("POST", "/checkin", msgspec.json.encode(heartbeat), HEARTBEAT_TIMEOUT_S)
            if status == 421:
                target = msgspec.json.decode(body, type=Redirect).report_to
                return (target, True) if target in names and target != controller else (following, False)
            if status != 200:
                return following, False
            response = msgspec.json.decode(body, type=HeartbeatResponse)
        except (UnreachableError, msgspec.DecodeError):
            return following, False
        if response.token >= worker.token and heartbeat.epoch == worker.epoch:
            worker.lease_renewed_at = max(worker.lease_renewed_at, sent_at)
            worker.apply_response(response)
        return controller, True
