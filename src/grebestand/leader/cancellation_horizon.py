"""The cancellation horizon: the time up to which a leader knows every cancellation, and what the leader may do by it.

Being the only leader is not enough. While the leader is disconnected from the key-value store, other controllers may
confirm cancellations that the leader has not received. Each response to a worker renews the leases of the worker's
tasks and may start a cancelled task. So a worker is answered only if

    now <= known_at + cancel_s - lease_s - drift - margin

where `known_at` is when the last answered current read of the live records was sent. A cancellation that the leader
does not know was confirmed after `known_at`, and the lease renewed by the response expires within `cancel_s` of that
cancellation. The proof is in docs/design.md, "What a leader must know".
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..clocks import CLOCK_MARGIN_S, MAX_CLOCK_DRIFT
from ..log_events import LogEvent
from ..settings.platform import WorkerTimes

log = logging.getLogger(__name__)

#: The maximum age of the knowledge of cancellations is at least this long, in seconds, whatever the settings say: with
#: a shorter one the leader could never answer a worker.
SMALLEST_MAX_AGE_S = 2.0
#: The longest and shortest time that a watch of the live records stays open without changes, in seconds.
MAX_WATCH_S, MIN_WATCH_S = 1.0, 0.5
#: How many watches should fit within the maximum age of the knowledge of cancellations.
WATCHES_PER_AGE = 4
#: The maximum age of the knowledge of cancellations when a task is started, in seconds: it allows for two consecutive
#: watches and a slow response.
MAX_AGE_FOR_STARTS_S = 3.0


def max_knowledge_age_s(workers: WorkerTimes) -> float:
    """Return the maximum age of a leader's knowledge of cancellations when the leader answers a worker.

    Args:
        workers: the settings of the workers, of which the lease and the cancellation limit count.

    Returns:
        The maximum age in seconds; zero or negative if the lease takes up the whole cancellation limit.
    """
    return workers.cancel_s - workers.lease_s * (1 + 2 * MAX_CLOCK_DRIFT) - CLOCK_MARGIN_S


class CancellationHorizon:
    """How recent a term's knowledge of cancellations is, measured from when the last answered read was sent."""

    def __init__(self, clock: Callable[[], float], max_age_s: float = math.inf) -> None:
        """Start without any knowledge of cancellations.

        Args:
            clock: a monotonic clock, in seconds.
            max_age_s: the maximum age of the knowledge when a worker is answered, in seconds; unbounded by default.
        """
        self.clock = clock
        self.max_age_s = max(max_age_s, SMALLEST_MAX_AGE_S)
        #: every cancellation confirmed before this time of `clock` is in the job registry
        self.known_at = -math.inf
        #: given `known_at`, returns the time up to which all other controllers have reported their cancellations
        self.cancellations_confirmed_up_to: Callable[[float], float] = lambda known_at: -math.inf

    @property
    def watch_ms(self) -> int:
        """How long a watch of the live records may stay open without changes, in milliseconds."""
        return int(1000 * min(MAX_WATCH_S, max(MIN_WATCH_S, self.max_age_s / WATCHES_PER_AGE)))

    @property
    def age_s(self) -> float:
        """The age of the knowledge of cancellations, in seconds."""
        return self.clock() - self.known_at

    def allows_responses(self) -> bool:
        """Return whether a lease renewed now would expire in time for every cancellation unknown to this term."""
        return self.clock() <= self.may_answer_until()

    def allows_starts(self) -> bool:
        """Return whether a task may be started now, which requires more recent knowledge than renewing leases.

        In an outage of the whole store no controller can confirm cancellations, and the other controllers report that.
        A leader that reaches neither the store nor all other controllers is probably partitioned, while the other
        controllers cancel jobs through the next leader.
        """
        known_at = max(self.known_at, self.cancellations_confirmed_up_to(self.known_at))
        return self.max_age_s == math.inf or self.clock() <= known_at + MAX_AGE_FOR_STARTS_S

    def may_answer_until(self) -> float:
        """Return until when a worker may be answered without knowledge of the cancellations after `known_at`."""
        return self.known_at + self.max_age_s if self.max_age_s < math.inf else math.inf

    def reset(self) -> None:
        """Discard the knowledge of cancellations at the start of a term."""
        self.known_at = -math.inf

    def record_current_read(self, sent_at: float) -> None:
        """Record that the response to a current read has been applied to the job registry.

        Args:
            sent_at: when the read was sent, in seconds of `clock`.
        """
        self.known_at = max(self.known_at, sent_at)

    def log_settings(self, workers: WorkerTimes) -> None:
        """Log the maximum age when a controller starts, and a warning if the settings make it too short.

        Args:
            workers: the settings that the maximum age was computed from.
        """
        allowed_s = max_knowledge_age_s(workers)
        log.info(LogEvent("cancellation_horizon_set", max_age_s=self.max_age_s))
        if allowed_s < SMALLEST_MAX_AGE_S:
            log.warning(
                LogEvent(
                    "cancel_time_too_short",
                    reason="params.workers.cancel_s leaves too little beside params.workers.lease_s",
                    cancel_s=workers.cancel_s,
                    lease_s=workers.lease_s,
                    unreachable_machine_may_run_cancelled_s=self.max_age_s - allowed_s + workers.cancel_s,
                )
            )
