"""The operators' policy: which expressions are valid, and what they evaluate to."""

from __future__ import annotations

import pytest

from grebestand.settings import policy
from grebestand.settings.expressions import ExpressionError


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('g = "2 * ln(machinez)"', r"g: column 8: unknown name 'machinez'"),
        ('g = "2 * exp(machines)"', r"g: column 5: unknown function"),
        ('g = "machines / (zones - 1)"', r"g: column 13: this division can fail"),
        ('g = "ln(teams)"', r"g: column 4: ln can fail"),
        ('g = "sqrt(zones - 5)"', r"sqrt can fail"),
        ('g = "machines > 3"', r"g: column 1: type error"),
        ('migrate = "machines"', r"migrate: column 1: type error"),
        ('g = "1 + (machines > 3)"', r"a number is needed here"),
        ('g = "__import__(1)"', r"unknown function"),
        ('g = "(lambda: 3)()"', r"not allowed"),
        ('g = "machines.real"', r"Attribute is not allowed"),
        ('g = "2 ** 99"', r"Pow is not allowed"),
        ('g = "1 +"', r"not an expression"),
        ("g = [1]", r"must be a number"),
        ("frobnicate = 1", r"unknown setting"),
        ("period_s = 0", r"outside the allowed range"),
    ],
)
def test_fault_names_file_key_and_column(text: str, fault: str) -> None:
    with pytest.raises(ExpressionError, match=fault) as caught:
        policy.parse(text, "ops.toml", policy.default())
    assert str(caught.value).startswith("ops.toml: ")


def test_values_depend_on_variables_and_stay_in_range() -> None:
    expressions = policy.parse('g = "max(1, machines / 4) if machines > 10 else 1"', "x", policy.default())
    variables = {name: low for name, (low, _) in policy.VARIABLES.items()}
    assert expressions.value("g", {**variables, "machines": 40}) == 10
    assert expressions.value("g", {**variables, "machines": 8}) == 1
    assert expressions.value("hold_s", {**variables, "lease_s": 20}) == 12
    assert expressions.value("migrate", variables) in (0, 1)
