"""Checks that each accepted gang in a history ran exactly once, in one cluster.

The checker uses only observed events: starts and ends of tasks on machines, and responses to users. A gang is
identified by its job class, which is the same in every cluster, while job ids are unique within one cluster only. A
task occupies a machine from its "on" event to its "off" event.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..emulators.task_execution import TaskEvent
from .history import History

#: Cluster and job id.
ClusterJob = tuple[str, str]
#: Cluster, job id, task index and machine.
_TaskLocation = tuple[str, str, int, str]


@dataclass
class HistoryVerdict:
    """The result of checking a history.

    Each gang that was accepted and not cancelled is counted in at most one of `completed_once`, `partial`, `duplicated`
    and `lost`.

    Attributes:
        gangs: Number of gangs that were accepted and not cancelled.
        completed_once: Gangs all of whose tasks completed, in one cluster only and without a violation.
        partial: Gangs of which only some tasks completed.
        duplicated: Gangs that ran in two places at the same time, or completed more than once.
        lost: Gangs that were accepted and never reported done.
        cancelled: Number of gangs that were cancelled.
        violations: One description of each violated rule.
    """

    gangs: int = 0
    completed_once: int = 0
    partial: int = 0
    duplicated: int = 0
    lost: int = 0
    cancelled: int = 0
    violations: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether no rule was violated and every gang completed exactly once."""
        return not self.violations and self.completed_once == self.gangs

    def summary(self) -> str:
        """Return one line with the counts of gangs."""
        return (
            f"gangs {self.gangs}, whole once {self.completed_once}, partly {self.partial}, twice {self.duplicated}, "
            f"lost {self.lost}"
        )


@dataclass
class _GangHistory:
    """The events of one gang, ordered by time.

    Attributes:
        task_events: Starts and ends of the gang's tasks on machines.
        user_events: Requests and responses of the gang's user.
    """

    task_events: list[TaskEvent] = field(default_factory=list)
    user_events: list[TaskEvent] = field(default_factory=list)

    @property
    def task_count(self) -> int:
        """Number of tasks of the gang."""
        return max((event.tasks for event in (*self.task_events, *self.user_events)), default=0)

    @property
    def accepted(self) -> bool:
        """Whether a cluster accepted the gang."""
        return any(event.what == "accepted" for event in self.user_events)

    @property
    def final_events(self) -> list[TaskEvent]:
        """Responses to the user that reported the gang done or cancelled."""
        return [event for event in self.user_events if event.what in ("done", "cancelled")]

    def completed_tasks(self) -> dict[ClusterJob, set[int]]:
        """Return the indices of completed tasks, by cluster and job id."""
        completed: dict[ClusterJob, set[int]] = defaultdict(set)
        for event in self.task_events:
            if event.what == "off" and event.why == "done":
                completed[event.cluster, event.job].add(event.task)
        return completed

    def still_on_machines(self) -> list[TaskEvent]:
        """Return the "on" event of each attempt that has no "off" event."""
        on: dict[tuple[str, str, int, int, str], TaskEvent] = {}
        for event in self.task_events:
            key = (event.cluster, event.job, event.task, event.attempt, event.machine)
            if event.what == "on":
                on[key] = event
            else:
                on.pop(key, None)
        return list(on.values())


def check_history(history: History) -> HistoryVerdict:
    """Check each accepted gang of a history and return the verdict."""
    verdict = HistoryVerdict()
    end = max((event.at for event in history.events), default=0.0)
    for job_class, gang in sorted(_split_by_gang(history).items()):
        if gang.accepted:
            _GangCheck(job_class, gang, verdict).check(history.cancel_s, end)
    return verdict


def _split_by_gang(history: History) -> dict[str, _GangHistory]:
    gangs: dict[str, _GangHistory] = defaultdict(_GangHistory)
    for event in sorted(history.events, key=lambda event: event.at):
        gang = gangs[event.klass]
        (gang.task_events if event.what in ("on", "off") else gang.user_events).append(event)
    return gangs


class _GangCheck:
    """Checks one gang and adds violations and counts to the verdict."""

    def __init__(self, job_class: str, gang: _GangHistory, verdict: HistoryVerdict) -> None:
        self.job_class = job_class
        self.gang = gang
        self.verdict = verdict

    def check(self, cancel_s: float, end: float) -> None:
        """Check the gang.

        Args:
            cancel_s: Time within which a cancelled gang must have left its machines, in seconds.
            end: Time of the last event of the history, in seconds.
        """
        violations_before = len(self.verdict.violations)
        final_events = self.gang.final_events
        if len({event.what for event in final_events}) > 1:
            self._add_violation(f": reported to its user as both {final_events[0].what} and {final_events[-1].what}")
        cancelled = bool(final_events) and final_events[0].what == "cancelled"
        if not cancelled:
            self.verdict.gangs += 1
        overlapping = self._find_overlaps()
        if cancelled:
            self.verdict.cancelled += 1
            self._check_cancellation(final_events[0].at + cancel_s, cancel_s, end)
        else:
            self._check_completion(bool(final_events), overlapping, violations_before)

    def _add_violation(self, text: str) -> None:
        self.verdict.violations.append(f"{self.job_class}{text}")

    def _check_cancellation(self, deadline: float, cancel_s: float, end: float) -> None:
        """Check that no task of a cancelled gang starts, or is still on a machine, after the deadline."""
        late = [event for event in self.gang.task_events if event.what == "on" and event.at > deadline]
        if end > deadline:
            late += self.gang.still_on_machines()
        if late:
            self._add_violation(f": on {late[0].machine} more than {cancel_s:g} s after it was cancelled")

    def _check_completion(self, reported_done: bool, overlapping: bool, violations_before: int) -> None:
        """Check that all tasks of the gang completed in exactly one cluster, and count the gang.

        Args:
            reported_done: Whether the gang's user received the response that the gang is done.
            overlapping: Whether the gang ran in two places at the same time.
            violations_before: Number of violations in the verdict before this gang was checked.
        """
        completed = self.gang.completed_tasks()
        task_count = self.gang.task_count
        partial = [cluster for (cluster, _), tasks in completed.items() if len(tasks) < task_count]
        whole = [cluster for (cluster, _), tasks in completed.items() if len(tasks) == task_count]
        if partial:
            self._add_violation(f": only some of its tasks completed in {partial[0]}")
        if len(whole) > 1:
            self._add_violation(f": completed {len(whole)} times, in {', '.join(sorted(whole))}")
        if reported_done and not whole:
            self._add_violation(": reported done to its user, but its tasks did not all complete in any cluster")
        if not reported_done:
            self._add_violation(": accepted, but never reported done")
        if overlapping or len(whole) > 1:
            self.verdict.duplicated += 1
        elif partial or (reported_done and not whole):
            self.verdict.partial += 1
        elif not reported_done:
            self.verdict.lost += 1
        elif len(self.verdict.violations) == violations_before:
            self.verdict.completed_once += 1

    def _find_overlaps(self) -> bool:
        """Return whether a task was on two machines at the same time, or tasks of the gang were in two clusters."""
        occupied: dict[_TaskLocation, int] = defaultdict(int)
        overlapping = False
        for event in self.gang.task_events:
            location = (event.cluster, event.job, event.task, event.machine)
            if event.what == "off":
                occupied[location] -= 1
                if occupied[location] <= 0:
                    del occupied[location]
                continue
            overlap = _describe_overlap(event, occupied)
            if overlap is not None:
                self._add_violation(overlap)
                overlapping = True
            occupied[location] += 1
        return overlapping


def _describe_overlap(event: TaskEvent, occupied: Iterable[_TaskLocation]) -> str | None:
    """Return a description of the first location that conflicts with a starting task, or None."""
    for cluster, job, task, machine in occupied:
        if (cluster, job) != (event.cluster, event.job):
            return f": at {event.at:.2f} s on {event.machine} in {event.cluster} while in {cluster}"
        if task == event.task and machine != event.machine:
            return f"/{task}: at {event.at:.2f} s on {event.machine} while on {machine}"
    return None
