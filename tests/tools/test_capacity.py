"""docs/CAPACITY.md says what tools/capacity.py works out, and only of mechanisms that there are."""

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


def _tool() -> Any:
    spec = importlib.util.spec_from_file_location("capacity", ROOT / "tools" / "capacity.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["capacity"] = module  # dataclasses look themselves up there
    spec.loader.exec_module(module)
    return module


capacity = _tool()
TEXT = (ROOT / "tools" / "capacity.toml").read_text("utf-8")
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text("utf-8")


def test_the_page_holds() -> None:
    assert capacity.differences(PAGE, capacity.Model(TEXT)) == []


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
def test_a_changed_bound_is_found(old: str, new: str, blocks: set[str]) -> None:
    """Broken on purpose: each has to be seen in the blocks that rest on it."""
    text = TEXT.replace(old, new)
    assert text != TEXT
    assert blocks <= found_in(capacity.Model(text))


def found_in(m: Any) -> set[str]:
    return {w.split(":")[0] for w in capacity.differences(PAGE, m)}


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
def test_a_changed_slope_is_found(slope: str, blocks: set[str]) -> None:
    """The same, for a slope that is three times as steep."""
    m = capacity.Model(TEXT)
    steeper = [[3 * v for v in values] for values in m.slopes[slope].values]
    m.slopes[slope] = dataclasses.replace(m.slopes[slope], values=steeper)
    assert blocks | {"slopes"} <= found_in(m)


def test_a_figure_typed_into_the_page_is_found() -> None:
    before, mark, after = PAGE.partition("| sum | ")
    wrong = before + mark + "9" + after
    assert capacity.differences(wrong, capacity.Model(TEXT)) != []
    assert capacity.differences(PAGE.replace("<!-- capacity: failures -->", "<!-- -->"), capacity.Model(TEXT)) != []


def test_a_sum_is_that_of_its_parts() -> None:
    m = capacity.Model(TEXT)
    for found, bound in [(capacity.in_force(m), 5.0), *((c, 1.5) for _, c in capacity.urgent_cases(m))]:
        *rows, total = list(capacity.parts(found, bound))[2:]
        for i in (2, 3):
            told = float(total.split("|")[i].strip().strip("*"))
            assert told == pytest.approx(sum(float(r.split("|")[i]) for r in rows), abs=0.03)


def test_rows_name_what_is_there_or_say_open(monkeypatch: pytest.MonkeyPatch) -> None:
    row = capacity.Row("x", "s", lambda m, s: 1.0, ("nowhere/none.py",))
    monkeypatch.setitem(capacity.ROLES, "leader", [row])
    wrong = capacity.differences(PAGE, capacity.Model(TEXT))
    assert "leader: x: there is no nowhere/none.py" in wrong
    assert capacity.absent("not said") == ["not said"] and capacity.absent("open: not built") == []


def test_what_nobody_measured_stays_open() -> None:
    m = capacity.Model(TEXT)
    for name, slope in m.slopes.items():
        if slope.state == capacity.OPEN:
            with pytest.raises(capacity.OpenSlopeError):
                m.at(name)
    worked = [capacity.work_out(row, m) for rows in capacity.ROLES.values() for row in rows]
    assert all((w.state == capacity.OPEN) == (None in w.values) for w in worked)


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ({"state": "open"}, "x: open, with 3 sizes"),
        ({"values": [[1.0], [2.0]]}, "x: measured, with 3 sizes and 2 values"),
        ({"run": ""}, "x: state 'measured', run ''"),
        ({"state": "guessed"}, "x: state 'guessed'"),
        ({"linear": False}, "x: linear = False, but a line misses by 0%"),
        ({"values": [[1.0], [4.0], [9.0]]}, "x: linear = True, but"),
        ({"linear": None}, "x: whether it is linear"),
        ({"sizes": [1.0, 3.0, 2.0]}, "x: sizes in order"),
    ],
)
def test_slopes_hold_together(change: dict[str, Any], told: str) -> None:
    good = {
        "name": "x", "unit": "s", "per": "workers", "state": "measured", "run": "a run", "linear": True,
        "sizes": [1.0, 2.0, 3.0], "values": [[1.0], [2.0], [3.0]],
    }  # fmt: skip
    capacity.Slope(**good).check()
    with pytest.raises(capacity.SlopeError, match="^" + told.replace("(", r"\(")):
        capacity.Slope(**(good | change)).check()


def test_slopes_between_and_beyond_their_sizes() -> None:
    straight = capacity.Slope("x", "s", "n", "measured", "r", [0, 10, 20], [[1.0], [3.0], [5.0]], True)
    assert straight.at(15) == pytest.approx(4.0) and straight.beyond(21) and not straight.beyond(20)
    square = capacity.Slope("x", "s", "n", "measured", "r", [1, 2, 4], [[1.0], [4.0], [16.0]], False)
    assert square.at(3) == pytest.approx(9.0) and square.at(8) == pytest.approx(64.0)


def test_waits_for_reports_are_those_of_drawn_intervals() -> None:
    """The analytic distribution beside machines whose intervals are drawn."""
    rng, t, n, k = random.Random(1), 3.0, 8, 3
    waits = []
    for _ in range(4000):
        left = []
        for _ in range(n):
            # an interval is met with a chance that grows with its length
            while rng.random() * 1.25 * t > (interval := t * rng.uniform(0.75, 1.25)):
                pass
            left.append(rng.random() * interval)
        waits.append(sorted(left)[k - 1])
    for x in (0.5, 1.0, 1.5):
        share = sum(w <= x for w in waits) / len(waits)
        assert capacity.reported(x, k, n, t) == pytest.approx(share, abs=0.03)
    assert capacity.residual(3.75, t) == 1.0 and capacity.residual(0, t) == 0.0
    assert capacity.reported(1.5, 128, 128, t) < 1e-30 and math.isclose(capacity.held(0.0, 0.0, t), 0.0)
