"""Templates that are set after other work has run in between."""

from __future__ import annotations

import pytest

from support.scheduling_cluster import advance, finish, scheduling_cluster


def test_machine_filled_during_planning_keeps_its_template(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing is preempted for a template, so one made for an empty machine does not suit one that no longer is."""
    cluster = scheduling_cluster(1, monkeypatch)
    scheduler = cluster.term.scheduler
    first_id = cluster.world.accept(cluster.controller, shards=4, cpus=3.0, rank="best_effort")
    scheduler.update_targets(cluster.now)
    machine = cluster.machine(cluster.workers[0])
    template_before = machine.template
    cluster.world.accept(cluster.controller, shards=9, cpus=7.0)
    steps = scheduler.update_targets_steps(cluster.now)
    advance(steps, 3)  # the plan is made: a template with two slots of the second type
    for index in range(4):
        cluster.term.dispatch.start(cluster.job(first_id), index, machine, 9, cluster.now)
    cluster.begin_turn()
    finish(steps)
    assert machine.template == template_before != ()
