#!/usr/bin/env python3
"""Prints the share of jobs that a simulated day completed, by job class and by team.

    python3 tools/served.py REPORT LOG [--floor 0.5]

REPORT is the JSON report of a simulated day, and LOG the output of the same run with the log level `info`.

The shares of classes come from the report: completed jobs among those that their users did not cancel, followed by the
values of the class's objectives. The shares of teams come from the log events `job_accepted`, `job_finished` and
`job_cancelled`; a job whose last event was lost in a crash counts as not completed. The largest tenth of each class's
jobs, and at least three of them, are also counted on their own: `job_accepted` has the class and the number of tasks,
and `job_started` the waiting time.

The exit status is 1 if a class, a team or the largest jobs of a class have a share below the floor, or if no class or
no team was found.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from grebestand.log_events import parse_log_event

DEFAULT_FLOOR = 0.5

#: Time within which the largest jobs of a class should have started, in seconds.
START_WITHIN_S = 240.0

#: The largest jobs of a class are its jobs divided by this number, but at least `MIN_LARGEST`.
LARGEST_DIVISOR = 10
MIN_LARGEST = 3

STATE_DONE = "done"
STATE_CANCELLED = "cancelled"


@dataclass(frozen=True)
class JobSize:
    """Number of tasks and class of an accepted job."""

    tasks: int
    class_name: str


@dataclass
class JobLog:
    """Data of the jobs in a log, by job id.

    Attributes:
        teams: Team of each accepted job.
        sizes: Number of tasks and class of each accepted job, if logged.
        waits_s: Waiting time before the first start of each job, in seconds.
        done: Ids of completed jobs.
        cancelled: Ids of cancelled jobs.
    """

    teams: dict[str, str] = field(default_factory=dict)
    sizes: dict[str, JobSize] = field(default_factory=dict)
    waits_s: dict[str, float] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)

    def is_counted(self, job_id: str) -> bool:
        """Return whether a job is counted: it was not cancelled, or completed before the cancellation took effect."""
        return job_id not in self.cancelled or job_id in self.done

    def add(self, event: str, fields: dict[str, str]) -> None:
        """Add one event of the log; events of other kinds and events without a job id are ignored."""
        job_id = fields.get("job_id")
        if job_id is None:
            return
        if event == "job_accepted":
            self._accept(job_id, fields)
        elif event == "job_started":
            wait_s = _parse_number(fields.get("wait_s"))
            if wait_s is not None:
                self.waits_s.setdefault(job_id, wait_s)
        elif event == "job_finished" and fields.get("state") == STATE_DONE:
            self.done.add(job_id)
        elif event == "job_cancelled" or (event == "job_finished" and fields.get("state") == STATE_CANCELLED):
            self.cancelled.add(job_id)

    def _accept(self, job_id: str, fields: dict[str, str]) -> None:
        if "team" not in fields:
            return
        self.teams[job_id] = fields["team"]
        tasks = fields.get("tasks", "")
        if tasks.isdecimal() and "class" in fields:
            self.sizes[job_id] = JobSize(int(tasks), fields["class"])


@dataclass
class ServedCount:
    """Number of jobs, and number of completed jobs among them."""

    jobs: int = 0
    done: int = 0

    @property
    def share(self) -> float:
        """Share of completed jobs; 1.0 without jobs."""
        return self.done / self.jobs if self.jobs else 1.0


@dataclass(frozen=True)
class LargestJobs:
    """Results of the largest jobs of a class.

    Attributes:
        class_name: Name of the class.
        jobs: Number of these jobs.
        tasks: Number of tasks of the smallest of these jobs.
        done_share: Share of these jobs that completed.
        started_share: Share of these jobs that started within `START_WITHIN_S`.
    """

    class_name: str
    jobs: int
    tasks: int
    done_share: float
    started_share: float


def _parse_number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def read_job_log(lines: Iterable[str]) -> JobLog:
    """Return the data of the jobs in the events of a log."""
    log = JobLog()
    for line in lines:
        parsed = parse_log_event(line)
        if parsed is not None:
            log.add(*parsed)
    return log


def count_classes(report: dict[str, Any]) -> dict[str, ServedCount]:
    """Count the jobs of each class in a report, without those that their users cancelled."""
    return {
        name: ServedCount(jobs=counts["jobs"] - counts.get("cancelled", 0), done=counts["done"])
        for name, counts in report["classes"].items()
    }


def count_teams(log: JobLog) -> dict[str, ServedCount]:
    """Count the jobs of each team, sorted by the share of completed jobs from the lowest on."""
    teams: defaultdict[str, ServedCount] = defaultdict(ServedCount)
    for job_id, team in log.teams.items():
        if log.is_counted(job_id):
            teams[team].jobs += 1
            teams[team].done += job_id in log.done
    return dict(sorted(teams.items(), key=lambda item: item[1].share))


def count_largest(log: JobLog) -> list[LargestJobs]:
    """Count the largest jobs of each class, sorted by the name of the class."""
    results = []
    for class_name in sorted({size.class_name for size in log.sizes.values()}):
        jobs = sorted(
            (size.tasks, job_id)
            for job_id, size in log.sizes.items()
            if size.class_name == class_name and log.is_counted(job_id)
        )
        largest = jobs[-max(MIN_LARGEST, len(jobs) // LARGEST_DIVISOR) :]
        if largest:
            results.append(_summarize_largest(log, class_name, largest))
    return results


def _summarize_largest(log: JobLog, class_name: str, largest: Sequence[tuple[int, str]]) -> LargestJobs:
    done = sum(job_id in log.done for _, job_id in largest)
    started = sum(log.waits_s.get(job_id, float("inf")) <= START_WITHIN_S for _, job_id in largest)
    smallest_tasks, _ = largest[0]
    return LargestJobs(class_name, len(largest), smallest_tasks, done / len(largest), started / len(largest))


def print_classes(report: dict[str, Any], classes: dict[str, ServedCount]) -> None:
    """Print a line for each class, with the values of the class's objectives."""
    print(f"{'class':24} {'jobs':>6} {'done':>6} {'share':>6}   shares of its aims")
    for name, count in classes.items():
        objectives = "; ".join(
            f"{target['kind']} {target.get('within_s') or target.get('times')}: {target['value']}"
            for target in report["targets"]
            if target.get("class") == name
        )
        print(f"{name:24} {count.jobs:6d} {count.done:6d} {count.share:6.3f}   {objectives}")


def print_teams(teams: dict[str, ServedCount]) -> None:
    """Print a line for each team."""
    print(f"\n{'team':24} {'jobs':>6} {'done':>6} {'share':>6}")
    for team, count in teams.items():
        print(f"{team:24} {count.jobs:6d} {count.done:6d} {count.share:6.3f}")


def print_largest(log: JobLog, largest: Iterable[LargestJobs]) -> None:
    """Print a line for the largest jobs of each class."""
    started_title = f"begun in {START_WITHIN_S:.0f} s"
    print(f"\n{'largest of class':24} {'jobs':>6} {'tasks':>6} {'done':>6} {started_title:>14}")
    for row in largest:
        print(f"{row.class_name:24} {row.jobs:6d} {row.tasks:6d} {row.done_share:6.3f} {row.started_share:14.3f}")
    if not log.sizes:
        print("none: the service does not log the class of what it accepts")


def names_below(
    floor: float, classes: dict[str, ServedCount], teams: dict[str, ServedCount], largest: Iterable[LargestJobs]
) -> list[str]:
    """Return the names of classes, teams and largest jobs of a class with a share below the floor."""
    return [
        *(name for name, count in classes.items() if count.share < floor),
        *(team for team, count in teams.items() if count.share < floor),
        *(f"largest of {row.class_name}" for row in largest if min(row.done_share, row.started_share) < floor),
    ]


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line, by default that of the process."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("report", type=Path)
    parser.add_argument("log", type=Path)
    parser.add_argument("--floor", type=float, default=DEFAULT_FLOOR)
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the shares of a simulated day and return the exit status."""
    options = parse_arguments(arguments)
    report = json.loads(options.report.read_text())
    log = read_job_log(options.log.read_text(errors="replace").splitlines())
    classes, teams, largest = count_classes(report), count_teams(log), count_largest(log)
    print_classes(report, classes)
    print_teams(teams)
    print_largest(log, largest)
    if not teams or not classes:
        print("no class or no team found: was the day run with --log info and --report?")
        return 1
    below = names_below(options.floor, classes, teams, largest)
    print(f"\nbelow {options.floor}: {', '.join(below) or 'none'}")
    return 1 if below else 0


if __name__ == "__main__":
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)  # exit without a traceback when the reader of the output exits
    sys.exit(main())
