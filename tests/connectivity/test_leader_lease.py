"""The leader lease while requests to the key-value store are slow or fail."""

from __future__ import annotations

import pytest

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController


def test_authority_counts_from_when_the_renewal_was_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a proxy counted from its own clock, a leader would give commands after its lease has expired."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    controller.lead()
    keep_alive = controller.store.keep_alive

    def slow_keep_alive(lease: int) -> None:
        cluster.clock.now += 2.0  # on its way through another controller
        keep_alive(lease)

    monkeypatch.setattr(controller.store, "keep_alive", slow_keep_alive)
    sent_at = cluster.clock.now
    assert controller.election.renew()
    assert controller.election.authority_until < sent_at + controller.election.lease_ttl_s


def test_leader_is_unknown_once_the_key_cannot_be_read() -> None:
    """Workers were sent to a controller that led no more and that sent them back: they never came to the leader."""
    cluster = InMemoryCluster()
    leader, follower = InMemoryController(cluster, "node-0"), InMemoryController(cluster, "node-1")
    leader.lead()
    follower.election.read_leader_key()
    assert follower.election.known_leader() == "node-0"
    cluster.clock.now += 10.0
    assert follower.election.known_leader() is None
