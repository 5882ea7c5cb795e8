"""What all parts of the scheduler share: the cluster state, the policy's values, and the rules for long computations.

A computation over all machines is a generator that yields between steps of bounded length. Whoever drives it may let
other work run in between and then begins a new *turn*. Whatever was found in an earlier turn is checked against the
cluster state before it is acted on: heartbeats may have changed it in the meantime.
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

#: a computation that can be suspended between two steps
Steps = Iterator[None]
#: how many machines are examined, and how many tasks started, before a computation yields; both bound the time for
#: which heartbeats and users wait
MACHINES_PER_STEP = 200
STARTS_PER_STEP = 200
#: how many tables of findings by machine a component caches. A dozen teams that may each reclaim a guarantee need the
#: minimum; with thousands of machines the limit on entries keeps memory bounded.
MIN_CACHED_TABLES = 24
MAX_CACHED_ENTRIES = 60_000
#: a task that saves before it stops gets this much longer than saving takes, as the order itself takes time
SAVE_MARGIN_S = 1.0


K = TypeVar("K")
V = TypeVar("V")


class SchedulingContext:
    """The state that scheduling decisions are based on, and the dispatch that carries them out."""

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
        #: evaluates the policy for the present state of the cluster
        self.evaluate_policy = policy_values
        #: incremented whenever a suspended computation is resumed after other work has run
        self.slice_number = 0
        #: as of the last computation of targets
        self.policy_values = policy_values()


class SchedulingComponent:
    """Base of the classes that make scheduling decisions: all share one context."""

    def __init__(self, context: SchedulingContext) -> None:
        self.context = context
        self.registry = context.registry
        self.inventory = context.inventory
        self.dispatch = context.dispatch

    @property
    def policy_values(self) -> PolicyValues:
        """The policy's values as of the last computation of targets."""
        return self.context.policy_values

    @staticmethod
    def _reserve(machine: Machine, job: Job, until: float) -> None:
        """Reserve a machine for one job, so that until then no other job is started there."""
        machine.reserved_for, machine.reserved_until = job.spec.id, until

    def _cached_table(self, tables: dict[K, dict[int, V]], key: K) -> dict[int, V]:
        """Return the table cached under a key; a new one replaces the oldest if there are too many."""
        table = tables.get(key)
        if table is None:
            if len(tables) >= max(MIN_CACHED_TABLES, MAX_CACHED_ENTRIES // max(1, len(self.inventory.machines))):
                del tables[next(iter(tables))]
            table = tables[key] = {}
        return table
