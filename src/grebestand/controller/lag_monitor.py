"""Measures the lag of this controller's event loop."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from ..flow_control.overload import LAG_SAMPLE_INTERVAL_S, OverloadMonitor


class LagMonitor:
    """Periodically measures how late a timer of the event loop fires, for the overload monitor."""

    def __init__(self, overload: OverloadMonitor, clock: Callable[[], float]) -> None:
        self.overload = overload
        self.clock = clock

    def run(self) -> None:
        """Measure the lag until the process ends."""
        while True:
            due_at = self.clock() + LAG_SAMPLE_INTERVAL_S
            gevent.sleep(LAG_SAMPLE_INTERVAL_S)
            self.overload.record_lag(self.clock() - due_at)
