"""What all parts of a term share: its books, its pen, its clock."""

from __future__ import annotations

from collections.abc import Callable

from ..books.dispatch import Dispatch
from ..books.fleet import Fleet
from ..books.learned import RunTimes
from ..books.ledger import Ledger
from ..decisions.health import Health
from ..decisions.knobs import Dials
from ..decisions.scheduler import Scheduler
from ..decisions.speed import Speeds
from ..decisions.view import View
from ..features.hooks import Features
from ..measures.sketches import Sketches
from ..reports.answers import Answers
from ..reports.reading import Reader
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from .pen import Pen


class Basis:
    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        pen: Pen,
        clock: Callable[[], float],
        wall: Callable[[], float],
        started_at: float,
        features: Features,
    ) -> None:
        """Empty books: loading starts from these, also when it has to start again."""
        p = settings.params
        self.settings = settings
        self.pen = pen
        self.leadership = pen.leadership
        self.token = pen.token
        self.clock = clock
        #: time of day
        self.wall = wall
        #: when the term began
        self.started_at = started_at
        self.ledger = Ledger(p.teams, p.zones)
        self.fleet = Fleet(self.ledger, p.workers.lease_s, p.workers.report_s)
        self.dispatch = Dispatch(self.ledger, self.fleet, self.token)
        self.dials = Dials(policy, p, self.ledger, self.fleet)
        self.ledger.type_bound = int(self.dials.value("type_bound"))
        # a chunk of progress has to fit a value with its quotes and braces, in base64
        self.ledger.chunk_bits = 8 * max(16, min(8192, int((pen.value_bytes - 128) * 3 / 4)))
        run_times = RunTimes()
        view = View(self.ledger, self.fleet, self.dispatch, run_times, self.dials.knobs, features)
        self.scheduler = Scheduler(view, p.objectives, p.workers.gang_wait_s)
        health = Health(self.fleet, self.dispatch, run_times, int(self.dials.value("sick_errors")))
        self.speeds = Speeds(self.fleet, health, self.dials.value("slow_ratio"), int(self.dials.value("slow_samples")))
        self.sketches = Sketches()
        self.reader = Reader(self.ledger, self.fleet, self.dispatch, run_times, health, self.speeds, self.sketches)
        self.answers = Answers(self.ledger, self.sketches)


class Part:
    """Base of a term's parts: one trade each, over the same basis."""

    def __init__(self, basis: Basis) -> None:
        self.basis = basis
        self.pen = basis.pen
        self.leadership = basis.leadership
        self.token = basis.token
        self.clock = basis.clock
        self.ledger = basis.ledger
        self.fleet = basis.fleet
        self.dispatch = basis.dispatch
