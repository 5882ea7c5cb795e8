"""Finds machines that run slowly, and tells them from jobs that are slow everywhere.

The run time of each finished task of an array is compared with those of other tasks of the same job on other machines,
so a job that is slow everywhere says nothing about any machine. The logarithms of these ratios are averaged for each
machine. A machine counts as slow once their mean exceeds the policy's ratio by two standard errors, over enough
samples from at least two jobs. Two kinds of tasks are left out: those that were started before may resume from a
checkpoint, and those of gangs run as fast as the gang's slowest machine.
"""

from __future__ import annotations

import logging
import math
import statistics

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import MachineInventory
from ..log_events import LogEvent
from .machine_health import DRAIN_SLOW, MachineHealth

log = logging.getLogger(__name__)

#: tasks of the same job on other machines that a run time is compared with, and on how many machines they have to have
#: run: fewer would make one slow machine the measure of the others
MIN_OTHER_TASKS = 6
MIN_OTHER_MACHINES = 3
#: run times that are remembered for each job
MAX_RUN_TIMES = 48
#: with this many samples a machine's estimate is used to prefer other machines, before it suffices to drain it
MIN_SAMPLES_FOR_SLOWNESS = 4
#: samples have to be of at least this many jobs before a machine is drained
MIN_JOBS = 2
#: the variance of fewer samples is not defined
MIN_SAMPLES_FOR_VARIANCE = 2
#: by how many standard errors the mean has to exceed the bound
STANDARD_ERRORS = 2
#: at most one in this many machines is drained for its speed at a time
MACHINES_PER_DRAIN = 20


class RunTimeSamples:
    """Mean and variance of one machine's samples (Welford's method)."""

    __slots__ = ("count", "jobs", "mean", "squares")

    def __init__(self) -> None:
        self.count = 0
        #: mean of the samples, and sum of their squared differences from it
        self.mean = self.squares = 0.0
        #: the first jobs that samples came from, no more than matter
        self.jobs: set[str] = set()

    def add(self, value: float, job_id: str) -> None:
        """Add the logarithm of a ratio of run times."""
        self.count += 1
        delta = value - self.mean
        self.mean += delta / self.count
        self.squares += delta * (value - self.mean)
        if len(self.jobs) < MIN_JOBS:
            self.jobs.add(job_id)

    def surely_above(self, bound: float) -> bool:
        """Return whether the mean exceeds the bound by two standard errors."""
        if self.count < MIN_SAMPLES_FOR_VARIANCE:
            return False
        standard_error = math.sqrt(self.squares / (self.count - 1) / self.count)
        return self.mean - STANDARD_ERRORS * standard_error > bound


class StragglerDetector:
    """Estimates how slow each machine is, and drains those that are surely slow."""

    def __init__(self, inventory: MachineInventory, health: MachineHealth, slow_ratio: float, samples: int) -> None:
        """Build the detector.

        Args:
            inventory: all machines.
            health: evacuates machines that are drained.
            slow_ratio: how many times as long as others a machine has to take to be drained.
            samples: how many samples that takes at least.
        """
        self.inventory = inventory
        self.health = health
        self.slow_ratio = slow_ratio
        self.min_samples = samples
        #: by index of the machine
        self._samples: dict[int, RunTimeSamples] = {}

    def record_run_time(self, machine: Machine, allocation: Allocation, now: float) -> None:
        """Take in the run time of a task that has completed on a machine."""
        job = allocation.job
        if job.gang or not allocation.first or allocation.run_at is None or now <= allocation.run_at:
            return
        run_time_s = now - allocation.run_at
        others = [(index, seconds) for index, seconds in job.runs if index != machine.index]
        self._remember(job, machine, run_time_s)
        if len(others) < MIN_OTHER_TASKS or len({index for index, _ in others}) < MIN_OTHER_MACHINES:
            return
        samples = self._samples.setdefault(machine.index, RunTimeSamples())
        ratio = run_time_s / statistics.median(seconds for _, seconds in others)
        samples.add(math.log(ratio), job.spec.id)
        if samples.count >= MIN_SAMPLES_FOR_SLOWNESS:
            machine.slowness = max(1.0, math.exp(samples.mean))
        if self._is_surely_slow(samples):
            self._drain(machine, samples, now)

    @staticmethod
    def _remember(job: Job, machine: Machine, run_time_s: float) -> None:
        """Keep a run time with its job, in place of the oldest if there are too many."""
        if len(job.runs) >= MAX_RUN_TIMES:
            job.runs.pop(0)
        job.runs.append((machine.index, run_time_s))

    def _is_surely_slow(self, samples: RunTimeSamples) -> bool:
        """Return whether a machine's samples suffice to drain it."""
        enough = samples.count >= self.min_samples and len(samples.jobs) >= MIN_JOBS
        return enough and samples.surely_above(math.log(self.slow_ratio))

    def _drain(self, machine: Machine, samples: RunTimeSamples, now: float) -> None:
        """Drain a slow machine, unless too many are being drained: it is placed last until those are gone."""
        if machine.drain_reason is not None:
            return
        draining = sum(1 for other in self.inventory.machines if other.drain_reason == DRAIN_SLOW)
        if draining >= max(1, len(self.inventory.machines) // MACHINES_PER_DRAIN):
            return
        log.warning(
            LogEvent(
                "machine_drained",
                machine=machine.name,
                reason=DRAIN_SLOW,
                slowness=math.exp(samples.mean),
                samples=samples.count,
            )
        )
        machine.drain_reason = DRAIN_SLOW
        self.health.evacuate(machine, now)

    def remove_deleted_machines(self) -> None:
        """Drop the samples of machines that no longer exist."""
        for index in [i for i in self._samples if self.inventory.at(i) is None]:
            del self._samples[index]
