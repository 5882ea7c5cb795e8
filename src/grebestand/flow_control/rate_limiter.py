"""A rate limiter: a token bucket whose waiting callers are served by priority."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from gevent.event import AsyncResult

from ..errors import GrebestandError

#: with more callers waiting than this, requests of low priority are refused at once: their turn would not come in time
MAX_WAITING = 400
#: patience of a caller that names none
DEFAULT_PATIENCE_S = 2.0
#: shortest delay of the timer that serves waiting callers, so that rounding cannot make it spin
MIN_TIMER_S = 0.002
#: tokens by which the bucket may fall short of an amount through rounding
ROUNDING_TOKENS = 1e-9


class Urgency(IntEnum):
    """Priority of a request that waits at a rate limiter; lower values are served first."""

    #: renewal of the leader lease
    HOLD = 0
    #: recovery after a failover
    TAKEOVER = 1
    #: a decision that a user waits for, such as the acceptance of a job
    ACCEPT = 2
    #: completion of jobs
    DONE = 3
    #: progress of jobs and periodic audits
    PROGRESS = 4
    #: status requests
    POLL = 5


class RateLimitedError(GrebestandError):
    """A caller's turn did not come within its patience.

    Attributes:
        urgency: The priority of the caller.
    """

    def __init__(self, urgency: Urgency) -> None:
        self.urgency = urgency
        super().__init__("rate budget exhausted")


class _Waiter(NamedTuple):
    """A caller that waits for its turn; waiters are ordered by urgency, then by arrival."""

    urgency: int
    arrival: int
    amount: float
    turn: AsyncResult


class RateLimiter:
    """A token bucket. `take` waits for its turn, and urgent callers overtake others."""

    def __init__(
        self,
        rate: float,
        burst: float,
        now: Callable[[], float],
        later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Start with a full bucket.

        Args:
            rate: Tokens that are added per second.
            burst: Capacity of the bucket in tokens; at least 1 is used.
            now: Returns the steady clock in seconds.
            later: Calls a function after a number of seconds.
        """
        self.rate = rate
        self.burst = max(burst, 1.0)
        self._now = now
        self._later = later
        self._tokens = self.burst
        self._refilled_at = now()
        self._waiting: list[_Waiter] = []
        self._arrivals = 0
        self._timer_pending = False

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate and the capacity from now on."""
        self._refill()
        self.rate, self.burst = rate, max(burst, 1.0)

    def take(self, urgency: Urgency, amount: float = 1.0, patience_s: float = DEFAULT_PATIENCE_S) -> None:
        """Take tokens, waiting for them if necessary. An amount above the capacity counts as the capacity.

        Raises:
            RateLimitedError: The tokens were not available within `patience_s` seconds, or too many callers wait.
        """
        self._refill()
        amount = min(amount, self.burst)
        if not self._waiting and self._tokens >= amount:
            self._tokens -= amount
            return
        if len(self._waiting) > MAX_WAITING and urgency >= Urgency.PROGRESS:
            raise RateLimitedError(urgency)
        self._wait_for_turn(urgency, amount, patience_s)

    def _wait_for_turn(self, urgency: Urgency, amount: float, patience_s: float) -> None:
        """Wait until `_serve` has taken the tokens for this caller."""
        self._arrivals += 1
        waiter = _Waiter(int(urgency), self._arrivals, amount, AsyncResult())
        heapq.heappush(self._waiting, waiter)
        self._start_timer()
        # the turn may come while a caller whose patience has ended is on its way back from `wait`
        if not waiter.turn.wait(timeout=patience_s) and not waiter.turn.ready():
            if waiter in self._waiting:
                self._waiting.remove(waiter)
                heapq.heapify(self._waiting)
            raise RateLimitedError(urgency)

    def _refill(self) -> None:
        """Add the tokens for the time that has passed."""
        now = self._now()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def _start_timer(self) -> None:
        """Make sure that `_serve` runs when the first waiter's tokens are available."""
        if self._timer_pending or not self._waiting:
            return
        self._timer_pending = True
        missing = max(0.0, self._waiting[0].amount - self._tokens)
        self._later(max(MIN_TIMER_S, missing / self.rate), self._serve)

    def _serve(self) -> None:
        """Give waiting callers their turns, in order, as far as the tokens suffice."""
        self._timer_pending = False
        self._refill()
        while self._waiting and self._tokens + ROUNDING_TOKENS >= self._waiting[0].amount:
            waiter = heapq.heappop(self._waiting)
            self._tokens -= waiter.amount
            waiter.turn.set(True)
        self._start_timer()
