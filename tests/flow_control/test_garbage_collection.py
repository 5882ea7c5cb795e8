"""Full garbage collections run periodically, and less often while the controller is overloaded."""

from __future__ import annotations

import gc

import pytest

from grebestand.flow_control.garbage_collection import (
    FULL_COLLECTION_INTERVAL_S,
    MAX_SKIPPED_INTERVALS,
    MIDDLE_THRESHOLD,
    NEVER_THRESHOLD,
    YOUNG_THRESHOLD,
    collect_garbage_by_time,
)


def test_overloaded_controller_runs_full_collections_rarely(monkeypatch: pytest.MonkeyPatch) -> None:
    """With collection by count, the state of 3,000 machines was traversed every 2 s, for 0.25 s each time."""
    collected_at: list[float] = []
    thresholds: list[tuple[int, ...]] = []
    now = 0.0
    overloaded_from = 3 * FULL_COLLECTION_INTERVAL_S

    def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds
        if now > overloaded_from + 8 * FULL_COLLECTION_INTERVAL_S:
            raise StopIteration

    monkeypatch.setattr(gc, "set_threshold", lambda *counts: thresholds.append(counts))
    monkeypatch.setattr(gc, "collect", lambda: collected_at.append(now))
    with pytest.raises(StopIteration):
        collect_garbage_by_time(sleep, lambda: now <= overloaded_from)
    expected_intervals = (1, 2, 3, 3 + MAX_SKIPPED_INTERVALS, 3 + 2 * MAX_SKIPPED_INTERVALS)
    assert collected_at == [FULL_COLLECTION_INTERVAL_S * intervals for intervals in expected_intervals]
    assert thresholds == [(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, NEVER_THRESHOLD)]
