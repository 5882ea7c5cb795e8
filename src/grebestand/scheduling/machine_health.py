"""Tells faulty machines from faulty jobs, and empties a machine that is about to go."""

from __future__ import annotations

import logging
import math

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import MachineInventory
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..state_machines import AllocationState

log = logging.getLogger(__name__)

#: failures of one job, or on one machine, within so many seconds are one
ROUND_S = 1.0
#: a job that failed so often, or on so many machines, and never succeeded has the fault itself, most likely
OWN_FAULT = 3
#: machines that a job remembers to have failed on, and for how long, in seconds
MOST_AVOIDED, AVOIDED_S = 64, 60.0
#: such a job is tried again after so many seconds at the latest
MOST_HELD_S = 30.0
#: and believed once a task of it has run for so long, or twice as long as any that failed
BELIEVED_S = 10.0


class MachineHealth:
    def __init__(
        self, inventory: MachineInventory, dispatch: Dispatch, run_times: RunTimeEstimates, sick_errors: int
    ) -> None:
        self.inventory = inventory
        self.dispatch = dispatch
        self.run_times = run_times
        self.sick_errors = sick_errors

    def failed(self, m: Machine, job: Job, ran_s: float, now: float) -> None:
        """Tells faulty machines from faulty jobs: each gets fewer chances as its failures mount."""
        job.avoid[m.index] = now
        if len(job.avoid) > MOST_AVOIDED:
            job.avoid.pop(next(iter(job.avoid)))
        job.fails_after_s = max(job.fails_after_s, ran_s)
        if now - job.failed_at > ROUND_S:  # tasks that fall together are one failure of the job
            job.errors += 1
            job.failed_at = now
        if not job.earned and not self._runs_elsewhere(job, now):
            # whoever is at fault: while it waits, others show what the machine does with them
            if job.errors > 1:
                job.hold_until = now + min(MOST_HELD_S, 2.0 ** min(job.errors - 1, 7))
            if not job.doubtful and max(job.errors, len(job.avoid)) >= OWN_FAULT:
                self._doubt(job, now)
            if len(job.avoid) >= OWN_FAULT:
                self._take_back(job)
                return
        # and of the machine; one job with a mistake, tried there again and again, had it closed for a minute at a time
        again = job.spec.id in m.error_jobs and not job.earned
        m.error_jobs.add(job.spec.id)
        if now - m.error_at > ROUND_S and not again:
            m.errors += 1
            m.error_at = now
        m.blocked_until = now + min(60.0, 2.0 * 2 ** min(m.errors, 5))
        log.info("%s failed on %s (%d failures there in a row)", job.spec.id, m.name, m.errors)
        if m.drain is None and m.errors >= self.sick_errors and len(m.error_jobs) >= 2:
            log.warning("machine %s fails what it starts: it is drained and returned", m.name)
            m.drain = "faulty"
            self.evacuate(m, now)

    @staticmethod
    def _runs_elsewhere(job: Job, now: float) -> bool:
        """Whether other tasks of it run for longer than those that failed: then it is not the job."""
        return any(
            p.run_at is not None and now - p.run_at > job.fails_after_s + ROUND_S for p in job.allocations.values()
        )

    def _doubt(self, job: Job, now: float) -> None:
        """It failed several times and never got anywhere: its own mistake, most likely.

        It is tried again with one task, or one gang, at a time, less often, and never given up: machines may have been
        at fault after all.
        """
        job.doubtful = True
        log.info("%s has only failed, on %d machines: it is tried less often", job.spec.id, len(job.avoid))
        for allocation in [p for p in job.allocations.values() if p.run_at is None]:
            if not job.gang:
                self.dispatch.stop(allocation, "its job fails", 0.0, now)

    def _take_back(self, job: Job) -> None:
        """It fails on any machine, so none is to blame for it: three such jobs on one machine had that drained."""
        for index in job.avoid:
            m = self.inventory.at(index)
            if m is None or job.spec.id not in m.error_jobs:
                continue
            m.error_jobs.discard(job.spec.id)
            m.errors = min(m.errors, len(m.error_jobs))
            if not m.errors:
                m.blocked_until = m.error_at = -math.inf
            if m.drain == "faulty" and len(m.error_jobs) < 2:
                m.drain = None

    @staticmethod
    def look_again(job: Job, now: float) -> None:
        """A machine that a job failed on is tried again after a while; for a job that may run nowhere else, for ever.

        A doubtful job one of whose tasks runs for longer than any that failed is like any other again.
        """
        if not job.doubtful:
            for index in [i for i, at in job.avoid.items() if now - at > AVOIDED_S]:
                del job.avoid[index]
            return
        limit = max(BELIEVED_S, 2.0 * job.fails_after_s)
        if any(p.run_at is not None and now - p.run_at > limit for p in job.allocations.values()):
            job.doubtful = False
            job.errors = 0
            job.hold_until = 0.0

    def evacuate(self, m: Machine, now: float) -> None:
        """Stops what is on a machine that is about to go, saving where there is something to save."""
        for allocation in list(m.allocations.values()):
            job = allocation.job
            if not job.live:
                continue
            left = m.terminates_at - now
            saves = job.spec.checkpoint_s > 0 and left > job.spec.save_s
            if not saves and allocation.run_at is not None:
                expected = self.run_times.run_s(job)
                if expected - (now - allocation.run_at) < left and m.drain == "recall":
                    continue  # it may well complete before the machine goes
            if m.drain in ("faulty", "slow") and allocation.state is AllocationState.RUNNING:
                continue  # what runs may run to its end
            if job.gang:
                self.dispatch.stop_job(job, m.drain or "drain", job.spec.save_s + 1.0 if saves else 0.0, now)
            else:
                self.dispatch.stop(allocation, m.drain or "drain", job.spec.save_s + 1.0 if saves else 0.0, now)
