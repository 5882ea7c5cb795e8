"""Decides when targets are computed and scheduling passes are run, and divides both into slices.

Between slices, and for a rest after each computation, the leader answers workers and users.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..flow_control.overload import OverloadMonitor
from ..log_events import LogEvent
from ..scheduling.scheduling_context import Steps
from ..state_machines import LeaderState
from .machine_reconciliation import MachineReconciliation
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: New jobs trigger a computation of targets early, but at least this long after the last one, in seconds.
MIN_TARGETS_INTERVAL_S = 1.0
#: After a computation of targets, and after a pass, the loop rests for the time that it took multiplied by this factor.
#: The factor of a pass is larger, as starts are sent in responses to heartbeats and a later pass hardly delays them:
#: with a small factor, cheaper passes would only run more often and take the same share of a core.
TARGETS_REST_FACTOR, PASS_REST_FACTOR = 6.0, 15.0
#: The longest rest after a pass, in seconds.
MAX_REST_S = 2.0
#: A pass shorter than the first duration had no work and needs no rest; a pass shorter than the second is light. Both
#: are in seconds.
EMPTY_PASS_S, LIGHT_PASS_S = 0.001, 0.01
#: The minimum time from the start of a pass to the start of the next, after a light pass and after a longer pass, in
#: seconds; arrays use the capacity that a heartbeat frees without waiting for a pass.
MIN_LIGHT_PASS_INTERVAL_S, MIN_PASS_INTERVAL_S = 0.25, 0.5
#: The duration of a slice, after which a computation yields to other greenlets, in seconds.
SLICE_S = 0.04


class SchedulingLoop(TermComponent):
    """Runs at most one computation at a time: a computation of targets or a scheduling pass."""

    def __init__(
        self, context: TermContext, machine_reconciliation: MachineReconciliation, overload: OverloadMonitor
    ) -> None:
        super().__init__(context)
        self.machine_reconciliation = machine_reconciliation
        self.overload = overload
        self.scheduler = context.scheduler
        #: the earliest times of the next pass and of the next computation of targets
        self.next_pass_at = self.next_targets_at = -math.inf
        #: the computation under way, and the function to call when the computation is complete
        self._work: Steps | None = None
        self._on_complete: Callable[[], None] = lambda: None
        #: when the computation under way began, and how long its slices have taken so far, in seconds
        self._began_at = self._spent_s = 0.0
        self._durations_logged_at = self.clock()

    @property
    def busy(self) -> bool:
        """Whether a computation is under way, so that `run_slice` has to continue it."""
        return self._work is not None

    def step(self, now: float) -> None:
        """Start a computation if one is due, and run its first slice; called for each heartbeat.

        Args:
            now: the current time of the monotonic clock, in seconds.
        """
        if self.busy or self.election.state is not LeaderState.LEADING:
            return
        registry = self.registry
        since = now - self.scheduler.targets_updated_at
        # the greedy algorithm updates targets at every arrival of a job; here an arrival only brings the update forward
        due = since >= self.scheduler.context.policy_values.period_s or (
            registry.job_added_since_scheduling and since >= MIN_TARGETS_INTERVAL_S
        )
        if due and now >= self.next_targets_at:
            registry.job_added_since_scheduling = False
            self._begin(self._compute_targets(now), self._finish_targets)
        if not self.busy and registry.changed_since_scheduling and now >= self.next_pass_at:
            registry.changed_since_scheduling = False
            self._begin(self.scheduler.full_pass_steps(now), self._finish_pass)

    def _compute_targets(self, now: float) -> Steps:
        self.inventory.detect_silent_machines(now)
        self.machine_reconciliation.check(now)
        yield from self.scheduler.update_targets_steps(now, self.overload.has_spare_time)

    def _begin(self, work: Steps, on_complete: Callable[[], None]) -> None:
        self._work, self._on_complete = work, on_complete
        self._began_at, self._spent_s = self.clock(), 0.0
        self.run_slice()

    def run_slice(self) -> None:
        """Run the next slice of the computation under way, if any."""
        work = self._work
        if work is None:
            return
        if self.election.state is not LeaderState.LEADING:
            self._work = None
            return
        self.scheduler.context.slice_number += 1
        # changes made by the computation itself do not require another computation; changes made between slices do
        changed = self.registry.changed_since_scheduling
        slice_began_at = self.clock()
        unfinished = False
        try:
            for _ in work:
                if self.clock() - slice_began_at >= SLICE_S:
                    unfinished = True
                    break
        finally:
            if not unfinished:
                self._work = None
            self.registry.changed_since_scheduling = changed
            took_s = self.clock() - slice_began_at
            self._spent_s += took_s
            self.context.sketches.add("stretch", took_s)
        if not unfinished:
            self._on_complete()

    def _finish_targets(self) -> None:
        self.next_targets_at = self.clock() + TARGETS_REST_FACTOR * self._spent_s
        if self.clock() - self._durations_logged_at >= self.scheduler.context.policy_values.period_s:
            self._durations_logged_at = self.clock()
            self.context.stragglers.remove_deleted_machines()
            log.info(LogEvent("durations_measured", durations=self.context.sketches.summarize_and_reset()))
        self.registry.changed_since_scheduling = True

    def _finish_pass(self) -> None:
        self.context.sketches.add("pass", self._spent_s)
        if self._spent_s < EMPTY_PASS_S:
            return
        gap_s = MIN_LIGHT_PASS_INTERVAL_S if self._spent_s < LIGHT_PASS_S else MIN_PASS_INTERVAL_S
        self.next_pass_at = max(
            self._began_at + gap_s, self.clock() + min(PASS_REST_FACTOR * self._spent_s, MAX_REST_S)
        )
