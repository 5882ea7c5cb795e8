"""The order of service: guarantees, priorities, and who can still make an aim."""

from __future__ import annotations

from ..cluster_state.jobs import Job
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..settings.platform import Objective

AGED_S = 180.0
#: a stopped task starts again about so much later at the earliest: saving, a report, an image, its turn
TIGHT_S = 30.0


class JobOrdering:
    def __init__(self, objectives: list[Objective], run_times: RunTimeEstimates) -> None:
        self.run_times = run_times
        self.within: dict[str, list[float]] = {}
        self.start_within: dict[str, list[float]] = {}
        self.deadline_times: dict[str, list[float]] = {}
        for o in objectives:
            if o.klass and o.kind == "deadline":
                self.deadline_times.setdefault(o.klass, []).append(o.times or 1.0)
            if o.klass and o.within_s and o.kind in ("finished", "wait"):
                table = self.within if o.kind == "finished" else self.start_within
                table.setdefault(o.klass, []).append(o.within_s)

    def ends(self, job: Job) -> list[float]:
        """When the job has to be done for its aims; found once, as nothing of it ever changes."""
        if job.ends is not None:
            return job.ends
        ends = [job.accepted_at + w for w in self.within.get(job.spec.klass, ())]
        if job.spec.deadline_s is not None:
            times = self.deadline_times.get(job.spec.klass) or [1.0]
            ends += [job.accepted_at + t * job.spec.deadline_s for t in times]
        job.ends = ends
        return ends

    @staticmethod
    def overdue(job: Job, now: float, begin_after_s: float) -> bool:
        """Whether a job has not begun though it was accepted so many seconds ago. That is in its record, so that the
        age goes on over a change of leaders."""
        return not job.begun and not job.done_count and now - job.accepted_at > begin_after_s

    def urgency(self, job: Job, now: float, begin_after_s: float) -> tuple[object, ...]:
        """Order of service: guarantees, then priority, then what should have begun, then who can still make an aim,
        least work first.

        When there is not room for all, serving the least work first lets the most jobs make it. A job too late
        for every aim comes behind those, but it ages: after a while it comes before them all. Under least work first
        alone the largest would wait for as long as small ones go on arriving.
        """
        spec = job.spec
        rest = self.run_times.run_s(job)
        limits = [end - rest for end in self.ends(job)]
        limits += [job.accepted_at + w for w in self.start_within.get(spec.klass, ())]
        work = job.unfinished() * job.size[0] * max(rest, 1.0)
        last = max(limits) if limits else job.accepted_at
        if now > last + AGED_S or self.overdue(job, now, begin_after_s):
            group, value = 0, job.accepted_at
        elif not limits or now <= last:
            group, value = 1, work
        else:
            group, value = 2, job.accepted_at
        return (not job.guaranteed, job.rank, group, value, job.accepted_at)

    def tight(self, job: Job, run_at: float | None, now: float) -> bool:
        """Whether a task that can still make an aim of its job would miss it if it were stopped.

        `run_at` is when it began to run, of a task that keeps its progress; None: it would start anew.
        """
        rest = self.run_times.run_s(job)
        if run_at is not None:
            rest = max(0.0, rest - (now - run_at))
        return any(0 <= end - now - rest < TIGHT_S for end in self.ends(job))
