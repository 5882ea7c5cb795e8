"""Logs a summary of the cluster's utilization and the reasons why jobs wait."""

from __future__ import annotations

import logging
import math
from collections import Counter
from dataclasses import dataclass

from ..cluster_state.jobs import Job
from ..cluster_state.resources import MICRO_UNITS
from ..log_events import LogEvent
from ..state_machines import AllocationState
from .scheduling_context import SchedulingComponent, SchedulingContext

log = logging.getLogger(__name__)


#: Maximum number of reasons logged per period: on a crowded cluster, one line per job would hide other log lines.
MAX_REASONS_LOGGED = 30
#: Interval after which an unchanged reason is logged again.
REPEAT_AFTER_S = 60.0
#: A job's reason is logged only after the job has waited for more than this many periods.
MIN_PERIODS_WAITED = 2


@dataclass(frozen=True)
class LoggedReason:
    """The reason last logged for a job, and the time on the leader's clock when it was logged."""

    reason: str
    logged_at: float


NEVER_LOGGED = LoggedReason("", -math.inf)


class PendingReasons(SchedulingComponent):
    """Logs how much of the cluster is used, and why jobs wait, for operators."""

    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        self._summarised_at = -math.inf
        #: The reason last logged for each waiting job.
        self._logged: dict[Job, LoggedReason] = {}

    def log_if_due(self, now: float) -> None:
        """Log a summary of the cluster and the reasons why jobs wait, at most once a period.

        Args:
            now: Seconds on the leader's clock.
        """
        if now - self._summarised_at < self.policy_values.period_s:
            return
        self._summarised_at = now
        self._log_summary(now)
        self._log_reasons(now)

    def _log_summary(self, now: float) -> None:
        """Log the number of machines and how much of their capacity is used."""
        machines = self.inventory.machines
        cpus_by_state: dict[AllocationState, int] = {}
        for machine in machines:
            for allocation in machine.allocations.values():
                cpus = cpus_by_state.get(allocation.state, 0)
                cpus_by_state[allocation.state] = cpus + allocation.job.task_size[0]
        log.info(
            LogEvent(
                "cluster_summarised",
                machines=len(machines),
                accepting=sum(1 for m in machines if m.in_accept_group),
                ready=sum(1 for m in machines if self.inventory.is_schedulable(m, now)),
                cpus_used=round(sum(m.used[0] for m in machines) / MICRO_UNITS),
                cpus=round(sum(m.capacity[0] for m in machines) / MICRO_UNITS),
                cpus_by_state=[f"{state.name.lower()}:{n / MICRO_UNITS:.0f}" for state, n in cpus_by_state.items()],
                tasks_waiting=sum(job.waiting_count() for job in self.registry.waiting_jobs()),
                jobs_waiting=sum(1 for _ in self.registry.waiting_jobs()),
                g=self.policy_values.g,
            )
        )

    def _log_reasons(self, now: float) -> None:
        """Log the reasons that have changed or were last logged long ago, those not logged for the longest first."""
        counts: Counter[str] = Counter()
        due: list[tuple[float, Job, str]] = []
        previously_logged, self._logged = self._logged, {}
        for job in self.registry.waiting_jobs():
            if now - job.waiting_since <= MIN_PERIODS_WAITED * self.policy_values.period_s:
                continue
            reason = self._reason(job, now)
            counts[reason] += 1
            last = previously_logged.get(job, NEVER_LOGGED)
            if last.reason == reason:
                self._logged[job] = last
            if last.reason != reason or now - last.logged_at >= REPEAT_AFTER_S:
                due.append((last.logged_at, job, reason))
        due.sort(key=lambda entry: entry[0])
        for _, job, reason in due[:MAX_REASONS_LOGGED]:
            self._logged[job] = LoggedReason(reason, now)
            log.info(
                LogEvent(
                    "job_waiting",
                    job_id=job.spec.id,
                    tasks_waiting=job.waiting_count(),
                    tasks=job.spec.tasks,
                    age_s=now - job.accepted_at,
                    reason=reason,
                )
            )
        if len(due) > MAX_REASONS_LOGGED:
            reasons = [f"{count} {reason}" for reason, count in counts.most_common()]
            log.info(LogEvent("jobs_waiting", jobs=counts.total(), reasons="; ".join(reasons)))

    @staticmethod
    def _reason(job: Job, now: float) -> str:
        """Return why a job waits."""
        if job.possible_holders and not job.startable_count():
            return "some machines are not reconciled"
        if now < job.retry_at:
            return "its tasks failed lately"
        return job.pending_reason or "not yet tried"
