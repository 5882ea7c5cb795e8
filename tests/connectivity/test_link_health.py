"""The state of one link, as requests and answers show it."""

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
    """A link that is up."""
    link = LinkHealth("state", clock)
    link.answered()
    clock.now += 1.0
    return link


def state_of(link: LinkHealth) -> LinkState:
    """Return the state; a call of its own, as mypy would take a second comparison of the attribute for unreachable."""
    return link.state


def test_first_failure_makes_link_suspect(link: LinkHealth, clock: ManualClock) -> None:
    link.failed(clock.now - 1.0, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.SUSPECT


def test_link_is_down_after_failing_for_a_while(link: LinkHealth, clock: ManualClock) -> None:
    link.failed(clock.now - 1.0, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.SUSPECT
    clock.now += 0.6
    link.failed(clock.now, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.DOWN


def test_first_answer_makes_link_up(link: LinkHealth, clock: ManualClock) -> None:
    link.failed(clock.now - 1.0, "timeout", DOWN_AFTER_S)
    clock.now += 0.6
    link.failed(clock.now, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.DOWN
    link.answered()
    assert state_of(link) is LinkState.UP


def test_failure_of_request_sent_before_last_answer_is_ignored(link: LinkHealth, clock: ManualClock) -> None:
    clock.now += 0.6
    link.answered()
    link.failed(clock.now - 3.0, "timeout", DOWN_AFTER_S)
    assert state_of(link) is LinkState.UP


def test_link_never_goes_down_at_once(link: LinkHealth) -> None:
    with pytest.raises(IllegalTransitionError):
        link.move(LinkState.DOWN, "never at once")
