"""Tells a stranger who reads the log why something waits."""

from __future__ import annotations

import logging
import math
from collections import Counter

from ..books.amounts import MICRO
from ..books.jobs import Job
from ..states import PlaceState
from .view import Decision, View

log = logging.getLogger("grebestand.scheduler")


#: reasons that are told in one period, and after how long one that has not changed is told again
MOST_TOLD, TOLD_AGAIN_S = 30, 60.0


class Explanation(Decision):
    def __init__(self, view: View) -> None:
        super().__init__(view)
        self.explained_at = -math.inf
        #: what was last told of each job that waits, and when
        self._told: dict[Job, tuple[str, float]] = {}

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
        self._tell_reasons(now)

    def _tell_reasons(self, now: float) -> None:
        """Why each job waits, said when it changes and again after a while: the longest untold first, so many at a
        time. Said anew of every job each period it was four lines in five of a crowded day's log."""
        reasons: Counter[str] = Counter()
        due: list[tuple[float, Job, str]] = []
        known, self._told = self._told, {}
        for job in self.ledger.waiting_jobs():
            if now - job.wait_since <= 2 * self.knobs.period_s:
                continue
            why = self._why(job, now)
            reasons[why] += 1
            told, at = known.get(job, ("", -math.inf))
            if told == why:
                self._told[job] = told, at
            if told != why or now - at >= TOLD_AGAIN_S:
                due.append((at, job, why))
        due.sort(key=lambda d: d[0])
        for _, job, why in due[:MOST_TOLD]:
            self._told[job] = why, now
            log.info(
                "%s: %d of %d tasks wait, the job for %.0f s: %s",
                job.spec.id,
                job.waiting(),
                job.spec.tasks,
                now - job.accepted_at,
                why,
            )
        if len(due) > MOST_TOLD:
            log.info(
                "%d jobs have waited for a while: %s",
                reasons.total(),
                "; ".join(f"{n} {why}" for why, n in reasons.most_common()),
            )

    @staticmethod
    def _why(job: Job, now: float) -> str:
        if job.suspects and not job.startable():
            return "some machines have not proved what they hold"
        if now < job.hold_until:
            return "its tasks failed lately"
        return job.why_waiting or "not yet tried"
