"""The guest cluster's side: reserves machines for a gang of another cluster and runs the gang after home's commit.

A reservation is held in the leader's memory only; if it is lost, the commit is rejected and the gang returns home. The
guest cluster draws the reservation's id, and only a commit with that id can start the gang. A commit whose id matches
neither a reservation of this term nor a stored record is rejected: no task runs or will ever start under it.
When a gang is accepted, one transaction creates a job of this cluster and a record that names the gang's home cluster.
From then on the job is scheduled and ended like any other.
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
#: A guest gang starts no new tasks after this many seconds without a message about it from its home cluster, because
#: home's operators may have settled the gang by then. Home normally sends a status query every few seconds.
HOME_SILENCE_TIMEOUT_S = 30.0
#: Bytes of randomness in a reservation's id, so that ids are neither repeated nor guessed.
RESERVATION_ID_BYTES = 16
#: Size of the range from which numbers of guest jobs are drawn.
GUEST_JOB_NUMBER_COUNT = 10**19
#: The lowest number of a guest job, above all numbers that this cluster gives its own jobs.
FIRST_GUEST_JOB_NUMBER = 9 * 10**19


class GuestRecord(msgspec.Struct):
    """The stored record of a gang of another cluster that was accepted as a job of this cluster.

    Attributes:
        home: Name of the gang's home cluster.
        home_job_id: The gang's job id in its home cluster.
        reservation_id: The reservation's id.
        job_id: The gang's job id in this cluster.
    """

    home: str
    home_job_id: str = msgspec.field(name="ref")
    reservation_id: str = msgspec.field(name="id")
    job_id: str = msgspec.field(name="job")


def guest_key(reservation_id: str) -> str:
    """Return the key of a guest gang's record in the key-value store."""
    return GUEST_KEY_PREFIX + reservation_id


@dataclass
class GuestLimits:
    """Limits on what this cluster accepts from others.

    Attributes:
        homes: Names of the clusters that may offer gangs.
        team: Name of the team whose limit the guests' tasks count against.
        priority: The highest priority that a guest gets, so that this cluster's own jobs come first.
        reserve_s: How long machines are reserved, in seconds.
        return_after_s: A guest that has waited longer than this without capacity is returned to its home, in seconds.
        max_reservations: At most this many reservations at a time.
        max_guests: At most this many guest gangs at a time.
    """

    homes: frozenset[str]
    team: str
    priority: Priority = Priority.LOW
    reserve_s: float = 15.0
    return_after_s: float = 60.0
    max_reservations: int = 8
    max_guests: int = 64


class GuestCluster:
    """The guest gangs of one leader's term. A new leader restores them from the stored records."""

    def __init__(self, name: str, term: Term, limits: GuestLimits, cancel: Callable[[str], bool]) -> None:
        """Restore the guest gangs from the stored records.

        Args:
            name: Name of this cluster.
            term: The leader's term.
            limits: Limits on what this cluster accepts.
            cancel: Cancels a job of this cluster, given its job id, as a user's cancellation does; returns whether the
                job has ended.

        Raises:
            StoreError: The store could not be reached.
        """
        self.name = name
        self.term = term
        self.limits = limits
        self.cancel = cancel
        self.reservations = Reservations(term)
        #: Records of guest gangs, by reservation id.
        self.records: dict[str, GuestRecord] = {}
        #: Time of the last commit or status query from home, by reservation id.
        self._last_contact_at: dict[str, float] = {}
        for pair in term.writer.store.pairs(GUEST_KEY_PREFIX):
            record = msgspec.convert(pair.value, GuestRecord)
            self.records[record.reservation_id] = record
            job = term.registry.jobs.get(record.job_id)
            if job is not None:
                # Home's operators may have declared this cluster lost during the change of leaders. The gang starts no
                # tasks until home sends a message about it.
                job.is_guest = job.origin_silent = True

    # messages ---------------------------------------------------------------------------------------------

    def handle_message(self, message: Message) -> Reply:
        """Process a message of another cluster.

        Args:
            message: The message, decoded and checked.

        Returns:
            The reply; an `UncertainReply` if this controller does not lead or the key-value store does not respond.
        """
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
        """Reserve machines for the whole gang, or reject the request."""
        reason = self._rejection_reason(request)
        if reason is not None:
            return Rejection(reason)
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

    def _rejection_reason(self, request: ReservationRequest) -> str | None:
        """Return why the gang cannot be accepted regardless of free capacity, or None if it can."""
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
        """Return the gang as a job of this cluster, with a new job id and the guests' team.

        The job id is random; the transaction that accepts the gang fails if this cluster has used that id already.
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
        """Accept the gang as a job of this cluster, as home has assigned it; idempotent."""
        record = self.records.get(commit.reservation_id)
        if record is not None:
            return self._record_contact(record)
        reservation = self.reservations.by_id.get(commit.reservation_id)
        if reservation is None or reservation.home != commit.home:
            return Rejection(NO_SUCH_RESERVATION)
        if reservation.state is GuestState.RESERVED:
            if self.term.clock() >= reservation.expires_at:
                self.reservations.change_state(reservation, GuestState.RELEASED, "expired before the commit")
                return Rejection(NO_SUCH_RESERVATION)
            self.reservations.change_state(reservation, GuestState.STARTING, "commit received")
        return self._accept(reservation)

    def _accept(self, reservation: Reservation) -> Reply:
        """Write the records that make the gang a job of this cluster.

        The store may still apply a write that had no response. Each further commit therefore repeats the write with the
        same keys, conditional on their absence, so that the write takes effect once.
        """
        record = GuestRecord(reservation.home, reservation.home_job_id, reservation.reservation_id, reservation.job_id)
        record_key, job_key = guest_key(reservation.reservation_id), live_key(reservation.job_id)
        live: Any = msgspec.to_builtins(LiveJobRecord(reservation.spec, self.term.wall(), guest=True))
        conditions = [key_absent(record_key), key_absent(job_key), key_absent(completed_key(reservation.job_id))]
        changes = [put(record_key, msgspec.to_builtins(record)), put(job_key, live)]
        version, failed = self.term.writer.commit(conditions, changes, Urgency.ACCEPT)
        if failed and record_key not in failed:
            if reservation.state is GuestState.STARTING:
                self.reservations.change_state(
                    reservation, GuestState.RELEASED, f"job id {reservation.job_id} is in use in this cluster"
                )
            return Rejection(NO_SUCH_RESERVATION)
        self.records[reservation.reservation_id] = record
        if reservation.state is GuestState.STARTING:  # otherwise a concurrent commit has changed the state already
            self.reservations.change_state(reservation, GuestState.STARTED, "accepted as a job of this cluster")
        if failed:  # an earlier write without a response has taken effect
            found = self.term.writer.store.get(job_key, Urgency.ACCEPT)
            live, version = (found.value, found.version) if found is not None else (None, 0)
        if live is not None:
            self.term.job_watch.apply_record(live, version, self.term.clock())
        return self._record_contact(record)

    def _query(self, query: StatusQuery) -> Reply:
        record = self.records.get(query.reservation_id)
        if record is not None:
            return self._record_contact(record)
        return Running(0) if query.reservation_id in self.reservations.by_id else Rejection(NO_SUCH_RESERVATION)

    def _record_contact(self, record: GuestRecord) -> Reply:
        """Note that home still assigns the gang to this cluster, so that its tasks may start; return its status."""
        self._last_contact_at[record.reservation_id] = self.term.clock()
        job = self.term.registry.jobs.get(record.job_id)
        if job is not None and job.origin_silent:
            job.origin_silent = False
            self.term.registry.changed_since_scheduling = True
        return self._status(record)

    def _status(self, record: GuestRecord) -> Reply:
        """Return a guest's status from the registry, or from the completed job's record once the job has ended."""
        job = self.term.registry.jobs.get(record.job_id)
        if job is not None and job.is_live:
            return Running(job.running_count())
        done = self._ended_as_done(record)
        if done is None:
            return UncertainReply("its end is being recorded")
        if not done and job is not None and job.allocations:
            # Home may start the gang again after `Ended`, so no task may be left here.
            return UncertainReply("its tasks are being stopped")
        return Ended(done)

    def _ended_as_done(self, record: GuestRecord) -> bool | None:
        """Return whether an ended guest was done rather than cancelled, or None while its end is not recorded."""
        completed = self.term.completed_jobs.get(record.job_id)
        if completed is not None:
            return completed.state is JobStatus.DONE
        found = self.term.writer.store.get(completed_key(record.job_id), Urgency.POLL)
        return None if found is None else bool(found.value["state"] == JobStatus.DONE.value)

    def _recall(self, recall: Recall) -> Reply:
        """End a guest gang, or the reservation if the gang was not accepted."""
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
            self.reservations.change_state(reservation, GuestState.RELEASED, "recalled by home")
        return Rejection(NO_SUCH_RESERVATION)

    def _forget(self, forget: Forget) -> Reply:
        """Remove the record of a guest that has ended."""
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
        self._last_contact_at.pop(record.reservation_id, None)
        return Rejection(NO_SUCH_RESERVATION)

    # steps ------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Release expired reservations, pause guests of silent homes and return guests that find no capacity.

        The leader calls this function in a loop.
        """
        if not self.term.writer.is_leader():
            return
        now = self.term.clock()
        self.reservations.release_expired(now)
        for record in list(self.records.values()):
            job = self.term.registry.jobs.get(record.job_id)
            if job is not None and job.is_live:
                self._pause_if_home_is_silent(record, job, now)
                self._return_if_without_capacity(record, job, now)

    def _pause_if_home_is_silent(self, record: GuestRecord, job: Job, now: float) -> None:
        if (
            not job.origin_silent
            and now - self._last_contact_at.get(record.reservation_id, -math.inf) > HOME_SILENCE_TIMEOUT_S
        ):
            job.origin_silent = True
            log.info(LogEvent("guest_home_silent", job_id=record.home_job_id, home=record.home))

    def _return_if_without_capacity(self, record: GuestRecord, job: Job, now: float) -> None:
        if job.allocations or job.origin_silent or job.startable_count() != job.spec.tasks:
            return
        wait_s = now - job.waiting_since
        if wait_s <= self.limits.return_after_s:
            return
        log.info(
            LogEvent("guest_returned", job_id=record.home_job_id, home=record.home, reason="no capacity", wait_s=wait_s)
        )
        self.cancel(record.job_id)
