"""Heartbeats that come late: old ones just as a new leader begins, and copies from another epoch of the worker."""

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
    with simulated_time() as virtual:
        yield virtual


def deliver_stale_heartbeats(loop: VirtualLoop, seed: int, how: str) -> SimulatedCluster:
    """From before the last term, of an earlier epoch or attempt, of a machine deleted since, of one that expired."""
    world = SimulatedCluster(loop, seed=seed, machines=10)
    world.task_duration_s = (4.0, 20.0)
    world.retained_heartbeat_rate, world.cancelled_job_rate = 0.5, 0.3
    world.submit_continuously(1.5, 70.0)
    for number in range(5):
        machine = f"n-{number:06d}"
        gevent.sleep(6)
        world.machines[machine].restart(reset_session=bool(number % 2))
        gevent.sleep(2)
        if number in (1, 3):
            world.cloud.request("POST", "/machines/delete", json.dumps({"vessels": [machine]}).encode(), 1.0)
        world.cancel_running_jobs(3, hang_s=25.0 if number == 2 else 0.0)
        gevent.sleep(1)
        change_leader(world, how)
        gevent.sleep(4)
    end_faults(world)
    return world


@pytest.mark.parametrize("how", LEADER_CHANGES)
def test_stale_heartbeats_do_not_mislead_a_new_leader(loop: VirtualLoop, how: str) -> None:
    world = deliver_stale_heartbeats(loop, 36, how)
    assert world.wait_until_settled(400.0) == []


def test_trust_in_stale_heartbeats_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose."""
    accept_every_heartbeat(monkeypatch)
    faults = []
    for seed in range(3):
        with simulated_time() as virtual:
            faults += deliver_stale_heartbeats(virtual, 36 + seed, "crash").wait_until_settled(200.0)
    assert faults


# a copy from an epoch that could not have begun -----------------------------------------------------------


@dataclass
class CopyFromOtherEpoch:
    """A late copy of a heartbeat without tasks, from a later epoch than its machine, which runs both tasks of a job."""

    term: Term
    job: Job
    heartbeat: Heartbeat


@pytest.fixture
def copy() -> CopyFromOtherEpoch:
    """The machine expired and began a new epoch while its leader heard nothing; the copy is of that epoch."""
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    term = InMemoryController(cluster, "node-0").lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(InMemoryController(cluster, "node-9"), shards=2)
    cluster.run_rounds(term, 4)
    assert len(worker.running_tasks()) == 2
    heartbeat = worker.next_heartbeat()
    heartbeat = msgspec.structs.replace(heartbeat, epoch=heartbeat.epoch + 1, sequence=3, tasks=[])
    return CopyFromOtherEpoch(term, term.registry.jobs[job_id], heartbeat)


def test_machine_is_queried_about_an_epoch_that_could_not_have_begun(copy: CopyFromOtherEpoch) -> None:
    """Found by the search (seed 201, world 1080): taken for true, it ended what ran there, and six tasks ran twice."""
    reconciliation = copy.term.machine_reconciliation
    copy.term.handle_heartbeat(copy.heartbeat)
    assert len(copy.job.allocations) == 2
    (machine,) = copy.term.inventory.machines
    assert machine.reception is Reception.SUSPECTED and machine in reconciliation.select_machines_to_query(
        copy.term.clock()
    )
    reconciliation.query(machine)
    assert machine.reception.name == "REACHABLE" and len(copy.job.allocations) == 2


def test_trust_in_such_an_epoch_is_found(copy: CopyFromOtherEpoch, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: it ends what runs."""
    monkeypatch.setattr(MachineInventory, "has_lease_expired", lambda self, machine, now: True)
    copy.term.handle_heartbeat(copy.heartbeat)
    assert not copy.job.allocations
