"""Lets requests wait for a change of leadership."""

from __future__ import annotations

from gevent.event import Event

from ..api.heartbeat_api import LEADERSHIP_WAIT_S
from ..leader.election import LeaderElection
from ..state_machines import LeaderState


class LeadershipChangeNotifier:
    """Notifies waiting request handlers that the leader or this controller's election state has changed."""

    def __init__(self) -> None:
        self._changed = Event()

    def wait(self, timeout_s: float) -> object:
        """Wait for the next change, at most `timeout_s` seconds; return a falsy value after a timeout."""
        return self._changed.wait(timeout_s)

    def notify_all(self) -> None:
        """Wake all waiting handlers; handlers that call `wait` afterwards wait for the next change."""
        changed, self._changed = self._changed, Event()
        changed.set()


class LoadingGate:
    """Delays batches of heartbeats while this controller, as the new leader, loads its records."""

    def __init__(self, election: LeaderElection, leadership_changes: LeadershipChangeNotifier) -> None:
        self.election = election
        self.leadership_changes = leadership_changes

    def wait(self) -> None:
        """Wait for the end of loading, at most `LEADERSHIP_WAIT_S`; return at once if this controller is not loading.

        The records may still be incomplete on return, as after a timeout or a change of leadership.
        """
        if self.election.state is LeaderState.LOADING:
            self.leadership_changes.wait(LEADERSHIP_WAIT_S)
