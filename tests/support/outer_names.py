"""Collects the names used outside the process: in messages, stored data, files, settings, logs and reports.

Each section of `outputs` is collected from the code, so that a rename that changes an outer name changes a section.
"""

from __future__ import annotations

import ast
import json
import pkgutil
import re
import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import fields
from enum import Enum
from functools import cache
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

import grebestand
from grebestand import state_machines
from grebestand.federation import state_machines as federation_state_machines
from grebestand.load_test import scale_check, scale_plan
from grebestand.wire import workers

SOURCES = Path(grebestand.__file__).parent
ROOT = SOURCES.parent.parent
FIXTURES = Path(__file__).parent.parent / "fixtures"
OUTER_NAMES = FIXTURES / "outer_names.txt"

#: records whose fields are written to JSON or Parquet under their own names
REPORTED = {"plan of a scale run": scale_plan.ScaleRunPlan, "verdict of a scale run": scale_check.ScaleVerdict}
#: encoded messages and keys of example records: their fields and prefixes are collected elsewhere
FIXTURES_OF_INSTANCES = ("messages.json", "keys.json")
#: a name, path, key, flag, variable or file name: one word, without spaces
WORD = re.compile(r"[\w./&?=:{}$*-]*[A-Za-z][\w./&?=:{}$*-]*")
FILE_NAME = re.compile(r"[\w.*\[\]-]*\.(toml|json|pem|key|parquet|log)|own|trusted|revoked|active|cluster")


def syntax_trees(*packages: str) -> Iterator[ast.Module]:
    """The syntax trees of the named packages, or of all sources."""
    for path in sorted(SOURCES.rglob("*.py")):
        if not packages or path.relative_to(SOURCES).parts[0] in packages:
            yield ast.parse(path.read_text("utf-8"))


def struct_fields() -> dict[str, list[str]]:
    """Every structure's encoded field names and its tag, in the order of the fields."""
    found: dict[str, list[str]] = {}
    for info in pkgutil.walk_packages([str(SOURCES)], "grebestand."):
        if info.name.endswith("__main__"):
            continue
        for value in vars(import_module(info.name)).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct) and value is not msgspec.Struct:
                described = inspect.type_info(value)
                assert isinstance(described, inspect.StructType)
                tag = [] if described.tag is None else [f"{described.tag_field}={described.tag}"]
                found[f"{value.__module__}.{value.__name__}"] = [*tag, *(f.encode_name for f in described.fields)]
    return found


def log_events() -> dict[str, list[str]]:
    """Every log event with the fields that any of its lines has."""
    events: dict[str, set[str]] = {}
    for tree in syntax_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "LogEvent":
                assert isinstance(node.args[0], ast.Constant)
                names = {word.arg.rstrip("_") for word in node.keywords if word.arg is not None}
                events.setdefault(str(node.args[0].value), set()).update(names)
    return {event: sorted(names) for event, names in sorted(events.items())}


def shown_states() -> list[list[str]]:
    """The members of the state machines, which log lines name."""
    found = []
    for module in (state_machines, federation_state_machines):
        for value in vars(module).values():
            if isinstance(value, type) and issubclass(value, Enum) and value.__module__ == module.__name__:
                found.append([str(member.name) for member in value])  # noqa: PERF401 - a nested comprehension hides it
    return sorted(found)


def named_durations() -> list[str]:
    """The names under which durations are measured, which summaries show."""
    found = set()
    for tree in syntax_trees():
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == "add"
                and ast.unparse(node.func.value).endswith("sketches")
                and isinstance(node.args[0], ast.Constant)
            ):
                found.add(str(node.args[0].value))
    return sorted(found)


def report_keys() -> list[str]:
    """Keys of the dictionaries that the load test writes as JSON."""
    found = set()
    for tree in syntax_trees("load_test"):
        for node in ast.walk(tree):
            if isinstance(node, ast.Dict):
                found |= {str(key.value) for key in node.keys if isinstance(key, ast.Constant)}
    return sorted(found)


def file_names() -> list[str]:
    """Names of files and directories that the programs read and write."""
    found = set()
    for tree in syntax_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and isinstance(node.value, str) and FILE_NAME.fullmatch(node.value):
                found.add(node.value)
    return sorted(found)


def capacity_keys() -> list[str]:
    """Tables and keys of the file of measured slopes."""
    described = tomllib.loads((ROOT / "tools" / "capacity.toml").read_text("utf-8"))
    return sorted(set(_keys(described)))


def _keys(value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from _keys(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _keys(inner)


@cache
def outputs() -> dict[str, Any]:
    """What the process writes for others besides messages, by what it is to them."""
    return {
        "log events": log_events(),
        "states in logs": shown_states(),
        "outcomes in logs": [[m.name for m in enum] for enum in (workers.TaskPhase, workers.ExitReason)],
        "durations": named_durations(),
        "keys of reports": report_keys(),
        "records in reports": {name: [f.name for f in fields(kind)] for name, kind in REPORTED.items()},
        "files": file_names(),
        "keys of capacity.toml": capacity_keys(),
    }


def outer_names() -> list[str]:
    """Every name that leaves the process, once, in order: what no rename in the code may touch."""
    fixtures = [json.loads(path.read_text("utf-8")) for path in sorted(FIXTURES.glob("*.json"))]
    words = {name for names in struct_fields().values() for name in names}
    for fixture, path in zip(fixtures, sorted(FIXTURES.glob("*.json")), strict=True):
        if path.name not in FIXTURES_OF_INSTANCES:
            words |= set(_words(fixture))
    return sorted(word for word in words if WORD.fullmatch(word))


def _words(value: Any) -> Iterable[str]:
    """Leaves of a fixture, and the keys of its inner tables: those of the outer one are labels."""
    inner = value.values() if isinstance(value, dict) else value
    for item in inner:
        if isinstance(item, str):
            yield from re.split(r"[{},\[\]]+|(?<=\w)\.(?=\w)", item) if item.startswith("{") else [item]
        elif isinstance(item, dict):
            yield from (key for key in item if " " not in key)
            yield from _words(item)
        elif isinstance(item, list):
            yield from _words(item)
