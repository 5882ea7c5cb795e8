"""Old heartbeats reach every controller just as a new leader begins."""

from __future__ import annotations

import json
from collections.abc import Iterator

import gevent
import pytest

from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated
from support.cluster_actions import CHANGES, any_report_is_proof, change, heal


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated() as virtual:
        yield virtual


def deliver_stale_heartbeats(loop: VirtualLoop, seed: int, how: str) -> SimulatedCluster:
    """From before the last term, of an earlier epoch or attempt, of a machine deleted since, of one that expired."""
    world = SimulatedCluster(loop, seed=seed, machines=10)
    world.task_s = (4.0, 20.0)
    world.kept, world.cancelling = 0.5, 0.3
    world.crowd(1.5, 70.0)
    for number in range(5):
        machine = f"n-{number:06d}"
        gevent.sleep(6)
        world.machines[machine].restart(anew=bool(number % 2))
        gevent.sleep(2)
        if number in (1, 3):
            world.cloud.request("POST", "/machines/delete", json.dumps({"vessels": [machine]}).encode(), 1.0)
        world.cancel_now(3, hang_s=25.0 if number == 2 else 0.0)
        gevent.sleep(1)
        change(world, how)
        gevent.sleep(4)
    heal(world)
    return world


@pytest.mark.parametrize("how", CHANGES)
def test_stale_heartbeats_do_not_mislead_a_new_leader(loop: VirtualLoop, how: str) -> None:
    world = deliver_stale_heartbeats(loop, 36, how)
    assert world.settled(400.0) == []


def test_trust_in_stale_heartbeats_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose."""
    any_report_is_proof(monkeypatch)
    faults = []
    for seed in range(3):
        with simulated() as virtual:
            faults += deliver_stale_heartbeats(virtual, 36 + seed, "crash").settled(200.0)
    assert faults
