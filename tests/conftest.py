"""Holds the test run to KNOWN-RED.txt, the list of tests that may fail (`support.known_red` has its form).

A listed test has to fail: it is printed and passed over. A listed test that passes, a name that no test has, and a list
that is missing, malformed or too long end the run with an error.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from support.known_red import FILE_NAME, KnownFailure, KnownRedError, read_known_failures

LISTED = pytest.StashKey[dict[str, KnownFailure]]()
UNKNOWN = pytest.StashKey[set[str]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[UNKNOWN] = set()
    try:
        config.stash[LISTED] = read_known_failures(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error


def runs_all(config: pytest.Config) -> bool:
    """Whether no tests were named on the command line."""
    return config.args_source is not pytest.Config.ArgsSource.ARGS


@pytest.hookimpl(optionalhook=True)
def pytest_configure_node(node: Any) -> None:
    """Tests run in several processes (pytest-xdist), which do not see the command line as it was."""
    node.workerinput["whole"] = runs_all(node.config)


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any, error: object) -> None:
    unknown: set[str] = node.config.stash[UNKNOWN]
    unknown.update(getattr(node, "workeroutput", {}).get("unknown", ()))


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed, unknown = config.stash[LISTED], config.stash[UNKNOWN]
    found = {item.nodeid: item for item in items if item.nodeid in listed}
    whole = getattr(config, "workerinput", {}).get("whole", runs_all(config))
    for name in sorted(listed.keys() - found.keys()):
        if whole or not (config.rootpath / name.partition("::")[0]).exists():
            unknown.add(name)
    if hasattr(config, "workeroutput"):
        config.workeroutput["unknown"] = sorted(unknown)
    for name, item in found.items():
        item.add_marker(pytest.mark.xfail(reason=str(listed[name]), strict=True))


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> Iterator[None]:
    yield  # the other processes have ended
    if session.config.stash[UNKNOWN]:
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


@pytest.hookimpl(wrapper=True)
def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> Iterator[None]:
    for failure in config.stash[LISTED].values():
        terminalreporter.write_line(f"known red: {failure}")
    unknown: set[str] = config.stash[UNKNOWN]
    for name in sorted(unknown):
        terminalreporter.write_line(f"{FILE_NAME}: no test has the name {name}", red=True)
    yield
