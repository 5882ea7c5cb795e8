"""Refreshes the catalog of machine types periodically."""

from __future__ import annotations

import random

import gevent

from ..leader.election import LeaderElection
from ..state_machines import LeaderState
from .current_term import CurrentTerm
from .machine_type_catalog import MachineTypeCatalog

#: Interval between two refreshes, as machine types change rarely, and the longest random part added to the interval,
#: which keeps the controllers from sending their requests at the same time.
REFRESH_INTERVAL_S, REFRESH_JITTER_S = 120, 60
#: Delay before a failed refresh is retried while no types are known, to which up to a second is added at random; short,
#: as no job can be accepted without types.
FIRST_RETRY_S = 0.5
#: Delay before a failed refresh is retried while earlier types are known.
RETRY_S = 10.0


class MachineTypeRefreshLoop:
    """Refreshes the catalog periodically, and passes the types to the current term."""

    def __init__(
        self, catalog: MachineTypeCatalog, election: LeaderElection, current_term: CurrentTerm, rng: random.Random
    ) -> None:
        self.catalog = catalog
        self.election = election
        self.current_term = current_term
        self.rng = rng

    def run(self) -> None:
        """Refresh the catalog until the process ends."""
        while True:
            if self.catalog.refresh(record=self.election.state is LeaderState.LEADING):
                if self.current_term.term is not None:
                    self.current_term.term.inventory.set_machine_types(self.catalog.types or [])
                gevent.sleep(REFRESH_INTERVAL_S + REFRESH_JITTER_S * self.rng.random())
            else:
                gevent.sleep(FIRST_RETRY_S + self.rng.random() if self.catalog.types is None else RETRY_S)
