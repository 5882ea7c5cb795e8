"""Reads of jobs: shared, never stale, and redirected where they would wait in vain."""

from __future__ import annotations

import json

import gevent

from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.peers import PeerStatus
from support.heartbeat_clusters import start_cluster


class UnreachableController:
    """A controller that cannot be reached."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        raise UnreachableError("gone")


def test_isolated_controller_sends_its_users_elsewhere() -> None:
    """It called itself healthy, as nobody told it that others were served, and its users waited for timeouts."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    peer = PeerClient("node-1", UnreachableController())
    leadership_transfer = controller.leadership_transfer(peer)
    controller.state_link.answered()
    assert leadership_transfer.healthy()
    cluster.clock.now += 5.0
    assert not leadership_transfer.healthy()
    peer.last_heard_at, peer.last = cluster.clock.now, PeerStatus("node-1", 0, 5.0)
    assert leadership_transfer.healthy()  # an outage of all: there is nowhere better


def test_read_before_a_stall_is_not_given_as_the_present_state() -> None:
    cluster, controller, term = start_cluster(1)
    job_id = cluster.submit_job(controller)
    read = controller.job_api._live

    def slow(job_id: str, urgency: Urgency, until: float) -> tuple[int, bool]:
        found = read(job_id, urgency, until)
        cluster.clock.now += 10.0
        return found

    controller.job_api._live = slow  # type: ignore[method-assign]
    assert controller.job_api.poll(job_id).status == 503
    assert term.token


def test_simultaneous_polls_share_reads() -> None:
    """Eight users in ten would have waited: each poll was a request of its own to the state service."""
    cluster, controller, term = start_cluster(1)
    job_ids = [cluster.submit_job(controller) for _ in range(30)]
    count = 0
    request = cluster.store.request

    def counted(method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        nonlocal count
        count += 1
        gevent.sleep(0.001)
        return request(method, path, body, timeout)

    cluster.store.request = counted  # type: ignore[method-assign]
    requests = [gevent.spawn(controller.job_api.poll, job_ids[i % 30]) for i in range(600)]
    gevent.joinall(requests)
    assert all(poll.value.status == 200 for poll in requests) and count <= 60
    assert term.token


def test_shared_read_never_gives_an_older_state() -> None:
    """The poll that comes after the commit of a cancellation must not be served by a comparison begun before it."""
    cluster, controller, _term = start_cluster(1)
    other = InMemoryController(cluster, "node-1")
    job_ids = [cluster.submit_job(controller) for _ in range(4)]
    assert other.job_api.cancel(job_ids[0]).status == 200
    views = [json.loads(controller.job_api.poll(job_id).body)["tide"] for job_id in job_ids]
    assert views[0] == "cancelled" and "cancelled" not in views[1:]
    cluster.store.unavailable = True
    assert controller.job_api.poll(job_ids[1]).status == 503
    assert controller.job_api.poll(job_ids[0]).status == 200  # a final state needs nobody
