"""Figures of a scale run: what each role used between two samples, and distributions of waits.

Samples are taken about once a second. What a controller uses in an interval counts for the role that it had in it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from .records import JobRow, TaskRow

#: the objectives of a worker process: percent of a core, megabytes, bytes a second in both directions
WORKER_LIMITS = {"cpu_percent": 1.9, "memory_mb": 64.0, "bytes_per_s": 3000.0}
#: groups of urgent jobs: at least and at most so many tasks
JOB_SIZE_GROUPS = ((1, 1), (2, 16), (17, 64), (65, 128))
#: how reports are answered that were answered at all
RESPONSE_STATUSES = ("200", "421", "503")


@dataclass
class Sample:
    """All processes at one moment: seconds of the clock, processor seconds, resident MB, open sockets, own counts."""

    at: float
    leader: str | None
    cpu_s: dict[str, float] = field(default_factory=dict)
    memory_mb: dict[str, float] = field(default_factory=dict)
    sockets: dict[str, int] = field(default_factory=dict)
    counts: dict[str, dict[str, Any]] = field(default_factory=dict)
    #: of each controller, reports by how they were answered, and bytes of reports and answers
    response_counts: dict[str, dict[str, int]] = field(default_factory=dict)
    heartbeat_bytes: dict[str, int] = field(default_factory=dict)


def quantile(values: Sequence[float], share: float) -> float | None:
    """Return the least value that so large a share does not exceed, None without values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else None


def distribution(values: Sequence[float]) -> dict[str, float | None]:
    """Return count, quantiles and maximum of values, in the unit of these."""
    return {
        "count": float(len(values)), "p50": quantile(values, 0.5), "p95": quantile(values, 0.95),
        "p99": quantile(values, 0.99), "max": max(values, default=None),
    }  # fmt: skip


def sum_response_counts(counts: Iterable[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Return how heartbeats were answered by each controller, over all processes of hollow workers."""
    total: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for count in counts:
        for name, by_status in count.get("answers", {}).items():
            for status, number in by_status.items():
                total[name][status] += number
    return {name: dict(by_status) for name, by_status in total.items()}


def _rate(first: Sample, last: Sample, part: str, key: str) -> float:
    """Return how fast a process's counter grows, by the process's own times of counting."""
    before, after = first.counts.get(part, {}), last.counts.get(part, {})
    seconds = after.get("at_s", 0.0) - before.get("at_s", 0.0)
    return float(after.get(key, 0) - before.get(key, 0)) / seconds if seconds > 0 else 0.0


def _reports(a: Sample, b: Sample, name: str) -> dict[str, float]:
    """Reports a second at a controller by their answer, from all that the hollow processes had counted."""
    seconds = max(1e-9, b.at - a.at)
    before, after = a.response_counts.get(name, {}), b.response_counts.get(name, {})
    found = {s: (after.get(s, 0) - before.get(s, 0)) / seconds for s in RESPONSE_STATUSES}
    found["none"] = sum((n - before.get(s, 0)) / seconds for s, n in after.items() if s not in RESPONSE_STATUSES)
    return found


@dataclass
class _RoleUse:
    """What one role used over the intervals in which a process had it."""

    cpu_s: float = 0.0
    #: the seconds of all intervals, added up over the processes of the role
    seconds: float = 0.0
    cpu_share_max: float = 0.0
    memory_mb: float = 0.0
    sockets: int = 0
    #: heartbeats by how they were answered, and bytes of heartbeats and responses; of controllers only
    reports: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    report_bytes: float = 0.0

    def figures(self) -> dict[str, Any]:
        """Return means and maxima."""
        return {
            "cpu_share": self.cpu_s / self.seconds,
            "cpu_share_max": self.cpu_share_max,
            "memory_mb": self.memory_mb,
            "sockets": self.sockets,
        }

    def controller_figures(self) -> dict[str, Any]:
        """Return the rates of heartbeats of a controller's role."""
        answered = sum(count for status, count in self.reports.items() if status != "none")
        return {
            "reports_per_s": {status: count / self.seconds for status, count in self.reports.items()},
            "messages_per_s": answered / self.seconds,
            "bytes_per_s": self.report_bytes / self.seconds,
        }


def window_figures(samples: list[Sample], controllers: list[str], hollow: list[str]) -> dict[str, Any]:
    """Return what each role used between the first and the last sample.

    Args:
        samples: at least two, or there is nothing to return.
        controllers: the names of the controllers.
        hollow: the names of the processes of hollow workers.

    Returns:
        Shares of a core, megabytes, most sockets, and messages and bytes a second, by role.
    """
    if len(samples) < 2:
        return {}
    first, last = samples[0], samples[-1]
    uses: dict[str, _RoleUse] = defaultdict(_RoleUse)
    for before, after in pairwise(samples):
        _add_interval(uses, before, after, controllers)
    roles = {role: use.figures() for role, use in uses.items()}
    for role in ("leader", "answering"):
        if role in roles:
            roles[role] |= uses[role].controller_figures()
    _add_own_counts(roles, first, last, hollow)
    seconds = last.at - first.at
    by_controller = {name: _reports(first, last, name) for name in controllers}
    return {
        "seconds": seconds,
        "roles": roles,
        "reports_per_s": sum(sum(use.reports.values()) for use in uses.values()) / seconds,
        "answered_by": {
            name: sum(rates[status] for status in RESPONSE_STATUSES) for name, rates in by_controller.items()
        },
        "report_bytes_per_s": sum(roles[name]["bytes_per_s"] for name in hollow if name in roles),
    }


def _add_interval(uses: dict[str, _RoleUse], before: Sample, after: Sample, controllers: list[str]) -> None:
    """Add what each process used between two samples to its role."""
    seconds = after.at - before.at
    for name in after.cpu_s:
        used_s = after.cpu_s[name] - before.cpu_s.get(name, 0.0)
        if name not in before.cpu_s or used_s < 0:
            continue  # it began in this interval
        use = uses[_role(name, before, after, controllers)]
        use.cpu_s += used_s
        use.seconds += seconds
        use.cpu_share_max = max(use.cpu_share_max, used_s / seconds)
        use.memory_mb = max(use.memory_mb, after.memory_mb[name])
        use.sockets = max(use.sockets, after.sockets.get(name, 0))
        if name in controllers:
            for status, rate in _reports(before, after, name).items():
                use.reports[status] += rate * seconds
            use.report_bytes += after.heartbeat_bytes.get(name, 0) - before.heartbeat_bytes.get(name, 0)


def _role(name: str, before: Sample, after: Sample, controllers: list[str]) -> str:
    if name not in controllers:
        return name
    return "leader" if name == before.leader == after.leader else "answering"


def _add_own_counts(roles: dict[str, dict[str, Any]], first: Sample, last: Sample, hollow: list[str]) -> None:
    """Add rates of what processes have counted themselves."""
    for name in (*hollow, "worker", "users"):
        if name in roles:
            roles[name]["messages_per_s"] = _rate(first, last, name, "messages")
            roles[name]["bytes_per_s"] = _rate(first, last, name, "sent") + _rate(first, last, name, "received")
    if "state" in roles:
        roles["state"]["messages_per_s"] = _rate(first, last, "state", "requests")
        for key in ("bytes", "writes", "refused"):
            roles["state"][f"{key}_per_s"] = _rate(first, last, "state", key)
    if "meeting" in roles:
        roles["meeting"]["messages_per_s"] = _rate(first, last, "meeting", "messages")
        roles["meeting"]["cloud_requests_per_s"] = _rate(first, last, "meeting", "cloud_requests")


def slope_rows(
    workers: int, controllers: int, rates: dict[str, float], windows: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return a row for each window and role, for lines through runs of several sizes."""
    keys = ("cpu_share", "memory_mb", "sockets", "messages_per_s", "bytes_per_s", "writes_per_s")
    return [
        {
            "window": name, "workers": workers, "controllers": controllers, "role": role,
            "reports_per_s": w["reports_per_s"], "starts_per_s": rates[name], **{k: r[k] for k in keys if k in r},
        }
        for name, w in windows.items() if w
        for role, r in sorted(w["roles"].items())
    ]  # fmt: skip


def count_starts(rows: Iterable[TaskRow], begin: float, end: float) -> int:
    """Return the number of tasks that began to run in this time."""
    return sum(row.what == "run" and begin <= row.at < end for row in rows)


def urgent_waits(rows: Iterable[TaskRow], jobs: list[JobRow], end: float) -> dict[str, Any]:
    """Return how long urgent jobs waited from their acceptance until all of their tasks had begun, in seconds.

    Args:
        rows: what happened to tasks.
        jobs: all jobs.
        end: jobs of which a task never began count as waiting until then.
    """
    wanted = {job.id: job for job in jobs if job.urgent and job.accepted_at is not None}
    first_runs: dict[str, dict[int, float]] = defaultdict(dict)
    for row in rows:
        if row.what == "run" and row.job in wanted:
            begun = first_runs[row.job]
            begun[row.index] = min(row.at, begun.get(row.index, row.at))
    waits: dict[str, list[float]] = {}
    never = 0
    for job in wanted.values():
        assert job.accepted_at is not None
        begun = first_runs[job.id]
        whole = len(begun) == job.tasks
        never += not whole
        wait_s = max(0.0, (max(begun.values()) if whole else end) - job.accepted_at)
        for key in _size_keys(job):
            waits.setdefault(key, []).append(wait_s)
    return {"never": never, "by_size": {key: distribution(values) for key, values in sorted(waits.items())}}


def _size_keys(job: JobRow) -> list[str]:
    """Return the groups that a job's wait counts in."""
    for least, most in JOB_SIZE_GROUPS:
        if least <= job.tasks <= most:
            size = str(least) if least == most else f"{least}-{most}"
            return ["all", size, f"{'gang' if job.gang else 'array'} {size}"]
    return []
