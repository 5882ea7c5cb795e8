"""Files of checked expressions: the operators' policy and the files of features.

Such a file is TOML whose values are numbers, truth values or expressions in a string. An expression is a subset of
Python's syntax, parsed with the standard library's `ast` and never passed to `eval`. `type_inference` refuses what
could fail, and `evaluation` computes the rest. Which keys and names there are is up to each file's `Vocabulary`.
"""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass

from ..errors import GrebestandError
from .evaluation import evaluate
from .type_inference import InferredType, InvalidExpressionError, Names, infer_type

#: limit on the length of an expression, in characters; bounds the work of parser and checker
MAX_EXPRESSION_LENGTH = 500

#: stands for the key of a fault that concerns the file as a whole
NO_KEY = "-"


@dataclass(frozen=True)
class ValidValues:
    """What the value of a key may be: a number from `low` to `high`, or a truth value."""

    low: float
    high: float
    boolean: bool = False


@dataclass(frozen=True)
class Fault:
    """One thing that is wrong with a file.

    Attributes:
        file: Path of the file.
        key: Key whose value is wrong, or `NO_KEY`.
        column: Column in the expression, counted from 1.
        text: What is wrong.
    """

    file: str
    key: str
    column: int
    text: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.file}: {self.key}: column {self.column}: {self.text}"


class ExpressionError(GrebestandError, ValueError):
    """A file is not valid.

    Attributes:
        faults: Everything that is wrong with it.
    """

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults
        super().__init__("; ".join(str(fault) for fault in faults))


@dataclass(frozen=True)
class Vocabulary:
    """The keys of a kind of file, and the names that its expressions may use with the range guaranteed for each."""

    keys: Mapping[str, ValidValues]
    variables: Names


class Expressions:
    """The checked expressions of one file."""

    def __init__(self, vocabulary: Vocabulary, expressions: dict[str, ast.expr]) -> None:
        """Bind expressions, by key, to the vocabulary that they were checked with."""
        self.vocabulary = vocabulary
        self.expressions = expressions

    def value(self, key: str, names: Mapping[str, float]) -> float:
        """Return the value of a key under the current values of the names; truth values are 0 and 1.

        Names are limited to their ranges, which the checker relied on, and the value to the range of its key.
        """
        ranges = self.vocabulary.variables
        limited = {name: min(max(value, ranges[name][0]), ranges[name][1]) for name, value in names.items()}
        rule = self.vocabulary.keys[key]
        return min(max(evaluate(self.expressions[key], limited), rule.low), rule.high)


def parse(raw: Mapping[str, object], file: str, vocabulary: Vocabulary, base: Expressions | None = None) -> Expressions:
    """Check the contents of a file.

    Args:
        raw: The values by key.
        file: Name of the file, for faults.
        vocabulary: What the file may contain.
        base: Expressions for the keys that the file does not set; without it, every key has to be set.

    Raises:
        ExpressionError: The file is not valid; the error lists all faults.
    """
    checked = dict(base.expressions) if base else {}
    faults = []
    for key, value in raw.items():
        try:
            checked[key] = _checked_expression(key, value, vocabulary)
        except InvalidExpressionError as error:
            faults.append(Fault(file, key, error.column, error.problem))
    if base is None:
        faults += [Fault(file, key, 1, "setting is missing") for key in vocabulary.keys if key not in checked]
    if faults:
        raise ExpressionError(faults)
    return Expressions(vocabulary, checked)


def read(path: str) -> dict[str, object]:
    """Return the contents of a TOML file; raise `ExpressionError` if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return read_text(file.read().decode("utf-8"), path)
    except (OSError, UnicodeDecodeError) as error:
        raise ExpressionError([Fault(path, NO_KEY, 1, str(error))]) from error


def read_text(text: str, file: str) -> dict[str, object]:
    """Return the contents of a TOML text; raise `ExpressionError` that names `file` if it is not TOML."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExpressionError([Fault(file, NO_KEY, 1, f"not TOML: {error}")]) from error


def _checked_expression(key: str, value: object, vocabulary: Vocabulary) -> ast.expr:
    """Return the expression that a value stands for; raise `InvalidExpressionError` if it is not allowed."""
    if key not in vocabulary.keys:
        raise InvalidExpressionError(f"unknown setting (known: {', '.join(sorted(vocabulary.keys))})")
    tree = _parse_expression(_expression_text(value))
    _check_rule(_infer_type(tree, vocabulary.variables), vocabulary.keys[key])
    return tree


def _expression_text(value: object) -> str:
    """Return a value as the text of an expression."""
    if isinstance(value, bool | int | float):
        text = repr(value)
    elif isinstance(value, str):
        text = value
    else:
        raise InvalidExpressionError("must be a number, true, false or an expression in a string")
    if len(text) > MAX_EXPRESSION_LENGTH:
        raise InvalidExpressionError("the expression is too long")
    return text


def _parse_expression(text: str) -> ast.expr:
    """Return the syntax tree of an expression."""
    try:
        return ast.parse(text, mode="eval").body
    except (SyntaxError, ValueError, RecursionError, MemoryError) as error:
        column = getattr(error, "offset", 1) or 1
        raise InvalidExpressionError(f"not an expression: {error}", column) from error


def _infer_type(tree: ast.expr, names: Names) -> InferredType:
    """Return the type of an expression; one that exceeds the limits of the checker is not allowed."""
    try:
        return infer_type(tree, names)
    except (RecursionError, OverflowError) as error:
        raise InvalidExpressionError(f"the expression is too deep or too large: {error}") from error


def _check_rule(inferred: InferredType, rule: ValidValues) -> None:
    """Check that an expression has the type that its key needs, and can have an allowed value."""
    if inferred.boolean != rule.boolean:
        needed = "true or false" if rule.boolean else "a number"
        raise InvalidExpressionError(f"type error: {needed} is needed")
    if not inferred.boolean and (inferred.range.high < rule.low or inferred.range.low > rule.high):
        raise InvalidExpressionError(f"always outside the allowed range {rule.low:g} to {rule.high:g}")
