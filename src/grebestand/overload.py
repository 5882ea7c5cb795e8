"""How far a controller is behind its clock, as a state with a name, and what it still takes on in each.

When the share of a processor does not suffice, everything is late by the same amount. What keeps the promises goes
first: renewing the hold, then reports from workers, then accepting and cancelling; placing and polls give way.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from .machines import LOAD_STEPS, LoadState, step
from .settings import Quota

log = logging.getLogger("grebestand.overload")

#: a controller looks so often whether it is late
LOOK_S = 0.1
#: late by so much, it is strained or overloaded; after a while of less than half of that it has recovered
STRAINED_S, OVERLOADED_S = 0.15, 1.0
RECOVERY_S = 2.0
#: full passes over all jobs and machines are followed by rest of so many times their length, on a whole core
REST = 6.0
SLOWER = {LoadState.NORMAL: 1.0, LoadState.STRAINED: 3.0, LoadState.OVERLOADED: 6.0}
#: what a request that is being answered may hold: its body, its buffers and its stack
REQUEST_KB = 128.0


class Load:
    def __init__(self, quota: Quota, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.state = LoadState.NORMAL
        self.worst_at = clock()
        self.cpu = min(1.0, max(0.05, quota.cpu_share))
        #: requests of users that are answered at once; an eighth of the memory and of the sockets
        self.most_users = int(
            max(8.0, min(400 * self.cpu, quota.memory_mb * 1024 / 8 / REQUEST_KB, quota.max_connections / 8))
        )

    def move(self, new: LoadState, why: str) -> None:
        """The one function that changes what load a controller thinks it is under."""
        if new is self.state:
            return
        step(LOAD_STEPS, self.state, new, "load")
        log.warning("load: %s -> %s: %s", self.state.name, new.name, why)
        self.state = new

    def felt(self, late_s: float) -> None:
        """What should have been done by now is so much late."""
        now = self.clock()
        worse = LoadState.OVERLOADED if late_s >= OVERLOADED_S else LoadState.STRAINED
        limit = {LoadState.NORMAL: 0.0, LoadState.STRAINED: STRAINED_S, LoadState.OVERLOADED: OVERLOADED_S}[self.state]
        if late_s >= STRAINED_S and worse.value > self.state.value:
            self.worst_at = now
            self.move(worse, f"late by {late_s:.2f} s")
        elif late_s >= limit / 2:
            self.worst_at = now
        elif now - self.worst_at >= RECOVERY_S:
            self.worst_at = now
            down = LoadState.STRAINED if self.state is LoadState.OVERLOADED else LoadState.NORMAL
            self.move(down, f"late by less than {limit / 2:.2f} s for {RECOVERY_S:.0f} s")

    def rest(self, took_s: float) -> float:
        """How long passes over everything stop after one that took so long."""
        return took_s * REST * SLOWER[self.state] / self.cpu

    def takes(self, users: int, poll: bool) -> bool:
        """Whether one more request of a user is taken in while so many are being answered."""
        if poll and self.state is LoadState.OVERLOADED:
            return users < self.most_users // 4
        return users < self.most_users
