"""The features that exist, and the files that switch them on: `grebestand serve --with FILE`.

A feature's file is TOML. `feature` names it. Every other key is a number, a truth value or an expression with the names
of the feature's vocabulary, checked like the policy, except for the keys that the feature lists as plain (names,
addresses, tables) and checks itself. A feature's module is imported only when a file asks for it.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from typing import cast

from ..settings import expressions
from ..settings.expressions import ExpressionError, Expressions, Fault, Vocabulary
from ..settings.platform import Settings
from .hooks import Features

#: the key that names the feature, in a feature's file
FEATURE_KEY = "feature"
#: the only key of a list of files
LIST_KEY = "with"


@dataclass(frozen=True)
class PlainValues:
    """The values of a feature's plain keys, unchecked.

    Attributes:
        file: Path of the feature's file.
        values: The values by key.
    """

    file: str
    values: dict[str, object]

    def fault(self, key: str, text: str) -> ExpressionError:
        """Return the error that says what is wrong with a key, to be raised by the feature."""
        return _error(self.file, key, text)


@dataclass(frozen=True)
class Feature:
    """A feature, which its module offers as `FEATURE`.

    Attributes:
        vocabulary: The keys of its file, and the names of its expressions.
        defaults: Values for the keys that a file does not set.
        make: Makes the hooks from the file's expressions, the platform's settings and the plain values. A `ValueError`
            that it raises is what is wrong with the file.
        plain: Keys that the feature checks itself.
    """

    vocabulary: Vocabulary
    defaults: dict[str, object]
    make: Callable[[Expressions, Settings, PlainValues], Features]
    plain: frozenset[str] = frozenset()


#: features that come with the project: by name, the module that has its `FEATURE`
BUILT_IN: dict[str, str] = {"federation": "grebestand.federation.feature"}


def find(name: str, known: dict[str, str]) -> Feature | None:
    """Return a feature by its name, or None if it is not among the `known` modules."""
    module = known.get(name)
    return cast(Feature, import_module(module).FEATURE) if module is not None else None


def load(files: list[str], settings: Settings, known: dict[str, str] | None = None) -> Features:
    """Return the hooks of all features that files switch on.

    Args:
        files: Paths of the features' files.
        settings: The platform's settings.
        known: By name, the modules of the features that exist; `BUILT_IN` if not given.

    Raises:
        ExpressionError: A file is not valid; the error names the file, the key and the column.
    """
    known = BUILT_IN if known is None else known
    all_hooks = Features()
    for file in files:
        _load_file(file, settings, known, all_hooks)
    return all_hooks


def _load_file(file: str, settings: Settings, known: dict[str, str], all_hooks: Features) -> None:
    """Add the hooks of the feature that a file switches on."""
    raw = expressions.read(file)
    name = raw.pop(FEATURE_KEY, None)
    feature = _named_feature(file, name, known)
    defaults = expressions.parse(feature.defaults, f"defaults of {name}", feature.vocabulary)
    plain = PlainValues(file, {key: raw.pop(key) for key in feature.plain & set(raw)})
    values = expressions.parse(raw, file, feature.vocabulary, defaults)
    try:
        all_hooks.add(feature.make(values, settings, plain))
    except ExpressionError:  # names its key already
        raise
    except ValueError as error:
        raise _error(file, FEATURE_KEY, str(error)) from error


def _named_feature(file: str, name: object, known: dict[str, str]) -> Feature:
    """Return the feature that a file names."""
    if not isinstance(name, str):
        raise _error(file, FEATURE_KEY, "must name the feature that the file switches on")
    feature = find(name, known)
    if feature is None:
        names = ", ".join(sorted(known)) or "none is built in yet"
        raise _error(file, FEATURE_KEY, f"unknown feature {name!r} (known: {names})")
    return feature


def listed(path: str) -> list[str]:
    """Return the paths of the features' files that a list names: TOML with `with = ["file", ...]`.

    The files are relative to the directory of the list.

    Raises:
        ExpressionError: The list cannot be read or is not valid.
    """
    raw = expressions.read(path)
    files = raw.get(LIST_KEY, [])
    if not isinstance(files, list) or not all(isinstance(file, str) for file in files) or set(raw) - {LIST_KEY}:
        raise _error(path, LIST_KEY, "must be a list of files, and the only key")
    return [os.path.join(os.path.dirname(path), str(file)) for file in files]


def _error(file: str, key: str, text: str) -> ExpressionError:
    """Return the error for one fault of a key's value as a whole."""
    return ExpressionError([Fault(file, key, 1, text)])
