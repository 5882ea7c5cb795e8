"""Which features there are, and how their files are read: `grebestand serve --with FILE`.

A feature's file is TOML. `feature` names it; every other key is a number, true, false or an expression with the names
that the feature's vocabulary lists, checked like the policy. Keys that a feature lists as plain (names, addresses,
tables) it checks itself. Its module is imported only when a file asks for it.
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


@dataclass(frozen=True)
class Plain:
    """What a feature's file says beside numbers and expressions, unchecked."""

    file: str
    values: dict[str, object]

    def fault(self, key: str, text: str) -> ExpressionError:
        """What is wrong with a key, to be raised."""
        return ExpressionError([Fault(self.file, key, 1, text)])


@dataclass(frozen=True)
class Feature:
    """What a feature's module offers as `FEATURE`: its vocabulary with defaults, its maker, and its plain keys."""

    vocabulary: Vocabulary
    defaults: dict[str, object]
    make: Callable[[Expressions, Settings, Plain], Features]
    plain: frozenset[str] = frozenset()


#: features that come with the project: name, and the module that has its `FEATURE`
BUILT_IN: dict[str, str] = {"federation": "grebestand.federation.feature"}


def find(name: str, known: dict[str, str]) -> Feature | None:
    module = known.get(name)
    return cast(Feature, import_module(module).FEATURE) if module is not None else None


def load(files: list[str], settings: Settings, known: dict[str, str] | None = None) -> Features:
    """The hooks of every feature that the files switch on; `ExpressionError` names file, key and column."""
    known = BUILT_IN if known is None else known
    all_hooks = Features()
    for file in files:
        raw = expressions.read(file)
        name = raw.pop("feature", None)
        if not isinstance(name, str):
            raise ExpressionError([Fault(file, "feature", 1, "must name the feature that the file switches on")])
        feature = find(name, known)
        if feature is None:
            there = ", ".join(sorted(known)) or "none is built in yet"
            raise ExpressionError([Fault(file, "feature", 1, f"unknown feature {name!r} (known: {there})")])
        base = expressions.parse(feature.defaults, f"defaults of {name}", feature.vocabulary)
        plain = Plain(file, {key: raw.pop(key) for key in feature.plain & set(raw)})
        values = expressions.parse(raw, file, feature.vocabulary, base)
        try:
            all_hooks.add(feature.make(values, settings, plain))
        except ExpressionError:
            raise
        except ValueError as e:
            raise ExpressionError([Fault(file, "feature", 1, str(e))]) from e
    return all_hooks


def listed(path: str) -> list[str]:
    """The feature files that a list names, from its own directory: TOML with `with = ["file", ...]`."""
    raw = expressions.read(path)
    files = raw.get("with", [])
    if not isinstance(files, list) or not all(isinstance(f, str) for f in files) or set(raw) - {"with"}:
        raise ExpressionError([Fault(path, "with", 1, "must be a list of files, and the only key")])
    return [os.path.join(os.path.dirname(path), str(f)) for f in files]
