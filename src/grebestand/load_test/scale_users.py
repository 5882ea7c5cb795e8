"""Users of a scale run: they submit jobs at a rate and poll them by the protocol, through a load balancer."""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from ..wire.jobs import JobSpec, JobStatus, JobStatusResponse
from .balancer import Balancer
from .connection import Connection, NoResponseError, Traffic
from .gang_rendezvous import Message, MessageChannel, connect
from .job_generator import JobGenerator
from .records import JobRow, LoadPlan, UnservedRequest, UserRecords

#: a submission, and a poll, is answered within this, in seconds
SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
#: a job is polled this often, in seconds, up to `POLL_JITTER` of it more or less
POLL_INTERVAL_S = 5.0
POLL_JITTER = (0.9, 1.1)
#: a submission is retried for this long, in seconds
SUBMIT_RETRY_S = 60.0
#: between two tries of a submission, whatever `Retry-After` asks for, in seconds
MIN_RETRY_PAUSE_S = 1.0
MAX_RETRY_PAUSE_S = 30.0
#: connections that are tried for one request
MAX_CONNECTIONS_PER_REQUEST = 3
#: times between two submissions, as shares of the mean: the rate is kept in the long run
ARRIVAL_JITTER = (0.5, 1.5)
#: at the end, all jobs are asked about over so many connections, each job so many times
FINAL_POLL_CONNECTIONS = 16
FINAL_POLL_TRIES = 8
FINAL_POLL_PAUSE_S = 1.0


class LoadUsers:
    """Users who submit jobs at a rate, poll them until they are done, and record each answer."""

    def __init__(self, plan: LoadPlan, ended: Callable[[], None]) -> None:
        """Connect to the gang rendezvous and begin to probe controllers.

        Args:
            plan: what users ask for.
            ended: called when the rendezvous is gone.
        """
        self.plan = plan
        self.clock = time.monotonic
        self.generator = JobGenerator(plan)
        self.rng = random.Random(plan.seed + 1)
        self.balancer = Balancer(plan.controllers, self.rng)
        self.traffic = Traffic()
        self.jobs: list[JobRow] = []
        self.unserved: list[UnservedRequest] = []
        #: how submissions and polls were answered: by status, or by the kind of failure
        self.response_counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        #: by job, set when the rendezvous has its description
        self._described: dict[str, Event] = {}
        self.channel: MessageChannel = connect(plan.meeting, self._handle, ended)
        self.loading = False
        self.closing = False
        self.submitted_tasks = 0

    def _handle(self, message: Message) -> None:
        if message[0] == "known":
            self._described.pop(message[1]).set()

    def start(self) -> None:
        """Start submitting."""
        self.loading = True
        gevent.spawn(self._submit_jobs, False, self.plan.rate)
        gevent.spawn(self._submit_jobs, True, self.plan.urgent_rate)

    def _submit_jobs(self, urgent: bool, rate: float) -> None:
        """Submit jobs at a rate, which counts the tasks of ordinary jobs, and urgent jobs themselves."""
        at = self.clock()
        while self.loading:
            spec, row = self.generator.next_job(urgent=urgent)
            self.generator.open_tasks[row.team] += row.tasks
            at += (1.0 if urgent else spec.tasks) / rate * self.generator.rng.uniform(*ARRIVAL_JITTER)
            gevent.sleep(max(0.0, at - self.clock()))
            if self.loading:
                gevent.spawn(self._follow_job, spec, row)

    # one user -----------------------------------------------------------------------------------------------

    def _follow_job(self, spec: JobSpec, row: JobRow) -> None:
        """Submit one job, and poll it until it is done."""
        self._describe(spec)
        row.asked_at = self.clock()
        self.jobs.append(row)
        self.submitted_tasks += row.tasks
        connection = Connection("", self.traffic)
        if self._submit(connection, msgspec.json.encode(spec), row):
            while row.done_at is None and not self.closing:
                gevent.sleep(POLL_INTERVAL_S * self.rng.uniform(*POLL_JITTER))
                if not self.closing:
                    self.poll(connection, row)
        self.generator.open_tasks[row.team] -= row.tasks
        connection.close()

    def _describe(self, spec: JobSpec) -> None:
        """Have the rendezvous know a job before any worker can ask for it."""
        self._described[spec.id] = described = Event()
        self.channel.send("put", spec)
        described.wait()

    def _submit(self, connection: Connection, body: bytes, row: JobRow) -> bool:
        """Submit a job until it is accepted; return False if it was rejected or the time for it is over."""
        while not self.closing and self.clock() - row.asked_at < SUBMIT_RETRY_S:
            status, _, retry_s = self._ask(connection, "POST", "/v2/runs", body, SUBMIT_TIMEOUT_S, "submissions")
            row.last = str(status)
            if status in (200, 201):
                row.accepted_at = self.clock()
                return True
            if status in (400, 422):
                return False
            gevent.sleep(max(MIN_RETRY_PAUSE_S, min(MAX_RETRY_PAUSE_S, retry_s)))
        return False

    def poll(self, connection: Connection, row: JobRow) -> None:
        """Ask about one accepted job and record the answer, and whether it contradicts an earlier one."""
        status, content, _ = self._ask(connection, "GET", f"/v2/runs/{row.id}", b"", POLL_TIMEOUT_S, "polls")
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
        self, connection: Connection, method: str, path: str, body: bytes, timeout_s: float, counter: str
    ) -> tuple[int, bytes, float]:
        """Send a request, over another connection if one is refused.

        Returns:
            Status, body and the seconds of `Retry-After`; status 0 if there was no answer.
        """
        tried: set[str] = set()
        for _ in range(MAX_CONNECTIONS_PER_REQUEST):
            if connection.is_new:
                name = self.balancer.choose(tried)
                tried.add(name)
                connection.address = self.plan.controllers[name]
            try:
                status, content, retry_s = connection.request(method, path, body, timeout_s)
                self.response_counts[counter][str(status)] += 1
                return status, content, retry_s
            except NoResponseError as error:
                self.response_counts[counter][error.kind] += 1
                fresh = connection.is_new
                connection.close()
                if fresh:
                    self.unserved.append(UnservedRequest(self.clock(), name, error.kind))
                if not fresh or error.kind != "refused":
                    break
                self.balancer.record_refusal(name)
        return 0, b"", 0.0

    def poll_accepted_jobs(self) -> None:
        """Ask about all accepted jobs at the end: whether they are known, and still done."""
        self.closing = True
        accepted = [row for row in self.jobs if row.accepted_at is not None]
        shares = [accepted[index::FINAL_POLL_CONNECTIONS] for index in range(FINAL_POLL_CONNECTIONS)]
        gevent.joinall([gevent.spawn(self._poll_until_answered, share) for share in shares], raise_error=True)

    def _poll_until_answered(self, rows: list[JobRow]) -> None:
        connection = Connection("", self.traffic)
        for row in rows:
            for _ in range(FINAL_POLL_TRIES):
                self.poll(connection, row)
                if row.last in ("200", "404"):
                    break
                gevent.sleep(FINAL_POLL_PAUSE_S)
        connection.close()

    # what was recorded --------------------------------------------------------------------------------------

    def counts(self) -> dict[str, Any]:
        """Return the counters so far; their names are part of the JSON figures."""
        return {
            "jobs": len(self.jobs),
            "tasks": self.submitted_tasks,
            "accepted": sum(row.accepted_at is not None for row in self.jobs),
            "done": sum(row.done_at is not None for row in self.jobs),
            "answers": self.response_counts,
            "sent": self.traffic.sent,
            "received": self.traffic.received,
            "messages": self.traffic.messages,
            "unserved": len(self.unserved),
            "healthy": sum(self.balancer.healthy.values()),
        }

    def records(self) -> UserRecords:
        """Return all jobs, and requests that were not served, for the checker."""
        return UserRecords(self.jobs, self.unserved)
