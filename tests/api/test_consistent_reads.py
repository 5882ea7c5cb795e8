"""Job status reads: batched, never stale, and refused by a controller that is cut off from the store."""

from __future__ import annotations

import json

import gevent

from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.peers import PeerStatus
from support.heartbeat_clusters import start_cluster


class UnreachableTransport:
    """Transport to a peer that cannot be reached."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        raise UnreachableError("no route to peer")


def test_controller_without_store_and_peers_is_unhealthy() -> None:
    """A controller cut off from the store and all peers must fail health checks, so that its users go elsewhere.

    Such a controller once stayed healthy because no peer reported a working store, and its users ran into timeouts.
    """
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    peer = PeerClient("node-1", UnreachableTransport())
    leadership_transfer = controller.leadership_transfer(peer)
    controller.state_link.record_success()
    assert leadership_transfer.is_healthy()
    cluster.clock.now += 5.0
    assert not leadership_transfer.is_healthy()
    peer.last_heard_at, peer.last_status = cluster.clock.now, PeerStatus("node-1", 0, 5.0)
    # the peer is present but has lost the store as well: in an outage for all, no other controller could serve users
    assert leadership_transfer.is_healthy()


def test_status_read_before_a_stall_is_not_returned() -> None:
    """A process that is stalled for 10 s after reading a status must not return that status as the current one."""
    cluster, controller, term = start_cluster(1)
    job_id = cluster.submit_job(controller)
    read = controller.job_api._read_live_record

    def slow(job_id: str, urgency: Urgency, until: float) -> tuple[int, bool]:
        found = read(job_id, urgency, until)
        cluster.clock.now += 10.0
        return found

    controller.job_api._read_live_record = slow  # type: ignore[method-assign]
    assert controller.job_api.poll(job_id).status == 503
    assert term.token


def test_simultaneous_polls_share_reads() -> None:
    """600 polls at once need at most 60 store requests.

    With one request for each poll, eight of ten users would wait because of the store's rate limit.
    """
    cluster, controller, term = start_cluster(1)
    job_ids = [cluster.submit_job(controller) for _ in range(30)]
    store_requests = 0
    request = cluster.store.request

    def counted(method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        nonlocal store_requests
        store_requests += 1
        gevent.sleep(0.001)
        return request(method, path, body, timeout)

    cluster.store.request = counted  # type: ignore[method-assign]
    polls = [gevent.spawn(controller.job_api.poll, job_ids[i % 30]) for i in range(600)]
    gevent.joinall(polls)
    assert all(poll.value.status == 200 for poll in polls) and store_requests <= 60
    assert term.token


def test_batched_read_never_returns_an_older_state() -> None:
    """A poll that arrives after the commit of a cancellation must not be answered by a batch sent before the commit."""
    cluster, controller, _term = start_cluster(1)
    other = InMemoryController(cluster, "node-1")
    job_ids = [cluster.submit_job(controller) for _ in range(4)]
    assert other.job_api.cancel(job_ids[0]).status == 200
    states = [json.loads(controller.job_api.poll(job_id).body)["tide"] for job_id in job_ids]
    assert states[0] == "cancelled" and "cancelled" not in states[1:]
    cluster.store.unavailable = True
    assert controller.job_api.poll(job_ids[1]).status == 503
    assert controller.job_api.poll(job_ids[0]).status == 200  # a final state is cached and needs no store
