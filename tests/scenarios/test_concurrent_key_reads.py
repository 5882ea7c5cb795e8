"""A controller that reads the leader key twice at a time."""

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
    with simulated_time() as virtual:
        yield virtual


@pytest.mark.parametrize("seed", range(42, 46))
def test_controller_keeps_its_own_key_when_two_reads_overlap(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Its own look, and the one that a resignation sets off, overlap while answers are slow: the one that was under way
    found the key that the other had just taken, by its own name, and removed it as if it were of an earlier term. The
    next controller took it, and two led."""
    world = SimulatedCluster(loop, seed=seed, machines=6)
    get = KeyValueStoreClient.get

    def get_slowly(self: KeyValueStoreClient, key: str, *more: Any) -> Any:
        gevent.sleep(0.25 if key == LEADER_KEY else 0.0)
        found = get(self, key, *more)
        gevent.sleep(0.25 if key == LEADER_KEY else 0.0)
        return found

    monkeypatch.setattr(KeyValueStoreClient, "get", get_slowly)
    world.submit_continuously(2.0, 60.0)
    gevent.sleep(12)
    for transfers in range(1, 9):
        token_before = world.leader_history[-1][2]
        change_leader(world, "hand over")
        gevent.sleep(8)
        assert world.leader_history[-1][2] > token_before and len(world.leader_history) == 1 + transfers, (
            world.leader_history
        )
    assert not world.multiple_leader_times
