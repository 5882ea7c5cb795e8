"""Refreshes the catalog of machine types from time to time."""

from __future__ import annotations

import random

import gevent

from ..leader.election import LeaderElection
from ..state_machines import LeaderState
from .current_term import CurrentTerm
from .machine_type_catalog import MachineTypeCatalog

#: types change rarely; a random part keeps the controllers from asking together
REFRESH_INTERVAL_S, REFRESH_JITTER_S = 120, 60
#: submissions wait for the first types, so these are asked for again soon
FIRST_RETRY_S = 0.5
RETRY_S = 10.0


class MachineTypeRefreshLoop:
    """Refreshes the catalog, and gives new types to the current term."""

    def __init__(
        self, catalog: MachineTypeCatalog, election: LeaderElection, current_term: CurrentTerm, rng: random.Random
    ) -> None:
        self.catalog = catalog
        self.election = election
        self.current_term = current_term
        self.rng = rng

    def run(self) -> None:
        """Refresh until the process ends."""
        while True:
            if self.catalog.refresh(record=self.election.state is LeaderState.LEADING):
                if self.current_term.term is not None:
                    self.current_term.term.inventory.set_machine_types(self.catalog.types or [])
                gevent.sleep(REFRESH_INTERVAL_S + REFRESH_JITTER_S * self.rng.random())
            else:
                gevent.sleep(FIRST_RETRY_S + self.rng.random() if self.catalog.types is None else RETRY_S)
