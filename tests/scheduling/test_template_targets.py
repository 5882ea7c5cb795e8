"""Templates that are set after other work has run between two slices of the computation."""

from __future__ import annotations

import pytest

from support.scheduling_cluster import advance, finish, scheduling_cluster


def test_machine_filled_during_planning_keeps_its_template(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a template that would require preemption.

    A template computed for an empty machine must not be set once the machine has received tasks.
    """
    cluster = scheduling_cluster(1, monkeypatch)
    scheduler = cluster.term.scheduler
    first_id = cluster.cluster.submit_job(cluster.controller, shards=4, cpus=3.0, rank="best_effort")
    scheduler.update_targets(cluster.now)
    machine = cluster.machine(cluster.workers[0])
    template_before = machine.slot_template
    cluster.cluster.submit_job(cluster.controller, shards=9, cpus=7.0)
    steps = scheduler.update_targets_steps(cluster.now)
    advance(steps, 3)  # the plan now contains a template with two slots of the second type
    for index in range(4):
        cluster.term.dispatch.start(cluster.job(first_id), index, machine, 9, cluster.now)
    cluster.begin_turn()
    finish(steps)
    assert machine.slot_template == template_before != ()
