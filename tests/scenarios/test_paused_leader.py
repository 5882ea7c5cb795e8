"""A leader process that is paused, while clocks advance, at each step of its work for workers and users."""

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

#: the methods at which the leader is paused, before or after the call
STEPS: list[tuple[type, str]] = [
    (HeartbeatHandler, "handle"), (CommandBuilder, "build_commands"), (DurableGrants, "write"),
    (FencedWriter, "commit"), (KeyValueStoreClient, "commit"),
    (LeaderElection, "renew"), (JobWatch, "_apply_changes"), (JobCompletion, "_complete"), (TaskProgress, "save"),
    (MachineRecords, "record"),
    (Provisioning, "_rent_as"), (MachineReconciliation, "apply_direct_answer"), (LeadershipTransfer, "resign"),
    (JobApi, "_lookup"),
    (JobApi, "_accept"), (JobApi, "cancel"),
]  # fmt: skip


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


#: the simulated time from which on the leader is paused at the next call, and an earlier time for the renting of
#: machines, which happens only at the beginning
PAUSE_FROM_S, PAUSE_FROM_FOR_RENTING_S = 14.0, 3.0


def pause_at(
    clusters: list[SimulatedCluster],
    monkeypatch: pytest.MonkeyPatch,
    step: tuple[type, str],
    after: bool,
    seconds: float,
) -> list[float]:
    """Pause the leader once at its next call of a method, and return a list that gets the time of the pause.

    Args:
        clusters: A list that gets the one cluster after this function was called.
        monkeypatch: The fixture that replaces the method.
        step: The class and the method.
        after: Whether the leader is paused after the call, not before it.
        seconds: The length of the pause.
    """
    owner, name = step
    method = getattr(owner, name)
    pause_times: list[float] = []

    def pause_once(leader: str) -> None:
        (cluster,) = clusters
        if leader and not pause_times:
            pause_times.append(cluster.loop.time)
            cluster.pause(leader, seconds)
            cluster.runtimes[leader].wait_while_paused()

    def call_and_pause(self: Any, *args: Any, **kwargs: Any) -> Any:
        due = clusters and clusters[0].loop.time >= (
            PAUSE_FROM_FOR_RENTING_S if owner is Provisioning else PAUSE_FROM_S
        )
        leader = (clusters[0].current_leaders() or [""])[0] if due else ""
        if not after:
            pause_once(leader)
        result = method(self, *args, **kwargs)
        if after:
            pause_once(leader)
        return result

    monkeypatch.setattr(owner, name, call_and_pause)
    return pause_times


@pytest.mark.parametrize("seconds", [3.0, 14.0, 32.0])
@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("step", STEPS, ids=[f"{owner.__name__}.{name.strip('_')}" for owner, name in STEPS])
def test_leader_is_paused_at_a_step(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, step: tuple[type, str], after: bool, seconds: float
) -> None:
    clusters: list[SimulatedCluster] = []
    pause_times = pause_at(clusters, monkeypatch, step, after, seconds)
    cluster = SimulatedCluster(loop, seed=71, machines=3, rules="idle_return_s = 30\n")
    clusters.append(cluster)
    cluster.task_duration_s, cluster.cancelled_job_rate, cluster.burst_requests = (4.0, 25.0), 0.3, True
    cluster.boot_s = (0.5, 6.0)
    cluster.submit_continuously(1.2, 60.0)
    gevent.sleep(PAUSE_FROM_S)
    if step[0] is LeadershipTransfer:
        for name in cluster.current_leaders():
            controller = cluster.controllers[name]
            assert controller is not None
            gevent.spawn(controller.leadership_transfer.resign, "played", "")
    gevent.sleep(4)
    for _ in range(3):
        cluster.cancel_running_jobs(3)
        gevent.sleep(0.4 * seconds + 3.0)
    end_faults(cluster)
    assert pause_times
    assert cluster.wait_until_settled(500.0) == []
