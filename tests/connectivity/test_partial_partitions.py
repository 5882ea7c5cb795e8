"""Partial network partitions in simulated clusters: some links between controllers, store and workers are interrupted.

The tests check which controller leads, and whether a controller that cannot reach the key-value store sends its
requests to the store through a peer, which serves as its proxy.
"""

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


def cut_links(cluster: SimulatedCluster, links: list[tuple[str, str]], mode: LinkMode, seconds: float) -> None:
    """Set the mode of links in both directions, and let simulated time pass."""
    for one_end, other_end in links:
        cluster.links.set_mode(one_end, other_end, mode)
    gevent.sleep(seconds)


def links_to_workers(controller: str) -> list[tuple[str, str]]:
    """Return the links between a controller and the workers of both zones."""
    return [(controller, "a"), (controller, "b")]


def peers_of(cluster: SimulatedCluster, controller: str) -> list[str]:
    """Return the names of the other controllers."""
    return [name for name in cluster.controller_names if name != controller]


def proxied_requests(cluster: SimulatedCluster) -> list[int]:
    """Return how many requests each controller has sent to the store through a peer."""
    return [
        controller.store_transport.proxied_requests
        for controller in cluster.controllers.values()
        if controller is not None
    ]


# a controller that cannot reach the key-value store ---------------------------------------------------------


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD, LinkMode.REQUESTS_LOST, LinkMode.RESPONSES_LOST])
def test_leader_without_store_keeps_leading_through_a_proxy(loop: VirtualLoop, mode: LinkMode) -> None:
    cluster = SimulatedCluster(loop, seed=3)
    cluster.submit_continuously(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = cluster.current_leaders()
    cut_links(cluster, [(leader, STATE)], mode, 60)
    assert cluster.current_leaders() == [leader] and len(cluster.leader_history) == 1 and not cluster.lease_expiry_kills
    assert cluster.longest_gap_between_starts(20.0, 80.0) < 6.0
    cluster.links.open_all()
    gevent.sleep(40)
    assert not cluster.violations() and all(job.accepted_at is not None for job in cluster.jobs.values())


def test_users_of_controller_without_store_are_served_through_a_proxy(loop: VirtualLoop) -> None:
    cluster = SimulatedCluster(loop, seed=4)
    gevent.sleep(20)
    follower = peers_of(cluster, cluster.current_leaders()[0])[0]
    cut_links(cluster, [(follower, STATE)], LinkMode.HELD, 5)
    job_id = cluster.submit(controller=follower)
    gevent.sleep(20)
    job = cluster.jobs[job_id]
    assert job.accepted_at is not None and job.accepted_at - job.submitted_at < 1.0 and job.done_at is not None


def test_store_outage_changes_no_leader_and_proxies_nothing(loop: VirtualLoop) -> None:
    cluster = SimulatedCluster(loop, seed=8)
    cluster.submit_continuously(1.0, 60.0)
    gevent.sleep(20)
    proxied_before = proxied_requests(cluster)
    cluster.store.unavailable = True
    gevent.sleep(9)
    assert len(cluster.current_leaders()) == 1 and len(cluster.leader_history) == 1
    assert proxied_requests(cluster) == proxied_before
    cluster.store.unavailable = False
    gevent.sleep(20)
    assert len(cluster.leader_history) == 1 and not cluster.violations()


# a controller that workers cannot reach ---------------------------------------------------------------------


@pytest.mark.parametrize("peers_cut_off", [False, True])
def test_leader_without_workers_resigns_with_or_without_peers(loop: VirtualLoop, peers_cut_off: bool) -> None:
    """Guards against a leader that workers cannot reach and that does not resign because it reaches the store.

    If it reached no peer either, such a leader kept leading for 33 s.
    """
    cluster = SimulatedCluster(loop, seed=5)
    cluster.submit_continuously(1.0, 70.0)
    gevent.sleep(20)
    (leader,) = cluster.current_leaders()
    first_peer, second_peer = peers_of(cluster, leader)
    links = links_to_workers(leader)
    if peers_cut_off:
        links += [(leader, first_peer), (leader, second_peer), (first_peer, second_peer)]
    cut_links(cluster, links, LinkMode.HELD, 40)
    assert cluster.current_leaders() and cluster.current_leaders() != [leader]
    assert (
        len(cluster.leader_history) == 2
        and cluster.leader_history[1][0] - 20.0 < 1.6 * cluster.heartbeat_interval_s + 2.5
    )
    assert not cluster.lease_expiry_kills and not cluster.violations()


def test_peer_that_workers_reach_becomes_leader_before_one_that_they_do_not(loop: VirtualLoop) -> None:
    """Guards against transferring leadership to a controller that workers cannot reach either.

    Leadership moved from one such controller to another, which took ten seconds for each of them.
    """
    cluster = SimulatedCluster(loop, seed=6)
    cluster.submit_continuously(1.0, 80.0)
    gevent.sleep(20)
    (leader,) = cluster.current_leaders()
    reached_peer, unreached_peer = peers_of(cluster, leader)
    links = [*links_to_workers(leader), *links_to_workers(unreached_peer), (leader, unreached_peer)]
    cut_links(cluster, links, LinkMode.HELD, 50)
    assert [name for _, name, _ in cluster.leader_history] == [leader, reached_peer]
    assert not cluster.violations()


def test_controller_with_workers_leads_through_a_proxy_to_the_store(loop: VirtualLoop) -> None:
    """One controller reaches the workers but not the store, and the other two reach the store but not the workers.

    Guards against a cluster in which no task runs: that was so while only a controller that reached the store directly
    could lead.
    """
    cluster = SimulatedCluster(loop, seed=7)
    cluster.submit_continuously(1.0, 90.0)
    gevent.sleep(20)
    (leader,) = cluster.current_leaders()
    reached_peer, unreached_peer = peers_of(cluster, leader)
    links = [*links_to_workers(leader), *links_to_workers(unreached_peer), (reached_peer, STATE)]
    cut_links(cluster, links, LinkMode.HELD, 60)
    assert cluster.current_leaders() == [reached_peer] and len(cluster.leader_history) <= 3
    assert cluster.longest_gap_between_starts(20.0, 80.0) < 16.0 and not cluster.violations()


def test_resigned_leader_leads_again_if_nobody_else_does(loop: VirtualLoop) -> None:
    cluster = SimulatedCluster(loop, seed=9, controllers=2)
    gevent.sleep(20)
    (leader,) = cluster.current_leaders()
    (follower,) = peers_of(cluster, leader)
    cluster.crash(follower)
    cut_links(cluster, links_to_workers(leader), LinkMode.HELD, 8)
    assert cluster.current_leaders() == []
    cluster.links.open_all()
    gevent.sleep(REJOIN_AFTER_KEY_FREE_S + 3.0)
    assert cluster.current_leaders() == [leader]


# the simulation -------------------------------------------------------------------------------------------


def test_same_seed_gives_the_same_history_byte_for_byte() -> None:
    def history() -> str:
        with simulated_time() as loop:
            cluster = SimulatedCluster(loop, seed=11)
            cluster.submit_continuously(1.5, 30.0)
            gevent.sleep(15)
            cut_links(cluster, [(cluster.current_leaders()[0], STATE)], LinkMode.HELD, 15)
            outcome: list[Any] = [cluster.leader_history, cluster.task_start_times, cluster.store.changes]
            return json.dumps(outcome)

    assert history() == history()
