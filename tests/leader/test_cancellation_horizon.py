"""The rule of the cancellation horizon alone."""

from __future__ import annotations

import pytest

from grebestand.leader.cancellation_horizon import TIGHTEST_S, CancellationHorizon, max_knowledge_age_s
from grebestand.settings.platform import WorkerTimes
from grebestand.simulation.single_controller_cluster import ManualClock


def worker_settings(lease_s: float, cancel_s: float) -> WorkerTimes:
    return WorkerTimes(report_s=3.0, lease_s=lease_s, gang_wait_s=30.0, gang_peer_s=8.0, cancel_s=cancel_s)


def test_knowledge_counts_from_when_the_read_was_sent() -> None:
    clock = ManualClock()
    horizon = CancellationHorizon(clock, 29.0)
    assert not horizon.fresh()
    horizon.record_current_read(clock.now - 5.0)
    clock.now += 23.9
    assert horizon.fresh()
    clock.now += 0.2
    assert not horizon.fresh()
    # an older answer that comes later changes nothing
    horizon.record_current_read(clock.now - 40.0)
    assert not horizon.fresh()
    horizon.record_current_read(clock.now)
    horizon.begin()
    assert not horizon.fresh()  # a new term knows nothing yet


def test_bound_follows_from_settings_and_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    allowed_s = max_knowledge_age_s(worker_settings(21.0, 51.0))
    assert 28.9 < allowed_s < 29.0
    with caplog.at_level("INFO"):
        CancellationHorizon(ManualClock(), allowed_s).log_settings(worker_settings(21.0, 51.0))
    assert [r.levelname for r in caplog.records] == ["INFO"]
    assert caplog.messages[0].startswith("cancellation_horizon_set max_age_s=")


def test_too_short_cancel_time_keeps_tightest_bound_and_names_fields(caplog: pytest.LogCaptureFixture) -> None:
    settings = worker_settings(60.0, 30.0)
    horizon = CancellationHorizon(ManualClock(), max_knowledge_age_s(settings))
    assert horizon.max_age_s == TIGHTEST_S and horizon.watch_ms == 500
    horizon.log_settings(settings)
    (warning,) = [r.getMessage() for r in caplog.records if r.levelname == "WARNING"]
    assert "params.workers.cancel_s" in warning and "params.workers.lease_s" in warning
