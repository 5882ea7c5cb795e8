"""A hollow worker: it speaks the workers' protocol as a real worker would, and its tasks take time and do nothing.

Heartbeats leave over a persistent connection; direct commands come to an address of the worker's own.
"""

from __future__ import annotations

import random
from array import array
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
import msgspec
from gevent.event import Event
from gevent.server import StreamServer

from ..wire.jobs import JobSpec, Kind, split_task
from ..wire.workers import (
    Command,
    DirectCommands,
    ExitReason,
    Heartbeat,
    HeartbeatResponse,
    Redirect,
    TaskPhase,
    TaskStatus,
)
from .connection import Connection, NoResponseError, Traffic, serve_connection
from .gang_rendezvous import MessageChannel
from .records import HollowPlan, TaskRow, UnservedRequest

#: a heartbeat is answered within this, in seconds
RESPONSE_TIMEOUT_S = 4.0
#: the pause before the next controller is tried, in seconds
NEXT_CONTROLLER_PAUSE_S = 1.0
#: the shortest interval between heartbeats, in seconds; a redirect is followed within as long
MIN_INTERVAL_S = 0.5
#: regular heartbeats are spread by this, as shares of their interval
INTERVAL_JITTER = (0.75, 1.25)
FETCH_GB_PER_S = 2.0
#: tasks of an array take between these shares of their owner's estimate
RUN_TIME_JITTER = (0.7, 1.3)
#: amounts of CPUs that differ by less are equal
CPU_TOLERANCE = 1e-6
#: connections of direct commands that wait to be taken
DIRECT_BACKLOG = 8

_encoder = msgspec.json.Encoder()
_response_decoder = msgspec.json.Decoder(HeartbeatResponse)
_direct_decoder = msgspec.json.Decoder(DirectCommands)
_redirect_decoder = msgspec.json.Decoder(Redirect)


@dataclass(slots=True, eq=False)
class HollowTask:
    """A task on a hollow worker.

    Attributes:
        status: its status, as heartbeats have it.
        job: the id of its job.
        index: its index in the job.
        spec: the description of the job, once it is known.
        on: whether it is recorded as on the machine.
        on_at: since when; it ends after that, also if its lease had expired by then.
        has_result: whether an earlier attempt has done the task, so that its result is kept.
    """

    status: TaskStatus
    job: str
    index: int
    spec: JobSpec | None = None
    on_machine: bool = False
    on_machine_since: float = 0.0
    has_result: bool = False


#: gets the description of a job, None if there is none, and whether the result of the task is kept
DescriptionHandler = Callable[[JobSpec | None, bool], None]


class WorkerHost(Protocol):
    """What a worker needs of the process that plays it; its attributes are described at `HollowProcess`."""

    plan: HollowPlan
    clock: Callable[[], float]
    rng: random.Random
    channel: MessageChannel
    rows: list[TaskRow]
    unserved: list[UnservedRequest]
    sent_at: array[float]
    waits: array[float]
    response_counts: dict[str, dict[str, int]]
    heartbeat_traffic: dict[str, Traffic]
    direct_traffic: Traffic
    dropped_responses: int
    late_responses: int
    expired_leases: int
    direct_requests: int

    def next_time(self) -> float:
        """Return the time, later than all times before."""

    def request_description(self, job: str, index: int, attempt: int, handler: DescriptionHandler) -> None:
        """Have a handler called with the description of a job."""

    def join_gang(self, worker: HollowWorker, held: HollowTask) -> None:
        """Have a member of a gang wait for the others."""

    def leave_gang(self, held: HollowTask) -> None:
        """Tell the rendezvous that a member of a gang is gone."""


class HollowWorker:
    """One worker of a process of hollow workers."""

    def __init__(self, process: WorkerHost, name: str, host: str, zone: str) -> None:
        """Serve direct commands; heartbeats begin with `run`.

        Args:
            process: the process that plays this worker.
            name: the name of its machine.
            host: the loopback host of its machine.
            zone: the zone of its machine.
        """
        self.process = process
        self.plan = process.plan
        self.name = name
        self.zone = zone
        self.tasks: dict[tuple[str, int], HollowTask] = {}
        self.images: set[str] = set()
        #: tasks that wait for an image which is being fetched
        self.fetching: dict[str, list[HollowTask]] = {}
        self.used_cpus = 0.0
        self.epoch, self.sequence, self.token = 1, 0, 0
        #: when the last answered heartbeat was sent, or the epoch began
        self.lease_started_at = process.clock()
        self.token_sent_at = -1e9
        self.deleted = False
        #: whether this epoch's tasks have changed since the last heartbeat
        self.state_changed = Event()
        self.controller = process.rng.choice(list(self.plan.controllers))
        address = self.plan.controllers[self.controller]
        self.connection = Connection(address, process.heartbeat_traffic[self.controller])
        self.server = StreamServer(
            (host, 0),
            lambda sock, _: serve_connection(sock, self._answer_direct, process.direct_traffic),
            backlog=DIRECT_BACKLOG,
        )
        self.server.start()
        self.addr = f"{host}:{self.server.server_port}"

    # tasks ------------------------------------------------------------------------------------------------

    def _record(self, what: str, held: HollowTask, why: str = "", at: float | None = None) -> None:
        when = self.process.next_time() if at is None else max(at, held.on_machine_since)
        self.process.rows.append(TaskRow(when, what, held.job, held.index, held.status.attempt, self.name, why))

    def _start_task(self, task: str, attempt: int) -> None:
        if (task, attempt) in self.tasks:
            return
        job, index = split_task(task)
        busy = any(
            held.status.task == task and held.status.state is not TaskPhase.EXITED for held in self.tasks.values()
        )
        held = self.tasks[task, attempt] = HollowTask(TaskStatus(task, attempt, TaskPhase.FETCHING), job, index)
        self.state_changed.set()
        if busy:
            held.status.state, held.status.why = TaskPhase.EXITED, ExitReason.BUSY
        else:
            self.process.request_description(
                job, index, attempt, lambda spec, has_result: self._fetch_image(held, spec, has_result)
            )

    def _fetch_image(self, held: HollowTask, spec: JobSpec | None, has_result: bool) -> None:
        """Go on with a task whose job is described."""
        self.expire_lease()
        if held.status.state is not TaskPhase.FETCHING or not self._is_current(held):
            return
        if spec is None:
            self._exit(held, ExitReason.UNKNOWN)
            return
        if self.used_cpus + spec.cpus > self.plan.cpus + CPU_TOLERANCE:
            self._exit(held, ExitReason.NO_ROOM)
            return
        held.spec = spec
        self.used_cpus += spec.cpus
        held.has_result = has_result
        if spec.image in self.images:
            self._begin(held)
        elif spec.image in self.fetching:
            self.fetching[spec.image].append(held)
        else:
            self.fetching[spec.image] = [held]
            gevent.spawn_later(spec.image_gb / FETCH_GB_PER_S, self._image_fetched, spec.image)

    def _is_current(self, held: HollowTask) -> bool:
        """Return whether a task is still there: leases expire, and commands come, while something is awaited."""
        return self.tasks.get((held.status.task, held.status.attempt)) is held

    def _image_fetched(self, image: str) -> None:
        self.images.add(image)
        self.expire_lease()
        for held in self.fetching.pop(image, ()):
            if held.status.state is TaskPhase.FETCHING and self._is_current(held):
                self._begin(held)

    def _begin(self, held: HollowTask) -> None:
        """Begin a task that has its image: a member of a gang waits for the others, any other task runs."""
        spec = held.spec
        assert spec is not None
        held.on_machine = True
        self._record("on", held)
        held.on_machine_since = self.process.next_time()
        self.state_changed.set()
        if held.has_result:
            self._exit(held, ExitReason.DONE)
        elif spec.kind is Kind.GANG:
            held.status.state = TaskPhase.WAITING
            self.process.join_gang(self, held)
            gevent.spawn_later(self.plan.gang_wait_s, self._end_if_alone, held)
        else:
            held.status.state = TaskPhase.RUNNING
            self._record("run", held)
            if spec.kind is Kind.ARRAY:
                run_s = spec.estimate_s * self.process.rng.uniform(*RUN_TIME_JITTER)
                gevent.spawn_later(run_s, self.finish, held, ExitReason.DONE)

    def _end_if_alone(self, held: HollowTask) -> None:
        self.expire_lease()
        if held.status.state is TaskPhase.WAITING and self._is_current(held):
            self._exit(held, ExitReason.ALONE)

    def gang_started(self, held: HollowTask) -> None:
        """Run a member of a gang whose members are all there."""
        self.expire_lease()
        if held.status.state is TaskPhase.WAITING and self._is_current(held):
            held.status.state = TaskPhase.RUNNING
            self._record("run", held)
            self.state_changed.set()

    def finish(self, held: HollowTask, why: ExitReason) -> None:
        """End a running task by itself, if it is still there."""
        self.expire_lease()
        if held.status.state is TaskPhase.RUNNING and self._is_current(held):
            self._exit(held, why)

    def _exit(self, held: HollowTask, why: ExitReason) -> None:
        held.status.state, held.status.why = TaskPhase.EXITED, why
        self.state_changed.set()
        self._release(held, why.value)
        if why is ExitReason.DONE and held.spec is not None and held.spec.kind is not Kind.GANG:
            self.process.channel.send("done", held.job, held.index)

    def _release(self, held: HollowTask, why: str, at: float | None = None) -> None:
        """Free what a task takes up."""
        if held.spec is not None:
            self.used_cpus -= held.spec.cpus
            if held.spec.kind is Kind.GANG and why != ExitReason.DONE:
                self.process.leave_gang(held)
        if held.on_machine:
            held.on_machine = False
            self._record("off", held, why, at)

    def machine_deleted(self) -> None:
        """End everything, as the cloud has deleted the machine."""
        self.deleted = True
        self.state_changed.set()
        self.server.stop(timeout=0.1)
        for held in self.tasks.values():
            self._release(held, "machine gone")

    # leases, tokens and commands --------------------------------------------------------------------------

    def expire_lease(self) -> None:
        """End all tasks and begin the next epoch if the lease has expired.

        Whatever happens on a worker calls this first, so that nothing later than the lease changes its tasks.
        """
        lease_end = self.lease_started_at + self.plan.lease_s
        if self.process.clock() <= lease_end:
            return
        for held in self.tasks.values():
            if held.status.state is not TaskPhase.EXITED:
                held.status.state = TaskPhase.EXITED
                self._release(held, "lease", at=lease_end)
        self.process.expired_leases += 1
        self.tasks.clear()
        self.fetching.clear()
        self.used_cpus = 0.0
        self.epoch, self.sequence = self.epoch + 1, 0
        self.lease_started_at = self.process.clock()
        self.state_changed.set()

    def _execute(self, token: int, commands: list[Command]) -> None:
        """Note the token of a leader and execute its commands."""
        if token > self.token:
            self.token = token
            now = self.process.clock()
            if now - self.token_sent_at >= self.plan.lease_s / 2:
                self.token_sent_at = now
                self.state_changed.set()
        for command in commands:
            if command.op == "start":
                self._start_task(command.task, command.attempt)
                continue
            held = self.tasks.get((command.task, command.attempt))
            if held is None:
                continue
            if command.op == "stop" and held.status.state is not TaskPhase.EXITED:
                self._exit(held, ExitReason.STOPPED)
            elif command.op == "forget" and held.status.state is TaskPhase.EXITED:
                del self.tasks[command.task, command.attempt]

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        return Heartbeat(
            machine=self.name,
            addr=self.addr,
            type=self.plan.type,
            zone=self.zone,
            spot=False,
            epoch=self.epoch,
            sequence=self.sequence,
            token=self.token,
            notice_s=None,
            tasks=[held.status for held in self.tasks.values()],
        )

    def _answer_direct(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a request to this worker's own address."""
        self.expire_lease()
        self.process.direct_requests += 1
        if method == "GET" and path == "/show":
            return 200, _encoder.encode(self.heartbeat())
        if method != "POST" or path != "/do":
            return 404, b"{}"
        try:
            request = _direct_decoder.decode(body)
        except msgspec.DecodeError:
            return 400, b"{}"
        stale = request.token < self.token or request.epoch != self.epoch
        if not stale:
            self._execute(request.token, request.commands)
        return (409 if stale else 200), _encoder.encode(self.heartbeat())

    # heartbeats -------------------------------------------------------------------------------------------

    def send_heartbeats(self) -> None:
        """Send heartbeats for as long as the machine is there."""
        process, rng = self.process, self.process.rng
        gevent.sleep(rng.uniform(0.0, self.plan.report_s))
        while not self.deleted:
            sent_at = process.clock()
            self.expire_lease()
            self.state_changed.clear()
            retry_s = self._send_heartbeat()
            if retry_s is None:
                gevent.sleep(max(0.0, sent_at + MIN_INTERVAL_S - process.clock()))
                regular_at = sent_at + self.plan.report_s * rng.uniform(*INTERVAL_JITTER)
                self.state_changed.wait(max(0.0, regular_at - process.clock()))
            else:
                gevent.sleep(retry_s)
                # what the failed heartbeat had is still to be sent
                self.state_changed.set()
        self.connection.close()

    def _send_heartbeat(self) -> float | None:
        """Send one heartbeat and process the response.

        Returns:
            The pause before another try, in seconds, or None if a leader's response came.
        """
        process = self.process
        body = _encoder.encode(self.heartbeat())
        epoch, sent_at = self.epoch, process.clock()
        counts = process.response_counts[self.controller]
        try:
            status, content, _ = self.connection.request("POST", "/checkin", body, RESPONSE_TIMEOUT_S)
        except NoResponseError as error:
            counts[error.kind] += 1
            if self.connection.is_new:
                process.unserved.append(UnservedRequest(process.clock(), self.controller, error.kind))
            return self._try_next_controller()
        waited_s = process.clock() - sent_at
        if waited_s > RESPONSE_TIMEOUT_S:
            # the response came in time, but this process was late: a real worker would have given it up
            counts["timeout"] += 1
            process.late_responses += 1
            return self._try_next_controller()
        counts[str(status)] += 1
        if status == 421:
            leader = _redirect_decoder.decode(content).report_to
            if leader in self.plan.controllers and leader != self.controller:
                self._switch_controller(leader)
                return process.rng.uniform(0.0, MIN_INTERVAL_S)
        if status != 200:
            return self._try_next_controller()
        self._process_response(_response_decoder.decode(content), epoch, sent_at, waited_s)
        return None

    def _process_response(self, response: HeartbeatResponse, epoch: int, sent_at: float, waited_s: float) -> None:
        """Renew the lease and execute the commands, unless the response is of an old leader or for an old epoch."""
        self.expire_lease()
        if response.token < self.token or epoch != self.epoch:
            self.process.dropped_responses += 1
            return
        self.lease_started_at = max(self.lease_started_at, sent_at)
        self.process.sent_at.append(sent_at)
        self.process.waits.append(waited_s)
        self._execute(response.token, response.commands)

    def _switch_controller(self, name: str) -> None:
        self.connection.close()
        self.controller = name
        self.connection.address = self.plan.controllers[name]
        self.connection.traffic = self.process.heartbeat_traffic[name]

    def _try_next_controller(self) -> float:
        names = list(self.plan.controllers)
        self._switch_controller(names[(names.index(self.controller) + 1) % len(names)])
        return NEXT_CONTROLLER_PAUSE_S
