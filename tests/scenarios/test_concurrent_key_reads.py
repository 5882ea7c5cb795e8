"""Two overlapping reads of the leader key by one controller."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from grebestand.clients.kv_store import KeyValueStoreClient
from grebestand.leader.election import LEADER_KEY
from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from support.cluster_actions import change_leader


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


@pytest.mark.parametrize("seed", range(42, 46))
def test_controller_keeps_its_own_key_when_two_reads_overlap(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A controller must not remove the leader key that it has just acquired.

    While the store responds slowly, the periodic read of the leader key overlaps with the read that a resignation
    triggers. One read acquires the key; the other then finds the controller's own name in the key and removes the key
    as left over from an earlier term. Another controller acquires the free key, and two controllers lead.
    """
    cluster = SimulatedCluster(loop, seed=seed, machines=6)
    get = KeyValueStoreClient.get

    def get_slowly(self: KeyValueStoreClient, key: str, *args: Any) -> Any:
        gevent.sleep(0.25 if key == LEADER_KEY else 0.0)
        value = get(self, key, *args)
        gevent.sleep(0.25 if key == LEADER_KEY else 0.0)
        return value

    monkeypatch.setattr(KeyValueStoreClient, "get", get_slowly)
    cluster.submit_continuously(2.0, 60.0)
    gevent.sleep(12)
    for transfers in range(1, 9):
        token_before = cluster.leader_history[-1][2]
        change_leader(cluster, "hand over")
        gevent.sleep(8)
        assert cluster.leader_history[-1][2] > token_before and len(cluster.leader_history) == 1 + transfers, (
            cluster.leader_history
        )
    assert not cluster.multiple_leader_times
