"""A rate limiter: a token bucket that serves waiting callers by priority."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from gevent.event import AsyncResult

from ..errors import GrebestandError

#: If more callers than this are waiting, callers of low priority are rejected at once, because they would time out.
MAX_WAITING = 400
#: default limit on the wait for tokens
DEFAULT_MAX_WAIT_S = 2.0
#: Minimum delay of the timer that serves waiting callers. Without it, a delay that is rounded to zero could restart the
#: timer in a busy loop.
MIN_TIMER_S = 0.002
#: tokens by which the bucket may fall short of a requested amount due to rounding
ROUNDING_TOKENS = 1e-9


class Urgency(IntEnum):
    """Priority of a caller of a rate limiter. Callers with lower values are served first."""

    #: renewal of the leader lease
    LEASE = 0
    #: recovery of the state by a new leader
    TAKEOVER = 1
    #: changes that a user waits for, such as the acceptance of a job
    ACCEPT = 2
    #: completion of jobs
    COMPLETION = 3
    #: progress of jobs and periodic audits
    PROGRESS = 4
    #: status requests
    POLL = 5


class RateLimitedError(GrebestandError):
    """A caller did not get its tokens in time, or was rejected because too many callers are waiting.

    Attributes:
        urgency: Priority of the caller.
    """

    def __init__(self, urgency: Urgency) -> None:
        self.urgency = urgency
        super().__init__("rate budget exhausted")


class _Waiter(NamedTuple):
    """A waiting caller. Waiters are ordered by urgency, then by arrival.

    Attributes:
        urgency: Priority of the caller.
        arrival: Sequence number of the caller.
        amount: Number of tokens that the caller waits for.
        granted: Set once the tokens have been taken for the caller.
    """

    urgency: int
    arrival: int
    amount: float
    granted: AsyncResult


class RateLimiter:
    """A token bucket. `acquire` waits for tokens, and waiting callers are served in the order of their urgency."""

    def __init__(
        self,
        rate: float,
        burst: float,
        clock: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Start with a full bucket.

        Args:
            rate: Tokens that are added per second.
            burst: Capacity of the bucket in tokens; values below 1 count as 1.
            clock: Returns the time of the monotonic clock in seconds.
            call_later: Calls a function after a number of seconds.
        """
        self.rate = rate
        self.burst = max(burst, 1.0)
        self._clock = clock
        self._call_later = call_later
        self._tokens = self.burst
        self._refilled_at = clock()
        self._waiting: list[_Waiter] = []
        self._arrival_count = 0
        self._timer_pending = False

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate and the capacity of the bucket.

        Args:
            rate: Tokens that are added per second from now on.
            burst: Capacity of the bucket in tokens; values below 1 count as 1.
        """
        self._refill()
        self.rate, self.burst = rate, max(burst, 1.0)

    def acquire(self, urgency: Urgency, amount: float = 1.0, max_wait_s: float = DEFAULT_MAX_WAIT_S) -> None:
        """Take tokens from the bucket, and wait for them if necessary.

        Args:
            urgency: Priority of the caller.
            amount: Number of tokens. An amount above the capacity counts as the capacity.
            max_wait_s: Maximum wait in seconds.

        Raises:
            RateLimitedError: The tokens were not available within `max_wait_s` seconds, or the urgency is low and more
                than `MAX_WAITING` callers are waiting.
        """
        self._refill()
        amount = min(amount, self.burst)
        if not self._waiting and self._tokens >= amount:
            self._tokens -= amount
            return
        if len(self._waiting) > MAX_WAITING and urgency >= Urgency.PROGRESS:
            raise RateLimitedError(urgency)
        self._wait_for_tokens(urgency, amount, max_wait_s)

    def _wait_for_tokens(self, urgency: Urgency, amount: float, max_wait_s: float) -> None:
        """Wait until `_serve` has taken the tokens for this caller."""
        self._arrival_count += 1
        waiter = _Waiter(int(urgency), self._arrival_count, amount, AsyncResult())
        heapq.heappush(self._waiting, waiter)
        self._start_timer()
        # `_serve` may grant the tokens after the wait has timed out but before this greenlet runs again
        if not waiter.granted.wait(timeout=max_wait_s) and not waiter.granted.ready():
            if waiter in self._waiting:
                self._waiting.remove(waiter)
                heapq.heapify(self._waiting)
            raise RateLimitedError(urgency)

    def _refill(self) -> None:
        """Add the tokens for the time since the last refill."""
        now = self._clock()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def _start_timer(self) -> None:
        """Schedule `_serve` for when the first waiter's tokens are available, unless it is scheduled already."""
        if self._timer_pending or not self._waiting:
            return
        self._timer_pending = True
        missing = max(0.0, self._waiting[0].amount - self._tokens)
        self._call_later(max(MIN_TIMER_S, missing / self.rate), self._serve)

    def _serve(self) -> None:
        """Take tokens for waiting callers, in their order, until the bucket does not hold enough for the next one."""
        self._timer_pending = False
        self._refill()
        while self._waiting and self._tokens + ROUNDING_TOKENS >= self._waiting[0].amount:
            waiter = heapq.heappop(self._waiting)
            self._tokens -= waiter.amount
            waiter.granted.set(True)
        self._start_timer()
