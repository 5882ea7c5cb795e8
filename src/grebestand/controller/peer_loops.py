"""Periodic messages to the other controllers: status exchange, and the leader's list of cached images."""

from __future__ import annotations

import random

import gevent

from ..api.peer_api import CACHED_IMAGES_INTERVAL_S, PeerApi
from ..clients.peer import PeerClient
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from .current_term import CurrentTerm

#: Interval between two status exchanges with a peer: the shortest one, and the longest random part added to it.
STATUS_INTERVAL_S, STATUS_JITTER_S = 0.9, 0.2


class StatusExchangeLoop:
    """Periodically exchanges status messages with one peer."""

    def __init__(self, peer: PeerClient, peer_api: PeerApi, rng: random.Random) -> None:
        self.peer = peer
        self.peer_api = peer_api
        self.rng = rng

    def run(self) -> None:
        """Exchange status messages about once a second until the process ends."""
        while True:
            self.peer_api.exchange_status(self.peer)
            gevent.sleep(STATUS_INTERVAL_S + STATUS_JITTER_S * self.rng.random())


class CachedImagesLoop:
    """Periodically sends peers which machines cache which images, as known to the leader, for its successor's use."""

    def __init__(
        self, peer_api: PeerApi, election: LeaderElection, current_term: CurrentTerm, overload: OverloadMonitor
    ) -> None:
        self.peer_api = peer_api
        self.election = election
        self.current_term = current_term
        self.overload = overload

    def run(self) -> None:
        """Send the cached images while this controller leads and has spare capacity, until the process ends."""
        while True:
            gevent.sleep(CACHED_IMAGES_INTERVAL_S)
            term = self.current_term.loaded()
            if term is not None and self.election.is_leader() and self.overload.has_spare_time:
                self.peer_api.send_images(term.status_broadcast.cached_images())
