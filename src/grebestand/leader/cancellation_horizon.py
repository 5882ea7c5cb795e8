"""The cancellation horizon: up to which time a leader knows of every cancellation, and what that allows it to do.

Being the only leader is not enough. While the leader is cut off from the key-value store, other controllers may confirm
cancellations that it has not heard of. Each answer to a worker renews the leases of its tasks and may start a cancelled
one. So a worker is answered only if

    now <= known + cancel_s - lease_s - drift - margin

where `known` is when the last answered current read of the live records was sent. Whatever this leader does not know of
was cancelled later than that, and the lease that its answer renews ends within `cancel_s` of the cancellation. The
argument is in docs/design.md, "What a leader must know".
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..clocks import CLOCK_MARGIN_S, MAX_CLOCK_DRIFT
from ..log_events import LogEvent
from ..settings.platform import WorkerTimes

log = logging.getLogger(__name__)

#: The smallest age that knowledge may have, whatever the settings say: a leader that never answers is of no use.
TIGHTEST_S = 2.0
#: Bounds of how long a watch of the live records stays open: within an allowed age there should be several.
MAX_WATCH_S, MIN_WATCH_S = 1.0, 0.5
#: How many watches should fit within the allowed age.
WATCHES_PER_AGE = 4
#: A task is started only if cancellations are known up to this long ago: two watches in a row and a slow answer.
MAX_AGE_FOR_STARTS_S = 3.0


def max_knowledge_age_s(workers: WorkerTimes) -> float:
    """Return how old a leader's knowledge may be when it answers a worker, in seconds.

    The value is not positive if the settings leave nothing beside the lease.
    """
    return workers.cancel_s - workers.lease_s * (1 + 2 * MAX_CLOCK_DRIFT) - CLOCK_MARGIN_S


class CancellationHorizon:
    """How recent a term's knowledge of cancellations is; an answer counts from when its request was sent."""

    def __init__(self, clock: Callable[[], float], max_age_s: float = math.inf) -> None:
        """Begin without any knowledge.

        Args:
            clock: a steady clock, in seconds.
            max_age_s: how old the knowledge may be when a worker is answered; unbounded by default.
        """
        self.clock = clock
        self.max_age_s = max(max_age_s, TIGHTEST_S)
        #: every cancellation confirmed up to this time is in the job registry
        self.known_at = -math.inf
        #: up to when all other controllers have passed on what they confirmed, given what is known by reading
        self.cancellations_confirmed_up_to: Callable[[float], float] = lambda known_at: -math.inf

    @property
    def watch_ms(self) -> int:
        """For how long a watch may stay open without news, in milliseconds."""
        return int(1000 * min(MAX_WATCH_S, max(MIN_WATCH_S, self.max_age_s / WATCHES_PER_AGE)))

    @property
    def age_s(self) -> float:
        """The age of the knowledge, in seconds."""
        return self.clock() - self.known_at

    def fresh(self) -> bool:
        """Return whether a lease renewed now ends in time for whatever this term does not know of."""
        return self.clock() <= self.may_answer_until()

    def allows_starts(self) -> bool:
        """Return whether a task may be started now, which needs more recent knowledge than renewing leases.

        In an outage of the whole store nobody confirms cancellations, and the other controllers say so. A leader that
        hears neither from the store nor from all controllers is probably the one that is cut off, while the others
        cancel jobs through the next leader.
        """
        known_at = max(self.known_at, self.cancellations_confirmed_up_to(self.known_at))
        return self.max_age_s == math.inf or self.clock() <= known_at + MAX_AGE_FOR_STARTS_S

    def may_answer_until(self) -> float:
        """Return until when an answer may leave that does not stop what was cancelled after `known_at`."""
        return self.known_at + self.max_age_s if self.max_age_s < math.inf else math.inf

    def begin(self) -> None:
        """Forget everything, as a new term begins."""
        self.known_at = -math.inf

    def record_current_read(self, sent_at: float) -> None:
        """Note that the answer to a current read sent at that time has been applied to the job registry."""
        self.known_at = max(self.known_at, sent_at)

    def log_settings(self, workers: WorkerTimes) -> None:
        """Log the bound when a controller starts, and a warning if its settings leave too little."""
        allowed_s = max_knowledge_age_s(workers)
        log.info(LogEvent("cancellation_horizon_set", max_age_s=self.max_age_s))
        if allowed_s < TIGHTEST_S:
            log.warning(
                LogEvent(
                    "cancel_time_too_short",
                    reason="params.workers.cancel_s leaves too little beside params.workers.lease_s",
                    cancel_s=workers.cancel_s,
                    lease_s=workers.lease_s,
                    unreachable_machine_may_run_cancelled_s=self.max_age_s - allowed_s + workers.cancel_s,
                )
            )
