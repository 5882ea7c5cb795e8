"""Tests that modules import only from their own or lower layers, and that data files are packaged."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import grebestand

ROOT = Path(grebestand.__file__).parent

#: Top-level packages and modules from the lowest layer on; a module may import from its own layer and from lower ones.
LAYERS = (
    "clocks", "log_events", "errors", "state_machines", "metrics", "wire", "settings", "cluster_state", "flow_control",
    "clients", "connectivity", "storage", "features", "scheduling", "heartbeats", "leader", "heartbeat_relay", "api",
    "federation", "controller", "emulators", "simulation", "fault_test", "load_test", "commands", "cli", "__main__",
)  # fmt: skip


def imported_modules(path: Path) -> set[tuple[str, ...]]:
    """Return the modules of the project that a file imports, as paths relative to the package."""
    here = path.relative_to(ROOT).parent.parts
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = here[: len(here) - node.level + 1] + tuple(node.module.split(".") if node.module else ())
            for name in node.names:
                submodule = ROOT.joinpath(*base, f"{name.name}.py")
                found.add((*base, name.name) if submodule.exists() else base)
    return found


def test_modules_import_from_their_own_or_lower_layers_only() -> None:
    violations = []
    for path in sorted(ROOT.rglob("*.py")):
        here = path.relative_to(ROOT).with_suffix("").parts
        if here == ("__init__",):
            continue
        violations += [
            f"{'.'.join(here)} imports {'.'.join(target)}"
            for target in imported_modules(path)
            if target and LAYERS.index(target[0]) > LAYERS.index(here[0])
        ]
    assert not violations, violations


def test_imports_have_no_cycles() -> None:
    edges: dict[tuple[str, ...], set[tuple[str, ...]]] = {}
    for path in ROOT.rglob("*.py"):
        here = path.relative_to(ROOT).with_suffix("").parts
        edges[here] = {target for target in imported_modules(path) if target != here}
    while True:
        leaves = {module for module, targets in edges.items() if not targets & edges.keys()}
        if not leaves:
            break
        edges = {module: targets for module, targets in edges.items() if module not in leaves}
    assert not edges, sorted(edges)


def test_each_data_file_is_listed_as_package_data() -> None:
    """Guards against an installation without the default policy.

    This happens when the file moves to another package than the one that pyproject.toml lists the file for.
    """
    listed = tomllib.loads((ROOT.parent.parent / "pyproject.toml").read_text())["tool"]["setuptools"]["package-data"]
    named = {ROOT.parent / package.replace(".", "/") / name for package, names in listed.items() for name in names}
    found = {path for path in ROOT.rglob("*") if path.is_file() and path.suffix not in (".py", ".pyc")}
    assert found == named
