"""The known features, and the files that enable them: `grebestand serve --with FILE`.

A feature file is TOML. Its key `feature` contains the name of the feature. The other values are numbers, truth values
or expressions with the variables of the feature's vocabulary, and are checked like the policy. Keys that the feature
declares as plain (names, addresses, tables) are checked by the feature itself. The module of a feature is imported
only if a file enables the feature.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from typing import cast

from ..settings import expressions
from ..settings.expressions import ExpressionError, Expressions, SettingFault, Vocabulary
from ..settings.platform import Settings
from .hooks import Features

#: key of a feature file that contains the name of the feature
FEATURE_KEY = "feature"
#: only key of a file that lists feature files
LIST_KEY = "with"


@dataclass(frozen=True)
class PlainValues:
    """The values of the plain keys in a feature file, which only the feature itself checks.

    Attributes:
        file: Path of the feature file.
        values: By key, the values.
    """

    file: str
    values: dict[str, object]

    def fault(self, key: str, text: str) -> ExpressionError:
        """Return an error about the value of a key, for the feature to raise."""
        return _error(self.file, key, text)


@dataclass(frozen=True)
class Feature:
    """The description of a feature; the module of each feature defines one under the name `FEATURE`.

    Attributes:
        vocabulary: Keys of the feature file, and variables of the expressions in the file.
        defaults: Values for the keys that are not in the feature file.
        make: Returns the hooks for the expressions of the file, the platform's settings and the plain values. Raises
            `ValueError` with a description of the fault if the file is not valid.
        plain: Keys that the feature checks itself.
    """

    vocabulary: Vocabulary
    defaults: dict[str, object]
    make: Callable[[Expressions, Settings, PlainValues], Features]
    plain: frozenset[str] = frozenset()


#: by name of each feature in this project, the module that defines `FEATURE`
BUILT_IN: dict[str, str] = {"federation": "grebestand.federation.feature"}


def find_feature(name: str, known: dict[str, str]) -> Feature | None:
    """Return the feature with a name, or None if the name is not a key of `known`."""
    module = known.get(name)
    return cast(Feature, import_module(module).FEATURE) if module is not None else None


def load(files: list[str], settings: Settings, known: dict[str, str] | None = None) -> Features:
    """Return the hooks of all features that are enabled by files.

    Args:
        files: Paths of the feature files.
        settings: The platform's settings.
        known: By name of each known feature, the module that defines `FEATURE`; `BUILT_IN` if None.

    Raises:
        ExpressionError: A file is not valid; the error contains the file, the key and the column of each fault.
    """
    known = BUILT_IN if known is None else known
    all_hooks = Features()
    for file in files:
        _load_file(file, settings, known, all_hooks)
    return all_hooks


def _load_file(file: str, settings: Settings, known: dict[str, str], all_hooks: Features) -> None:
    """Add the hooks of the feature that a file enables to `all_hooks`."""
    raw = expressions.read(file)
    name = raw.pop(FEATURE_KEY, None)
    feature = _named_feature(file, name, known)
    defaults = expressions.parse(feature.defaults, f"defaults of {name}", feature.vocabulary)
    plain = PlainValues(file, {key: raw.pop(key) for key in feature.plain & set(raw)})
    values = expressions.parse(raw, file, feature.vocabulary, defaults)
    try:
        all_hooks.add(feature.make(values, settings, plain))
    except ExpressionError:  # already contains the file and the key
        raise
    except ValueError as error:
        raise _error(file, FEATURE_KEY, str(error)) from error


def _named_feature(file: str, name: object, known: dict[str, str]) -> Feature:
    """Return the feature whose name is in a file."""
    if not isinstance(name, str):
        raise _error(file, FEATURE_KEY, "must name the feature that the file switches on")
    feature = find_feature(name, known)
    if feature is None:
        names = ", ".join(sorted(known)) or "none is built in yet"
        raise _error(file, FEATURE_KEY, f"unknown feature {name!r} (known: {names})")
    return feature


def read_file_list(path: str) -> list[str]:
    """Return the paths of feature files in a list file.

    Args:
        path: Path of the list file, which is TOML with `with = ["file", ...]`. The listed paths are relative to the
            directory of the list file.

    Raises:
        ExpressionError: The list file cannot be read or is not valid.
    """
    raw = expressions.read(path)
    files = raw.get(LIST_KEY, [])
    if not isinstance(files, list) or not all(isinstance(file, str) for file in files) or set(raw) - {LIST_KEY}:
        raise _error(path, LIST_KEY, "must be a list of files, and the only key")
    return [os.path.join(os.path.dirname(path), str(file)) for file in files]


def _error(file: str, key: str, text: str) -> ExpressionError:
    """Return an error with a single fault, which concerns the whole value of a key."""
    return ExpressionError([SettingFault(file, key, 1, text)])
