"""Which tasks may be preempted, and for which jobs."""

from __future__ import annotations

from support.single_leader import start_cluster


def test_guarantee_does_not_preempt_higher_priority() -> None:
    """Guards against a gang and a guaranteed array that repeatedly preempt each other."""
    cluster, controller, term, (worker,) = start_cluster(1)
    gang = cluster.submit_job(controller, shape="ensemble", shards=1, cpus=15.0, rank="standard")
    cluster.run_rounds(term, 3)
    low = cluster.submit_job(controller, crew="red", shards=4, cpus=1.0, rank="best_effort")
    cluster.run_rounds(term, 12)
    assert term.registry.jobs[low].within_guarantee and not term.registry.jobs[gang].within_guarantee
    assert f"{gang}/0" in worker.running_tasks()
    assert len([s for s in worker.started_attempts if s[0] == f"{gang}/0"]) == 1


def test_preemption_stops_cheapest_sufficient_work() -> None:
    cluster, controller, term, (a, b) = start_cluster()
    long = cluster.submit_job(controller, shards=1, cpus=16.0, rank="best_effort")
    cluster.run_rounds(term, 30)
    short = cluster.submit_job(controller, shards=1, cpus=16.0, rank="best_effort", driftwood=False)
    cluster.run_rounds(term, 8)
    assert len(a.running_tasks()) == len(b.running_tasks()) == 1
    gang = cluster.submit_job(controller, shape="ensemble", shards=1, cpus=15.0, rank="high")
    cluster.run_rounds(term, 6)
    running = a.running_tasks() + b.running_tasks()
    assert f"{gang}/0" in running and f"{long}/0" in running and f"{short}/0" not in running


def test_guarantee_reclaims_from_same_priority_only_after_delay() -> None:
    """Guards against repeated preemption for guarantees.

    Without the delay, gangs within a guarantee stopped other gangs at once, some of them nine times, and often while
    the other gangs were still fetching images.
    """
    cluster, controller, term, (worker,) = start_cluster(1)
    borrower = cluster.submit_job(controller, shape="ensemble", shards=1, cpus=15.0)
    cluster.run_rounds(term, 3)
    owner = cluster.submit_job(controller, shape="ensemble", shards=1, cpus=8.0, crew="red")
    reclaim_after_s = term.scheduler.context.policy_values.reclaim_after_s
    assert reclaim_after_s > 3.0
    cluster.run_rounds(term, 2)
    assert worker.running_tasks() == [f"{borrower}/0"]
    cluster.run_rounds(term, 10)
    assert worker.running_tasks() == [f"{owner}/0"]
    assert term.registry.jobs[borrower].preemption_count == 1
