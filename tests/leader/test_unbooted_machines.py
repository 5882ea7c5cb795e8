"""Rented machines that never send a heartbeat."""

from __future__ import annotations

from grebestand.simulation.single_controller_cluster import MACHINE_TYPES
from support.heartbeat_clusters import listed_machine, start_cluster


def test_machine_that_never_boots_is_replaced_once_elsewhere_and_given_up() -> None:
    """Guards against a machine that never boots counting as expected for four minutes, without a replacement."""
    cluster, controller, term = start_cluster(1, rules="keep_empty = 0\n")
    requests: list[dict[str, object]] = []

    def rented(names: list[str], wanted: dict[str, object]) -> None:
        requests.append(wanted)
        cluster.cloud.listed_machines += [listed_machine(name, 0.0, str(wanted["quay"])) for name in names]

    cluster.cloud.on_rented = rented
    cluster.submit_job(controller, shards=30, cpus=1.0)
    times = []
    for _ in range(170):
        cluster.run_rounds(term, 1)
        for entry in cluster.cloud.listed_machines:
            entry["heldS"] = float(entry["heldS"]) + 1.0
        before = len(requests)
        term.step_machines()
        times += [cluster.clock.now] * (len(requests) - before)
    boot = MACHINE_TYPES[0].boot_s
    assert times[1] - times[0] < 2.5 * boot  # late machines are replaced before they are given up
    assert len({wanted["quay"] for wanted in requests[:2]}) == 2
    first = next(iter(cluster.cloud.rentals.values()))
    assert set(first) <= set(cluster.cloud.deleted_machines)  # given-up machines are deleted, to stop paying for them
    assert len(requests) <= 6  # replacements do not multiply
