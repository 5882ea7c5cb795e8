"""The results that placement and preemption cache between passes stay valid."""

from __future__ import annotations

import random

from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.workers import ExitReason

#: Minimum number of comparisons for the test to be meaningful.
MIN_COMPARISONS = 500


def compare_allowances(term: Term) -> int:
    """Compare each valid cached allowance with a newly computed one, and return the number of comparisons."""
    placement = term.scheduler.placement
    compared = 0
    for (task_type, aged), allowances in placement._allowances.items():
        rank = term.registry.task_types[task_type].priority_rank
        for index, (change_count, allowance) in allowances.items():
            machine = term.inventory.find_by_index(index)
            if machine is not None and machine.change_count == change_count:
                compared += 1
                assert placement._allowance(task_type, rank, aged, machine) == allowance
    return compared


def compare_victims(term: Term) -> int:
    """Compare each valid cached list of victims with the machine's tasks, and return the number of comparisons."""
    compared = 0
    for index, (change_count, victims) in term.scheduler.preemption._victims_by_machine.items():
        machine = term.inventory.find_by_index(index)
        if machine is not None and machine.change_count == change_count:
            compared += 1
            stoppable = {name for name, allocation in machine.allocations.items() if allocation.stop_reason is None}
            assert {allocation.name for _, allocation in victims} == stoppable
            assert [lost_work for lost_work, _ in victims] == sorted(lost_work for lost_work, _ in victims)
    return compared


def test_cached_findings_equal_fresh_ones() -> None:
    """Guards against a change to a machine that does not raise its change count.

    Cached allowances and victims are valid for one change count. After a change that is not counted, tasks would start
    where the template has no slot, or the wrong tasks would be preempted.
    """
    rng = random.Random(5)
    cluster = InMemoryCluster(rules="rent = false\ntype_bound = 6\n")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    for i in range(12):
        cluster.add_worker(f"n-{i:06d}", zone="ab"[i % 2])
    cluster.run_rounds(term, 3)
    compared = 0
    for _ in range(120):
        shape = rng.choice(["array", "array", "ensemble"])
        cluster.submit_job(
            controller, shape=shape, crew=rng.choice(["red", "blue"]),
            rank=rng.choice(["high", "standard", "best_effort"]), pullGb=0.5,
            shards=rng.randint(1, 12 if shape == "array" else 2), cpus=rng.choice([1.0, 2.0, 7.0]),
        )  # fmt: skip
        for worker in cluster.workers.values():
            worker.reachable = rng.random() < 0.95
            for task in worker.running_tasks():
                if rng.random() < 0.1:
                    worker.finish_task(task, ExitReason.ERROR if rng.random() < 0.02 else ExitReason.DONE)
        cluster.run_rounds(term, 2)
        now = cluster.clock.now
        term.scheduler.update_targets(now) if rng.random() < 0.2 else term.scheduler.place(now)
        compared += compare_allowances(term) + compare_victims(term)
    assert compared > MIN_COMPARISONS
