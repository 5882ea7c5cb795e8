"""Once all troubles are over: whether all that was accepted is done, nobody is forgotten, and nothing left waiting."""

from __future__ import annotations

import math

import gevent

from .cluster_base import ROOM, ClusterBase
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
        self._waits: dict[str, float] = {}

    def settled(self, most_s: float) -> list[str]:
        """All troubles are over: lets everybody go on until all is done, or for so long, and says what is left.

        Jobs that were accepted, not cancelled, and not done; a job that was left without an answer for `FORGOTTEN_S`,
        for which it plays on in any case.
        """
        self.basis.calm_at = self.basis.loop.time
        left = ["all"]
        while self.basis.loop.time < self.basis.calm_at + most_s and (
            left or self.basis.loop.time < self.basis.calm_at + FORGOTTEN_S + 5.0
        ):
            for _ in range(2):
                gevent.sleep(5)
                self._look_at_waiting()
            left = [
                ref for ref, j in self.basis.jobs.items() if j.accepted_at is not None and not j.over and not j.broken
            ]
        waited, ref = self.longest_unanswered()
        if waited > FORGOTTEN_S:
            left.append(f"{ref} unanswered for {waited:.1f} s")
        return left

    def _look_at_waiting(self) -> None:
        """Which jobs wait though machines that fit have room and their teams are under their limits."""
        # the most since the last look: one of two tasks that follow each other is not room
        use, limits = self.checks.take_peak(), self.basis.limits()
        free = {name: ROOM for name, seat in self.checks.machines.items() if not seat.dead}
        for task, name in self.checks.tasks.items():
            if name in free:
                free[name] -= self.basis.jobs[task.rpartition("/")[0]].cpus
        zone_of = {name: seat.zone for name, seat in self.checks.machines.items()}
        taken = self.checks.finished | self.checks.tasks.keys()
        for ref, job in self.basis.jobs.items():
            waiting = any(f"{ref}/{i}" not in taken for i in range(job.tasks))
            there = [self.checks.machines[m].zone for t, m in self.checks.tasks.items() if t.rpartition("/")[0] == ref]
            asks = job.tasks if job.gang else 1
            under = all(
                u + asks * a <= most + 1e-6
                for u, a, most in zip(
                    use.get(job.team, (0.0, 0.0)), (job.cpus, job.cards), limits[job.team], strict=True
                )
            )
            could = job.accepted_at is not None and not job.over and not job.broken and waiting and under
            if could and not (job.gang and there) and job.fits(free, zone_of, there):
                since = self._waits.setdefault(ref, self.basis.loop.time)
                if self.basis.loop.time - since > WAITED_S:
                    self.checks.left_waiting.append(f"{ref} has waited since {since:.1f} though it could begin")
                    self._waits[ref] = math.inf
            else:
                self._waits.pop(ref, None)

    def longest_unanswered(self) -> tuple[float, str]:
        """The job that was left without an answer for the longest since all troubles were over, and for how long."""
        now = self.basis.loop.time
        waits = [
            (max(j.unanswered_s, now - max(j.answered_at, self.basis.calm_at)), ref)
            for ref, j in self.basis.jobs.items()
            if j.accepted_at is not None
        ]
        return max(waits, default=(0.0, ""))
