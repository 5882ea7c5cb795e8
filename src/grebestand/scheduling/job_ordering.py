"""The order in which waiting jobs are served: guarantees, priorities, and which objectives can still be met."""

from __future__ import annotations

from ..cluster_state.jobs import Job
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..settings.platform import Objective

#: how long after its last objective can no longer be met a job moves ahead of the others of its priority
AGED_S = 180.0
#: a task that is stopped starts again about this much later at the earliest: it has to save, a heartbeat has to come,
#: its image has to be fetched and its job has to be served again
RESTART_S = 30.0
#: a job that ages is served first, then those that can still meet an objective, then those that cannot
AGED, ON_TIME, LATE = 0, 1, 2
#: a job's remaining work counts as if its tasks ran for at least this long, so that short estimates do not hide size
MIN_RUN_S = 1.0


class JobOrdering:
    """Ranks jobs by urgency, and knows which objectives apply to them."""

    def __init__(self, objectives: list[Objective], run_times: RunTimeEstimates) -> None:
        self.run_times = run_times
        #: by job class, the seconds after acceptance in which jobs have to be done
        self._done_within_s: dict[str, list[float]] = {}
        #: by job class, the seconds after acceptance in which jobs have to start
        self._start_within_s: dict[str, list[float]] = {}
        #: by job class, the multiples of their own deadline in which jobs have to be done
        self._deadline_factors: dict[str, list[float]] = {}
        for objective in objectives:
            self._add(objective)

    def _add(self, objective: Objective) -> None:
        """Take in an objective that is about the jobs of one class; the others do not concern the order."""
        if not objective.klass:
            return
        if objective.kind == "deadline":
            self._deadline_factors.setdefault(objective.klass, []).append(objective.times or 1.0)
        elif objective.kind == "finished" and objective.within_s:
            self._done_within_s.setdefault(objective.klass, []).append(objective.within_s)
        elif objective.kind == "wait" and objective.within_s:
            self._start_within_s.setdefault(objective.klass, []).append(objective.within_s)

    def ends(self, job: Job) -> list[float]:
        """Return when the job has to be done to meet each of its objectives, in seconds on the leader's clock.

        Nothing that this depends on ever changes, so it is kept with the job.
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
        """Return whether a job was accepted more than `begin_after_s` ago and has not begun.

        The time of acceptance is in the job's record, so that its age survives a change of leader.
        """
        return not job.start_logged and not job.done_count and now - job.accepted_at > begin_after_s

    def urgency(self, job: Job, now: float, begin_after_s: float) -> tuple[object, ...]:
        """Return a sort key: guarantees first, then by priority, then by what can still meet an objective.

        Among jobs that can, the least work goes first: when capacity does not suffice for all, this lets the most jobs
        meet their objectives. A job too late for all of its objectives comes behind those, but it ages, and after a
        while comes before them all, as an overdue job does: with least work first alone, the largest job would wait
        for as long as small ones keep arriving.
        """
        remaining_s = self.run_times.expected_run_s(job)
        latest_starts = [end - remaining_s for end in self.ends(job)]
        latest_starts += [job.accepted_at + within_s for within_s in self._start_within_s.get(job.spec.klass, ())]
        last_chance = max(latest_starts) if latest_starts else job.accepted_at
        value: float
        if now > last_chance + AGED_S or self.overdue(job, now, begin_after_s):
            group, value = AGED, job.accepted_at
        elif not latest_starts or now <= last_chance:
            group, value = ON_TIME, job.unfinished_count() * job.task_size[0] * max(remaining_s, MIN_RUN_S)
        else:
            group, value = LATE, job.accepted_at
        return (not job.within_guarantee, job.priority_rank, group, value, job.accepted_at)

    def tight(self, job: Job, run_at: float | None, now: float) -> bool:
        """Return whether a running task that can still meet an objective of its job would miss it if it were stopped.

        Args:
            job: the task's job.
            run_at: when the task began to run, if it keeps its progress; None if it would start anew.
            now: seconds on the leader's clock.
        """
        remaining_s = self.run_times.expected_run_s(job)
        if run_at is not None:
            remaining_s = max(0.0, remaining_s - (now - run_at))
        return any(0 <= end - now - remaining_s < RESTART_S for end in self.ends(job))
