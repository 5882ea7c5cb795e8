"""The state of one link, derived from the outcomes of requests."""

from __future__ import annotations

import pytest

from grebestand.connectivity.link_health import LinkHealth
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.state_machines import IllegalTransitionError, LinkState

DOWN_AFTER_S = 1.5


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def link(clock: ManualClock) -> LinkHealth:
    """Return a link that is up."""
    link = LinkHealth("state", clock)
    link.record_success()
    clock.now += 1.0
    return link


def state_of(link: LinkHealth) -> LinkState:
    """Return the state of a link.

    If a test compared the attribute twice, mypy would consider the second comparison unreachable.
    """
    return link.state


def test_first_failure_makes_link_suspect(link: LinkHealth, clock: ManualClock) -> None:
    link.record_failure(clock.now - 1.0, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.SUSPECT


def test_link_is_down_after_failing_for_a_while(link: LinkHealth, clock: ManualClock) -> None:
    link.record_failure(clock.now - 1.0, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.SUSPECT
    clock.now += 0.6
    link.record_failure(clock.now, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.DOWN


def test_first_response_makes_link_up(link: LinkHealth, clock: ManualClock) -> None:
    link.record_failure(clock.now - 1.0, "timeout", DOWN_AFTER_S)
    clock.now += 0.6
    link.record_failure(clock.now, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.DOWN
    link.record_success()
    assert state_of(link) is LinkState.UP


def test_failure_of_request_sent_before_last_response_is_ignored(link: LinkHealth, clock: ManualClock) -> None:
    clock.now += 0.6
    link.record_success()
    link.record_failure(clock.now - 3.0, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.UP


def test_link_that_is_up_cannot_go_down_directly(link: LinkHealth) -> None:
    with pytest.raises(IllegalTransitionError):
        link.change_state(LinkState.DOWN, "not allowed from UP")
