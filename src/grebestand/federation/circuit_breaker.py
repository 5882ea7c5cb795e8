"""A circuit breaker for another cluster: one that does not answer is not asked for growing pauses."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from ..log_events import LogEvent
from ..state_machines import check_transition
from .state_machines import BREAKER_TRANSITIONS, BreakerState

log = logging.getLogger(__name__)

#: failures in a row that open the breaker
FAILURES_TO_OPEN = 3
#: the first pause; each further one is twice as long
SHORTEST_PAUSE_S = 2.0
#: bounds the pauses
LONGEST_PAUSE_S = 30.0
#: a trial request that has had no result for so long was never sent: another one is allowed
TRIAL_TIMEOUT_S = 5.0


class CircuitBreaker:
    """Pauses requests to a cluster that does not answer, and allows one trial request after each pause."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        rng: random.Random,
        failures: int = FAILURES_TO_OPEN,
        longest_s: float = LONGEST_PAUSE_S,
    ) -> None:
        """Start closed, so that requests are allowed.

        Args:
            name: the cluster's name, for the log.
            clock: a steady clock, in seconds.
            rng: draws the lengths of pauses.
            failures: failures in a row that open the breaker.
            longest_s: the longest pause, in seconds.
        """
        self.name = name
        self.failures_to_open = failures
        self.longest_pause_s = longest_s
        self.clock = clock
        self.rng = rng
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._pause_s = SHORTEST_PAUSE_S
        self._paused_until = 0.0
        self._trial_at = 0.0

    def change_state(self, new: BreakerState, why: str) -> None:
        """Change the state: the one function that does so.

        Raises:
            IllegalTransitionError: the table of transitions does not allow it.
        """
        check_transition(BREAKER_TRANSITIONS, self.state, new, f"breaker of {self.name}")
        log.info(LogEvent("circuit_breaker_changed", cluster=self.name, from_=self.state, to=new, reason=why))
        self.state = new

    def allows_request(self) -> bool:
        """Return whether a request may be sent now; after a pause, that counts as the one trial request."""
        now = self.clock()
        if self.state is BreakerState.OPEN and now >= self._paused_until:
            self._trial_at = now
            self.change_state(BreakerState.TRYING, "the pause is over")
            return True
        if self.state is BreakerState.TRYING and now - self._trial_at >= TRIAL_TIMEOUT_S:
            self._trial_at = now
            return True
        return self.state is BreakerState.CLOSED

    def record_success(self) -> None:
        """Note that a request was answered; a trial request closes the breaker."""
        self._failures = 0
        if self.state is BreakerState.TRYING:
            self._pause_s = SHORTEST_PAUSE_S
            self.change_state(BreakerState.CLOSED, "it answers")

    def record_failure(self, why: str) -> None:
        """Note that a request failed; opens the breaker after several in a row, or after a failed trial."""
        self._failures += 1
        if self.state is BreakerState.OPEN:
            return
        if self.state is BreakerState.CLOSED and self._failures < self.failures_to_open:
            return
        # random, so that clusters which lost the same link do not return together
        self._paused_until = self.clock() + self._pause_s * (0.5 + self.rng.random())
        self._pause_s = min(self.longest_pause_s, 2 * self._pause_s)
        self.change_state(BreakerState.OPEN, why)
