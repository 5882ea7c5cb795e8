"""Tests that docs/CAPACITY.md has the tables of tools/capacity.py, and that their rows name existing modules."""

from __future__ import annotations

import dataclasses
import importlib.util
import math
import random
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[2]


def _load_tool() -> Any:
    spec = importlib.util.spec_from_file_location("capacity", ROOT / "tools" / "capacity.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["capacity"] = module  # `dataclass` looks up the module of a class in `sys.modules`
    spec.loader.exec_module(module)
    return module


capacity = _load_tool()
TEXT = (ROOT / "tools" / "capacity.toml").read_text("utf-8")
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text("utf-8")


def test_page_has_the_computed_tables() -> None:
    assert capacity.differences(PAGE, capacity.CapacityModel(TEXT)) == []


@pytest.mark.parametrize(
    ("old", "new", "blocks"),
    [
        ("in_force_s = 5.0", "in_force_s = 4.0", {"in force", "misfits"}),
        ("link_slow_s = 1.0", "link_slow_s = 2.0", {"in force", "misfits"}),
        ("urgent_s = 1.5", "urgent_s = 1.4", {"urgent"}),
        ("report_s = 3.0", "report_s = 4.0", {"urgent", "sizes", "worker"}),
        ("teams = 710", "teams = 900", {"sizes", "link", "configuration"}),
        ("sockets = 1752", "sockets = 4752", {"leader", "relay", "misfits"}),
    ],
)
def test_changed_bound_changes_the_tables_that_use_it(old: str, new: str, blocks: set[str]) -> None:
    """Checks that a change of an input is detected in each table that depends on that input."""
    text = TEXT.replace(old, new)
    assert text != TEXT
    assert blocks <= differing_tables(capacity.CapacityModel(text))


def differing_tables(model: Any) -> set[str]:
    """Return the names of tables that differ between the page and a model."""
    return {difference.split(":")[0] for difference in capacity.differences(PAGE, model)}


@pytest.mark.parametrize(
    ("slope", "blocks"),
    [
        ("leader, processor", {"leader", "blocks", "against"}),
        ("leader, decisions and steps", {"leader", "blocks", "against"}),
        ("report with an end", {"leader", "blocks", "against"}),
        ("full pass", {"leader", "blocks"}),
        ("writes in all", {"state"}),
        ("check of settings", {"configuration", "in force"}),
        ("report body", {"leader", "relay", "worker"}),
        ("machine record", {"state"}),
        ("worker, processor", {"worker"}),
    ],
)
def test_changed_slope_changes_the_tables_that_use_it(slope: str, blocks: set[str]) -> None:
    """Checks that tripled values of a slope are detected in each table that depends on the slope."""
    m = capacity.CapacityModel(TEXT)
    steeper = [[3 * v for v in values] for values in m.slopes[slope].values]
    m.slopes[slope] = dataclasses.replace(m.slopes[slope], values=steeper)
    assert blocks | {"slopes"} <= differing_tables(m)


def test_value_edited_on_the_page_is_detected() -> None:
    before, mark, after = PAGE.partition("| sum | ")
    wrong = before + mark + "9" + after
    assert capacity.differences(wrong, capacity.CapacityModel(TEXT)) != []
    assert (
        capacity.differences(PAGE.replace("<!-- capacity: failures -->", "<!-- -->"), capacity.CapacityModel(TEXT))
        != []
    )


def test_sum_of_a_delay_is_that_of_its_parts() -> None:
    m = capacity.CapacityModel(TEXT)
    for found, bound in [(capacity.configuration_delays(m), 5.0), *((c, 1.5) for _, c in capacity.urgent_cases(m))]:
        *rows, total = list(capacity.delay_table(found, bound))[2:]
        for i in (2, 3):
            printed = float(total.split("|")[i].strip().strip("*"))
            assert printed == pytest.approx(sum(float(r.split("|")[i]) for r in rows), abs=0.03)


def test_rows_name_existing_modules_or_are_open(monkeypatch: pytest.MonkeyPatch) -> None:
    row = capacity.Row("x", "s", lambda m, s: 1.0, ("nowhere/none.py",))
    monkeypatch.setitem(capacity.ROLES, "leader", [row])
    wrong = capacity.differences(PAGE, capacity.CapacityModel(TEXT))
    assert "leader: x: there is no nowhere/none.py" in wrong
    assert capacity.missing_modules("not said") == ["not said"] and capacity.missing_modules("open: not built") == []


def test_values_without_a_measurement_are_open() -> None:
    m = capacity.CapacityModel(TEXT)
    for name, slope in m.slopes.items():
        if slope.state == capacity.OPEN:
            with pytest.raises(capacity.OpenSlopeError):
                m.at(name)
    worked = [capacity.work_out(row, m) for rows in capacity.ROLES.values() for row in rows]
    assert all((w.state == capacity.OPEN) == (None in w.values) for w in worked)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"state": "open"}, "x: open, with 3 sizes"),
        ({"values": [[1.0], [2.0]]}, "x: measured, with 3 sizes and 2 values"),
        ({"run": ""}, "x: expected state 'measured' or 'open' and a run, found state 'measured', run ''"),
        ({"state": "guessed"}, "x: expected state 'measured' or 'open' and a run, found state 'guessed'"),
        ({"linear": False}, "x: linear = False, but a line misses by 0%"),
        ({"values": [[1.0], [4.0], [9.0]]}, "x: linear = True, but"),
        ({"linear": None}, "x: expected `linear` exactly with three sizes or more, found linear = None"),
        ({"sizes": [1.0, 3.0, 2.0]}, "x: expected ascending sizes"),
    ],
)
def test_inconsistent_slope_is_rejected(change: dict[str, Any], message: str) -> None:
    good = {
        "name": "x", "unit": "s", "per": "workers", "state": "measured", "run": "a run", "linear": True,
        "sizes": [1.0, 2.0, 3.0], "values": [[1.0], [2.0], [3.0]],
    }  # fmt: skip
    capacity.Slope(**good).check()
    with pytest.raises(capacity.SlopeError, match="^" + message.replace("(", r"\(")):
        capacity.Slope(**(good | change)).check()


def test_slopes_are_interpolated_and_extrapolated() -> None:
    straight = capacity.Slope("x", "s", "n", "measured", "r", [0, 10, 20], [[1.0], [3.0], [5.0]], True)
    assert straight.at(15) == pytest.approx(4.0) and straight.beyond(21) and not straight.beyond(20)
    square = capacity.Slope("x", "s", "n", "measured", "r", [1, 2, 4], [[1.0], [4.0], [16.0]], False)
    assert square.at(3) == pytest.approx(9.0) and square.at(8) == pytest.approx(64.0)


def test_report_probabilities_agree_with_simulated_intervals() -> None:
    """Compares the analytic distribution with that of machines whose heartbeat intervals are drawn at random."""
    rng, t, n, k = random.Random(1), 3.0, 8, 3
    waits = []
    for _ in range(4000):
        left = []
        for _ in range(n):
            # A random time falls into an interval with a probability proportional to the length of the interval.
            while rng.random() * 1.25 * t > (interval := t * rng.uniform(0.75, 1.25)):
                pass
            left.append(rng.random() * interval)
        waits.append(sorted(left)[k - 1])
    for x in (0.5, 1.0, 1.5):
        share = sum(w <= x for w in waits) / len(waits)
        assert capacity.all_reported_probability(x, k, n, t) == pytest.approx(share, abs=0.03)
    assert capacity.report_probability(3.75, t) == 1.0 and capacity.report_probability(0, t) == 0.0
    assert capacity.all_reported_probability(1.5, 128, 128, t) < 1e-30 and math.isclose(
        capacity.held_response_probability(0.0, 0.0, t), 0.0
    )
