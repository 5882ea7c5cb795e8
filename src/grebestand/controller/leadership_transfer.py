"""Who leads: when a leader gives way, to whom, and who waits for whom where the key is free."""

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
from ..state_machines import LeaderState, LinkState, LoadState
from ..wire.peers import PeerStatus, ResignationNotice

log = logging.getLogger(__name__)

#: a peer's word on when it last reached the state service is as old as this at most
OUTAGE_MARGIN_S = 1.5
#: a leader that is overloaded for so long gives way, where somebody is not; the next time it waits longer
SLOW_S = 6.0
#: and so many times as long while machines are not proved yet
TAKING_OVER = 3.0
#: a peer that answered so long ago, in seconds, is there
HEARD_S = 3.0
#: users of a controller that the state service has not answered for so long are better off at others
UNSERVED_S = 4.0
#: a leader without the state service is served over others within this time, or gives way
CUT_S = 5.0
#: with so many machines, a silence of so many report intervals shows that the leader is cut off from them; with fewer,
#: or in a term that none has reported in yet, it takes longer
MANY_MACHINES, SURE_REPORTS, UNSURE_REPORTS = 20, 1.6, 3.5
#: a leader looks for its workers at least so often, in seconds, unless it stands still
LOOKED_S = 2.5
#: how long others wait for an heir, and how long one waits with the key free that workers have not reached lately, that
#: has lost them, and, beyond that, while one is heard that is better placed
HEIR_S, DOUBTFUL_S, WORSE_S, BETTER_S = 1.5, 0.9, 2.5, 2.5


class LeadershipTransfer:
    def __init__(
        self,
        name: str,
        report_s: float,
        election: LeaderElection,
        peers: PeerApi,
        load: OverloadMonitor,
        clock: Callable[[], float],
        term: Callable[[], Term | None],
        state: LinkHealth,
        workers: LinkHealth,
    ) -> None:
        self.name = name
        self.report_s = report_s
        self.election = election
        self.peers = peers
        self.load = load
        self.clock = clock
        self.term = term
        self.state = state
        self.workers = workers
        self.born_at = clock()
        #: when this controller last looked for its workers, and since when it has looked without a break
        self.looked_at = self.awake_since = clock()
        #: until when the heir that a resigned leader named goes first
        self.heir_until = -math.inf
        #: how often it gave way because no worker reported, and because it was late
        self.lost_workers = 0
        self.slow_terms = 0

    def _heard(self, seconds: float) -> Iterator[tuple[PeerClient, PeerStatus]]:
        """Peers that answered lately, with what they said."""
        now = self.clock()
        for peer in self.peers.peers:
            if peer.last is not None and now - peer.last_heard_at < seconds:
                yield peer, peer.last

    def better_placed(self) -> PeerClient | None:
        """A peer that reached the state service after this controller had failed to for a while.

        That the peer's last success is recent is not enough: in an outage all are served until the same moment, and
        a leader that gave way to a peer served a second later ended its term, and its workers' leases, for nothing.
        """
        failed = self.state.failed_at
        if failed is None:
            return None
        for peer, last in self._heard(2.5):
            if peer.last_heard_at - last.state_age_s > failed + OUTAGE_MARGIN_S:
                return peer
        return None

    def healthy(self) -> bool:
        """Unhealthy only if users are better served elsewhere: this one lost the state service, others did not.

        One that hears no other controller either cannot tell an outage from a cut. It is the one that is cut off, most
        likely, and kept its users for as long as that lasted; in an outage nobody could serve them anyway.
        """
        if self.state.age_s < UNSERVED_S:
            return True
        alone = bool(self.peers.peers) and next(self._heard(HEARD_S), None) is None
        return not alone and self.better_placed() is None

    def consider_state(self) -> None:
        """If the state service answers others but not this leader, not even over them, one of them should lead."""
        if self.state.age_s < CUT_S:
            return
        peer = self.better_placed()
        if peer is not None:
            token = self.election.resign(f"{peer.name} reaches the state service and this one does not", 10.0)
            peer.tell("/resigned", ResignationNotice(self.name, token, peer.name), PeerStatus)

    def check_workers(self) -> None:
        """A leader that no worker can reach keeps everybody waiting: it gives way, whoever else can be heard.

        It reaches the state service, or this would not be asked; so the others find the key free. With many machines
        a silence of one and a half report intervals is no accident. One that stood still itself begins to count anew:
        what came meanwhile is still to be read.
        """
        now = self.clock()
        if now - self.looked_at > LOOKED_S:
            self.awake_since = now
        self.looked_at = now
        term = self.term()
        if term is None or not term.loaded or not self.peers.peers or not term.inventory.machines:
            return
        sure = term.heartbeat_handler.first_heard and len(term.inventory.machines) >= MANY_MACHINES
        limit = (SURE_REPORTS if sure else UNSURE_REPORTS) * self.report_s * (1 + self.lost_workers)
        silence = now - max(term.heartbeat_handler.last_heard_at, self.awake_since)
        if silence < limit:
            if term.heartbeat_handler.first_heard and now - term.heartbeat_handler.last_heard_at < self.report_s:
                self.lost_workers = 0
            return
        self.lost_workers = min(self.lost_workers + 1, 6)
        self.workers.silent(0.0, 0.0)
        self._give_way(f"no worker has reported for {silence:.1f} s", self._heir())

    def _heir(self) -> str:
        """Who should lead next: one that workers reach and that is served, if any such has been heard."""
        best, best_age = "", math.inf
        for peer, last in self._heard(HEARD_S):
            reached = 0.0 <= last.workers_age_s < 2 * self.report_s
            age = last.state_age_s if last.state_age_s < HEARD_S else math.inf
            if reached and age < best_age:
                best, best_age = peer.name, age
        return best

    def patience(self) -> float:
        """For how long the key has to be free before this controller takes it, in seconds.

        One that workers have reached lately goes first. Followers hear of no worker while all is well, and all of them
        do within seconds of a leader's end, so that silence alone is only doubtful; one that gave way for it is surely
        worse. Nobody waits for ever: the better ones may be gone, or know less than was thought.
        """
        if self.clock() < self.heir_until:
            return HEIR_S
        if self.workers.state is LinkState.UP or self.clock() - self.born_at < 2 * self.report_s:
            return 0.0
        wait = WORSE_S if self.workers.state is LinkState.DOWN else DOUBTFUL_S
        return wait + (BETTER_S if self._heir() else 0.0)

    def check_pace(self) -> None:
        """A leader too late to answer its workers before their leases end lets one lead that is not."""
        load, now = self.load, self.clock()
        term = self.term()
        patience = SLOW_S * (1 + self.slow_terms)
        if term is not None and not term.machine_reconciliation.proved:
            # whoever takes over is late with thousands of machines, and the next would begin with all of them again
            patience *= TAKING_OVER
        if load.state is not LoadState.OVERLOADED or now - load.since < patience:
            return
        for peer, last in self._heard(HEARD_S):
            if last.load == LoadState.NORMAL.value:
                # if the load is what is too much, and not this controller, handing it on again and again is no help
                self.slow_terms = min(self.slow_terms + 1, 6)
                self._give_way(f"late for {now - load.since:.0f} s, and {peer.name} is not", peer.name)
                return

    def _give_way(self, why: str, heir: str) -> None:
        token = self.election.resign(why, 20.0)
        try:
            self.election.clear_key(token)
        except StoreError as e:
            log.info("the key is left to others to remove: %s", e)
        self.peers.tell_resigned(self.name, token, heir)

    def succeed(self, gone: ResignationNotice) -> None:
        """A peer has resigned: its key may go, and this controller takes the lead or leaves it to the heir for now."""
        mine = gone.heir in ("", self.name)
        if not mine:
            self.heir_until = self.clock() + HEIR_S
        try:
            # the one that resigned may have reached nobody but this controller
            self.election.clear_key(gone.token)
            if mine and self.election.state is LeaderState.FOLLOWING:
                self.election.look()
        except StoreError as e:
            log.info("the key of %s could not be cleared: %s", gone.name, e)
