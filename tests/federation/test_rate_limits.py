"""Rate limits of messages and of retries."""

from __future__ import annotations

from collections.abc import Callable

from grebestand.federation.rate_limits import RetryBudget, TokenBucket
from grebestand.simulation.single_controller_cluster import ManualClock


def count_taken(take: Callable[[], bool], clock: ManualClock, seconds: float) -> int:
    taken = 0
    for _ in range(int(seconds * 100)):
        clock.now += 0.01
        taken += take()
    return taken


def test_retries_are_bounded_by_first_tries() -> None:
    clock = ManualClock()
    retries = RetryBudget(0.3, 1.0, clock)
    assert count_taken(retries.take_retry, clock, 60.0) <= 62
    for _ in range(30):
        retries.record_first_try()
    assert 9 <= sum(retries.take_retry() for _ in range(100)) <= 11


def test_token_bucket_bounds_the_rate_and_the_burst() -> None:
    clock = ManualClock()
    bucket = TokenBucket(4.0, clock)
    assert count_taken(lambda: bucket.take(1.0), clock, 30.0) <= 30 * 4 + 4
    clock.now += 10.0
    # More tokens than the bucket holds can be taken from a full bucket, whose level is negative then.
    assert bucket.take(100.0) and not bucket.take(1.0)
