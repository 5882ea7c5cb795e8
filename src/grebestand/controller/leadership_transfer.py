"""When a leader gives way and to whom, and how long each controller waits before it takes a free leader key."""

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

#: a peer that answered a status exchange within this time is present
PEER_PRESENT_S = 3.0
#: the same for a comparison of who reaches the key-value store, which needs a more recent status
STORE_COMPARISON_VALID_S = 2.5
#: a peer's age of its last answer from the store is up to this old itself, as statuses come about once a second
STORE_AGE_MARGIN_S = 1.5
#: users of a controller that the store has not answered for this long are better off at others
STORE_UNHEALTHY_AFTER_S = 4.0
#: a leader without the store is served through a peer within this time, or gives way
STORE_RESIGN_AFTER_S = 5.0

#: a leader that is overloaded for this long gives way to a controller that is not; each time in a row it waits longer
OVERLOAD_RESIGN_AFTER_S = 6.0
#: and so many times as long while machines are not reconciled: a successor is late with thousands of machines as well,
#: and the next one would begin with all of them again
RECONCILING_PATIENCE_FACTOR = 3.0
#: how often in a row patience grows at most
MAX_PATIENCE_STEPS = 6

#: a leader with at least so many machines that has had heartbeats in its term concludes sooner that it is cut off
MANY_MACHINES = 20
#: silence of all workers after which a leader gives way, in heartbeat intervals: with many machines, and otherwise
MANY_MACHINES_SILENCE_INTERVALS, SILENCE_INTERVALS = 1.6, 3.5
#: a leader that has not checked its workers for longer than this stood still itself
CHECK_GAP_S = 2.5
#: workers reach a controller if one has done so within so many heartbeat intervals
REACHED_INTERVALS = 2

#: before a controller that resigned may lead again: for want of the store, and for silence or overload
STORE_RESIGNATION_S, RESIGNATION_S = 10.0, 20.0

#: how long the key has to be free before a controller takes it: while another was named as the successor, if workers
#: have not reached this one lately, if it lost them, and, added to these two, while a better placed peer is present
SUCCESSOR_HEAD_START_S = 1.5
SUSPECT_LINK_WAIT_S, LOST_LINK_WAIT_S = 0.9, 2.5
BETTER_PEER_WAIT_S = 2.5


class LeadershipTransfer:
    """Decides on giving way and on succession, from what this controller and its peers know of their links and load."""

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
        #: when the workers were last checked, and since when that has been done without a gap
        self.checked_workers_at = self.checking_since = clock()
        #: until when a successor that a resigned leader named goes first
        self._successor_first_until = -math.inf
        #: how often in a row this controller gave way for silence of all workers, and for overload
        self._silence_resignations = 0
        self._overload_resignations = 0

    def _present_peers(self, within_s: float) -> Iterator[tuple[PeerClient, PeerStatus]]:
        """Yield peers that answered within the last `within_s` seconds, with their status."""
        now = self.clock()
        for peer in self.peer_api.peers:
            if peer.last is not None and now - peer.last_heard_at < within_s:
                yield peer, peer.last

    # the link to the key-value store ----------------------------------------------------------------------

    def better_placed_peer(self) -> PeerClient | None:
        """Return a peer that reached the store after this controller had failed to for a while, if there is one.

        A recent success of the peer is not enough: in an outage of the store all succeed until the same moment, and a
        leader that gave way to a peer served a second later would end its term for nothing.
        """
        failed_at = self.store_link.failed_at
        if failed_at is None:
            return None
        for peer, status in self._present_peers(STORE_COMPARISON_VALID_S):
            if peer.last_heard_at - status.state_age_s > failed_at + STORE_AGE_MARGIN_S:
                return peer
        return None

    def healthy(self) -> bool:
        """Return False only if users are better served elsewhere: this controller lost the store, and others did not.

        A controller that hears no peer either is most likely the one that is cut off, so it is unhealthy too; in an
        outage of the store nobody could serve its users anyway.
        """
        if self.store_link.age_s < STORE_UNHEALTHY_AFTER_S:
            return True
        alone = bool(self.peer_api.peers) and next(self._present_peers(PEER_PRESENT_S), None) is None
        return not alone and self.better_placed_peer() is None

    def check_store(self) -> None:
        """Resign as the leader if the store answers a peer but not this controller, not even through a peer."""
        if self.store_link.age_s < STORE_RESIGN_AFTER_S:
            return
        peer = self.better_placed_peer()
        if peer is not None:
            reason = f"{peer.name} reaches the state service and this one does not"
            token = self.election.resign(reason, STORE_RESIGNATION_S)
            peer.tell("/resigned", ResignationNotice(self.name, token, peer.name), PeerStatus)

    # the link to workers ----------------------------------------------------------------------------------

    def check_workers(self) -> None:
        """Resign as the leader if no worker reaches this controller, whether or not a peer is present.

        This is called only after the store has answered, so peers will find the key free.
        """
        now = self.clock()
        if now - self.checked_workers_at > CHECK_GAP_S:
            # this process stood still: heartbeats that came meanwhile are still to be read
            self.checking_since = now
        self.checked_workers_at = now
        term = self.term()
        if term is None or not term.loaded or not self.peer_api.peers or not term.inventory.machines:
            return
        handler = term.heartbeat_handler
        silence_s = now - max(handler.last_heartbeat_at, self.checking_since)
        if silence_s >= self._silence_limit_s(term):
            self._silence_resignations = min(self._silence_resignations + 1, MAX_PATIENCE_STEPS)
            self.workers_link.silent(0.0, 0.0)
            self.resign(f"no worker has reported for {silence_s:.1f} s", self._find_heir())
        elif handler.heartbeat_received_in_term and now - handler.last_heartbeat_at < self.heartbeat_interval_s:
            self._silence_resignations = 0

    def _silence_limit_s(self, term: Term) -> float:
        """Return the silence of all workers that shows that the leader is cut off from them."""
        many = term.heartbeat_handler.heartbeat_received_in_term and len(term.inventory.machines) >= MANY_MACHINES
        intervals = MANY_MACHINES_SILENCE_INTERVALS if many else SILENCE_INTERVALS
        return intervals * self.heartbeat_interval_s * (1 + self._silence_resignations)

    def _find_heir(self) -> str:
        """Return the name of the present peer that workers reach and that reached the store last; "" without one."""
        heir, heir_store_age_s = "", math.inf
        for peer, status in self._present_peers(PEER_PRESENT_S):
            reached = 0.0 <= status.workers_age_s < REACHED_INTERVALS * self.heartbeat_interval_s
            if reached and status.state_age_s < min(PEER_PRESENT_S, heir_store_age_s):
                heir, heir_store_age_s = peer.name, status.state_age_s
        return heir

    # overload ---------------------------------------------------------------------------------------------

    def check_overload(self) -> None:
        """Resign as the leader if this controller is overloaded for long and a peer is not.

        A leader that answers its workers too late lets their leases expire.
        """
        overloaded_s = self.clock() - self.overload.since
        if self.overload.state is not LoadState.OVERLOADED or overloaded_s < self._overload_patience_s():
            return
        for peer, status in self._present_peers(PEER_PRESENT_S):
            if status.load == LoadState.NORMAL.value:
                # if the load itself is too much, giving way again and again is no help: the next time takes longer
                self._overload_resignations = min(self._overload_resignations + 1, MAX_PATIENCE_STEPS)
                self.resign(f"late for {overloaded_s:.0f} s, and {peer.name} is not", peer.name)
                return

    def _overload_patience_s(self) -> float:
        patience_s = OVERLOAD_RESIGN_AFTER_S * (1 + self._overload_resignations)
        term = self.term()
        if term is not None and not term.machine_reconciliation.all_reconciled:
            return patience_s * RECONCILING_PATIENCE_FACTOR
        return patience_s

    # succession -------------------------------------------------------------------------------------------

    def resign(self, reason: str, heir: str) -> None:
        """Resign, remove the key and tell all peers, so that one of them leads without waiting for the lease."""
        token = self.election.resign(reason, RESIGNATION_S)
        try:
            self.election.clear_key(token)
        except StoreError as error:
            log.info(LogEvent("leader_key_not_removed", token=token, reason=error))
        self.peer_api.send_resignation(self.name, token, heir)

    def succeed(self, notice: ResignationNotice) -> None:
        """Remove the key of a peer that resigned, and take the lead unless the notice names another controller."""
        may_lead = notice.successor in ("", self.name)
        if not may_lead:
            self._successor_first_until = self.clock() + SUCCESSOR_HEAD_START_S
        try:
            # the peer may have reached nobody but this controller, so each that hears of it removes the key
            self.election.clear_key(notice.token)
            if may_lead and self.election.state is LeaderState.FOLLOWING:
                self.election.read_leader_key()
        except StoreError as error:
            log.info(LogEvent("leader_key_not_removed", controller=notice.name, token=notice.token, reason=error))

    def patience(self) -> float:
        """Return for how long the key has to be free before this controller takes it, in seconds.

        A controller that workers have reached lately goes first. Followers hear of no worker while the leader is well,
        and of all of them within seconds after it is lost, so silence alone is only a doubt; a controller that gave way
        for silence is surely worse placed. The wait is bounded: better placed peers may be gone by now.
        """
        if self.clock() < self._successor_first_until:
            return SUCCESSOR_HEAD_START_S
        just_started = self.clock() - self.started_at < REACHED_INTERVALS * self.heartbeat_interval_s
        if self.workers_link.state is LinkState.UP or just_started:
            return 0.0
        wait_s = LOST_LINK_WAIT_S if self.workers_link.state is LinkState.DOWN else SUSPECT_LINK_WAIT_S
        return wait_s + (BETTER_PEER_WAIT_S if self._find_heir() else 0.0)
