"""Full garbage collections run by time, and rarely while the controller is late."""

from __future__ import annotations

import gc

import pytest

from grebestand.flow_control.garbage_collection import (
    FULL_COLLECTION_INTERVAL_S,
    LATE_INTERVALS,
    MIDDLE_THRESHOLD,
    NEVER,
    YOUNG_THRESHOLD,
    collect_garbage_by_time,
)


def test_late_controller_runs_full_collections_rarely(monkeypatch: pytest.MonkeyPatch) -> None:
    """By count the books of 3,000 machines were gone over every two seconds, a quarter of a second each."""
    collected_at: list[float] = []
    thresholds: list[tuple[int, ...]] = []
    now = 0.0
    late_from = 3 * FULL_COLLECTION_INTERVAL_S

    def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds
        if now > late_from + 8 * FULL_COLLECTION_INTERVAL_S:
            raise StopIteration

    monkeypatch.setattr(gc, "set_threshold", lambda *counts: thresholds.append(counts))
    monkeypatch.setattr(gc, "collect", lambda: collected_at.append(now))
    with pytest.raises(StopIteration):
        collect_garbage_by_time(sleep, lambda: now <= late_from)
    expected_intervals = (1, 2, 3, 3 + LATE_INTERVALS, 3 + 2 * LATE_INTERVALS)
    assert collected_at == [FULL_COLLECTION_INTERVAL_S * intervals for intervals in expected_intervals]
    assert thresholds == [(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, NEVER)]
