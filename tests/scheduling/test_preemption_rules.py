"""Which tasks may be preempted, and for which jobs."""

from __future__ import annotations

from support.single_leader import start_cluster


def test_guarantee_does_not_preempt_higher_priority() -> None:
    """Guards against a gang and a guaranteed array that repeatedly preempt each other."""
    cluster, controller, term, (worker,) = start_cluster(1)
    gang = cluster.accept(controller, shape="ensemble", shards=1, cpus=15.0, rank="standard")
    cluster.settle(term, 3)
    low = cluster.accept(controller, crew="red", shards=4, cpus=1.0, rank="best_effort")
    cluster.settle(term, 12)
    assert term.registry.jobs[low].within_guarantee and not term.registry.jobs[gang].within_guarantee
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
    """Guards against repeated preemption for guarantees.

    Without the delay, gangs within a guarantee stopped other gangs at once, some of them nine times, and often while
    the other gangs were still fetching images.
    """
    cluster, controller, term, (worker,) = start_cluster(1)
    borrower = cluster.accept(controller, shape="ensemble", shards=1, cpus=15.0)
    cluster.settle(term, 3)
    owner = cluster.accept(controller, shape="ensemble", shards=1, cpus=8.0, crew="red")
    reclaim_after_s = term.scheduler.context.policy_values.reclaim_after_s
    assert reclaim_after_s > 3.0
    cluster.settle(term, 2)
    assert worker.running() == [f"{borrower}/0"]
    cluster.settle(term, 10)
    assert worker.running() == [f"{owner}/0"]
    assert term.registry.jobs[borrower].preemption_count == 1
