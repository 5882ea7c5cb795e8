"""Overload control: how late a controller is, as a named state, and the load it sheds in each state.

Without enough processor time everything would be late by the same amount. Instead, what the controller's promises
depend on comes first (lease renewal, heartbeats, accepting and cancelling jobs, placement), and other work gives way.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..log_events import LogEvent
from ..settings.platform import ProcessLimits
from ..state_machines import LOAD_TRANSITIONS, LoadState, check_transition

log = logging.getLogger(__name__)

#: interval between measurements of the lag; short against `STRAINED_S`, so that a lag is noticed at once
LAG_SAMPLE_INTERVAL_S = 0.1
#: lag from which the controller is strained, and lag from which it is overloaded
STRAINED_S, OVERLOADED_S = 0.15, 1.0
#: a state is left once the lag has stayed below half of the state's limit for this long
RECOVERY_S = 2.0
#: lag that a state is entered with; half of it keeps the state
_LIMIT_S = {LoadState.NORMAL: 0.0, LoadState.STRAINED: STRAINED_S, LoadState.OVERLOADED: OVERLOADED_S}

#: memory that a request in progress may need for its body, its buffers and its stack
REQUEST_KB = 128.0
#: users' requests that a whole processor can have in progress without becoming late
REQUESTS_PER_PROCESSOR = 400
#: part of the memory and of the sockets that users' requests may take
USERS_PART = 1 / 8
#: users' requests that even the smallest controller handles at a time
MIN_USER_REQUESTS = 8.0
#: part of `OverloadMonitor.most_users` that status requests may fill while the controller is overloaded
OVERLOADED_POLL_DIVISOR = 4


class OverloadMonitor:
    """The load state of a controller, derived from its lag, and its limit on users' requests.

    Attributes:
        state: The current load state.
        since: When that state was entered, by the clock, in seconds.
        most_users: Users' requests that may be in progress at a time.
    """

    def __init__(self, quota: ProcessLimits, clock: Callable[[], float]) -> None:
        """Start in the normal state, with a limit that follows from the quota."""
        self.clock = clock
        self.state = LoadState.NORMAL
        self.since = clock()
        #: when the lag was last at least half of the limit of the current state
        self._last_late_at = self.since
        self.most_users = _max_user_requests(quota)

    def move(self, new: LoadState, reason: str) -> None:
        """Change the load state; every change goes through this method."""
        if new is self.state:
            return
        check_transition(LOAD_TRANSITIONS, self.state, new, "load")
        log.warning(LogEvent("load_state_changed", from_=self.state, to=new, reason=reason))
        self.state, self.since = new, self.clock()

    def record_lag(self, late_s: float) -> None:
        """Take in a measurement of the lag: by how many seconds work is late that is due now."""
        now = self.clock()
        worse = LoadState.OVERLOADED if late_s >= OVERLOADED_S else LoadState.STRAINED
        recovered_below_s = _LIMIT_S[self.state] / 2
        if late_s >= STRAINED_S and worse.value > self.state.value:
            self._last_late_at = now
            self.move(worse, f"late by {late_s:.2f} s")
        elif late_s >= recovered_below_s:
            self._last_late_at = now
        elif now - self._last_late_at >= RECOVERY_S:
            self._last_late_at = now
            better = LoadState.STRAINED if self.state is LoadState.OVERLOADED else LoadState.NORMAL
            self.move(better, f"late by less than {recovered_below_s:.2f} s for {RECOVERY_S:.0f} s")

    @property
    def spare(self) -> bool:
        """Whether there is time for work that can wait: migration, the exchange of cached images, full collections.

        Placement is never slowed down. A gang often starts only after two or three full scheduling passes, so longer
        pauses between passes would delay gangs by a multiple of what they save.
        """
        return self.state is LoadState.NORMAL

    def admits(self, users: int, poll: bool) -> bool:
        """Return whether one more request of a user is admitted.

        Args:
            users: Users' requests that are in progress.
            poll: Whether the request only asks for a job's status.
        """
        if poll and self.state is LoadState.OVERLOADED:
            return users < self.most_users // OVERLOADED_POLL_DIVISOR
        return users < self.most_users


def _max_user_requests(quota: ProcessLimits) -> int:
    """Return how many users' requests may be in progress in a process with this quota."""
    by_processor = REQUESTS_PER_PROCESSOR * min(1.0, quota.cpu_share)
    by_memory = quota.memory_mb * 1024 / REQUEST_KB * USERS_PART
    by_sockets = quota.max_connections * USERS_PART
    return int(max(MIN_USER_REQUESTS, min(by_processor, by_memory, by_sockets)))
