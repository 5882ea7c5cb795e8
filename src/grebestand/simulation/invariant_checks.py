"""What workers and users saw, held against the rules: no task twice, no team above its limit, none cancelled."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from typing import Protocol

from .cluster_base import ClusterBase


class ObservedWorker(Protocol):
    """What is seen of a machine."""

    name: str
    zone: str
    terminated: bool

    def running_tasks(self) -> list[str]:
        """Names of the tasks that run there."""


class InvariantChecks:
    """Checks the rules from what workers and users saw: tasks that run twice, limits, zones, gangs, cancellations."""

    def __init__(self, basis: ClusterBase, machines: Mapping[str, ObservedWorker]) -> None:
        self.basis = basis
        self.machines = machines
        #: tasks on machines, and which each is on
        self.machine_by_task: dict[str, str] = {}
        #: tasks that were completed somewhere
        self.completed_tasks: set[str] = set()
        #: when tasks began on machines
        self.task_start_times: list[float] = []
        #: by zone, when a worker there was last answered
        self.last_response_by_zone: dict[str, float] = {}
        #: how many tasks ended because a lease did
        self.lease_expiry_kills = 0
        #: rules that were broken: tasks on two machines, teams above their limits, tasks on machines, or started, too
        #: long after their users were told that they are cancelled, and what else may not be
        self.duplicate_runs: list[str] = []
        self.exceeded_limits: list[str] = []
        self.runs_after_cancellation: list[str] = []
        self.other_violations: list[str] = []
        self.starved_jobs: list[str] = []
        #: how long after their users were told of a cancellation tasks of it were started, and which
        self.starts_after_cancellation: list[tuple[float, str]] = []
        #: answers that came after a newer one, while both questions were under way
        self.stale_overlapping: list[str] = []
        self._tasks_by_machine: dict[str, set[str]] = {}
        self._reported_after_cancellation: set[str] = set()
        #: the most that each team has used since the last look at who waits
        self._peak_usage: dict[str, tuple[float, float]] = {}

    def record_task_start(self, task: str) -> None:
        """A worker starts it."""
        now = self.basis.loop.time
        self.task_start_times.append(now)
        job = self.basis.jobs[task.rpartition("/")[0]]
        job.first_started_at = min(job.first_started_at, now)
        if job.cancelled_at is not None:
            self.starts_after_cancellation.append((now - job.cancelled_at, task))

    def record_running_tasks(self, seat: ObservedWorker) -> None:
        """After every change on a machine: no task is on two of them, and no team above its limit."""
        now = set(seat.running_tasks())
        before = self._tasks_by_machine.get(seat.name, set())
        self._tasks_by_machine[seat.name] = now
        for task in before - now:
            if self.machine_by_task.get(task) == seat.name:
                del self.machine_by_task[task]
        for task in now - before:
            if self.machine_by_task.get(task, seat.name) != seat.name:
                self.duplicate_runs.append(
                    f"{self.basis.loop.time:.2f} {task} on {self.machine_by_task[task]} and {seat.name}"
                )
            self.machine_by_task[task] = seat.name
        for task in now:
            told = self.basis.jobs[task.rpartition("/")[0]].cancelled_at
            if (
                told is not None
                and self.basis.loop.time - told > self.basis.cancel_s
                and task not in self._reported_after_cancellation
            ):
                self._reported_after_cancellation.add(task)
                self.runs_after_cancellation.append(
                    f"{self.basis.loop.time:.2f} {task} on {seat.name}, cancelled at {told:.2f}"
                )
        for task in now - before:
            self._check_zone(task, seat)
        if now - before:
            use, limits = self.team_usage(), self.basis.team_limits()
            for team, (cpus, cards) in use.items():
                most = self._peak_usage.get(team, (0.0, 0.0))
                self._peak_usage[team] = max(cpus, most[0]), max(cards, most[1])
            self.exceeded_limits += [
                f"{self.basis.loop.time:.2f} {t} uses {u}"
                for t, u in use.items()
                if any(a > b + 1e-6 for a, b in zip(u, limits[t], strict=True))
            ]

    def team_usage(self) -> dict[str, tuple[float, float]]:
        """CPUs and GPUs that each team's running tasks use."""
        use: dict[str, tuple[float, float]] = {}
        for task in self.machine_by_task:
            job = self.basis.jobs[task.rpartition("/")[0]]
            cpus, cards = use.get(job.team, (0.0, 0.0))
            use[job.team] = cpus + job.cpus, cards + job.gpus
        return use

    def take_peak_usage(self) -> dict[str, tuple[float, float]]:
        """The most that each team has used since this was last asked."""
        peak, self._peak_usage = self._peak_usage, self.team_usage()
        return peak

    def _check_zone(self, task: str, seat: ObservedWorker) -> None:
        """A task has begun: whether its zone is right, given the others of its job at that moment."""
        ref = task.rpartition("/")[0]
        job = self.basis.jobs[ref]
        if job.zone and seat.zone != job.zone:
            self.other_violations.append(
                f"{self.basis.loop.time:.2f} {task} in zone {seat.zone}, its job is bound to {job.zone}"
            )
        if not (job.same_place or job.scatter):
            return
        zones = [
            self.machines[m].zone for t, m in self.machine_by_task.items() if t != task and t.rpartition("/")[0] == ref
        ]
        if job.same_place and any(z != seat.zone for z in zones):
            self.other_violations.append(
                f"{self.basis.loop.time:.2f} {task} in zone {seat.zone}, others of its job are not"
            )
        if job.scatter and zones.count(seat.zone) + 1 > -(-job.tasks // 2):
            self.other_violations.append(f"{self.basis.loop.time:.2f} {task} is one too many in zone {seat.zone}")

    def longest_gap_between_starts(self, since: float, until: float) -> float:
        """The longest stretch without a start, in seconds."""
        times = [since, *(t for t in self.task_start_times if since < t < until), until]
        return max(b - a for a, b in itertools.pairwise(times))

    def violations(self) -> list[str]:
        """Rules that were broken, as workers and users saw it."""
        return [
            *(f"twice: {t}" for t in self.duplicate_runs),
            *(f"limit: {t}" for t in self.exceeded_limits),
            *(f"ran cancelled: {t}" for t in self.runs_after_cancellation),
            *self.other_violations,
            *self.starved_jobs,
        ]
