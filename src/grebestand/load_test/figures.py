"""Figures of a scale run: what each role used between two samples, and distributions of waits.

Samples are taken about once a second. A controller's part in an interval counts for the role that it had in it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from .records import JobRow, TaskRow

#: a worker process is held against these: percent of a core, megabytes, bytes a second in both directions
WORKER_LIMITS = {"cpu_percent": 1.9, "memory_mb": 64.0, "bytes_per_s": 3000.0}
SIZES = ((1, 1), (2, 16), (17, 64), (65, 128))
#: how reports are answered that were answered at all
STATUSES = ("200", "421", "503")


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
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    bytes_at: dict[str, int] = field(default_factory=dict)


def quantile(values: Sequence[float], share: float) -> float | None:
    """The least value that so large a share does not exceed."""
    found = sorted(values)
    return found[max(0, math.ceil(share * len(found)) - 1)] if found else None


def spread(values: Sequence[float]) -> dict[str, float | None]:
    """Seconds."""
    return {
        "count": float(len(values)), "p50": quantile(values, 0.5), "p95": quantile(values, 0.95),
        "p99": quantile(values, 0.99), "max": max(values, default=None),
    }  # fmt: skip


def answers(counts: Iterable[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Of each controller, how reports were answered, over all hollow processes."""
    total: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for c in counts:
        for name, found in c.get("answers", {}).items():
            for status, n in found.items():
                total[name][status] += n
    return {n: dict(f) for n, f in total.items()}


def _rate(a: Sample, b: Sample, part: str, key: str) -> float:
    first, last = a.counts.get(part, {}), b.counts.get(part, {})
    seconds = last.get("at_s", 0.0) - first.get("at_s", 0.0)
    return float(last.get(key, 0) - first.get(key, 0)) / seconds if seconds > 0 else 0.0


def _reports(a: Sample, b: Sample, name: str) -> dict[str, float]:
    """Reports a second at a controller by their answer, from all that the hollow processes had counted."""
    seconds = max(1e-9, b.at - a.at)
    before, after = a.answers.get(name, {}), b.answers.get(name, {})
    found = {s: (after.get(s, 0) - before.get(s, 0)) / seconds for s in STATUSES}
    found["none"] = sum((n - before.get(s, 0)) / seconds for s, n in after.items() if s not in STATUSES)
    return found


def window(samples: list[Sample], controllers: list[str], hollow: list[str]) -> dict[str, Any]:
    """What each role used in the mean: shares of a core, MB, sockets at the most, messages and bytes a second."""
    if len(samples) < 2:
        return {}
    first, last = samples[0], samples[-1]
    cpu: dict[str, float] = defaultdict(float)
    lived: dict[str, float] = defaultdict(float)
    memory: dict[str, float] = defaultdict(float)
    sockets: dict[str, int] = defaultdict(int)
    highest: dict[str, float] = defaultdict(float)
    reports: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    report_bytes: dict[str, float] = defaultdict(float)
    for a, b in pairwise(samples):
        seconds = b.at - a.at
        for name in b.cpu_s:
            used = b.cpu_s[name] - a.cpu_s.get(name, 0.0)
            if name not in a.cpu_s or used < 0:
                continue  # it began in this interval
            role = name if name not in controllers else "leader" if name == a.leader == b.leader else "answering"
            cpu[role] += used
            lived[role] += seconds
            highest[role] = max(highest[role], used / seconds)
            memory[role] = max(memory[role], b.memory_mb[name])
            sockets[role] = max(sockets[role], b.sockets.get(name, 0))
            if name in controllers:
                for status, rate in _reports(a, b, name).items():
                    reports[role][status] += rate * seconds
                report_bytes[role] += b.bytes_at.get(name, 0) - a.bytes_at.get(name, 0)
    roles: dict[str, dict[str, Any]] = {}
    for role in cpu:
        roles[role] = {
            "cpu_share": cpu[role] / lived[role], "cpu_share_max": highest[role], "memory_mb": memory[role],
            "sockets": sockets[role],
        }  # fmt: skip
        if role in ("leader", "answering"):
            roles[role]["reports_per_s"] = {s: n / lived[role] for s, n in reports[role].items()}
            roles[role]["messages_per_s"] = sum(n for s, n in reports[role].items() if s != "none") / lived[role]
            roles[role]["bytes_per_s"] = report_bytes[role] / lived[role]
    for name in (*hollow, "worker", "users"):
        if name in roles:
            roles[name]["messages_per_s"] = _rate(first, last, name, "messages")
            roles[name]["bytes_per_s"] = _rate(first, last, name, "sent") + _rate(first, last, name, "received")
    if "state" in roles:
        roles["state"]["messages_per_s"] = _rate(first, last, "state", "requests")
        roles["state"]["bytes_per_s"] = _rate(first, last, "state", "bytes")
        roles["state"]["writes_per_s"] = _rate(first, last, "state", "writes")
        roles["state"]["refused_per_s"] = _rate(first, last, "state", "refused")
    if "meeting" in roles:
        roles["meeting"]["messages_per_s"] = _rate(first, last, "meeting", "messages")
        roles["meeting"]["cloud_requests_per_s"] = _rate(first, last, "meeting", "cloud_requests")
    seconds = last.at - first.at
    by_controller = {n: _reports(first, last, n) for n in controllers}
    return {
        "seconds": seconds,
        "roles": roles,
        "reports_per_s": sum(sum(r.values()) for r in reports.values()) / seconds,
        "answered_by": {n: sum(found[s] for s in STATUSES) for n, found in by_controller.items()},
        "report_bytes_per_s": sum(roles[h]["bytes_per_s"] for h in hollow if h in roles),
    }


def slopes(workers: int, controllers: int, rates: dict[str, float], windows: dict[str, Any]) -> list[dict[str, Any]]:
    """A row for each window and role, for lines through runs of several sizes."""
    keys = ("cpu_share", "memory_mb", "sockets", "messages_per_s", "bytes_per_s", "writes_per_s")
    return [
        {
            "window": name, "workers": workers, "controllers": controllers, "role": role,
            "reports_per_s": w["reports_per_s"], "starts_per_s": rates[name], **{k: r[k] for k in keys if k in r},
        }
        for name, w in windows.items() if w
        for role, r in sorted(w["roles"].items())
    ]  # fmt: skip


def starts(rows: Iterable[TaskRow], begin: float, end: float) -> int:
    """Tasks that began to run in this time."""
    return sum(r.what == "run" and begin <= r.at < end for r in rows)


def urgent(rows: Iterable[TaskRow], jobs: list[JobRow], end: float) -> dict[str, Any]:
    """Seconds from the acceptance of urgent jobs until all of their tasks had begun; or until the end."""
    wanted = {j.id: j for j in jobs if j.urgent and j.accepted_at is not None}
    first: dict[str, dict[int, float]] = defaultdict(dict)
    for r in rows:
        if r.what == "run" and r.job in wanted:
            first[r.job][r.index] = min(r.at, first[r.job].get(r.index, r.at))
    waits: dict[str, list[float]] = {}
    never = 0
    for job in wanted.values():
        assert job.accepted_at is not None
        begun = first[job.id]
        whole = len(begun) == job.tasks
        never += not whole
        wait = max(0.0, (max(begun.values()) if whole else end) - job.accepted_at)
        for low, high in SIZES:
            if low <= job.tasks <= high:
                kind = "gang" if job.gang else "array"
                size = str(low) if low == high else f"{low}-{high}"
                for key in ("all", size, f"{kind} {size}"):
                    waits.setdefault(key, []).append(wait)
    return {"never": never, "by_size": {k: spread(v) for k, v in sorted(waits.items())}}
