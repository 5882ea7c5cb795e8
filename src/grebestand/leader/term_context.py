"""What the parts of a leader's term share: the cluster state, the fenced writer, the clocks and the scheduler."""

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

#: Bounds of a chunk of task progress, in bytes before its encoding.
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 16, 8192
#: What the key, quotes and braces of a stored chunk may take of its value, in bytes.
CHUNK_OVERHEAD_BYTES = 128
#: Base64 writes three bytes as four characters.
BASE64_EFFICIENCY = 3 / 4


class TermContext:
    """The shared objects of one term, all of them empty at first."""

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
        """Build an empty cluster state and the scheduler over it.

        Args:
            settings: the settings of the platform.
            policy: the policy's expressions.
            writer: the fenced writer of this term.
            clock: a steady clock, in seconds.
            wall: the time of day, in seconds since the epoch.
            started_at: when the term began, by `clock`.
            features: the hooks of the features that are on.
        """
        params = settings.params
        self.settings = settings
        self.writer = writer
        self.election = writer.election
        self.token = writer.token
        self.clock = clock
        self.wall = wall
        self.started_at = started_at
        self.registry = JobRegistry(params.teams, params.zones)
        self.inventory = MachineInventory(self.registry, params.workers.lease_s, params.workers.report_s)
        self.dispatch = Dispatch(self.registry, self.inventory, self.token)
        self.policy_evaluator = PolicyEvaluator(policy, params, self.registry, self.inventory)
        self.registry.type_bound = int(self.policy_evaluator.value("type_bound"))
        self.registry.chunk_bits = 8 * _chunk_bytes(writer.value_bytes)
        run_times = RunTimeEstimates()
        scheduling_context = SchedulingContext(
            self.registry, self.inventory, self.dispatch, run_times, self.policy_evaluator.policy_values, features
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
