"""Leader election: fencing, pauses, restarts and resignations."""

from __future__ import annotations

import pytest

from grebestand.clients.kv_store import put
from grebestand.clients.peer import PeerClient
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.leader.election import FencedError
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import LeaderState
from grebestand.wire.peers import PeerStatus
from grebestand.wire.workers import HeartbeatResponse
from support.single_leader import fail_over, start_cluster


def test_old_leader_is_fenced_by_its_clock_and_by_the_store() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    _successor, _new_term = fail_over(cluster, "node-1")
    # its clock says so first
    assert term.handle_heartbeat(worker.next_heartbeat()) is None
    # and if that clock were wrong, the store would refuse its write
    controller.election.authority_until = cluster.clock.now + 100
    with pytest.raises(FencedError):
        term.writer.commit([], [put("x", 1)], Urgency.DONE)
    assert "x" not in cluster.store.data
    assert controller.election.state is LeaderState.FOLLOWING


def test_leader_pauses_in_store_outage_and_resumes_with_same_token() -> None:
    cluster, controller, term, (worker,) = start_cluster(1)
    token = controller.election.token
    cluster.store.unavailable = True
    cluster.clock.now += 5.0
    assert not controller.election.renew()
    assert isinstance(term.handle_heartbeat(worker.next_heartbeat()), HeartbeatResponse)
    cluster.clock.now += 8.0
    controller.election.check_clock()
    assert controller.election.state is LeaderState.PAUSED
    assert term.handle_heartbeat(worker.next_heartbeat()) is None
    cluster.store.unavailable = False
    for lease_id in cluster.store.leases:  # after an outage all leases have their full time again
        cluster.store.leases[lease_id] = (12.0, cluster.clock.now + 12.0)
    assert controller.election.renew()
    controller.election.change_state(LeaderState.LEADING, "test")
    assert controller.election.token == token
    assert isinstance(term.handle_heartbeat(worker.next_heartbeat()), HeartbeatResponse)


def test_restarted_controller_takes_own_key_with_higher_token() -> None:
    cluster, controller, _term, _ = start_cluster(1)
    successor = InMemoryController(cluster, "node-0")
    successor.lead()
    assert successor.election.token > controller.election.token
    stranger = InMemoryController(cluster, "node-1")
    stranger.election.read_leader_key()
    assert stranger.election.state is LeaderState.FOLLOWING
    assert stranger.election.leader == "node-0"


def test_resigned_leader_is_replaced_at_once_and_does_not_return_early() -> None:
    """Used where workers or the state service reach others but not the leader."""
    cluster, controller, term, (worker,) = start_cluster(1)
    token = controller.election.resign("no worker reports", 20.0)
    assert term.handle_heartbeat(worker.next_heartbeat()) is None  # nothing more is answered, whatever the key says
    peer = InMemoryController(cluster, "node-1")
    peer.election.clear_key(token)
    peer.lead()
    assert peer.election.token > token
    controller.election.read_leader_key()
    assert (controller.election.state.name, controller.election.leader) == ("RESIGNED", "node-1")
    peer.election.clear_key(token)  # a repeated notice: the new key is another's and stays
    assert cluster.store.data["leader"][1] == peer.election.token
    cluster.clock.now += 21.0
    controller.election.read_leader_key()
    assert controller.election.state.name == "LOADING"  # the peer's lease expired; this one may lead again


def test_leader_resigns_for_served_peer_but_not_in_outage_for_all() -> None:
    """Two seconds into an outage a leader gave way to a peer that had been served last, a second after it. Its
    authority ended ten seconds early, and with it the leases of 5300 tasks."""
    cluster, controller, _term, _workers = start_cluster(1)
    silent = InMemoryCluster().store
    silent.request = lambda *_: (503, b"")  # type: ignore[method-assign]
    peer = PeerClient("node-1", silent)
    leadership_transfer = controller.leadership_transfer(peer)
    controller.state_link.answered()
    served_at = cluster.clock.now + 1.2
    for _ in range(12):
        cluster.clock.now += 0.5
        controller.state_link.failed(cluster.clock.now, "refused", 1.5)
        peer.last_heard_at, peer.last = cluster.clock.now, PeerStatus("node-1", 0, cluster.clock.now - served_at)
        leadership_transfer.check_store()
    assert controller.election.is_leader() and leadership_transfer.healthy()
    # the peer is served again, and this one is not
    peer.last_heard_at, peer.last = cluster.clock.now, PeerStatus("node-1", 0, 0.1)
    assert not leadership_transfer.healthy()
    leadership_transfer.check_store()
    assert controller.election.state is LeaderState.RESIGNED
