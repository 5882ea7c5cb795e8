"""Evaluates expressions that `type_inference` has accepted."""

from __future__ import annotations

import ast
from collections.abc import Mapping

from .operations import COMPARISONS, FUNCTIONS


def evaluate(node: ast.expr, values: Mapping[str, float]) -> float:
    """Return the value of an expression; truth values are 0 and 1.

    Args:
        node: The expression, accepted by `infer_type`.
        values: Values of the variables, within the ranges that were given to `infer_type`.

    Returns:
        A finite or infinite number, or 0 or 1 for a truth value.
    """
    match node:
        case ast.Constant(value=value):
            return float(value)  # type: ignore[arg-type]
        case ast.Name(id=name):
            return values[name]
        case ast.UnaryOp(op=ast.USub(), operand=operand):
            return -evaluate(operand, values)
        case ast.UnaryOp(operand=operand):
            return float(not evaluate(operand, values))
        case ast.BinOp(left=left, op=op, right=right):
            return _calculate(op, evaluate(left, values), evaluate(right, values))
        case ast.BoolOp(op=op, values=operands):
            truths = [bool(evaluate(operand, values)) for operand in operands]
            return float(all(truths) if isinstance(op, ast.And) else any(truths))
        case ast.Compare():
            return _compare(node, values)
        case ast.IfExp(test=test, body=body, orelse=alternative):
            return evaluate(body if evaluate(test, values) else alternative, values)
        case ast.Call(func=ast.Name(id=name), args=arguments):
            return FUNCTIONS[name].compute(*[evaluate(argument, values) for argument in arguments])
    raise AssertionError(f"expected an expression accepted by infer_type, found {type(node).__name__}")


def _calculate(op: ast.operator, left: float, right: float) -> float:
    """Return the result of an arithmetic operation on two numbers."""
    if isinstance(op, ast.Add):
        return left + right
    if isinstance(op, ast.Sub):
        return left - right
    return left * right if isinstance(op, ast.Mult) else left / right


def _compare(node: ast.Compare, values: Mapping[str, float]) -> float:
    """Return 1 if every part of a chained comparison is true, else 0; parts after a false one are not evaluated."""
    left = evaluate(node.left, values)
    for comparison, comparator in zip(node.ops, node.comparators, strict=True):
        right = evaluate(comparator, values)
        if not COMPARISONS[type(comparison)](left, right):
            return 0.0
        left = right
    return 1.0
