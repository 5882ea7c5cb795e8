"""The users of a scale run: they submit jobs at a given rate and poll them, through an emulated load balancer."""

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

#: timeout of a submission
SUBMIT_TIMEOUT_S = 5.0
#: timeout of a poll
POLL_TIMEOUT_S = 2.0
#: the mean interval between polls of a job
POLL_INTERVAL_S = 5.0
#: bounds of the random factor of the interval between polls
POLL_JITTER = (0.9, 1.1)
#: a submission that is not accepted is retried for this time
SUBMIT_RETRY_S = 60.0
#: the shortest pause before a submission is retried, even if `Retry-After` is shorter
MIN_RETRY_PAUSE_S = 1.0
#: the longest pause before a submission is retried, even if `Retry-After` is longer
MAX_RETRY_PAUSE_S = 30.0
#: the number of connections that are tried for one request
MAX_CONNECTIONS_PER_REQUEST = 3
#: bounds of the random factor of the time between submissions; the mean of 1 keeps the rate in the long run
ARRIVAL_JITTER = (0.5, 1.5)
#: the number of connections over which all accepted jobs are polled at the end of the run
FINAL_POLL_CONNECTIONS = 16
#: how often each job is polled at the end of the run until a response with a state or 404 is received
FINAL_POLL_TRIES = 8
#: the pause between polls of the same job at the end of the run
FINAL_POLL_PAUSE_S = 1.0


class LoadUsers:
    """Users who submit jobs at a given rate, poll them until they are done, and record the responses."""

    def __init__(self, plan: LoadPlan, on_disconnect: Callable[[], None]) -> None:
        """Connect to the gang rendezvous and start to probe the controllers.

        Args:
            plan: The load to offer.
            on_disconnect: Called when the rendezvous has closed the connection.
        """
        self.plan = plan
        self.clock = time.monotonic
        self.generator = JobGenerator(plan)
        self.rng = random.Random(plan.seed + 1)
        self.balancer = Balancer(plan.controllers, self.rng)
        self.traffic = Traffic()
        self.jobs: list[JobRow] = []
        self.unserved: list[UnservedRequest] = []
        #: of submissions and of polls, the number of requests by the status of their response or the kind of failure
        self.response_counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        #: by job, the event that is set when the rendezvous has stored the description of the job
        self._described: dict[str, Event] = {}
        self.channel: MessageChannel = connect(plan.meeting, self._handle, on_disconnect)
        self.loading = False
        self.closing = False
        self.submitted_tasks = 0

    def _handle(self, message: Message) -> None:
        if message[0] == "known":
            self._described.pop(message[1]).set()

    def start(self) -> None:
        """Start to submit ordinary and urgent jobs."""
        self.loading = True
        gevent.spawn(self._submit_jobs, False, self.plan.rate)
        gevent.spawn(self._submit_jobs, True, self.plan.urgent_rate)

    def _submit_jobs(self, urgent: bool, rate: float) -> None:
        """Submit jobs at a given rate until the load ends.

        Args:
            urgent: Whether to submit urgent jobs or ordinary ones.
            rate: Urgent jobs per second, or tasks of ordinary jobs per second.
        """
        at = self.clock()
        while self.loading:
            spec, row = self.generator.next_job(urgent=urgent)
            self.generator.open_tasks[row.team] += row.tasks
            at += (1.0 if urgent else spec.tasks) / rate * self.generator.rng.uniform(*ARRIVAL_JITTER)
            gevent.sleep(max(0.0, at - self.clock()))
            if self.loading:
                gevent.spawn(self._follow_job, spec, row)

    # requests of one user -----------------------------------------------------------------------------------

    def _follow_job(self, spec: JobSpec, row: JobRow) -> None:
        """Submit one job, and poll the job until it is done or the run ends."""
        self._store_description(spec)
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

    def _store_description(self, spec: JobSpec) -> None:
        """Store the description of a job at the rendezvous.

        The description must be stored before the job is submitted, as a worker requests the description as soon as
        the worker is told to start a task.
        """
        self._described[spec.id] = described = Event()
        self.channel.send("put", spec)
        described.wait()

    def _submit(self, connection: Connection, body: bytes, row: JobRow) -> bool:
        """Submit a job, and retry until the job is accepted.

        Returns:
            Whether the job was accepted; False if the job was rejected, the retries timed out or the run is ending.
        """
        while not self.closing and self.clock() - row.asked_at < SUBMIT_RETRY_S:
            status, _, retry_s = self._request(connection, "POST", "/v2/runs", body, SUBMIT_TIMEOUT_S, "submissions")
            row.last = str(status)
            if status in (200, 201):
                row.accepted_at = self.clock()
                return True
            if status in (400, 422):
                return False
            gevent.sleep(max(MIN_RETRY_PAUSE_S, min(MAX_RETRY_PAUSE_S, retry_s)))
        return False

    def poll(self, connection: Connection, row: JobRow) -> None:
        """Poll one accepted job, and record the response and whether it contradicts an earlier response.

        Args:
            connection: The connection to use.
            row: The job; its row is updated.
        """
        status, content, _ = self._request(connection, "GET", f"/v2/runs/{row.id}", b"", POLL_TIMEOUT_S, "polls")
        row.last = str(status)
        if status == 200:
            state = msgspec.json.decode(content, type=JobStatusResponse).state
            if state is JobStatus.DONE:
                row.done_at = row.done_at or self.clock()
            elif row.done_at is not None or state is JobStatus.CANCELLED:
                row.wrong = f"was {'done' if row.done_at is not None else 'not cancelled'} and is {state.value}"
        elif status == 404:
            row.wrong = "accepted and answered 404"

    def _request(
        self, connection: Connection, method: str, path: str, body: bytes, timeout_s: float, counter: str
    ) -> tuple[int, bytes, float]:
        """Send a request, and retry it at another controller if the connection is refused.

        Args:
            connection: The connection to use; a new one is opened to a controller that the load balancer chooses.
            method: The HTTP method.
            path: The path.
            body: The body, as JSON.
            timeout_s: The timeout of each try, in seconds.
            counter: "submissions" or "polls", the counter of responses.

        Returns:
            The status, the body, and the value of `Retry-After` in seconds; status 0 if there was no response.
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
        """Poll all accepted jobs at the end of the run, to check that they are known and that done jobs remain done."""
        self.closing = True
        accepted = [row for row in self.jobs if row.accepted_at is not None]
        shares = [accepted[index::FINAL_POLL_CONNECTIONS] for index in range(FINAL_POLL_CONNECTIONS)]
        gevent.joinall([gevent.spawn(self._poll_until_answered, share) for share in shares], raise_error=True)

    def _poll_until_answered(self, rows: list[JobRow]) -> None:
        """Poll jobs one after the other, each until its state or 404 is received, at most `FINAL_POLL_TRIES` times."""
        connection = Connection("", self.traffic)
        for row in rows:
            for _ in range(FINAL_POLL_TRIES):
                self.poll(connection, row)
                if row.last in ("200", "404"):
                    break
                gevent.sleep(FINAL_POLL_PAUSE_S)
        connection.close()

    # records ------------------------------------------------------------------------------------------------

    def counts(self) -> dict[str, Any]:
        """Return the counters so far; the JSON report contains them under their names."""
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
        """Return all jobs, and new connections without a response, for `scale_check` and the report."""
        return UserRecords(self.jobs, self.unserved)
