"""Tells a stranger who reads the log why something waits."""

from __future__ import annotations

import logging
import math
from collections import Counter

from ..cluster_state.jobs import Job
from ..cluster_state.resources import MICRO_UNITS
from ..state_machines import AllocationState
from .scheduling_context import SchedulingComponent, SchedulingContext

log = logging.getLogger(__name__)


#: reasons that are told in one period, and after how long one that has not changed is told again
MOST_TOLD, TOLD_AGAIN_S = 30, 60.0


class PendingReasons(SchedulingComponent):
    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        self.explained_at = -math.inf
        #: what was last told of each job that waits, and when
        self._told: dict[Job, tuple[str, float]] = {}

    def tell(self, now: float) -> None:
        """Tells a stranger reading the log why something waits."""
        if now - self.explained_at < self.policy_values.period_s:
            return
        self.explained_at = now
        machines = self.inventory.machines
        by_state: dict[AllocationState, int] = {}
        for m in machines:
            for allocation in m.allocations.values():
                by_state[allocation.state] = by_state.get(allocation.state, 0) + allocation.job.size[0]
        shares = ", ".join(f"{n / MICRO_UNITS:.0f} {state.name.lower()}" for state, n in by_state.items())
        log.info(
            "%d machines, %d accept, %d ready; %.0f of %.0f CPUs used (%s); %d tasks of %d jobs wait; g %.0f",
            len(machines),
            sum(1 for m in machines if m.in_accept_group),
            sum(1 for m in machines if self.inventory.usable(m, now)),
            sum(m.used[0] for m in machines) / MICRO_UNITS,
            sum(m.capacity[0] for m in machines) / MICRO_UNITS,
            shares,
            sum(j.waiting() for j in self.registry.waiting_jobs()),
            sum(1 for _ in self.registry.waiting_jobs()),
            self.policy_values.g,
        )
        self._tell_reasons(now)

    def _tell_reasons(self, now: float) -> None:
        """Why each job waits, said when it changes and again after a while: the longest untold first, so many at a
        time. Said anew of every job each period it was four lines in five of a crowded day's log."""
        reasons: Counter[str] = Counter()
        due: list[tuple[float, Job, str]] = []
        known, self._told = self._told, {}
        for job in self.registry.waiting_jobs():
            if now - job.wait_since <= 2 * self.policy_values.period_s:
                continue
            why = self._why(job, now)
            reasons[why] += 1
            told, at = known.get(job, ("", -math.inf))
            if told == why:
                self._told[job] = told, at
            if told != why or now - at >= TOLD_AGAIN_S:
                due.append((at, job, why))
        due.sort(key=lambda d: d[0])
        for _, job, why in due[:MOST_TOLD]:
            self._told[job] = why, now
            log.info(
                "%s: %d of %d tasks wait, the job for %.0f s: %s",
                job.spec.id,
                job.waiting(),
                job.spec.tasks,
                now - job.accepted_at,
                why,
            )
        if len(due) > MOST_TOLD:
            log.info(
                "%d jobs have waited for a while: %s",
                reasons.total(),
                "; ".join(f"{n} {why}" for why, n in reasons.most_common()),
            )

    @staticmethod
    def _why(job: Job, now: float) -> str:
        if job.possible_holders and not job.startable():
            return "some machines have not proved what they hold"
        if now < job.hold_until:
            return "its tasks failed lately"
        return job.why_waiting or "not yet tried"
