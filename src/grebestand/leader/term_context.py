"""What all parts of a term share: its books, its pen, its clock."""

from __future__ import annotations

from collections.abc import Callable

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.machine_inventory import MachineInventory
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..features.hooks import Features
from ..heartbeats.commands import CommandBuilder
from ..heartbeats.reconciliation import HeartbeatReconciler
from ..metrics.duration_sketches import DurationSketches
from ..scheduling.machine_health import MachineHealth
from ..scheduling.policy_values import PolicyEvaluator
from ..scheduling.scheduler import Scheduler
from ..scheduling.scheduling_context import SchedulingContext
from ..scheduling.stragglers import StragglerDetector
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from .fenced_writes import FencedWriter


class TermContext:
    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        writer: FencedWriter,
        clock: Callable[[], float],
        wall: Callable[[], float],
        started_at: float,
        features: Features,
    ) -> None:
        """Empty books: loading starts from these, also when it has to start again."""
        p = settings.params
        self.settings = settings
        self.writer = writer
        self.election = writer.election
        self.token = writer.token
        self.clock = clock
        #: time of day
        self.wall = wall
        #: when the term began
        self.started_at = started_at
        self.registry = JobRegistry(p.teams, p.zones)
        self.inventory = MachineInventory(self.registry, p.workers.lease_s, p.workers.report_s)
        self.dispatch = Dispatch(self.registry, self.inventory, self.token)
        self.policy_evaluator = PolicyEvaluator(policy, p, self.registry, self.inventory)
        self.registry.type_bound = int(self.policy_evaluator.value("type_bound"))
        # a chunk of progress has to fit a value with its quotes and braces, in base64
        self.registry.chunk_bits = 8 * max(16, min(8192, int((writer.value_bytes - 128) * 3 / 4)))
        run_times = RunTimeEstimates()
        view = SchedulingContext(
            self.registry, self.inventory, self.dispatch, run_times, self.policy_evaluator.policy_values, features
        )
        self.scheduler = Scheduler(view, p.objectives, p.workers.gang_wait_s)
        health = MachineHealth(
            self.inventory, self.dispatch, run_times, int(self.policy_evaluator.value("sick_errors"))
        )
        self.stragglers = StragglerDetector(
            self.inventory,
            health,
            self.policy_evaluator.value("slow_ratio"),
            int(self.policy_evaluator.value("slow_samples")),
        )
        self.sketches = DurationSketches()
        self.reconciler = HeartbeatReconciler(
            self.registry, self.inventory, self.dispatch, run_times, health, self.stragglers, self.sketches
        )
        self.command_builder = CommandBuilder(self.registry, self.sketches)


class TermComponent:
    """Base of a term's parts: one trade each, over the same basis."""

    def __init__(self, context: TermContext) -> None:
        self.context = context
        self.writer = context.writer
        self.election = context.election
        self.token = context.token
        self.clock = context.clock
        self.registry = context.registry
        self.inventory = context.inventory
        self.dispatch = context.dispatch
