"""Measures how late the event loop of this controller is."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from ..flow_control.overload import LAG_SAMPLE_INTERVAL_S, OverloadMonitor


class LagMonitor:
    """Passes the lag of the event loop to the overload monitor."""

    def __init__(self, overload: OverloadMonitor, clock: Callable[[], float]) -> None:
        self.overload = overload
        self.clock = clock

    def run(self) -> None:
        """Sample the lag until the process ends."""
        while True:
            due_at = self.clock() + LAG_SAMPLE_INTERVAL_S
            gevent.sleep(LAG_SAMPLE_INTERVAL_S)
            self.overload.record_lag(self.clock() - due_at)
