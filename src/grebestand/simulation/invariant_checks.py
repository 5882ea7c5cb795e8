"""Checks of what workers and users observe: no task runs twice, no team exceeds its limit, no cancelled task runs."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from typing import Protocol

from .cluster_base import ClusterBase


class ObservedWorker(Protocol):
    """The part of a machine that checks observe."""

    name: str
    zone: str
    terminated: bool

    def running_tasks(self) -> list[str]:
        """Return the names of the tasks that have not exited."""


class InvariantChecks:
    """The rules, checked after every change on a machine. Times are simulated seconds.

    Attributes:
        machines: All machines by name.
        machine_by_task: The machine that each running task is on.
        completed_tasks: The tasks that some worker has completed.
        task_start_times: When workers started tasks.
        last_response_by_zone: By zone, when a worker there last received a response.
        lease_expiry_kills: The number of tasks that ended because their machine's lease expired.
        duplicate_runs: Violations: tasks that ran on two machines at once.
        exceeded_limits: Violations: teams that used more than their limits.
        runs_after_cancellation: Violations: tasks that still ran more than `cancel_s` after the user was told that
            their job is cancelled.
        other_violations: Violations of other rules.
        starved_jobs: Violations: jobs that waited too long although they could have started.
        starts_after_cancellation: The tasks that were started after the user was told that their job is cancelled, each
            with the seconds between the two.
        stale_overlapping: Responses that show older state than one received before, although their requests were sent
            before that one was received; no violations.
    """

    def __init__(self, cluster: ClusterBase, machines: Mapping[str, ObservedWorker]) -> None:
        self.cluster = cluster
        self.machines = machines
        self.machine_by_task: dict[str, str] = {}
        self.completed_tasks: set[str] = set()
        self.task_start_times: list[float] = []
        self.last_response_by_zone: dict[str, float] = {}
        self.lease_expiry_kills = 0
        self.duplicate_runs: list[str] = []
        self.exceeded_limits: list[str] = []
        self.runs_after_cancellation: list[str] = []
        self.other_violations: list[str] = []
        self.starved_jobs: list[str] = []
        self.starts_after_cancellation: list[tuple[float, str]] = []
        self.stale_overlapping: list[str] = []
        self._tasks_by_machine: dict[str, set[str]] = {}
        self._reported_after_cancellation: set[str] = set()
        #: the CPUs and GPUs that each team has used at most since `take_peak_usage` was last called
        self._peak_usage: dict[str, tuple[float, float]] = {}

    def record_task_start(self, task: str) -> None:
        """Record that a worker starts a task."""
        now = self.cluster.loop.time
        self.task_start_times.append(now)
        job = self.cluster.jobs[task.rpartition("/")[0]]
        job.first_started_at = min(job.first_started_at, now)
        if job.cancelled_at is not None:
            self.starts_after_cancellation.append((now - job.cancelled_at, task))

    def record_running_tasks(self, worker: ObservedWorker) -> None:
        """Record the tasks of a machine after a change, and check the rules that concern running tasks."""
        now = set(worker.running_tasks())
        before = self._tasks_by_machine.get(worker.name, set())
        self._tasks_by_machine[worker.name] = now
        for task in before - now:
            if self.machine_by_task.get(task) == worker.name:
                del self.machine_by_task[task]
        for task in now - before:
            if self.machine_by_task.get(task, worker.name) != worker.name:
                self.duplicate_runs.append(
                    f"{self.cluster.loop.time:.2f} {task} on {self.machine_by_task[task]} and {worker.name}"
                )
            self.machine_by_task[task] = worker.name
        for task in now:
            cancelled_at = self.cluster.jobs[task.rpartition("/")[0]].cancelled_at
            if (
                cancelled_at is not None
                and self.cluster.loop.time - cancelled_at > self.cluster.cancel_s
                and task not in self._reported_after_cancellation
            ):
                self._reported_after_cancellation.add(task)
                self.runs_after_cancellation.append(
                    f"{self.cluster.loop.time:.2f} {task} on {worker.name}, cancelled at {cancelled_at:.2f}"
                )
        for task in now - before:
            self._check_zone(task, worker)
        if now - before:
            usage, limits = self.team_usage(), self.cluster.team_limits()
            for team, (cpus, gpus) in usage.items():
                peak = self._peak_usage.get(team, (0.0, 0.0))
                self._peak_usage[team] = max(cpus, peak[0]), max(gpus, peak[1])
            self.exceeded_limits += [
                f"{self.cluster.loop.time:.2f} {team} uses {used}"
                for team, used in usage.items()
                if any(amount > limit + 1e-6 for amount, limit in zip(used, limits[team], strict=True))
            ]

    def team_usage(self) -> dict[str, tuple[float, float]]:
        """Return the CPUs and GPUs that each team's running tasks use."""
        usage: dict[str, tuple[float, float]] = {}
        for task in self.machine_by_task:
            job = self.cluster.jobs[task.rpartition("/")[0]]
            cpus, gpus = usage.get(job.team, (0.0, 0.0))
            usage[job.team] = cpus + job.cpus, gpus + job.gpus
        return usage

    def take_peak_usage(self) -> dict[str, tuple[float, float]]:
        """Return the CPUs and GPUs that each team has used at most since the last call."""
        peak, self._peak_usage = self._peak_usage, self.team_usage()
        return peak

    def _check_zone(self, task: str, worker: ObservedWorker) -> None:
        """Check the zone of a task that has just started, given the other running tasks of the job."""
        job_id = task.rpartition("/")[0]
        job = self.cluster.jobs[job_id]
        if job.zone and worker.zone != job.zone:
            self.other_violations.append(
                f"{self.cluster.loop.time:.2f} {task} in zone {worker.zone}, its job is bound to {job.zone}"
            )
        if not (job.same_zone or job.spread_zones):
            return
        zones = [
            self.machines[name].zone
            for other, name in self.machine_by_task.items()
            if other != task and other.rpartition("/")[0] == job_id
        ]
        if job.same_zone and any(z != worker.zone for z in zones):
            self.other_violations.append(
                f"{self.cluster.loop.time:.2f} {task} in zone {worker.zone}, others of its job are not"
            )
        if job.spread_zones and zones.count(worker.zone) + 1 > -(-job.tasks // 2):
            self.other_violations.append(f"{self.cluster.loop.time:.2f} {task} is one too many in zone {worker.zone}")

    def longest_gap_between_starts(self, since: float, until: float) -> float:
        """Return the longest time without a task's start between two simulated times, in seconds."""
        times = [since, *(t for t in self.task_start_times if since < t < until), until]
        return max(later - earlier for earlier, later in itertools.pairwise(times))

    def violations(self) -> list[str]:
        """Return descriptions of all violations."""
        return [
            *(f"twice: {t}" for t in self.duplicate_runs),
            *(f"limit: {t}" for t in self.exceeded_limits),
            *(f"ran cancelled: {t}" for t in self.runs_after_cancellation),
            *self.other_violations,
            *self.starved_jobs,
        ]
