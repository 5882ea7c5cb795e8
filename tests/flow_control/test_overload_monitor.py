"""The load states of a controller, derived from its lag."""

from __future__ import annotations

import logging

import pytest

from grebestand.flow_control.overload import RECOVERY_S, OverloadMonitor
from grebestand.log_events import parse_log_event
from grebestand.settings.platform import ProcessLimits
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.state_machines import LoadState


def state_after(monitor: OverloadMonitor, late_s: float) -> LoadState:
    monitor.record_lag(late_s)
    return monitor.state


def test_load_state_is_entered_at_once_and_left_step_by_step() -> None:
    clock = ManualClock()
    monitor = OverloadMonitor(ProcessLimits(), clock)
    assert state_after(monitor, 0.05) is LoadState.NORMAL
    assert state_after(monitor, 0.3) is LoadState.STRAINED
    assert state_after(monitor, 2.5) is LoadState.OVERLOADED
    # one quick moment does not mean that it is over
    clock.now += RECOVERY_S / 2
    assert state_after(monitor, 0.0) is LoadState.OVERLOADED
    clock.now += RECOVERY_S
    assert state_after(monitor, 0.0) is LoadState.STRAINED
    assert state_after(monitor, 0.0) is LoadState.STRAINED
    clock.now += RECOVERY_S
    assert state_after(monitor, 0.01) is LoadState.NORMAL


def test_change_of_the_load_state_is_logged_as_an_event(caplog: pytest.LogCaptureFixture) -> None:
    OverloadMonitor(ProcessLimits(), ManualClock()).record_lag(0.5)
    (record,) = caplog.records
    assert record.levelno == logging.WARNING
    assert parse_log_event(record.getMessage()) == (
        "load_state_changed",
        {"from": "NORMAL", "to": "STRAINED", "reason": "late by 0.50 s"},
    )
