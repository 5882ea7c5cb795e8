"""Holds a history against the rules, knowing nothing of the scheduler: only what tasks did and what users were told.

A gang is known by its class, the same in every cluster. It is on a machine from "on" to "off".
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ..emulators.task_execution import TaskEvent
from .history import History

Run = tuple[str, str]  # cluster and job


@dataclass
class HistoryVerdict:
    """Counts of gangs that were accepted, cancelled ones apart, and each thing that is wrong, in words."""

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
        """One line with the counts."""
        return (
            f"gangs {self.gangs}, whole once {self.whole_once}, partly {self.partly}, twice {self.twice}, "
            f"lost {self.lost}"
        )


@dataclass
class _Gang:
    rows: list[TaskEvent] = field(default_factory=list)
    told: list[TaskEvent] = field(default_factory=list)


def check(history: History) -> HistoryVerdict:
    """Hold a history against the rules and return the verdict."""
    verdict = HistoryVerdict()
    gangs: dict[str, _Gang] = defaultdict(_Gang)
    end = max((r.at for r in history.rows), default=0.0)
    for row in sorted(history.rows, key=lambda r: r.at):
        side = gangs[row.klass]
        (side.rows if row.what in ("on", "off") else side.told).append(row)
    for name, gang in sorted(gangs.items()):
        if any(t.what == "accepted" for t in gang.told):
            _judge(name, gang, history.cancel_s, end, verdict)
    return verdict


def _judge(name: str, gang: _Gang, cancel_s: float, end: float, verdict: HistoryVerdict) -> None:
    completed_jobs = [t for t in gang.told if t.what in ("done", "cancelled")]
    before = len(verdict.faults)
    if len({t.what for t in completed_jobs}) > 1:
        verdict.faults.append(f"{name}: its user was told both {completed_jobs[0].what} and {completed_jobs[-1].what}")
    cancelled = bool(completed_jobs) and completed_jobs[0].what == "cancelled"
    if not cancelled:
        verdict.gangs += 1
    wrong = _together(name, gang.rows, end, verdict)
    done = _done(gang.rows)
    tasks = max((r.tasks for r in (*gang.rows, *gang.told)), default=0)
    if cancelled:
        verdict.cancelled += 1
        late = [r for r in gang.rows if r.what == "on" and r.at > completed_jobs[0].at + cancel_s]
        late += [r for r in _still_on(gang.rows) if end > completed_jobs[0].at + cancel_s]
        if late:
            verdict.faults.append(f"{name}: on {late[0].machine} more than {cancel_s:g} s after it was cancelled")
        return
    partly = [run for run, found in done.items() if len(found) < tasks]
    whole = [run for run, found in done.items() if len(found) == tasks]
    if partly:
        verdict.faults.append(f"{name}: only part of it was done in {partly[0][0]}")
    if len(whole) > 1:
        verdict.faults.append(f"{name}: done {len(whole)} times, in {', '.join(sorted(c for c, _ in whole))}")
    if completed_jobs and not whole:
        verdict.faults.append(f"{name}: its user was told done, and it was not done whole anywhere")
    if not completed_jobs:
        verdict.faults.append(f"{name}: accepted, and never done")
    if wrong or len(whole) > 1:
        verdict.twice += 1
    elif partly or (completed_jobs and not whole):
        verdict.partly += 1
    elif not completed_jobs:
        verdict.lost += 1
    elif len(verdict.faults) == before:
        verdict.whole_once += 1


def _done(rows: list[TaskEvent]) -> dict[Run, set[int]]:
    found: dict[Run, set[int]] = defaultdict(set)
    for r in rows:
        if r.what == "off" and r.why == "done":
            found[r.cluster, r.job].add(r.task)
    return found


def _still_on(rows: list[TaskEvent]) -> list[TaskEvent]:
    on: dict[tuple[str, str, int, int, str], TaskEvent] = {}
    for r in rows:
        key = (r.cluster, r.job, r.task, r.attempt, r.machine)
        if r.what == "on":
            on[key] = r
        else:
            on.pop(key, None)
    return list(on.values())


def _together(name: str, rows: list[TaskEvent], end: float, verdict: HistoryVerdict) -> bool:
    """Whether two places had the same task at a time, or two clusters any of it."""
    on: dict[tuple[str, str, int, str], int] = defaultdict(int)
    wrong = False
    for r in rows:
        key = (r.cluster, r.job, r.task, r.machine)
        if r.what == "off":
            on[key] -= 1
            if on[key] <= 0:
                del on[key]
            continue
        for (cluster, job, task, machine), _ in on.items():
            if (cluster, job) != (r.cluster, r.job):
                verdict.faults.append(f"{name}: at {r.at:.2f} s on {r.machine} in {r.cluster} while in {cluster}")
                wrong = True
                break
            if task == r.task and machine != r.machine:
                verdict.faults.append(f"{name}/{task}: at {r.at:.2f} s on {r.machine} while on {machine}")
                wrong = True
                break
        on[key] += 1
    return wrong
