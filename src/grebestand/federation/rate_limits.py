"""Bounds on what home sends: offers and bytes a second, and a budget for repetitions, so that a link in trouble is not
flooded by those who try again."""

from __future__ import annotations

from collections.abc import Callable


class TokenBucket:
    """So many units a second, with one second's worth at once."""

    def __init__(self, per_s: float, clock: Callable[[], float]) -> None:
        self.per_s = per_s
        self.clock = clock
        self._level, self._at = per_s, clock()

    def room(self) -> float:
        """Tokens that can be taken now."""
        now = self.clock()
        self._level = min(self.per_s, self._level + (now - self._at) * self.per_s)
        self._at = now
        return self._level

    def take(self, units: float) -> bool:
        """Whether so many may be sent now. More than a second's worth goes when the bucket is full."""
        room = self.room()
        if room < min(units, self.per_s):
            return False
        self._level -= units
        return True


class RetryBackoff:
    """A budget of repetitions: each message that is sent for the first time earns a share of one, and a few a second
    are there in any case, so that what is left alone for long is still asked about."""

    def __init__(self, share: float, least_per_s: float, clock: Callable[[], float]) -> None:
        self.share = share
        self._earned = 0.0
        self._base = TokenBucket(least_per_s, clock)

    def first(self) -> None:
        """A first try: it earns a share of a retry."""
        self._earned = min(20.0, self._earned + self.share)

    def again(self) -> bool:
        """Whether a retry may be made now; takes it if so."""
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        return self._base.take(1.0)
