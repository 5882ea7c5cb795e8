"""The operators' expression language and its checker.

A settings file of the operators is TOML whose values are numbers, booleans or expressions in a string. An expression
is a subset of Python's syntax, parsed with the standard library's `ast` and never handed to `eval`. The checker
infers a type and a range for every part, so that an expression that could divide by zero or take the logarithm of
nothing is refused at start rather than at night. Which keys and names there are is up to each file's `Vocabulary`.
"""

from __future__ import annotations

import ast
import math
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass

INF = math.inf
#: names with their ranges
Names = Mapping[str, tuple[float, float]]


@dataclass(frozen=True)
class Rule:
    """What a key of the policy may be."""

    low: float
    high: float
    boolean: bool = False


@dataclass(frozen=True)
class Fault:
    """One thing wrong with a policy file."""

    file: str
    key: str
    column: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: column {self.column}: {self.text}"


class ExpressionError(ValueError):
    """What is wrong with a file: every fault found, one line each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(f) for f in faults))
        self.faults = faults


@dataclass(frozen=True)
class Vocabulary:
    """The keys that a file may set, and the names its expressions may use with the range guaranteed for each."""

    keys: Mapping[str, Rule]
    names: Mapping[str, tuple[float, float]]


class _Refused(Exception):
    def __init__(self, node: ast.AST, text: str) -> None:
        super().__init__(text)
        self.column = getattr(node, "col_offset", 0) + 1
        self.text = text


@dataclass(frozen=True)
class _Shape:
    """Inferred type and, for numbers, the range the value is sure to be in."""

    boolean: bool
    low: float = -INF
    high: float = INF


def _number(low: float, high: float) -> _Shape:
    return _Shape(False, -INF if math.isnan(low) else low, INF if math.isnan(high) else high)


_FUNCTIONS: dict[str, tuple[int, int]] = {
    "ln": (1, 1),
    "log2": (1, 1),
    "sqrt": (1, 1),
    "abs": (1, 1),
    "ceil": (1, 1),
    "floor": (1, 1),
    "min": (2, 8),
    "max": (2, 8),
}


_CALLS: dict[str, Callable[..., float]] = {
    "ln": math.log,
    "log2": math.log2,
    "sqrt": math.sqrt,
    "abs": abs,
    "ceil": lambda x: float(math.ceil(x)),
    "floor": lambda x: float(math.floor(x)),
    "min": min,
    "max": max,
}


def _product(a: float, b: float) -> float:
    return 0.0 if a == 0 or b == 0 else a * b


def _infer(node: ast.expr, names: Names) -> _Shape:
    match node:
        case ast.Constant(value=bool()):
            return _Shape(True)
        case ast.Constant(value=int() | float()):
            value = float(node.value)  # type: ignore[arg-type]
            if not math.isfinite(value):
                raise _Refused(node, "not a finite number")
            return _number(value, value)
        case ast.Name(id=name):
            if name not in names:
                raise _Refused(node, f"unknown name {name!r} (known: {', '.join(sorted(names))})")
            return _number(*names[name])
        case ast.UnaryOp(op=ast.USub(), operand=operand):
            inner = _want_number(operand, names)
            return _number(-inner.high, -inner.low)
        case ast.UnaryOp(op=ast.Not(), operand=operand):
            _want_boolean(operand, names)
            return _Shape(True)
        case ast.BinOp(left=left, op=op, right=right):
            return _infer_binary(node, _want_number(left, names), op, _want_number(right, names), right)
        case ast.BoolOp(values=values):
            for part in values:
                _want_boolean(part, names)
            return _Shape(True)
        case ast.Compare(left=left, ops=ops, comparators=others):
            for side in (left, *others):
                _want_number(side, names)
            for compare in ops:
                if not isinstance(compare, ast.Lt | ast.LtE | ast.Gt | ast.GtE | ast.Eq | ast.NotEq):
                    raise _Refused(node, "this comparison is not allowed")
            return _Shape(True)
        case ast.IfExp(test=test, body=body, orelse=orelse):
            _want_boolean(test, names)
            a, b = _infer(body, names), _infer(orelse, names)
            if a.boolean != b.boolean:
                raise _Refused(node, "both sides of 'if' must have the same type")
            return _Shape(a.boolean, min(a.low, b.low), max(a.high, b.high))
        case ast.Call(func=ast.Name(id=name), args=args, keywords=[]):
            return _infer_call(node, name, args, names)
        case _:
            raise _Refused(node, f"{type(node).__name__} is not allowed here")


def _infer_binary(node: ast.expr, a: _Shape, op: ast.operator, b: _Shape, right: ast.expr) -> _Shape:
    match op:
        case ast.Add():
            return _number(a.low + b.low, a.high + b.high)
        case ast.Sub():
            return _number(a.low - b.high, a.high - b.low)
        case ast.Mult():
            ends = [_product(x, y) for x in (a.low, a.high) for y in (b.low, b.high)]
            return _number(min(ends), max(ends))
        case ast.Div():
            if b.low <= 0 <= b.high:
                raise _Refused(right, "this division can fail: the divisor may be zero")
            ends = [_product(x, 1 / y) for x in (a.low, a.high) for y in (b.low, b.high)]
            return _number(min(ends), max(ends))
        case _:
            raise _Refused(node, f"operator {type(op).__name__} is not allowed")


def _infer_call(node: ast.expr, name: str, args: list[ast.expr], names: Names) -> _Shape:
    if name not in _FUNCTIONS:
        raise _Refused(node, f"unknown function {name!r} (known: {', '.join(sorted(_FUNCTIONS))})")
    least, most = _FUNCTIONS[name]
    if not least <= len(args) <= most:
        raise _Refused(node, f"{name} takes {least} to {most} arguments, not {len(args)}")
    shapes = [_want_number(a, names) for a in args]
    first = shapes[0]
    if name in ("ln", "log2"):
        if first.low <= 0:
            raise _Refused(args[0], f"{name} can fail: its argument may be zero or negative")
        call = _CALLS[name]
        return _number(call(first.low), call(first.high) if first.high < INF else INF)
    if name == "sqrt":
        if first.low < 0:
            raise _Refused(args[0], "sqrt can fail: its argument may be negative")
        return _number(math.sqrt(first.low), math.sqrt(first.high))
    if name == "abs":
        least_abs = 0.0 if first.low <= 0 <= first.high else min(abs(first.low), abs(first.high))
        return _number(least_abs, max(abs(first.low), abs(first.high)))
    if name in ("ceil", "floor"):
        if not (math.isfinite(first.low) and math.isfinite(first.high)):
            raise _Refused(args[0], f"{name} can fail: its argument may be infinite")
        return _number(_CALLS[name](first.low), _CALLS[name](first.high))
    pick = min if name == "min" else max
    return _number(pick(s.low for s in shapes), pick(s.high for s in shapes))


def _want_number(node: ast.expr, names: Names) -> _Shape:
    shape = _infer(node, names)
    if shape.boolean:
        raise _Refused(node, "a number is needed here, not true or false")
    return shape


def _want_boolean(node: ast.expr, names: Names) -> _Shape:
    shape = _infer(node, names)
    if not shape.boolean:
        raise _Refused(node, "true or false is needed here, not a number")
    return shape


def _evaluate(node: ast.expr, names: Mapping[str, float]) -> float:
    match node:
        case ast.Constant(value=value):
            return float(value)  # type: ignore[arg-type]
        case ast.Name(id=name):
            return names[name]
        case ast.UnaryOp(op=ast.USub(), operand=operand):
            return -_evaluate(operand, names)
        case ast.UnaryOp(operand=operand):
            return float(not _evaluate(operand, names))
        case ast.BinOp(left=left, op=op, right=right):
            a, b = _evaluate(left, names), _evaluate(right, names)
            if isinstance(op, ast.Add):
                return a + b
            if isinstance(op, ast.Sub):
                return a - b
            return a * b if isinstance(op, ast.Mult) else a / b
        case ast.BoolOp(op=op2, values=values):
            truth = [bool(_evaluate(v, names)) for v in values]
            return float(all(truth) if isinstance(op2, ast.And) else any(truth))
        case ast.Compare(left=left, ops=ops, comparators=others):
            a = _evaluate(left, names)
            for compare, other in zip(ops, others, strict=True):
                b = _evaluate(other, names)
                if not _holds(compare, a, b):
                    return 0.0
                a = b
            return 1.0
        case ast.IfExp(test=test, body=body, orelse=orelse):
            return _evaluate(body if _evaluate(test, names) else orelse, names)
        case ast.Call(func=ast.Name(id=name), args=args):
            return _CALLS[name](*[_evaluate(a, names) for a in args])
    raise AssertionError(f"the checker let {type(node).__name__} through")


def _holds(compare: ast.cmpop, a: float, b: float) -> bool:
    match compare:
        case ast.Lt():
            return a < b
        case ast.LtE():
            return a <= b
        case ast.Gt():
            return a > b
        case ast.GtE():
            return a >= b
        case ast.Eq():
            return a == b
    return a != b


class Expressions:
    """The checked expressions of one file: `value(key)` under the names' values of the moment."""

    def __init__(self, vocabulary: Vocabulary, expressions: dict[str, ast.expr]) -> None:
        self.vocabulary = vocabulary
        self.expressions = expressions

    def value(self, key: str, names: Mapping[str, float]) -> float:
        """Never outside the key's range, and a name never outside its own: the checker relied on both."""
        ranges = self.vocabulary.names
        clipped = {n: min(max(v, ranges[n][0]), ranges[n][1]) for n, v in names.items()}
        rule = self.vocabulary.keys[key]
        return min(max(_evaluate(self.expressions[key], clipped), rule.low), rule.high)


def _check_one(file: str, key: str, value: object, vocabulary: Vocabulary) -> tuple[ast.expr | None, Fault | None]:
    if key not in vocabulary.keys:
        return None, Fault(file, key, 1, f"unknown setting (known: {', '.join(sorted(vocabulary.keys))})")
    if isinstance(value, bool | int | float):
        text = repr(value)
    elif isinstance(value, str):
        text = value
    else:
        return None, Fault(file, key, 1, "must be a number, true, false or an expression in a string")
    if len(text) > 500:
        return None, Fault(file, key, 1, "the expression is too long")
    try:
        tree = ast.parse(text, mode="eval").body
    except (SyntaxError, ValueError, RecursionError, MemoryError) as e:
        return None, Fault(file, key, getattr(e, "offset", 1) or 1, f"not an expression: {e}")
    rule = vocabulary.keys[key]
    try:
        shape = _infer(tree, vocabulary.names)
    except _Refused as e:
        return None, Fault(file, key, e.column, e.text)
    except (RecursionError, OverflowError) as e:
        return None, Fault(file, key, 1, f"the expression is too deep or too large: {e}")
    if shape.boolean != rule.boolean:
        want = "true or false" if rule.boolean else "a number"
        return None, Fault(file, key, 1, f"type error: {want} is needed")
    if not shape.boolean and (shape.high < rule.low or shape.low > rule.high):
        return None, Fault(file, key, 1, f"always outside the allowed range {rule.low:g} to {rule.high:g}")
    return tree, None


def parse(raw: Mapping[str, object], file: str, vocabulary: Vocabulary, base: Expressions | None = None) -> Expressions:
    """The checked expressions of a file over `base`; raises `ExpressionError` with all faults found.

    Without a base every key has to be set.
    """
    found = dict(base.expressions) if base else {}
    faults = []
    for key, value in raw.items():
        tree, fault = _check_one(file, key, value, vocabulary)
        if fault:
            faults.append(fault)
        elif tree is not None:
            found[key] = tree
    if base is None:
        faults += [Fault(file, key, 1, "setting is missing") for key in vocabulary.keys if key not in found]
    if faults:
        raise ExpressionError(faults)
    return Expressions(vocabulary, found)


def read(path: str) -> dict[str, object]:
    """A TOML file's contents; what is wrong with it as a fault that names it."""
    try:
        with open(path, "rb") as f:
            return read_text(f.read().decode("utf-8"), path)
    except (OSError, UnicodeDecodeError) as e:
        raise ExpressionError([Fault(path, "-", 1, str(e))]) from e


def read_text(text: str, file: str) -> dict[str, object]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        raise ExpressionError([Fault(file, "-", 1, f"not TOML: {e}")]) from e
