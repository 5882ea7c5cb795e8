"""Classification and Reassignment (CRA), compared with a direct implementation of the paper's algorithm."""

from __future__ import annotations

import dataclasses
import random

from grebestand.scheduling.greedy import PlanEntry, TemplateAssignment, cra


def reference_cra(assignments: list[TemplateAssignment], plan: list[PlanEntry]) -> int:
    """Run Algorithm 2 in its simplest form, which examines every machine for every entry of the plan."""
    worst_rank = first_short = len(plan) + 1
    for assignment in assignments:
        assignment.rank = worst_rank
    for rank, demand in enumerate(plan, start=1):
        configured = [
            a for a in assignments if a.pool == demand.pool and a.rank == worst_rank and a.config == demand.config
        ]
        for assignment in configured[: demand.count]:
            assignment.rank = rank
        missing = max(0, demand.count - len(configured))
        wanted_later = {later.config for later in plan[rank:] if later.pool == demand.pool}
        convertible = [
            a
            for a in assignments
            if a.pool == demand.pool and a.rank == worst_rank and a.can_take_config(demand.config)
        ]
        convertible.sort(key=lambda a: (not a.empty, a.config in wanted_later))
        for assignment in convertible[:missing]:
            assignment.rank, assignment.config = rank, demand.config
        if missing > len(convertible):
            first_short = min(first_short, rank)
    return first_short


def random_assignments(rng: random.Random, configs: list[tuple[int, int]]) -> list[TemplateAssignment]:
    assignments = []
    for machine_index in range(12):
        empty = rng.random() < 0.5
        holds = () if empty else rng.choice([(), (1, 0), (0, 1), (1, 1)])
        assignments.append(
            TemplateAssignment(rng.randrange(2), rng.choice(configs), empty, holds, machine_index=machine_index)
        )
    assignments.sort(key=lambda a: (a.empty, a.machine_index))
    return assignments


def test_cra_by_groups_takes_same_machines_as_reference() -> None:
    """CRA groups machines by configuration for speed, which must not change the result."""
    rng = random.Random(5)
    for _ in range(200):
        configs = [(rng.randrange(3), rng.randrange(3)) for _ in range(4)]
        assignments = random_assignments(rng, configs)
        plan = [PlanEntry(rng.randrange(2), rng.choice(configs), rng.randrange(1, 6)) for _ in range(4)]
        reference = [dataclasses.replace(a) for a in assignments]
        assert cra(assignments, plan) == reference_cra(reference, plan)
        assert [(a.config, a.rank) for a in assignments] == [(a.config, a.rank) for a in reference]
