"""Holds a scale run against the rules by what hollow workers and users saw, knowing nothing of the scheduler.

A task is on a machine from "on" to "off". Rows of different processes are of one clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .records import JobRow, TaskRow

#: amounts of CPUs that differ by less are equal
CLOSE = 1e-6


@dataclass
class ScaleVerdict:
    """Starts of tasks that were elsewhere, jobs that were lost, times at which a team went over its limit; in words."""

    twice: int = 0
    lost: int = 0
    over_quota: int = 0
    #: accepted jobs that were known at the end, and not done by then
    unfinished: int = 0
    faults: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether nothing ran twice, was lost or exceeded a quota."""
        return not (self.twice or self.lost or self.over_quota)


def check(rows: Iterable[TaskRow], jobs: list[JobRow], limits: dict[str, float]) -> ScaleVerdict:
    """`limits`: CPUs that each team may use at a time."""
    verdict = ScaleVerdict()
    known = {j.id: j for j in jobs}
    #: machines that have a task now, and CPUs of a team that are in use
    on: dict[tuple[str, int], list[str]] = defaultdict(list)
    used: dict[str, float] = defaultdict(float)
    done: dict[str, set[int]] = defaultdict(set)
    # what ends at a moment has ended before what begins then
    for row in sorted(rows, key=lambda r: (r.at, r.what != "off")):
        job = known.get(row.job)
        task = (row.job, row.index)
        if job is None:
            verdict.lost += row.what == "on"
            if row.what == "on":
                verdict.faults.append(f"{row.job}/{row.index}: on {row.machine}, and nobody has submitted it")
            continue
        if row.what == "on":
            elsewhere = [m for m in on[task] if m != row.machine]
            if elsewhere:
                verdict.twice += 1
                verdict.faults.append(
                    f"{row.job}/{row.index}: at {row.at:.2f} s on {row.machine} while on {elsewhere[0]}"
                )
            on[task].append(row.machine)
            before = used[job.team]
            used[job.team] = before + job.cpus
            limit = limits[job.team] + CLOSE
            if before <= limit < used[job.team]:
                verdict.over_quota += 1
                verdict.faults.append(
                    f"{job.team}: {used[job.team]:g} CPUs at {row.at:.2f} s, may have {limits[job.team]:g}"
                )
        elif row.what == "off":
            on[task].remove(row.machine)
            used[job.team] -= job.cpus
            if row.why == "done":
                done[row.job].add(row.index)
    for job in jobs:
        if job.accepted_at is not None:
            _judge(job, len(done[job.id]), verdict)
    return verdict


def _judge(job: JobRow, done: int, verdict: ScaleVerdict) -> None:
    if job.wrong:
        verdict.lost += 1
        verdict.faults.append(f"{job.id}: {job.wrong}")
    elif job.done_at is not None:
        if done < job.tasks:
            verdict.lost += 1
            verdict.faults.append(f"{job.id}: called done, and {done} of {job.tasks} tasks are")
    elif job.last != "200":
        verdict.lost += 1
        verdict.faults.append(f"{job.id}: accepted, and neither done nor known at the end ({job.last or 'no answer'})")
    else:
        verdict.unfinished += 1
