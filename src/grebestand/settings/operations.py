"""The functions and comparisons of the expression language, with the range of the result of each function."""

from __future__ import annotations

import ast
import math
import operator
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from ..errors import GrebestandError

#: largest number of arguments of a variadic function
MAX_ARGUMENTS = 8


@dataclass(frozen=True)
class Range:
    """The closed interval that a number is guaranteed to lie in."""

    low: float = -math.inf
    high: float = math.inf

    @staticmethod
    def between(low: float, high: float) -> Range:
        """Return the range from `low` to `high`; an end that is NaN counts as infinite."""
        return Range(-math.inf if math.isnan(low) else low, math.inf if math.isnan(high) else high)


class DomainError(GrebestandError):
    """A function could be called with an argument outside its domain.

    Attributes:
        problem: Text that says which invalid value the argument may have.
    """

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(problem)


@dataclass(frozen=True)
class Function:
    """A function of the expression language.

    Attributes:
        compute: Returns the value of the function for its arguments.
        result_range: Returns the range of the result for given ranges of the arguments; raises `DomainError` if the
            function is not defined in all of these ranges.
        min_arguments: Smallest number of arguments.
        max_arguments: Largest number of arguments.
    """

    compute: Callable[..., float]
    result_range: Callable[[Sequence[Range]], Range]
    min_arguments: int = 1
    max_arguments: int = 1


def _logarithm(compute: Callable[[float], float]) -> Function:
    """Return the language's function for a logarithm."""

    def result_range(arguments: Sequence[Range]) -> Range:
        argument = arguments[0]
        if argument.low <= 0:
            raise DomainError("its argument may be zero or negative")
        return Range.between(compute(argument.low), compute(argument.high) if argument.high < math.inf else math.inf)

    return Function(compute, result_range)


def _rounding(compute: Callable[[float], float]) -> Function:
    """Return the language's function for a rounding operation."""

    def result_range(arguments: Sequence[Range]) -> Range:
        argument = arguments[0]
        if not (math.isfinite(argument.low) and math.isfinite(argument.high)):
            raise DomainError("its argument may be infinite")
        return Range.between(compute(argument.low), compute(argument.high))

    return Function(compute, result_range)


def _selection(compute: Callable[..., float]) -> Function:
    """Return the language's function for the minimum or maximum of several numbers."""

    def result_range(arguments: Sequence[Range]) -> Range:
        return Range.between(
            compute(argument.low for argument in arguments), compute(argument.high for argument in arguments)
        )

    return Function(compute, result_range, min_arguments=2, max_arguments=MAX_ARGUMENTS)


def _square_root_range(arguments: Sequence[Range]) -> Range:
    """Return the range of the square root of an argument."""
    argument = arguments[0]
    if argument.low < 0:
        raise DomainError("its argument may be negative")
    return Range.between(math.sqrt(argument.low), math.sqrt(argument.high))


def _absolute_range(arguments: Sequence[Range]) -> Range:
    """Return the range of the absolute value of an argument."""
    argument = arguments[0]
    ends = abs(argument.low), abs(argument.high)
    return Range.between(0.0 if argument.low <= 0 <= argument.high else min(ends), max(ends))


def _ceil(number: float) -> float:
    """Return the smallest integer that is at least `number`, as a float."""
    return float(math.ceil(number))


def _floor(number: float) -> float:
    """Return the largest integer that is at most `number`, as a float."""
    return float(math.floor(number))


#: by name, all functions of the expression language
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

#: by syntax node, all comparisons of the expression language
COMPARISONS: Mapping[type[ast.cmpop], Callable[[float, float], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}
