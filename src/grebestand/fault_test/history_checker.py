"""Checks a history against the rules, by nothing but what tasks did and what users were answered.

A gang is known by its class, the same in every cluster. It is on a machine from "on" to "off".
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..emulators.task_execution import TaskEvent
from .history import History

#: cluster and job
Run = tuple[str, str]
#: cluster, job, task and machine
_Place = tuple[str, str, int, str]


@dataclass
class HistoryVerdict:
    """What is right and wrong with a history.

    Attributes:
        gangs: gangs that were accepted and not cancelled.
        whole_once: those that were done whole, in one place only.
        partly: those that were done in part only.
        twice: those that were at two places at a time, or done twice.
        lost: those that were accepted and never done.
        cancelled: gangs that were cancelled.
        faults: each thing that is wrong, in words.
    """

    gangs: int = 0
    whole_once: int = 0
    partly: int = 0
    twice: int = 0
    lost: int = 0
    cancelled: int = 0
    faults: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether no rule was broken and every gang ran whole, once."""
        return not self.faults and self.whole_once == self.gangs

    def line(self) -> str:
        """Return one line with the counts."""
        return (
            f"gangs {self.gangs}, whole once {self.whole_once}, partly {self.partly}, twice {self.twice}, "
            f"lost {self.lost}"
        )


@dataclass
class _GangHistory:
    """The events of one gang in the order of their times: of its tasks, and of its user."""

    task_events: list[TaskEvent] = field(default_factory=list)
    user_events: list[TaskEvent] = field(default_factory=list)

    @property
    def tasks(self) -> int:
        """The number of the gang's tasks."""
        return max((event.tasks for event in (*self.task_events, *self.user_events)), default=0)

    @property
    def accepted(self) -> bool:
        """Whether a cluster has accepted the gang."""
        return any(event.what == "accepted" for event in self.user_events)

    @property
    def final_events(self) -> list[TaskEvent]:
        """The answers that the gang is over."""
        return [event for event in self.user_events if event.what in ("done", "cancelled")]

    def finished_tasks(self) -> dict[Run, set[int]]:
        """Return the tasks that were done, by cluster and job."""
        finished: dict[Run, set[int]] = defaultdict(set)
        for event in self.task_events:
            if event.what == "off" and event.why == "done":
                finished[event.cluster, event.job].add(event.task)
        return finished

    def still_on_machines(self) -> list[TaskEvent]:
        """Return the begin of each attempt that has no end."""
        on: dict[tuple[str, str, int, int, str], TaskEvent] = {}
        for event in self.task_events:
            key = (event.cluster, event.job, event.task, event.attempt, event.machine)
            if event.what == "on":
                on[key] = event
            else:
                on.pop(key, None)
        return list(on.values())


def check(history: History) -> HistoryVerdict:
    """Check a history against the rules and return the verdict."""
    verdict = HistoryVerdict()
    end = max((event.at for event in history.rows), default=0.0)
    for name, gang in sorted(_split_by_gang(history).items()):
        if gang.accepted:
            _GangCheck(name, gang, verdict).check(history.cancel_s, end)
    return verdict


def _split_by_gang(history: History) -> dict[str, _GangHistory]:
    gangs: dict[str, _GangHistory] = defaultdict(_GangHistory)
    for event in sorted(history.rows, key=lambda event: event.at):
        gang = gangs[event.klass]
        (gang.task_events if event.what in ("on", "off") else gang.user_events).append(event)
    return gangs


class _GangCheck:
    """Checks one gang, and adds what it finds to the verdict."""

    def __init__(self, name: str, gang: _GangHistory, verdict: HistoryVerdict) -> None:
        self.name = name
        self.gang = gang
        self.verdict = verdict

    def check(self, cancel_s: float, end: float) -> None:
        """Check the gang; `end` is the time of the last event of the history."""
        faults_before = len(self.verdict.faults)
        final_events = self.gang.final_events
        if len({event.what for event in final_events}) > 1:
            self._add_fault(f": its user was told both {final_events[0].what} and {final_events[-1].what}")
        cancelled = bool(final_events) and final_events[0].what == "cancelled"
        if not cancelled:
            self.verdict.gangs += 1
        overlapping = self._find_overlaps()
        if cancelled:
            self.verdict.cancelled += 1
            self._check_cancellation(final_events[0].at + cancel_s, cancel_s, end)
        else:
            self._check_completion(bool(final_events), overlapping, faults_before)

    def _add_fault(self, text: str) -> None:
        self.verdict.faults.append(f"{self.name}{text}")

    def _check_cancellation(self, deadline: float, cancel_s: float, end: float) -> None:
        """Check that nothing of a cancelled gang is on a machine after the deadline."""
        late = [event for event in self.gang.task_events if event.what == "on" and event.at > deadline]
        if end > deadline:
            late += self.gang.still_on_machines()
        if late:
            self._add_fault(f": on {late[0].machine} more than {cancel_s:g} s after it was cancelled")

    def _check_completion(self, said_done: bool, overlapping: bool, faults_before: int) -> None:
        """Check that a gang was done whole in exactly one place, and count it."""
        finished = self.gang.finished_tasks()
        partly = [run for run, tasks in finished.items() if len(tasks) < self.gang.tasks]
        whole = [run for run, tasks in finished.items() if len(tasks) == self.gang.tasks]
        if partly:
            self._add_fault(f": only part of it was done in {partly[0][0]}")
        if len(whole) > 1:
            self._add_fault(f": done {len(whole)} times, in {', '.join(sorted(cluster for cluster, _ in whole))}")
        if said_done and not whole:
            self._add_fault(": its user was told done, and it was not done whole anywhere")
        if not said_done:
            self._add_fault(": accepted, and never done")
        if overlapping or len(whole) > 1:
            self.verdict.twice += 1
        elif partly or (said_done and not whole):
            self.verdict.partly += 1
        elif not said_done:
            self.verdict.lost += 1
        elif len(self.verdict.faults) == faults_before:
            self.verdict.whole_once += 1

    def _find_overlaps(self) -> bool:
        """Return whether two machines had the same task at a time, or two clusters any of the gang's tasks."""
        on: dict[_Place, int] = defaultdict(int)
        overlapping = False
        for event in self.gang.task_events:
            place = (event.cluster, event.job, event.task, event.machine)
            if event.what == "off":
                on[place] -= 1
                if on[place] <= 0:
                    del on[place]
                continue
            fault = _overlap(event, on)
            if fault is not None:
                self._add_fault(fault)
                overlapping = True
            on[place] += 1
        return overlapping


def _overlap(event: TaskEvent, on: Iterable[_Place]) -> str | None:
    """Return, in words, what a task that begins overlaps with, or None."""
    for cluster, job, task, machine in on:
        if (cluster, job) != (event.cluster, event.job):
            return f": at {event.at:.2f} s on {event.machine} in {event.cluster} while in {cluster}"
        if task == event.task and machine != event.machine:
            return f"/{task}: at {event.at:.2f} s on {event.machine} while on {machine}"
    return None
