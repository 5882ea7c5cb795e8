"""The pure functions of the greedy algorithms: the best configuration of a machine, GPA and CRA."""

from __future__ import annotations

from grebestand.cluster_state.resources import MICRO_UNITS
from grebestand.cluster_state.slots import Slot
from grebestand.scheduling.greedy import Pool, TemplateAssignment, cra, gpa, max_reward

CAPACITY = (16 * MICRO_UNITS, 0, 64 * MICRO_UNITS)
POOL = Pool(0, -1, False, CAPACITY)


def slot(cpus: float, payoff: float, **more: object) -> Slot:
    """Return a slot with as many gigabytes of memory as CPUs."""
    return Slot((int(cpus * MICRO_UNITS), 0, int(cpus * MICRO_UNITS)), payoff, **more)  # type: ignore[arg-type]


def test_best_configuration_packs_by_payoff_and_fills_up() -> None:
    slots = [slot(15, 4 * 15 / 16), slot(1, 1 / 16), slot(2, 2 / 16)]
    assert max_reward(slots, [0, 1, 2], CAPACITY) == (1, 1, 0)
    assert max_reward(slots, [2], CAPACITY) == (0, 0, 8)
    assert max_reward([slot(17, 9.0)], [0], CAPACITY) == (0,)


def test_best_configuration_may_do_without_the_highest_payoff() -> None:
    # the second and third types together have a higher reward than the type with the highest payoff
    assert max_reward([slot(10, 10.0), slot(9, 8.0), slot(7, 6.0)], [0, 1, 2], CAPACITY) == (0, 1, 1)


def test_gpa_gives_machines_until_a_type_is_satisfied() -> None:
    slots = [slot(15, 4.0), slot(1, 1 / 16)]
    plan = gpa(slots, [3.0, 40.0], [POOL], [10])
    # three machines for the large type, each with one small slot as well, and then the remaining small slots
    assert [(share.config, share.count) for share in plan] == [((1, 1), 3), ((0, 16), 3)]


def test_gpa_gives_all_machines_to_a_type_that_needs_them() -> None:
    slots = [slot(15, 4.0), slot(1, 1 / 16)]
    plan = gpa(slots, [30.0, 40.0], [POOL], [10])
    assert [(share.config, share.count) for share in plan] == [((1, 1), 10)]


def test_gpa_keeps_spot_machines_for_types_that_may_use_them() -> None:
    slots = [slot(15, 4.0, spot=False), slot(1, 1 / 16)]
    pools = [POOL, Pool(0, -1, True, CAPACITY)]
    plan = gpa(slots, [5.0, 20.0], pools, [2, 2])
    assert {(share.pool, share.config) for share in plan} == {(0, (1, 1)), (1, (0, 16))}


def test_cra_reconfigures_only_empty_machines_and_names_the_reject_group() -> None:
    old, new = (0, 16), (1, 1)
    plan = gpa([slot(15, 4.0), slot(1, 1 / 16)], [3.0, 3.0], [POOL], [4])
    assert [(share.config, share.count) for share in plan] == [(new, 3)]
    assignments = [
        TemplateAssignment(0, old, False, machine_index=0),
        TemplateAssignment(0, old, False, machine_index=1),
        TemplateAssignment(0, old, True, machine_index=2),
        TemplateAssignment(0, new, False, machine_index=3),
    ]
    first_short = cra(assignments, plan)
    assert first_short == 1  # two of three machines have the configuration; machines with tasks cannot be reconfigured
    assert [assignment.config for assignment in assignments] == [old, old, new, new]
    assert [assignment.in_accept_group for assignment in assignments] == [False, False, True, True]
    assert [assignment.changed for assignment in assignments] == [False, False, True, False]


def test_cra_puts_machines_beyond_the_greedy_count_into_the_reject_group() -> None:
    config = (16,)
    plan = gpa([slot(1, 1.0)], [20.0], [POOL], [4])
    assignments = [TemplateAssignment(0, config, False, machine_index=i) for i in range(4)]
    cra(assignments, plan)
    assert [assignment.in_accept_group for assignment in assignments] == [True, True, False, False]
