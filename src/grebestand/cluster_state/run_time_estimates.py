"""Run time estimates, corrected by the observed run times of finished tasks."""

from __future__ import annotations

from .jobs import Job

#: Bounds of the ratio of run time to estimate of one task, so that a single outlier does not distort the average of its
#: class.
MIN_RATIO, MAX_RATIO = 0.1, 10.0
#: Weight of the newest task in the moving average, so that about the last twenty tasks matter.
NEWEST_WEIGHT = 0.05
#: Ratio for a job class without finished tasks.
UNKNOWN_RATIO = 1.0


class RunTimeEstimates:
    """Run times of the tasks of each job class, as a multiple of their owners' estimates."""

    def __init__(self) -> None:
        #: Moving average of the ratio of run time to estimate, by job class.
        self.ratio_by_class: dict[str, float] = {}

    def record_run_time(self, job: Job, seconds: float) -> None:
        """Update the average of a job's class with a finished task.

        Args:
            job: The job, which has an estimate.
            seconds: The run time of the task.
        """
        ratio = min(MAX_RATIO, max(MIN_RATIO, seconds / job.spec.estimate_s))
        average = self.ratio_by_class.get(job.spec.klass, UNKNOWN_RATIO)
        self.ratio_by_class[job.spec.klass] = average + NEWEST_WEIGHT * (ratio - average)

    def expected_run_s(self, job: Job) -> float:
        """Return the expected run time of a task of the job, in seconds."""
        return job.spec.estimate_s * self.ratio_by_class.get(job.spec.klass, UNKNOWN_RATIO)
