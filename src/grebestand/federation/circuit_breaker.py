"""How well another cluster answers, as a state with a name: one that does not is left alone for growing pauses."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from ..log_events import LogEvent
from ..state_machines import check_transition
from .state_machines import BREAKER_TRANSITIONS, BreakerState

log = logging.getLogger(__name__)

#: failures in a row that open it, and the shortest and longest pause, in seconds
FAILURES, SHORTEST_S, LONGEST_S = 3, 2.0, 30.0
#: a question that was let through after a pause and about which nothing was heard for so long was never asked
UNASKED_S = 5.0


class CircuitBreaker:
    """Leaves a cluster that does not answer alone for growing pauses, and tries it once after each."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        rng: random.Random,
        failures: int = FAILURES,
        longest_s: float = LONGEST_S,
    ) -> None:
        self.name = name
        self.most_failures = failures
        self.longest_s = longest_s
        self.clock = clock
        self.rng = rng
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._pause_s = SHORTEST_S
        self._until = self._tried = 0.0

    def move(self, new: BreakerState, why: str) -> None:
        """The one function that changes the state."""
        check_transition(BREAKER_TRANSITIONS, self.state, new, f"breaker of {self.name}")
        log.info(LogEvent("circuit_breaker_changed", cluster=self.name, from_=self.state, to=new, reason=why))
        self.state = new

    def lets(self) -> bool:
        """Whether the cluster may be asked now; after a pause, one question at a time."""
        now = self.clock()
        if self.state is BreakerState.OPEN and now >= self._until:
            self._tried = now
            self.move(BreakerState.TRYING, "the pause is over")
            return True
        if self.state is BreakerState.TRYING and now - self._tried >= UNASKED_S:
            self._tried = now
            return True
        return self.state is BreakerState.CLOSED

    def answered(self) -> None:
        """A request was answered."""
        self._failures = 0
        if self.state is BreakerState.TRYING:
            self._pause_s = SHORTEST_S
            self.move(BreakerState.CLOSED, "it answers")

    def failed(self, why: str) -> None:
        """A request was not answered; opens the breaker after several in a row, or after a failed try."""
        self._failures += 1
        if self.state is BreakerState.OPEN or (
            self.state is BreakerState.CLOSED and self._failures < self.most_failures
        ):
            return
        # drawn from half to one and a half times, so that those that lost the same link do not come back together
        self._until = self.clock() + self._pause_s * (0.5 + self.rng.random())
        self._pause_s = min(self.longest_s, 2 * self._pause_s)
        self.move(BreakerState.OPEN, why)
