"""Tests that tools/served.py counts the completed jobs of a simulated day in its report and in log events."""

from __future__ import annotations

import importlib.util
import json
import sys
from pathlib import Path
from typing import Any

import pytest

from grebestand.log_events import LogEvent

ROOT = Path(__file__).resolve().parent.parent


def _load_tool() -> Any:
    spec = importlib.util.spec_from_file_location("served", ROOT / "tools" / "served.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["served"] = module  # `dataclass` looks up the module of a class in `sys.modules`
    spec.loader.exec_module(module)
    return module


served = _load_tool()

REPORT = {
    "classes": {
        "etl": {"jobs": 6, "done": 4, "cancelled": 1},
        "web": {"jobs": 2, "done": 2},
        "idle": {"jobs": 0, "done": 0},
    },
    "targets": [
        {"kind": "start", "class": "etl", "within_s": 60, "value": 0.75},
        {"kind": "slowdown", "class": "etl", "times": 2, "value": 0.5},
        {"kind": "start", "class": "web", "within_s": 5, "value": 1.0},
        {"kind": "start", "class": "idle", "within_s": 5, "value": None},
        {"kind": "load", "value": 0.9},
    ],
}

#: Number of tasks, class, team, waiting time in seconds, and last event of each job.
JOBS = {
    "j-1": (26, "etl", "ops", 3.2, "done"),
    "j-2": (30, "etl", "ops", 241.0, "done"),
    "j-3": (40, "etl", "two words", 240.0, "done"),
    "j-4": (1, "etl", "two words", 1.0, "lost"),
    "j-5": (90, "etl", "two words", None, "cancelled"),
    "j-6": (2, "web", "ops", 1.0, "done"),
    "j-7": (2, "web", "ops", None, "cancelled before"),
}

EXPECTED_OUTPUT = """\
class                      jobs   done  share   shares of its aims
etl                           5      4  0.800   start 60: 0.75; slowdown 2: 0.5
web                           2      2  1.000   start 5: 1.0
idle                          0      0  1.000   start 5: None

team                       jobs   done  share
two words                     2      1  0.500
ops                           4      4  1.000

largest of class           jobs  tasks   done begun in 240 s
etl                           3     26  1.000          0.667
web                           2      2  1.000          0.500

below {floor}: {below}
"""


def log_lines() -> list[str]:
    """Return a log of `JOBS` in the format of a simulated day, with lines that are no events or malformed events."""
    lines = ["starting", "   0.0 c1 INFO grebestand.api: job_accepted job_id=", "9.0 c1 INFO a: job_started wait_s=1"]

    def add(event: str, **fields: object) -> None:
        lines.append(f"  12.5 controller-1 INFO grebestand.api: {LogEvent(event, **fields)}")

    for job_id, (tasks, class_name, team, wait_s, last) in JOBS.items():
        add("job_accepted", job_id=job_id, kind="array", tasks=tasks, class_=class_name, team=team)
        if wait_s is not None:
            add("job_started", job_id=job_id, wait_s=wait_s, kind="array", tasks=tasks)
            add("job_started", job_id=job_id, wait_s=wait_s + 1000, kind="array", tasks=tasks)
        if last == "cancelled":
            add("job_finished", job_id=job_id, state="cancelled", age_s=12.3)
        if last == "cancelled before":
            add("job_cancelled", job_id=job_id)
        if last in ("done", "cancelled before"):
            add("job_finished", job_id=job_id, state="done", age_s=12.3)
    return lines


def run_tool(directory: Path, report: object, lines: list[str], *options: str) -> int:
    (directory / "report.json").write_text(json.dumps(report))
    (directory / "log").write_text("\n".join(lines))
    status: int = served.main([str(directory / "report.json"), str(directory / "log"), *options])
    return status


@pytest.mark.parametrize(
    ("options", "floor", "below", "status"),
    [
        ((), 0.5, "none", 0),
        (("--floor", "0.6"), 0.6, "two words, largest of web", 1),
        (("--floor", "0.9"), 0.9, "etl, two words, largest of etl, largest of web", 1),
    ],
)
def test_shares_are_printed_and_compared_with_the_floor(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], options: tuple[str, ...], floor: float, below: str, status: int
) -> None:
    assert run_tool(tmp_path, REPORT, log_lines(), *options) == status
    assert capsys.readouterr().out == EXPECTED_OUTPUT.format(floor=floor, below=below)


def test_log_without_events_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_tool(tmp_path, REPORT, ["INFO grebestand.api: accepted j-1: array of 26 tasks of etl for ops"]) == 1
    output = capsys.readouterr().out
    assert "none: the service does not log the class of what it accepts" in output
    assert "no class or no team found" in output and "below" not in output


def test_report_without_classes_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_tool(tmp_path, {"classes": {}, "targets": []}, log_lines()) == 1
    assert "no class or no team found" in capsys.readouterr().out


def test_largest_jobs_are_a_tenth_of_many_jobs() -> None:
    lines = [f"INFO a: job_accepted job_id=j-{i} tasks={i} class=etl team=ops" for i in range(1, 51)]
    (row,) = served.count_largest(served.read_job_log(lines))
    assert (row.jobs, row.tasks, row.done_share, row.started_share) == (5, 46, 0.0, 0.0)
