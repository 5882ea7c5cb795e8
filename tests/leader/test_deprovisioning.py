"""The cloud's list, and the deletion of machines."""

from __future__ import annotations

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from support.single_leader import fail_over, start_partly_unreachable_job


def test_failed_and_overdue_machines_are_deleted() -> None:
    cluster = InMemoryCluster(rules="rent = false\n")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 1)
    row = {"addr": "x:1", "hull": "m4", "quay": "a", "driftwood": False}
    cluster.cloud.listed_machines = [
        {"ref": "n-000007", "tide": "starting", "heldS": 9999.0, **row},
        {"ref": "n-000008", "tide": "starting", "heldS": 10.0, **row},
        {"ref": "n-000009", "tide": "failed", "heldS": 10.0, **row},
    ]
    term.step_machines()
    assert sorted(cluster.cloud.deleted_machines) == ["n-000007", "n-000009"]


def test_unlisted_machine_is_reconciled_by_its_deletion() -> None:
    """A spot machine that the cloud reclaimed before a takeover must not delay other tasks for a whole lease."""
    cluster, _controller, _term, connected, cut_off, job_id, _cut_off_tasks = start_partly_unreachable_job()
    _successor, new_term = fail_over(cluster, "node-1")
    cluster.cloud.listed_machines = [
        {
            "ref": connected.name,
            "addr": "x:1",
            "hull": "m4",
            "quay": "a",
            "driftwood": False,
            "tide": "running",
            "heldS": 99.0,
        }
    ]
    for _ in range(3):
        cluster.run_rounds(new_term, 5)
        new_term.step_machines()
    assert cluster.cloud.deleted_machines == [cut_off.name]
    assert new_term.machine_reconciliation.all_reconciled and new_term.registry.jobs[job_id].startable_count() > 0
