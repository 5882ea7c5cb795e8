"""What every decision looks at, and the way to start and stop."""

from __future__ import annotations

from collections.abc import Callable

from ..books.dispatch import Dispatch
from ..books.fleet import Fleet
from ..books.learned import RunTimes
from ..books.ledger import Ledger
from ..features.hooks import Features
from .knobs import Knobs


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
