"""A circuit breaker for another cluster: pauses requests to a cluster that fails to reply, for longer each time."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from ..log_events import LogEvent
from ..state_machines import check_transition
from .state_machines import BREAKER_TRANSITIONS, BreakerState

log = logging.getLogger(__name__)

#: Consecutive failures that open the breaker.
FAILURES_TO_OPEN = 3
#: Mean length of the first pause, in seconds; the mean doubles with each further pause.
SHORTEST_PAUSE_S = 2.0
#: Limit on the mean length of a pause, in seconds.
LONGEST_PAUSE_S = 30.0
#: Another trial request is allowed if no result of a trial request was recorded for this long, in seconds. Such a trial
#: request was allowed but not sent, for example because of a rate limit.
TRIAL_TIMEOUT_S = 5.0


class CircuitBreaker:
    """Pauses requests to a cluster after consecutive failures, and allows one trial request after each pause."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        rng: random.Random,
        failures_to_open: int = FAILURES_TO_OPEN,
        longest_pause_s: float = LONGEST_PAUSE_S,
    ) -> None:
        """Start closed, so that requests are allowed.

        Args:
            name: Name of the cluster, for the log.
            clock: Steady clock, in seconds.
            rng: Source of random lengths of pauses.
            failures_to_open: Consecutive failures that open the breaker.
            longest_pause_s: Limit on the mean length of a pause, in seconds.
        """
        self.name = name
        self.failures_to_open = failures_to_open
        self.longest_pause_s = longest_pause_s
        self.clock = clock
        self.rng = rng
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._pause_s = SHORTEST_PAUSE_S
        self._paused_until = 0.0
        self._trial_at = 0.0

    def change_state(self, new: BreakerState, reason: str) -> None:
        """Change the breaker's state; no other function does so.

        Args:
            new: The new state.
            reason: Why the state changes, for the log.

        Raises:
            IllegalTransitionError: `BREAKER_TRANSITIONS` does not allow the transition.
        """
        check_transition(BREAKER_TRANSITIONS, self.state, new, f"breaker of {self.name}")
        log.info(LogEvent("circuit_breaker_changed", cluster=self.name, from_=self.state, to=new, reason=reason))
        self.state = new

    def allows_request(self) -> bool:
        """Return whether a request may be sent now.

        After a pause, the first call returns True as the trial request. The breaker is in the state TRYING then,
        and further calls return False until the result is recorded or `TRIAL_TIMEOUT_S` has passed.
        """
        now = self.clock()
        if self.state is BreakerState.OPEN and now >= self._paused_until:
            self._trial_at = now
            self.change_state(BreakerState.TRYING, "pause over, trial request allowed")
            return True
        if self.state is BreakerState.TRYING and now - self._trial_at >= TRIAL_TIMEOUT_S:
            self._trial_at = now
            return True
        return self.state is BreakerState.CLOSED

    def record_success(self) -> None:
        """Record a request that received a reply; if it was the trial request, the breaker closes."""
        self._failures = 0
        if self.state is BreakerState.TRYING:
            self._pause_s = SHORTEST_PAUSE_S
            self.change_state(BreakerState.CLOSED, "reply received")

    def record_failure(self, reason: str) -> None:
        """Record a failed request; the breaker opens after several in a row, or after a failed trial request.

        Args:
            reason: Why the request failed, for the log.
        """
        self._failures += 1
        if self.state is BreakerState.OPEN:
            return
        if self.state is BreakerState.CLOSED and self._failures < self.failures_to_open:
            return
        # Random, so that clusters which lost the same network link do not all send trial requests at the same time.
        self._paused_until = self.clock() + self._pause_s * (0.5 + self.rng.random())
        self._pause_s = min(self.longest_pause_s, 2 * self._pause_s)
        self.change_state(BreakerState.OPEN, reason)
