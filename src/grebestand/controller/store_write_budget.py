"""The share of the key-value store's write rate that this controller uses as a leader or as a follower."""

from __future__ import annotations

from ..flow_control.rate_limiter import RateLimiter
from ..state_machines import LeaderState

#: parts of the cluster's write rate: the leader writes most, all followers together use the rest
LEADER_SHARE = 0.7
ALL_FOLLOWERS_SHARE = 0.3
#: states in which a controller has a term
LEADER_STATES = (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)


def follower_share(controllers: int) -> float:
    """Return the share of the write rate of one follower in a cluster of so many controllers."""
    return ALL_FOLLOWERS_SHARE / max(1, controllers - 1)


class StoreWriteBudget:
    """Adjusts a rate limiter of writes to the role of this controller."""

    def __init__(self, limiter: RateLimiter, write_rate: float, controllers: int) -> None:
        """`write_rate` is that of the whole cluster, per second."""
        self.limiter = limiter
        self.write_rate = write_rate
        self._follower_share = follower_share(controllers)

    def adjust(self, state: LeaderState) -> None:
        """Set the rate, and the burst of one second, for a controller in this state."""
        share = LEADER_SHARE if state in LEADER_STATES else self._follower_share
        self.limiter.set_rate(self.write_rate * share, self.write_rate * share)
