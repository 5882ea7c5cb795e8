"""Decides when a leader resigns and who succeeds, and how long a controller waits before it takes a free leader key.

A leader resigns if it lost its link to the key-value store or to workers, or if it is overloaded. Controllers with a
better chance of serving workers wait less before they take the leader key.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator

from ..api.peer_api import PeerApi
from ..clients.kv_store import StoreError
from ..clients.peer import PeerClient
from ..connectivity.link_health import LinkHealth
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from ..leader.term import Term
from ..log_events import LogEvent
from ..state_machines import LeaderState, LinkState, LoadState
from ..wire.peers import PeerStatus, ResignationNotice

log = logging.getLogger(__name__)

#: Maximum age of a peer's last response to a status exchange for the peer to count as present.
PEER_PRESENT_S = 3.0
#: Maximum age of a peer's status for comparing who reaches the key-value store; shorter than for presence, as the
#: comparison needs recent data.
STORE_COMPARISON_VALID_S = 2.5
#: Margin for comparing when the store last responded to two controllers: statuses are exchanged about once a second, so
#: what is known of a peer may itself be this old.
STORE_AGE_MARGIN_S = 1.5
#: Time without a response from the store after which a controller is unhealthy if the store answers a peer.
STORE_UNHEALTHY_AFTER_S = 4.0
#: Time without a response from the store, directly or through a peer, after which a leader resigns if the store answers
#: a peer.
STORE_RESIGN_AFTER_S = 5.0

#: Duration of overload after which a leader resigns in favour of a controller that is not overloaded. The duration
#: grows by this amount with each successive resignation for overload.
OVERLOAD_RESIGN_AFTER_S = 6.0
#: Factor of the overload limit while machines are not reconciled yet. Thousands of unreconciled machines overload any
#: successor as well, and each successor would start reconciling them all again.
RECONCILING_DELAY_FACTOR = 3.0
#: Maximum number of successive resignations that lengthen the delay before the next resignation.
MAX_BACKOFF_STEPS = 6

#: Minimum number of machines of a leader that resigns after the shorter silence, if it had heartbeats in its term.
MANY_MACHINES = 20
#: Silence of all workers after which a leader resigns, in heartbeat intervals: with many machines, and otherwise.
MANY_MACHINES_SILENCE_INTERVALS, SILENCE_INTERVALS = 1.6, 3.5
#: A longer gap between two checks of the workers shows that this process itself was stalled.
CHECK_GAP_S = 2.5
#: A controller is reached by workers if one has contacted it within this many heartbeat intervals.
REACHED_INTERVALS = 2

#: Time for which a controller that resigned may not lead again: after losing the store, and after silence of all
#: workers or overload.
STORE_RESIGNATION_S, RESIGNATION_S = 10.0, 20.0

#: How long the leader key has to be free before a controller takes it, after the previous leader named another
#: controller as its successor.
SUCCESSOR_HEAD_START_S = 1.5
#: How long the leader key has to be free before a controller takes it whose link to workers is suspect, or down.
SUSPECT_LINK_WAIT_S, LOST_LINK_WAIT_S = 0.9, 2.5
#: Addition to `SUSPECT_LINK_WAIT_S` and `LOST_LINK_WAIT_S` while a peer is present that workers reach.
BETTER_PEER_WAIT_S = 2.5


class LeadershipTransfer:
    """Decides on resignation and succession, by the links and load of this controller and its peers."""

    def __init__(
        self,
        *,
        name: str,
        heartbeat_interval_s: float,
        election: LeaderElection,
        peer_api: PeerApi,
        overload: OverloadMonitor,
        clock: Callable[[], float],
        term: Callable[[], Term | None],
        store_link: LinkHealth,
        workers_link: LinkHealth,
    ) -> None:
        self.name = name
        self.heartbeat_interval_s = heartbeat_interval_s
        self.election = election
        self.peer_api = peer_api
        self.overload = overload
        self.clock = clock
        self.term = term
        self.store_link = store_link
        self.workers_link = workers_link
        self.started_at = clock()
        #: Time of the last call of `check_workers`.
        self.checked_workers_at = clock()
        #: Start of the latest series of `check_workers` calls without a gap of more than `CHECK_GAP_S`.
        self.checking_since = self.checked_workers_at
        #: Time until which this controller does not take the leader key, as a resigned leader named another successor.
        self._successor_first_until = -math.inf
        #: Number of successive resignations because of silence of all workers.
        self._silence_resignations = 0
        #: Number of successive resignations because of overload.
        self._overload_resignations = 0

    def _present_peers(self, within_s: float) -> Iterator[tuple[PeerClient, PeerStatus]]:
        """Yield each peer that answered a status exchange within the last `within_s` seconds, with its status."""
        now = self.clock()
        for peer in self.peer_api.peers:
            if peer.last_status is not None and now - peer.last_heard_at < within_s:
                yield peer, peer.last_status

    # the link to the key-value store ----------------------------------------------------------------------

    def find_peer_reaching_store(self) -> PeerClient | None:
        """Return a peer that the store answered clearly after this controller's store requests began to fail, or None.

        A recent response to the peer is not sufficient: in an outage of the store all controllers lose the store at
        about the same time, and a leader that resigned because a peer got its last response a second later would end
        its term for nothing.
        """
        failed_at = self.store_link.failing_since
        if failed_at is None:
            return None
        for peer, status in self._present_peers(STORE_COMPARISON_VALID_S):
            if peer.last_heard_at - status.state_age_s > failed_at + STORE_AGE_MARGIN_S:
                return peer
        return None

    def is_healthy(self) -> bool:
        """Return whether users should send requests to this controller rather than to its peers.

        A controller without the store is unhealthy if the store answers a peer, or if no peer responds either, as this
        controller is then most likely the one that is cut off. In an outage of the store for all controllers each stays
        healthy, as no other one could serve its users.
        """
        if self.store_link.silence_s < STORE_UNHEALTHY_AFTER_S:
            return True
        alone = bool(self.peer_api.peers) and next(self._present_peers(PEER_PRESENT_S), None) is None
        return not alone and self.find_peer_reaching_store() is None

    def check_store(self) -> None:
        """Resign if the store answers a peer but answers this controller neither directly nor through a peer."""
        if self.store_link.silence_s < STORE_RESIGN_AFTER_S:
            return
        peer = self.find_peer_reaching_store()
        if peer is not None:
            reason = f"the key-value store answers {peer.name} but not this controller"
            token = self.election.resign(reason, STORE_RESIGNATION_S)
            peer.call("/resigned", ResignationNotice(self.name, token, peer.name), PeerStatus)

    # the link to workers ----------------------------------------------------------------------------------

    def check_workers(self) -> None:
        """Resign as the leader if no worker reaches this controller, whether or not a peer is present.

        The leader loop calls this method only after renewing the lease, so the store is reachable and the leader key
        can be removed for a successor.
        """
        now = self.clock()
        if now - self.checked_workers_at > CHECK_GAP_S:
            # this process was stalled: heartbeats received meanwhile may still be unread, so silence counts from now on
            self.checking_since = now
        self.checked_workers_at = now
        term = self.term()
        if term is None or not term.loaded or not self.peer_api.peers or not term.inventory.machines:
            return
        handler = term.heartbeat_handler
        silence_s = now - max(handler.last_heartbeat_at, self.checking_since)
        if silence_s >= self._silence_limit_s(term):
            self._silence_resignations = min(self._silence_resignations + 1, MAX_BACKOFF_STEPS)
            self.workers_link.check_silence(0.0, 0.0)
            self.resign(f"no heartbeat from any worker for {silence_s:.1f} s", self._find_successor())
        elif handler.heartbeat_received_in_term and now - handler.last_heartbeat_at < self.heartbeat_interval_s:
            self._silence_resignations = 0

    def _silence_limit_s(self, term: Term) -> float:
        """Return the silence of all workers, in seconds, after which the leader counts as cut off from them."""
        many = term.heartbeat_handler.heartbeat_received_in_term and len(term.inventory.machines) >= MANY_MACHINES
        intervals = MANY_MACHINES_SILENCE_INTERVALS if many else SILENCE_INTERVALS
        return intervals * self.heartbeat_interval_s * (1 + self._silence_resignations)

    def _find_successor(self) -> str:
        """Return the name of the present peer that workers reach and that the store answered last, or "" if none."""
        successor, successor_store_age_s = "", math.inf
        for peer, status in self._present_peers(PEER_PRESENT_S):
            reached = 0.0 <= status.workers_age_s < REACHED_INTERVALS * self.heartbeat_interval_s
            if reached and status.state_age_s < min(PEER_PRESENT_S, successor_store_age_s):
                successor, successor_store_age_s = peer.name, status.state_age_s
        return successor

    # overload ---------------------------------------------------------------------------------------------

    def check_overload(self) -> None:
        """Resign as the leader if this controller has been overloaded for long and a present peer has normal load.

        Workers' leases expire if an overloaded leader answers their heartbeats too late.
        """
        overloaded_s = self.clock() - self.overload.state_entered_at
        if self.overload.state is not LoadState.OVERLOADED or overloaded_s < self._overload_limit_s():
            return
        for peer, status in self._present_peers(PEER_PRESENT_S):
            if status.load == LoadState.NORMAL.value:
                # if the cluster's load overloads any leader, repeated resignations do not help, so each takes longer
                self._overload_resignations = min(self._overload_resignations + 1, MAX_BACKOFF_STEPS)
                self.resign(f"overloaded for {overloaded_s:.0f} s while {peer.name} has normal load", peer.name)
                return

    def _overload_limit_s(self) -> float:
        """Return the duration of overload after which the leader resigns, in seconds."""
        limit_s = OVERLOAD_RESIGN_AFTER_S * (1 + self._overload_resignations)
        term = self.term()
        if term is not None and not term.machine_reconciliation.all_reconciled:
            return limit_s * RECONCILING_DELAY_FACTOR
        return limit_s

    # succession -------------------------------------------------------------------------------------------

    def resign(self, reason: str, successor: str) -> None:
        """Resign, remove the leader key and notify all peers, so that one leads before the lease would expire.

        Args:
            reason: Reason of the resignation, for the log.
            successor: Name of the peer that should lead next, or "" for any.
        """
        token = self.election.resign(reason, RESIGNATION_S)
        try:
            self.election.clear_key(token)
        except StoreError as error:
            log.info(LogEvent("leader_key_not_removed", token=token, reason=error))
        self.peer_api.send_resignation(self.name, token, successor)

    def handle_resignation(self, notice: ResignationNotice) -> None:
        """Remove the leader key of a peer that resigned, and try to lead unless the notice names another successor."""
        may_lead = notice.successor in ("", self.name)
        if not may_lead:
            self._successor_first_until = self.clock() + SUCCESSOR_HEAD_START_S
        try:
            # the notice may have reached only this controller, so each controller that receives it removes the key
            self.election.clear_key(notice.token)
            if may_lead and self.election.state is LeaderState.FOLLOWING:
                self.election.read_leader_key()
        except StoreError as error:
            log.info(LogEvent("leader_key_not_removed", controller=notice.name, token=notice.token, reason=error))

    def campaign_delay_s(self) -> float:
        """Return how long the leader key has to be free before this controller takes the key, in seconds.

        A controller that workers have reached recently does not wait. Workers contact followers only after the leader
        is lost, and then within seconds. A follower that no worker has contacted may thus have a working link, so its
        wait is short; a controller that resigned because of silent workers has no such link, so its wait is longer.
        The wait is bounded, because a peer with a better link to workers may have failed meanwhile.
        """
        if self.clock() < self._successor_first_until:
            return SUCCESSOR_HEAD_START_S
        just_started = self.clock() - self.started_at < REACHED_INTERVALS * self.heartbeat_interval_s
        if self.workers_link.state is LinkState.UP or just_started:
            return 0.0
        wait_s = LOST_LINK_WAIT_S if self.workers_link.state is LinkState.DOWN else SUSPECT_LINK_WAIT_S
        return wait_s + (BETTER_PEER_WAIT_S if self._find_successor() else 0.0)
