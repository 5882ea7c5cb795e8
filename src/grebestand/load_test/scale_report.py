"""The result of a scale run: the verdict, the figures of the JSON report, and a one-line summary."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from . import figures
from .figures import Sample
from .records import JobRow, TaskRow, UnservedRequest
from .scale_check import ScaleVerdict, check_run
from .scale_plan import ScaleRunPlan

#: the process of the one hollow worker that has a process of its own, so that its use of resources can be measured
SINGLE_WORKER_PROCESS = "worker"
#: the machine of the hollow worker that has a process of its own
SINGLE_WORKER_MACHINE = "n-000000"
#: a killed controller is restarted after this time
RESTART_DELAY_S = 4.0
#: a restarted controller accepts connections within this time
RESTART_STARTUP_S = 6.0
#: failed connections up to this long before a kill count as caused by the kill: different processes take the times
KILL_CLOCK_MARGIN_S = 0.5
#: urgent jobs accepted less than this before the first kill are left out of the figures of the time before the kill
CALM_END_MARGIN_S = 6.0
#: the calm window begins this long after the begin of the load, to leave out the time until the load has settled
CALM_BEGIN_S = 12.0
#: the calm window begins at the latest after this share of the load's duration
CALM_BEGIN_SHARE = 0.25
#: texts in the controllers' logs that point to overload or faults; the report counts their occurrences
COUNTED_LOG_TEXTS = (
    "Too many open files", "could not be renewed in time", "Traceback", "rate budget exhausted",
)  # fmt: skip


@dataclass
class ScaleRunResult:
    """The verdict of a run, a one-line summary, and the figures of the JSON report."""

    verdict: ScaleVerdict
    summary_line: str
    figures: dict[str, Any]


@dataclass
class ControllerKill:
    """A controller that the run killed.

    Attributes:
        name: The name of the controller.
        role: The role of the controller at the time: "leader", or "answering" for a follower.
        at: When the controller was killed, in seconds of the run's clock.
    """

    name: str
    role: str
    at: float


@dataclass
class ScaleRunHistory:
    """The merged records of all processes of hollow workers and of the users.

    Attributes:
        rows: The events of tasks.
        unserved: New connections whose first request got no response.
        sent_at: When each answered heartbeat was sent, in seconds of the run's clock.
        waits: The time from each answered heartbeat to its response, in seconds, in the order of `sent_at`.
        jobs: The jobs that users submitted.
        limits: The limit of each team, in CPUs.
    """

    rows: list[TaskRow] = field(default_factory=list)
    unserved: list[UnservedRequest] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    jobs: list[JobRow] = field(default_factory=list)
    limits: dict[str, float] = field(default_factory=dict)

    def waits_between(self, begin: float, end: float) -> list[float]:
        """Return the response times, in seconds, of the heartbeats sent from `begin` until before `end`."""
        return [wait for sent, wait in zip(self.sent_at, self.waits, strict=True) if begin <= sent < end]


@dataclass(frozen=True)
class ScaleRunRecord:
    """The measurements and records of a finished run; times are in seconds of the run's clock.

    Attributes:
        plan: The size of the cluster and its load.
        log_directory: The directory of the controllers' logs.
        controllers: The names of the controllers.
        hollow_processes: The names of the processes of hollow workers.
        samples: The samples, in order of time.
        kills: The controllers that were killed, in order of time.
        history: The records of hollow workers and users.
        counts: The final counters of each child process.
        load_begin: When the load began.
        load_end: When the load ended.
    """

    plan: ScaleRunPlan
    log_directory: Path
    controllers: list[str]
    hollow_processes: list[str]
    samples: list[Sample]
    kills: list[ControllerKill]
    history: ScaleRunHistory
    counts: dict[str, dict[str, Any]]
    load_begin: float
    load_end: float

    @property
    def worker_processes(self) -> list[str]:
        """Names of all processes of hollow workers, including that of the single worker."""
        return [*self.hollow_processes, SINGLE_WORKER_PROCESS]

    @property
    def calm_begin(self) -> float:
        """When the calm window begins, in seconds of the run's clock: the load has settled."""
        return self.load_begin + min(CALM_BEGIN_S, self.plan.seconds * CALM_BEGIN_SHARE)

    @property
    def calm_end(self) -> float:
        """When the calm window ends, in seconds of the run's clock: the first controller is killed."""
        return self.kills[0].at if self.kills else self.load_end


class ScaleReport:
    """Computes the figures of a run from its record."""

    def __init__(self, record: ScaleRunRecord) -> None:
        """Prepare the report of a finished run."""
        self.record = record

    def result(self) -> ScaleRunResult:
        """Check the run against the rules and compute its figures."""
        history = self.record.history
        verdict = check_run(history.rows, history.jobs, history.limits)
        found = self._figures(verdict)
        return ScaleRunResult(verdict, self._summary_line(found, verdict), found)

    def _figures(self, verdict: ScaleVerdict) -> dict[str, Any]:
        """Return the figures of the JSON report."""
        # the JSON report has its keys in this order
        record = self.record
        history = record.history
        last = record.samples[-1]
        seconds = record.load_end - record.load_begin
        windows = self._windows()
        rates = self._start_rates()
        return {
            "plan": asdict(record.plan),
            "machine": {"cores": os.cpu_count(), "load_average": os.getloadavg()},
            "note": "controllers are not limited to a share of a core here: what they use is measured",
            "starts": figures.count_starts(history.rows, record.load_begin, record.load_end),
            "starts_per_s": rates,
            "asked_per_s": sum(job.tasks for job in history.jobs) / seconds,
            "windows": windows,
            "slopes": figures.slope_rows(record.plan.workers, record.plan.controllers, rates, windows),
            "worker_starts": sum(row.what == "run" and row.machine == SINGLE_WORKER_MACHINE for row in history.rows),
            "orders_wait": {
                "calm": figures.distribution(history.waits_between(record.calm_begin, record.calm_end)),
                "whole": figures.distribution(history.waits_between(record.load_begin, record.load_end)),
            },
            "urgent": figures.urgent_waits(history.rows, history.jobs, last.at),
            "urgent_before_the_first_kill": figures.urgent_waits(history.rows, self._jobs_before_first_kill(), last.at),
            "answers": last.response_counts,
            "workers_at": self._workers_at_controllers(),
            "users": record.counts["users"],
            "hollow": {name: record.counts[name] for name in record.worker_processes},
            "refused": _count_kinds(self._unserved(while_killed=False)),
            "refused_while_killed": _count_kinds(self._unserved(while_killed=True)),
            "kills": [asdict(kill) | {"at": kill.at - record.load_begin} for kill in record.kills],
            "leaders": self._leader_changes(),
            "logs": self._log_text_counts(),
            "verdict": asdict(verdict),
            "memory_mb": sum(last.memory_mb.values()),
            "processes": len(last.cpu_s) + 1,
            "parent_cpu_s": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]),
            "timeline": [self._timeline_row(before, after) for before, after in pairwise(record.samples)],
        }

    def _windows(self) -> dict[str, Any]:
        """Return the use of resources in the calm window and during the whole load, by the window's name."""
        record = self.record
        spans = {"calm": (record.calm_begin, record.calm_end), "whole": (record.load_begin, record.load_end)}
        return {
            name: figures.window_figures(
                [sample for sample in record.samples if begin <= sample.at <= end],
                record.controllers,
                record.hollow_processes,
            )
            for name, (begin, end) in spans.items()
        }

    def _start_rates(self) -> dict[str, float]:
        """Return the starts of tasks per second in each window, by the window's name."""
        record = self.record
        rows = record.history.rows
        # the first kill may come before the calm window begins
        calm_s = max(1e-9, record.calm_end - record.calm_begin)
        return {
            "calm": figures.count_starts(rows, record.calm_begin, record.calm_end) / calm_s,
            "whole": figures.count_starts(rows, record.load_begin, record.load_end)
            / (record.load_end - record.load_begin),
        }

    def _jobs_before_first_kill(self) -> list[JobRow]:
        """Return the jobs that were accepted more than `CALM_END_MARGIN_S` before the first kill."""
        latest = self.record.calm_end - CALM_END_MARGIN_S
        return [job for job in self.record.history.jobs if (job.accepted_at or self.record.load_end) < latest]

    def _workers_at_controllers(self) -> dict[str, int]:
        """Return how many workers send their heartbeats to each controller at the end of the run."""
        counts = [self.record.counts[name] for name in self.record.counts if name in self.record.worker_processes]
        return {name: sum(count["at"][name] for count in counts) for name in self.record.controllers}

    def _unserved(self, *, while_killed: bool) -> list[UnservedRequest]:
        """Return the new connections whose first request got no response.

        Args:
            while_killed: Whether to return those to a controller that the run had killed, or all others.
        """
        return [request for request in self.record.history.unserved if self._was_down(request) is while_killed]

    def _was_down(self, request: UnservedRequest) -> bool:
        """Return whether a request failed because the run had killed the controller.

        A timeout never counts as caused by a kill: the controller accepted the connection and did not respond, which
        is a failure of the controller.
        """
        if request.kind == "timeout":
            return False
        return any(
            kill.at - KILL_CLOCK_MARGIN_S <= request.at <= kill.at + RESTART_DELAY_S + RESTART_STARTUP_S
            for kill in self.record.kills
            if kill.name == request.controller
        )

    def _leader_changes(self) -> list[tuple[float, str | None]]:
        """Return each change of the leader between samples: seconds since the begin of the load, and the new leader.

        The leader is None while there is none.
        """
        changes: list[tuple[float, str | None]] = []
        for sample in self.record.samples:
            if not changes or changes[-1][1] != sample.leader:
                changes.append((round(sample.at - self.record.load_begin, 1), sample.leader))
        return changes

    def _log_text_counts(self) -> dict[str, int]:
        """Return how often each of `COUNTED_LOG_TEXTS` occurs in the logs of all controllers."""
        logs = [
            (self.record.log_directory / f"{name}.log").read_text("utf-8", "replace")
            for name in self.record.controllers
        ]
        return {text: sum(log.count(text) for log in logs) for text in COUNTED_LOG_TEXTS}

    def _timeline_row(self, before: Sample, after: Sample) -> dict[str, Any]:
        """Return the row of the timeline for the interval between two samples."""
        seconds = after.at - before.at
        controllers = self.record.controllers
        store_before, store_after = before.counts["state"], after.counts["state"]
        return {
            "at": round(after.at - self.record.load_begin, 2),
            "leader": after.leader,
            "cpu": {
                name: round((after.cpu_s[name] - before.cpu_s[name]) / seconds, 3)
                for name in after.cpu_s
                if name in before.cpu_s
            },
            "sockets": {name: after.sockets[name] for name in controllers if name in after.sockets},
            "memory_mb": {name: round(after.memory_mb[name], 1) for name in controllers if name in after.memory_mb},
            "writes": store_after.get("writes", 0) - store_before.get("writes", 0),
            "requests": store_after.get("requests", 0) - store_before.get("requests", 0),
            "running": sum(after.counts[name].get("running", 0) for name in self.record.hollow_processes),
        }

    def _summary_line(self, found: dict[str, Any], verdict: ScaleVerdict) -> str:
        """Return one line with the size, the results and the verdict of the run."""
        plan = self.record.plan
        p99 = found["urgent"]["by_size"].get("all", {}).get("p99")
        slowest = "none" if p99 is None else f"{p99:.2f}"
        return (
            f"workers {plan.workers}, controllers {plan.controllers}, "
            f"starts {found['starts']} ({found['starts_per_s']['whole']:.0f} a second), urgent 99% {slowest} s, "
            f"twice {verdict.twice}, lost {verdict.lost}, over quota {verdict.over_quota}, "
            f"refused connections {len(self._unserved(while_killed=False))}"
        )


def _count_kinds(requests: Iterable[UnservedRequest]) -> dict[str, int]:
    """Return the numbers of requests without a response, by controller and kind of failure."""
    counts: dict[str, int] = {}
    for request in requests:
        key = f"{request.controller} {request.kind}"
        counts[key] = counts.get(key, 0) + 1
    return counts
