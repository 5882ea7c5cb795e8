"""Follows the present leader, or renews this controller's own leader lease, and gives way where others do better."""

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

#: between two renewals. Authority counts from the last one, so an outage shortens it by this much at worst; never more
#: than this part of the lease, so that several renewals fit a short one
RENEW_INTERVAL_S = 0.5
RENEWALS_PER_LEASE = 6
#: before a renewal that had no answer is tried again
RENEW_RETRY_S = 0.3
#: before the loop goes on after a failed request of a follower (plus a random part up to the same) and after a crash
STORE_RETRY_S = 0.3
CRASH_RETRY_S = 1.0
#: after so many heartbeat intervals without a worker the link to workers is suspect
SUSPECT_AFTER_INTERVALS = 2


class LeaderLoop:
    """Drives the election of this controller."""

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
        """Follow or renew until the process ends."""
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
        """Follow or renew once; return the pause until the next step, in seconds."""
        self.election.check_clock()
        self.workers_link.check_silence(SUSPECT_AFTER_INTERVALS * self.heartbeat_interval_s, math.inf)
        if self.election.state in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
            self.election.read_leader_key()
            return 0.8 + 0.4 * self.rng.random()
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
        """Return from a pause. Cancellations of the meantime are read before any heartbeat is answered."""
        term = self.current_term.term
        if term is None or not term.loaded:
            self.election.change_state(LeaderState.LOADING, "the hold outlived the silence")
            return
        term.job_watch.catch_up()
        # the read takes a while: the term may have ended meanwhile, or a worker may have shown a higher token
        if (
            self.current_term.term is term
            and self.election.state is LeaderState.PAUSED
            and not self.election.challenging_token
        ):
            self.election.change_state(
                LeaderState.LEADING, "the hold outlived the silence, and all cancellations are known"
            )
