"""What finished tasks have shown of how long they run."""

from __future__ import annotations

from .jobs import Job


class RunTimeEstimates:
    def __init__(self) -> None:
        #: by class: run time as a multiple of what owners estimate
        self.ratio: dict[str, float] = {}

    def learn(self, job: Job, seconds: float) -> None:
        """A task of this job ran so long."""
        ratio = min(10.0, max(0.1, seconds / job.spec.estimate_s))
        old = self.ratio.get(job.spec.klass, 1.0)
        self.ratio[job.spec.klass] = old + 0.05 * (ratio - old)

    def run_s(self, job: Job) -> float:
        """How long a task of it runs, by its owner's estimate and what its class has shown, in seconds."""
        return job.spec.estimate_s * self.ratio.get(job.spec.klass, 1.0)
