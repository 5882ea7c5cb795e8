"""Simulated users, who submit, poll and cancel jobs, and record the responses."""

from __future__ import annotations

import gevent

from .client_history import ClientHistory
from .cluster_base import ClusterBase
from .invariant_checks import InvariantChecks
from .simulated_controllers import SimulatedControllers

#: requests of a burst are sent within this time, in seconds
BURST_S = 0.03
#: requests of a burst to each controller
BURST_REQUESTS = 2
POLL_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
#: the probability that a user submits an accepted job again instead of polling it
RESUBMISSION_RATE = 0.1
RETRY_S = 1.0
POLL_INTERVAL_S = 2.0
FINISHED_POLL_INTERVAL_S = 6.0


class SimulatedUsers:
    """Users who submit, poll, resubmit and cancel jobs at any controller, and record the responses.

    Attributes:
        job_ended_at: By job, when its last task ended, in simulated seconds.
        completion_delays_s: By job, the seconds between the end of its last task and the first response with that.
    """

    def __init__(self, cluster: ClusterBase, checks: InvariantChecks, processes: SimulatedControllers) -> None:
        self.cluster = cluster
        self.checks = checks
        self.processes = processes
        self.job_ended_at: dict[str, float] = {}
        self.completion_delays_s: dict[str, float] = {}

    def submit(
        self, team: str = "blue", tasks: int = 4, cpus: float = 1.0, controller: str | None = None, **fields: object
    ) -> str:
        """Have a user submit a job and poll it until the end of the simulation.

        Args:
            team: The job's team.
            tasks: The number of tasks.
            cpus: The CPUs of each task.
            controller: The controller that receives the requests; a random one for each if not given.
            **fields: Other fields of the submission by their names on the wire, and `always_fails`: whether each task
                fails on any machine.

        Returns:
            The job's id.
        """
        job_id = f"j-{len(self.cluster.jobs) + 1:06d}"
        always_fails = bool(fields.pop("always_fails", False))
        spec = {
            "ref": job_id, "lane": "work", "crew": team, "shape": "array", "rank": "standard", "shards": tasks,
            "cpus": cpus, "cards": 0.0, "ramGb": 1.0, "cargo": "img", "pullGb": 0.1, "hulls": None, "quay": None,
            "samePlace": False, "scatter": False, "driftwood": True, "reckonS": 8.0, "markS": 0.0, "stowS": 0.0,
            "dueS": None,
        }  # fmt: skip
        spec |= fields
        self.cluster.jobs[job_id] = ClientHistory(job_id, spec, self.cluster.loop.time, always_fails=always_fails)
        gevent.spawn(self._run_user, job_id, controller)
        return job_id

    def _run_user(self, job_id: str, controller: str | None) -> None:
        job = self.cluster.jobs[job_id]
        while True:
            name = controller or self.cluster.rng.choice(self.cluster.controller_names)
            if not self.processes.accepts_requests(name):
                gevent.sleep(RETRY_S)
                continue
            resubmits = self.cluster.fault_rng.random() < RESUBMISSION_RATE
            if job.accepted_at is None or (resubmits and not job.is_finished):
                self.send_request("submit", job_id, name)
                gevent.sleep(RETRY_S)
            elif self.cluster.loop.time >= job.cancel_at and not job.is_finished:
                self.send_request("cancel", job_id, name)
                gevent.sleep(RETRY_S)
            else:
                self.send_request("poll", job_id, name)
                interval_s = FINISHED_POLL_INTERVAL_S if job.is_finished else POLL_INTERVAL_S
                gevent.sleep(interval_s / self.cluster.poll_rate_factor)

    def send_request(self, method: str, job_id: str, controller: str) -> None:
        """Send a request about a job, and record the response.

        A response is dropped if it comes after the user's timeout, or if the controller's process has ended meanwhile.

        Args:
            method: "submit", "cancel" or "poll".
            job_id: The job's id.
            controller: The controller's host name.
        """
        job, process, sent_at = (
            self.cluster.jobs[job_id],
            self.processes.controllers[controller],
            self.cluster.loop.time,
        )
        if process is None:
            return
        api = process.job_api
        if method == "submit":
            response = api.submit(job.body)
        else:
            response = (api.cancel if method == "cancel" else api.poll)(job_id)
        now = self.cluster.loop.time
        timeout_s = POLL_TIMEOUT_S if method == "poll" else REQUEST_TIMEOUT_S
        if self.processes.controllers[controller] is not process or now - sent_at >= timeout_s:
            return
        tasks = [f"{job_id}/{i}" for i in range(job.tasks)]
        unfinished_tasks = [task for task in tasks if task not in self.checks.completed_tasks]
        observation = job.record_response(
            response.status, response.body, sent_at, now, self.cluster.faults_ended_at, unfinished_tasks
        )
        self.checks.other_violations += [
            f"{now:.2f} {job_id} {text} (by {controller})" for text in observation.violations
        ]
        self.checks.stale_overlapping += [
            f"{now:.2f} {job_id} {text} (by {controller})" for text in observation.stale_overlapping
        ]
        if observation.is_news:
            if job.done_at is not None:
                self.completion_delays_s[job_id] = now - self.job_ended_at.get(job_id, now)
            self.send_request_burst(job_id)

    def task_ended(self, task: str) -> None:
        """Record a task's end; if no other task of the job is left, some users cancel the job at this moment."""
        job_id = task.rpartition("/")[0]
        job = self.cluster.jobs[job_id]
        if any(f"{job_id}/{i}" not in self.checks.completed_tasks for i in range(job.tasks)) or job.is_finished:
            return
        if self.cluster.cancel_at_end_rate and self.cluster.fault_rng.random() < self.cluster.cancel_at_end_rate:
            job.cancel_at = min(job.cancel_at, self.cluster.loop.time)
        self.job_ended_at[job_id] = self.cluster.loop.time
        self.send_request_burst(job_id)

    def send_request_burst(self, job_id: str) -> None:
        """Send requests about a job to all controllers within milliseconds, if that fault is in force."""
        if not self.cluster.burst_requests:
            return
        for name in self.cluster.controller_names * BURST_REQUESTS:
            gevent.spawn_later(self.cluster.fault_rng.uniform(0.0, BURST_S), self._send_burst_request, job_id, name)

    def _send_burst_request(self, job_id: str, controller: str) -> None:
        if not self.processes.accepts_requests(controller):
            return
        may_cancel = self.cluster.loop.time >= self.cluster.jobs[job_id].cancel_at
        methods = ["poll", "poll", "submit"] + ["cancel"] * may_cancel
        self.send_request(self.cluster.fault_rng.choice(methods), job_id, controller)

    def cancel_running_jobs(self, count: int) -> list[str]:
        """Have users cancel at most `count` running jobs within 0.2 s, and return the ids of these jobs."""
        cluster = self.cluster
        running = sorted({task.rpartition("/")[0] for task in self.checks.machine_by_task})
        job_ids = [job_id for job_id in running if not cluster.jobs[job_id].is_finished][:count]
        for job_id in job_ids:
            cancel_at = cluster.loop.time + cluster.fault_rng.uniform(0.0, 0.2)
            cluster.jobs[job_id].cancel_at = min(cluster.jobs[job_id].cancel_at, cancel_at)
            delay_s = cancel_at - cluster.loop.time + 0.001
            controller = cluster.fault_rng.choice(cluster.controller_names)
            gevent.spawn_later(delay_s, self.send_request, "cancel", job_id, controller)
        return job_ids

    def submit_continuously(self, interval_s: float, end_s: float) -> None:
        """Have users of both teams submit jobs in the background.

        Args:
            interval_s: The interval between two submissions, in simulated seconds.
            end_s: The simulated time at which submissions end, in seconds.
        """
        cluster = self.cluster

        def submit_jobs() -> None:
            while cluster.loop.time < end_s:
                team, tasks = cluster.rng.choice(["red", "blue"]), cluster.rng.randint(1, 12)
                job_id = self.submit(team, tasks, cluster.rng.choice([1.0, 2.0]))
                if cluster.fault_rng.random() < cluster.cancelled_job_rate:
                    # By then the job may be queued, starting or running.
                    cluster.jobs[job_id].cancel_at = cluster.loop.time + cluster.fault_rng.uniform(0.0, 40.0)
                gevent.sleep(interval_s)

        gevent.spawn(submit_jobs)
