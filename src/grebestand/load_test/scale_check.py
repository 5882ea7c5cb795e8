"""Checks a scale run against the rules, using the records of hollow workers and users but no state of the scheduler.

A task is on a machine from its event "on" to its event "off". The events of all processes have times of one clock, so
they can be sorted together.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .records import JobRow, TaskRow

#: numbers of CPUs that differ by less count as equal
CPU_TOLERANCE = 1e-6


@dataclass
class ScaleVerdict:
    """The violations of the rules in a run.

    Attributes:
        twice: The number of times a task was put on a machine while it was on another machine.
        lost: The number of jobs that were lost or contradicted, plus events of tasks whose job no user submitted.
        over_quota: The number of times a team's use of CPUs rose above the team's limit.
        unfinished: The number of accepted jobs that the controllers still knew at the end of the run, but that were
            not done; this is no violation.
        faults: A description of each violation.
    """

    twice: int = 0
    lost: int = 0
    over_quota: int = 0
    unfinished: int = 0
    faults: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether no task ran twice at a time, no job was lost, and no team exceeded its limit."""
        return not (self.twice or self.lost or self.over_quota)


class _Checker:
    """Replays the events of all tasks in order of time, and tracks the tasks' machines and the teams' use of CPUs."""

    def __init__(self, jobs: list[JobRow], limits: dict[str, float]) -> None:
        self.verdict = ScaleVerdict()
        self.jobs = {job.id: job for job in jobs}
        self.limits = limits
        #: by job and index of a task, the machines that the task is on; more than one is a violation
        self.machines: dict[tuple[str, int], list[str]] = defaultdict(list)
        #: by team, the CPUs of the tasks that are on a machine
        self.used_cpus: dict[str, float] = defaultdict(float)
        #: by job, the indices of the tasks that are done
        self.done_tasks: dict[str, set[int]] = defaultdict(set)

    def apply(self, row: TaskRow) -> None:
        """Check and apply one event."""
        job = self.jobs.get(row.job)
        if job is None:
            if row.what == "on":
                self.verdict.lost += 1
                self._add_fault(f"{row.job}/{row.index}: on {row.machine}, but no user submitted its job")
        elif row.what == "on":
            self._begin(row, job)
        elif row.what == "off":
            self._end(row, job)

    def _add_fault(self, text: str) -> None:
        self.verdict.faults.append(text)

    def _begin(self, row: TaskRow, job: JobRow) -> None:
        """Put a task on a machine, and check that it is on no other and that its team stays within its limit."""
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
            self._add_fault(f"{job.team}: {after:g} CPUs at {row.at:.2f} s, above its limit of {limit:g}")

    def _end(self, row: TaskRow, job: JobRow) -> None:
        """Remove a task from its machine."""
        self.machines[row.job, row.index].remove(row.machine)
        self.used_cpus[job.team] -= job.cpus
        if row.why == "done":
            self.done_tasks[row.job].add(row.index)

    def check_job(self, job: JobRow) -> None:
        """Check the final state of an accepted job against the responses that its user received."""
        done = len(self.done_tasks[job.id])
        if job.wrong:
            self._add_lost(f"{job.id}: {job.wrong}")
        elif job.done_at is not None:
            if done < job.tasks:
                self._add_lost(f"{job.id}: reported as done, but only {done} of {job.tasks} tasks are done")
        elif job.last != "200":
            self._add_lost(
                f"{job.id}: accepted, but neither done nor known at the end (last status {job.last or 'none'})"
            )
        else:
            self.verdict.unfinished += 1

    def _add_lost(self, text: str) -> None:
        self.verdict.lost += 1
        self._add_fault(text)


def check_run(rows: Iterable[TaskRow], jobs: list[JobRow], limits: dict[str, float]) -> ScaleVerdict:
    """Check a run against the rules.

    Args:
        rows: The events of tasks, in any order.
        jobs: The jobs with the responses that users received.
        limits: The number of CPUs that each team may use at the same time.

    Returns:
        The violations that were found.
    """
    checker = _Checker(jobs, limits)
    # at equal times, an event "off" frees the CPUs before an event "on" uses them
    for row in sorted(rows, key=lambda row: (row.at, row.what != "off")):
        checker.apply(row)
    for job in jobs:
        if job.accepted_at is not None:
            checker.check_job(job)
    return checker.verdict
