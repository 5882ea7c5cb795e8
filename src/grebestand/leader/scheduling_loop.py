"""When targets are set and passes made, in slices, and for how long the leader answers workers and users instead."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..flow_control.overload import OverloadMonitor
from ..scheduling.scheduling_context import Steps
from ..state_machines import LeaderState
from .machine_reconciliation import MachineReconciliation
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: arrivals bring the next targets forward, but not closer than this to the last ones
ARRIVAL_GAP_S = 1.0
#: after targets and after a pass the leader answers workers and users for so many times as long as it took, at most so
#: long, in seconds. With six times, what waited in a crowded fleet took a seventh of a core however cheap a pass
#: became: the cheaper, the more of them. Starts ride on reports, so that a later pass delays them little
TARGETS_REST, PASS_REST, MOST_REST_S = 6.0, 15.0, 2.0
#: between the beginnings of two passes that had something to look at, short and longer ones; arrays fill what a report
#: frees without a pass
TRIFLE_S, LIGHT_S = 0.001, 0.01
LIGHT_GAP_S, PASS_GAP_S = 0.25, 0.5
#: a computation lets others run after so long
SLICE_S = 0.04


class SchedulingLoop(TermComponent):
    def __init__(
        self, context: TermContext, machine_reconciliation: MachineReconciliation, load: OverloadMonitor
    ) -> None:
        super().__init__(context)
        self.machine_reconciliation = machine_reconciliation
        self.load = load
        self.scheduler = context.scheduler
        self.place_after = self.retarget_after = -math.inf
        #: what is being computed, what is to be done when it is complete, and how long it has taken so far
        self._work: Steps | None = None
        self._complete: Callable[[], None] = lambda: None
        self._began = self._spent = 0.0
        self._told_at = self.clock()

    @property
    def busy(self) -> bool:
        """Whether a computation has begun and is to be gone on with."""
        return self._work is not None

    def step(self, now: float) -> None:
        """Begins what is due, and takes its first slice."""
        if self.busy or self.election.state is not LeaderState.LEADING:
            return
        registry = self.registry
        since = now - self.scheduler.retargeted_at
        # the paper updates at every arrival; here an arrival brings the next computation forward
        due = since >= self.scheduler.view.policy_values.period_s or (registry.arrived and since >= ARRIVAL_GAP_S)
        if due and now >= self.retarget_after:
            registry.arrived = False
            self._begin(self._retarget(now), self._retargeted)
        if not self.busy and registry.changed and now >= self.place_after:
            registry.changed = False
            self._begin(self.scheduler.passing(now), self._placed)

    def _retarget(self, now: float) -> Steps:
        self.inventory.detect_silent_machines(now)
        self.machine_reconciliation.check(now)
        yield from self.scheduler.retargeting(now, self.load.spare)

    def _begin(self, work: Steps, complete: Callable[[], None]) -> None:
        self._work, self._complete = work, complete
        self._began, self._spent = self.clock(), 0.0
        self.go_on()

    def go_on(self) -> None:
        """One more slice of what has begun."""
        work = self._work
        if work is None:
            return
        if self.election.state is not LeaderState.LEADING:
            self._work = None
            return
        self.scheduler.view.turn += 1
        # what a computation changes itself is no reason for the next one; what others change meanwhile is
        changed = self.registry.changed
        begin = self.clock()
        more = False
        try:
            for _ in work:
                if self.clock() - begin >= SLICE_S:
                    more = True
                    break
        finally:
            if not more:
                self._work = None
            self.registry.changed = changed
            took = self.clock() - begin
            self._spent += took
            self.context.sketches.add("stretch", took)
        if not more:
            self._complete()

    def _retargeted(self) -> None:
        self.retarget_after = self.clock() + TARGETS_REST * self._spent
        if self.clock() - self._told_at >= self.scheduler.view.policy_values.period_s:
            self._told_at = self.clock()
            self.context.stragglers.forget()
            log.info("durations: %s", self.context.sketches.tell())
        self.registry.changed = True

    def _placed(self) -> None:
        self.context.sketches.add("pass", self._spent)
        if self._spent < TRIFLE_S:
            return
        gap = LIGHT_GAP_S if self._spent < LIGHT_S else PASS_GAP_S
        self.place_after = max(self._began + gap, self.clock() + min(PASS_REST * self._spent, MOST_REST_S))
