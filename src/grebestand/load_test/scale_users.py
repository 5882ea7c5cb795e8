"""Users of a scale run: the jobs that they submit, drawn from a seed, and how they submit and poll, by the protocol.

A balancer in front passes over controllers that are not healthy, as the platform's does.
"""

from __future__ import annotations

import math
import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from ..wire.jobs import JobSpec, JobStatus, JobStatusResponse, Kind, Priority
from .connection import Connection, NoResponseError, Traffic
from .gang_rendezvous import Message, MessageLine, dial
from .hollow_workers import Unserved

#: seconds: an answer to a submission, to a poll; between polls; how long a submission is retried; the longest pause
#: that a controller can ask for; probes of health; and for so long a controller that refuses is passed over
SUBMIT_S, POLL_S, POLLS_S, RETRY_S, PAUSE_S, PROBE_S, PASSED_S = 5.0, 2.0, 5.0, 60.0, 30.0, 1.0, 3.0
#: connections that are tried for one request
TRIES = 3
IMAGES, IMAGE_GB = 8, 0.2
#: of ordinary jobs, gangs; of urgent ones; and jobs whose users do not look whether their team has room
GANGS, URGENT_GANGS, CARELESS = 0.3, 0.5, 0.15
#: tasks of a job, at least and at most: their logarithms are spread evenly
ARRAY_TASKS, GANG_TASKS, URGENT_TASKS = (64, 512), (2, 128), (1, 128)


class LoadPlan(msgspec.Struct):
    """What users ask for: so many starts a second in the mean, tasks of so many seconds, urgent jobs a second."""

    controllers: dict[str, str]
    meeting: str
    #: team and its limit, in CPUs
    teams: dict[str, float]
    rate: float
    urgent_rate: float
    task_s: tuple[float, float]
    #: no job has more tasks
    most_tasks: int
    seed: int


class JobRow(msgspec.Struct):
    """A job as its user saw it; times in seconds of the steady clock. `last`: how the last question was answered."""

    id: str
    team: str
    tasks: int
    cpus: float
    gang: bool
    urgent: bool
    asked_at: float
    accepted_at: float | None = None
    done_at: float | None = None
    last: str = ""
    #: an answer that was older than one before it
    wrong: str = ""


class PollRecord(msgspec.Struct):
    """All that users have kept."""

    jobs: list[JobRow]
    unserved: list[Unserved]


class Draw:
    """Jobs from a seed alone."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.count = 0
        #: of each team, tasks that are asked for and not done
        self.open: dict[str, int] = defaultdict(int)

    def _size(self, least: int, most: int) -> int:
        most = min(most, self.plan.most_tasks)
        least = min(least, most)
        return round(math.exp(self.rng.uniform(math.log(least), math.log(most))))

    def _team(self, tasks: int, careless: bool, whole: bool) -> str | None:
        """One whose limit has room for all tasks; careless: has it or not; whole: it has to allow them at all."""
        names = list(self.plan.teams)
        for _ in range(40):
            team = self.rng.choice(names)
            limit = self.plan.teams[team]
            if (careless and (not whole or tasks <= limit)) or self.open[team] + tasks <= limit:
                return team
        allowed = [n for n in names if not whole or tasks <= self.plan.teams[n]]
        return max(allowed, key=lambda n: self.plan.teams[n] - self.open[n]) if allowed else None

    def job(self, urgent: bool) -> tuple[JobSpec, JobRow]:
        """Draw a job and the row that records what becomes of it."""
        rng = self.rng
        gang = rng.random() < (URGENT_GANGS if urgent else GANGS)
        tasks = self._size(*(URGENT_TASKS if urgent else GANG_TASKS if gang else ARRAY_TASKS))
        team = self._team(tasks, not urgent and rng.random() < CARELESS, gang)
        while team is None:
            tasks = max(1, tasks // 2)
            team = self._team(tasks, False, gang)
        self.count += 1
        spec = JobSpec(
            f"j-{self.count:06d}", "urgent" if urgent else "batch", team, Kind.GANG if gang else Kind.ARRAY,
            Priority.PRODUCTION if urgent else Priority.NORMAL, tasks, 1.0, 0.0, 1.0,
            f"img-{rng.randrange(IMAGES)}", IMAGE_GB, False, False, False, rng.uniform(*self.plan.task_s), 0.0, 0.0,
        )  # fmt: skip
        return spec, JobRow(spec.id, team, tasks, spec.cpus, gang, urgent, 0.0)


class Balancer:
    """Which controllers get new connections."""

    def __init__(self, controllers: dict[str, str], rng: random.Random) -> None:
        self.controllers = controllers
        self.rng = rng
        self.healthy = dict.fromkeys(controllers, False)
        self.passed_until = dict.fromkeys(controllers, 0.0)
        for name in controllers:
            gevent.spawn(self._probe, name)

    def _probe(self, name: str) -> None:
        results: list[bool] = []
        ever = False
        while True:
            connection = Connection(self.controllers[name], Traffic())
            try:
                good = connection.ask("GET", "/healthz", b"", PROBE_S)[0] == 200
            except NoResponseError:
                good = False
            connection.close()
            results = [*results, good][-6:]
            if self.healthy[name]:
                self.healthy[name] = any(results[-2:]) and results.count(False) < 3
                if not self.healthy[name]:
                    results = []
            elif good and (not ever or results[-2:] == [True, True]):
                self.healthy[name] = ever = True
                results = [True]
            gevent.sleep(PROBE_S)

    def choose(self, but: set[str]) -> str:
        """A healthy controller outside `but`, or any if there is none."""
        now = time.monotonic()
        names = [n for n in self.controllers if n not in but]
        good = [n for n in names if self.healthy[n] and self.passed_until[n] < now]
        return self.rng.choice(good or names or list(self.controllers))


class LoadUsers:
    """Users who submit jobs at a rate, poll them until they are done, and record each answer."""

    def __init__(self, plan: LoadPlan, ended: Callable[[], None]) -> None:
        self.plan = plan
        self.clock = time.monotonic
        self.draw = Draw(plan)
        self.rng = random.Random(plan.seed + 1)
        self.balancer = Balancer(plan.controllers, self.rng)
        self.traffic = Traffic()
        self.jobs: list[JobRow] = []
        self.unserved: list[Unserved] = []
        self.answers: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self._known: dict[str, Event] = {}
        self.line: MessageLine = dial(plan.meeting, self._hear, ended)
        self.loading = False
        self.closing = False
        self.asked_tasks = 0

    def _hear(self, message: Message) -> None:
        if message[0] == "known":
            self._known.pop(message[1]).set()

    def begin(self) -> None:
        """Start submitting."""
        self.loading = True
        gevent.spawn(self._arrive, False, self.plan.rate)
        gevent.spawn(self._arrive, True, self.plan.urgent_rate)

    def _arrive(self, urgent: bool, rate: float) -> None:
        """Ordinary ones by their tasks, urgent ones by their number, at times that keep to the rate in the long run."""
        at = self.clock()
        while self.loading:
            spec, row = self.draw.job(urgent)
            self.draw.open[row.team] += row.tasks
            at += (1.0 if urgent else spec.tasks) / rate * self.draw.rng.uniform(0.5, 1.5)
            gevent.sleep(max(0.0, at - self.clock()))
            if self.loading:
                gevent.spawn(self._user, spec, row)

    # one user -----------------------------------------------------------------------------------------------

    def _user(self, spec: JobSpec, row: JobRow) -> None:
        self._known[spec.id] = known = Event()
        self.line.say("put", spec)
        known.wait()
        row.asked_at = self.clock()
        self.jobs.append(row)
        self.asked_tasks += row.tasks
        connection = Connection("", self.traffic)
        if self._submit(connection, msgspec.json.encode(spec), row):
            while row.done_at is None and not self.closing:
                gevent.sleep(POLLS_S * self.rng.uniform(0.9, 1.1))
                if not self.closing:
                    self.poll(connection, row)
        self.draw.open[row.team] -= row.tasks
        connection.close()

    def _submit(self, connection: Connection, body: bytes, row: JobRow) -> bool:
        while not self.closing and self.clock() - row.asked_at < RETRY_S:
            status, _, retry_s = self._ask(connection, "POST", "/v2/runs", body, SUBMIT_S, "submissions")
            row.last = str(status)
            if status in (200, 201):
                row.accepted_at = self.clock()
                return True
            if status in (400, 422):
                return False
            gevent.sleep(max(1.0, min(PAUSE_S, retry_s)))
        return False

    def poll(self, connection: Connection, row: JobRow) -> None:
        """Ask about one job and record the answer, wrong ones as such."""
        status, content, _ = self._ask(connection, "GET", f"/v2/runs/{row.id}", b"", POLL_S, "polls")
        row.last = str(status)
        if status == 200:
            state = msgspec.json.decode(content, type=JobStatusResponse).state
            if state is JobStatus.DONE:
                row.done_at = row.done_at or self.clock()
            elif row.done_at is not None or state is JobStatus.CANCELLED:
                row.wrong = f"was {'done' if row.done_at is not None else 'not cancelled'} and is {state.value}"
        elif status == 404:
            row.wrong = "accepted and answered 404"

    def _ask(
        self, connection: Connection, method: str, path: str, body: bytes, within_s: float, what: str
    ) -> tuple[int, bytes, float]:
        """Status 0: no answer."""
        tried: set[str] = set()
        for _ in range(TRIES):
            if connection.fresh:
                name = self.balancer.choose(tried)
                tried.add(name)
                connection.address = self.plan.controllers[name]
            try:
                status, content, retry_s = connection.ask(method, path, body, within_s)
                self.answers[what][str(status)] += 1
                return status, content, retry_s
            except NoResponseError as e:
                self.answers[what][e.kind] += 1
                fresh = connection.fresh
                connection.close()
                if fresh:
                    self.unserved.append(Unserved(self.clock(), name, e.kind))
                if not fresh or e.kind != "refused":
                    break
                self.balancer.passed_until[name] = self.clock() + PASSED_S
        return 0, b"", 0.0

    def ask_all(self) -> None:
        """Whether all accepted jobs are known at the end, and still done; each is asked about until it is answered."""
        self.closing = True

        def ask(rows: list[JobRow]) -> None:
            connection = Connection("", self.traffic)
            for row in rows:
                for _ in range(8):
                    self.poll(connection, row)
                    if row.last in ("200", "404"):
                        break
                    gevent.sleep(1.0)
            connection.close()

        rows = [r for r in self.jobs if r.accepted_at is not None]
        gevent.joinall([gevent.spawn(ask, rows[i::16]) for i in range(16)], raise_error=True)

    def counts(self) -> dict[str, Any]:
        """Counters so far."""
        accepted = [r for r in self.jobs if r.accepted_at is not None]
        return {
            "jobs": len(self.jobs),
            "tasks": self.asked_tasks,
            "accepted": len(accepted),
            "done": sum(r.done_at is not None for r in self.jobs),
            "answers": self.answers,
            "sent": self.traffic.sent,
            "received": self.traffic.received,
            "messages": self.traffic.messages,
            "unserved": len(self.unserved),
            "healthy": sum(self.balancer.healthy.values()),
        }

    def kept_rows(self) -> PollRecord:
        """All jobs, and requests that were not served, for the checker."""
        return PollRecord(self.jobs, self.unserved)
