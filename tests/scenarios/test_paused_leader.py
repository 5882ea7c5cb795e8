"""A leader that stands still, while its clocks run on, at each single step of what it does for workers and users."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from grebestand.api.job_api import JobApi
from grebestand.clients.kv_store import KeyValueStoreClient
from grebestand.controller.leadership_transfer import LeadershipTransfer
from grebestand.heartbeats.commands import CommandBuilder
from grebestand.leader.durable_grants import DurableGrants
from grebestand.leader.election import LeaderElection
from grebestand.leader.fenced_writes import FencedWriter
from grebestand.leader.heartbeat_handler import HeartbeatHandler
from grebestand.leader.job_completion import JobCompletion
from grebestand.leader.job_watch import JobWatch
from grebestand.leader.machine_reconciliation import MachineReconciliation
from grebestand.leader.machine_records import MachineRecords
from grebestand.leader.provisioning import Provisioning
from grebestand.leader.task_progress import TaskProgress
from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from support.cluster_actions import end_faults

#: a method, and the place in it at which the leader stops: as it begins, or when it has done its work
STEPS: list[tuple[type, str]] = [
    (HeartbeatHandler, "handle"), (CommandBuilder, "build_commands"), (DurableGrants, "write"),
    (FencedWriter, "commit"), (KeyValueStoreClient, "commit"),
    (LeaderElection, "renew"), (JobWatch, "_follow"), (JobCompletion, "_complete"), (TaskProgress, "save"),
    (MachineRecords, "record"),
    (Provisioning, "_rent_as"), (MachineReconciliation, "apply_direct_answer"), (LeadershipTransfer, "resign"),
    (JobApi, "_lookup"),
    (JobApi, "_accept"), (JobApi, "cancel"),
]  # fmt: skip


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


#: from then on the next step of that kind is where the leader stops; machines are rented before
FROM_S, RENTING_S = 14.0, 3.0


def stop_at(
    worlds: list[SimulatedCluster], monkeypatch: pytest.MonkeyPatch, step: tuple[type, str], after: bool, seconds: float
) -> list[float]:
    """The next time at which the leader comes to this step, it stands still there. Tells when that was."""
    kind, name = step
    inner = getattr(kind, name)
    stopped: list[float] = []

    def stand_still(leader: str) -> None:
        (world,) = worlds
        if leader and not stopped:
            stopped.append(world.loop.time)
            world.pause(leader, seconds)
            world.runtimes[leader].wait_while_paused()

    def stopping(self: Any, *args: Any, **more: Any) -> Any:
        due = worlds and worlds[0].loop.time >= (RENTING_S if kind is Provisioning else FROM_S)
        leader = (worlds[0].current_leaders() or [""])[0] if due else ""
        if not after:
            stand_still(leader)
        found = inner(self, *args, **more)
        if after:
            stand_still(leader)
        return found

    monkeypatch.setattr(kind, name, stopping)
    return stopped


@pytest.mark.parametrize("seconds", [3.0, 14.0, 32.0])
@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("step", STEPS, ids=[f"{k.__name__}.{n.strip('_')}" for k, n in STEPS])
def test_a_leader_stands_still_at_a_step(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, step: tuple[type, str], after: bool, seconds: float
) -> None:
    worlds: list[SimulatedCluster] = []
    stopped = stop_at(worlds, monkeypatch, step, after, seconds)
    world = SimulatedCluster(loop, seed=71, machines=3, rules="idle_return_s = 30\n")
    worlds.append(world)
    world.task_duration_s, world.cancelled_job_rate, world.burst_requests = (4.0, 25.0), 0.3, True
    world.boot_s = (0.5, 6.0)
    world.submit_continuously(1.2, 60.0)
    gevent.sleep(FROM_S)
    if step[0] is LeadershipTransfer:
        for name in world.current_leaders():
            node = world.controllers[name]
            assert node is not None
            gevent.spawn(node.leadership_transfer.resign, "played", "")
    gevent.sleep(4)
    for _ in range(3):
        world.cancel_running_jobs(3)
        gevent.sleep(0.4 * seconds + 3.0)
    end_faults(world)
    assert stopped
    assert world.wait_until_settled(500.0) == []
