"""Checks after all faults have ended: each accepted job finishes, starts while it can, and is known to controllers."""

from __future__ import annotations

import math

import gevent

from .cluster_base import MACHINE_CPUS, ClusterBase
from .invariant_checks import InvariantChecks

#: a job is reported if no request about it was answered for longer than this
MAX_UNANSWERED_S = 75.0
#: a job is reported if it could have started for longer than this
MAX_STARTABLE_S = 90.0
CHECK_INTERVAL_S = 5


class QuiescenceChecks:
    """Checks that jobs make progress once all faults have ended."""

    def __init__(self, cluster: ClusterBase, checks: InvariantChecks) -> None:
        self.cluster = cluster
        self.checks = checks
        #: since when each waiting job could have started, in simulated seconds; infinite once it was reported
        self._startable_since: dict[str, float] = {}

    def wait_until_settled(self, timeout_s: float) -> list[str]:
        """Run without faults until all jobs are finished or the timeout, in simulated seconds, has passed.

        Unless the timeout is shorter, the run lasts long enough for a job without any response to exceed
        `MAX_UNANSWERED_S`.

        Returns:
            The ids of accepted jobs that aren't finished, and the job that was unanswered for too long.
        """
        self.cluster.faults_ended_at = self.cluster.loop.time
        unsettled = ["all"]
        while self.cluster.loop.time < self.cluster.faults_ended_at + timeout_s and (
            unsettled or self.cluster.loop.time < self.cluster.faults_ended_at + MAX_UNANSWERED_S + 5.0
        ):
            for _ in range(2):
                gevent.sleep(CHECK_INTERVAL_S)
                self._check_waiting_jobs()
            unsettled = [
                job_id
                for job_id, job in self.cluster.jobs.items()
                if job.accepted_at is not None and not job.is_finished and not job.always_fails
            ]
        unanswered_s, job_id = self.longest_unanswered()
        if unanswered_s > MAX_UNANSWERED_S:
            unsettled.append(f"{job_id} unanswered for {unanswered_s:.1f} s")
        return unsettled

    def _check_waiting_jobs(self) -> None:
        """Record jobs that wait although suitable machines are free and the team is below its limit."""
        # The peak usage, because the capacity between two consecutive tasks does not count as free.
        usage, limits = self.checks.take_peak_usage(), self.cluster.team_limits()
        machines, machine_by_task = self.checks.machines, self.checks.machine_by_task
        free_cpus = {name: MACHINE_CPUS for name, worker in machines.items() if not worker.terminated}
        for task, name in machine_by_task.items():
            if name in free_cpus:
                free_cpus[name] -= self.cluster.jobs[task.rpartition("/")[0]].cpus
        zone_of = {name: worker.zone for name, worker in machines.items()}
        started = self.checks.completed_tasks | machine_by_task.keys()
        for job_id, job in self.cluster.jobs.items():
            has_waiting_task = any(f"{job_id}/{i}" not in started for i in range(job.tasks))
            used_zones = [
                machines[name].zone for task, name in machine_by_task.items() if task.rpartition("/")[0] == job_id
            ]
            starting_tasks = job.tasks if job.is_gang else 1
            is_below_limit = all(
                used + starting_tasks * amount <= limit + 1e-6
                for used, amount, limit in zip(
                    usage.get(job.team, (0.0, 0.0)), (job.cpus, job.gpus), limits[job.team], strict=True
                )
            )
            could_start = (
                job.accepted_at is not None
                and not job.is_finished
                and not job.always_fails
                and has_waiting_task
                and is_below_limit
            )
            is_running_gang = job.is_gang and bool(used_zones)
            if could_start and not is_running_gang and job.fits_free_capacity(free_cpus, zone_of, used_zones):
                since = self._startable_since.setdefault(job_id, self.cluster.loop.time)
                if self.cluster.loop.time - since > MAX_STARTABLE_S:
                    self.checks.starved_jobs.append(f"{job_id} has waited since {since:.1f} though it could begin")
                    self._startable_since[job_id] = math.inf
            else:
                self._startable_since.pop(job_id, None)

    def longest_unanswered(self) -> tuple[float, str]:
        """Return the longest time in seconds, since all faults ended, without a response about a job, and its id."""
        now = self.cluster.loop.time
        times = [
            (
                max(job.max_unanswered_s, now - max(job.last_answered_at, self.cluster.faults_ended_at)),
                job_id,
            )
            for job_id, job in self.cluster.jobs.items()
            if job.accepted_at is not None
        ]
        return max(times, default=(0.0, ""))
