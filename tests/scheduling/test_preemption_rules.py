"""What may be preempted, and for whom."""

from __future__ import annotations

from support.single_leader import start_cluster


def test_guarantee_does_not_preempt_higher_priority() -> None:
    """Guards against a gang and a guaranteed array that stopped each other in turns."""
    cluster, controller, term, (worker,) = start_cluster(1)
    gang = cluster.accept(controller, shape="ensemble", shards=1, cpus=15.0, rank="standard")
    cluster.settle(term, 3)
    low = cluster.accept(controller, crew="red", shards=4, cpus=1.0, rank="best_effort")
    cluster.settle(term, 12)
    assert term.registry.jobs[low].guaranteed and not term.registry.jobs[gang].guaranteed
    assert f"{gang}/0" in worker.running()
    assert len([s for s in worker.started if s[0] == f"{gang}/0"]) == 1


def test_preemption_stops_cheapest_sufficient_work() -> None:
    cluster, controller, term, (a, b) = start_cluster()
    long = cluster.accept(controller, shards=1, cpus=16.0, rank="best_effort")
    cluster.settle(term, 30)
    short = cluster.accept(controller, shards=1, cpus=16.0, rank="best_effort", driftwood=False)
    cluster.settle(term, 8)
    assert len(a.running()) == len(b.running()) == 1
    gang = cluster.accept(controller, shape="ensemble", shards=1, cpus=15.0, rank="high")
    cluster.settle(term, 6)
    running = a.running() + b.running()
    assert f"{gang}/0" in running and f"{long}/0" in running and f"{short}/0" not in running


def test_guarantee_reclaims_from_same_priority_only_after_delay() -> None:
    """Gangs within their guarantee stopped others' gangs at once, some nine times, often while they fetched."""
    cluster, controller, term, (worker,) = start_cluster(1)
    borrower = cluster.accept(controller, shape="ensemble", shards=1, cpus=15.0)
    cluster.settle(term, 3)
    owner = cluster.accept(controller, shape="ensemble", shards=1, cpus=8.0, crew="red")
    reclaim = term.scheduler.context.policy_values.reclaim_after_s
    assert reclaim > 3.0
    cluster.settle(term, 2)
    assert worker.running() == [f"{borrower}/0"]
    cluster.settle(term, 10)
    assert worker.running() == [f"{owner}/0"]
    assert term.registry.jobs[borrower].preemption_count == 1
