"""Partial network partitions on simulated time: which controller leads, and which requests go through a proxy."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from grebestand.leader.election import REJOIN_AFTER_KEY_FREE_S
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


def cut_links(world: SimulatedCluster, links: list[tuple[str, str]], mode: LinkMode, seconds: float) -> None:
    """Set the mode of links, and sleep for a number of seconds."""
    for one_end, other_end in links:
        world.links.set_mode(one_end, other_end, mode)
    gevent.sleep(seconds)


def links_to_workers(controller: str) -> list[tuple[str, str]]:
    """Return the links between a controller and the workers of both zones."""
    return [(controller, "a"), (controller, "b")]


def others_than(world: SimulatedCluster, controller: str) -> list[str]:
    return [name for name in world.controller_names if name != controller]


def proxied_requests(world: SimulatedCluster) -> list[int]:
    """Return how many requests each controller has sent to the store through a peer."""
    return [
        controller.store_transport.proxied_requests
        for controller in world.controllers.values()
        if controller is not None
    ]


# a controller without the key-value store -------------------------------------------------------------------


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD, LinkMode.REQUESTS_LOST, LinkMode.RESPONSES_LOST])
def test_leader_without_store_keeps_leading_through_a_proxy(loop: VirtualLoop, mode: LinkMode) -> None:
    world = SimulatedCluster(loop, seed=3)
    world.submit_continuously(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = world.current_leaders()
    cut_links(world, [(leader, STATE)], mode, 60)
    assert world.current_leaders() == [leader] and len(world.leader_history) == 1 and not world.lease_expiry_kills
    assert world.longest_gap_between_starts(20.0, 80.0) < 6.0
    world.links.open_all()
    gevent.sleep(40)
    assert not world.violations() and all(job.accepted_at is not None for job in world.jobs.values())


def test_users_of_controller_without_store_are_served_through_a_proxy(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=4)
    gevent.sleep(20)
    follower = others_than(world, world.current_leaders()[0])[0]
    cut_links(world, [(follower, STATE)], LinkMode.HELD, 5)
    job_id = world.submit(controller=follower)
    gevent.sleep(20)
    job = world.jobs[job_id]
    assert job.accepted_at is not None and job.accepted_at - job.submitted_at < 1.0 and job.done_at is not None


def test_store_outage_changes_no_leader_and_proxies_nothing(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=8)
    world.submit_continuously(1.0, 60.0)
    gevent.sleep(20)
    proxied_before = proxied_requests(world)
    world.store.unavailable = True
    gevent.sleep(9)
    assert len(world.current_leaders()) == 1 and len(world.leader_history) == 1
    assert proxied_requests(world) == proxied_before
    world.store.unavailable = False
    gevent.sleep(20)
    assert len(world.leader_history) == 1 and not world.violations()


# a controller without workers -------------------------------------------------------------------------------


@pytest.mark.parametrize("peers_cut_off", [False, True])
def test_leader_without_workers_resigns_with_or_without_peers(loop: VirtualLoop, peers_cut_off: bool) -> None:
    """A leader that workers cannot reach has to resign even if it reaches the store.

    Without a reachable peer, such a leader kept leading for 33 s.
    """
    world = SimulatedCluster(loop, seed=5)
    world.submit_continuously(1.0, 70.0)
    gevent.sleep(20)
    (leader,) = world.current_leaders()
    first, second = others_than(world, leader)
    links = links_to_workers(leader)
    if peers_cut_off:
        links += [(leader, first), (leader, second), (first, second)]
    cut_links(world, links, LinkMode.HELD, 40)
    assert world.current_leaders() and world.current_leaders() != [leader]
    assert len(world.leader_history) == 2 and world.leader_history[1][0] - 20.0 < 1.6 * world.heartbeat_interval_s + 2.5
    assert not world.lease_expiry_kills and not world.violations()


def test_peer_that_workers_reach_becomes_leader_before_one_that_they_do_not(loop: VirtualLoop) -> None:
    """Leadership moved from one controller without workers to another, with ten seconds for each of them."""
    world = SimulatedCluster(loop, seed=6)
    world.submit_continuously(1.0, 80.0)
    gevent.sleep(20)
    (leader,) = world.current_leaders()
    reached_peer, unreached_peer = others_than(world, leader)
    links = [*links_to_workers(leader), *links_to_workers(unreached_peer), (leader, unreached_peer)]
    cut_links(world, links, LinkMode.HELD, 50)
    assert [name for _, name, _ in world.leader_history] == [leader, reached_peer]
    assert not world.violations()


def test_controller_with_workers_leads_through_a_proxy_to_the_store(loop: VirtualLoop) -> None:
    """One controller reaches the workers but not the store, and the other two reach the store but not the workers.

    No task ran in this situation while only a controller with its own link to the store could lead.
    """
    world = SimulatedCluster(loop, seed=7)
    world.submit_continuously(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = world.current_leaders()
    third, second = others_than(world, leader)
    links = [*links_to_workers(leader), *links_to_workers(second), (third, STATE)]
    cut_links(world, links, LinkMode.HELD, 60)
    assert world.current_leaders() == [third] and len(world.leader_history) <= 3
    assert world.longest_gap_between_starts(20.0, 80.0) < 16.0 and not world.violations()


def test_resigned_leader_leads_again_if_nobody_else_does(loop: VirtualLoop) -> None:
    world = SimulatedCluster(loop, seed=9, controllers=2)
    gevent.sleep(20)
    (leader,) = world.current_leaders()
    (follower,) = others_than(world, leader)
    world.crash(follower)
    cut_links(world, links_to_workers(leader), LinkMode.HELD, 8)
    assert world.current_leaders() == []
    world.links.open_all()
    gevent.sleep(REJOIN_AFTER_KEY_FREE_S + 3.0)
    assert world.current_leaders() == [leader]


# the simulation -------------------------------------------------------------------------------------------


def test_same_seed_gives_the_same_history_byte_for_byte() -> None:
    def history() -> str:
        with simulated_time() as loop:
            world = SimulatedCluster(loop, seed=11)
            world.submit_continuously(1.5, 30.0)
            gevent.sleep(15)
            cut_links(world, [(world.current_leaders()[0], STATE)], LinkMode.HELD, 15)
            facts: list[Any] = [world.leader_history, world.task_start_times, world.store.changes]
            return json.dumps(facts)

    assert history() == history()
