"""What every decision looks at, the way to start and stop, and how long computations are cut into steps.

A computation over all machines is a generator that yields between steps of bounded length. Whoever drives it may let
others run in between, and then begins a new *turn*. What was found in an earlier turn is checked against the books
before anything is done with it: in the meantime reports may have changed them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.machine_inventory import MachineInventory
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..features.hooks import Features
from .policy_values import PolicyValues

#: a computation that may be left and gone on with between two steps
Steps = Iterator[None]
#: machines that are looked at in one step, and starts that are made in one
MACHINES_A_STEP, STARTS_A_STEP = 200, 200
#: tables of what was found on machines that are kept at a time, and entries in all of them: a dozen teams that may
#: each take a guarantee back need more tables than that, and a fleet of thousands has no memory for more
FEWEST_TABLES, MOST_ENTRIES = 24, 60_000


K = TypeVar("K")
V = TypeVar("V")


class SchedulingContext:
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
        self.knobs_of = policy_values
        #: goes up whenever a computation goes on after others have run
        self.turn = 0
        #: as of the last targets
        self.policy_values = policy_values()


class SchedulingComponent:
    """Base of the classes that decide: each looks at the same view."""

    def __init__(self, view: SchedulingContext) -> None:
        self.view = view
        self.registry = view.registry
        self.inventory = view.inventory
        self.dispatch = view.dispatch

    @property
    def policy_values(self) -> PolicyValues:
        return self.view.policy_values

    def _remembered(self, tables: dict[K, dict[int, V]], key: K) -> dict[int, V]:
        """The table under a key, made if there is none; of too many, the oldest is let go."""
        found = tables.get(key)
        if found is None:
            if len(tables) >= max(FEWEST_TABLES, MOST_ENTRIES // max(1, len(self.inventory.machines))):
                del tables[next(iter(tables))]
            found = tables[key] = {}
        return found
