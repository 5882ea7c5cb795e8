"""Requests that cannot be: what can't run, lacks a field, repeats an id with nonsense, asks about no job."""

from __future__ import annotations

import json

import gevent

from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .simulated_controllers import SimulatedControllers


class InvalidRequests:
    """Sends requests that break the protocol to controllers, and checks how they are answered."""

    def __init__(self, basis: ClusterBase, checks: InvariantChecks, processes: SimulatedControllers) -> None:
        self.basis = basis
        self.checks = checks
        self.processes = processes

    def send_one(self) -> None:
        """Somebody sends what can't run or lacks a field, repeats an accepted id with nonsense, asks about no job."""
        names = [n for n in self.basis.controller_names if self.processes.accepts_requests(n)]
        if not names:
            return
        at = self.basis.fault_rng.choice(names)
        node, known = (
            self.processes.controllers[at],
            [r for r, j in self.basis.jobs.items() if j.accepted_at is not None],
        )
        assert node is not None
        spec = dict(
            next(iter(self.basis.jobs.values())).spec, ref=f"j-{900000 + self.basis.fault_rng.randrange(90000):06d}"
        )
        kind = self.basis.fault_rng.randrange(4 if known else 3)
        asked = self.basis.loop.time
        if kind == 0:
            del spec[self.basis.fault_rng.choice([f for f in spec if f not in ("ref", "hulls", "quay", "dueS")])]
        elif kind == 1:
            field, value = self.basis.fault_rng.choice(
                [("cpus", 17.0), ("ramGb", 65.0), ("crew", "nobody"), ("shards", 0), ("shards", "x"), ("cpus", -1.0),
                 ("hulls", ["none"]), ("quay", "nowhere"), ("cards", 5.0), ("shape", "ring"), ("shards", 100_001)]
            )  # fmt: skip
            spec[field] = value
        elif kind == 2:
            answer = node.job_api.poll(str(spec["ref"]))
            if answer.status == 200:
                self.checks.other_violations.append(f"{asked:.2f} {spec['ref']} was invented by {at}")
            return
        else:
            ref = self.basis.fault_rng.choice(known)
            answer = node.job_api.submit(
                json.dumps({**self.basis.jobs[ref].spec, "shards": "x", "crew": "nobody"}).encode()
            )
            if answer.status not in (200, 503):
                self.checks.other_violations.append(
                    f"{asked:.2f} {ref} accepted, its repeat with nonsense answered {answer.status}"
                )
            return
        answer = node.job_api.submit(json.dumps(spec).encode())
        if answer.status not in (400, 422, 503):
            self.checks.other_violations.append(
                f"{asked:.2f} {spec['ref']}: answered {answer.status} though it can't run: {spec}"
            )

    def send_until(self, until_s: float) -> None:
        """Send one every 0.3 s until the given simulated time."""

        def go() -> None:
            while self.basis.loop.time < until_s:
                gevent.spawn(self.send_one)
                gevent.sleep(0.3)

        gevent.spawn(go)
