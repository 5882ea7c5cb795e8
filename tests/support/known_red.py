"""Reads KNOWN-RED.txt, the list of tests that fail for a real fault which is not mended yet.

A list with entries starts with a header, one line that begins with `#` and names the form, and has a line per entry:

    # test id | command and seed | what was seen | issue
    tests/test_x.py::test_y | pytest tests/test_x.py, seed 3 | two leaders for 4 s | issue 12

An empty list is the single line `none`, with or without the header above it.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
MAXIMUM_ENTRIES = 3
EMPTY_LIST = "none"
COMMENT_START = "#"
SEPARATOR = " | "
FORM = SEPARATOR.join(("test id", "command and seed", "what was seen", "issue"))


class KnownRedError(Exception):
    """The list is missing or breaks its form."""


@dataclass(frozen=True)
class KnownFailure:
    """One entry of the list: a test that has to fail until its fault is mended."""

    test_id: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test_id}: {self.seen} ({self.command}); {self.issue}"


def read_known_failures(root: Path) -> dict[str, KnownFailure]:
    """Return the entries of the list in a directory by test id; raise `KnownRedError` if it is missing or malformed."""
    try:
        text = (root / FILE_NAME).read_text("utf-8")
    except FileNotFoundError:
        raise KnownRedError(f"{FILE_NAME} is missing; an empty list is the single line {EMPTY_LIST!r}") from None
    return parse_known_failures(text)


def parse_known_failures(text: str) -> dict[str, KnownFailure]:
    """Return the entries of a list's text by test id; raise `KnownRedError` if it is malformed."""
    lines = text.splitlines()
    has_header = bool(lines) and lines[0].startswith(COMMENT_START)
    body = lines[1:] if has_header else lines
    if body == [EMPTY_LIST]:
        return {}
    if not body:
        raise KnownRedError(f"{FILE_NAME}: neither {EMPTY_LIST!r} nor entries")
    if not has_header:
        raise KnownRedError(f"{FILE_NAME}: the header '{COMMENT_START} {FORM}' is missing before {body[0]!r}")
    if len(body) > MAXIMUM_ENTRIES:
        raise KnownRedError(f"{FILE_NAME}: {len(body)} entries, {MAXIMUM_ENTRIES} are allowed")
    failures: dict[str, KnownFailure] = {}
    for line in body:
        failure = _parse_entry(line)
        if failure.test_id in failures:
            raise KnownRedError(f"{FILE_NAME}: listed twice: {failure.test_id}")
        failures[failure.test_id] = failure
    return failures


def _parse_entry(line: str) -> KnownFailure:
    """Return the entry that a line stands for; raise `KnownRedError` if it does not have every field."""
    values = [value.strip() for value in line.split(SEPARATOR)]
    if len(values) != len(fields(KnownFailure)) or not all(values):
        raise KnownRedError(f"{FILE_NAME}: not '{FORM}': {line!r}")
    return KnownFailure(*values)
