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
    dead: bool

    def running(self) -> list[str]:
        """Names of the tasks that run there."""


class InvariantChecks:
    """Checks the rules from what workers and users saw: tasks that run twice, limits, zones, gangs, cancellations."""

    def __init__(self, basis: ClusterBase, machines: Mapping[str, ObservedWorker]) -> None:
        self.basis = basis
        self.machines = machines
        #: tasks on machines, and which each is on
        self.tasks: dict[str, str] = {}
        #: tasks that were completed somewhere
        self.finished: set[str] = set()
        #: when tasks began on machines
        self.starts: list[float] = []
        #: by zone, when a worker there was last answered
        self.served_at: dict[str, float] = {}
        #: how many tasks ended because a lease did
        self.killed = 0
        #: rules that were broken: tasks on two machines, teams above their limits, tasks on machines, or started, too
        #: long after their users were told that they are cancelled, and what else may not be
        self.twice: list[str] = []
        self.over: list[str] = []
        self.late: list[str] = []
        self.wrong: list[str] = []
        self.left_waiting: list[str] = []
        #: how long after their users were told of a cancellation tasks of it were started, and which
        self.after_cancel: list[tuple[float, str]] = []
        #: answers that came after a newer one, while both questions were under way
        self.overlaps: list[str] = []
        self._on: dict[str, set[str]] = {}
        self._late: set[str] = set()
        #: the most that each team has used since the last look at who waits
        self._peak: dict[str, tuple[float, float]] = {}

    def began(self, task: str) -> None:
        """A worker starts it."""
        now = self.basis.loop.time
        self.starts.append(now)
        job = self.basis.jobs[task.rpartition("/")[0]]
        job.begun_at = min(job.begun_at, now)
        if job.cancelled_at is not None:
            self.after_cancel.append((now - job.cancelled_at, task))

    def saw(self, seat: ObservedWorker) -> None:
        """After every change on a machine: no task is on two of them, and no team above its limit."""
        now = set(seat.running())
        before = self._on.get(seat.name, set())
        self._on[seat.name] = now
        for task in before - now:
            if self.tasks.get(task) == seat.name:
                del self.tasks[task]
        for task in now - before:
            if self.tasks.get(task, seat.name) != seat.name:
                self.twice.append(f"{self.basis.loop.time:.2f} {task} on {self.tasks[task]} and {seat.name}")
            self.tasks[task] = seat.name
        for task in now:
            told = self.basis.jobs[task.rpartition("/")[0]].cancelled_at
            if told is not None and self.basis.loop.time - told > self.basis.cancel_s and task not in self._late:
                self._late.add(task)
                self.late.append(f"{self.basis.loop.time:.2f} {task} on {seat.name}, cancelled at {told:.2f}")
        for task in now - before:
            self._placed(task, seat)
        if now - before:
            use, limits = self.use_of_teams(), self.basis.limits()
            for team, (cpus, cards) in use.items():
                most = self._peak.get(team, (0.0, 0.0))
                self._peak[team] = max(cpus, most[0]), max(cards, most[1])
            self.over += [
                f"{self.basis.loop.time:.2f} {t} uses {u}"
                for t, u in use.items()
                if any(a > b + 1e-6 for a, b in zip(u, limits[t], strict=True))
            ]

    def use_of_teams(self) -> dict[str, tuple[float, float]]:
        """CPUs and GPUs that each team's running tasks use."""
        use: dict[str, tuple[float, float]] = {}
        for task in self.tasks:
            job = self.basis.jobs[task.rpartition("/")[0]]
            cpus, cards = use.get(job.team, (0.0, 0.0))
            use[job.team] = cpus + job.cpus, cards + job.cards
        return use

    def take_peak(self) -> dict[str, tuple[float, float]]:
        """The most that each team has used since this was last asked."""
        peak, self._peak = self._peak, self.use_of_teams()
        return peak

    def _placed(self, task: str, seat: ObservedWorker) -> None:
        """A task has begun: whether its zone is right, given the others of its job at that moment."""
        ref = task.rpartition("/")[0]
        job = self.basis.jobs[ref]
        if job.zone and seat.zone != job.zone:
            self.wrong.append(f"{self.basis.loop.time:.2f} {task} in zone {seat.zone}, its job is bound to {job.zone}")
        if not (job.same_place or job.scatter):
            return
        zones = [self.machines[m].zone for t, m in self.tasks.items() if t != task and t.rpartition("/")[0] == ref]
        if job.same_place and any(z != seat.zone for z in zones):
            self.wrong.append(f"{self.basis.loop.time:.2f} {task} in zone {seat.zone}, others of its job are not")
        if job.scatter and zones.count(seat.zone) + 1 > -(-job.tasks // 2):
            self.wrong.append(f"{self.basis.loop.time:.2f} {task} is one too many in zone {seat.zone}")

    def longest_pause(self, since: float, until: float) -> float:
        """The longest stretch without a start, in seconds."""
        times = [since, *(t for t in self.starts if since < t < until), until]
        return max(b - a for a, b in itertools.pairwise(times))

    def broken(self) -> list[str]:
        """Rules that were broken, as workers and users saw it."""
        return [
            *(f"twice: {t}" for t in self.twice),
            *(f"limit: {t}" for t in self.over),
            *(f"ran cancelled: {t}" for t in self.late),
            *self.wrong,
            *self.left_waiting,
        ]
