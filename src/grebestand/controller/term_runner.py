"""Runs a term of this controller: loads the records, then runs the loops of the term until the term ends."""

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

#: Delay before a failed load of the records is retried.
LOAD_RETRY_S = 0.3
#: Interval of checking whether a paused leader has resumed.
PAUSED_POLL_S = 0.1
#: Interval between two ticks of a term, which limits how precisely scheduling and silence checks are timed.
TICK_INTERVAL_S = 0.1
#: Interval of searching for machines that send no heartbeats; a worker's heartbeats are seconds apart.
SILENCE_CHECK_INTERVAL_S = 1.5
#: Delay before a step is retried whose write was rejected by fencing.
FENCED_RETRY_S = 0.2
#: Delay before a step is retried whose request failed, and the longest random part added to the delay.
REQUEST_RETRY_S, REQUEST_RETRY_JITTER_S = 0.3, 0.4
#: Delay before a step is retried that raised an unexpected exception.
CRASH_RETRY_S = 1.0


@dataclass(frozen=True)
class TermStep:
    """A step that is repeated for the duration of a term.

    Attributes:
        run: Executes the step once.
        pause_s: Delay between two executions, in seconds.
    """

    run: Callable[[], None]
    pause_s: float


def term_steps(term: Term, features: Features) -> list[TermStep]:
    """Return the steps of a term in the order in which their loops are spawned."""
    steps = [
        TermStep(term.job_watch.watch, 0.0),  # no pause: the watch request itself blocks until something changes
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
    """Begins a term when this controller wins an election, and ends the term when it becomes a follower again.

    Every greenlet of a term returns at its next iteration once the term is no longer the current one.
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

    def on_election_state_changed(self, previous: LeaderState, current: LeaderState) -> None:
        """Begin or end a term after the election changed from state `previous` to `current`."""
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
        """Load the records of a term, then lead and spawn the term's loops, unless the term ends before."""
        self._load(term)
        if self._is_current(term):
            term.status_broadcast.restore_cached_images(self.peer_api.find_cached_images())
        while self._is_current(term) and self.election.state is LeaderState.PAUSED:
            gevent.sleep(PAUSED_POLL_S)
        if not self._is_current(term):
            return
        if self.election.state is LeaderState.LOADING:
            self.assignment_loop.decide_assignment_mode(term)
            self.election.change_state(LeaderState.LEADING, "records loaded")
        for step in term_steps(term, self.features):
            gevent.spawn(self._repeat, term, step.run, step.pause_s)
        gevent.spawn(self._run_ticks, term)

    def _load(self, term: Term) -> None:
        """Load the records of a term and run the features' `terms` hooks, with retries until all succeed.

        This function returns early if the term ends.
        """
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
        """Repeat one step until the term ends, except while the leader is paused.

        The step's function is a separate argument because tools/account.py tells greenlets apart in profiles by the
        name of this function.
        """
        while self._is_current(term):
            if self.election.state is LeaderState.PAUSED:
                gevent.sleep(PAUSED_POLL_S)
                continue
            try:
                run()
            except FencedError:
                # the leader was paused or the term ended, both of which are checked at the next iteration
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
        """Schedule tasks, detect silent machines and send direct commands until the term ends."""
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
        """Run one scheduling step, yielding between the slices of a long step so that requests are served."""
        term.scheduling_loop.step(now)
        while term.scheduling_loop.busy and self._is_current(term):
            gevent.sleep(0)
            term.scheduling_loop.run_slice()

    @staticmethod
    def _send_direct_commands(term: Term, now: float) -> None:
        """Query unreconciled machines and send urgent stop commands.

        Each request runs in a greenlet of its own, so that a worker that does not respond delays no other request.
        """
        for machine in term.machine_reconciliation.select_machines_to_query(now):
            gevent.spawn(term.machine_reconciliation.query, machine)
        urgent, term.dispatch.urgent_machines = term.dispatch.urgent_machines, set()
        for index in urgent:
            ready = term.inventory.find_by_index(index)
            if ready is not None and ready.state is MachineState.READY:
                gevent.spawn(term.machine_reconciliation.send_stops, ready)
