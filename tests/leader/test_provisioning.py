"""Rental requests."""

from __future__ import annotations

import pytest

from grebestand.flow_control.rate_limiter import Urgency
from grebestand.leader.provisioning import PoolKey
from grebestand.simulation.single_controller_cluster import MACHINE_TYPES, SETTINGS, InMemoryCluster, InMemoryController
from grebestand.wire.store import Change, Condition
from support.single_leader import fail_over


def test_rental_is_recorded_before_request_and_settled_by_successor() -> None:
    cluster = InMemoryCluster(rules="rent = true\n")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.submit_job(controller, shards=20)
    term.scheduling_loop.step(cluster.clock.now)
    cluster.cloud.responses_to_drop = 1
    with pytest.raises(Exception, match="lost"):
        term.step_machines()
    assert len([k for k in cluster.store.data if k.startswith("rent/")]) == 1
    (name,) = cluster.cloud.rentals
    _successor, new_term = fail_over(cluster, "node-1")
    assert name in new_term.provisioning.unsettled
    new_term.step_machines()
    assert set(new_term.provisioning.expected) >= set(cluster.cloud.rentals[name])
    new_term.provisioning.delete_settled_records()
    assert f"rent/{name}" not in cluster.store.data


def test_whole_shortage_is_requested_in_one_step() -> None:
    """Guards against one rental request per step: requesting half of the machines of a cluster took 20 s."""
    cluster = InMemoryCluster(SETTINGS.replace("cpus_max = 64.0", "cpus_max = 6400.0"), rules="rent = true\n")
    cluster.add_worker("n-000000")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    term.inventory.set_machine_types(MACHINE_TYPES)
    cluster.run_rounds(term, 2)
    cluster.submit_job(controller, shards=240, cpus=4.0, ramGb=1.0)
    cluster.cloud.free_capacity = 12
    cluster.clock.now += 6.0
    term.scheduling_loop.step(cluster.clock.now)
    lack = max(s.count for s in term.scheduler.scale_out.shortages)
    assert lack > 40
    term.step_machines()
    # zone a provided fewer machines than requested; zone b and spot machines were requested in the same step
    assert len(term.provisioning.expected) == 12
    assert term.provisioning.request_count == 4 and set(term.provisioning.refused_until) == {
        PoolKey(0, zone, spot) for zone in (0, 1) for spot in (False, True)
    }


def test_rental_records_are_more_urgent_than_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against writes of grants delaying the records of rentals in a burst, which rented machines 40 s late."""
    cluster = InMemoryCluster(rules="rent = true\n")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    urgencies: dict[str, Urgency] = {}
    commit = term.writer.store.commit

    def watched(
        conditions: list[Condition], changes: list[Change], urgency: Urgency, timeout: float = 1.5
    ) -> tuple[int, list[str]]:
        for change in changes:
            urgencies.setdefault(str(change.put or change.delete).split("/")[0], urgency)
        return commit(conditions, changes, urgency, timeout)

    monkeypatch.setattr(term.writer.store, "commit", watched)
    term.inventory.set_machine_types(MACHINE_TYPES)
    cluster.submit_job(controller, shards=200)
    cluster.clock.now += 10.0
    term.scheduling_loop.step(cluster.clock.now)
    term.step_machines()
    assert cluster.cloud.rentals
    cluster.add_worker("n-000100")
    cluster.run_rounds(term, 4)
    assert urgencies["rent"] < urgencies["grants"]
