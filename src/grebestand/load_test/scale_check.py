"""Checks a scale run against the rules by what hollow workers and users saw, and nothing of the scheduler.

A task is on a machine from "on" to "off". Rows of different processes are of one clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .records import JobRow, TaskRow

#: amounts of CPUs that differ by less are equal
CPU_TOLERANCE = 1e-6


@dataclass
class ScaleVerdict:
    """What is wrong with a run.

    Attributes:
        twice: starts of tasks that were on another machine at the time.
        lost: jobs that were lost.
        over_quota: times at which a team went over its limit.
        unfinished: accepted jobs that were known at the end, and not done by then.
        faults: each thing that is wrong, in words.
    """

    twice: int = 0
    lost: int = 0
    over_quota: int = 0
    unfinished: int = 0
    faults: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether nothing ran twice, was lost or exceeded a quota."""
        return not (self.twice or self.lost or self.over_quota)


class _Checker:
    """Follows all tasks in the order of time: where they are, and what their teams use."""

    def __init__(self, jobs: list[JobRow], limits: dict[str, float]) -> None:
        self.verdict = ScaleVerdict()
        self.jobs = {job.id: job for job in jobs}
        self.limits = limits
        #: the machines that a task is on, by job and index
        self.machines: dict[tuple[str, int], list[str]] = defaultdict(list)
        self.used_cpus: dict[str, float] = defaultdict(float)
        self.done_tasks: dict[str, set[int]] = defaultdict(set)

    def apply(self, row: TaskRow) -> None:
        """Check and apply one row."""
        job = self.jobs.get(row.job)
        if job is None:
            if row.what == "on":
                self.verdict.lost += 1
                self._add_fault(f"{row.job}/{row.index}: on {row.machine}, and nobody has submitted it")
        elif row.what == "on":
            self._begin(row, job)
        elif row.what == "off":
            self._end(row, job)

    def _add_fault(self, text: str) -> None:
        self.verdict.faults.append(text)

    def _begin(self, row: TaskRow, job: JobRow) -> None:
        machines = self.machines[row.job, row.index]
        elsewhere = [machine for machine in machines if machine != row.machine]
        if elsewhere:
            self.verdict.twice += 1
            self._add_fault(f"{row.job}/{row.index}: at {row.at:.2f} s on {row.machine} while on {elsewhere[0]}")
        machines.append(row.machine)
        before = self.used_cpus[job.team]
        after = self.used_cpus[job.team] = before + job.cpus
        limit = self.limits[job.team]
        if before <= limit + CPU_TOLERANCE < after:
            self.verdict.over_quota += 1
            self._add_fault(f"{job.team}: {after:g} CPUs at {row.at:.2f} s, may have {limit:g}")

    def _end(self, row: TaskRow, job: JobRow) -> None:
        self.machines[row.job, row.index].remove(row.machine)
        self.used_cpus[job.team] -= job.cpus
        if row.why == "done":
            self.done_tasks[row.job].add(row.index)

    def judge(self, job: JobRow) -> None:
        """Check what became of an accepted job."""
        done = len(self.done_tasks[job.id])
        if job.wrong:
            self._add_lost(f"{job.id}: {job.wrong}")
        elif job.done_at is not None:
            if done < job.tasks:
                self._add_lost(f"{job.id}: called done, and {done} of {job.tasks} tasks are")
        elif job.last != "200":
            self._add_lost(f"{job.id}: accepted, and neither done nor known at the end ({job.last or 'no answer'})")
        else:
            self.verdict.unfinished += 1

    def _add_lost(self, text: str) -> None:
        self.verdict.lost += 1
        self._add_fault(text)


def check_run(rows: Iterable[TaskRow], jobs: list[JobRow], limits: dict[str, float]) -> ScaleVerdict:
    """Check a run.

    Args:
        rows: what happened to tasks, in any order.
        jobs: what users saw of their jobs.
        limits: CPUs that each team may use at a time.
    """
    checker = _Checker(jobs, limits)
    # what ends at a moment has ended before what begins then
    for row in sorted(rows, key=lambda row: (row.at, row.what != "off")):
        checker.apply(row)
    for job in jobs:
        if job.accepted_at is not None:
            checker.judge(job)
    return checker.verdict
