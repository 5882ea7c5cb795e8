"""The functions and comparisons of the expression language: how to compute each, and the range of its result."""

from __future__ import annotations

import ast
import math
import operator
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from ..errors import GrebestandError

#: limit on the arguments of a function that takes any number of them
MAX_ARGUMENTS = 8


@dataclass(frozen=True)
class Range:
    """The closed interval that a number is guaranteed to be in."""

    low: float = -math.inf
    high: float = math.inf

    @staticmethod
    def between(low: float, high: float) -> Range:
        """Return the range with these ends; an undefined end (NaN) counts as infinite."""
        return Range(-math.inf if math.isnan(low) else low, math.inf if math.isnan(high) else high)


class DomainError(GrebestandError):
    """A function could be called with an argument for which it is not defined.

    Attributes:
        problem: What the argument may be, as text.
    """

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(problem)


@dataclass(frozen=True)
class Function:
    """A function of the language.

    Attributes:
        compute: Computes the function.
        result_range: Returns the range of the result from those of the arguments, or raises `DomainError`.
        min_arguments: Smallest number of arguments.
        max_arguments: Largest number of arguments.
    """

    compute: Callable[..., float]
    result_range: Callable[[Sequence[Range]], Range]
    min_arguments: int = 1
    max_arguments: int = 1


def _logarithm(compute: Callable[[float], float]) -> Function:
    """Return a logarithm."""

    def result_range(arguments: Sequence[Range]) -> Range:
        argument = arguments[0]
        if argument.low <= 0:
            raise DomainError("its argument may be zero or negative")
        return Range.between(compute(argument.low), compute(argument.high) if argument.high < math.inf else math.inf)

    return Function(compute, result_range)


def _rounding(compute: Callable[[float], float]) -> Function:
    """Return a function that rounds."""

    def result_range(arguments: Sequence[Range]) -> Range:
        argument = arguments[0]
        if not (math.isfinite(argument.low) and math.isfinite(argument.high)):
            raise DomainError("its argument may be infinite")
        return Range.between(compute(argument.low), compute(argument.high))

    return Function(compute, result_range)


def _selection(compute: Callable[..., float]) -> Function:
    """Return a function that selects one of its arguments by size."""

    def result_range(arguments: Sequence[Range]) -> Range:
        return Range.between(compute(a.low for a in arguments), compute(a.high for a in arguments))

    return Function(compute, result_range, min_arguments=2, max_arguments=MAX_ARGUMENTS)


def _square_root_range(arguments: Sequence[Range]) -> Range:
    """Return the range of a square root."""
    argument = arguments[0]
    if argument.low < 0:
        raise DomainError("its argument may be negative")
    return Range.between(math.sqrt(argument.low), math.sqrt(argument.high))


def _absolute_range(arguments: Sequence[Range]) -> Range:
    """Return the range of an absolute value."""
    argument = arguments[0]
    ends = abs(argument.low), abs(argument.high)
    return Range.between(0.0 if argument.low <= 0 <= argument.high else min(ends), max(ends))


def _ceil(number: float) -> float:
    """Return the smallest whole number that is not smaller, as a float."""
    return float(math.ceil(number))


def _floor(number: float) -> float:
    """Return the largest whole number that is not larger, as a float."""
    return float(math.floor(number))


FUNCTIONS: Mapping[str, Function] = {
    "ln": _logarithm(math.log),
    "log2": _logarithm(math.log2),
    "sqrt": Function(math.sqrt, _square_root_range),
    "abs": Function(abs, _absolute_range),
    "ceil": _rounding(_ceil),
    "floor": _rounding(_floor),
    "min": _selection(min),
    "max": _selection(max),
}

COMPARISONS: Mapping[type[ast.cmpop], Callable[[float, float], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}
