"""Clusters in memory with one leader, for tests that call the leader's steps on a manual clock."""

from __future__ import annotations

import json
from typing import NamedTuple

from grebestand.emulators.worker import WorkerEmulator
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController

#: longer than the leader lease of an `InMemoryController`, in seconds
AFTER_LEADER_LEASE_S = 13.0


class LedCluster(NamedTuple):
    """A cluster whose controller leads and has reconciled all machines."""

    cluster: InMemoryCluster
    controller: InMemoryController
    term: Term
    workers: list[WorkerEmulator]


class Successor(NamedTuple):
    """A controller that leads after a failover, and its term."""

    controller: InMemoryController
    term: Term


class PartlyUnreachableJob(NamedTuple):
    """A job on two machines, one of which has just become unreachable with some of its tasks."""

    cluster: InMemoryCluster
    controller: InMemoryController
    term: Term
    connected: WorkerEmulator
    cut_off: WorkerEmulator
    job_id: str
    cut_off_tasks: set[str]


class FinishedJob(NamedTuple):
    """A job whose only task was reported as exited, before the final record is committed."""

    cluster: InMemoryCluster
    controller: InMemoryController
    term: Term
    job_id: str


def start_cluster(machine_count: int = 2) -> LedCluster:
    """Start a leader and machines, and wait until the machines are ready."""
    cluster = InMemoryCluster()
    workers = [cluster.add_worker(f"n-{number:06d}") for number in range(machine_count)]
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    return LedCluster(cluster, controller, term, workers)


def start_partly_unreachable_job(tasks: int = 20) -> PartlyUnreachableJob:
    """Start an array on two machines, and make one of them unreachable."""
    cluster, controller, term, (connected, cut_off) = start_cluster()
    job_id = cluster.submit_job(controller, shards=tasks)
    cluster.run_rounds(term)
    cut_off_tasks = set(cut_off.running_tasks())
    assert cut_off_tasks and connected.running_tasks()
    cut_off.reachable = False
    return PartlyUnreachableJob(cluster, controller, term, connected, cut_off, job_id, cut_off_tasks)


def start_finished_job() -> FinishedJob:
    """Run a job with one task until just before its final record is committed."""
    cluster, controller, term, (worker,) = start_cluster(1)
    job_id = cluster.submit_job(controller)
    cluster.run_rounds(term)
    worker.finish_task(f"{job_id}/0")
    cluster.handle_heartbeat(term, worker)
    return FinishedJob(cluster, controller, term, job_id)


def fail_over(cluster: InMemoryCluster, name: str) -> Successor:
    """Let another controller lead after the leader lease of the first one has expired."""
    cluster.clock.now += AFTER_LEADER_LEASE_S
    controller = InMemoryController(cluster, name)
    return Successor(controller, controller.lead())


def polled_state(controller: InMemoryController, job_id: str) -> str:
    """Poll a job as its user does; return its state, or the status of an error response."""
    response = controller.job_api.poll(job_id)
    return str(json.loads(response.body)["tide"]) if response.status == 200 else str(response.status)
