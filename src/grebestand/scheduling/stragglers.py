"""Detects slow machines (stragglers), as opposed to jobs that run slowly on every machine.

The run time of each finished task of an array is divided by the median run time of tasks of the same job on other
machines, so that a job that is slow everywhere does not affect any machine's estimate. The logarithms of these ratios
are averaged for each machine. A machine is considered slow once the mean exceeds the logarithm of the policy's ratio by
two standard errors, over enough samples from at least two jobs. Two kinds of tasks are excluded: restarted tasks, which
may resume from a checkpoint, and tasks of gangs, which run as fast as the gang's slowest machine.
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

#: Minimum number of tasks of the same job on other machines that a run time is compared with, and minimum number of
#: machines where they ran: with fewer, one slow machine could determine the reference for the others.
MIN_OTHER_TASKS = 6
MIN_OTHER_MACHINES = 3
#: Maximum number of run times kept for each job.
MAX_RUN_TIMES = 48
#: Minimum number of samples before a machine's slowness affects placement; draining the machine takes more samples.
MIN_SAMPLES_FOR_SLOWNESS = 4
#: A machine is drained only if its samples come from at least this many jobs.
MIN_SAMPLED_JOBS = 2
#: The variance of fewer samples is undefined.
MIN_SAMPLES_FOR_VARIANCE = 2
#: How many standard errors the mean must exceed the bound by.
STANDARD_ERRORS = 2
#: At most one in this many machines is drained for slowness at a time.
MACHINES_PER_SLOW_DRAIN = 20


class RunTimeSamples:
    """Mean and variance of one machine's samples (Welford's method)."""

    __slots__ = ("count", "jobs", "mean", "squared_deviations")

    def __init__(self) -> None:
        self.count = 0
        #: Mean of the samples, and sum of the squared differences between the samples and their mean.
        self.mean = self.squared_deviations = 0.0
        #: Ids of the first jobs that samples came from, at most `MIN_SAMPLED_JOBS`.
        self.jobs: set[str] = set()

    def add(self, value: float, job_id: str) -> None:
        """Add the logarithm of a ratio of run times."""
        self.count += 1
        delta = value - self.mean
        self.mean += delta / self.count
        self.squared_deviations += delta * (value - self.mean)
        if len(self.jobs) < MIN_SAMPLED_JOBS:
            self.jobs.add(job_id)

    def significantly_above(self, bound: float) -> bool:
        """Return whether the mean exceeds the bound by two standard errors."""
        if self.count < MIN_SAMPLES_FOR_VARIANCE:
            return False
        standard_error = math.sqrt(self.squared_deviations / (self.count - 1) / self.count)
        return self.mean - STANDARD_ERRORS * standard_error > bound


class StragglerDetector:
    """Estimates the slowness of each machine, and drains machines that are significantly slow."""

    def __init__(self, inventory: MachineInventory, health: MachineHealth, slow_ratio: float, samples: int) -> None:
        """Build the detector.

        Args:
            inventory: All machines.
            health: Evacuates machines that are drained.
            slow_ratio: The ratio of a machine's run times to those of other machines above which it is drained.
            samples: The minimum number of samples before a machine is drained.
        """
        self.inventory = inventory
        self.health = health
        self.slow_ratio = slow_ratio
        self.min_samples = samples
        #: Samples by machine index.
        self._samples: dict[int, RunTimeSamples] = {}

    def record_run_time(self, machine: Machine, allocation: Allocation, now: float) -> None:
        """Record the run time of a completed task, and drain the machine if it is significantly slow.

        Args:
            machine: The machine where the task ran.
            allocation: The task's allocation.
            now: Seconds on the leader's clock.
        """
        job = allocation.job
        if (
            job.is_gang
            or not allocation.is_first_attempt
            or allocation.running_since is None
            or now <= allocation.running_since
        ):
            return
        run_time_s = now - allocation.running_since
        others = [(index, seconds) for index, seconds in job.recent_run_times if index != machine.index]
        self._append_run_time(job, machine, run_time_s)
        if len(others) < MIN_OTHER_TASKS or len({index for index, _ in others}) < MIN_OTHER_MACHINES:
            return
        samples = self._samples.setdefault(machine.index, RunTimeSamples())
        ratio = run_time_s / statistics.median(seconds for _, seconds in others)
        samples.add(math.log(ratio), job.spec.id)
        if samples.count >= MIN_SAMPLES_FOR_SLOWNESS:
            machine.slowness = max(1.0, math.exp(samples.mean))
        if self._is_significantly_slow(samples):
            self._drain(machine, samples, now)

    @staticmethod
    def _append_run_time(job: Job, machine: Machine, run_time_s: float) -> None:
        """Add a run time to the job's recent run times, replacing the oldest if there are too many."""
        if len(job.recent_run_times) >= MAX_RUN_TIMES:
            job.recent_run_times.pop(0)
        job.recent_run_times.append((machine.index, run_time_s))

    def _is_significantly_slow(self, samples: RunTimeSamples) -> bool:
        """Return whether a machine's samples show significant slowness, so that the machine should be drained."""
        enough = samples.count >= self.min_samples and len(samples.jobs) >= MIN_SAMPLED_JOBS
        return enough and samples.significantly_above(math.log(self.slow_ratio))

    def _drain(self, machine: Machine, samples: RunTimeSamples, now: float) -> None:
        """Drain a slow machine, unless too many slow machines are being drained already.

        A slow machine that is not drained is still ranked behind others by placement.
        """
        if machine.drain_reason is not None:
            return
        draining = sum(1 for other in self.inventory.machines if other.drain_reason == DRAIN_SLOW)
        if draining >= max(1, len(self.inventory.machines) // MACHINES_PER_SLOW_DRAIN):
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
        """Remove the samples of machines that no longer exist."""
        for index in [i for i in self._samples if self.inventory.find_by_index(i) is None]:
            del self._samples[index]
