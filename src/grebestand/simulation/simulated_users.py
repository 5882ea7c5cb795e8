"""Users: they submit, repeat themselves, ask, cancel, look closely, and keep what they are told."""

from __future__ import annotations

import gevent

from .client_history import ClientHistory
from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .simulated_controllers import SimulatedControllers

#: close looks come within so long of what they look at, in seconds, and so many at each controller
LOOK_S, LOOKS = 0.03, 2
#: users wait for so long for an answer to a poll, and to anything else
POLL_S, PATIENCE_S = 2.0, 5.0


class SimulatedUsers:
    """Users who submit, poll, repeat and cancel jobs at any controller, and record what they are told."""

    def __init__(self, basis: ClusterBase, checks: InvariantChecks, processes: SimulatedControllers) -> None:
        self.basis = basis
        self.checks = checks
        self.processes = processes
        #: when the last task of a job ended, and how long after that its user heard of it
        self.ended_at: dict[str, float] = {}
        self.told_late: dict[str, float] = {}

    def submit(
        self, team: str = "blue", tasks: int = 4, cpus: float = 1.0, name: str | None = None, **more: object
    ) -> str:
        """A user who submits a job, and asks about it for ever; `broken` has a mistake in it."""
        ref = f"j-{len(self.basis.jobs) + 1:06d}"
        broken = bool(more.pop("broken", False))
        spec = {
            "ref": ref, "lane": "work", "crew": team, "shape": "array", "rank": "standard", "shards": tasks,
            "cpus": cpus, "cards": 0.0, "ramGb": 1.0, "cargo": "img", "pullGb": 0.1, "hulls": None, "quay": None,
            "samePlace": False, "scatter": False, "driftwood": True, "reckonS": 8.0, "markS": 0.0, "stowS": 0.0,
            "dueS": None,
        }  # fmt: skip
        spec |= more
        self.basis.jobs[ref] = ClientHistory(ref, spec, self.basis.loop.time, broken=broken)
        gevent.spawn(self._use, ref, name)
        return ref

    def _use(self, ref: str, name: str | None) -> None:
        job = self.basis.jobs[ref]
        while True:
            at = name or self.basis.rng.choice(self.basis.controllers)
            if not self.processes.serves(at):
                gevent.sleep(1.0)
                continue
            again = self.basis.luck.random() < 0.1
            if job.accepted_at is None or (again and not job.over):
                self.ask("submit", ref, at)
                gevent.sleep(1.0)
            elif self.basis.loop.time >= job.cancel_at and not job.over:
                self.ask("cancel", ref, at)
                gevent.sleep(1.0)
            else:
                self.ask("poll", ref, at)
                gevent.sleep((2.0 if not job.over else 6.0) / self.basis.eager)

    def ask(self, what: str, ref: str, at: str) -> None:
        """One question of a user, and its answer, if that comes in time from a process that is still there."""
        job, node, asked = self.basis.jobs[ref], self.processes.nodes[at], self.basis.loop.time
        if node is None:
            return
        door = node.job_api
        answer = door.submit(job.body) if what == "submit" else (door.cancel if what == "cancel" else door.poll)(ref)
        patience = POLL_S if what == "poll" else PATIENCE_S
        if self.processes.nodes[at] is not node or self.basis.loop.time - asked >= patience:
            return
        done_before = [f"{ref}/{i}" for i in range(job.tasks) if f"{ref}/{i}" not in self.checks.finished]
        news = job.told(answer.status, answer.body, asked, self.basis.loop.time, self.basis.calm_at, done_before)
        self.checks.wrong += [f"{self.basis.loop.time:.2f} {ref} {text} (by {at})" for text in news.wrong]
        self.checks.overlaps += [f"{self.basis.loop.time:.2f} {ref} {text} (by {at})" for text in news.overlaps]
        if news.newer:
            if job.done_at is not None:
                self.told_late[ref] = self.basis.loop.time - self.ended_at.get(ref, self.basis.loop.time)
            self.look_closely(ref)

    def task_ended(self, task: str) -> None:
        """If it was the last one of its job, some are called off at that moment, and users look."""
        ref = task.rpartition("/")[0]
        job = self.basis.jobs[ref]
        if any(f"{ref}/{i}" not in self.checks.finished for i in range(job.tasks)) or job.over:
            return
        if self.basis.at_end and self.basis.luck.random() < self.basis.at_end:
            job.cancel_at = min(job.cancel_at, self.basis.loop.time)
        self.ended_at[ref] = self.basis.loop.time
        self.look_closely(ref)

    def look_closely(self, ref: str) -> None:
        """Questions at all controllers within milliseconds, while there are close looks."""
        if not self.basis.close_looks:
            return
        for name in self.basis.controllers * LOOKS:
            gevent.spawn_later(self.basis.luck.uniform(0.0, LOOK_S), self._glance, ref, name)

    def _glance(self, ref: str, name: str) -> None:
        if not self.processes.serves(name):
            return
        kinds = ["poll", "poll", "submit"] + ["cancel"] * (self.basis.loop.time >= self.basis.jobs[ref].cancel_at)
        self.ask(self.basis.luck.choice(kinds), ref, name)

    def cancel_now(self, count: int) -> list[str]:
        """Users call off so many jobs that run, within a fifth of a second."""
        basis = self.basis
        running = sorted({t.rpartition("/")[0] for t in self.checks.tasks})
        refs = [r for r in running if not basis.jobs[r].over][:count]
        for ref in refs:
            at = basis.loop.time + basis.luck.uniform(0.0, 0.2)
            basis.jobs[ref].cancel_at = min(basis.jobs[ref].cancel_at, at)
            gevent.spawn_later(
                at - basis.loop.time + 0.001, self.ask, "cancel", ref, basis.luck.choice(basis.controllers)
            )
        return refs

    def crowd(self, every_s: float, until_s: float) -> None:
        """Users who go on submitting jobs of both teams."""
        basis = self.basis

        def go() -> None:
            while basis.loop.time < until_s:
                team, tasks = basis.rng.choice(["red", "blue"]), basis.rng.randint(1, 12)
                ref = self.submit(team, tasks, basis.rng.choice([1.0, 2.0]))
                if basis.luck.random() < basis.cancelling:
                    # queued, starting or running, by then
                    basis.jobs[ref].cancel_at = basis.loop.time + basis.luck.uniform(0.0, 40.0)
                gevent.sleep(every_s)

        gevent.spawn(go)
