"""Settings files whose values are expressions: the operators' policy and the files of features.

An expression file is TOML. Each value is a number, a truth value or a string with an expression. Expressions are a
subset of Python's syntax; they are parsed with the standard library's `ast` and never passed to `eval`.
`type_inference` rejects expressions whose evaluation could fail, and `evaluation` computes the accepted ones. The
`Vocabulary` of a file defines its keys and the variables of its expressions.
"""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass

from ..errors import GrebestandError
from .evaluation import evaluate
from .type_inference import InferredType, InvalidExpressionError, VariableRanges, infer_type

#: largest length of an expression, in characters; bounds the time for parsing and checking
MAX_EXPRESSION_LENGTH = 500

#: replaces the key in a fault of the file as a whole
NO_KEY = "-"


@dataclass(frozen=True)
class ValidValues:
    """The allowed values of a key.

    Attributes:
        low: Smallest allowed number.
        high: Largest allowed number.
        boolean: Whether the value has to be a truth value rather than a number.
    """

    low: float
    high: float
    boolean: bool = False


@dataclass(frozen=True)
class SettingFault:
    """One fault of an expression file.

    Attributes:
        file: Path of the file.
        key: Key whose value is not valid, or `NO_KEY`.
        column: Column in the expression, counted from 1.
        text: Description of the fault.
    """

    file: str
    key: str
    column: int
    text: str

    def __str__(self) -> str:
        """Return a description of the fault in one line, with file, key and column."""
        return f"{self.file}: {self.key}: column {self.column}: {self.text}"


class ExpressionError(GrebestandError, ValueError):
    """An expression file is not valid.

    Attributes:
        faults: All faults of the file.
    """

    def __init__(self, faults: list[SettingFault]) -> None:
        self.faults = faults
        super().__init__("; ".join(str(fault) for fault in faults))


@dataclass(frozen=True)
class Vocabulary:
    """The keys of an expression file, and the variables of its expressions.

    Attributes:
        keys: By key, the allowed values.
        variables: By name of each variable, the lowest and the highest value that the program guarantees.
    """

    keys: Mapping[str, ValidValues]
    variables: VariableRanges


class Expressions:
    """The accepted expressions of an expression file, by key."""

    def __init__(self, vocabulary: Vocabulary, expressions: dict[str, ast.expr]) -> None:
        """Create the expressions of a file.

        Args:
            vocabulary: The vocabulary that the expressions were checked with.
            expressions: By key, the accepted expressions.
        """
        self.vocabulary = vocabulary
        self.expressions = expressions

    def value(self, key: str, variables: Mapping[str, float]) -> float:
        """Return the value of a key.

        Args:
            key: The key.
            variables: By name, the current values of the variables. Each value is clamped to the range of its variable,
                as the checker has accepted the expression for this range only.

        Returns:
            The value of the expression, clamped to the allowed values of the key; 0 or 1 for a truth value.
        """
        ranges = self.vocabulary.variables
        limited = {name: min(max(value, ranges[name][0]), ranges[name][1]) for name, value in variables.items()}
        allowed = self.vocabulary.keys[key]
        return min(max(evaluate(self.expressions[key], limited), allowed.low), allowed.high)


def parse(raw: Mapping[str, object], file: str, vocabulary: Vocabulary, base: Expressions | None = None) -> Expressions:
    """Check the contents of an expression file.

    Args:
        raw: By key, the values in the file.
        file: Name of the file, for error texts.
        vocabulary: The allowed keys and variables.
        base: Expressions for the keys that are not in the file; if None, the file has to contain every key.

    Raises:
        ExpressionError: The file is not valid; the error contains all faults.
    """
    checked = dict(base.expressions) if base else {}
    faults = []
    for key, value in raw.items():
        try:
            checked[key] = _checked_expression(key, value, vocabulary)
        except InvalidExpressionError as error:
            faults.append(SettingFault(file, key, error.column, error.problem))
    if base is None:
        faults += [SettingFault(file, key, 1, "setting is missing") for key in vocabulary.keys if key not in checked]
    if faults:
        raise ExpressionError(faults)
    return Expressions(vocabulary, checked)


def read(path: str) -> dict[str, object]:
    """Return the contents of a TOML file; raise `ExpressionError` if the file cannot be read or parsed."""
    try:
        with open(path, "rb") as file:
            return read_text(file.read().decode("utf-8"), path)
    except (OSError, UnicodeDecodeError) as error:
        raise ExpressionError([SettingFault(path, NO_KEY, 1, str(error))]) from error


def read_text(text: str, file: str) -> dict[str, object]:
    """Return the contents of a TOML text; raise `ExpressionError` with the name `file` if parsing fails."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExpressionError([SettingFault(file, NO_KEY, 1, f"not TOML: {error}")]) from error


def _checked_expression(key: str, value: object, vocabulary: Vocabulary) -> ast.expr:
    """Return the expression in a value; raise `InvalidExpressionError` unless the key and expression are valid."""
    if key not in vocabulary.keys:
        raise InvalidExpressionError(f"unknown setting (known: {', '.join(sorted(vocabulary.keys))})")
    tree = _parse_expression(_expression_text(value))
    _check_allowed(_infer_type(tree, vocabulary.variables), vocabulary.keys[key])
    return tree


def _expression_text(value: object) -> str:
    """Return the text of the expression in a value; a number or truth value is an expression too."""
    if isinstance(value, bool | int | float):
        text = repr(value)
    elif isinstance(value, str):
        text = value
    else:
        raise InvalidExpressionError("must be a number, true, false or an expression in a string")
    if len(text) > MAX_EXPRESSION_LENGTH:
        raise InvalidExpressionError(
            f"expected an expression of at most {MAX_EXPRESSION_LENGTH} characters, found {len(text)} characters"
        )
    return text


def _parse_expression(text: str) -> ast.expr:
    """Return the syntax tree of an expression."""
    try:
        return ast.parse(text, mode="eval").body
    except (SyntaxError, ValueError, RecursionError, MemoryError) as error:
        column = getattr(error, "offset", 1) or 1
        raise InvalidExpressionError(f"not an expression: {error}", column) from error


def _infer_type(tree: ast.expr, variables: VariableRanges) -> InferredType:
    """Return the type of an expression; reject an expression that is too deep or whose numbers are too large."""
    try:
        return infer_type(tree, variables)
    except (RecursionError, OverflowError) as error:
        raise InvalidExpressionError(f"the expression is too deep or too large: {error}") from error


def _check_allowed(inferred: InferredType, allowed: ValidValues) -> None:
    """Check that an expression has the type required by its key and can evaluate to an allowed value."""
    if inferred.boolean != allowed.boolean:
        needed = "true or false" if allowed.boolean else "a number"
        raise InvalidExpressionError(f"type error: {needed} is needed")
    if not inferred.boolean and (inferred.range.high < allowed.low or inferred.range.low > allowed.high):
        raise InvalidExpressionError(f"always outside the allowed range {allowed.low:g} to {allowed.high:g}")
