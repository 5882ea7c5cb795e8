"""The order in which waiting jobs are served: by guarantees, priorities, and objectives that can still be met."""

from __future__ import annotations

from ..cluster_state.jobs import Job
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..settings.platform import Objective

#: A job moves ahead of other jobs of its priority once its last objective has been out of reach for this long.
AGING_DELAY_S = 180.0
#: Minimum delay until a stopped task runs again: the task has to save, its exit has to be reported in a heartbeat, the
#: job has to be placed again, and the image has to be fetched.
MIN_RESTART_DELAY_S = 30.0
#: Groups in order of service: jobs that have aged, jobs that can still meet an objective, and jobs that cannot.
AGED, ON_TIME, LATE = 0, 1, 2
#: Lower bound on the run time in estimates of remaining work, so that jobs with many short tasks still count as large.
MIN_RUN_S = 1.0


class JobOrdering:
    """Ranks jobs by urgency, and determines which objectives apply to each job."""

    def __init__(self, objectives: list[Objective], run_times: RunTimeEstimates) -> None:
        """Build the ordering.

        Args:
            objectives: The objectives of the settings; those that do not name a job class are ignored.
            run_times: Estimates how long a job's tasks run.
        """
        self.run_times = run_times
        #: By job class, the seconds after acceptance within which jobs have to be done.
        self._done_within_s: dict[str, list[float]] = {}
        #: By job class, the seconds after acceptance within which jobs have to start.
        self._start_within_s: dict[str, list[float]] = {}
        #: By job class, the multiples of a job's own deadline within which the job has to be done.
        self._deadline_factors: dict[str, list[float]] = {}
        for objective in objectives:
            self._add(objective)

    def _add(self, objective: Objective) -> None:
        """Add an objective for the jobs of one class; other objectives do not affect the order."""
        if not objective.klass:
            return
        if objective.kind == "deadline":
            self._deadline_factors.setdefault(objective.klass, []).append(objective.times or 1.0)
        elif objective.kind == "finished" and objective.within_s:
            self._done_within_s.setdefault(objective.klass, []).append(objective.within_s)
        elif objective.kind == "wait" and objective.within_s:
            self._start_within_s.setdefault(objective.klass, []).append(objective.within_s)

    def due_times(self, job: Job) -> list[float]:
        """Return when the job has to be done to meet each of its objectives.

        The result is cached in the job, since neither the objectives nor the job's spec ever change.

        Args:
            job: Any accepted job.

        Returns:
            One time for each objective, in seconds on the leader's clock.
        """
        if job.objective_deadlines is not None:
            return job.objective_deadlines
        job_class = job.spec.klass
        ends = [job.accepted_at + within_s for within_s in self._done_within_s.get(job_class, ())]
        if job.spec.deadline_s is not None:
            factors = self._deadline_factors.get(job_class) or [1.0]
            ends += [job.accepted_at + factor * job.spec.deadline_s for factor in factors]
        job.objective_deadlines = ends
        return ends

    @staticmethod
    def overdue(job: Job, now: float, begin_after_s: float) -> bool:
        """Return whether a job was accepted more than `begin_after_s` seconds ago and has not begun.

        The time of acceptance is stored in the job's record, so that the job's age survives a change of leader.
        """
        return not job.start_logged and not job.done_count and now - job.accepted_at > begin_after_s

    def urgency(self, job: Job, now: float, begin_after_s: float) -> tuple[object, ...]:
        """Return a sort key: guaranteed jobs first, then by priority, then by whether an objective can still be met.

        Among jobs that can still meet an objective, the job with the least remaining work comes first, so that as many
        jobs as possible meet their objectives when capacity is scarce. A job that is too late for all of its objectives
        ranks behind these jobs. After `AGING_DELAY_S` such a job ranks before all others of its priority, as does an
        overdue job. Without aging, the largest job would wait for as long as smaller jobs keep arriving.

        Args:
            job: A waiting job.
            now: Seconds on the leader's clock.
            begin_after_s: Seconds after which a job that has not begun is overdue.
        """
        remaining_s = self.run_times.expected_run_s(job)
        latest_starts = [end - remaining_s for end in self.due_times(job)]
        latest_starts += [job.accepted_at + within_s for within_s in self._start_within_s.get(job.spec.klass, ())]
        last_chance = max(latest_starts) if latest_starts else job.accepted_at
        value: float
        if now > last_chance + AGING_DELAY_S or self.overdue(job, now, begin_after_s):
            group, value = AGED, job.accepted_at
        elif not latest_starts or now <= last_chance:
            group, value = ON_TIME, job.unfinished_count() * job.task_size[0] * max(remaining_s, MIN_RUN_S)
        else:
            group, value = LATE, job.accepted_at
        return (not job.within_guarantee, job.priority_rank, group, value, job.accepted_at)

    def stop_would_miss_objective(self, job: Job, run_at: float | None, now: float) -> bool:
        """Return whether stopping a task would make its job miss an objective that the job can still meet.

        Args:
            job: The task's job.
            run_at: When the task began to run, if its progress is saved; None if the task would restart from the
                beginning.
            now: Seconds on the leader's clock.
        """
        remaining_s = self.run_times.expected_run_s(job)
        if run_at is not None:
            remaining_s = max(0.0, remaining_s - (now - run_at))
        return any(0 <= end - now - remaining_s < MIN_RESTART_DELAY_S for end in self.due_times(job))
