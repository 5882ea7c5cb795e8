"""The share of the key-value store's write rate that this controller uses, which depends on whether it leads."""

from __future__ import annotations

from ..flow_control.rate_limiter import RateLimiter
from ..state_machines import LeaderState

#: Shares of the cluster's write rate: the leader writes most, and all followers together use the rest.
LEADER_SHARE = 0.7
ALL_FOLLOWERS_SHARE = 0.3
#: Election states in which a controller has a term.
LEADER_STATES = (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)


def follower_share(controllers: int) -> float:
    """Return one follower's share of the write rate in a cluster of `controllers` controllers."""
    return ALL_FOLLOWERS_SHARE / max(1, controllers - 1)


class StoreWriteBudget:
    """Sets the rate limit of store writes according to the election state of this controller."""

    def __init__(self, limiter: RateLimiter, write_rate: float, controllers: int) -> None:
        """Create the budget; the rate limit stays unchanged until `adjust` is called.

        Args:
            limiter: Rate limiter of this controller's store writes.
            write_rate: Write rate of the whole cluster, in requests per second.
            controllers: Number of controllers in the cluster.
        """
        self.limiter = limiter
        self.write_rate = write_rate
        self._follower_share = follower_share(controllers)

    def adjust(self, state: LeaderState) -> None:
        """Set the rate limit, with bursts of up to one second's writes, for a controller in election state `state`."""
        share = LEADER_SHARE if state in LEADER_STATES else self._follower_share
        self.limiter.set_rate(self.write_rate * share, self.write_rate * share)
