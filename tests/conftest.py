"""Applies KNOWN-RED.txt, the list of tests that are expected to fail; `support.known_red` defines its format.

The failure of a listed test is printed and does not fail the run. A listed test that passes, a listed name that no test
has, and a list that is missing, malformed or too long fail the run.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from support.known_red import FILE_NAME, KnownFailure, KnownRedError, read_known_failures

#: Entries of the list, by test id.
KNOWN_FAILURES = pytest.StashKey[dict[str, KnownFailure]]()
#: Listed names that no test has.
UNKNOWN_NAMES = pytest.StashKey[set[str]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[UNKNOWN_NAMES] = set()
    try:
        config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error


def runs_all_tests(config: pytest.Config) -> bool:
    """Return whether the command line names no tests, so that all tests run."""
    return config.args_source is not pytest.Config.ArgsSource.ARGS


@pytest.hookimpl(optionalhook=True)
def pytest_configure_node(node: Any) -> None:
    """Pass to a worker process of pytest-xdist whether all tests run, since that process gets another command line."""
    node.workerinput["all_tests"] = runs_all_tests(node.config)


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any, error: object) -> None:
    unknown: set[str] = node.config.stash[UNKNOWN_NAMES]
    unknown.update(getattr(node, "workeroutput", {}).get("unknown", ()))


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known_failures, unknown = config.stash[KNOWN_FAILURES], config.stash[UNKNOWN_NAMES]
    found = {item.nodeid: item for item in items if item.nodeid in known_failures}
    all_tests = getattr(config, "workerinput", {}).get("all_tests", runs_all_tests(config))
    for name in sorted(known_failures.keys() - found.keys()):
        if all_tests or not (config.rootpath / name.partition("::")[0]).exists():
            unknown.add(name)
    if hasattr(config, "workeroutput"):
        config.workeroutput["unknown"] = sorted(unknown)
    for name, item in found.items():
        item.add_marker(pytest.mark.xfail(reason=str(known_failures[name]), strict=True))


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> Iterator[None]:
    yield  # all worker processes have reported their unknown names after this point
    if session.config.stash[UNKNOWN_NAMES]:
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


@pytest.hookimpl(wrapper=True)
def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> Iterator[None]:
    for failure in config.stash[KNOWN_FAILURES].values():
        terminalreporter.write_line(f"known red: {failure}")
    unknown: set[str] = config.stash[UNKNOWN_NAMES]
    for name in sorted(unknown):
        terminalreporter.write_line(f"{FILE_NAME}: no test has the name {name}", red=True)
    yield
