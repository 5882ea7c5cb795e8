"""Invalid requests of users: impossible jobs, missing fields, changed repeats of a job id, and unknown jobs."""

from __future__ import annotations

import json

import gevent

from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .simulated_controllers import SimulatedControllers

SEND_INTERVAL_S = 0.3


class InvalidRequests:
    """Sends invalid requests to controllers, and checks the responses."""

    def __init__(self, cluster: ClusterBase, checks: InvariantChecks, processes: SimulatedControllers) -> None:
        self.cluster = cluster
        self.checks = checks
        self.processes = processes

    def send_one(self) -> None:
        """Send a random invalid request to a random controller, and record a violation if it isn't rejected."""
        names = [n for n in self.cluster.controller_names if self.processes.accepts_requests(n)]
        if not names:
            return
        name = self.cluster.fault_rng.choice(names)
        controller = self.processes.controllers[name]
        accepted = [job_id for job_id, job in self.cluster.jobs.items() if job.accepted_at is not None]
        assert controller is not None
        unused_id = f"j-{900000 + self.cluster.fault_rng.randrange(90000):06d}"
        spec = dict(next(iter(self.cluster.jobs.values())).spec, ref=unused_id)
        kind = self.cluster.fault_rng.randrange(4 if accepted else 3)
        sent_at = self.cluster.loop.time
        if kind == 0:
            required = [field for field in spec if field not in ("ref", "hulls", "quay", "dueS")]
            del spec[self.cluster.fault_rng.choice(required)]
        elif kind == 1:
            field, value = self.cluster.fault_rng.choice(
                [("cpus", 17.0), ("ramGb", 65.0), ("crew", "nobody"), ("shards", 0), ("shards", "x"), ("cpus", -1.0),
                 ("hulls", ["none"]), ("quay", "nowhere"), ("cards", 5.0), ("shape", "ring"), ("shards", 100_001)]
            )  # fmt: skip
            spec[field] = value
        elif kind == 2:
            response = controller.job_api.poll(unused_id)
            if response.status == 200:
                self.checks.other_violations.append(f"{sent_at:.2f} {unused_id} was invented by {name}")
            return
        else:
            job_id = self.cluster.fault_rng.choice(accepted)
            changed = {**self.cluster.jobs[job_id].spec, "shards": "x", "crew": "nobody"}
            response = controller.job_api.submit(json.dumps(changed).encode())
            if response.status not in (200, 503):
                self.checks.other_violations.append(
                    f"{sent_at:.2f} {job_id} accepted, its repeat with nonsense answered {response.status}"
                )
            return
        response = controller.job_api.submit(json.dumps(spec).encode())
        if response.status not in (400, 422, 503):
            self.checks.other_violations.append(
                f"{sent_at:.2f} {unused_id}: answered {response.status} though it can't run: {spec}"
            )

    def send_until(self, end_s: float) -> None:
        """Send invalid requests in the background until the given simulated time, in seconds."""

        def send_requests() -> None:
            while self.cluster.loop.time < end_s:
                gevent.spawn(self.send_one)
                gevent.sleep(SEND_INTERVAL_S)

        gevent.spawn(send_requests)
