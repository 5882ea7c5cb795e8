"""The home cluster's side: offers waiting gangs, assigns each to at most one cluster, and queries its state there.

An assignment is one conditional write of the leader: the gang's live record then names the other cluster and the
reservation. A user's cancellation, the end of the job and the assignment are all conditional on the version of that one
key, so exactly one of them succeeds. From before the write is sent until the other cluster has confirmed that it no
longer runs the gang, the job is marked `runs_remotely`, and none of its tasks start at home.
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

#: Mean pause before a gang is offered again, in seconds. The pause doubles with each offer.
OFFER_PAUSE_S = 5.0
#: Bounds the exponential growth of the pause between offers of one gang.
MAX_OFFER_PAUSE_DOUBLINGS = 5
#: Mean interval between two status queries about one remote gang, in seconds. The interval doubles with each query that
#: has no certain reply.
QUERY_INTERVAL_S = 2.0
#: Bounds the exponential growth of the interval between status queries.
MAX_QUERY_INTERVAL_FACTOR = 8
#: Retries allowed a second even if few messages are sent for the first time.
MIN_RETRIES_PER_S = 1.0
#: Interval between two `federation_summary` log events, in seconds.
SUMMARY_INTERVAL_S = 60.0
#: Pause before a step is retried that failed because the key-value store did not respond, in seconds.
STORE_RETRY_S = 1.0
#: Pause before an assignment is resolved whose write had no response, in seconds. Shorter than `STORE_RETRY_S`, because
#: the gang cannot start in any cluster until then.
DECISION_RETRY_S = 0.5
#: Pause before a step is retried that raised an unexpected exception, in seconds.
CRASH_RETRY_S = 5.0
#: States in which another cluster runs the gang or may start it later.
REMOTE_STATES = frozenset({HomeState.DECIDING, HomeState.COMMITTED, HomeState.ABROAD, HomeState.RETURNING})


class HomeCluster:
    """The offered and remote gangs of one leader's term. A new leader restores them from the live records."""

    def __init__(
        self,
        name: str,
        term: Term,
        clusters: list[RemoteCluster],
        limits: OverflowLimits,
        rng: random.Random,
        spawn: Callable[[Callable[[], None]], None] = lambda work: work(),
    ) -> None:
        """Restore the gangs that are assigned to other clusters.

        Args:
            name: Name of this cluster.
            term: The leader's term.
            clusters: The other clusters.
            limits: Limits from the operators' settings.
            rng: Source of random pauses and intervals.
            spawn: Runs a function that waits for a reply of another cluster, so that an unresponsive cluster delays
                nothing else.

        Raises:
            StoreError: The store could not be reached.
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
        #: Gangs that were offered or are assigned to another cluster, by job id.
        self.gangs: dict[str, RemoteGang] = {}
        #: Numbers of offers sent, reservations received, assignments made, and reservations released unused.
        self.counts = {"offers": 0, "reserved": 0, "decided": 0, "in_vain": 0}
        self._retries = RetryBudget(limits.retry_share, MIN_RETRIES_PER_S, term.clock)
        self._summary_at = term.clock()
        self._ended_reservations: list[EndedReservation] = []
        self.settled = SettledGangs(term, self.remotes, spawn, self._ended_reservations.append)
        self._restore_remote_gangs()

    def _restore_remote_gangs(self) -> None:
        for job in self.term.registry.jobs.values():
            if job.remote_assignment is not None:
                gang = self.gangs[job.spec.id] = RemoteGang(job, assignment=job.remote_assignment)
                # The live record does not say whether the commit was sent. Sending it again is idempotent.
                self.change_state(gang, HomeState.COMMITTED, "the live record names another cluster")

    def change_state(self, gang: RemoteGang, new: HomeState, reason: str) -> None:
        """Change the state of a gang and what follows from it; no other function sets the state.

        Args:
            gang: The gang.
            new: The new state; nothing happens if the gang is in this state already.
            reason: Why the state changes, for the log.

        Raises:
            IllegalTransitionError: `HOME_TRANSITIONS` does not allow the transition.
        """
        if gang.state is new:
            return
        job = gang.job
        job_id = job.spec.id
        check_transition(HOME_TRANSITIONS, gang.state, new, job_id)
        log.info(LogEvent("remote_gang_state_changed", job_id=job_id, from_=gang.state, to=new, reason=reason))
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

    def recall(self, job_id: str) -> None:
        """Request the end of a remote gang that its user cancels.

        Args:
            job_id: The gang's job id; ignored if that job is neither offered nor remote.
        """
        gang = self.gangs.get(job_id)
        if gang is not None:
            gang.recalled = True
            gang.next_step_at = -math.inf

    # steps ------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Run all steps that are due: advance gangs, probe clusters, recall settled gangs and send offers.

        The leader calls this function in a loop.
        """
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
        """Run a step of a gang, unless another greenlet is running a step of the same gang."""
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
            self.change_state(gang, HomeState.RETURNING, "settled by an operator")
            self.change_state(gang, HomeState.WAITING, "settled by an operator")
            self.settled.load_records()
        elif not job.is_live and gang.state in (HomeState.WAITING, HomeState.OFFERED):
            self._release_reservations(gang)
            self.change_state(gang, HomeState.OVER, "the job has ended at home")
        elif gang.state is HomeState.DECIDING:
            self._resolve_unknown_assignment(gang)
        elif gang.state in (HomeState.COMMITTED, HomeState.ABROAD):
            self._send_due_message(gang)
        elif gang.state is HomeState.RETURNING:
            self._return_home(gang)

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
        """Request reservations from these clusters, then assign the gang to one that granted a reservation."""
        gang.reservations = {}
        gang.offers += len(clusters)
        gang.offered_at = self.term.clock()
        self.counts["offers"] += len(clusters)
        self.change_state(gang, HomeState.OFFERED, f"offered to {', '.join(cluster.name for cluster in clusters)}")
        request = ReservationRequest(self.name, gang.job.spec, [self.name])
        for cluster in clusters:
            self._record_offer_reply(gang, cluster, self.remotes.send(cluster, request))
        self._assign(gang)

    def _record_offer_reply(self, gang: RemoteGang, cluster: RemoteCluster, reply: Reply | None) -> None:
        if isinstance(reply, Reserved):
            gang.reservations[cluster.name] = reply.reservation_id
            self.counts["reserved"] += 1
            cluster.offer_breaker.record_success()
        elif isinstance(reply, Rejection):
            cluster.offer_breaker.record_failure(reply.reason)
            job_id = gang.job.spec.id
            log.info(LogEvent("reservation_rejected", job_id=job_id, cluster=cluster.name, reason=reply.reason))

    def _release_reservations(self, gang: RemoteGang, except_in: str | None = None) -> None:
        """End the gang's reservations, except in one cluster; if a `Recall` is lost, its reservation expires."""
        for cluster_name, reservation_id in gang.reservations.items():
            if cluster_name != except_in:
                self.counts["in_vain"] += 1
                recall = Recall(self.name, gang.job.spec.id, reservation_id)
                self.remotes.send(self.remotes.by_name[cluster_name], recall)
        gang.reservations = {}

    # assignment -------------------------------------------------------------------------------------------

    def _assign(self, gang: RemoteGang) -> None:
        """Assign the gang to one cluster, unless the gang has started or ended at home during the offer."""
        job = gang.job
        chosen_cluster = next(iter(gang.reservations), None)
        if chosen_cluster is None or job.allocations or not job.is_live or job.startable_count() != job.spec.tasks:
            self._release_reservations(gang)
            if chosen_cluster is None:
                reason = "no cluster has reserved machines"
            else:
                reason = "the gang has started or ended at home, or has tasks that may not start now"
            self.change_state(gang, HomeState.WAITING, reason)
            return
        gang.assignment = RemoteAssignment(chosen_cluster, gang.reservations[chosen_cluster])
        self.change_state(gang, HomeState.DECIDING, f"reserved by {chosen_cluster}")
        try:
            self._write_assignment(gang, gang.assignment)
        except (StoreError, FencedError) as error:
            log.info(LogEvent("remote_assignment_unknown", job_id=job.spec.id, cluster=chosen_cluster, error=error))
            gang.next_step_at = self.term.clock() + DECISION_RETRY_S
            return
        self._release_reservations(gang, except_in=chosen_cluster)
        if gang.state is HomeState.COMMITTED:
            self.counts["decided"] += 1
            duration_s = self.term.clock() - gang.offered_at
            self.sketches.add("offer", duration_s)
            log.info(LogEvent("remote_gang_assigned", job_id=job.spec.id, cluster=chosen_cluster, after_s=duration_s))
            self._advance(gang)

    def _write_assignment(self, gang: RemoteGang, assignment: RemoteAssignment | None) -> None:
        """Set or clear the assignment in the live record, unless the record has another version than this leader knows.

        In that case, the record is read and the gang's state follows from it.
        """
        if self.records.write(gang.job, assignment):
            self.change_state(gang, HomeState.COMMITTED if assignment else HomeState.WAITING, "live record written")
        else:
            self._reread_record(gang)

    def _reread_record(self, gang: RemoteGang) -> None:
        """Read a live record that has changed, and set the gang's state accordingly.

        Either a user's cancellation was written first, or an earlier write without a response took effect.
        """
        if not self.records.reread(gang.job):
            self.change_state(gang, HomeState.OVER, "the job was cancelled before the live record was written")
        elif gang.job.remote_assignment is None:
            self.change_state(gang, HomeState.WAITING, "the live record names no other cluster")
        else:
            gang.assignment = gang.job.remote_assignment
            if gang.state is HomeState.DECIDING:
                self.change_state(gang, HomeState.COMMITTED, "the live record names another cluster")

    def _resolve_unknown_assignment(self, gang: RemoteGang) -> None:
        """Resolve an assignment whose write had no response.

        The store may still apply that write. A second write, conditional on the same version, either succeeds, so that
        the first write can no longer take effect, or fails because the first write took effect.
        """
        self._write_assignment(gang, None)
        if gang.state is HomeState.WAITING:
            self._release_reservations(gang)

    # remote gangs -----------------------------------------------------------------------------------------

    def _send_due_message(self, gang: RemoteGang) -> None:
        """Send the message that is due for a gang assigned to another cluster.

        This is a `Recall` once the user has cancelled the gang; otherwise a `Commit` until the other cluster confirms
        that the gang is its job, and a `StatusQuery` from then on.
        """
        assert gang.assignment is not None
        cluster = self.remotes.by_name.get(gang.assignment.cluster)
        message_type = Recall if gang.recalled else Commit if gang.state is HomeState.COMMITTED else StatusQuery
        self._send_message(gang, cluster, message_type(self.name, gang.job.spec.id, gang.assignment.id))

    def _send_message(self, gang: RemoteGang, cluster: RemoteCluster | None, message: Message) -> None:
        """Send a message about a remote gang and process the reply."""
        gang.next_step_at = self.term.clock() + QUERY_INTERVAL_S * (0.75 + 0.5 * self.rng.random())
        if cluster is None or not cluster.breaker.allows_request():
            # The cluster was removed from the settings or its circuit breaker is open. It may still run the gang, so
            # the gang must not return home.
            return
        if gang.unanswered_queries and not self._retries.take_retry():
            return
        if not gang.unanswered_queries:
            self._retries.record_first_try()
        reply = self.remotes.send(cluster, message)
        self._record_certainty(gang, reply)
        if isinstance(reply, Running):
            gang.job.remote_running_count = reply.running
            if gang.state is HomeState.COMMITTED:
                self.change_state(gang, HomeState.ABROAD, f"{cluster.name} confirms that it runs the gang")
        elif isinstance(reply, Ended | Rejection):
            gang.done = isinstance(reply, Ended) and reply.done
            if isinstance(reply, Rejection):
                reason = reply.reason
            else:
                reason = f"done in {cluster.name}" if gang.done else f"returned by {cluster.name}"
            self.change_state(gang, HomeState.RETURNING, reason)
            self._advance(gang)

    def _record_certainty(self, gang: RemoteGang, reply: Reply | None) -> None:
        """Count consecutive queries without a certain reply; from the second on, the interval doubles with each."""
        if reply is not None and not isinstance(reply, UncertainReply):
            gang.unanswered_queries = 0
            return
        gang.unanswered_queries += 1
        if gang.unanswered_queries > 1:
            factor = min(MAX_QUERY_INTERVAL_FACTOR, 2**gang.unanswered_queries)
            gang.next_step_at = self.term.clock() + QUERY_INTERVAL_S * factor * (0.5 + self.rng.random())

    def _return_home(self, gang: RemoteGang) -> None:
        """Record that another cluster no longer runs the gang: the gang is done, is cancelled, or waits at home."""
        job = gang.job
        assignment = gang.assignment
        assert assignment is not None
        if gang.done:
            self._finish(gang)
        elif gang.recalled:
            self._cancel(gang)
        else:
            self._write_assignment(gang, None)
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
        """Record the cancellation; its user receives the confirmation only after this write."""
        if not self.records.write_cancellation(gang.job):
            self._reread_record(gang)
            return
        self.term.dispatch.cancel(gang.job, self.term.clock())
        self.change_state(gang, HomeState.OVER, "cancelled by its user")

    def _forget_ended_reservations(self) -> None:
        """Let other clusters remove their records of reservations that no live record here names any more."""
        for ended in list(self._ended_reservations):
            job = self.term.registry.jobs.get(ended.job_id)
            if job is not None and job.remote_assignment is not None:
                continue  # the live record still names the reservation
            self._ended_reservations.remove(ended)
            cluster = self.remotes.by_name.get(ended.cluster)
            # If this message is lost, the record stays in the other cluster until operators of that cluster remove it.
            if cluster is not None:
                self.remotes.send(cluster, Forget(self.name, ended.job_id, ended.reservation_id))
