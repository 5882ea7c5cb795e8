"""When a leader gives way, and how long others wait before they take a free leader key."""

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
    """That of a controller with two peers, of which workers reach only node-2."""
    unreached, reached = (present_peer(name, cluster.clock, ScriptedTransport(None)) for name in ("node-1", "node-2"))
    for peer, workers_age_s in ((unreached, -1.0), (reached, 0.5)):
        assert peer.last is not None
        peer.last.workers_age_s = workers_age_s
    return controller.leadership_transfer(unreached, reached)


def test_own_standstill_is_not_taken_for_silence_of_workers(loop: VirtualLoop) -> None:
    """A leader that stood still for 25 s would have given way for heartbeats that were still to be read."""
    world = SimulatedCluster(loop)
    gevent.sleep(10)
    controller = world.controllers[world.current_leaders()[0]]
    assert controller is not None and controller.term is not None
    controller.leadership_transfer.checked_workers_at -= 25.0
    controller.term.heartbeat_handler.last_heartbeat_at -= 25.0
    controller.leadership_transfer.check_workers()
    assert controller.election.state is LeaderState.LEADING


def test_heir_is_a_peer_that_workers_reach(transfer: LeadershipTransfer) -> None:
    assert transfer._find_heir() == "node-2"


def test_absent_peer_is_no_heir(cluster: InMemoryCluster, transfer: LeadershipTransfer) -> None:
    assert transfer._find_heir() == "node-2"
    cluster.clock.now += PEER_PRESENT_S
    assert transfer._find_heir() == ""


def test_controller_reached_by_workers_does_not_wait_for_a_free_key(
    cluster: InMemoryCluster, controller: InMemoryController, transfer: LeadershipTransfer
) -> None:
    cluster.clock.now += PEER_PRESENT_S
    controller.workers_link.answered()
    assert transfer.patience() == 0.0


def test_named_heir_goes_first(
    cluster: InMemoryCluster, controller: InMemoryController, transfer: LeadershipTransfer
) -> None:
    cluster.clock.now += PEER_PRESENT_S
    controller.workers_link.answered()
    assert transfer.patience() == 0.0
    transfer.succeed(ResignationNotice("node-1", 5, "node-2"))
    assert transfer.patience() > 0.0 and controller.election.state is LeaderState.FOLLOWING
