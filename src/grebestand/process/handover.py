"""When a leader gives way: to one that reaches the state service, the workers, or is not late."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from ..doors.peers import PeerDoor
from ..leading.leadership import Leadership
from ..leading.term import Term
from ..limits.load import Load
from ..outside.peer import Peer
from ..outside.state import StateError
from ..states import LeaderState, LoadState
from ..wire.peers import Hello, Resigned

log = logging.getLogger("grebestand.handover")

#: a peer's word on when it last reached the state service is as old as this at most
OUTAGE_MARGIN_S = 1.5
#: a leader that is overloaded for so long gives way, where somebody is not; the next time it waits longer
SLOW_S = 6.0
#: a peer that answered so long ago, in seconds, is there
HEARD_S = 3.0


class Handover:
    def __init__(
        self,
        name: str,
        report_s: float,
        leadership: Leadership,
        peers: PeerDoor,
        load: Load,
        clock: Callable[[], float],
        term: Callable[[], Term | None],
    ) -> None:
        self.name = name
        self.report_s = report_s
        self.leadership = leadership
        self.peers = peers
        self.load = load
        self.clock = clock
        self.term = term
        self.state_ok_at = clock()
        #: when the first of its requests since then that failed was sent
        self.state_failed_at: float | None = None
        #: how often it gave way because no worker reported, and because it was late
        self.lost_workers = 0
        self.slow_terms = 0

    def _heard(self, seconds: float) -> Iterator[tuple[Peer, Hello]]:
        """Peers that answered lately, with what they said."""
        now = self.clock()
        for peer in self.peers.peers:
            if peer.last is not None and now - peer.heard_at < seconds:
                yield peer, peer.last

    def state_answered(self, sent: float, well: bool) -> None:
        """What became of a request to the state service that was sent then."""
        if well:
            self.state_ok_at, self.state_failed_at = self.clock(), None
        elif self.state_failed_at is None:
            self.state_failed_at = sent

    def better_placed(self) -> Peer | None:
        """A peer that reached the state service after this controller had failed to for a while.

        That the peer's last success is recent is not enough: in an outage all are served until the same moment, and
        a leader that gave way to a peer served a second later ended its term, and its workers' leases, for nothing.
        """
        failed = self.state_failed_at
        if failed is None:
            return None
        for peer, last in self._heard(2.5):
            if peer.heard_at - last.state_age_s > failed + OUTAGE_MARGIN_S:
                return peer
        return None

    def healthy(self) -> bool:
        """Unhealthy only if users are better served elsewhere: this one lost the state service, others did not."""
        return self.clock() - self.state_ok_at < 4.0 or self.better_placed() is None

    def consider_state(self) -> None:
        """If the state service answers others but not this leader, one of them should lead."""
        if self.clock() - self.state_ok_at < 3.0:
            return
        peer = self.better_placed()
        if peer is not None:
            token = self.leadership.resign(f"{peer.name} reaches the state service and this one does not", 10.0)
            peer.tell("/resigned", Resigned(self.name, token), Hello)

    def check_workers(self) -> None:
        """A leader that no worker can reach keeps everybody waiting: it gives way."""
        term = self.term()
        if term is None or not term.loaded or not self.peers.peers:
            return
        limit = (3.5 * self.report_s) * (1 + self.lost_workers)
        if not term.fleet.machines or self.clock() - term.checkins.heard_at < limit:
            if term.checkins.first_heard:
                self.lost_workers = 0
            return
        if next(self._heard(HEARD_S), None) is None:
            return
        self.lost_workers = min(self.lost_workers + 1, 6)
        self._give_way("no worker has reported for too long")

    def check_pace(self) -> None:
        """A leader too late to answer its workers before their leases end lets one lead that is not."""
        load, now = self.load, self.clock()
        if load.state is not LoadState.OVERLOADED or now - load.since < SLOW_S * (1 + self.slow_terms):
            return
        for peer, last in self._heard(HEARD_S):
            if last.load == LoadState.NORMAL.value:
                # if the load is what is too much, and not this controller, handing it on again and again is no help
                self.slow_terms = min(self.slow_terms + 1, 6)
                self._give_way(f"late for {now - load.since:.0f} s, and {peer.name} is not")
                return

    def _give_way(self, why: str) -> None:
        token = self.leadership.resign(why, 20.0)
        try:
            self.leadership.clear_key(token)
        except StateError:
            self.peers.tell_resigned(self.name, token)

    def succeed(self, gone: Resigned) -> None:
        """A peer has resigned: its key may go, and this controller may take the lead."""
        try:
            self.leadership.clear_key(gone.token)
            if self.leadership.state is LeaderState.FOLLOWING:
                self.leadership.look()
        except StateError as e:
            log.info("the key of %s could not be cleared: %s", gone.name, e)
