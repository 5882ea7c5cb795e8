"""Home's side: which gangs are offered, the one decision for each, and what follows from what the other cluster says.

The decision is one conditional write of the leader: the gang's live record names the cluster and the reservation. A
user's cancellation, a done and the decision all compete for that one key, so exactly one of them holds. From before
the write is sent until it is proved that the cluster does not run the gang any more, the job is `away`: nothing of
it starts at home.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from ..clients.kv_store import StoreError, delete, put, version_is
from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from ..leader.election import FencedError
from ..leader.term import Term
from ..log_events import LogEvent
from ..metrics.duration_sketches import DurationSketches
from ..state_machines import JobState, check_transition
from ..storage.job_records import CompletedJobRecord, LiveJobRecord, completion_transaction, live_key
from ..wire.jobs import JobStatus
from ..wire.remote_assignment import RemoteAssignment
from .circuit_breaker import CircuitBreaker
from .messages import (
    MOST_BYTES,
    VERSION,
    Commit,
    Ended,
    Forget,
    FreeCapacity,
    Message,
    Probe,
    Recall,
    Rejection,
    Reply,
    ReservationRequest,
    Reserved,
    Running,
    StatusQuery,
    UncertainReply,
)
from .rate_limits import RetryBackoff, TokenBucket
from .routing import Prefer, RemoteLoad, by_room, fits, value, without
from .settlement import PREFIX as SETTLED
from .settlement import Settled
from .state_machines import HOME_TRANSITIONS, HomeState

log = logging.getLogger(__name__)

#: clusters that one gang is offered to at a time, and offers for each gang until it is left at home for good
AT_ONCE, MOST_OFFERS = 2, 12
#: between two offers of one gang, growing, and between two questions about one that is abroad, in seconds
OFFER_AGAIN_S, ASK_S = 5.0, 2.0
#: looks at other clusters' room, a second, however many there are
LOOKS_PER_S = 2.0
#: between two looks through all waiting gangs, in seconds
MORE_S = 0.5
#: refusals in a row after which a cluster is offered nothing for a while, growing to so many seconds
REFUSALS, REFUSED_S = 4, 30.0


class Link(Protocol):
    """The way to another cluster: the answer, or None if there was none that can be relied on."""

    def tell(self, message: Message) -> Reply | None:
        """Send a message and return the reply, or None without one."""


@dataclass
class Cluster:
    """Another cluster, as home sees it."""

    name: str
    link: Link
    breaker: CircuitBreaker
    told: RemoteLoad | None = None
    #: it speaks another version: it is offered nothing
    strange: bool = False
    look_at: float = -math.inf
    #: of offers only: one that refuses again and again is offered less, and asked about its guests as before
    refusals: CircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        b = self.breaker
        self.refusals = CircuitBreaker(f"{self.name} (offers)", b.clock, b.rng, REFUSALS, REFUSED_S)


@dataclass
class Limits:
    """The operators' values of the moment."""

    overflow_after_s: Callable[[Job, float], float]
    #: gangs that may be out as offers at a time, and offers a second
    most_out: int = 8
    offers_per_s: float = 4.0
    #: clusters that a gang is offered to at a time, and offers until it is left at home for good
    at_once: int = AT_ONCE
    most_offers: int = MOST_OFFERS
    #: repetitions for each message sent for the first time, beside one a second
    retry_share: float = 0.3
    bytes_per_s: float = 64.0 * MOST_BYTES
    #: between two looks at a cluster's room
    look_s: float = 5.0
    prefer: Prefer = by_room


@dataclass
class RemoteGang:
    """What home knows of one gang that it has offered, or that is abroad."""

    job: Job
    state: HomeState = HomeState.WAITING
    offers: int = 0
    next_at: float = -math.inf
    #: while offered: who has reserved, and under which id
    reserved: dict[str, str] = field(default_factory=dict)
    #: from the decision on
    abroad: RemoteAssignment | None = None
    #: its user wants it cancelled
    recalled: bool = False
    #: questions in a row that nobody answered
    unanswered: int = 0
    #: a greenlet is at work on it
    busy: bool = False
    #: when it was offered, for the one offer that is decided
    offered_at: float = 0.0
    #: how it ended there, once that is proved
    done: bool = False


class HomeCluster:
    """The gangs of one leader's term. A new leader begins with what the live records name."""

    def __init__(
        self,
        name: str,
        term: Term,
        clusters: list[Cluster],
        limits: Limits,
        rng: random.Random,
        spawn: Callable[[Callable[[], None]], None] = lambda work: work(),
    ) -> None:
        """`spawn` runs what waits for another cluster, so that one that does not answer holds up nothing else."""
        self.name = name
        self.term = term
        self.clusters = {c.name: c for c in clusters}
        self.limits = limits
        self.rng = rng
        self.trips: dict[str, RemoteGang] = {}
        #: done elsewhere: the other cluster's record may go once home's is durable
        self._settled: list[tuple[str, str, str]] = []
        self.spawn = spawn
        self.sketches = DurationSketches()
        #: gangs offered, and how their offers ended
        self.counts = {"offers": 0, "reserved": 0, "decided": 0, "in_vain": 0}
        self._offers = TokenBucket(limits.offers_per_s, term.clock)
        self._bytes = TokenBucket(limits.bytes_per_s, term.clock)
        self._retries = RetryBackoff(limits.retry_share, 1.0, term.clock)
        self._looking: set[str] = set()
        self._looks = TokenBucket(LOOKS_PER_S, term.clock)
        self._told_at = term.clock()
        self._more_at = -math.inf
        #: what operators have settled, and is still to be ended wherever it may run after all
        self.lost: dict[str, Settled] = {}
        self.read_settled()
        for job in term.registry.jobs.values():
            if job.abroad is not None:
                trip = self.trips[job.spec.id] = RemoteGang(job, abroad=job.abroad)
                # whether the news was ever told is not on record, so it is told again: that changes nothing twice
                self.move(trip, HomeState.COMMITTED, "on record")

    def move(self, trip: RemoteGang, new: HomeState, why: str) -> None:
        """The one function that changes where a gang's decision stands."""
        if trip.state is new:
            return
        ident = trip.job.spec.id
        check_transition(HOME_TRANSITIONS, trip.state, new, ident)
        log.info(LogEvent("remote_gang_state_changed", job_id=ident, from_=trip.state, to=new, reason=why))
        trip.state = new
        trip.job.away = new not in (HomeState.WAITING, HomeState.OFFERED, HomeState.OVER)
        if new is HomeState.WAITING:
            trip.abroad = trip.job.abroad = None
            trip.job.abroad_running = 0
            trip.next_at = self.term.clock() + OFFER_AGAIN_S * 2 ** min(5, trip.offers) * (0.5 + self.rng.random())
            self.term.registry.changed = True
        elif new is HomeState.OVER:
            self.trips.pop(ident, None)

    def recall(self, ref: str) -> None:
        """A user has asked to cancel a gang that is abroad."""
        trip = self.trips.get(ref)
        if trip is not None:
            trip.recalled = True
            trip.next_at = -math.inf

    # steps ------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Moves every gang on as far as it goes now; a loop of the leader."""
        if not self.term.writer.is_leader():
            return
        now = self.term.clock()
        for trip in list(self.trips.values()):
            if trip.next_at <= now:
                self._work(trip, self._go_on)
        self._look(now)
        self._end_settled(now)
        self._forget()
        self._offer_more(now)
        if now - self._told_at >= 60.0:
            self._told_at = now
            text = ", ".join(f"{n} {k}" for k, n in self.counts.items())
            log.info(LogEvent("federation_summary", gangs=text, durations=self.sketches.tell()))

    def _work(self, trip: RemoteGang, what: Callable[[RemoteGang], None]) -> None:
        """At most one greenlet at a time is at work on a gang."""
        if trip.busy:
            return
        trip.busy = True

        def work() -> None:
            try:
                what(trip)
            except Exception:
                log.exception(LogEvent("remote_gang_step_failed", job_id=trip.job.spec.id, state=trip.state))
                trip.next_at = self.term.clock() + 5.0
            finally:
                trip.busy = False

        self.spawn(work)

    def _look(self, now: float) -> None:
        """Asks now and then what room there is, so that the likeliest cluster is asked first."""
        for cluster in sorted(self.clusters.values(), key=lambda c: c.look_at):
            if now < cluster.look_at or self._looks.room() < 1.0:
                return
            if cluster.name not in self._looking and cluster.breaker.lets():
                self._looks.take(1.0)
                cluster.look_at = now + self.limits.look_s * (0.75 + 0.5 * self.rng.random())
                self._looking.add(cluster.name)
                self.spawn(lambda cluster=cluster: self._look_at(cluster))  # type: ignore[misc]

    def _look_at(self, cluster: Cluster) -> None:
        try:
            answer = self._ask(cluster, Probe(self.name, VERSION))
        finally:
            self._looking.discard(cluster.name)
        if isinstance(answer, FreeCapacity):
            if (answer.version != VERSION) is not cluster.strange:
                cluster.strange = answer.version != VERSION
                log.warning(
                    LogEvent(
                        "cluster_version_differs", cluster=cluster.name, version=answer.version, own_version=VERSION
                    )
                )
            cluster.told = RemoteLoad(answer, self.term.clock())

    # settled by operators ---------------------------------------------------------------------------------

    def read_settled(self) -> None:
        """What operators have declared lost with its cluster; the gangs are home again."""
        for pair in self.term.writer.store.pairs(SETTLED):
            found = msgspec.convert(pair.value, Settled)
            self.lost[found.id] = found

    def _end_settled(self, now: float) -> None:
        """A cluster that comes back after all is told to end what home runs itself by now."""
        for entry in list(self.lost.values()):
            cluster = self.clusters.get(entry.cluster)
            if cluster is None or now < entry.next_at or not cluster.breaker.lets():
                continue
            entry.next_at = now + 10.0
            self.spawn(lambda entry=entry, cluster=cluster: self._end_one(entry, cluster))  # type: ignore[misc]

    def _end_one(self, entry: Settled, cluster: Cluster) -> None:
        answer = self._ask(cluster, Recall(self.name, entry.ref, entry.id))
        if not isinstance(answer, Ended | Rejection):
            return
        try:
            key = SETTLED + entry.id
            found = self.term.writer.store.get(key, Urgency.PROGRESS)
            if found is not None:
                self.term.writer.commit([version_is(key, found.version)], [delete(key)], Urgency.PROGRESS)
        except (StoreError, FencedError) as e:
            log.info(LogEvent("settlement_removal_postponed", job_id=entry.ref, error=e))
            return
        self.lost.pop(entry.id, None)
        log.info(LogEvent("settled_gang_gone", job_id=entry.ref, cluster=entry.cluster))
        self._settled.append((entry.cluster, entry.ref, entry.id))

    def _go_on(self, trip: RemoteGang) -> None:
        try:
            if trip.state in (HomeState.COMMITTED, HomeState.ABROAD) and trip.job.abroad is None and trip.job.live:
                self.move(trip, HomeState.RETURNING, "settled by its operators")
                self.move(trip, HomeState.WAITING, "settled by its operators")
                self.read_settled()
                return
            if not trip.job.live and trip.state in (HomeState.WAITING, HomeState.OFFERED):
                self._release(trip)
                self.move(trip, HomeState.OVER, "it is over at home")
            elif trip.state is HomeState.DECIDING:
                self._settle(trip)
            elif trip.state in (HomeState.COMMITTED, HomeState.ABROAD):
                self._follow(trip)
            elif trip.state is HomeState.RETURNING:
                self._return(trip)
        except (StoreError, FencedError) as e:
            log.info(LogEvent("remote_gang_step_postponed", job_id=trip.job.spec.id, state=trip.state, error=e))
            trip.next_at = self.term.clock() + 1.0

    # offering ---------------------------------------------------------------------------------------------

    def eligible(self, job: Job, now: float) -> bool:
        """Whole, provably nowhere, and waiting for longer than the operators' expression says."""
        return (
            job.gang
            and job.live
            and not job.away
            and not job.guest
            and job.spec.zone is None
            and not job.allocations
            and job.startable() == job.spec.tasks
            and now - job.accepted_at >= self.limits.overflow_after_s(job, now)
        )

    def _offer_more(self, now: float) -> None:
        """Offers the gangs that have waited longest, within the bounds; a flood of them makes no stampede."""
        if not self.clusters or now < self._more_at:
            return
        self._more_at = now + MORE_S
        out = sum(1 for t in self.trips.values() if t.state is not HomeState.WAITING)
        due = [j for j in self.term.registry.waiting_jobs() if self.eligible(j, now)]
        due.sort(key=lambda j: (j.accepted_at, j.spec.id))
        for job in due:
            trip = self.trips.get(job.spec.id) or RemoteGang(job)
            if trip.state is not HomeState.WAITING or trip.offers >= self.limits.most_offers:
                continue
            if trip.next_at > now and not self._news(trip, now):
                continue
            if out >= self.limits.most_out:
                return
            asked = self._likely(job, self._ranked(job), now)
            if not asked or not self._offers.take(len(asked)):
                return
            for cluster in asked:
                if cluster.told is not None:
                    cluster.told = without(cluster.told, job)  # the next gang is not offered the same room
            self.trips[job.spec.id] = trip
            out += 1
            self._work(trip, lambda trip, asked=asked: self._offer(trip, asked))  # type: ignore[misc]

    def _ranked(self, job: Job) -> list[Cluster]:
        """Who is asked first, by the operators' expression over what was told; of equals, by name."""
        now = self.term.clock()
        return sorted(
            (c for c in self.clusters.values() if not c.strange),
            key=lambda c: (-value(self.limits.prefer, job, c.told, now), c.name),
        )

    @staticmethod
    def _has_room(cluster: Cluster, job: Job, since: float) -> bool:
        """Whether it has told of room for the whole gang since then."""
        return cluster.told is not None and cluster.told.at >= since and fits(job, cluster.told.room)

    def _news(self, trip: RemoteGang, now: float) -> bool:
        """Whether a cluster has told of room for it since it was last offered: its pause need not be waited for."""
        return trip.offers > 0 and any(
            not c.strange
            and c.told is not None
            and c.told.at > trip.offered_at
            and self._has_room(c, trip.job, now - self.limits.look_s)
            for c in self.clusters.values()
        )

    def _likely(self, job: Job, ranked: list[Cluster], now: float) -> list[Cluster]:
        """Whom of these to ask at once: one that has just told of enough room is enough, as a second one's
        reservation would nearly always be in vain."""
        asked: list[Cluster] = []
        for cluster in ranked:
            has_room = self._has_room(cluster, job, now - 2 * self.limits.look_s)
            if not cluster.breaker.lets() or not (has_room or cluster.refusals.lets()):
                continue
            asked.append(cluster)
            if len(asked) >= self.limits.at_once or (has_room and len(asked) == 1):
                break
        return asked

    def _offer(self, trip: RemoteGang, asked: list[Cluster]) -> None:
        trip.reserved = {}
        trip.offers += len(asked)
        trip.offered_at = self.term.clock()
        self.counts["offers"] += len(asked)
        self.move(trip, HomeState.OFFERED, f"offered to {', '.join(c.name for c in asked)}")
        message = ReservationRequest(self.name, trip.job.spec, [self.name])
        for cluster in asked:
            answer = self._ask(cluster, message)
            if isinstance(answer, Reserved):
                trip.reserved[cluster.name] = answer.id
                self.counts["reserved"] += 1
                cluster.refusals.answered()
            elif isinstance(answer, Rejection):
                cluster.refusals.failed(answer.why)
                log.info(
                    LogEvent("reservation_rejected", job_id=trip.job.spec.id, cluster=cluster.name, reason=answer.why)
                )
        self._decide(trip)

    def _ask(self, cluster: Cluster, message: Message) -> Reply | None:
        if not self._bytes.take(len(msgspec.msgpack.encode(message))):
            return None  # as if lost; it is sent again
        begin = self.term.clock()
        answer = cluster.link.tell(message)
        self.sketches.add("answer", self.term.clock() - begin)
        if answer is None:
            cluster.breaker.failed("no answer")
        else:
            cluster.breaker.answered()
        return answer

    def _release(self, trip: RemoteGang, but: str | None = None) -> None:
        """Reservations that are not used end at once; if the word is lost, they end by themselves."""
        for name, ident in trip.reserved.items():
            if name != but:
                self.counts["in_vain"] += 1
                self._ask(self.clusters[name], Recall(self.name, trip.job.spec.id, ident))
        trip.reserved = {}

    # the decision -----------------------------------------------------------------------------------------

    def _decide(self, trip: RemoteGang) -> None:
        """Names one cluster, unless the gang has found its room at home while the offer was out."""
        job = trip.job
        chosen = next(iter(trip.reserved), None)
        if chosen is None or job.allocations or not job.live or job.startable() != job.spec.tasks:
            self._release(trip)
            self.move(trip, HomeState.WAITING, "no room elsewhere" if chosen is None else "it starts at home")
            return
        trip.abroad = RemoteAssignment(chosen, trip.reserved[chosen])
        self.move(trip, HomeState.DECIDING, f"{chosen} has room")
        try:
            self._write(trip, trip.abroad)
        except (StoreError, FencedError) as e:
            log.info(LogEvent("remote_assignment_unknown", job_id=job.spec.id, cluster=chosen, error=e))
            trip.next_at = self.term.clock() + 0.5
            return
        self._release(trip, but=chosen)
        if trip.state is HomeState.COMMITTED:
            self.counts["decided"] += 1
            took = self.term.clock() - trip.offered_at
            self.sketches.add("offer", took)
            log.info(LogEvent("remote_gang_assigned", job_id=job.spec.id, cluster=chosen, after_s=took))
            self._go_on(trip)

    def _write(self, trip: RemoteGang, abroad: RemoteAssignment | None) -> None:
        """Sets or clears the name in the live record, conditional on the record as this leader knows it."""
        job = trip.job
        ident = job.spec.id
        accepted = self.term.wall() - (self.term.clock() - job.accepted_at)
        record = LiveJobRecord(job.spec, accepted, abroad, job.guest)
        change = put(live_key(ident), msgspec.to_builtins(record))
        version, failed = self.term.writer.commit([version_is(live_key(ident), job.version)], [change], Urgency.ACCEPT)
        if not failed:
            job.version = version
            job.abroad = abroad
            self.move(trip, HomeState.COMMITTED if abroad else HomeState.WAITING, "on record")
        else:
            self._reread(trip)

    def _reread(self, trip: RemoteGang) -> None:
        """The record is another than this leader knew: a user's cancellation won, or an earlier write was made."""
        job = trip.job
        found = self.term.writer.store.get(live_key(job.spec.id), Urgency.ACCEPT)
        if found is None:
            self.move(trip, HomeState.OVER, "it was cancelled first")
            return
        record = msgspec.convert(found.value, LiveJobRecord)
        job.version, job.abroad = found.version, record.abroad
        if record.abroad is not None:
            trip.abroad = record.abroad
            if trip.state is HomeState.DECIDING:
                self.move(trip, HomeState.COMMITTED, "on record")
        else:
            self.move(trip, HomeState.WAITING, "on record")

    def _settle(self, trip: RemoteGang) -> None:
        """A decision whose write nobody answered may still be carried out: a write on the same version rules that out,
        or fails because it has been."""
        self._write(trip, None)
        if trip.state is HomeState.WAITING:
            self._release(trip)

    # abroad -----------------------------------------------------------------------------------------------

    def _follow(self, trip: RemoteGang) -> None:
        """The news of the decision, again and again until it is answered, and then how it goes."""
        assert trip.abroad is not None
        cluster = self.clusters.get(trip.abroad.cluster)
        kind = Recall if trip.recalled else Commit if trip.state is HomeState.COMMITTED else StatusQuery
        self._take(trip, cluster, kind(self.name, trip.job.spec.id, trip.abroad.id))

    def _take(self, trip: RemoteGang, cluster: Cluster | None, message: Message) -> None:
        trip.next_at = self.term.clock() + ASK_S * (0.75 + 0.5 * self.rng.random())
        if cluster is None or not cluster.breaker.lets():
            return  # not listed any more, or left alone for a while: it may run it all the same
        if trip.unanswered and not self._retries.again():
            return
        if not trip.unanswered:
            self._retries.first()
        answer = self._ask(cluster, message)
        trip.unanswered = 0 if answer is not None and not isinstance(answer, UncertainReply) else trip.unanswered + 1
        if trip.unanswered > 1:
            trip.next_at = self.term.clock() + ASK_S * min(8, 2**trip.unanswered) * (0.5 + self.rng.random())
        if isinstance(answer, Running):
            trip.job.abroad_running = answer.running
            if trip.state is HomeState.COMMITTED:
                self.move(trip, HomeState.ABROAD, f"{cluster.name} runs it")
        elif isinstance(answer, Ended | Rejection):
            trip.done = isinstance(answer, Ended) and answer.done
            why = "done there" if trip.done else "given back" if isinstance(answer, Ended) else answer.why
            self.move(trip, HomeState.RETURNING, why)
            self._go_on(trip)

    def _return(self, trip: RemoteGang) -> None:
        """The cluster has proved that nothing of it runs there: done, cancelled for its user, or at home again."""
        job = trip.job
        abroad = trip.abroad
        assert abroad is not None
        now = self.term.clock()
        if trip.done:
            for index in range(job.spec.tasks):
                self.term.registry.mark_done(job, index, now)
            if job.live:
                self.term.registry.move_job(job, JobState.CLOSING, now)
            self.move(trip, HomeState.OVER, "done")
        elif trip.recalled:
            self._cancel(trip)
        else:
            self._write(trip, None)
        if trip.state is not HomeState.RETURNING:
            self._settled.append((abroad.cluster, job.spec.id, abroad.id))

    def _forget(self) -> None:
        """Tells the others what they need not keep any more: home's record no longer names their reservation."""
        for entry in list(self._settled):
            name, ref, ident = entry
            job = self.term.registry.jobs.get(ref)
            if job is not None and job.abroad is not None:
                continue  # its end is not on record yet
            self._settled.remove(entry)
            if name in self.clusters:  # if the word is lost, the record there stays until its operators settle it
                self._ask(self.clusters[name], Forget(self.name, ref, ident))

    def _cancel(self, trip: RemoteGang) -> None:
        """What the user was not told yet: from here on it is cancelled."""
        job = trip.job
        ident = job.spec.id
        record = CompletedJobRecord(JobStatus.CANCELLED, 0)
        _, failed = self.term.writer.commit(*completion_transaction(ident, job.version, record), Urgency.ACCEPT)
        if failed:
            self._reread(trip)
            return
        self.term.completed_jobs.remember(ident, record)
        self.term.dispatch.cancel(job, self.term.clock())
        self.move(trip, HomeState.OVER, "cancelled for its user")
