"""How a leader ends cancelled tasks."""

from __future__ import annotations

import json

import pytest

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.workers import TaskPhase, TaskStatus


def test_answer_to_older_token_stops_completed_task() -> None:
    """Guards against renewing the lease of a cancelled task without stopping the task, once by each new leader."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    worker = cluster.add_worker("n-1")
    worker.token = 3
    worker.tasks["j-000007/0"] = TaskStatus("j-000007/0", 5, TaskPhase.RUNNING)
    response = term.handle_heartbeat(worker.next_heartbeat())
    assert response is not None and [(c.op, c.task) for c in response.commands] == [("stop", "j-000007/0")]


@pytest.mark.parametrize("state", [TaskPhase.FETCHING, TaskPhase.WAITING, TaskPhase.RUNNING, TaskPhase.SAVING])
def test_cancelled_task_is_ended_in_every_phase(state: TaskPhase) -> None:
    """The machine of a job cancelled through another controller is answered up to the horizon, then stopped first."""
    cluster = InMemoryCluster()
    controller, other = InMemoryController(cluster, "node-0"), InMemoryController(cluster, "node-1")
    worker = cluster.add_worker("n-000000")
    term = controller.lead()
    controller.election.cancellation_horizon.max_age_s = 29.0
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(controller, shape="ensemble", shards=2, stowS=4.0, markS=5.0)
    cluster.run_rounds(term, 3)
    for task in worker.running_tasks():
        worker.tasks[task].state = state
    cluster.handle_heartbeat(term, worker)
    assert json.loads(other.job_api.cancel(job_id).body)["tide"] == "cancelled"
    cluster.clock.now += 28.0
    controller.election.authority_until = cluster.clock.now + 10.0  # renewed, without any read
    assert cluster.handle_heartbeat(term, worker) is not None and len(worker.running_tasks()) == 2
    cluster.clock.now += 2.0
    assert cluster.handle_heartbeat(term, worker) is None
    term.job_watch.catch_up()
    # a response would renew the worker's lease for too long if the worker did not execute the stop
    assert cluster.handle_heartbeat(term, worker) is None
    (machine,) = term.inventory.machines
    term.machine_reconciliation.send_stops(machine)
    assert cluster.handle_heartbeat(term, worker) is not None
    assert not worker.running_tasks() and job_id not in term.registry.jobs
