"""Rate limits on messages and log events, and a retry budget that keeps retries from flooding an impaired link."""

from __future__ import annotations

from collections.abc import Callable

#: Limit on the retries that are saved up for a burst.
MAX_EARNED_RETRIES = 20.0


class TokenBucket:
    """A token bucket that is refilled with `per_s` tokens a second and holds the tokens of one second."""

    def __init__(self, per_s: float, clock: Callable[[], float]) -> None:
        """Start with a full bucket.

        Args:
            per_s: Tokens added a second.
            clock: Steady clock, in seconds.
        """
        self.per_s = per_s
        self.clock = clock
        self._level = per_s
        self._filled_at = clock()

    def available(self) -> float:
        """Return how many tokens the bucket holds now; negative after a request for more than it can hold."""
        now = self.clock()
        self._level = min(self.per_s, self._level + (now - self._filled_at) * self.per_s)
        self._filled_at = now
        return self._level

    def take(self, tokens: float) -> bool:
        """Take tokens and return True, or return False if the bucket holds too few.

        More tokens than the bucket can hold may be taken when the bucket is full; its level is negative then.

        Args:
            tokens: How many tokens to take.
        """
        if self.available() < min(tokens, self.per_s):
            return False
        self._level -= tokens
        return True


class RetryBudget:
    """A retry budget.

    Each message sent for the first time earns a share of a retry. A minimum rate of retries is always allowed, so that
    the status of a gang is still queried when nothing else is sent.
    """

    def __init__(self, share: float, min_per_s: float, clock: Callable[[], float]) -> None:
        """Start without earned retries.

        Args:
            share: Retries earned by each first try.
            min_per_s: Retries always allowed a second.
            clock: Steady clock, in seconds.
        """
        self.share = share
        self._earned = 0.0
        self._min_rate = TokenBucket(min_per_s, clock)

    def record_first_try(self) -> None:
        """Earn a share of a retry."""
        self._earned = min(MAX_EARNED_RETRIES, self._earned + self.share)

    def take_retry(self) -> bool:
        """Take a retry from the budget; return whether the retry is allowed."""
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        return self._min_rate.take(1.0)
