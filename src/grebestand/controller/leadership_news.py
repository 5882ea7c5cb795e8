"""Wakes requests that wait for a change of leadership."""

from __future__ import annotations

from gevent.event import Event


class LeadershipNews:
    """Lets request handlers wait until the leader, or the state of this controller, has changed."""

    def __init__(self) -> None:
        self._changed = Event()

    def wait(self, timeout_s: float) -> object:
        """Wait for the next change, at most `timeout_s` seconds."""
        return self._changed.wait(timeout_s)

    def announce(self) -> None:
        """Wake all that wait. Whoever begins to wait afterwards waits for the next change."""
        changed, self._changed = self._changed, Event()
        changed.set()
