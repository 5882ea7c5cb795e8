"""Direct queries of unreconciled machines."""

from __future__ import annotations

from support.single_leader import fail_over, start_cluster


def test_queries_under_way_are_bounded() -> None:
    """Hundreds of connections in the first second of a term kept the workers' own reports waiting."""
    cluster, _controller, term, _workers = start_cluster(80)
    _successor, term = fail_over(cluster, "node-1")
    first = term.machine_reconciliation.select_machines_to_query(cluster.clock.now)
    assert 0 < len(first) < 80
    term.machine_reconciliation.queries_under_way = {machine.index for machine in first}
    assert not term.machine_reconciliation.select_machines_to_query(cluster.clock.now)
    term.machine_reconciliation.queries_under_way = set()
    for machine in first:
        term.machine_reconciliation.query(machine)
    second = term.machine_reconciliation.select_machines_to_query(cluster.clock.now)
    assert len(first) + len(second) == 80 and not {machine.index for machine in second} & {
        machine.index for machine in first
    }
