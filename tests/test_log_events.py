"""Log events: their format, and parsing them from log lines."""

from __future__ import annotations

import enum
import logging

import pytest

from grebestand.log_events import LogEvent, parse_log_event


class Colour(enum.IntEnum):
    """Members of an integer enumeration are written by name, like those of other enumerations."""

    RED = 1


@pytest.mark.parametrize(
    ("value", "written"),
    [
        ("j-17", "j-17"),
        (26, "26"),
        (True, "True"),
        (3.0, "3"),
        (3.2, "3.2"),
        (100.0, "100"),
        (0.12345, "0.123"),
        (-0.0001, "0"),
        (float("inf"), "inf"),
        (Colour.RED, "RED"),
        ("", '""'),
        ("two words", '"two words"'),
        ('a"b', r'"a\"b"'),
        ("a=b", '"a=b"'),
        ("two\nlines", r'"two\nlines"'),
        (["a", 1.50, Colour.RED], "a,1.5,RED"),
        ((), '""'),
        ({"b", "a"}, "a,b"),
        (frozenset({2, 1}), "1,2"),
        (["a b", "c"], '"a b,c"'),
    ],
)
def test_values_are_formatted_by_type(value: object, written: str) -> None:
    assert str(LogEvent("job_accepted", key=value)) == f"job_accepted key={written}"


def test_fields_keep_their_order_and_none_is_omitted() -> None:
    event = LogEvent("job_accepted", tasks=26, job_id="j-17", team=None, class_="etl", event="again", self=1)
    assert str(event) == "job_accepted tasks=26 job_id=j-17 class=etl event=again self=1"
    assert str(LogEvent("lease_lost")) == "lease_lost"


def test_only_an_emitted_record_is_formatted(caplog: pytest.LogCaptureFixture) -> None:
    formatted = []

    class Value:
        def __str__(self) -> str:
            formatted.append(self)
            return "100%s"

    log = logging.getLogger("grebestand.test")
    with caplog.at_level(logging.INFO, log.name):
        log.debug(LogEvent("hidden", value=Value()))
        assert not formatted
        log.info(LogEvent("shown", value=Value()))
    assert caplog.messages == ["shown value=100%s"]


@pytest.mark.parametrize(
    "prefix", ["", "INFO grebestand.api: ", "  12.5 c1 WARNING grebestand.api: ", "t=3 c1: INFO a: "]
)
@pytest.mark.parametrize(
    "text", ["plain", "", "two words", 'a "b" c', "key=1 other=2", "x y=1", "a\\b\n\tc", "ä\u2028ö", "\\"]
)
def test_written_event_is_parsed_back(prefix: str, text: str) -> None:
    line = f"{prefix}{LogEvent('job_accepted', job_id='j-17', class_=text, wait_s=3.2)}"
    assert len(line.splitlines()) == 1
    assert parse_log_event(line) == ("job_accepted", {"job_id": "j-17", "class": text, "wait_s": "3.2"})


@pytest.mark.parametrize(
    "line",
    [
        "INFO grebestand.leader: j-17 was cancelled",
        "INFO grebestand.api: job_accepted job_id=j-17 and more",
        "INFO grebestand.api: job_accepted job_id=",
        'INFO grebestand.api: job_accepted job_id="j-1',
        r'INFO grebestand.api: job_accepted job_id="\x"',
        "xjob-accepted job_id=j-17",
        "",
    ],
)
def test_other_lines_contain_no_event(line: str) -> None:
    assert parse_log_event(line) is None


def test_event_without_fields_is_recognized_only_directly_after_the_logger_name() -> None:
    assert parse_log_event("12.5 c1 INFO grebestand.leader: lease_lost") == ("lease_lost", {})
    assert parse_log_event("lease_lost") is None
