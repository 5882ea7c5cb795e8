"""Limits on what is sent or logged per second, and a budget of retries that does not flood a link in trouble."""

from __future__ import annotations

from collections.abc import Callable

#: bounds the burst of retries after a long time without any
MAX_EARNED_RETRIES = 20.0


class TokenBucket:
    """A rate limit of `per_s` tokens a second, with one second's worth at once."""

    def __init__(self, per_s: float, clock: Callable[[], float]) -> None:
        """Start with one second's worth of tokens; `clock` is a steady clock in seconds."""
        self.per_s = per_s
        self.clock = clock
        self._level = per_s
        self._filled_at = clock()

    def available(self) -> float:
        """Return the tokens that can be taken now."""
        now = self.clock()
        self._level = min(self.per_s, self._level + (now - self._filled_at) * self.per_s)
        self._filled_at = now
        return self._level

    def take(self, tokens: float) -> bool:
        """Take tokens if there are enough; more than a second's worth goes when the bucket is full."""
        if self.available() < min(tokens, self.per_s):
            return False
        self._level -= tokens
        return True


class RetryBudget:
    """A budget of retries.

    Each message sent for the first time earns a share of a retry. A few retries a second are allowed in any case, so
    that a gang is still asked about when nothing else is sent.
    """

    def __init__(self, share: float, least_per_s: float, clock: Callable[[], float]) -> None:
        """Start without earned retries.

        Args:
            share: retries earned by each first try.
            least_per_s: retries allowed a second in any case.
            clock: a steady clock, in seconds.
        """
        self.share = share
        self._earned = 0.0
        self._least = TokenBucket(least_per_s, clock)

    def record_first_try(self) -> None:
        """Earn a share of a retry."""
        self._earned = min(MAX_EARNED_RETRIES, self._earned + self.share)

    def take_retry(self) -> bool:
        """Take a retry if one is left; return whether it may be made."""
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        return self._least.take(1.0)
