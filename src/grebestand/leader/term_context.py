"""What the parts of a leader's term share: the cluster state, the fenced writer, the clocks and the scheduler."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

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

#: Bounds of a chunk of task progress, in bytes before its encoding.
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 16, 8192
#: What the key, quotes and braces of a stored chunk may take of its value, in bytes.
CHUNK_OVERHEAD_BYTES = 128
#: Base64 writes three bytes as four characters.
BASE64_EFFICIENCY = 3 / 4


@dataclass(frozen=True)
class TermEnvironment:
    """What a term is given by its controller and shares with its parts."""

    settings: Settings
    policy: Expressions
    writer: FencedWriter
    #: a steady clock, in seconds
    clock: Callable[[], float]
    #: the time of day, in seconds since the epoch
    wall: Callable[[], float]
    #: when the term began, by `clock`
    started_at: float
    features: Features


class TermContext:
    """The shared objects of one term, all of them empty at first."""

    def __init__(self, environment: TermEnvironment) -> None:
        """Build an empty cluster state and the scheduler over it."""
        params = environment.settings.params
        writer = environment.writer
        self.settings = environment.settings
        self.writer = writer
        self.election = writer.election
        self.token = writer.token
        self.clock = environment.clock
        self.wall = environment.wall
        self.started_at = environment.started_at
        self.registry = JobRegistry(params.teams, params.zones)
        self.inventory = MachineInventory(self.registry, params.workers.lease_s, params.workers.report_s)
        self.dispatch = Dispatch(self.registry, self.inventory, self.token)
        self.policy_evaluator = PolicyEvaluator(environment.policy, params, self.registry, self.inventory)
        self.registry.max_task_types = int(self.policy_evaluator.value("type_bound"))
        self.registry.chunk_bits = 8 * _chunk_bytes(writer.value_bytes)
        run_times = RunTimeEstimates()
        scheduling_context = SchedulingContext(
            self.registry,
            self.inventory,
            self.dispatch,
            run_times,
            self.policy_evaluator.policy_values,
            environment.features,
        )
        self.scheduler = Scheduler(scheduling_context, params.objectives, params.workers.gang_wait_s)
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


def _chunk_bytes(value_bytes: int) -> int:
    """Return how many bytes of task progress fit into a stored value, in base64 and with what surrounds it."""
    fitting = int((value_bytes - CHUNK_OVERHEAD_BYTES) * BASE64_EFFICIENCY)
    return max(MIN_CHUNK_BYTES, min(MAX_CHUNK_BYTES, fitting))


class TermComponent:
    """Base of the parts of a term, each of which has one job over the same context."""

    def __init__(self, context: TermContext) -> None:
        """Keep the context, and direct references to what most parts need."""
        self.context = context
        self.writer = context.writer
        self.election = context.election
        self.token = context.token
        self.clock = context.clock
        self.registry = context.registry
        self.inventory = context.inventory
        self.dispatch = context.dispatch
