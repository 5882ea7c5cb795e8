"""The scheduler's entry points.

The scheduler updates targets and slot templates once a period, runs full passes over all waiting jobs, and fills
single machines between passes.
"""

from __future__ import annotations

import math

from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..settings.platform import Objective
from .gang_scheduling import GangScheduling
from .image_locality import ImageLocality
from .job_ordering import JobOrdering
from .machine_health import MachineHealth
from .migration import Migration
from .pending_reasons import PendingReasons
from .placement import Placement
from .preemption import Preemption
from .scale_out import ScaleOut
from .scheduling_context import SchedulingContext, Steps
from .template_targets import TemplateTargets


class Scheduler:
    """Assigns tasks to machines: builds the scheduling components and runs them in order."""

    def __init__(self, context: SchedulingContext, objectives: list[Objective], gang_wait_s: float) -> None:
        """Build the scheduler and its components.

        Args:
            context: The state and services that all scheduling components share.
            objectives: The service objectives that determine the order of waiting jobs.
            gang_wait_s: Seconds for which a worker holds a started task until the rest of its gang is ready.
        """
        self.context = context
        self.registry = context.registry
        self.inventory = context.inventory
        self.targets_updated_at = -math.inf
        self.ordering = JobOrdering(objectives, context.run_times)
        self.images = ImageLocality(context)
        self.preemption = Preemption(context, self.ordering)
        self.placement = Placement(context, self.images, self.preemption)
        self.gangs = GangScheduling(
            context, images=self.images, preemption=self.preemption, placement=self.placement, gang_wait_s=gang_wait_s
        )
        self.scale_out = ScaleOut(context)
        self.targets = TemplateTargets(context, self.scale_out)
        self.migration = Migration(context, self.images)
        self.pending_reasons = PendingReasons(context)

    def update_targets(self, now: float, spare: bool = True) -> None:
        """Update targets and templates without yielding to other work.

        Args:
            now: Seconds on the leader's clock.
            spare: Whether the leader has spare capacity, so that tasks may migrate as well.
        """
        for _ in self.update_targets_steps(now, spare):
            pass

    def update_targets_steps(self, now: float, spare: bool = True) -> Steps:
        """Update targets and templates in steps of bounded length.

        Args:
            now: Seconds on the leader's clock.
            spare: Whether the leader has spare capacity, so that tasks may migrate as well.

        Yields:
            Nothing; other work may run at each yield.
        """
        self.targets_updated_at = now
        self.context.policy_values = self.context.evaluate_policy()
        yield from self.targets.update(now)
        self.placement.clear_cache()
        self.gangs.clear_cache()
        self.preemption.clear_cache()
        yield from self.images.update()
        yield
        if spare and self.context.policy_values.migrate:
            self.migration.migrate(now)
            yield
        self.pending_reasons.log_if_due(now)

    def fill(self, machine: Machine, now: float) -> None:
        """Start waiting tasks in the free capacity of a machine after its heartbeat.

        Args:
            machine: The machine that sent the heartbeat.
            now: Seconds on the leader's clock.
        """
        self.placement.fill(machine, now)

    def place(self, now: float) -> None:
        """Run a full pass without yielding to other work.

        Args:
            now: Seconds on the leader's clock.
        """
        for _ in self.full_pass_steps(now):
            pass

    def full_pass_steps(self, now: float) -> Steps:
        """Run a full pass in steps: try to place every waiting job on the schedulable machines.

        Args:
            now: Seconds on the leader's clock.

        Yields:
            Nothing; other work may run at each yield.
        """
        for failed in [j for j in self.registry.jobs.values() if j.avoided_machines]:
            MachineHealth.clear_expired_failures(failed, now)
        waiting = [j for j in self.registry.waiting_jobs() if now >= j.retry_at and j.startable_count() > 0]
        if not waiting:
            self.placement.end_pass([])
            return
        self._sort_by_urgency(waiting, now)
        self._begin_pass()
        jobs_with_reservations = self._expire_reservations(now)
        schedulable = [m for m in self.inventory.machines if self.inventory.is_schedulable(m, now)]
        slice_number = self.context.slice_number
        # Skip machines without free capacity for any waiting single task: most machines have none. `fill` covers
        # machines whose capacity is freed by a heartbeat during the pass.
        smallest_cpus = min((j.task_size[0] for j in waiting if not j.is_gang), default=0)
        with_capacity = [m for m in schedulable if m.free[0] >= smallest_cpus]
        for job in waiting:
            yield
            if self.context.slice_number != slice_number:
                slice_number = self.context.slice_number
                schedulable = [m for m in schedulable if self.inventory.is_schedulable(m, now)]
                with_capacity = [m for m in schedulable if m.free[0] >= smallest_cpus]
            if self._must_wait(job, now):
                continue
            has_reservation = job.spec.id in jobs_with_reservations
            if job.is_gang:
                yield from self.gangs.place(job, schedulable, now, has_reservation)
            else:
                yield from self.placement.place(job, with_capacity, schedulable, now, has_reservation)
        self.placement.end_pass(waiting)

    def _sort_by_urgency(self, waiting: list[Job], now: float) -> None:
        """Sort waiting jobs by urgency, the most urgent first."""
        self.registry.mark_guaranteed()
        begin_after_s = self.context.policy_values.begin_after_s
        waiting.sort(key=lambda job: self.ordering.urgency(job, now, begin_after_s))

    def _begin_pass(self) -> None:
        """Reset the state that is valid for a single pass."""
        self.preemption.begin_pass()
        self.placement.begin_pass()
        self.gangs.begin_pass()
        for team in self.registry.teams:
            team.limit_reserved_for = ""

    def _expire_reservations(self, now: float) -> set[str]:
        """Remove reservations that have expired or whose job no longer needs them.

        Args:
            now: Seconds on the leader's clock.

        Returns:
            The ids of all jobs that had a reservation when the call began. A job whose reservation was removed is
            included, so that the pass examines its machines again. Unexpired reservations for gangs of other
            clusters are left out.
        """
        jobs_with_reservations: set[str] = set()
        for machine in self.inventory.machines:
            if machine.reserved_for is None:
                continue
            if machine.reserved_for in self.inventory.reserved_for_remote and now < machine.reserved_until:
                continue
            jobs_with_reservations.add(machine.reserved_for)
            job = self.registry.jobs.get(machine.reserved_for)
            if now >= machine.reserved_until or job is None or not job.is_live or job.waiting_count() == 0:
                machine.reserved_for = None
        return jobs_with_reservations

    def _must_wait(self, job: Job, now: float) -> bool:
        """Return whether the pass skips a job: no longer eligible since the pass began, or vetoed by a feature."""
        if not job.is_live or now < job.retry_at or job.startable_count() <= 0:
            return True
        veto = self.context.features.waiting_reason(job, now)
        if veto is not None:
            job.pending_reason = veto
            return True
        return False
