"""Durable records of machines."""

from __future__ import annotations

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController


def test_unrecorded_machine_gets_no_task() -> None:
    cluster = InMemoryCluster()
    worker = cluster.add_worker("n-000000")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.submit_job(controller)
    for _ in range(3):
        cluster.clock.now += 1
        cluster.handle_heartbeat(term, worker)
    assert not worker.started_attempts
    term.machine_records.record()
    assert "n-000000" in cluster.records("machines/")
    cluster.run_rounds(term, 2)
    assert worker.started_attempts
