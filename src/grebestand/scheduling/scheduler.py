"""What runs where: targets and templates each period, a full pass over all that waits, and a report's own room."""

from __future__ import annotations

import math

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
    def __init__(self, view: SchedulingContext, objectives: list[Objective], gang_wait_s: float) -> None:
        self.view = view
        self.registry = view.registry
        self.inventory = view.inventory
        self.retargeted_at = -math.inf
        self.aims = JobOrdering(objectives, view.run_times)
        self.images = ImageLocality(view)
        self.clearing = Preemption(view, self.aims)
        self.placing = Placement(view, self.images, self.clearing)
        self.gangs = GangScheduling(view, self.images, self.clearing, self.placing, gang_wait_s)
        self.renting = ScaleOut(view)
        self.targets = TemplateTargets(view, self.renting)
        self.migration = Migration(view, self.images)
        self.explanation = PendingReasons(view)

    def retarget(self, now: float, spare: bool = True) -> None:
        """Targets and templates in one go."""
        for _ in self.retargeting(now, spare):
            pass

    def retargeting(self, now: float, spare: bool = True) -> Steps:
        """Targets and templates, and with time to spare migration, cut into steps."""
        self.retargeted_at = now
        self.view.policy_values = self.view.knobs_of()
        yield from self.targets.set(now)
        self.placing.forget()
        self.gangs.forget()
        self.clearing.forget()
        yield from self.images.measure()
        yield
        if spare and self.view.policy_values.migrate:
            self.migration.migrate(now)
            yield
        self.explanation.tell(now)

    def fill(self, m: Machine, now: float) -> None:
        """Fills the room of one machine that has just reported."""
        self.placing.fill(m, now)

    def place(self, now: float) -> None:
        """A full pass in one go."""
        for _ in self.passing(now):
            pass

    def passing(self, now: float) -> Steps:
        """A full pass, cut into steps: every job that waits, over every machine."""
        for failed in [j for j in self.registry.jobs.values() if j.avoid]:
            MachineHealth.look_again(failed, now)
        waiting = [j for j in self.registry.waiting_jobs() if now >= j.hold_until and j.startable() > 0]
        if not waiting:
            self.placing.end([])
            return
        self.registry.rate_guarantees()
        waiting.sort(key=lambda j: self.aims.urgency(j, now, self.view.policy_values.begin_after_s))
        for part in (self.clearing, self.placing, self.gangs):
            part.begin()
        for team in self.registry.teams:
            team.kept_for = ""
        reserved: set[str] = set()
        for m in self.inventory.machines:
            if m.reserved_for is not None:
                if m.reserved_for in self.inventory.kept and now < m.reserved_until:
                    continue
                reserved.add(m.reserved_for)
                job = self.registry.jobs.get(m.reserved_for)
                if now >= m.reserved_until or job is None or not job.live or job.waiting() == 0:
                    m.reserved_for = None
        ready = [m for m in self.inventory.machines if self.inventory.usable(m, now)]
        turn = self.view.turn
        # most machines have no room for any of the single tasks; what a report brings meanwhile it fills itself
        least = min((j.size[0] for j in waiting if not j.gang), default=0)
        roomy = [m for m in ready if m.free[0] >= least]
        for job in waiting:
            yield
            if self.view.turn != turn:
                turn = self.view.turn
                ready = [m for m in ready if self.inventory.usable(m, now)]
                roomy = [m for m in ready if m.free[0] >= least]
            if not job.live or now < job.hold_until or job.startable() <= 0:
                continue
            veto = self.view.features.veto(job, now)
            if veto is not None:
                job.why_waiting = veto
                continue
            if job.gang:
                yield from self.gangs.place(job, ready, now, job.spec.id in reserved)
            else:
                yield from self.placing.place(job, roomy, ready, now, job.spec.id in reserved)
        self.placing.end(waiting)
