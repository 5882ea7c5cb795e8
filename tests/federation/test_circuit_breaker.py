"""Circuit breaker of another cluster: pauses, trial requests, and how the breaker closes again."""

from __future__ import annotations

import random

from grebestand.federation.circuit_breaker import FAILURES_TO_OPEN, CircuitBreaker
from grebestand.federation.state_machines import BreakerState
from grebestand.simulation.single_controller_cluster import ManualClock


def test_breaker_pauses_grow_until_a_request_succeeds() -> None:
    clock = ManualClock()
    breaker = CircuitBreaker("east", clock, random.Random(3))
    pauses = []
    for _ in range(4):
        while breaker.allows_request():
            breaker.record_failure("no answer")
        begin = clock.now
        while not breaker.allows_request():
            clock.now += 0.1
        pauses.append(clock.now - begin)
        breaker.record_failure("no answer")
    assert FAILURES_TO_OPEN > 1 and pauses[-1] > 2 * pauses[0] and breaker.state is BreakerState.OPEN
    clock.now += 500.0
    assert breaker.allows_request()
    breaker.record_success()
    assert breaker.state.name == "CLOSED"


def test_breaker_allows_another_trial_if_the_first_was_never_sent() -> None:
    """An allowed trial request may not be sent, because of a rate limit: the breaker must not wait for it forever."""
    clock = ManualClock()
    breaker = CircuitBreaker("east", clock, random.Random(3))
    while breaker.allows_request():
        breaker.record_failure("no answer")
    clock.now += 10.0
    assert breaker.allows_request() and not breaker.allows_request()
    clock.now += 10.0
    assert breaker.allows_request() and not breaker.allows_request()
    breaker.record_success()
    assert breaker.allows_request() and breaker.allows_request()
