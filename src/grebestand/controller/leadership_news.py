"""Wakes requests that wait for a change of leadership."""

from __future__ import annotations

from gevent.event import Event

from ..api.heartbeat_api import LEADERSHIP_WAIT_S
from ..leader.election import LeaderElection
from ..state_machines import LeaderState


class LeadershipChangeNotifier:
    """Lets request handlers wait until the leader, or the state of this controller, has changed."""

    def __init__(self) -> None:
        self._changed = Event()

    def wait(self, timeout_s: float) -> object:
        """Wait for the next change, at most `timeout_s` seconds."""
        return self._changed.wait(timeout_s)

    def notify_all(self) -> None:
        """Wake all that wait. Whoever begins to wait afterwards waits for the next change."""
        changed, self._changed = self._changed, Event()
        changed.set()


class LoadingGate:
    """Lets batches of heartbeats wait while this controller, a new leader, loads its records."""

    def __init__(self, election: LeaderElection, news: LeadershipChangeNotifier) -> None:
        self.election = election
        self.news = news

    def wait(self) -> None:
        """Wait until the records may be loaded, for a moment at most; return at once unless they are being loaded."""
        if self.election.state is LeaderState.LOADING:
            self.news.wait(LEADERSHIP_WAIT_S)
