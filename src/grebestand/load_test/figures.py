"""Figures of a scale run: the resources that each role used between two samples, and distributions of waiting times.

A role is a child process or a part of a controller: "leader" or "answering". Samples are taken about once per second.
The resources that a controller uses between two samples count for the role that the controller had in that interval.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from .records import JobRow, TaskRow

#: the most that a worker process should use: percent of a core, megabytes, bytes per second in both directions
WORKER_LIMITS = {"cpu_percent": 1.9, "memory_mb": 64.0, "bytes_per_s": 3000.0}
#: the smallest and the largest number of tasks of the jobs in each size group
JOB_SIZE_GROUPS = ((1, 1), (2, 16), (17, 64), (65, 128))
#: the statuses of responses to heartbeats; other outcomes count as heartbeats without a usable response
RESPONSE_STATUSES = ("200", "421", "503")


@dataclass
class Sample:
    """Measurements of all processes at one time.

    Attributes:
        at: When the sample was taken, in seconds of the run's clock.
        leader: The name of the leader, None if there was none.
        cpu_s: The CPU time that each process has used, in seconds.
        memory_mb: The resident memory of each process, in megabytes.
        sockets: The number of open sockets of each process; empty in most samples.
        counts: The counters that each child process sent last.
        response_counts: For each controller, heartbeats by the status of their response or the kind of failure.
        heartbeat_bytes: For each controller, bytes of heartbeats and their responses.
    """

    at: float
    leader: str | None
    cpu_s: dict[str, float] = field(default_factory=dict)
    memory_mb: dict[str, float] = field(default_factory=dict)
    sockets: dict[str, int] = field(default_factory=dict)
    counts: dict[str, dict[str, Any]] = field(default_factory=dict)
    response_counts: dict[str, dict[str, int]] = field(default_factory=dict)
    heartbeat_bytes: dict[str, int] = field(default_factory=dict)


def quantile(values: Sequence[float], share: float) -> float | None:
    """Return the smallest value that at least this share of all values does not exceed, or None without values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else None


def distribution(values: Sequence[float]) -> dict[str, float | None]:
    """Return count, quantiles and maximum of values, in the unit of the values."""
    return {
        "count": float(len(values)), "p50": quantile(values, 0.5), "p95": quantile(values, 0.95),
        "p99": quantile(values, 0.99), "max": max(values, default=None),
    }  # fmt: skip


def sum_response_counts(counts: Iterable[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Add up the heartbeats of all processes of hollow workers.

    Args:
        counts: The counters of each process of hollow workers.

    Returns:
        For each controller, the number of heartbeats by the status of their response or the kind of failure.
    """
    total: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for count in counts:
        for name, by_status in count.get("answers", {}).items():
            for status, number in by_status.items():
                total[name][status] += number
    return {name: dict(by_status) for name, by_status in total.items()}


def _rate(first: Sample, last: Sample, part: str, key: str) -> float:
    """Return the growth per second of a counter between two samples.

    The duration is that between the times at which the process sent the counters, as a sample may contain counters
    that are up to a second old.

    Args:
        first: The earlier sample.
        last: The later sample.
        part: The name of the process.
        key: The name of the counter.
    """
    before, after = first.counts.get(part, {}), last.counts.get(part, {})
    seconds = after.get("at_s", 0.0) - before.get("at_s", 0.0)
    return float(after.get(key, 0) - before.get(key, 0)) / seconds if seconds > 0 else 0.0


def _heartbeat_rates(first: Sample, last: Sample, name: str) -> dict[str, float]:
    """Return the heartbeats per second to a controller between two samples, as the hollow workers counted them.

    Returns:
        Rates by the status of the response; "none" stands for all heartbeats without one of `RESPONSE_STATUSES`.
    """
    seconds = max(1e-9, last.at - first.at)
    before, after = first.response_counts.get(name, {}), last.response_counts.get(name, {})
    rates = {status: (after.get(status, 0) - before.get(status, 0)) / seconds for status in RESPONSE_STATUSES}
    rates["none"] = sum(
        (count - before.get(status, 0)) / seconds for status, count in after.items() if status not in RESPONSE_STATUSES
    )
    return rates


@dataclass
class _RoleUse:
    """The resources used by the processes of one role, over all intervals in which they had the role.

    Attributes:
        cpu_s: CPU time, in seconds.
        seconds: The duration of all intervals, added up over the processes of the role.
        cpu_share_max: The largest share of a core that a process used in an interval.
        memory_mb: The largest resident memory of a process, in megabytes.
        sockets: The largest number of open sockets of a process.
        heartbeats: Heartbeats by the status of their response, for roles of controllers only.
        heartbeat_bytes: Bytes of heartbeats and their responses, for roles of controllers only.
    """

    cpu_s: float = 0.0
    seconds: float = 0.0
    cpu_share_max: float = 0.0
    memory_mb: float = 0.0
    sockets: int = 0
    heartbeats: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    heartbeat_bytes: float = 0.0

    def figures(self) -> dict[str, Any]:
        """Return the mean and the maximum share of a core, and the maxima of memory and sockets."""
        return {
            "cpu_share": self.cpu_s / self.seconds,
            "cpu_share_max": self.cpu_share_max,
            "memory_mb": self.memory_mb,
            "sockets": self.sockets,
        }

    def controller_figures(self) -> dict[str, Any]:
        """Return the rates of heartbeats and their bytes, per second and controller."""
        answered = sum(count for status, count in self.heartbeats.items() if status != "none")
        return {
            "reports_per_s": {status: count / self.seconds for status, count in self.heartbeats.items()},
            "messages_per_s": answered / self.seconds,
            "bytes_per_s": self.heartbeat_bytes / self.seconds,
        }


def window_figures(samples: list[Sample], controllers: list[str], hollow: list[str]) -> dict[str, Any]:
    """Return the resources that each role used between the first and the last sample.

    Args:
        samples: The samples, in order of time.
        controllers: The names of the controllers.
        hollow: The names of the processes of hollow workers.

    Returns:
        The duration in seconds, rates of heartbeats per second, and by role: shares of a core, megabytes, the largest
        number of sockets, and messages and bytes per second. Empty with fewer than two samples.
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
    by_controller = {name: _heartbeat_rates(first, last, name) for name in controllers}
    return {
        "seconds": seconds,
        "roles": roles,
        "reports_per_s": sum(sum(use.heartbeats.values()) for use in uses.values()) / seconds,
        "answered_by": {
            name: sum(rates[status] for status in RESPONSE_STATUSES) for name, rates in by_controller.items()
        },
        "report_bytes_per_s": sum(roles[name]["bytes_per_s"] for name in hollow if name in roles),
    }


def _add_interval(uses: dict[str, _RoleUse], before: Sample, after: Sample, controllers: list[str]) -> None:
    """Add the resources that each process used between two samples to the process's role."""
    seconds = after.at - before.at
    for name in after.cpu_s:
        used_s = after.cpu_s[name] - before.cpu_s.get(name, 0.0)
        if name not in before.cpu_s or used_s < 0:
            continue  # the process was started or restarted in this interval
        use = uses[_role(name, before, after, controllers)]
        use.cpu_s += used_s
        use.seconds += seconds
        use.cpu_share_max = max(use.cpu_share_max, used_s / seconds)
        use.memory_mb = max(use.memory_mb, after.memory_mb[name])
        use.sockets = max(use.sockets, after.sockets.get(name, 0))
        if name in controllers:
            for status, rate in _heartbeat_rates(before, after, name).items():
                use.heartbeats[status] += rate * seconds
            use.heartbeat_bytes += after.heartbeat_bytes.get(name, 0) - before.heartbeat_bytes.get(name, 0)


def _role(name: str, before: Sample, after: Sample, controllers: list[str]) -> str:
    """Return the role of a process between two samples: its own name, or the role of a controller.

    A controller that led at only one of the two samples counts as "answering".
    """
    if name not in controllers:
        return name
    return "leader" if name == before.leader == after.leader else "answering"


def _add_own_counts(roles: dict[str, dict[str, Any]], first: Sample, last: Sample, hollow: list[str]) -> None:
    """Add the rates of the counters that child processes send to the figures of their roles."""
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
    """Return a row for each window and role.

    The rows of runs of several sizes give the slopes by which the use of resources grows with the size.

    Args:
        workers: The number of hollow workers.
        controllers: The number of controllers.
        rates: The starts of tasks per second in each window.
        windows: The figures of each window; a window without figures is left out.
    """
    keys = ("cpu_share", "memory_mb", "sockets", "messages_per_s", "bytes_per_s", "writes_per_s")
    return [
        {
            "window": name, "workers": workers, "controllers": controllers, "role": role,
            "reports_per_s": window["reports_per_s"], "starts_per_s": rates[name],
            **{key: usage[key] for key in keys if key in usage},
        }
        for name, window in windows.items() if window
        for role, usage in sorted(window["roles"].items())
    ]  # fmt: skip


def count_starts(rows: Iterable[TaskRow], begin: float, end: float) -> int:
    """Return the number of tasks that began to run from `begin` until before `end`, in seconds of the run's clock."""
    return sum(row.what == "run" and begin <= row.at < end for row in rows)


def urgent_waits(rows: Iterable[TaskRow], jobs: list[JobRow], end: float) -> dict[str, Any]:
    """Return the distributions of the time from the acceptance of urgent jobs until all of their tasks had begun.

    Args:
        rows: The events of tasks.
        jobs: All jobs.
        end: The time until which a job with a task that never began counts as waiting, in seconds of the run's clock.

    Returns:
        The number of jobs with a task that never began, and the waiting times in seconds by group of sizes.
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
    """Return the groups that the waiting time of a job counts in: all jobs, its size, and its kind with its size."""
    for least, most in JOB_SIZE_GROUPS:
        if least <= job.tasks <= most:
            size = str(least) if least == most else f"{least}-{most}"
            return ["all", size, f"{'gang' if job.gang else 'array'} {size}"]
    return []
