"""Tells machines that run slowly from jobs that are slow everywhere.

Each finished task of an array is held against other tasks of the same job on other machines, so a job that is slow
everywhere says nothing of anybody. The logarithms of these ratios are averaged for each machine, and a machine
counts as slow once their mean is above the policy's ratio by two standard errors, over enough samples of at least
two jobs. Tasks that had a place before may go on from a checkpoint, and gangs run as fast as their slowest machine:
both are left out.
"""

from __future__ import annotations

import logging
import math
import statistics

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import MachineInventory
from .machine_health import MachineHealth

log = logging.getLogger(__name__)

#: tasks of one job on other machines that a task is held against, and on how many machines they have to have run
LEAST_OTHERS, LEAST_MACHINES = 6, 3
#: finished tasks that a job remembers
MOST_RUNS = 48
#: with this many samples a machine's estimate is used to place work, before it is sure enough to drain it
HINT_SAMPLES = 4
#: at most one in so many machines is drained for its speed at a time
DRAINED_SHARE = 20


class RunTimeSamples:
    """Mean and spread of one machine's samples (Welford's method)."""

    __slots__ = ("count", "jobs", "mean", "squares")

    def __init__(self) -> None:
        self.count = 0
        self.mean = self.squares = 0.0
        self.jobs: set[str] = set()

    def add(self, value: float, job: str) -> None:
        self.count += 1
        delta = value - self.mean
        self.mean += delta / self.count
        self.squares += delta * (value - self.mean)
        if len(self.jobs) < 2:
            self.jobs.add(job)

    def surely_above(self, bound: float) -> bool:
        """Whether the mean is above the bound by two standard errors."""
        if self.count < 2:
            return False
        error = math.sqrt(self.squares / (self.count - 1) / self.count)
        return self.mean - 2 * error > bound


class StragglerDetector:
    def __init__(self, inventory: MachineInventory, health: MachineHealth, slow_ratio: float, samples: int) -> None:
        self.inventory = inventory
        self.health = health
        self.slow_ratio = slow_ratio
        self.samples = samples
        self._timings: dict[int, RunTimeSamples] = {}

    def finished(self, m: Machine, allocation: Allocation, now: float) -> None:
        """A task has completed on a machine."""
        job = allocation.job
        if job.gang or not allocation.first or allocation.run_at is None or now <= allocation.run_at:
            return
        seconds = now - allocation.run_at
        others = [s for machine, s in job.runs if machine != m.index]
        elsewhere = {machine for machine, _ in job.runs if machine != m.index}
        self._remember(job, m, seconds)
        if len(others) < LEAST_OTHERS or len(elsewhere) < LEAST_MACHINES:
            return
        timing = self._timings.setdefault(m.index, RunTimeSamples())
        timing.add(math.log(seconds / statistics.median(others)), job.spec.id)
        if timing.count >= HINT_SAMPLES:
            m.slowness = max(1.0, math.exp(timing.mean))
        if timing.count >= self.samples and len(timing.jobs) > 1 and timing.surely_above(math.log(self.slow_ratio)):
            self._drain(m, timing, now)

    @staticmethod
    def _remember(job: Job, m: Machine, seconds: float) -> None:
        if len(job.runs) >= MOST_RUNS:
            job.runs.pop(0)
        job.runs.append((m.index, seconds))

    def _drain(self, m: Machine, timing: RunTimeSamples, now: float) -> None:
        if m.drain is not None:
            return
        draining = sum(1 for x in self.inventory.machines if x.drain == "slow")
        if draining >= max(1, len(self.inventory.machines) // DRAINED_SHARE):
            return  # it is placed last until others are gone
        log.warning(
            "machine %s takes %.1f times as long as others for the same (%d tasks): it is drained and returned",
            m.name, math.exp(timing.mean), timing.count,
        )  # fmt: skip
        m.drain = "slow"
        self.health.evacuate(m, now)

    def forget(self) -> None:
        """Lets go of machines that are gone."""
        for index in [i for i in self._timings if self.inventory.at(i) is None]:
            del self._timings[index]
