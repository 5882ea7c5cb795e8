"""Tells a stranger who reads the log why something waits."""

from __future__ import annotations

import logging
import math

from ..books.amounts import MICRO
from ..states import PlaceState
from .view import Decision, View

log = logging.getLogger("grebestand.scheduler")


class Explanation(Decision):
    def __init__(self, view: View) -> None:
        super().__init__(view)
        self.explained_at = -math.inf

    def tell(self, now: float) -> None:
        """Tells a stranger reading the log why something waits."""
        if now - self.explained_at < self.knobs.period_s:
            return
        self.explained_at = now
        machines = self.fleet.machines
        by_state: dict[PlaceState, int] = {}
        for m in machines:
            for place in m.places.values():
                by_state[place.state] = by_state.get(place.state, 0) + place.job.size[0]
        shares = ", ".join(f"{n / MICRO:.0f} {state.name.lower()}" for state, n in by_state.items())
        log.info(
            "%d machines, %d accept, %d ready; %.0f of %.0f CPUs used (%s); %d tasks of %d jobs wait; g %.0f",
            len(machines),
            sum(1 for m in machines if m.accept),
            sum(1 for m in machines if self.fleet.usable(m, now)),
            sum(m.used[0] for m in machines) / MICRO,
            sum(m.room[0] for m in machines) / MICRO,
            shares,
            sum(j.waiting() for j in self.ledger.waiting_jobs()),
            sum(1 for _ in self.ledger.waiting_jobs()),
            self.knobs.g,
        )
        for job in self.ledger.waiting_jobs():
            if now - job.wait_since > 2 * self.knobs.period_s:
                why = job.why_waiting
                if job.suspects and not job.startable():
                    why = "some machines have not proved what they hold"
                elif now < job.hold_until:
                    why = "its tasks failed lately"
                log.info(
                    "%s: %d of %d tasks wait, the job for %.0f s: %s",
                    job.spec.id,
                    job.waiting(),
                    job.spec.tasks,
                    now - job.accepted_at,
                    why or "not yet tried",
                )
