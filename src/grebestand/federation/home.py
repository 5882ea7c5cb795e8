"""Home's side: the one decision for each offered gang, and what follows from the other cluster's replies.

The decision is one conditional write of the leader: the gang's live record names the cluster and the reservation. A
user's cancellation, the end of the job and the decision all compete for that one key, so exactly one of them succeeds.
From before the write is sent until the other cluster has confirmed that it does not run the gang any more, the job
is marked `runs_remotely`: nothing of it starts at home.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable

from ..clients.kv_store import StoreError
from ..leader.election import FencedError
from ..leader.term import Term
from ..log_events import LogEvent
from ..metrics.duration_sketches import DurationSketches
from ..state_machines import JobState, check_transition
from ..wire.remote_assignment import RemoteAssignment
from .assignment_records import AssignmentRecords
from .messages import (
    Commit,
    Ended,
    Forget,
    Message,
    Recall,
    Rejection,
    Reply,
    ReservationRequest,
    Reserved,
    Running,
    StatusQuery,
    UncertainReply,
)
from .offering import OfferPlanner
from .overflow_limits import OverflowLimits
from .rate_limits import RetryBudget
from .remote_cluster import RemoteCluster, RemoteClusters
from .remote_gang import EndedReservation, RemoteGang
from .settled_gangs import SettledGangs
from .state_machines import HOME_TRANSITIONS, HomeState

log = logging.getLogger(__name__)

#: the pause between two offers of one gang; it doubles with each offer
OFFER_PAUSE_S = 5.0
#: bounds the growth of that pause
MAX_OFFER_PAUSE_DOUBLINGS = 5
#: between two queries about one gang that is abroad; it doubles with each query that has no certain reply
QUERY_INTERVAL_S = 2.0
#: bounds the growth of that interval
MAX_QUERY_INTERVAL_FACTOR = 8
#: retries allowed a second, however few messages are sent for the first time
MIN_RETRIES_PER_S = 1.0
#: between two summaries in the log
SUMMARY_INTERVAL_S = 60.0
#: after a step that the store did not answer
STORE_RETRY_S = 1.0
#: after a decision whose write had no answer; shorter, as the gang starts nowhere meanwhile
DECISION_RETRY_S = 0.5
#: after a step that met an unexpected exception
CRASH_RETRY_S = 5.0
#: states in which another cluster may run the gang, or may come to run it
REMOTE_STATES = frozenset({HomeState.DECIDING, HomeState.COMMITTED, HomeState.ABROAD, HomeState.RETURNING})


class HomeCluster:
    """The offered gangs of one leader's term. A new leader begins with the assignments in the live records."""

    def __init__(
        self,
        name: str,
        term: Term,
        clusters: list[RemoteCluster],
        limits: OverflowLimits,
        rng: random.Random,
        spawn: Callable[[Callable[[], None]], None] = lambda work: work(),
    ) -> None:
        """Resume the gangs that are abroad.

        Args:
            name: the name of this cluster.
            term: the leader's term.
            clusters: the other clusters.
            limits: the operators' limits.
            rng: draws pauses and intervals.
            spawn: runs a function that waits for another cluster, so that a silent one delays nothing else.

        Raises:
            StoreError: the store could not be reached.
        """
        self.name = name
        self.term = term
        self.limits = limits
        self.rng = rng
        self.spawn = spawn
        self.sketches = DurationSketches()
        self.remotes = RemoteClusters(
            name, clusters, limits=limits, clock=term.clock, rng=rng, spawn=spawn, sketches=self.sketches
        )
        self.offer_planner = OfferPlanner(term, self.remotes.by_name, limits)
        self.records = AssignmentRecords(term)
        #: gangs that are offered or abroad, by job id
        self.gangs: dict[str, RemoteGang] = {}
        #: offers sent, and how they ended
        self.counts = {"offers": 0, "reserved": 0, "decided": 0, "in_vain": 0}
        self._retries = RetryBudget(limits.retry_share, MIN_RETRIES_PER_S, term.clock)
        self._summary_at = term.clock()
        self._ended_reservations: list[EndedReservation] = []
        self.settled = SettledGangs(term, self.remotes, spawn, self._ended_reservations.append)
        self._resume()

    def _resume(self) -> None:
        for job in self.term.registry.jobs.values():
            if job.remote_assignment is not None:
                gang = self.gangs[job.spec.id] = RemoteGang(job, assignment=job.remote_assignment)
                # whether the commit was ever sent is not on record: it is sent again, which is idempotent
                self.change_state(gang, HomeState.COMMITTED, "on record")

    def change_state(self, gang: RemoteGang, new: HomeState, why: str) -> None:
        """Change the state of a gang: the one function that does so.

        Raises:
            IllegalTransitionError: the table of transitions does not allow it.
        """
        if gang.state is new:
            return
        job = gang.job
        job_id = job.spec.id
        check_transition(HOME_TRANSITIONS, gang.state, new, job_id)
        log.info(LogEvent("remote_gang_state_changed", job_id=job_id, from_=gang.state, to=new, reason=why))
        gang.state = new
        job.runs_remotely = new in REMOTE_STATES
        if new is HomeState.WAITING:
            gang.assignment = job.remote_assignment = None
            job.remote_running_count = 0
            gang.next_step_at = self.term.clock() + self._offer_pause_s(gang)
            self.term.registry.changed_since_scheduling = True
        elif new is HomeState.OVER:
            self.gangs.pop(job_id, None)

    def _offer_pause_s(self, gang: RemoteGang) -> float:
        doublings = min(MAX_OFFER_PAUSE_DOUBLINGS, gang.offers)
        return float(OFFER_PAUSE_S * 2**doublings * (0.5 + self.rng.random()))

    def recall(self, ref: str) -> None:
        """Note that a user has asked to cancel a gang that is abroad."""
        gang = self.gangs.get(ref)
        if gang is not None:
            gang.recalled = True
            gang.next_step_at = -math.inf

    # steps ------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Advance every gang as far as possible now; called in a loop of the leader."""
        if not self.term.writer.is_leader():
            return
        now = self.term.clock()
        for gang in list(self.gangs.values()):
            if gang.next_step_at <= now:
                self._spawn_step(gang, self._advance)
        self.remotes.probe_due(now)
        self.settled.recall_due(now)
        self._forget_ended_reservations()
        self._offer_due(now)
        self._log_summary(now)

    def _spawn_step(self, gang: RemoteGang, step: Callable[[RemoteGang], None]) -> None:
        """Run a step of a gang, unless another greenlet is at work on it."""
        if gang.busy:
            return
        gang.busy = True

        def run() -> None:
            try:
                step(gang)
            except Exception:
                log.exception(LogEvent("remote_gang_step_failed", job_id=gang.job.spec.id, state=gang.state))
                gang.next_step_at = self.term.clock() + CRASH_RETRY_S
            finally:
                gang.busy = False

        self.spawn(run)

    def _advance(self, gang: RemoteGang) -> None:
        try:
            self._advance_by_state(gang)
        except (StoreError, FencedError) as error:
            log.info(LogEvent("remote_gang_step_postponed", job_id=gang.job.spec.id, state=gang.state, error=error))
            gang.next_step_at = self.term.clock() + STORE_RETRY_S

    def _advance_by_state(self, gang: RemoteGang) -> None:
        job = gang.job
        if gang.state in (HomeState.COMMITTED, HomeState.ABROAD) and job.remote_assignment is None and job.is_live:
            self.change_state(gang, HomeState.RETURNING, "settled by its operators")
            self.change_state(gang, HomeState.WAITING, "settled by its operators")
            self.settled.load_records()
        elif not job.is_live and gang.state in (HomeState.WAITING, HomeState.OFFERED):
            self._release(gang)
            self.change_state(gang, HomeState.OVER, "it is over at home")
        elif gang.state is HomeState.DECIDING:
            self._resolve_unknown_decision(gang)
        elif gang.state in (HomeState.COMMITTED, HomeState.ABROAD):
            self._follow(gang)
        elif gang.state is HomeState.RETURNING:
            self._return(gang)

    def _log_summary(self, now: float) -> None:
        if now - self._summary_at < SUMMARY_INTERVAL_S:
            return
        self._summary_at = now
        counts = ", ".join(f"{name} {count}" for name, count in self.counts.items())
        log.info(LogEvent("federation_summary", gangs=counts, durations=self.sketches.summarize_and_reset()))

    # offering ---------------------------------------------------------------------------------------------

    def _offer_due(self, now: float) -> None:
        for offer in self.offer_planner.due_offers(self.gangs, now):
            self.gangs[offer.gang.job.spec.id] = offer.gang
            clusters = offer.clusters
            self._spawn_step(offer.gang, lambda gang, clusters=clusters: self._offer(gang, clusters))  # type: ignore[misc]

    def _offer(self, gang: RemoteGang, clusters: list[RemoteCluster]) -> None:
        """Ask these clusters for reservations, then decide."""
        gang.reservations = {}
        gang.offers += len(clusters)
        gang.offered_at = self.term.clock()
        self.counts["offers"] += len(clusters)
        self.change_state(gang, HomeState.OFFERED, f"offered to {', '.join(cluster.name for cluster in clusters)}")
        request = ReservationRequest(self.name, gang.job.spec, [self.name])
        for cluster in clusters:
            self._record_offer_reply(gang, cluster, self.remotes.send(cluster, request))
        self._decide(gang)

    def _record_offer_reply(self, gang: RemoteGang, cluster: RemoteCluster, reply: Reply | None) -> None:
        if isinstance(reply, Reserved):
            gang.reservations[cluster.name] = reply.reservation_id
            self.counts["reserved"] += 1
            cluster.offer_breaker.record_success()
        elif isinstance(reply, Rejection):
            cluster.offer_breaker.record_failure(reply.reason)
            job_id = gang.job.spec.id
            log.info(LogEvent("reservation_rejected", job_id=job_id, cluster=cluster.name, reason=reply.reason))

    def _release(self, gang: RemoteGang, but: str | None = None) -> None:
        """End the reservations that are not used, except one; if the message is lost, they expire by themselves."""
        for cluster_name, reservation_id in gang.reservations.items():
            if cluster_name != but:
                self.counts["in_vain"] += 1
                recall = Recall(self.name, gang.job.spec.id, reservation_id)
                self.remotes.send(self.remotes.by_name[cluster_name], recall)
        gang.reservations = {}

    # the decision -----------------------------------------------------------------------------------------

    def _decide(self, gang: RemoteGang) -> None:
        """Assign the gang to one cluster, unless it can start at home by now."""
        job = gang.job
        chosen = next(iter(gang.reservations), None)
        if chosen is None or job.allocations or not job.is_live or job.startable_count() != job.spec.tasks:
            self._release(gang)
            self.change_state(
                gang, HomeState.WAITING, "no capacity elsewhere" if chosen is None else "it starts at home"
            )
            return
        gang.assignment = RemoteAssignment(chosen, gang.reservations[chosen])
        self.change_state(gang, HomeState.DECIDING, f"reserved by {chosen}")
        try:
            self._write(gang, gang.assignment)
        except (StoreError, FencedError) as error:
            log.info(LogEvent("remote_assignment_unknown", job_id=job.spec.id, cluster=chosen, error=error))
            gang.next_step_at = self.term.clock() + DECISION_RETRY_S
            return
        self._release(gang, but=chosen)
        if gang.state is HomeState.COMMITTED:
            self.counts["decided"] += 1
            duration_s = self.term.clock() - gang.offered_at
            self.sketches.add("offer", duration_s)
            log.info(LogEvent("remote_gang_assigned", job_id=job.spec.id, cluster=chosen, after_s=duration_s))
            self._advance(gang)

    def _write(self, gang: RemoteGang, assignment: RemoteAssignment | None) -> None:
        """Set or clear the assignment in the live record, if that is still as this leader knows it."""
        if self.records.write(gang.job, assignment):
            self.change_state(gang, HomeState.COMMITTED if assignment else HomeState.WAITING, "on record")
        else:
            self._reread(gang)

    def _reread(self, gang: RemoteGang) -> None:
        """Adopt a live record that differs: a user's cancellation came first, or an earlier write was made."""
        if not self.records.reread(gang.job):
            self.change_state(gang, HomeState.OVER, "it was cancelled first")
        elif gang.job.remote_assignment is None:
            self.change_state(gang, HomeState.WAITING, "on record")
        else:
            gang.assignment = gang.job.remote_assignment
            if gang.state is HomeState.DECIDING:
                self.change_state(gang, HomeState.COMMITTED, "on record")

    def _resolve_unknown_decision(self, gang: RemoteGang) -> None:
        """Find out whether a decision whose write had no answer was made.

        The store may still carry out that write. Another write on the same version rules this out, or fails because
        the first one was made.
        """
        self._write(gang, None)
        if gang.state is HomeState.WAITING:
            self._release(gang)

    # abroad -----------------------------------------------------------------------------------------------

    def _follow(self, gang: RemoteGang) -> None:
        """Send the commit until it is answered, and ask for the status from then on."""
        assert gang.assignment is not None
        cluster = self.remotes.by_name.get(gang.assignment.cluster)
        kind = Recall if gang.recalled else Commit if gang.state is HomeState.COMMITTED else StatusQuery
        self._query(gang, cluster, kind(self.name, gang.job.spec.id, gang.assignment.id))

    def _query(self, gang: RemoteGang, cluster: RemoteCluster | None, message: Message) -> None:
        """Send a message about a gang abroad, and act on the reply."""
        gang.next_step_at = self.term.clock() + QUERY_INTERVAL_S * (0.75 + 0.5 * self.rng.random())
        if cluster is None or not cluster.breaker.allows_request():
            return  # not in the settings any more, or not to be asked for a while: it may run the gang all the same
        if gang.unanswered_queries and not self._retries.take_retry():
            return
        if not gang.unanswered_queries:
            self._retries.record_first_try()
        reply = self.remotes.send(cluster, message)
        self._record_certainty(gang, reply)
        if isinstance(reply, Running):
            gang.job.remote_running_count = reply.running
            if gang.state is HomeState.COMMITTED:
                self.change_state(gang, HomeState.ABROAD, f"{cluster.name} runs it")
        elif isinstance(reply, Ended | Rejection):
            gang.done = isinstance(reply, Ended) and reply.done
            why = "done there" if gang.done else "given back" if isinstance(reply, Ended) else reply.reason
            self.change_state(gang, HomeState.RETURNING, why)
            self._advance(gang)

    def _record_certainty(self, gang: RemoteGang, reply: Reply | None) -> None:
        """Count queries without a certain reply; from the second one in a row on, the interval doubles."""
        if reply is not None and not isinstance(reply, UncertainReply):
            gang.unanswered_queries = 0
            return
        gang.unanswered_queries += 1
        if gang.unanswered_queries > 1:
            factor = min(MAX_QUERY_INTERVAL_FACTOR, 2**gang.unanswered_queries)
            gang.next_step_at = self.term.clock() + QUERY_INTERVAL_S * factor * (0.5 + self.rng.random())

    def _return(self, gang: RemoteGang) -> None:
        """Take a gang back that the other cluster does not run any more: it is done, cancelled, or waits at home."""
        job = gang.job
        assignment = gang.assignment
        assert assignment is not None
        if gang.done:
            self._finish(gang)
        elif gang.recalled:
            self._cancel(gang)
        else:
            self._write(gang, None)
        if gang.state is not HomeState.RETURNING:
            self._ended_reservations.append(EndedReservation(assignment.cluster, job.spec.id, assignment.id))

    def _finish(self, gang: RemoteGang) -> None:
        job = gang.job
        now = self.term.clock()
        for index in range(job.spec.tasks):
            self.term.registry.mark_done(job, index, now)
        if job.is_live:
            self.term.registry.change_job_state(job, JobState.CLOSING, now)
        self.change_state(gang, HomeState.OVER, "done")

    def _cancel(self, gang: RemoteGang) -> None:
        """Record the cancellation; only from here on its user gets it confirmed."""
        if not self.records.write_cancellation(gang.job):
            self._reread(gang)
            return
        self.term.dispatch.cancel(gang.job, self.term.clock())
        self.change_state(gang, HomeState.OVER, "cancelled for its user")

    def _forget_ended_reservations(self) -> None:
        """Let the others remove their records of reservations that home's live records no longer name."""
        for ended in list(self._ended_reservations):
            job = self.term.registry.jobs.get(ended.job_id)
            if job is not None and job.remote_assignment is not None:
                continue  # its end is not on record yet
            self._ended_reservations.remove(ended)
            cluster = self.remotes.by_name.get(ended.cluster)
            if cluster is not None:  # if the message is lost, the record there stays until its operators settle it
                self.remotes.send(cluster, Forget(self.name, ended.job_id, ended.reservation_id))
