"""What a user asked of the service and was told of one job, and what of that may not be.

Several may ask about one job at once, at all controllers. Answers are judged as linearizability has it: a question
that was sent after a newer answer had come may not be answered older.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from typing import Any


@dataclass
class ClientObservation:
    """What follows from one answer."""

    #: rules that it breaks
    violations: list[str] = field(default_factory=list)
    #: it came after a newer one, and was asked for before that
    stale_overlapping: list[str] = field(default_factory=list)
    #: it is the first to say so
    is_news: bool = False


@dataclass
class ClientHistory:
    """A job by what its user submitted, and was told."""

    job_id: str
    spec: dict[str, Any]
    submitted_at: float
    accepted_at: float | None = None
    done_at: float | None = None
    #: when a question about it was last answered, and the longest that it took since all troubles were over
    last_answered_at: float = 0.0
    max_unanswered_s: float = 0.0
    #: it was submitted with a mistake, and fails wherever it is started
    always_fails: bool = False
    #: when its user asks to cancel it, and when it was told that it is cancelled
    cancel_at: float = math.inf
    cancelled_at: float | None = None
    #: when its first task began
    first_started_at: float = math.inf
    #: its final state and counts as first told
    final_result: tuple[str, int, int] | None = None

    def __post_init__(self) -> None:
        self.body = json.dumps(self.spec).encode()
        self.team, self.tasks = str(self.spec["crew"]), int(self.spec["shards"])
        self.cpus, self.gpus = float(self.spec["cpus"]), float(self.spec["cards"])
        self.is_gang = self.spec["shape"] == "ensemble"
        #: all its tasks have to be in one zone; at most half of them, rounded up, may be; the only zone that may be
        self.same_place, self.scatter = bool(self.spec["samePlace"]), bool(self.spec["scatter"])
        self.zone = self.spec["quay"]

    @property
    def is_finished(self) -> bool:
        """Whether a final state was told."""
        return self.done_at is not None or self.cancelled_at is not None

    def record_response(
        self, status: int, body: bytes, asked: float, now: float, calm_at: float, undone: list[str]
    ) -> ClientObservation:
        """An answer has come to a question that was sent at `asked`; `undone` are tasks that have not completed."""
        news = ClientObservation()
        known, over = self.accepted_at, self.done_at if self.done_at is not None else self.cancelled_at
        if status in (400, 422) and known is not None:
            news.violations.append(f"accepted and then answered {status}")
        if status == 404:
            self._add_stale_response(news, asked, known, "accepted and then unknown")
            return news
        if status not in (200, 201):
            return news
        if known is None:
            self.accepted_at = self.last_answered_at = now
            news.is_news = True
        self.max_unanswered_s = max(self.max_unanswered_s, now - max(self.last_answered_at, calm_at))
        self.last_answered_at = now
        said = json.loads(body)
        tide, final = said["tide"], (said["tide"], said.get("done", 0), said.get("running", 0))
        if tide not in ("done", "cancelled"):
            self._add_stale_response(
                news, asked, over, f"was {'done' if self.done_at is not None else 'cancelled'} and is {tide}"
            )
            return news
        if self.final_result is not None:
            if final != self.final_result:
                news.violations.append(f"was told as {self.final_result} and is {final}")
            return news
        news.is_news = True
        self.final_result = final
        if tide == "done":
            self.done_at = now
            if undone and not self.is_gang:
                news.violations.append(f"is called done, and {undone[:5]} are not")
        else:
            self.cancelled_at = now
            if now < self.cancel_at:
                news.violations.append("is cancelled, and nobody asked for that")
        return news

    @staticmethod
    def _add_stale_response(news: ClientObservation, asked: float, newer_at: float | None, text: str) -> None:
        """An answer older than one that came at `newer_at`: wrong if it was asked for after that."""
        if newer_at is not None:
            (news.violations if asked >= newer_at else news.stale_overlapping).append(text)

    def fits_free_capacity(self, free: dict[str, float], zone_of: dict[str, str], there: list[str]) -> bool:
        """Whether a waiting task, or the whole gang, would find room, with tasks of it in these zones."""
        slots: dict[str, int] = {}
        for name, cpus in free.items():
            zone = zone_of[name]
            if self.zone in (None, zone):
                slots[zone] = slots.get(zone, 0) + int((cpus + 1e-6) // self.cpus)
        if self.scatter:
            half = -(-self.tasks // 2)
            slots = {zone: min(n, half - there.count(zone)) for zone, n in slots.items()}
        if self.same_place:
            return any(n >= (self.tasks if self.is_gang else 1) for z, n in slots.items() if not there or z == there[0])
        return sum(slots.values()) >= (self.tasks if self.is_gang else 1)
