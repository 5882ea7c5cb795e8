"""The scheduler: targets and templates each period, full passes over waiting jobs, and filling single machines."""

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
    """Decides what runs where. Builds the parts that decide, and runs them in order."""

    def __init__(self, context: SchedulingContext, objectives: list[Objective], gang_wait_s: float) -> None:
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
        """Compute targets and templates without a break."""
        for _ in self.update_targets_steps(now, spare):
            pass

    def update_targets_steps(self, now: float, spare: bool = True) -> Steps:
        """Compute targets and templates in steps.

        Args:
            now: seconds on the leader's clock.
            spare: whether the leader has time to spare, so that tasks may migrate as well.
        """
        self.targets_updated_at = now
        self.context.policy_values = self.context.evaluate_policy()
        yield from self.targets.set(now)
        self.placement.forget()
        self.gangs.forget()
        self.preemption.forget()
        yield from self.images.measure()
        yield
        if spare and self.context.policy_values.migrate:
            self.migration.migrate(now)
            yield
        self.pending_reasons.tell(now)

    def fill(self, machine: Machine, now: float) -> None:
        """Fill the free capacity of a machine after its heartbeat."""
        self.placement.fill(machine, now)

    def place(self, now: float) -> None:
        """Run a full pass without a break."""
        for _ in self.full_pass_steps(now):
            pass

    def full_pass_steps(self, now: float) -> Steps:
        """Run a full pass in steps: every waiting job, over every usable machine."""
        for failed in [j for j in self.registry.jobs.values() if j.avoid]:
            MachineHealth.look_again(failed, now)
        waiting = [j for j in self.registry.waiting_jobs() if now >= j.retry_at and j.startable() > 0]
        if not waiting:
            self.placement.end([])
            return
        self._sort_by_urgency(waiting, now)
        self._begin_pass()
        reserving_jobs = self._expire_reservations(now)
        ready = [m for m in self.inventory.machines if self.inventory.is_schedulable(m, now)]
        turn = self.context.slice_number
        # most machines have no free capacity for any of the single tasks; those whose heartbeat frees some meanwhile
        # are filled by `fill`
        smallest_cpus = min((j.size[0] for j in waiting if not j.gang), default=0)
        roomy = [m for m in ready if m.free[0] >= smallest_cpus]
        for job in waiting:
            yield
            if self.context.slice_number != turn:
                turn = self.context.slice_number
                ready = [m for m in ready if self.inventory.is_schedulable(m, now)]
                roomy = [m for m in ready if m.free[0] >= smallest_cpus]
            if self._must_wait(job, now):
                continue
            has_reserved = job.spec.id in reserving_jobs
            if job.gang:
                yield from self.gangs.place(job, ready, now, has_reserved)
            else:
                yield from self.placement.place(job, roomy, ready, now, has_reserved)
        self.placement.end(waiting)

    def _sort_by_urgency(self, waiting: list[Job], now: float) -> None:
        """Sort waiting jobs in the order of service."""
        self.registry.mark_guaranteed()
        begin_after_s = self.context.policy_values.begin_after_s
        waiting.sort(key=lambda job: self.ordering.urgency(job, now, begin_after_s))

    def _begin_pass(self) -> None:
        """Reset what holds for one pass only."""
        self.preemption.begin()
        self.placement.begin()
        self.gangs.begin()
        for team in self.registry.teams:
            team.limit_reserved_for = ""

    def _expire_reservations(self, now: float) -> set[str]:
        """Remove reservations that have expired or whose job needs none, and return the jobs that had any.

        A job whose reservation has just expired is returned as well: its machines are looked up in the ordinary way.
        """
        reserving_jobs: set[str] = set()
        for machine in self.inventory.machines:
            if machine.reserved_for is None:
                continue
            if machine.reserved_for in self.inventory.reserved_for_remote and now < machine.reserved_until:
                continue
            reserving_jobs.add(machine.reserved_for)
            job = self.registry.jobs.get(machine.reserved_for)
            if now >= machine.reserved_until or job is None or not job.live or job.waiting() == 0:
                machine.reserved_for = None
        return reserving_jobs

    def _must_wait(self, job: Job, now: float) -> bool:
        """Return whether a pass skips a job: it has changed since the pass began, or a feature vetoes it."""
        if not job.live or now < job.retry_at or job.startable() <= 0:
            return True
        veto = self.context.features.veto(job, now)
        if veto is not None:
            job.why_waiting = veto
            return True
        return False
