"""The rate limiter: urgent callers are served first, and callers time out."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from grebestand.flow_control.rate_limiter import RateLimitedError, RateLimiter, Urgency
from grebestand.simulation.single_controller_cluster import ManualClock


class ManualTimers:
    """Timers that run when the test calls `run_last`."""

    def __init__(self) -> None:
        self.pending: list[Callable[[], None]] = []

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self.pending.append(call)

    def run_last(self) -> None:
        self.pending.pop()()


def limiter_without_tokens(clock: ManualClock, timers: ManualTimers) -> RateLimiter:
    """Return a limiter with one token per second whose only token has been taken."""
    limiter = RateLimiter(1.0, 1.0, clock, timers.later)
    limiter.acquire(Urgency.POLL)
    return limiter


def test_urgent_caller_overtakes_waiting_ones() -> None:
    clock, timers = ManualClock(), ManualTimers()
    limiter = limiter_without_tokens(clock, timers)
    served: list[str] = []

    def acquire(urgency: Urgency, name: str) -> None:
        limiter.acquire(urgency)
        served.append(name)

    callers = [
        gevent.spawn(acquire, urgency, name) for urgency, name in ((Urgency.POLL, "poll"), (Urgency.LEASE, "hold"))
    ]
    gevent.sleep(0)
    for _ in range(2):
        clock.now += 1.0
        timers.run_last()
        gevent.sleep(0)
    gevent.joinall(callers, timeout=1)
    assert served == ["hold", "poll"]


def test_caller_that_cannot_wait_is_rejected() -> None:
    limiter = limiter_without_tokens(ManualClock(), ManualTimers())
    with pytest.raises(RateLimitedError):
        limiter.acquire(Urgency.POLL, max_wait_s=0.0)
