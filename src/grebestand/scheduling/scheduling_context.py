"""The state that all scheduling components share, and the rules for long computations.

A computation over all machines is a generator that yields between steps of bounded length. The scheduling loop runs
several steps in one *slice*, and lets other work run between slices. Heartbeats may change the cluster state between
slices. Results of an earlier slice are therefore checked against the current cluster state before they are applied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import MachineInventory
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..features.hooks import Features
from .policy_values import PolicyValues

#: A computation that can be suspended between two steps.
Steps = Iterator[None]
#: How many machines are examined, and how many tasks are started, before a computation yields. Both limits bound the
#: time for which heartbeats and user requests wait.
MACHINES_PER_STEP = 200
STARTS_PER_STEP = 200
#: How many tables with one entry per machine a component caches. The minimum serves a dozen teams that may each reclaim
#: a guarantee. The limit on entries bounds memory on clusters with thousands of machines.
MIN_CACHED_TABLES = 24
MAX_CACHED_ENTRIES = 60_000
#: Extra time for a task to save before it is killed, since the stop command takes time to arrive.
SAVE_MARGIN_S = 1.0

TableKey = TypeVar("TableKey")
TableValue = TypeVar("TableValue")


class SchedulingContext:
    """The state that scheduling decisions are based on, and the dispatch that carries out these decisions."""

    def __init__(
        self,
        registry: JobRegistry,
        inventory: MachineInventory,
        dispatch: Dispatch,
        run_times: RunTimeEstimates,
        policy_values: Callable[[], PolicyValues],
        features: Features,
    ) -> None:
        self.registry = registry
        self.inventory = inventory
        self.dispatch = dispatch
        self.run_times = run_times
        self.features = features
        #: Evaluates the policy for the current state of the cluster.
        self.evaluate_policy = policy_values
        #: Number of slices run so far; incremented whenever a computation begins or resumes after other work has run.
        self.slice_number = 0
        #: The policy's values at the last update of targets.
        self.policy_values = policy_values()


class SchedulingComponent:
    """Base class of the components that make scheduling decisions; all components share one context."""

    def __init__(self, context: SchedulingContext) -> None:
        self.context = context
        self.registry = context.registry
        self.inventory = context.inventory
        self.dispatch = context.dispatch

    @property
    def policy_values(self) -> PolicyValues:
        """The policy's values at the last update of targets."""
        return self.context.policy_values

    @staticmethod
    def _reserve(machine: Machine, job: Job, until: float) -> None:
        """Reserve a machine for one job, so that no other job is started there before the time `until`."""
        machine.reserved_for, machine.reserved_until = job.spec.id, until

    def _get_or_create_table(
        self, tables: dict[TableKey, dict[int, TableValue]], key: TableKey
    ) -> dict[int, TableValue]:
        """Return the table cached under a key; a new table replaces the oldest if there are too many."""
        table = tables.get(key)
        if table is None:
            if len(tables) >= max(MIN_CACHED_TABLES, MAX_CACHED_ENTRIES // max(1, len(self.inventory.machines))):
                del tables[next(iter(tables))]
            table = tables[key] = {}
        return table
