"""Runs the term of this controller: loads its records, then runs its loops until the term ends."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from ..api.peer_api import PeerApi
from ..clients.cloud import CloudError
from ..clients.kv_store import StoreError
from ..features.hooks import Features
from ..leader.election import FencedError, LeaderElection
from ..leader.term import Term
from ..log_events import LogEvent
from ..state_machines import LeaderState, MachineState
from .assignment_loop import AssignmentLoop
from .current_term import CurrentTerm
from .store_write_budget import StoreWriteBudget
from .term_factory import TermFactory

log = logging.getLogger(__name__)

#: before records that could not be read are read again
LOAD_RETRY_S = 0.3
#: between two looks at whether a paused leader may go on
PAUSED_POLL_S = 0.1
#: between two ticks of a term: how finely placement and silence are timed
TICK_INTERVAL_S = 0.1
#: between two searches for machines that have fallen silent; heartbeats are seconds apart
SILENCE_CHECK_INTERVAL_S = 1.5
#: before a step is repeated: after a fenced write, a failed request (plus a random part up to the second), a crash
FENCED_RETRY_S = 0.2
REQUEST_RETRY_S, REQUEST_RETRY_JITTER_S = 0.3, 0.4
CRASH_RETRY_S = 1.0


@dataclass(frozen=True)
class TermStep:
    """A step that is repeated while a term lasts, with a pause after each run, in seconds."""

    run: Callable[[], None]
    pause_s: float


def steps_of(term: Term, features: Features) -> list[TermStep]:
    """Return the steps of a term in the order in which their loops begin."""
    steps = [
        TermStep(term.job_watch.watch, 0.0),  # the watch itself waits for changes
        TermStep(term.machine_records.record, 0.2),
        TermStep(term.job_completion.complete_jobs, 0.05),
        TermStep(term.progress.save, 0.4),
        TermStep(term.grants.cover, 0.1),
        TermStep(term.provisioning.delete_settled_records, 1.0),
        TermStep(term.step_machines, 1.0),
        TermStep(term.job_audit.step, 5.0),
    ]
    if features.records:
        steps.append(TermStep(term.save_features, 0.4))
    return steps + [TermStep(run, pause_s) for run, pause_s in features.steps]


class TermRunner:
    """Begins a term when this controller wins an election, and ends it when it follows again.

    Every greenlet of a term ends by itself at its next step once the term is no longer the current one.
    """

    def __init__(
        self,
        *,
        election: LeaderElection,
        current_term: CurrentTerm,
        factory: TermFactory,
        assignment_loop: AssignmentLoop,
        peer_api: PeerApi,
        write_budget: StoreWriteBudget,
        features: Features,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.election = election
        self.current_term = current_term
        self.factory = factory
        self.assignment_loop = assignment_loop
        self.peer_api = peer_api
        self.write_budget = write_budget
        self.features = features
        self.clock = clock
        self.rng = rng

    def on_leadership_changed(self, previous: LeaderState, current: LeaderState) -> None:
        """Begin or end a term as the election's state requires."""
        self.write_budget.adjust(current)
        term = self.current_term.term
        if current is LeaderState.LOADING and (term is None or term.token != self.election.token):
            term = self.factory.create()
            self.current_term.begin(term)
            gevent.spawn(self._run, term)
        elif current in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
            self.current_term.end()

    def _is_current(self, term: Term) -> bool:
        return self.current_term.term is term

    def _run(self, term: Term) -> None:
        """Load the records of a term, then begin to lead and spawn its loops, unless the term ends before."""
        self._load(term)
        if self._is_current(term):
            term.status_broadcast.restore_cached_images(self.peer_api.known_images())
        while self._is_current(term) and self.election.state is LeaderState.PAUSED:
            gevent.sleep(PAUSED_POLL_S)
        if not self._is_current(term):
            return
        if self.election.state is LeaderState.LOADING:
            self.assignment_loop.decide(term)
            self.election.change_state(LeaderState.LEADING, "records read")
        for step in steps_of(term, self.features):
            gevent.spawn(self._repeat, term, step.run, step.pause_s)
        gevent.spawn(self._run_ticks, term)

    def _load(self, term: Term) -> None:
        """Load the records, however often it takes, and let features read theirs."""
        ready = False
        while self._is_current(term) and not ready:
            try:
                if not term.loaded:
                    term.load()
                for hook in self.features.terms:
                    hook(term)
                ready = True
            except StoreError as error:
                log.info(LogEvent("term_load_failed", token=term.token, reason=error))
                gevent.sleep(LOAD_RETRY_S)

    def _repeat(self, term: Term, run: Callable[[], None], pause_s: float) -> None:
        """Repeat one step until the term ends; it rests while the leader is paused.

        The step is an argument of its own, so that its name tells profiles of greenlets apart (tools/account.py).
        """
        while self._is_current(term):
            if self.election.state is LeaderState.PAUSED:
                gevent.sleep(PAUSED_POLL_S)
                continue
            try:
                run()
            except FencedError:
                # a pause or the end of the term, which the loop sees next
                gevent.sleep(FENCED_RETRY_S)
            except (StoreError, CloudError) as error:
                log.info(LogEvent("term_step_failed", step=run.__name__, reason=error))
                gevent.sleep(REQUEST_RETRY_S + self.rng.random() * REQUEST_RETRY_JITTER_S)
            except Exception:
                log.exception(LogEvent("term_step_crashed", step=run.__name__))
                gevent.sleep(CRASH_RETRY_S)
            if pause_s:
                gevent.sleep(pause_s)

    def _run_ticks(self, term: Term) -> None:
        """Schedule, detect silence and send direct commands until the term ends."""
        silence_checked_at = 0.0
        while self._is_current(term):
            now = self.clock()
            try:
                if self.election.is_leader():
                    self._schedule(term, now)
                    if now - silence_checked_at >= SILENCE_CHECK_INTERVAL_S:
                        silence_checked_at = now
                        term.inventory.detect_silent_machines(now)
                        term.machine_reconciliation.check(now)
                    self._send_direct_commands(term, now)
            except Exception:
                log.exception(LogEvent("term_tick_crashed", token=term.token))
            gevent.sleep(TICK_INTERVAL_S)

    def _schedule(self, term: Term, now: float) -> None:
        """Run one scheduling step; between the parts of a long one heartbeats and users are served."""
        term.scheduling_loop.step(now)
        while term.scheduling_loop.busy and self._is_current(term):
            gevent.sleep(0)
            term.scheduling_loop.run_slice()

    @staticmethod
    def _send_direct_commands(term: Term, now: float) -> None:
        """Query unreconciled machines and send urgent stops, each in a greenlet of its own: workers may hang."""
        for machine in term.machine_reconciliation.select_machines_to_query(now):
            gevent.spawn(term.machine_reconciliation.query, machine)
        urgent, term.dispatch.urgent_machines = term.dispatch.urgent_machines, set()
        for index in urgent:
            ready = term.inventory.find_by_index(index)
            if ready is not None and ready.state is MachineState.READY:
                gevent.spawn(term.machine_reconciliation.send_stops, ready)
