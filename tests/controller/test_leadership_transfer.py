"""Leadership transfer: when a leader resigns, and how long followers wait before they take a free leader key."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.controller.leadership_transfer import PEER_PRESENT_S, LeadershipTransfer
from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import LeaderState
from grebestand.wire.peers import ResignationNotice
from support.peers import ScriptedTransport, present_peer


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


@pytest.fixture
def cluster() -> InMemoryCluster:
    return InMemoryCluster()


@pytest.fixture
def controller(cluster: InMemoryCluster) -> InMemoryController:
    return InMemoryController(cluster, "node-0")


@pytest.fixture
def transfer(cluster: InMemoryCluster, controller: InMemoryController) -> LeadershipTransfer:
    """The leadership transfer of a controller with two present peers, of which workers reach only node-2."""
    unreached, reached = (present_peer(name, cluster.clock, ScriptedTransport(None)) for name in ("node-1", "node-2"))
    for peer, workers_age_s in ((unreached, -1.0), (reached, 0.5)):
        assert peer.last_status is not None
        peer.last_status.workers_age_s = workers_age_s
    return controller.leadership_transfer(unreached, reached)


def test_leader_does_not_resign_for_silence_after_its_own_stall(loop: VirtualLoop) -> None:
    """A leader that was stalled for 25 s has heartbeats left to read, which it must not take for silent workers."""
    cluster = SimulatedCluster(loop)
    gevent.sleep(10)
    controller = cluster.controllers[cluster.current_leaders()[0]]
    assert controller is not None and controller.term is not None
    controller.leadership_transfer.checked_workers_at -= 25.0
    controller.term.heartbeat_handler.last_heartbeat_at -= 25.0
    controller.leadership_transfer.check_workers()
    assert controller.election.state is LeaderState.LEADING


def test_successor_is_a_peer_that_workers_reach(transfer: LeadershipTransfer) -> None:
    assert transfer._find_successor() == "node-2"


def test_peer_without_recent_answer_is_not_the_successor(
    cluster: InMemoryCluster, transfer: LeadershipTransfer
) -> None:
    assert transfer._find_successor() == "node-2"
    cluster.clock.now += PEER_PRESENT_S
    assert transfer._find_successor() == ""


def test_controller_reached_by_workers_does_not_wait_for_a_free_key(
    cluster: InMemoryCluster, controller: InMemoryController, transfer: LeadershipTransfer
) -> None:
    cluster.clock.now += PEER_PRESENT_S
    controller.workers_link.record_success()
    assert transfer.campaign_delay_s() == 0.0


def test_controller_waits_for_the_named_successor(
    cluster: InMemoryCluster, controller: InMemoryController, transfer: LeadershipTransfer
) -> None:
    cluster.clock.now += PEER_PRESENT_S
    controller.workers_link.record_success()
    assert transfer.campaign_delay_s() == 0.0
    transfer.handle_resignation(ResignationNotice("node-1", 5, "node-2"))
    assert transfer.campaign_delay_s() > 0.0 and controller.election.state is LeaderState.FOLLOWING
