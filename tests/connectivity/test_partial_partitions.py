"""Partial network partitions on simulated time: which controller leads, and which requests go through a proxy."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from grebestand.leader.election import REJOIN_AFTER_KEY_FREE_S
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated() as virtual:
        yield virtual


def cut_links(world: SimulatedCluster, links: list[tuple[str, str]], mode: LinkMode, seconds: float) -> None:
    """Set the mode of links, and sleep for a number of seconds."""
    for one_end, other_end in links:
        world.links.set(one_end, other_end, mode)
    gevent.sleep(seconds)


def links_to_workers(controller: str) -> list[tuple[str, str]]:
    """Return the links between a controller and the workers of both zones."""
    return [(controller, "a"), (controller, "b")]


def others_than(world: SimulatedCluster, controller: str) -> list[str]:
    return [name for name in world.controllers if name != controller]


def proxied_requests(world: SimulatedCluster) -> list[int]:
    """Return how many requests each controller has sent to the store through a peer."""
    return [
        controller.store_transport.proxied_requests for controller in world.nodes.values() if controller is not None
    ]


# a controller without the key-value store -------------------------------------------------------------------


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD, LinkMode.ASKS_LOST, LinkMode.ANSWERS_LOST])
def test_leader_without_store_keeps_leading_through_a_proxy(loop: VirtualLoop, mode: LinkMode) -> None:
    world = SimulatedCluster(loop, seed=3)
    world.crowd(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    cut_links(world, [(leader, STATE)], mode, 60)
    assert world.leading() == [leader] and len(world.leaders) == 1 and not world.killed
    assert world.longest_pause(20.0, 80.0) < 6.0
    world.links.heal()
    gevent.sleep(40)
    assert not world.broken() and all(job.accepted_at is not None for job in world.jobs.values())


def test_users_of_controller_without_store_are_served_through_a_proxy(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=4)
    gevent.sleep(20)
    follower = others_than(world, world.leading()[0])[0]
    cut_links(world, [(follower, STATE)], LinkMode.HELD, 5)
    job_id = world.submit(name=follower)
    gevent.sleep(20)
    job = world.jobs[job_id]
    assert job.accepted_at is not None and job.accepted_at - job.asked_at < 1.0 and job.done_at is not None


def test_store_outage_changes_no_leader_and_proxies_nothing(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=8)
    world.crowd(1.0, 60.0)
    gevent.sleep(20)
    proxied_before = proxied_requests(world)
    world.store.down = True
    gevent.sleep(9)
    assert len(world.leading()) == 1 and len(world.leaders) == 1
    assert proxied_requests(world) == proxied_before
    world.store.down = False
    gevent.sleep(20)
    assert len(world.leaders) == 1 and not world.broken()


# a controller without workers -------------------------------------------------------------------------------


@pytest.mark.parametrize("peers_cut_off", [False, True])
def test_leader_without_workers_resigns_with_or_without_peers(loop: VirtualLoop, peers_cut_off: bool) -> None:
    """A leader that workers cannot reach has to resign even if it reaches the store.

    Without a reachable peer, such a leader kept leading for 33 s.
    """
    world = SimulatedCluster(loop, seed=5)
    world.crowd(1.0, 70.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    first, second = others_than(world, leader)
    links = links_to_workers(leader)
    if peers_cut_off:
        links += [(leader, first), (leader, second), (first, second)]
    cut_links(world, links, LinkMode.HELD, 40)
    assert world.leading() and world.leading() != [leader]
    assert len(world.leaders) == 2 and world.leaders[1][0] - 20.0 < 1.6 * world.report_s + 2.5
    assert not world.killed and not world.broken()


def test_peer_that_workers_reach_becomes_leader_before_one_that_they_do_not(loop: VirtualLoop) -> None:
    """Leadership moved from one controller without workers to another, with ten seconds for each of them."""
    world = SimulatedCluster(loop, seed=6)
    world.crowd(1.0, 80.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    reached_peer, unreached_peer = others_than(world, leader)
    links = [*links_to_workers(leader), *links_to_workers(unreached_peer), (leader, unreached_peer)]
    cut_links(world, links, LinkMode.HELD, 50)
    assert [name for _, name, _ in world.leaders] == [leader, reached_peer]
    assert not world.broken()


def test_controller_with_workers_leads_through_a_proxy_to_the_store(loop: VirtualLoop) -> None:
    """One controller reaches the workers but not the store, and the other two reach the store but not the workers.

    No task ran in this situation while only a controller with its own link to the store could lead.
    """
    world = SimulatedCluster(loop, seed=7)
    world.crowd(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = world.leading()
    third, second = others_than(world, leader)
    links = [*links_to_workers(leader), *links_to_workers(second), (third, STATE)]
    cut_links(world, links, LinkMode.HELD, 60)
    assert world.leading() == [third] and len(world.leaders) <= 3
    assert world.longest_pause(20.0, 80.0) < 16.0 and not world.broken()


def test_resigned_leader_leads_again_if_nobody_else_does(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=9, controllers=2)
    gevent.sleep(20)
    (leader,) = world.leading()
    (follower,) = others_than(world, leader)
    world.crash(follower)
    cut_links(world, links_to_workers(leader), LinkMode.HELD, 8)
    assert world.leading() == []
    world.links.heal()
    gevent.sleep(REJOIN_AFTER_KEY_FREE_S + 3.0)
    assert world.leading() == [leader]


# the simulation -------------------------------------------------------------------------------------------


def test_same_seed_gives_the_same_history_byte_for_byte() -> None:
    def history() -> str:
        with simulated() as loop:
            world = SimulatedCluster(loop, seed=11)
            world.crowd(1.5, 30.0)
            gevent.sleep(15)
            cut_links(world, [(world.leading()[0], STATE)], LinkMode.HELD, 15)
            facts: list[Any] = [world.leaders, world.starts, world.store.log]
            return json.dumps(facts)

    assert history() == history()
