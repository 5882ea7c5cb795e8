"""Estimates of run times, learned from the tasks that have finished."""

from __future__ import annotations

from .jobs import Job

#: Bounds of one task's ratio, so that a single one far off its estimate does not spoil that of its class.
MIN_RATIO, MAX_RATIO = 0.1, 10.0
#: Weight of the newest task in the moving average: the last twenty or so count.
NEWEST_WEIGHT = 0.05
#: The ratio of a class of which no task has finished yet.
UNKNOWN_RATIO = 1.0


class RunTimeEstimates:
    """How long tasks of each class run, as a multiple of what their owners estimate."""

    def __init__(self) -> None:
        #: Moving average of run time over estimate, by class.
        self.ratio: dict[str, float] = {}

    def learn(self, job: Job, seconds: float) -> None:
        """Learn from a finished task of a job, which ran for so many seconds and has an estimate."""
        ratio = min(MAX_RATIO, max(MIN_RATIO, seconds / job.spec.estimate_s))
        average = self.ratio.get(job.spec.klass, UNKNOWN_RATIO)
        self.ratio[job.spec.klass] = average + NEWEST_WEIGHT * (ratio - average)

    def run_s(self, job: Job) -> float:
        """Return for how many seconds a task of the job is expected to run."""
        return job.spec.estimate_s * self.ratio.get(job.spec.klass, UNKNOWN_RATIO)
