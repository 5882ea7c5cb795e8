"""Follows the current leader, or renews this controller's leader lease and resigns if a peer should lead instead."""

from __future__ import annotations

import logging
import math
import random

import gevent

from ..clients.kv_store import StoreError
from ..connectivity.link_health import LinkHealth
from ..leader.election import LeaderElection
from ..log_events import LogEvent
from ..state_machines import LeaderState
from .current_term import CurrentTerm
from .leadership_transfer import LeadershipTransfer

log = logging.getLogger(__name__)

#: Longest interval between two lease renewals. A leader's authority lasts from its last renewal, so an outage that
#: begins just before a renewal shortens the remaining authority by up to this interval.
RENEW_INTERVAL_S = 0.5
#: Minimum number of renewals in a lease, which shortens the renewal interval of a short lease.
RENEWALS_PER_LEASE = 6
#: Delay before a failed renewal is retried.
RENEW_RETRY_S = 0.3
#: Delay before a follower retries a failed store request; a random part of up to the same length is added.
STORE_RETRY_S = 0.3
#: Delay before the loop continues after an unexpected exception.
CRASH_RETRY_S = 1.0
#: Number of heartbeat intervals without contact to any worker after which the link to workers is suspect.
SUSPECT_AFTER_INTERVALS = 2
#: Interval between a follower's reads of the leader key: the shortest one, and the random part added to it, which
#: keeps the controllers from reading at the same moments.
FOLLOW_INTERVAL_S, FOLLOW_JITTER_S = 0.8, 0.4


class LeaderLoop:
    """Performs the periodic steps of this controller's leader election."""

    def __init__(
        self,
        *,
        election: LeaderElection,
        current_term: CurrentTerm,
        transfer: LeadershipTransfer,
        workers_link: LinkHealth,
        heartbeat_interval_s: float,
        rng: random.Random,
    ) -> None:
        self.election = election
        self.current_term = current_term
        self.transfer = transfer
        self.workers_link = workers_link
        self.heartbeat_interval_s = heartbeat_interval_s
        self.rng = rng

    def run(self) -> None:
        """Read the leader key as a follower, or renew the lease as the leader, until the process ends."""
        while True:
            try:
                pause_s = self._step()
            except StoreError as error:
                log.debug(LogEvent("leader_key_not_read", reason=error))
                pause_s = STORE_RETRY_S + STORE_RETRY_S * self.rng.random()
            except Exception:
                log.exception(LogEvent("leader_loop_crashed"))
                pause_s = CRASH_RETRY_S
            gevent.sleep(pause_s)

    def _step(self) -> float:
        """Read the leader key or renew the lease once; return the delay until the next step, in seconds."""
        self.election.check_clock()
        self.workers_link.check_silence(SUSPECT_AFTER_INTERVALS * self.heartbeat_interval_s, math.inf)
        if self.election.state in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
            self.election.read_leader_key()
            return FOLLOW_INTERVAL_S + FOLLOW_JITTER_S * self.rng.random()
        if not self.election.renew():
            self.transfer.check_store()
            return RENEW_RETRY_S
        if self.election.state is LeaderState.PAUSED:
            self._resume()
        self.transfer.check_workers()
        if self.election.state is LeaderState.LEADING:
            self.transfer.check_overload()
        return min(RENEW_INTERVAL_S, self.election.lease_ttl_s / RENEWALS_PER_LEASE)

    def _resume(self) -> None:
        """Resume leading after a pause, once cancellations committed during the pause have been read.

        No heartbeat may be answered before that read, as the response could start tasks of a cancelled job.
        """
        term = self.current_term.term
        if term is None or not term.loaded:
            self.election.change_state(LeaderState.LOADING, "lease renewed after a pause; records still to be loaded")
            return
        term.job_watch.catch_up()
        # while `catch_up` was reading, the term may have ended or a worker may have reported a higher fencing token
        if (
            self.current_term.term is term
            and self.election.state is LeaderState.PAUSED
            and not self.election.challenging_token
        ):
            self.election.change_state(LeaderState.LEADING, "lease renewed after a pause; cancellations read")
