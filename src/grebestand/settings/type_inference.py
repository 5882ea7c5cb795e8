"""Type checker of the expression language: infers the type of each subexpression, and the range of each number.

From the ranges of the variables, the checker detects a possible division by zero or call of a function outside its
domain before the expression is evaluated. It rejects such expressions.
"""

from __future__ import annotations

import ast
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NoReturn

from ..errors import GrebestandError
from .operations import COMPARISONS, FUNCTIONS, DomainError, Range

#: by name of each variable, the lowest and the highest value that the program guarantees
VariableRanges = Mapping[str, tuple[float, float]]


class InvalidExpressionError(GrebestandError):
    """An expression is outside the language, or its evaluation could fail.

    Attributes:
        problem: Text that says what is wrong with the expression.
        column: Column of the invalid part of the expression, counted from 1.
    """

    def __init__(self, problem: str, column: int = 1) -> None:
        self.problem = problem
        self.column = column
        super().__init__(problem)


@dataclass(frozen=True)
class InferredType:
    """The type of a subexpression.

    Attributes:
        boolean: Whether the value is a truth value rather than a number.
        range: Range of the number; unlimited for truth values.
    """

    boolean: bool
    range: Range


BOOLEAN = InferredType(True, Range())


def infer_type(node: ast.expr, variables: VariableRanges) -> InferredType:  # noqa: RET503 - `_refuse` never returns
    """Return the type of an expression.

    Args:
        node: The syntax tree of the expression.
        variables: Ranges of the variables that the expression may use.

    Raises:
        InvalidExpressionError: The expression is outside the language, or its evaluation could fail.
    """
    match node:
        case ast.Constant(value=bool()):
            return BOOLEAN
        case ast.Constant(value=int() | float()):
            return _constant_type(node)
        case ast.Name(id=name):
            return _name_type(node, name, variables)
        case ast.UnaryOp(op=ast.USub(), operand=operand):
            number = _number_range(operand, variables)
            return _number(-number.high, -number.low)
        case ast.UnaryOp(op=ast.Not(), operand=operand):
            _require_boolean(operand, variables)
            return BOOLEAN
        case ast.BinOp():
            return _arithmetic_type(node, variables)
        case ast.BoolOp(values=operands):
            for operand in operands:
                _require_boolean(operand, variables)
            return BOOLEAN
        case ast.Compare():
            return _comparison_type(node, variables)
        case ast.IfExp():
            return _conditional_type(node, variables)
        case ast.Call(func=ast.Name(id=name), args=arguments, keywords=[]):
            return _call_type(node, name, arguments, variables)
        case _:
            _refuse(node, f"{type(node).__name__} is not allowed here")


def _refuse(node: ast.AST, problem: str) -> NoReturn:
    """Raise `InvalidExpressionError` with the column of a subexpression."""
    raise InvalidExpressionError(problem, getattr(node, "col_offset", 0) + 1)


def _number(low: float, high: float) -> InferredType:
    """Return the type of a number between `low` and `high`."""
    return InferredType(False, Range.between(low, high))


def _number_range(node: ast.expr, variables: VariableRanges) -> Range:
    """Return the range of a subexpression that has to be a number."""
    inferred = infer_type(node, variables)
    if inferred.boolean:
        _refuse(node, "a number is needed here, not true or false")
    return inferred.range


def _require_boolean(node: ast.expr, variables: VariableRanges) -> None:
    """Check that a subexpression is a truth value."""
    if not infer_type(node, variables).boolean:
        _refuse(node, "true or false is needed here, not a number")


def _constant_type(node: ast.Constant) -> InferredType:
    """Return the type of a numeric literal."""
    value = float(node.value)  # type: ignore[arg-type]
    if not math.isfinite(value):
        _refuse(node, "not a finite number")
    return _number(value, value)


def _name_type(node: ast.Name, name: str, variables: VariableRanges) -> InferredType:
    """Return the type of a variable."""
    if name not in variables:
        _refuse(node, f"unknown name {name!r} (known: {', '.join(sorted(variables))})")
    return _number(*variables[name])


def _arithmetic_type(node: ast.BinOp, variables: VariableRanges) -> InferredType:
    """Return the type of an operation on two numbers."""
    left, right = _number_range(node.left, variables), _number_range(node.right, variables)
    match node.op:
        case ast.Add():
            return _number(left.low + right.low, left.high + right.high)
        case ast.Sub():
            return _number(left.low - right.high, left.high - right.low)
        case ast.Mult():
            return _product_type((left.low, left.high), (right.low, right.high))
        case ast.Div():
            if right.low <= 0 <= right.high:
                _refuse(node.right, "this division can fail: the divisor may be zero")
            return _product_type((left.low, left.high), (1 / right.low, 1 / right.high))
        case _:
            _refuse(node, f"operator {type(node.op).__name__} is not allowed")


def _product_type(left_ends: tuple[float, float], right_ends: tuple[float, float]) -> InferredType:
    """Return the type of the product of two numbers, given the ends of their ranges."""
    # float arithmetic yields NaN for 0 * inf; the product is 0, as a number in an unlimited range is still finite
    products = [0.0 if 0 in (left, right) else left * right for left in left_ends for right in right_ends]
    return _number(min(products), max(products))


def _comparison_type(node: ast.Compare, variables: VariableRanges) -> InferredType:
    """Return the type of a comparison, which may be chained."""
    for side in (node.left, *node.comparators):
        _number_range(side, variables)
    if any(type(comparison) not in COMPARISONS for comparison in node.ops):
        _refuse(node, "this comparison is not allowed")
    return BOOLEAN


def _conditional_type(node: ast.IfExp, variables: VariableRanges) -> InferredType:
    """Return the type of `a if condition else b`."""
    _require_boolean(node.test, variables)
    body, alternative = infer_type(node.body, variables), infer_type(node.orelse, variables)
    if body.boolean != alternative.boolean:
        _refuse(node, "both sides of 'if' must have the same type")
    low = min(body.range.low, alternative.range.low)
    high = max(body.range.high, alternative.range.high)
    return InferredType(body.boolean, Range(low, high))


def _call_type(node: ast.Call, name: str, arguments: list[ast.expr], variables: VariableRanges) -> InferredType:
    """Return the type of a function call."""
    function = FUNCTIONS.get(name)
    if function is None:
        _refuse(node, f"unknown function {name!r} (known: {', '.join(sorted(FUNCTIONS))})")
    if not function.min_arguments <= len(arguments) <= function.max_arguments:
        takes = f"{function.min_arguments} to {function.max_arguments}"
        _refuse(node, f"{name} takes {takes} arguments, not {len(arguments)}")
    ranges = [_number_range(argument, variables) for argument in arguments]
    try:
        return InferredType(False, function.result_range(ranges))
    except DomainError as error:
        _refuse(arguments[0], f"{name} can fail: {error.problem}")
