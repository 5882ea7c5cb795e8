"""How far a controller is behind its clock, as a state with a name, and what it still takes on in each.

When the share of a processor does not suffice, everything is late by the same amount. What keeps the promises goes
first: renewing the hold, reports from workers, accepting and cancelling, placing; the rest gives way.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..settings.platform import Quota
from ..state_machines import LOAD_TRANSITIONS, LoadState, check_transition

log = logging.getLogger(__name__)

#: a controller looks so often whether it is late
LAG_SAMPLE_INTERVAL_S = 0.1
#: late by so much, it is strained or overloaded; after a while of less than half of that it has recovered
STRAINED_S, OVERLOADED_S = 0.15, 1.0
RECOVERY_S = 2.0
#: what a request that is being answered may hold: its body, its buffers and its stack
REQUEST_KB = 128.0
#: what has to be exceeded by half for a load to last
_LIMIT_S = {LoadState.NORMAL: 0.0, LoadState.STRAINED: STRAINED_S, LoadState.OVERLOADED: OVERLOADED_S}


class OverloadMonitor:
    def __init__(self, quota: Quota, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.state = LoadState.NORMAL
        self.worst_at = self.since = clock()
        by_processor = 400 * min(1.0, quota.cpu_share)
        # an eighth of the memory and of the sockets
        by_memory = quota.memory_mb * 1024 / REQUEST_KB / 8
        #: requests of users that are answered at the same time
        self.most_users = int(max(8.0, min(by_processor, by_memory, quota.max_connections / 8)))

    def move(self, new: LoadState, why: str) -> None:
        """The one function that changes what load a controller thinks it is under."""
        if new is self.state:
            return
        check_transition(LOAD_TRANSITIONS, self.state, new, "load")
        log.warning("load: %s -> %s: %s", self.state.name, new.name, why)
        self.state, self.since = new, self.clock()

    def felt(self, late_s: float) -> None:
        """What should have been done by now is so much late."""
        now = self.clock()
        worse = LoadState.OVERLOADED if late_s >= OVERLOADED_S else LoadState.STRAINED
        limit = _LIMIT_S[self.state]
        if late_s >= STRAINED_S and worse.value > self.state.value:
            self.worst_at = now
            self.move(worse, f"late by {late_s:.2f} s")
        elif late_s >= limit / 2:
            self.worst_at = now
        elif now - self.worst_at >= RECOVERY_S:
            self.worst_at = now
            down = LoadState.STRAINED if self.state is LoadState.OVERLOADED else LoadState.NORMAL
            self.move(down, f"late by less than {limit / 2:.2f} s for {RECOVERY_S:.0f} s")

    @property
    def spare(self) -> bool:
        """Whether there is time for what only makes things better: migration, and telling others of images.

        Placing is not slowed down. Gangs start in full passes, often after two or three of them, so with longer
        rests a late controller made everything else late as well.
        """
        return self.state is LoadState.NORMAL

    def takes(self, users: int, poll: bool) -> bool:
        """Whether one more request of a user is taken in while so many are being answered."""
        if poll and self.state is LoadState.OVERLOADED:
            return users < self.most_users // 4
        return users < self.most_users
