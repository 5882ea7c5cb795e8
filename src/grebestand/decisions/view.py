"""What every decision looks at, the way to start and stop, and how long computations are cut into steps.

A computation over all machines is a generator that yields between steps of bounded length. Whoever drives it may let
others run in between, and then begins a new *turn*. What was found in an earlier turn is checked against the books
before anything is done with it: in the meantime reports may have changed them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

from ..books.dispatch import Dispatch
from ..books.fleet import Fleet
from ..books.learned import RunTimes
from ..books.ledger import Ledger
from ..features.hooks import Features
from .knobs import Knobs

#: a computation that may be left and gone on with between two steps
Steps = Iterator[None]
#: machines that are looked at in one step, and starts that are made in one
MACHINES_A_STEP, STARTS_A_STEP = 200, 200
#: tables of what was found on machines that are kept at a time, and entries in all of them: a dozen teams that may
#: each take a guarantee back need more tables than that, and a fleet of thousands has no memory for more
FEWEST_TABLES, MOST_ENTRIES = 24, 60_000


K = TypeVar("K")
V = TypeVar("V")


class View:
    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        dispatch: Dispatch,
        run_times: RunTimes,
        knobs: Callable[[], Knobs],
        features: Features,
    ) -> None:
        self.ledger = ledger
        self.fleet = fleet
        self.dispatch = dispatch
        self.run_times = run_times
        self.features = features
        self.knobs_of = knobs
        #: goes up whenever a computation goes on after others have run
        self.turn = 0
        #: as of the last targets
        self.knobs = knobs()


class Decision:
    """Base of the classes that decide: each looks at the same view."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.ledger = view.ledger
        self.fleet = view.fleet
        self.dispatch = view.dispatch

    @property
    def knobs(self) -> Knobs:
        return self.view.knobs

    def _remembered(self, tables: dict[K, dict[int, V]], key: K) -> dict[int, V]:
        """The table under a key, made if there is none; of too many, the oldest is let go."""
        found = tables.get(key)
        if found is None:
            if len(tables) >= max(FEWEST_TABLES, MOST_ENTRIES // max(1, len(self.fleet.machines))):
                del tables[next(iter(tables))]
            found = tables[key] = {}
        return found
