"""Structured log messages: one event name followed by `key=value` fields.

A message is logged as `log.info(LogEvent("job_accepted", job_id=job_id, tasks=26))` and appears after the usual prefix:

    INFO grebestand.api: job_accepted job_id=j-17 tasks=26

Values that are empty or contain whitespace, double quotes or equals signs are written as JSON strings.
"""

from __future__ import annotations

import json
import re
from collections.abc import Set as AbstractSet
from enum import Enum

#: digits after the decimal point of a float, before trailing zeros are removed
FLOAT_DECIMALS = 3

NEEDS_QUOTES = re.compile(r'[\s"=]')

QUOTED_VALUE = r'"(?:[^"\\]|\\.)*"'
PLAIN_VALUE = r'[^\s"=]+'
FIELD = re.compile(rf"(?P<key>\w+)=(?P<value>{QUOTED_VALUE}|{PLAIN_VALUE})")

#: an event name as a whole word and at least one field, up to the end of the line
EVENT_WITH_FIELDS = re.compile(
    rf"(?<!\S)(?P<event>[A-Za-z]\w*)(?P<fields>(?: \w+=(?:{QUOTED_VALUE}|{PLAIN_VALUE}))+)\s*$"
)

#: an event without fields is recognized only as the single word behind level and logger
EVENT_ALONE = re.compile(r"(?<!\S)[A-Z]+ \S+: (?P<event>[A-Za-z]\w*)\s*$")


class LogEvent:
    """A log message that is formatted only when its record is emitted.

    Fields keep the order in which they were given, and fields that are None are omitted. One trailing underscore of a
    key is removed, so that `class_` stands for the field `class`.
    """

    __slots__ = ("event", "fields")

    def __init__(self, event: str, /, **fields: object) -> None:
        self.event = event
        self.fields = fields

    def __str__(self) -> str:
        pairs = (
            f"{key.removesuffix('_')}={_quote_if_needed(_format_value(value))}"
            for key, value in self.fields.items()
            if value is not None
        )
        return " ".join((self.event, *pairs))


def parse_log_event(line: str) -> tuple[str, dict[str, str]] | None:
    """Return the event name and the fields of a log line, or None if the line holds no event.

    Anything may precede the event. Values are returned as text, without quotes.
    """
    match = EVENT_WITH_FIELDS.search(line)
    if match is None:
        alone = EVENT_ALONE.search(line)
        return None if alone is None else (alone["event"], {})
    try:
        fields = {field["key"]: _unquote(field["value"]) for field in FIELD.finditer(match["fields"])}
    except json.JSONDecodeError:
        return None
    return match["event"], fields


def _format_value(value: object) -> str:
    """Return a field's value as text, not yet quoted."""
    if isinstance(value, Enum):
        return value.name
    if isinstance(value, float):
        return _format_float(value)
    if isinstance(value, list | tuple):
        return ",".join(_format_value(item) for item in value)
    if isinstance(value, AbstractSet):
        return ",".join(sorted(_format_value(item) for item in value))
    return str(value)


def _format_float(value: float) -> str:
    """Return a float with at most `FLOAT_DECIMALS` decimals and without trailing zeros."""
    text = f"{value:.{FLOAT_DECIMALS}f}"
    if "." in text:
        text = text.rstrip("0").rstrip(".")
    return "0" if text == "-0" else text


def _quote_if_needed(text: str) -> str:
    """Return the text as a JSON string if it could not be read back otherwise."""
    return json.dumps(text) if not text or NEEDS_QUOTES.search(text) else text


def _unquote(text: str) -> str:
    """Return the text that a formatted value stands for."""
    if not text.startswith('"'):
        return text
    unquoted: str = json.loads(text)
    return unquoted
