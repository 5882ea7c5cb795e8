"""Structured log messages: an event name followed by `key=value` fields.

The call `log.info(LogEvent("job_accepted", job_id=job_id, tasks=26))` logs a line such as this one:

    INFO grebestand.api: job_accepted job_id=j-17 tasks=26

A value that is empty or contains whitespace, double quotes or equals signs is written as a JSON string.
"""

from __future__ import annotations

import json
import re
from collections.abc import Set as AbstractSet
from enum import Enum

#: number of digits after the decimal point of a float; trailing zeros are removed
FLOAT_DECIMALS = 3

NEEDS_QUOTES = re.compile(r'[\s"=]')

QUOTED_VALUE = r'"(?:[^"\\]|\\.)*"'
PLAIN_VALUE = r'[^\s"=]+'
FIELD = re.compile(rf"(?P<key>\w+)=(?P<value>{QUOTED_VALUE}|{PLAIN_VALUE})")

#: an event name that is a whole word, followed by at least one field and the end of the line
EVENT_WITH_FIELDS = re.compile(
    rf"(?<!\S)(?P<event>[A-Za-z]\w*)(?P<fields>(?: \w+=(?:{QUOTED_VALUE}|{PLAIN_VALUE}))+)\s*$"
)

#: An event without fields is recognized only if it is a single word after the log level and the logger name. Otherwise,
#: the last word of any line would be parsed as an event.
EVENT_WITHOUT_FIELDS = re.compile(r"(?<!\S)[A-Z]+ \S+: (?P<event>[A-Za-z]\w*)\s*$")


class LogEvent:
    """A log message that is formatted only if its log record is emitted.

    Fields are written in the order of the keyword arguments, and fields that are None are omitted. One trailing
    underscore of a key is removed, so that the argument `class_` is written as the field `class`.
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
    """Parse a log line.

    Args:
        line: The log line. Any text may precede the event.

    Returns:
        The event name and the fields, with values as unquoted text, or None if the line contains no event.
    """
    match = EVENT_WITH_FIELDS.search(line)
    if match is None:
        match_without_fields = EVENT_WITHOUT_FIELDS.search(line)
        return None if match_without_fields is None else (match_without_fields["event"], {})
    try:
        fields = {field["key"]: _unquote(field["value"]) for field in FIELD.finditer(match["fields"])}
    except json.JSONDecodeError:
        return None
    return match["event"], fields


def _format_value(value: object) -> str:
    """Return the value of a field as text, without quotes."""
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
    """Return the text as a JSON string if `parse_log_event` could not read it back otherwise."""
    return json.dumps(text) if not text or NEEDS_QUOTES.search(text) else text


def _unquote(text: str) -> str:
    """Return the original text of a value that may be quoted."""
    if not text.startswith('"'):
        return text
    unquoted: str = json.loads(text)
    return unquoted
