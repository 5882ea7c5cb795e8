"""Overload control: the load state of a controller, derived from its lag, and the load that it sheds in each state.

The lag is the delay with which due work is executed. Without overload control, all work of a controller with too little
processor time would be delayed equally. Instead, the work on which the controller's guarantees depend has priority
(lease renewal, heartbeats, accepting and cancelling jobs, placement), and other work is postponed or rejected.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..log_events import LogEvent
from ..settings.platform import ProcessLimits
from ..state_machines import LOAD_TRANSITIONS, LoadState, check_transition

log = logging.getLogger(__name__)

#: Interval between measurements of the lag. Shorter than `STRAINED_S`, so that a lag is detected at once.
LAG_SAMPLE_INTERVAL_S = 0.1
#: lag at which the controller becomes strained
STRAINED_S = 0.15
#: lag at which the controller becomes overloaded
OVERLOADED_S = 1.0
#: Time for which the lag has to stay below half of the entry lag of a load state before the controller leaves it.
RECOVERY_S = 2.0
#: Lag at which each load state is entered. A lag of at least half of this value keeps the controller in the state.
_ENTRY_LAG_S = {LoadState.NORMAL: 0.0, LoadState.STRAINED: STRAINED_S, LoadState.OVERLOADED: OVERLOADED_S}

#: memory that one request in progress may need for its body, its buffers and its stack
REQUEST_MEMORY_KB = 128.0
#: user requests that a whole processor can have in progress without lag
REQUESTS_PER_PROCESSOR = 400
#: share of the memory and of the sockets that user requests may use
USER_SHARE = 1 / 8
#: user requests that a controller admits at a time even with the smallest quota
MIN_USER_REQUESTS = 8.0
#: an overloaded controller admits status requests only up to `OverloadMonitor.max_user_requests` divided by this
OVERLOADED_POLL_DIVISOR = 4


class OverloadMonitor:
    """The load state of a controller, derived from its lag, and its limit on user requests.

    Attributes:
        state: The current load state.
        state_entered_at: Time at which the current load state was entered, in seconds on `clock`.
        max_user_requests: Maximum number of user requests in progress.
    """

    def __init__(self, quota: ProcessLimits, clock: Callable[[], float]) -> None:
        """Start in the normal load state.

        Args:
            quota: Resource limits of the controller, from which the limit on user requests is derived.
            clock: Returns the time of the monotonic clock in seconds.
        """
        self.clock = clock
        self.state = LoadState.NORMAL
        self.state_entered_at = clock()
        #: time at which the lag was last high enough to keep the current load state
        self._last_lag_at = self.state_entered_at
        self.max_user_requests = _max_user_requests(quota)

    def change_state(self, new: LoadState, reason: str) -> None:
        """Change the load state. Every change goes through this method, which checks and logs the transition."""
        if new is self.state:
            return
        check_transition(LOAD_TRANSITIONS, self.state, new, "load")
        log.warning(LogEvent("load_state_changed", from_=self.state, to=new, reason=reason))
        self.state, self.state_entered_at = new, self.clock()

    def record_lag(self, lag_s: float) -> None:
        """Update the load state after a measurement of the lag.

        Args:
            lag_s: Delay, in seconds, of the work that was due at the time of the measurement.
        """
        now = self.clock()
        worse = LoadState.OVERLOADED if lag_s >= OVERLOADED_S else LoadState.STRAINED
        recovered_below_s = _ENTRY_LAG_S[self.state] / 2
        if lag_s >= STRAINED_S and worse.value > self.state.value:
            self._last_lag_at = now
            self.change_state(worse, f"lag of {lag_s:.2f} s")
        elif lag_s >= recovered_below_s:
            self._last_lag_at = now
        elif now - self._last_lag_at >= RECOVERY_S:
            self._last_lag_at = now
            better = LoadState.STRAINED if self.state is LoadState.OVERLOADED else LoadState.NORMAL
            self.change_state(better, f"lag below {recovered_below_s:.2f} s for {RECOVERY_S:.0f} s")

    @property
    def has_spare_time(self) -> bool:
        """Whether the controller has time for work that can wait.

        Work that can wait is migration, the exchange of cached images and full garbage collections. Placement is never
        slowed down: a gang often starts only after two or three full scheduling passes, so longer pauses between passes
        would delay gangs by several times the processor time that the pauses save.
        """
        return self.state is LoadState.NORMAL

    def admits(self, in_progress: int, poll: bool) -> bool:
        """Return whether one more user request is admitted.

        Args:
            in_progress: Number of user requests in progress.
            poll: Whether the request is a status request.
        """
        if poll and self.state is LoadState.OVERLOADED:
            return in_progress < self.max_user_requests // OVERLOADED_POLL_DIVISOR
        return in_progress < self.max_user_requests


def _max_user_requests(quota: ProcessLimits) -> int:
    """Return how many user requests may be in progress in a controller with this quota."""
    by_processor = REQUESTS_PER_PROCESSOR * min(1.0, quota.cpu_share)
    by_memory = quota.memory_mb * 1024 / REQUEST_MEMORY_KB * USER_SHARE
    by_sockets = quota.max_connections * USER_SHARE
    return int(max(MIN_USER_REQUESTS, min(by_processor, by_memory, by_sockets)))
