"""A hollow worker: speaks the workers' protocol like a real worker, but its tasks only wait for their run time.

The worker sends heartbeats over a persistent connection to a controller, and receives direct commands as requests to
its own address.
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

#: timeout of a heartbeat
RESPONSE_TIMEOUT_S = 4.0
#: the pause after a failed heartbeat, before the next controller is tried
NEXT_CONTROLLER_PAUSE_S = 1.0
#: the shortest interval between heartbeats, and the longest delay before a redirect is followed
MIN_INTERVAL_S = 0.5
#: bounds of the random factor of the interval between heartbeats; the factor keeps workers out of step
INTERVAL_JITTER = (0.75, 1.25)
#: gigabytes of an image that a machine fetches per second
FETCH_GB_PER_S = 2.0
#: bounds of the run time of a task of an array, as shares of the job's estimate
RUN_TIME_JITTER = (0.7, 1.3)
#: numbers of CPUs that differ by less count as equal
CPU_TOLERANCE = 1e-6
#: connections for direct commands that may wait to be accepted
DIRECT_BACKLOG = 8

_encoder = msgspec.json.Encoder()
_response_decoder = msgspec.json.Decoder(HeartbeatResponse)
_direct_decoder = msgspec.json.Decoder(DirectCommands)
_redirect_decoder = msgspec.json.Decoder(Redirect)


@dataclass(slots=True, eq=False)
class HollowTask:
    """A task on a hollow worker.

    Attributes:
        status: The status of the task in heartbeats.
        job: The id of the task's job.
        index: The index of the task in its job.
        spec: The description of the job; None until the rendezvous has sent the description.
        on_machine: Whether the task is recorded as on the machine.
        on_machine_since: When the task was recorded as on the machine, in seconds. The end of the task is never
            recorded earlier, even if the worker's lease had expired by then.
        has_result: Whether an earlier attempt has completed the task, so that this attempt ends at once.
    """

    status: TaskStatus
    job: str
    index: int
    spec: JobSpec | None = None
    on_machine: bool = False
    on_machine_since: float = 0.0
    has_result: bool = False


#: receives the description of a job, None if the job is unknown, and whether the task has been completed before
DescriptionHandler = Callable[[JobSpec | None, bool], None]


class WorkerHost(Protocol):
    """The interface of the process of hollow workers that its workers use; `HollowProcess` describes the attributes."""

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
        """Return the current time in seconds, later than any time returned before."""

    def request_description(self, job: str, index: int, attempt: int, handler: DescriptionHandler) -> None:
        """Call a handler with the description of a job, as soon as the description is known."""

    def join_gang(self, worker: HollowWorker, task: HollowTask) -> None:
        """Register a member of a gang as waiting for the other members."""

    def leave_gang(self, task: HollowTask) -> None:
        """Notify the rendezvous that a member of a gang has ended."""


class HollowWorker:
    """A hollow worker, one of many in a process of hollow workers."""

    def __init__(self, process: WorkerHost, name: str, host: str, zone: str) -> None:
        """Start to serve direct commands; `send_heartbeats` starts the heartbeats.

        Args:
            process: The process that this worker runs in.
            name: The name of the worker's machine.
            host: The loopback host that the worker listens on for direct commands.
            zone: The zone of the worker's machine.
        """
        self.process = process
        self.plan = process.plan
        self.name = name
        self.zone = zone
        self.tasks: dict[tuple[str, int], HollowTask] = {}
        self.images: set[str] = set()
        #: by image that is being fetched, the tasks that wait for the image
        self.fetching: dict[str, list[HollowTask]] = {}
        self.used_cpus = 0.0
        self.epoch, self.sequence, self.token = 1, 0, 0
        #: when the last answered heartbeat was sent or the epoch began, whichever is later, in seconds
        self.lease_started_at = process.clock()
        #: when a heartbeat was last requested early because the token had changed, in seconds
        self.token_sent_at = -1e9
        self.deleted = False
        #: set when tasks, token or epoch have changed, so that the next heartbeat is sent without waiting
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

    def _record(self, what: str, task: HollowTask, why: str = "", at: float | None = None) -> None:
        """Record an event of a task, at a given time in seconds or, with None, at the current time."""
        when = self.process.next_time() if at is None else max(at, task.on_machine_since)
        self.process.rows.append(TaskRow(when, what, task.job, task.index, task.status.attempt, self.name, why))

    def _start_task(self, task_name: str, attempt: int) -> None:
        """Execute a command to start an attempt of a task.

        The attempt ends at once as busy if another attempt of the task has not ended on this worker.
        """
        if (task_name, attempt) in self.tasks:
            return
        job, index = split_task(task_name)
        busy = any(
            task.status.task == task_name and task.status.state is not TaskPhase.EXITED for task in self.tasks.values()
        )
        task = self.tasks[task_name, attempt] = HollowTask(
            TaskStatus(task_name, attempt, TaskPhase.FETCHING), job, index
        )
        self.state_changed.set()
        if busy:
            task.status.state, task.status.why = TaskPhase.EXITED, ExitReason.BUSY
        else:
            self.process.request_description(
                job, index, attempt, lambda spec, has_result: self._fetch_image(task, spec, has_result)
            )

    def _fetch_image(self, task: HollowTask, spec: JobSpec | None, has_result: bool) -> None:
        """Fetch the image of a task, once the description of its job is known, and then begin the task.

        The task ends instead if its job is unknown or the machine has too few free CPUs.
        """
        self.expire_lease()
        if task.status.state is not TaskPhase.FETCHING or not self._is_current(task):
            return
        if spec is None:
            self._exit(task, ExitReason.UNKNOWN)
            return
        if self.used_cpus + spec.cpus > self.plan.cpus + CPU_TOLERANCE:
            self._exit(task, ExitReason.NO_ROOM)
            return
        task.spec = spec
        self.used_cpus += spec.cpus
        task.has_result = has_result
        if spec.image in self.images:
            self._begin(task)
        elif spec.image in self.fetching:
            self.fetching[spec.image].append(task)
        else:
            self.fetching[spec.image] = [task]
            gevent.spawn_later(spec.image_gb / FETCH_GB_PER_S, self._image_fetched, spec.image)

    def _is_current(self, task: HollowTask) -> bool:
        """Return whether the worker still has this task.

        A lease that expires or a command may remove a task while its job's description, its image or the other
        members of its gang are awaited.
        """
        return self.tasks.get((task.status.task, task.status.attempt)) is task

    def _image_fetched(self, image: str) -> None:
        """Begin the tasks that wait for an image which has been fetched."""
        self.images.add(image)
        self.expire_lease()
        for task in self.fetching.pop(image, ()):
            if task.status.state is TaskPhase.FETCHING and self._is_current(task):
                self._begin(task)

    def _begin(self, task: HollowTask) -> None:
        """Begin a task whose image is available: a member of a gang waits for the others, any other task runs."""
        spec = task.spec
        assert spec is not None
        task.on_machine = True
        self._record("on", task)
        task.on_machine_since = self.process.next_time()
        self.state_changed.set()
        if task.has_result:
            self._exit(task, ExitReason.DONE)
        elif spec.kind is Kind.GANG:
            task.status.state = TaskPhase.WAITING
            self.process.join_gang(self, task)
            gevent.spawn_later(self.plan.gang_wait_s, self._end_if_alone, task)
        else:
            task.status.state = TaskPhase.RUNNING
            self._record("run", task)
            if spec.kind is Kind.ARRAY:
                run_s = spec.estimate_s * self.process.rng.uniform(*RUN_TIME_JITTER)
                gevent.spawn_later(run_s, self.finish, task, ExitReason.DONE)

    def _end_if_alone(self, task: HollowTask) -> None:
        """End a member of a gang that still waits for the others when `gang_wait_s` has passed."""
        self.expire_lease()
        if task.status.state is TaskPhase.WAITING and self._is_current(task):
            self._exit(task, ExitReason.ALONE)

    def gang_started(self, task: HollowTask) -> None:
        """Change a waiting member of a gang to running, as all members of the gang are now waiting."""
        self.expire_lease()
        if task.status.state is TaskPhase.WAITING and self._is_current(task):
            task.status.state = TaskPhase.RUNNING
            self._record("run", task)
            self.state_changed.set()

    def finish(self, task: HollowTask, why: ExitReason) -> None:
        """End a running task for a reason other than a command; do nothing if the worker no longer runs the task."""
        self.expire_lease()
        if task.status.state is TaskPhase.RUNNING and self._is_current(task):
            self._exit(task, why)

    def _exit(self, task: HollowTask, why: ExitReason) -> None:
        """End a task, and notify the rendezvous if the task is done and no member of a gang."""
        task.status.state, task.status.why = TaskPhase.EXITED, why
        self.state_changed.set()
        self._release(task, why.value)
        if why is ExitReason.DONE and task.spec is not None and task.spec.kind is not Kind.GANG:
            self.process.channel.send("done", task.job, task.index)

    def _release(self, task: HollowTask, why: str, at: float | None = None) -> None:
        """Free the CPUs of a task, leave its gang, and record that the task has left the machine.

        Args:
            task: The task.
            why: The reason to record.
            at: When the task ended, in seconds; None for now.
        """
        if task.spec is not None:
            self.used_cpus -= task.spec.cpus
            if task.spec.kind is Kind.GANG and why != ExitReason.DONE:
                self.process.leave_gang(task)
        if task.on_machine:
            task.on_machine = False
            self._record("off", task, why, at)

    def machine_deleted(self) -> None:
        """End all tasks, heartbeats and the server for direct commands, as the cloud has deleted the machine."""
        self.deleted = True
        self.state_changed.set()
        self.server.stop(timeout=0.1)
        for task in self.tasks.values():
            self._release(task, "machine gone")

    # lease, token and commands ----------------------------------------------------------------------------

    def expire_lease(self) -> None:
        """End all tasks and begin the next epoch if the lease has expired.

        Each method that changes tasks calls this method first, so that no task continues after the end of the lease.
        """
        lease_end = self.lease_started_at + self.plan.lease_s
        if self.process.clock() <= lease_end:
            return
        for task in self.tasks.values():
            if task.status.state is not TaskPhase.EXITED:
                task.status.state = TaskPhase.EXITED
                self._release(task, "lease", at=lease_end)
        self.process.expired_leases += 1
        self.tasks.clear()
        self.fetching.clear()
        self.used_cpus = 0.0
        self.epoch, self.sequence = self.epoch + 1, 0
        self.lease_started_at = self.process.clock()
        self.state_changed.set()

    def _execute(self, token: int, commands: list[Command]) -> None:
        """Record the token of a leader and execute the leader's commands.

        A higher token is reported early, but at most once in half a lease.
        """
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
            task = self.tasks.get((command.task, command.attempt))
            if task is None:
                continue
            if command.op == "stop" and task.status.state is not TaskPhase.EXITED:
                self._exit(task, ExitReason.STOPPED)
            elif command.op == "forget" and task.status.state is TaskPhase.EXITED:
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
            tasks=[task.status for task in self.tasks.values()],
        )

    def _answer_direct(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Handle a request to the worker's own address.

        Returns:
            The status and the body of the response. Commands with an old token or for another epoch are rejected
            with status 409.
        """
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
        """Send heartbeats until the machine is deleted."""
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
                # the changes that the failed heartbeat reported are still unreported
                self.state_changed.set()
        self.connection.close()

    def _send_heartbeat(self) -> float | None:
        """Send one heartbeat and process the response.

        Returns:
            The pause before a retry, in seconds, or None if a leader answered.
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
            # this process was too busy to read the response in time; a real worker would have timed out
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
        """Renew the lease and execute the commands of a response.

        A response from an earlier leader or for an earlier epoch is dropped.

        Args:
            response: The response of a leader.
            epoch: The epoch in which the heartbeat was sent.
            sent_at: When the heartbeat was sent, in seconds.
            waited_s: The time from the heartbeat to its response, in seconds.
        """
        self.expire_lease()
        if response.token < self.token or epoch != self.epoch:
            self.process.dropped_responses += 1
            return
        self.lease_started_at = max(self.lease_started_at, sent_at)
        self.process.sent_at.append(sent_at)
        self.process.waits.append(waited_s)
        self._execute(response.token, response.commands)

    def _switch_controller(self, name: str) -> None:
        """Send further heartbeats to another controller, over a new connection."""
        self.connection.close()
        self.controller = name
        self.connection.address = self.plan.controllers[name]
        self.connection.traffic = self.process.heartbeat_traffic[name]

    def _try_next_controller(self) -> float:
        """Switch to the next controller, and return the pause before the next heartbeat in seconds."""
        names = list(self.plan.controllers)
        self._switch_controller(names[(names.index(self.controller) + 1) % len(names)])
        return NEXT_CONTROLLER_PAUSE_S
