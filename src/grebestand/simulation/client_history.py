"""The responses that users received about one job, and checks of their consistency.

Requests about a job may be concurrent, at any controller. Responses must be linearizable: a request that was sent
after a newer response had been received must not be answered with older state.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from typing import Any


@dataclass
class ClientObservation:
    """What one response shows.

    Attributes:
        violations: Rules that the response breaks.
        stale_overlapping: Older states that the response shows although a newer one had been received; this is allowed,
            because the request was sent before the newer response was received.
        is_news: Whether the response is the first to show its state of the job.
    """

    violations: list[str] = field(default_factory=list)
    stale_overlapping: list[str] = field(default_factory=list)
    is_news: bool = False


@dataclass
class ClientHistory:
    """One job, as its user submitted it and as responses described it. Times are simulated seconds.

    Attributes:
        job_id: The job's id.
        spec: The submission, by its field names on the wire.
        submitted_at: When the user first submitted the job.
        accepted_at: When the first response that the job was accepted was received, or None.
        done_at: When the first response that the job is done was received, or None.
        last_answered_at: When the last request about the job was answered.
        max_unanswered_s: The longest time between two responses since all faults ended.
        always_fails: Whether every task of the job fails, on any machine.
        cancel_at: When the user requests the cancellation; infinite if never.
        cancelled_at: When the first response that the job is cancelled was received, or None.
        first_started_at: When the job's first task started; infinite before that.
        final_result: The final state with the numbers of done and running tasks, from the first response with a final
            state, or None.
    """

    job_id: str
    spec: dict[str, Any]
    submitted_at: float
    accepted_at: float | None = None
    done_at: float | None = None
    last_answered_at: float = 0.0
    max_unanswered_s: float = 0.0
    always_fails: bool = False
    cancel_at: float = math.inf
    cancelled_at: float | None = None
    first_started_at: float = math.inf
    final_result: tuple[str, int, int] | None = None

    def __post_init__(self) -> None:
        self.body = json.dumps(self.spec).encode()
        self.team, self.tasks = str(self.spec["crew"]), int(self.spec["shards"])
        self.cpus, self.gpus = float(self.spec["cpus"]), float(self.spec["cards"])
        self.is_gang = self.spec["shape"] == "ensemble"
        #: all tasks must run in one zone
        self.same_zone = bool(self.spec["samePlace"])
        #: at most half of the tasks, rounded up, may run in one zone
        self.spread_zones = bool(self.spec["scatter"])
        #: the only zone that is allowed, or None
        self.zone = self.spec["quay"]

    @property
    def is_finished(self) -> bool:
        """Whether a response with a final state was received."""
        return self.done_at is not None or self.cancelled_at is not None

    def record_response(
        self,
        status: int,
        body: bytes,
        sent_at: float,
        now: float,
        faults_ended_at: float,
        unfinished_tasks: list[str],
    ) -> ClientObservation:
        """Record a response, and check it against the earlier ones.

        Args:
            status: The HTTP status.
            body: The JSON body.
            sent_at: When the request was sent, in simulated seconds.
            now: When the response was received, in simulated seconds.
            faults_ended_at: When all faults ended, in simulated seconds; infinite before that.
            unfinished_tasks: The job's tasks that no worker has completed.

        Returns:
            What the response shows.
        """
        observation = ClientObservation()
        accepted_at = self.accepted_at
        finished_at = self.done_at if self.done_at is not None else self.cancelled_at
        if status in (400, 422) and accepted_at is not None:
            observation.violations.append(f"accepted and then answered {status}")
        if status == 404:
            self._add_stale_response(observation, sent_at, accepted_at, "accepted and then unknown")
            return observation
        if status not in (200, 201):
            return observation
        if accepted_at is None:
            self.accepted_at = self.last_answered_at = now
            observation.is_news = True
        self.max_unanswered_s = max(self.max_unanswered_s, now - max(self.last_answered_at, faults_ended_at))
        self.last_answered_at = now
        response = json.loads(body)
        state = response["tide"]
        result = (state, response.get("done", 0), response.get("running", 0))
        if state not in ("done", "cancelled"):
            final_state = "done" if self.done_at is not None else "cancelled"
            self._add_stale_response(observation, sent_at, finished_at, f"was {final_state} and is {state}")
            return observation
        if self.final_result is not None:
            if result != self.final_result:
                observation.violations.append(f"was told as {self.final_result} and is {result}")
            return observation
        observation.is_news = True
        self.final_result = result
        if state == "done":
            self.done_at = now
            if unfinished_tasks and not self.is_gang:
                observation.violations.append(f"is called done, and {unfinished_tasks[:5]} are not")
        else:
            self.cancelled_at = now
            if now < self.cancel_at:
                observation.violations.append("is cancelled, and nobody asked for that")
        return observation

    @staticmethod
    def _add_stale_response(observation: ClientObservation, sent_at: float, newer_at: float | None, text: str) -> None:
        """Add a response with older state: a violation if it was requested after the newer one was received."""
        if newer_at is not None:
            (observation.violations if sent_at >= newer_at else observation.stale_overlapping).append(text)

    def fits_free_capacity(self, free_cpus: dict[str, float], zone_of: dict[str, str], used_zones: list[str]) -> bool:
        """Whether another task of the job, or all tasks of a gang, could be placed.

        Args:
            free_cpus: Free CPUs of each machine.
            zone_of: The zone of each machine.
            used_zones: The zone of each running task of the job.
        """
        slots: dict[str, int] = {}
        for name, cpus in free_cpus.items():
            zone = zone_of[name]
            if self.zone in (None, zone):
                slots[zone] = slots.get(zone, 0) + int((cpus + 1e-6) // self.cpus)
        if self.spread_zones:
            half = -(-self.tasks // 2)
            slots = {zone: min(n, half - used_zones.count(zone)) for zone, n in slots.items()}
        needed = self.tasks if self.is_gang else 1
        if self.same_zone:
            return any(n >= needed for zone, n in slots.items() if not used_zones or zone == used_zones[0])
        return sum(slots.values()) >= needed
