"""Team limits, zones and spot machines."""

from __future__ import annotations

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from support.single_leader import start_cluster


def test_team_at_its_limit_waits_though_machines_are_free() -> None:
    cluster, controller, term, workers = start_cluster(3)
    job_id = cluster.submit_job(controller, crew="red", shards=40, cpus=1.0, ramGb=0.5)
    cluster.run_rounds(term, 8)
    job = term.registry.jobs[job_id]
    assert sum(len(worker.running_tasks()) for worker in workers) == 16
    assert job.waiting_count() == 24


def test_spread_and_single_zone_rules_are_kept() -> None:
    cluster = InMemoryCluster()
    for i in range(4):
        cluster.add_worker(f"n-{i:06d}", zone="ab"[i % 2])
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    spread = cluster.submit_job(controller, shape="ensemble", shards=3, cpus=4.0, scatter=True)
    together = cluster.submit_job(controller, shape="ensemble", shards=2, cpus=10.0, samePlace=True)
    cluster.run_rounds(term, 6)

    def zones(job_id: str) -> list[int]:
        found = []
        for allocation in term.registry.jobs[job_id].allocations.values():
            machine = term.inventory.find_by_index(allocation.machine_index)
            assert machine is not None
            found.append(machine.zone_index)
        return found

    assert sorted(zones(spread).count(z) for z in set(zones(spread))) == [1, 2]
    assert len(zones(together)) == 2 and len(set(zones(together))) == 1


def test_spot_notice_empties_machine_in_time() -> None:
    cluster = InMemoryCluster()
    spot_worker = cluster.add_worker("n-000000", spot=True)
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    job_id = cluster.submit_job(controller, markS=10.0, stowS=4.0, reckonS=500.0)
    cluster.run_rounds(term, 3)
    assert spot_worker.running_tasks()
    on_demand_worker = cluster.add_worker("n-000001")
    spot_worker.notice_s = 15.0
    cluster.run_rounds(term, 6)
    assert not spot_worker.running_tasks()
    assert on_demand_worker.running_tasks() == [f"{job_id}/0"]
