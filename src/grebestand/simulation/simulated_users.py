"""Users: they submit, repeat themselves, ask, cancel, look closely, and keep what they are told."""

from __future__ import annotations

import gevent

from .client_history import ClientHistory
from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .simulated_controllers import SimulatedControllers

#: close looks come within so long of what they look at, in seconds, and so many at each controller
BURST_S, BURST_REQUESTS = 0.03, 2
#: users wait for so long for an answer to a poll, and to anything else
POLL_TIMEOUT_S, REQUEST_TIMEOUT_S = 2.0, 5.0


class SimulatedUsers:
    """Users who submit, poll, repeat and cancel jobs at any controller, and record what they are told."""

    def __init__(self, basis: ClusterBase, checks: InvariantChecks, processes: SimulatedControllers) -> None:
        self.basis = basis
        self.checks = checks
        self.processes = processes
        #: when the last task of a job ended, and how long after that its user heard of it
        self.job_ended_at: dict[str, float] = {}
        self.completion_delays_s: dict[str, float] = {}

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
        self.basis.jobs[ref] = ClientHistory(ref, spec, self.basis.loop.time, always_fails=broken)
        gevent.spawn(self._run_user, ref, name)
        return ref

    def _run_user(self, ref: str, name: str | None) -> None:
        job = self.basis.jobs[ref]
        while True:
            at = name or self.basis.rng.choice(self.basis.controller_names)
            if not self.processes.accepts_requests(at):
                gevent.sleep(1.0)
                continue
            again = self.basis.fault_rng.random() < 0.1
            if job.accepted_at is None or (again and not job.is_finished):
                self.send_request("submit", ref, at)
                gevent.sleep(1.0)
            elif self.basis.loop.time >= job.cancel_at and not job.is_finished:
                self.send_request("cancel", ref, at)
                gevent.sleep(1.0)
            else:
                self.send_request("poll", ref, at)
                gevent.sleep((2.0 if not job.is_finished else 6.0) / self.basis.poll_rate_factor)

    def send_request(self, what: str, ref: str, at: str) -> None:
        """One question of a user, and its answer, if that comes in time from a process that is still there."""
        job, node, asked = self.basis.jobs[ref], self.processes.controllers[at], self.basis.loop.time
        if node is None:
            return
        door = node.job_api
        answer = door.submit(job.body) if what == "submit" else (door.cancel if what == "cancel" else door.poll)(ref)
        patience = POLL_TIMEOUT_S if what == "poll" else REQUEST_TIMEOUT_S
        if self.processes.controllers[at] is not node or self.basis.loop.time - asked >= patience:
            return
        done_before = [f"{ref}/{i}" for i in range(job.tasks) if f"{ref}/{i}" not in self.checks.completed_tasks]
        news = job.record_response(
            answer.status, answer.body, asked, self.basis.loop.time, self.basis.faults_ended_at, done_before
        )
        self.checks.other_violations += [
            f"{self.basis.loop.time:.2f} {ref} {text} (by {at})" for text in news.violations
        ]
        self.checks.stale_overlapping += [
            f"{self.basis.loop.time:.2f} {ref} {text} (by {at})" for text in news.stale_overlapping
        ]
        if news.is_news:
            if job.done_at is not None:
                self.completion_delays_s[ref] = self.basis.loop.time - self.job_ended_at.get(ref, self.basis.loop.time)
            self.send_request_burst(ref)

    def task_ended(self, task: str) -> None:
        """If it was the last one of its job, some are called off at that moment, and users look."""
        ref = task.rpartition("/")[0]
        job = self.basis.jobs[ref]
        if any(f"{ref}/{i}" not in self.checks.completed_tasks for i in range(job.tasks)) or job.is_finished:
            return
        if self.basis.cancel_at_end_rate and self.basis.fault_rng.random() < self.basis.cancel_at_end_rate:
            job.cancel_at = min(job.cancel_at, self.basis.loop.time)
        self.job_ended_at[ref] = self.basis.loop.time
        self.send_request_burst(ref)

    def send_request_burst(self, ref: str) -> None:
        """Questions at all controllers within milliseconds, while there are close looks."""
        if not self.basis.burst_requests:
            return
        for name in self.basis.controller_names * BURST_REQUESTS:
            gevent.spawn_later(self.basis.fault_rng.uniform(0.0, BURST_S), self._send_burst_request, ref, name)

    def _send_burst_request(self, ref: str, name: str) -> None:
        if not self.processes.accepts_requests(name):
            return
        kinds = ["poll", "poll", "submit"] + ["cancel"] * (self.basis.loop.time >= self.basis.jobs[ref].cancel_at)
        self.send_request(self.basis.fault_rng.choice(kinds), ref, name)

    def cancel_running_jobs(self, count: int) -> list[str]:
        """Users call off so many jobs that run, within a fifth of a second."""
        basis = self.basis
        running = sorted({t.rpartition("/")[0] for t in self.checks.machine_by_task})
        refs = [r for r in running if not basis.jobs[r].is_finished][:count]
        for ref in refs:
            at = basis.loop.time + basis.fault_rng.uniform(0.0, 0.2)
            basis.jobs[ref].cancel_at = min(basis.jobs[ref].cancel_at, at)
            gevent.spawn_later(
                at - basis.loop.time + 0.001,
                self.send_request,
                "cancel",
                ref,
                basis.fault_rng.choice(basis.controller_names),
            )
        return refs

    def submit_continuously(self, every_s: float, until_s: float) -> None:
        """Users who go on submitting jobs of both teams."""
        basis = self.basis

        def go() -> None:
            while basis.loop.time < until_s:
                team, tasks = basis.rng.choice(["red", "blue"]), basis.rng.randint(1, 12)
                ref = self.submit(team, tasks, basis.rng.choice([1.0, 2.0]))
                if basis.fault_rng.random() < basis.cancelled_job_rate:
                    # queued, starting or running, by then
                    basis.jobs[ref].cancel_at = basis.loop.time + basis.fault_rng.uniform(0.0, 40.0)
                gevent.sleep(every_s)

        gevent.spawn(go)
