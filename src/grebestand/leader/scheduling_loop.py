"""Decides when targets are computed and scheduling passes are made, and divides them into slices.

Between slices, and for a while after each computation, the leader answers workers and users instead.
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

#: New jobs bring the next computation of targets forward, but not closer than this to the last one, in seconds.
ARRIVAL_GAP_S = 1.0
#: After a computation of targets, and after a pass, the loop rests this many times as long as it took. A pass rests
#: longer, as starts ride on heartbeats and a later pass delays them little: with a small factor, cheaper passes only
#: mean more of them, and take the same share of a core.
TARGETS_REST_FACTOR, PASS_REST = 6.0, 15.0
#: The longest rest after a pass, in seconds.
MAX_REST_S = 2.0
#: A pass shorter than the first had nothing to do and needs no rest; one shorter than the second is light.
TRIFLE_S, LIGHT_S = 0.001, 0.01
#: The least time between the beginnings of two passes, after a light and after a longer one, in seconds; arrays fill
#: what a heartbeat frees without a pass.
LIGHT_GAP_S, PASS_GAP_S = 0.25, 0.5
#: A computation lets other greenlets run after this long, in seconds.
SLICE_S = 0.04


class SchedulingLoop(TermComponent):
    """Runs at most one computation at a time: of targets, or a pass."""

    def __init__(
        self, context: TermContext, machine_reconciliation: MachineReconciliation, overload: OverloadMonitor
    ) -> None:
        super().__init__(context)
        self.machine_reconciliation = machine_reconciliation
        self.overload = overload
        self.scheduler = context.scheduler
        #: the earliest times of the next pass and of the next targets
        self.next_pass_at = self.next_targets_at = -math.inf
        #: the computation under way, and what to call when it is complete
        self._work: Steps | None = None
        self._on_complete: Callable[[], None] = lambda: None
        #: when the computation began, and how long its slices have taken so far
        self._began_at = self._spent_s = 0.0
        self._durations_logged_at = self.clock()

    @property
    def busy(self) -> bool:
        """Whether a computation is under way and has to be continued."""
        return self._work is not None

    def step(self, now: float) -> None:
        """Begin the computation that is due, if any, with its first slice; called at each heartbeat."""
        if self.busy or self.election.state is not LeaderState.LEADING:
            return
        registry = self.registry
        since = now - self.scheduler.targets_updated_at
        # the greedy algorithm updates at every arrival; here an arrival brings the next update forward
        due = since >= self.scheduler.context.policy_values.period_s or (
            registry.job_added_since_scheduling and since >= ARRIVAL_GAP_S
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
        yield from self.scheduler.update_targets_steps(now, self.overload.spare)

    def _begin(self, work: Steps, on_complete: Callable[[], None]) -> None:
        self._work, self._on_complete = work, on_complete
        self._began_at, self._spent_s = self.clock(), 0.0
        self.run_slice()

    def run_slice(self) -> None:
        """Run one more slice of the computation under way, if any."""
        work = self._work
        if work is None:
            return
        if self.election.state is not LeaderState.LEADING:
            self._work = None
            return
        self.scheduler.context.slice_number += 1
        # what the computation itself changes is no reason for another one; what others change between slices is
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
            log.info(LogEvent("durations_measured", durations=self.context.sketches.tell()))
        self.registry.changed_since_scheduling = True

    def _finish_pass(self) -> None:
        self.context.sketches.add("pass", self._spent_s)
        if self._spent_s < TRIFLE_S:
            return
        gap_s = LIGHT_GAP_S if self._spent_s < LIGHT_S else PASS_GAP_S
        self.next_pass_at = max(self._began_at + gap_s, self.clock() + min(PASS_REST * self._spent_s, MAX_REST_S))
