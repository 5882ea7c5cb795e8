"""Tells faulty machines from faulty jobs, and empties a machine that is about to go."""

from __future__ import annotations

import logging

from ..books.dispatch import Dispatch
from ..books.fleet import Fleet
from ..books.jobs import Job
from ..books.learned import RunTimes
from ..books.machine import Machine
from ..states import PlaceState

log = logging.getLogger("grebestand.health")


class Health:
    def __init__(self, fleet: Fleet, dispatch: Dispatch, run_times: RunTimes, sick_errors: int) -> None:
        self.fleet = fleet
        self.dispatch = dispatch
        self.run_times = run_times
        self.sick_errors = sick_errors

    def failed(self, m: Machine, job: Job, now: float) -> None:
        """Tells faulty machines from faulty jobs: each gets fewer chances as its failures mount."""
        job.errors += 1
        job.avoid[m.index] = now
        if len(job.avoid) > 64:
            job.avoid.pop(next(iter(job.avoid)))
        if not job.earned and len(job.avoid) >= 3:
            # it failed on several machines and never got anywhere: the job's own mistake, most likely
            job.hold_until = now + min(120.0, 2.0 ** min(job.errors, 7))
            return
        m.error_jobs.add(job.spec.id)
        if now - m.error_at > 1.0:  # tasks that fall together are one failure of the machine
            m.errors += 1
            m.error_at = now
        m.blocked_until = now + min(60.0, 2.0 * 2 ** min(m.errors, 5))
        log.info("%s failed on %s (%d failures there in a row)", job.spec.id, m.name, m.errors)
        if m.drain is None and m.errors >= self.sick_errors and len(m.error_jobs) >= 2:
            log.warning("machine %s fails what it starts: it is drained and returned", m.name)
            m.drain = "faulty"
            self.evacuate(m, now)

    def evacuate(self, m: Machine, now: float) -> None:
        """Stops what is on a machine that is about to go, saving where there is something to save."""
        for place in list(m.places.values()):
            job = place.job
            if not job.live:
                continue
            left = m.doom_at - now
            saves = job.spec.checkpoint_s > 0 and left > job.spec.save_s
            if not saves and place.run_at is not None:
                expected = self.run_times.run_s(job)
                if expected - (now - place.run_at) < left and m.drain == "recall":
                    continue  # it may well complete before the machine goes
            if m.drain in ("faulty", "slow") and place.state is PlaceState.RUNNING:
                continue  # what runs may run to its end
            if job.gang:
                self.dispatch.stop_job(job, m.drain or "drain", job.spec.save_s + 1.0 if saves else 0.0, now)
            else:
                self.dispatch.stop(place, m.drain or "drain", job.spec.save_s + 1.0 if saves else 0.0, now)
