"""The guest cluster's side: reserves machines for a gang of another cluster, and runs it after home's commit.

A reservation lives in the leader's memory only; losing it breaks no promise. Its id is drawn here, and only a commit
that carries it can start anything. A commit that matches neither a reservation of this term nor a record therefore
shows that nothing runs under that id and nothing ever will. When the gang is taken in, one transaction makes it a job
of this cluster and records its home; from then on it is run and ended like any other job.
"""

from __future__ import annotations

import logging
import math
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..clients.kv_store import StoreError, delete, key_absent, put, version_is
from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from ..leader.election import FencedError
from ..leader.term import Term
from ..log_events import LogEvent
from ..storage.job_records import LiveJobRecord, completed_key, live_key
from ..wire.jobs import PRIORITIES, JobSpec, JobStatus, Priority
from .free_capacity import measure_free_capacity
from .messages import (
    NOT_LEADING,
    Commit,
    Ended,
    Forget,
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
from .reservations import Reservation, Reservations
from .state_machines import GuestState

log = logging.getLogger(__name__)

GUEST_KEY_PREFIX = "federation/guest/"
NO_SUCH_RESERVATION = "no such reservation"
HOME_NOT_ALLOWED = "not a cluster whose gangs are taken"
#: home asks every few seconds; a guest that it has not asked about for so long starts nothing new here, as home's
#: operators may have settled it meanwhile
HOME_SILENCE_TIMEOUT_S = 30.0
#: bytes of randomness in a reservation's id, so that ids are neither repeated nor guessed
RESERVATION_ID_BYTES = 16
#: guests' job ids are drawn from this many numbers
GUEST_JOB_NUMBER_COUNT = 10**19
#: the first of these numbers, above all that this cluster gives its own jobs
FIRST_GUEST_JOB_NUMBER = 9 * 10**19


class GuestRecord(msgspec.Struct):
    """The stored record of a gang that was taken in.

    Attributes:
        home: the gang's cluster.
        ref: the gang's job id there.
        id: the reservation's id.
        job: the gang's job id here.
    """

    home: str
    home_job_id: str = msgspec.field(name="ref")
    reservation_id: str = msgspec.field(name="id")
    job_id: str = msgspec.field(name="job")


def guest_key(ident: str) -> str:
    """Return the key of a guest gang's record, by its reservation id."""
    return GUEST_KEY_PREFIX + ident


@dataclass
class GuestLimits:
    """What this cluster accepts from others.

    Attributes:
        homes: clusters that may send gangs.
        team: the team whose limit the guests' tasks count against.
        priority: guests get no higher priority than this: they come after this cluster's own work.
        reserve_s: for how many seconds machines are reserved.
        give_back_s: a gang that has found no capacity here for so many seconds is given back.
        max_reservations: reservations at a time.
        max_guests: gangs taken in at a time.
    """

    homes: frozenset[str]
    team: str
    priority: Priority = Priority.LOW
    reserve_s: float = 15.0
    return_after_s: float = 60.0
    max_reservations: int = 8
    max_guests: int = 64


class GuestCluster:
    """The guests of one leader's term. A new leader begins with the stored records."""

    def __init__(self, name: str, term: Term, limits: GuestLimits, cancel: Callable[[str], bool]) -> None:
        """Read the records of guests.

        Args:
            name: the name of this cluster.
            term: the leader's term.
            limits: what is accepted.
            cancel: cancels a job of this cluster as its user would; returns whether it is over now.

        Raises:
            StoreError: the store could not be reached.
        """
        self.name = name
        self.term = term
        self.limits = limits
        self.cancel = cancel
        self.reservations = Reservations(term)
        #: the records of guests, by reservation id
        self.records: dict[str, GuestRecord] = {}
        #: when home last asked about a guest or committed it, by reservation id
        self._last_asked_at: dict[str, float] = {}
        for pair in term.writer.store.pairs(GUEST_KEY_PREFIX):
            record = msgspec.convert(pair.value, GuestRecord)
            self.records[record.reservation_id] = record
            job = term.registry.jobs.get(record.job_id)
            if job is not None:
                # home's operators may have declared this cluster lost meanwhile: it starts when home asks about it
                job.is_guest = job.origin_silent = True

    # messages ---------------------------------------------------------------------------------------------

    def handle_message(self, message: Message) -> Reply:
        """Return the reply to a message; without a leader that may act, it is uncertain."""
        if not self.term.loaded or not self.term.writer.is_leader():
            return UncertainReply(NOT_LEADING)
        try:
            match message:
                case Probe():
                    return self._probe(message)
                case ReservationRequest():
                    return self._reserve(message)
                case Commit():
                    return self._commit(message)
                case StatusQuery():
                    return self._query(message)
                case Recall():
                    return self._recall(message)
                case Forget():
                    return self._forget(message)
        except (StoreError, FencedError) as error:
            return UncertainReply(str(error))

    def _probe(self, probe: Probe) -> Reply:
        if probe.home not in self.limits.homes:
            return Rejection(HOME_NOT_ALLOWED)
        return measure_free_capacity(self.term, self.term.clock())

    def _reserve(self, request: ReservationRequest) -> Reply:
        """Reserve machines for the whole gang, or say why not."""
        refusal = self._why_not_acceptable(request)
        if refusal is not None:
            return Rejection(refusal)
        now = self.term.clock()
        registry = self.term.registry
        team = registry.team_names.find(self.limits.team)
        job = self._guest_job(request.spec, now)
        if team is None or registry.teams[team].headroom(job.task_size) < request.spec.tasks:
            return Rejection("the guests' limit is used up")
        machines = self.term.scheduler.gangs.machines_for(job, now)
        if machines is None:
            return Rejection("no room")
        reservation = Reservation(
            home=request.home,
            home_job_id=request.spec.id,
            spec=job.spec,
            reservation_id=secrets.token_hex(RESERVATION_ID_BYTES),
            expires_at=now + self.limits.reserve_s,
            machines=machines,
        )
        self.reservations.add(reservation)
        return Reserved(reservation.reservation_id, self.limits.reserve_s)

    def _why_not_acceptable(self, request: ReservationRequest) -> str | None:
        """Return why the gang is not accepted whatever the free capacity, or None."""
        spec, limits = request.spec, self.limits
        if request.home not in limits.homes:
            return HOME_NOT_ALLOWED
        if spec.zone is not None:
            return "it may run in one zone of its home only"
        known = self.term.registry.machine_types
        if spec.types is not None and not any(known.find(name) is not None for name in spec.types):
            return "none of the machine types that it may run on is known here"
        if self.name in request.path:
            return "it has been offered through here already"
        if len(self.reservations.by_id) >= limits.max_reservations or len(self.records) >= limits.max_guests:
            return "as many as are allowed"
        if self.reservations.exists_for(request.home, spec.id):
            return "room is kept for it already"
        return None

    def _guest_job(self, spec: JobSpec, now: float) -> Job:
        """Return the gang as a job of this cluster, with an id of its own and the guests' team.

        The id is drawn; the transaction that takes the gang in requires that nobody here has used it.
        """
        guest_spec = msgspec.structs.replace(
            spec,
            id=f"j-{secrets.randbelow(GUEST_JOB_NUMBER_COUNT) + FIRST_GUEST_JOB_NUMBER}",
            team=self.limits.team,
            priority=max(spec.priority, self.limits.priority, key=PRIORITIES.index),
        )
        registry = self.term.registry
        job = Job(guest_spec, 0, now, registry.team_names.intern(guest_spec.team))
        job.image_index = registry.image_index(guest_spec.image, guest_spec.image_gb)
        job.type_index = registry.classify(job, now)
        return job

    def _commit(self, commit: Commit) -> Reply:
        """Take the gang in, as home has decided; idempotent."""
        record = self.records.get(commit.reservation_id)
        if record is not None:
            return self._record_query(record)
        reservation = self.reservations.by_id.get(commit.reservation_id)
        if reservation is None or reservation.home != commit.home:
            return Rejection(NO_SUCH_RESERVATION)
        if reservation.state is GuestState.RESERVED:
            if self.term.clock() >= reservation.expires_at:
                self.reservations.change_state(reservation, GuestState.RELEASED, "its time was over")
                return Rejection(NO_SUCH_RESERVATION)
            self.reservations.change_state(reservation, GuestState.STARTING, "decided at home")
        return self._take_in(reservation)

    def _take_in(self, reservation: Reservation) -> Reply:
        """Write the records that make the gang a job of this cluster.

        A write without an answer may still be carried out. It is repeated with the same keys until its result is
        known, so that it takes effect once.
        """
        record = GuestRecord(reservation.home, reservation.home_job_id, reservation.reservation_id, reservation.job_id)
        record_key, job_key = guest_key(reservation.reservation_id), live_key(reservation.job_id)
        live: Any = msgspec.to_builtins(LiveJobRecord(reservation.spec, self.term.wall(), guest=True))
        conditions = [key_absent(record_key), key_absent(job_key), key_absent(completed_key(reservation.job_id))]
        changes = [put(record_key, msgspec.to_builtins(record)), put(job_key, live)]
        version, failed = self.term.writer.commit(conditions, changes, Urgency.ACCEPT)
        if failed and record_key not in failed:
            if reservation.state is GuestState.STARTING:
                self.reservations.change_state(reservation, GuestState.RELEASED, "its reference is taken here")
            return Rejection(NO_SUCH_RESERVATION)
        self.records[reservation.reservation_id] = record
        if reservation.state is GuestState.STARTING:  # else a concurrent commit has already done so
            self.reservations.change_state(reservation, GuestState.STARTED, "taken in")
        if failed:  # an earlier attempt was carried out after all
            found = self.term.writer.store.get(job_key, Urgency.ACCEPT)
            live, version = (found.value, found.version) if found is not None else (None, 0)
        if live is not None:
            self.term.job_watch.apply_record(live, version, self.term.clock())
        return self._record_query(record)

    def _query(self, query: StatusQuery) -> Reply:
        record = self.records.get(query.reservation_id)
        if record is not None:
            return self._record_query(record)
        return Running(0) if query.reservation_id in self.reservations.by_id else Rejection(NO_SUCH_RESERVATION)

    def _record_query(self, record: GuestRecord) -> Reply:
        """Note that home still relies on this cluster, so that the guest's tasks may start; return its status."""
        self._last_asked_at[record.reservation_id] = self.term.clock()
        job = self.term.registry.jobs.get(record.job_id)
        if job is not None and job.origin_silent:
            job.origin_silent = False
            self.term.registry.changed_since_scheduling = True
        return self._status(record)

    def _status(self, record: GuestRecord) -> Reply:
        """Return a guest's status by the registry, and by the stored record once the job has ended."""
        job = self.term.registry.jobs.get(record.job_id)
        if job is not None and job.is_live:
            return Running(job.running_count())
        done = self._ended_as_done(record)
        if done is None:
            return UncertainReply("its end is being recorded")
        if not done and job is not None and job.allocations:
            return UncertainReply("its tasks are being stopped")  # given back only once no task of it is left
        return Ended(done)

    def _ended_as_done(self, record: GuestRecord) -> bool | None:
        """Return whether an ended guest was done and not cancelled, or None while that is not on record."""
        completed = self.term.completed_jobs.get(record.job_id)
        if completed is not None:
            return completed.state is JobStatus.DONE
        found = self.term.writer.store.get(completed_key(record.job_id), Urgency.POLL)
        return None if found is None else bool(found.value["state"] == JobStatus.DONE.value)

    def _recall(self, recall: Recall) -> Reply:
        """End a reservation or a guest, whatever it is."""
        record = self.records.get(recall.reservation_id)
        if record is None:
            return self._recall_reservation(recall)
        status = self._status(record)
        if isinstance(status, Running):
            if not self.cancel(record.job_id):
                return UncertainReply("it cannot be ended now")
            self.term.job_watch.watch()
            status = self._status(record)
        return status

    def _recall_reservation(self, recall: Recall) -> Reply:
        reservation = self.reservations.by_id.get(recall.reservation_id)
        if reservation is not None and reservation.state is GuestState.STARTING:
            return UncertainReply("it is being taken in")
        if reservation is not None:
            self.reservations.change_state(reservation, GuestState.RELEASED, "not needed")
        return Rejection(NO_SUCH_RESERVATION)

    def _forget(self, forget: Forget) -> Reply:
        """Remove the record of a guest that is over."""
        record = self.records.get(forget.reservation_id)
        if record is None:
            return Rejection(NO_SUCH_RESERVATION)
        if not isinstance(self._status(record), Ended):
            return UncertainReply("it is not over")
        key = guest_key(record.reservation_id)
        found = self.term.writer.store.get(key, Urgency.PROGRESS)
        if found is not None:
            self.term.writer.commit([version_is(key, found.version)], [delete(key)], Urgency.PROGRESS)
        self.records.pop(record.reservation_id, None)
        self._last_asked_at.pop(record.reservation_id, None)
        return Rejection(NO_SUCH_RESERVATION)

    # steps ------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Release expired reservations and give back guests that find no capacity; called in a loop of the leader."""
        if not self.term.writer.is_leader():
            return
        now = self.term.clock()
        self.reservations.release_expired(now)
        for record in list(self.records.values()):
            job = self.term.registry.jobs.get(record.job_id)
            if job is not None and job.is_live:
                self._pause_if_home_is_silent(record, job, now)
                self._give_back_if_without_capacity(record, job, now)

    def _pause_if_home_is_silent(self, record: GuestRecord, job: Job, now: float) -> None:
        if (
            not job.origin_silent
            and now - self._last_asked_at.get(record.reservation_id, -math.inf) > HOME_SILENCE_TIMEOUT_S
        ):
            job.origin_silent = True
            log.info(LogEvent("guest_home_silent", job_id=record.home_job_id, home=record.home))

    def _give_back_if_without_capacity(self, record: GuestRecord, job: Job, now: float) -> None:
        if job.allocations or job.origin_silent or job.startable_count() != job.spec.tasks:
            return
        wait_s = now - job.waiting_since
        if wait_s <= self.limits.return_after_s:
            return
        log.info(
            LogEvent("guest_returned", job_id=record.home_job_id, home=record.home, reason="no capacity", wait_s=wait_s)
        )
        self.cancel(record.job_id)
