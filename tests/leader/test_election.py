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
    # the authority of the old leader has expired by its own clock
    assert term.handle_heartbeat(worker.next_heartbeat()) is None
    # if the clock of the old leader were wrong, the store would reject its write
    controller.election.authority_until = cluster.clock.now + 100
    with pytest.raises(FencedError):
        term.writer.commit([], [put("x", 1)], Urgency.COMPLETION)
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
    for lease_id in cluster.store.leases:  # the store restarts all leases after an outage
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
    """A leader resigns where workers or the store reach other controllers but not the leader."""
    cluster, controller, term, (worker,) = start_cluster(1)
    token = controller.election.resign("no worker reports", 20.0)
    assert (
        term.handle_heartbeat(worker.next_heartbeat()) is None
    )  # no heartbeat is answered, whatever the leader key names
    peer = InMemoryController(cluster, "node-1")
    peer.election.clear_key(token)
    peer.lead()
    assert peer.election.token > token
    controller.election.read_leader_key()
    assert (controller.election.state.name, controller.election.leader) == ("RESIGNED", "node-1")
    peer.election.clear_key(token)  # a repeated notice does not delete the key of the new term
    assert cluster.store.data["leader"][1] == peer.election.token
    cluster.clock.now += 21.0
    controller.election.read_leader_key()
    assert controller.election.state.name == "LOADING"  # the peer's lease has expired and the pause is over


def test_leader_resigns_for_served_peer_but_not_in_outage_for_all() -> None:
    """Guards against a resignation in an outage of the whole store, in favour of a peer that was served slightly later.

    Two seconds into an outage a leader resigned because a peer had been served one second after the leader. The
    authority of the leader ended ten seconds early, and the leases of 5300 tasks expired.
    """
    cluster, controller, _term, _workers = start_cluster(1)
    silent = InMemoryCluster().store
    silent.request = lambda *_: (503, b"")  # type: ignore[method-assign]
    peer = PeerClient("node-1", silent)
    leadership_transfer = controller.leadership_transfer(peer)
    controller.state_link.record_success()
    served_at = cluster.clock.now + 1.2
    for _ in range(12):
        cluster.clock.now += 0.5
        controller.state_link.record_failure(cluster.clock.now, "refused", 1.5)
        peer.last_heard_at, peer.last_status = cluster.clock.now, PeerStatus("node-1", 0, cluster.clock.now - served_at)
        leadership_transfer.check_store()
    assert controller.election.is_leader() and leadership_transfer.is_healthy()
    # the store answers the peer again, and not this controller
    peer.last_heard_at, peer.last_status = cluster.clock.now, PeerStatus("node-1", 0, 0.1)
    assert not leadership_transfer.is_healthy()
    leadership_transfer.check_store()
    assert controller.election.state is LeaderState.RESIGNED
