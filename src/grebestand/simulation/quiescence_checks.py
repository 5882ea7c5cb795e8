"""Once all troubles are over: whether all that was accepted is done, nobody is forgotten, and nothing left waiting."""

from __future__ import annotations

import math

import gevent

from .cluster_base import MACHINE_CPUS, ClusterBase
from .invariant_checks import InvariantChecks

#: a job about which no question is answered for so long, in seconds, counts as forgotten; one that waits for so long,
#: troubles over, while it could begin, counts as left waiting
FORGOTTEN_S, WAITED_S = 75.0, 90.0


class QuiescenceChecks:
    """Checks once faults are over: every job is known, and none waits that could begin."""

    def __init__(self, basis: ClusterBase, checks: InvariantChecks) -> None:
        self.basis = basis
        self.checks = checks
        #: since when, troubles over, a job has waited though it could begin
        self._startable_since: dict[str, float] = {}

    def wait_until_settled(self, most_s: float) -> list[str]:
        """All troubles are over: lets everybody go on until all is done, or for so long, and says what is left.

        Jobs that were accepted, not cancelled, and not done; a job that was left without an answer for `FORGOTTEN_S`,
        for which it plays on in any case.
        """
        self.basis.faults_ended_at = self.basis.loop.time
        left = ["all"]
        while self.basis.loop.time < self.basis.faults_ended_at + most_s and (
            left or self.basis.loop.time < self.basis.faults_ended_at + FORGOTTEN_S + 5.0
        ):
            for _ in range(2):
                gevent.sleep(5)
                self._check_waiting_jobs()
            left = [
                ref
                for ref, j in self.basis.jobs.items()
                if j.accepted_at is not None and not j.is_finished and not j.always_fails
            ]
        waited, ref = self.longest_unanswered()
        if waited > FORGOTTEN_S:
            left.append(f"{ref} unanswered for {waited:.1f} s")
        return left

    def _check_waiting_jobs(self) -> None:
        """Which jobs wait though machines that fit have room and their teams are under their limits."""
        # the most since the last look: one of two tasks that follow each other is not room
        use, limits = self.checks.take_peak_usage(), self.basis.team_limits()
        free = {name: MACHINE_CPUS for name, seat in self.checks.machines.items() if not seat.terminated}
        for task, name in self.checks.machine_by_task.items():
            if name in free:
                free[name] -= self.basis.jobs[task.rpartition("/")[0]].cpus
        zone_of = {name: seat.zone for name, seat in self.checks.machines.items()}
        taken = self.checks.completed_tasks | self.checks.machine_by_task.keys()
        for ref, job in self.basis.jobs.items():
            waiting = any(f"{ref}/{i}" not in taken for i in range(job.tasks))
            there = [
                self.checks.machines[m].zone
                for t, m in self.checks.machine_by_task.items()
                if t.rpartition("/")[0] == ref
            ]
            asks = job.tasks if job.is_gang else 1
            under = all(
                u + asks * a <= most + 1e-6
                for u, a, most in zip(
                    use.get(job.team, (0.0, 0.0)), (job.cpus, job.gpus), limits[job.team], strict=True
                )
            )
            could = job.accepted_at is not None and not job.is_finished and not job.always_fails and waiting and under
            if could and not (job.is_gang and there) and job.fits_free_capacity(free, zone_of, there):
                since = self._startable_since.setdefault(ref, self.basis.loop.time)
                if self.basis.loop.time - since > WAITED_S:
                    self.checks.starved_jobs.append(f"{ref} has waited since {since:.1f} though it could begin")
                    self._startable_since[ref] = math.inf
            else:
                self._startable_since.pop(ref, None)

    def longest_unanswered(self) -> tuple[float, str]:
        """The job that was left without an answer for the longest since all troubles were over, and for how long."""
        now = self.basis.loop.time
        waits = [
            (max(j.max_unanswered_s, now - max(j.last_answered_at, self.basis.faults_ended_at)), ref)
            for ref, j in self.basis.jobs.items()
            if j.accepted_at is not None
        ]
        return max(waits, default=(0.0, ""))
