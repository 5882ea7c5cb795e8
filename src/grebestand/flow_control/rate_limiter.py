"""A shared rate budget: a token bucket whose waiters are served by priority."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum

from gevent.event import AsyncResult


class Urgency(IntEnum):
    """Who goes first when the budget is short."""

    HOLD = 0
    TAKEOVER = 1
    ACCEPT = 2
    DONE = 3
    PROGRESS = 4
    POLL = 5


class RateLimitedError(Exception):
    """There is no budget left within the caller's patience."""


class RateLimiter:
    """`take` waits for its turn; callers that matter more overtake those that matter less."""

    def __init__(
        self,
        rate: float,
        burst: float,
        now: Callable[[], float],
        later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self._level = self.burst
        self._now = now
        self._later = later
        self._stamp = now()
        self._waiting: list[tuple[int, int, float, AsyncResult]] = []
        self._count = 0
        self._armed = False

    def _refill(self) -> None:
        now = self._now()
        self._level = min(self.burst, self._level + (now - self._stamp) * self.rate)
        self._stamp = now

    def set_rate(self, rate: float, burst: float) -> None:
        self._refill()
        self.rate, self.burst = rate, max(burst, 1.0)

    def take(self, urgency: Urgency, amount: float = 1.0, patience_s: float = 2.0) -> None:
        self._refill()
        amount = min(amount, self.burst)
        if not self._waiting and self._level >= amount:
            self._level -= amount
            return
        if len(self._waiting) > 400 and urgency >= Urgency.PROGRESS:
            raise RateLimitedError("rate budget exhausted")
        self._count += 1
        turn: AsyncResult = AsyncResult()
        entry = (int(urgency), self._count, amount, turn)
        heapq.heappush(self._waiting, entry)
        self._arm()
        if not turn.wait(timeout=patience_s) and not turn.ready():
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise RateLimitedError("rate budget exhausted")

    def _arm(self) -> None:
        if self._armed or not self._waiting:
            return
        self._armed = True
        lack = max(0.0, self._waiting[0][2] - self._level)
        self._later(max(0.002, lack / self.rate), self._serve)

    def _serve(self) -> None:
        self._armed = False
        self._refill()
        while self._waiting and self._level + 1e-9 >= self._waiting[0][2]:
            _, _, amount, turn = heapq.heappop(self._waiting)
            self._level -= amount
            turn.set(True)
        self._arm()
