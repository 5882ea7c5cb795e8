"""Periodic messages to the other controllers: the status of this one, and the leader's view of cached images."""

from __future__ import annotations

import random

import gevent

from ..api.peer_api import IMAGES_S, PeerApi
from ..clients.peer import PeerClient
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from .current_term import CurrentTerm


class StatusExchangeLoop:
    """Exchanges the status with one peer."""

    def __init__(self, peer: PeerClient, peer_api: PeerApi, rng: random.Random) -> None:
        self.peer = peer
        self.peer_api = peer_api
        self.rng = rng

    def run(self) -> None:
        """Exchange the status about once a second until the process ends."""
        while True:
            self.peer_api.greet(self.peer)
            gevent.sleep(0.9 + 0.2 * self.rng.random())


class CachedImagesLoop:
    """Sends the leader's view of which machines cache which images, so that a successor starts from it."""

    def __init__(
        self, peer_api: PeerApi, election: LeaderElection, current_term: CurrentTerm, overload: OverloadMonitor
    ) -> None:
        self.peer_api = peer_api
        self.election = election
        self.current_term = current_term
        self.overload = overload

    def run(self) -> None:
        """Send it every few seconds while this controller leads and is not late, until the process ends."""
        while True:
            gevent.sleep(IMAGES_S)
            term = self.current_term.loaded()
            if term is not None and self.election.is_leader() and self.overload.has_spare_time:
                self.peer_api.send_images(term.status_broadcast.cached_images())
