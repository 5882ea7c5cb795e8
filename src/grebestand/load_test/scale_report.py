"""The result of a scale run: its verdict, its figures as they are written to JSON, and the line that sums it up."""

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

#: the name of the process of the one worker that does not share its process with others
SINGLE_WORKER_PROCESS = "worker"
#: the machine of that worker
SINGLE_WORKER_MACHINE = "n-000000"
#: a killed controller is started again after this, in seconds
RESTART_DELAY_S = 4.0
#: a controller that was started again serves within this, in seconds
RESTART_STARTUP_S = 6.0
#: tolerance of the comparison of a kill with failed connections, in seconds: their times are of different processes
KILL_CLOCK_MARGIN_S = 0.5
#: urgent jobs accepted less than this before the first kill, in seconds, do not count as before it
CALM_END_MARGIN_S = 6.0
#: the calm window begins this long after the load, in seconds, but within `CALM_BEGIN_SHARE` of the load's duration
CALM_BEGIN_S = 12.0
CALM_BEGIN_SHARE = 0.25
#: the texts that are counted in the controllers' logs
COUNTED_LOG_TEXTS = (
    "Too many open files", "could not be renewed in time", "Traceback", "rate budget exhausted",
)  # fmt: skip


@dataclass
class ScaleRunResult:
    """The verdict of a run, one line that sums it up, and all figures."""

    verdict: ScaleVerdict
    summary_line: str
    figures: dict[str, Any]


@dataclass
class ControllerKill:
    """A controller that the run killed, the role that it had, and when, in seconds of the run's clock."""

    name: str
    role: str
    at: float


@dataclass
class ScaleRunHistory:
    """What hollow workers and users have recorded, of all processes together."""

    rows: list[TaskRow] = field(default_factory=list)
    unserved: list[UnservedRequest] = field(default_factory=list)
    #: when each answered heartbeat was sent, and for how long its worker waited for the answer, in seconds
    sent_at: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    jobs: list[JobRow] = field(default_factory=list)
    limits: dict[str, float] = field(default_factory=dict)

    def waits_between(self, begin: float, end: float) -> list[float]:
        """Return the waits for answers to heartbeats that were sent in this time."""
        return [wait for sent, wait in zip(self.sent_at, self.waits, strict=True) if begin <= sent < end]


@dataclass(frozen=True)
class ScaleRunRecord:
    """All that is known at the end of a run; times are seconds of the run's clock.

    Attributes:
        plan: what was run.
        root: the directory of the controllers' logs.
        controllers: the names of the controllers.
        hollow: the names of the processes of hollow workers.
        samples: the samples that were taken, in order.
        kills: the controllers that were killed, in order.
        history: what hollow workers and users have recorded.
        counts: the last counters of each process.
        load_begin: when the load began.
        load_end: when it ended.
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
        """Names of all processes that play workers."""
        return [*self.hollow_processes, SINGLE_WORKER_PROCESS]

    @property
    def calm_begin(self) -> float:
        """When the calm window begins: the load has settled."""
        return self.load_begin + min(CALM_BEGIN_S, self.plan.seconds * CALM_BEGIN_SHARE)

    @property
    def calm_end(self) -> float:
        """When the calm window ends: the first controller is killed."""
        return self.kills[0].at if self.kills else self.load_end


class ScaleReport:
    """Computes the figures of a run from its record."""

    def __init__(self, record: ScaleRunRecord) -> None:
        self.record = record

    def result(self) -> ScaleRunResult:
        """Judge the run and compute its figures."""
        history = self.record.history
        verdict = check_run(history.rows, history.jobs, history.limits)
        found = self._figures(verdict)
        return ScaleRunResult(verdict, self._summary_line(found, verdict), found)

    def _figures(self, verdict: ScaleVerdict) -> dict[str, Any]:
        # the order of the keys is that of the JSON file
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
        """Return the use of resources in the calm window and during the whole load."""
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
        """Return the starts of tasks a second in each window_figures."""
        record = self.record
        rows = record.history.rows
        # the first kill may come before the calm window_figures begins
        calm_s = max(1e-9, record.calm_end - record.calm_begin)
        return {
            "calm": figures.count_starts(rows, record.calm_begin, record.calm_end) / calm_s,
            "whole": figures.count_starts(rows, record.load_begin, record.load_end)
            / (record.load_end - record.load_begin),
        }

    def _jobs_before_first_kill(self) -> list[JobRow]:
        latest = self.record.calm_end - CALM_END_MARGIN_S
        return [job for job in self.record.history.jobs if (job.accepted_at or self.record.load_end) < latest]

    def _workers_at_controllers(self) -> dict[str, int]:
        """Return how many workers each controller serves at the end."""
        counts = [self.record.counts[name] for name in self.record.counts if name in self.record.worker_processes]
        return {name: sum(count["at"][name] for count in counts) for name in self.record.controllers}

    def _unserved(self, *, while_killed: bool) -> list[UnservedRequest]:
        """Return the connections without an answer, those at killed controllers or all others."""
        return [request for request in self.record.history.unserved if self._was_down(request) is while_killed]

    def _was_down(self, request: UnservedRequest) -> bool:
        """Return whether the run itself kept that controller down.

        A connection that was taken and then not answered is the controller's own failure.
        """
        if request.kind == "timeout":
            return False
        return any(
            kill.at - KILL_CLOCK_MARGIN_S <= request.at <= kill.at + RESTART_DELAY_S + RESTART_STARTUP_S
            for kill in self.record.kills
            if kill.name == request.controller
        )

    def _leader_changes(self) -> list[tuple[float, str | None]]:
        """Return who was seen to lead, from when on, in seconds from the beginning of the load."""
        changes: list[tuple[float, str | None]] = []
        for sample in self.record.samples:
            if not changes or changes[-1][1] != sample.leader:
                changes.append((round(sample.at - self.record.load_begin, 1), sample.leader))
        return changes

    def _log_text_counts(self) -> dict[str, int]:
        """Return how often the controllers' logs have each of the texts that an operator looks for."""
        logs = [
            (self.record.log_directory / f"{name}.log").read_text("utf-8", "replace")
            for name in self.record.controllers
        ]
        return {text: sum(log.count(text) for log in logs) for text in COUNTED_LOG_TEXTS}

    def _timeline_row(self, before: Sample, after: Sample) -> dict[str, Any]:
        """Return what happened between two samples."""
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
    """Return how many connections stayed without an answer, by controller and kind."""
    counts: dict[str, int] = {}
    for request in requests:
        key = f"{request.controller} {request.kind}"
        counts[key] = counts.get(key, 0) + 1
    return counts
