"""Hollow workers: many share a process, and each speaks the workers' protocol as a worker of its own would.

Reports leave over a persistent connection of each worker, direct orders come to an address of each. Tasks take time and
do nothing. What happens to a task is kept with its time, by a clock that all processes of a machine share.
"""

from __future__ import annotations

import random
import time
from array import array
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

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
from .connection import Connection, NoResponseError, Traffic, answer
from .gang_rendezvous import Message, MessageLine, dial

T = TaskPhase
#: a worker waits so long for an answer, and as long before it tries the next controller after none, in seconds
ANSWER_S, NEXT_S = 4.0, 1.0
#: at most one report in so many seconds; a controller that was named is asked within as long
LEAST_S = 0.5
#: leases are looked at so often, in seconds; what is later than its lease is taken as ended with it
LEASE_LOOK_S = 0.1
FETCH_GB_PER_S = 2.0
#: tasks of an array take between so many times of what their owner estimates
TAKES = (0.7, 1.3)

_encoder = msgspec.json.Encoder()
_orders = msgspec.json.Decoder(HeartbeatResponse)
_direct = msgspec.json.Decoder(DirectCommands)
_elsewhere = msgspec.json.Decoder(Redirect)


class Row(msgspec.Struct, array_like=True):
    """What happened to a task: "on" (has its image), "run" or "off", at a time in seconds of the steady clock."""

    at: float
    what: str
    job: str
    index: int
    attempt: int
    machine: str
    why: str = ""


class Unserved(msgspec.Struct, array_like=True):
    """A new connection over which no answer came to the first request."""

    at: float
    controller: str
    kind: str


class KeptRecords(msgspec.Struct):
    """All that a hollow process has kept, as it is written to a file at the end."""

    rows: list[Row]
    unserved: list[Unserved]
    #: when each answered report was sent, and for how long its worker waited for the orders, in seconds
    sent_at: list[float]
    waits: list[float]


class HollowPlan(msgspec.Struct):
    """Machines of a process (name, its own loopback host, zone), and what surrounds them."""

    machines: list[tuple[str, str, str]]
    type: str
    cpus: float
    controllers: dict[str, str]
    meeting: str
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    seed: int


@dataclass(slots=True, eq=False)
class HeldTask:
    """A task on a hollow worker."""

    status: TaskStatus
    job: str
    index: int
    spec: JobSpec | None = None
    on: bool = False
    #: it ends after this at the earliest, also if its lease had run out by then
    on_at: float = 0.0
    #: the task is done already: its result is kept
    kept: bool = False


class HollowWorker:
    """One worker."""

    def __init__(self, process: HollowProcess, name: str, host: str, zone: str) -> None:
        self.process = process
        self.plan = process.plan
        self.name = name
        self.zone = zone
        self.held: dict[tuple[str, int], HeldTask] = {}
        self.images: set[str] = set()
        self.fetching: dict[str, list[HeldTask]] = {}
        self.used = 0.0
        self.epoch, self.sequence, self.token = 1, 0, 0
        #: when the last answered report was sent, or the session began
        self.answered_at = process.clock()
        self.token_told_at = -1e9
        self.gone = False
        #: whether this session's tasks have changed since the last report
        self.changed = Event()
        names = list(self.plan.controllers)
        self.at = process.rng.choice(names)
        self.connection = Connection(self.plan.controllers[self.at], process.reported[self.at])
        self.server = StreamServer((host, 0), lambda sock, _: answer(sock, self._ordered, process.ordered), backlog=8)
        self.server.start()
        self.addr = f"{host}:{self.server.server_port}"

    # tasks ------------------------------------------------------------------------------------------------

    def _row(self, what: str, held: HeldTask, why: str = "", at: float | None = None) -> None:
        when = self.process.moment() if at is None else max(at, held.on_at)
        self.process.rows.append(Row(when, what, held.job, held.index, held.status.attempt, self.name, why))

    def _start(self, task: str, attempt: int) -> None:
        if (task, attempt) in self.held:
            return
        job, index = split_task(task)
        busy = any(h.status.task == task and h.status.state is not T.EXITED for h in self.held.values())
        held = self.held[task, attempt] = HeldTask(TaskStatus(task, attempt, T.FETCHING), job, index)
        self.changed.set()
        if busy:
            held.status.state, held.status.why = T.EXITED, ExitReason.BUSY
        else:
            self.process.describe(job, index, attempt, lambda spec, kept: self._described(held, spec, kept))

    def _described(self, held: HeldTask, spec: JobSpec | None, kept: bool) -> None:
        self.lease()
        if held.status.state is not T.FETCHING or not self._holds(held):
            return
        if spec is None:
            self._exit(held, ExitReason.UNKNOWN)
        elif self.used + spec.cpus > self.plan.cpus + 1e-6:
            self._exit(held, ExitReason.NO_ROOM)
        else:
            held.spec = spec
            self.used += spec.cpus
            held.kept = kept
            if spec.image in self.images:
                self._fetched(held)
            elif spec.image in self.fetching:
                self.fetching[spec.image].append(held)
            else:
                self.fetching[spec.image] = [held]
                gevent.spawn_later(spec.image_gb / FETCH_GB_PER_S, self._image, spec.image)

    def _holds(self, held: HeldTask) -> bool:
        return self.held.get((held.status.task, held.status.attempt)) is held

    def _image(self, image: str) -> None:
        self.images.add(image)
        self.lease()
        for held in self.fetching.pop(image, ()):
            if held.status.state is T.FETCHING and self._holds(held):
                self._fetched(held)

    def _fetched(self, held: HeldTask) -> None:
        spec = held.spec
        assert spec is not None
        held.on = True
        self._row("on", held)
        held.on_at = self.process.moment()
        self.changed.set()
        if held.kept:
            self._exit(held, ExitReason.DONE)
        elif spec.kind is Kind.GANG:
            held.status.state = T.WAITING
            self.process.meet(self, held)
            gevent.spawn_later(self.plan.gang_wait_s, self._alone, held)
        else:
            held.status.state = T.RUNNING
            self._row("run", held)
            if spec.kind is Kind.ARRAY:
                takes = spec.estimate_s * self.process.rng.uniform(*TAKES)
                gevent.spawn_later(takes, self.finish, held, ExitReason.DONE)

    def _alone(self, held: HeldTask) -> None:
        self.lease()
        if held.status.state is T.WAITING and self._holds(held):
            self._exit(held, ExitReason.ALONE)

    def run(self, held: HeldTask) -> None:
        """Its gang has started."""
        self.lease()
        if held.status.state is T.WAITING and self._holds(held):
            held.status.state = T.RUNNING
            self._row("run", held)
            self.changed.set()

    def finish(self, held: HeldTask, why: ExitReason) -> None:
        """It ends by itself, if it is still there."""
        self.lease()
        if held.status.state is T.RUNNING and self._holds(held):
            self._exit(held, why)

    def _exit(self, held: HeldTask, why: ExitReason) -> None:
        held.status.state, held.status.why = T.EXITED, why
        self.changed.set()
        self._left(held, why.value)
        if why is ExitReason.DONE and held.spec is not None and held.spec.kind is not Kind.GANG:
            self.process.line.say("done", held.job, held.index)

    def _left(self, held: HeldTask, why: str, at: float | None = None) -> None:
        """It takes up nothing any more."""
        if held.spec is not None:
            self.used -= held.spec.cpus
            if held.spec.kind is Kind.GANG and why != ExitReason.DONE:
                self.process.leave(held)
        if held.on:
            held.on = False
            self._row("off", held, why, at)

    # leases, tokens and commands --------------------------------------------------------------------------

    def lease(self) -> None:
        """Whatever is later than the lease finds that it has run out."""
        end = self.answered_at + self.plan.lease_s
        if self.process.clock() <= end:
            return
        for held in self.held.values():
            if held.status.state is not T.EXITED:
                held.status.state = T.EXITED
                self._left(held, "lease", at=end)
        self.process.lapsed += 1
        self.held.clear()
        self.fetching.clear()
        self.used = 0.0
        self.epoch, self.sequence = self.epoch + 1, 0
        self.answered_at = self.process.clock()
        self.changed.set()

    def _obey(self, token: int, commands: list[Command]) -> None:
        if token > self.token:
            self.token = token
            now = self.process.clock()
            if now - self.token_told_at >= self.plan.lease_s / 2:
                self.token_told_at = now
                self.changed.set()
        for c in commands:
            if c.op == "start":
                self._start(c.task, c.attempt)
                continue
            held = self.held.get((c.task, c.attempt))
            if held is None:
                continue
            if c.op == "stop" and held.status.state is not T.EXITED:
                self._exit(held, ExitReason.STOPPED)
            elif c.op == "forget" and held.status.state is T.EXITED:
                del self.held[c.task, c.attempt]

    def report(self) -> Heartbeat:
        """The next heartbeat."""
        self.sequence += 1
        tasks = [h.status for h in self.held.values()]
        plan = self.plan
        return Heartbeat(
            self.name, self.addr, plan.type, self.zone, False, self.epoch, self.sequence, self.token, None, tasks
        )

    def _ordered(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """A request to this worker's own address."""
        self.lease()
        self.process.direct += 1
        if method == "GET" and path == "/show":
            return 200, _encoder.encode(self.report())
        if method != "POST" or path != "/do":
            return 404, b"{}"
        try:
            orders = _direct.decode(body)
        except msgspec.DecodeError:
            return 400, b"{}"
        stale = orders.token < self.token or orders.epoch != self.epoch
        if not stale:
            self._obey(orders.token, orders.commands)
        return (409 if stale else 200), _encoder.encode(self.report())

    # reports ----------------------------------------------------------------------------------------------

    def loop(self) -> None:
        """Sends reports for as long as the machine is there."""
        p, rng = self.process, self.process.rng
        gevent.sleep(rng.uniform(0.0, self.plan.report_s))
        while not self.gone:
            sent = p.clock()
            self.lease()
            self.changed.clear()
            wait, by_change = self._report()
            if wait is None:
                gevent.sleep(max(0.0, sent + LEAST_S - p.clock()))
                regular = sent + self.plan.report_s * rng.uniform(0.75, 1.25)
                self.changed.wait(max(0.0, regular - p.clock()))
            else:
                gevent.sleep(wait)
                if by_change:
                    self.changed.set()
        self.connection.close()

    def _move(self, to: str) -> None:
        self.connection.close()
        self.at = to
        self.connection.address, self.connection.traffic = self.plan.controllers[to], self.process.reported[to]

    def _next(self) -> str:
        names = list(self.plan.controllers)
        return names[(names.index(self.at) + 1) % len(names)]

    def _report(self) -> tuple[float | None, bool]:
        """One report: how long to wait before the next (None: no hurry), and whether this is still to be told."""
        p = self.process
        body = _encoder.encode(self.report())
        epoch, sent = self.epoch, p.clock()
        counts = p.answers[self.at]
        try:
            status, content, _ = self.connection.ask("POST", "/checkin", body, ANSWER_S)
        except NoResponseError as e:
            counts[e.kind] += 1
            if self.connection.fresh:
                p.unserved.append(Unserved(p.clock(), self.at, e.kind))
            self._move(self._next())
            return NEXT_S, True
        waited = p.clock() - sent
        if waited > ANSWER_S:
            counts["timeout"] += 1  # it came while this process was late: a worker does not take it any more
            p.late_answers += 1
            self._move(self._next())
            return NEXT_S, True
        counts[str(status)] += 1
        if status == 421:
            other = _elsewhere.decode(content).report_to
            if other in self.plan.controllers and other != self.at:
                self._move(other)
                return p.rng.uniform(0.0, LEAST_S), True
        if status != 200:
            self._move(self._next())
            return NEXT_S, True
        orders = _orders.decode(content)
        self.lease()
        if orders.token < self.token or epoch != self.epoch:
            p.dropped += 1
            return None, False
        self.answered_at = max(self.answered_at, sent)
        p.sent_at.append(sent)
        p.waits.append(waited)
        self._obey(orders.token, orders.commands)
        return None, False


class HollowProcess:
    """The workers of one process."""

    def __init__(self, plan: HollowPlan, ended: Callable[[], None]) -> None:
        self.plan = plan
        self.clock = time.monotonic
        self._told_at = 0.0
        self.rng = random.Random(plan.seed)
        #: reports and their answers, by controller, and direct orders and theirs
        self.reported = {n: Traffic() for n in plan.controllers}
        self.ordered = Traffic()
        self.rows: list[Row] = []
        self.unserved: list[Unserved] = []
        self.sent_at, self.waits = array("d"), array("d")
        #: of each controller, how reports were answered: by status, or by the kind of no answer
        self.answers: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self.dropped = self.late_answers = self.lapsed = self.direct = 0
        self._specs: dict[str, JobSpec] = {}
        self._wanted: dict[tuple[str, int, int], list[Callable[[JobSpec | None, bool], None]]] = {}
        self._gangs: dict[tuple[str, int], list[tuple[HollowWorker, HeldTask]]] = defaultdict(list)
        self.line: MessageLine = dial(plan.meeting, self._hear, ended)
        self.machines = {m[0]: HollowWorker(self, *m) for m in plan.machines}
        for m in self.machines.values():
            self.line.say("machine", m.name, m.addr, plan.type, m.zone)

    def moment(self) -> float:
        """The time, later than any that was told before: what a row follows came before it."""
        self._told_at = max(self.clock(), self._told_at + 1e-6)
        return self._told_at

    def begin(self) -> None:
        """Start the heartbeats of all workers."""
        for m in self.machines.values():
            m.answered_at = self.clock()
            gevent.spawn(m.loop)
        gevent.spawn(self._leases)

    def _leases(self) -> None:
        while True:
            gevent.sleep(LEASE_LOOK_S)
            for m in self.machines.values():
                m.lease()

    def describe(self, job: str, index: int, attempt: int, then: Callable[[JobSpec | None, bool], None]) -> None:
        """A first attempt of a known job needs nothing more; a later one may have a result that is kept."""
        found = self._specs.get(job)
        if found is not None and attempt == 1:
            then(found, False)
            return
        waiting = self._wanted.setdefault((job, index, attempt), [])
        if not waiting:
            self.line.say("want", job, index, attempt)
        waiting.append(then)

    def meet(self, machine: HollowWorker, held: HeldTask) -> None:
        """Have a member of a gang wait for the others."""
        spec = held.spec
        assert spec is not None
        self._gangs[held.job, held.status.attempt].append((machine, held))
        self.line.say("wait", held.job, held.status.attempt, held.index, spec.tasks, spec.estimate_s)

    def leave(self, held: HeldTask) -> None:
        """Say that a member of a gang is gone."""
        self.line.say("gone", held.job, held.status.attempt, held.index)

    def _hear(self, message: Message) -> None:
        what, *rest = message
        if what == "job":
            job, index, attempt, raw, kept = rest
            spec = None if raw is None else self._specs.setdefault(job, msgspec.convert(raw, JobSpec))
            for then in self._wanted.pop((job, index, attempt), ()):
                then(spec, kept)
        elif what == "run":
            for machine, held in self._gangs[rest[0], rest[1]]:
                machine.run(held)
        elif what == "over":
            for machine, held in self._gangs.pop((rest[0], rest[1]), ()):
                machine.finish(held, ExitReason.DONE)
        elif what == "gone":
            for machine, held in self._gangs.pop((rest[0], rest[1]), ()):
                gevent.spawn_later(self.plan.gang_peer_s, machine.finish, held, ExitReason.PEERS)
        elif what == "lose":
            for name in rest[0]:
                self._lose(name)
        else:
            raise ValueError(f"unknown message {what!r}")

    def _lose(self, name: str) -> None:
        """The cloud has deleted the machine."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.gone = True
            machine.changed.set()
            machine.server.stop(timeout=0.1)
            for held in machine.held.values():
                machine._left(held, "machine gone")

    def counts(self) -> dict[str, Any]:
        """Counters of all workers of this process so far."""
        machines = self.machines.values()
        traffic = [*self.reported.values(), self.ordered]
        return {
            "workers": len(machines),
            "answered": sum(m.token > 0 for m in machines),
            "running": sum(h.status.state is T.RUNNING for m in machines for h in m.held.values()),
            "answers": self.answers,
            "dropped": self.dropped,
            "late_answers": self.late_answers,
            "lapsed": self.lapsed,
            "direct": self.direct,
            "sent": sum(t.sent for t in traffic),
            "received": sum(t.received for t in traffic),
            "messages": sum(t.messages for t in traffic),
            "bytes_at": {n: t.sent + t.received for n, t in self.reported.items()},
            "unreadable": self.ordered.unreadable,
            "unserved": len(self.unserved),
            "at": {n: sum(m.at == n for m in machines) for n in self.plan.controllers},
        }

    def kept_rows(self) -> KeptRecords:
        """What ran where and when, for the checker."""
        return KeptRecords(self.rows, self.unserved, list(self.sent_at), list(self.waits))
