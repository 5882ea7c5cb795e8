"""The leader lease while requests to the key-value store are slow or fail."""

from __future__ import annotations

import pytest

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController


def test_lease_validity_counts_from_when_the_renewal_was_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """A renewal may be delayed on its way to the store, for example by a proxy.

    If a leader counted the validity of its lease from the response, it would send commands after the lease has expired.
    """
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    controller.lead()
    keep_alive = controller.store.keep_alive

    def slow_keep_alive(lease: int) -> None:
        cluster.clock.now += 2.0  # the delay of a request through a proxy
        keep_alive(lease)

    monkeypatch.setattr(controller.store, "keep_alive", slow_keep_alive)
    sent_at = cluster.clock.now
    assert controller.election.renew()
    assert controller.election.authority_until < sent_at + controller.election.lease_ttl_s


def test_leader_is_unknown_once_the_key_cannot_be_read() -> None:
    """A follower that cannot read the leader key must not redirect workers to the last known leader.

    Workers were redirected to a controller that no longer led and that redirected them back, so that they never reached
    the leader.
    """
    cluster = InMemoryCluster()
    leader, follower = InMemoryController(cluster, "node-0"), InMemoryController(cluster, "node-1")
    leader.lead()
    follower.election.read_leader_key()
    assert follower.election.known_leader() == "node-0"
    cluster.clock.now += 10.0
    assert follower.election.known_leader() is None
