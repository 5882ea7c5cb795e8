"""Late heartbeats: old ones that arrive as a new term begins, and duplicates from another epoch of the worker."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
import msgspec
import pytest

from grebestand.cluster_state.jobs import Job
from grebestand.cluster_state.machine_inventory import MachineInventory
from grebestand.leader.term import Term
from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import Reception
from grebestand.wire.workers import Heartbeat
from support.cluster_actions import LEADER_CHANGES, accept_every_heartbeat, change_leader, end_faults


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


def deliver_stale_heartbeats(loop: VirtualLoop, seed: int, leader_change: str) -> SimulatedCluster:
    """Deliver old heartbeats to new leaders in five failovers.

    The heartbeats are from before the current term, from an earlier epoch or attempt, from a machine that was deleted
    since, or from a machine whose lease has expired.
    """
    cluster = SimulatedCluster(loop, seed=seed, machines=10)
    cluster.task_duration_s = (4.0, 20.0)
    cluster.retained_heartbeat_rate, cluster.cancelled_job_rate = 0.5, 0.3
    cluster.submit_continuously(1.5, 70.0)
    for number in range(5):
        machine = f"n-{number:06d}"
        gevent.sleep(6)
        cluster.machines[machine].restart(reset_session=bool(number % 2))
        gevent.sleep(2)
        if number in (1, 3):
            cluster.cloud.request("POST", "/machines/delete", json.dumps({"vessels": [machine]}).encode(), 1.0)
        cluster.cancel_running_jobs(3, hang_s=25.0 if number == 2 else 0.0)
        gevent.sleep(1)
        change_leader(cluster, leader_change)
        gevent.sleep(4)
    end_faults(cluster)
    return cluster


@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_stale_heartbeats_do_not_mislead_a_new_leader(loop: VirtualLoop, leader_change: str) -> None:
    cluster = deliver_stale_heartbeats(loop, 36, leader_change)
    assert cluster.wait_until_settled(400.0) == []


def test_trust_in_stale_heartbeats_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: every heartbeat is handled as the newest one, whatever its token and epoch."""
    accept_every_heartbeat(monkeypatch)
    violations = []
    for seed in range(3):
        with simulated_time() as virtual_loop:
            violations += deliver_stale_heartbeats(virtual_loop, 36 + seed, "crash").wait_until_settled(200.0)
    assert violations


# a heartbeat from an epoch that cannot have begun ----------------------------------------------------------


@dataclass
class HeartbeatFromOtherEpoch:
    """A heartbeat without tasks, from a later epoch than the machine's, while the machine runs both tasks of a job."""

    term: Term
    job: Job
    heartbeat: Heartbeat


@pytest.fixture
def early_epoch() -> HeartbeatFromOtherEpoch:
    """Return a heartbeat from the epoch that begins when the machine's lease expires, while the lease is in force."""
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    term = InMemoryController(cluster, "node-0").lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    cluster.run_rounds(term, 4)
    assert len(worker.running_tasks()) == 2
    heartbeat = worker.next_heartbeat()
    heartbeat = msgspec.structs.replace(heartbeat, epoch=heartbeat.epoch + 1, sequence=3, tasks=[])
    return HeartbeatFromOtherEpoch(term, term.registry.jobs[job_id], heartbeat)


def test_machine_is_queried_about_an_epoch_that_cannot_have_begun(early_epoch: HeartbeatFromOtherEpoch) -> None:
    """A heartbeat from an epoch that cannot have begun must not end the machine's allocations.

    An earlier version trusted such a heartbeat and ran six tasks twice (random schedules, SCHEDULE_SEED 201, cluster
    seed 1080).
    """
    reconciliation = early_epoch.term.machine_reconciliation
    early_epoch.term.handle_heartbeat(early_epoch.heartbeat)
    assert len(early_epoch.job.allocations) == 2
    (machine,) = early_epoch.term.inventory.machines
    assert machine.reception is Reception.SUSPECTED and machine in reconciliation.select_machines_to_query(
        early_epoch.term.clock()
    )
    reconciliation.query(machine)
    assert machine.reception.name == "REACHABLE" and len(early_epoch.job.allocations) == 2


def test_trust_in_an_epoch_that_cannot_have_begun_is_found(
    early_epoch: HeartbeatFromOtherEpoch, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fault built in on purpose: every lease counts as expired, so the heartbeat ends the machine's allocations."""
    monkeypatch.setattr(MachineInventory, "has_lease_expired", lambda self, machine, now: True)
    early_epoch.term.handle_heartbeat(early_epoch.heartbeat)
    assert not early_epoch.job.allocations
