"""The guest cluster's side: keeps room for another's gang until a time, and runs it once home's decision is proved.

A reservation lives in the leader's memory only: what is lost with it is room, never a promise. Its id is drawn
here, and only a commit that carries it can start anything, so a commit that no reservation of this term matches,
and no record either, proves that nothing runs under it and nothing ever will. Once the gang is taken in, one
transaction makes it a job of this cluster and records whose it is; from there on it is run, ended and answered for
like any other job.
"""

from __future__ import annotations

import logging
import math
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..clients.kv_store import StoreError, delete, key_absent, put, version_is
from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS
from ..flow_control.rate_limiter import Urgency
from ..leader.election import FencedError
from ..leader.term import Term
from ..log_events import LogEvent
from ..state_machines import check_transition
from ..storage.job_records import LiveJobRecord, completed_key, live_key
from ..wire.jobs import PRIORITIES, JobSpec, JobStatus, Priority
from .messages import (
    MOST_IMAGES,
    NOT_LEADING,
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
from .state_machines import GUEST_TRANSITIONS, GuestState

log = logging.getLogger(__name__)

PREFIX = "federation/guest/"
NO_SUCH = "no such reservation"
#: home asks every few seconds; a guest that it has not asked about for so long starts nothing new here, as home's
#: operators may have settled it meanwhile
QUIET_S = 30.0


class GuestRecord(msgspec.Struct):
    """A gang of another cluster that was taken in: whose it is, and the job that it is here."""

    home: str
    ref: str
    id: str
    job: str


def guest_key(ident: str) -> str:
    """The key of a guest gang's record."""
    return PREFIX + ident


@dataclass
class Reservation:
    """Machines kept for one gang of another cluster."""

    home: str
    #: what home calls the gang, its description here, and the reservation's id
    ref: str
    spec: JobSpec
    id: str
    until: float
    machines: list[Machine]
    state: GuestState = GuestState.RESERVED

    @property
    def job(self) -> str:
        """What the gang is called here."""
        return self.spec.id


@dataclass
class GuestLimits:
    """What this cluster takes in from others."""

    #: clusters that may send gangs, the team whose limit their tasks count against, and its class here
    homes: frozenset[str]
    team: str
    #: guests get no higher priority than this: they come after this cluster's own work
    priority: Priority = Priority.LOW
    reserve_s: float = 15.0
    #: a gang that has no room here for so long is given back
    give_back_s: float = 60.0
    most_reserved: int = 8
    most_guests: int = 64


class GuestCluster:
    """The guests of one leader's term. A new leader begins with what the records say."""

    def __init__(self, name: str, term: Term, limits: GuestLimits, cancel: Callable[[str], bool]) -> None:
        self.name = name
        self.term = term
        self.limits = limits
        #: ends a job of this cluster as a user's cancellation would; whether it is over now
        self.cancel = cancel
        self.reservations: dict[str, Reservation] = {}
        self.records: dict[str, GuestRecord] = {}
        #: when home last asked about a guest, or told its decision
        self.heard: dict[str, float] = {}
        for pair in term.writer.store.pairs(PREFIX):
            record = msgspec.convert(pair.value, GuestRecord)
            self.records[record.id] = record
            job = term.registry.jobs.get(record.job)
            if job is not None:
                # home may have been told meanwhile that this cluster is lost: it starts when home asks about it
                job.guest = job.unasked = True

    def move(self, r: Reservation, new: GuestState, why: str) -> None:
        """The one function that changes a reservation's state; its machines are free again once it is none."""
        check_transition(GUEST_TRANSITIONS, r.state, new, f"reservation of {r.home} for {r.ref}")
        log.info(LogEvent("reservation_state_changed", home=r.home, job_id=r.ref, from_=r.state, to=new, reason=why))
        r.state = new
        if new in (GuestState.RELEASED, GuestState.STARTED):
            self.reservations.pop(r.id, None)
            self.term.inventory.kept.discard(r.job)
        if new is GuestState.RELEASED:
            for m in r.machines:
                if m.reserved_for == r.job:
                    m.reserved_for = None
            self.term.registry.changed = True

    # messages ---------------------------------------------------------------------------------------------

    def answer(self, message: Message) -> Reply:
        """What this cluster says. Only a leader that may act answers; anybody else is unsure."""
        if not self.term.loaded or not self.term.writer.is_leader():
            return UncertainReply(NOT_LEADING)
        try:
            match message:
                case Probe():
                    return self._look(message)
                case ReservationRequest():
                    return self._reserve(message)
                case Commit():
                    return self._start(message)
                case StatusQuery():
                    return self._tell(message)
                case Recall():
                    return self._recall(message)
                case Forget():
                    return self._forget(message)
        except (StoreError, FencedError) as e:
            return UncertainReply(str(e))

    def _look(self, look: Probe) -> Reply:
        """What this cluster has free now; a hint for whom to ask first, and no promise."""
        if look.home not in self.limits.homes:
            return Rejection("not a cluster whose gangs are taken")
        now = self.term.clock()
        registry, inventory = self.term.registry, self.term.inventory
        ready = [m for m in inventory.machines if inventory.usable(m, now)]
        free = [m for m in ready if not m.allocations and m.reserved_for is None]
        held: dict[int, int] = {}
        for m in ready:
            for i in m.images:
                held[i] = held.get(i, 0) + 1
        images = [registry.images.name(i) for i in sorted(held, key=lambda i: -held[i])[:MOST_IMAGES]]
        kinds = [inventory.kinds[m.kind] for m in ready if m.kind in inventory.kinds]
        cpus = sum(k.cpus for k in kinds)
        price = sum(k.spot_price if m.spot else k.price for k, m in zip(kinds, ready, strict=False)) / max(1.0, cpus)
        return FreeCapacity(
            VERSION, len(free), max((m.capacity[0] / MICRO_UNITS for m in free), default=0.0), price, images
        )

    def _reserve(self, offer: ReservationRequest) -> Reply:
        spec, limits = offer.spec, self.limits
        if offer.home not in limits.homes:
            return Rejection("not a cluster whose gangs are taken")
        if spec.zone is not None:
            return Rejection("it may run in one zone of its home only")
        known = self.term.registry.machine_types
        if spec.types is not None and not any(known.find(t) is not None for t in spec.types):
            return Rejection("none of the machine types that it may run on is known here")
        if self.name in offer.path:
            return Rejection("it has been offered through here already")
        if len(self.reservations) >= limits.most_reserved or len(self.records) >= limits.most_guests:
            return Rejection("as many as are allowed")
        if any(r.home == offer.home and r.ref == spec.id for r in self.reservations.values()):
            return Rejection("room is kept for it already")
        now = self.term.clock()
        team = self.term.registry.team_names.find(limits.team)
        job = self._job(spec, now)
        if team is None or self.term.registry.teams[team].headroom(job.size) < spec.tasks:
            return Rejection("the guests' limit is used up")
        chosen = self.term.scheduler.gangs.room_for(job, now)
        if chosen is None:
            return Rejection("no room")
        ident = secrets.token_hex(16)
        until = now + limits.reserve_s
        for m in chosen:
            m.reserved_for, m.reserved_until = job.spec.id, until
        self.term.inventory.kept.add(job.spec.id)
        self.reservations[ident] = Reservation(offer.home, spec.id, job.spec, ident, until, chosen)
        log.info(LogEvent("machines_reserved", home=offer.home, job_id=spec.id, machines=len(chosen)))
        return Reserved(ident, limits.reserve_s)

    def _job(self, spec: JobSpec, now: float) -> Job:
        """The gang as a job of this cluster would be: under a reference of its own and the guests' team.

        The reference is drawn; the transaction that takes it in requires that nobody here has used it.
        """
        here = msgspec.structs.replace(
            spec,
            id=f"j-{secrets.randbelow(10**19) + 9 * 10**19}",
            team=self.limits.team,
            priority=max(spec.priority, self.limits.priority, key=PRIORITIES.index),
        )
        registry = self.term.registry
        job = Job(here, 0, now, registry.team_names.index(here.team))
        job.image = registry.image(here.image, here.image_gb)
        job.type = registry.classify(job, now)
        return job

    def _start(self, commit: Commit) -> Reply:
        """Home's proof. Saying it twice starts nothing twice."""
        record = self.records.get(commit.id)
        if record is not None:
            return self._asked(record)
        r = self.reservations.get(commit.id)
        if r is None or r.home != commit.home:
            return Rejection(NO_SUCH)
        if r.state is GuestState.RESERVED:
            if self.term.clock() >= r.until:
                self.move(r, GuestState.RELEASED, "its time was over")
                return Rejection(NO_SUCH)
            self.move(r, GuestState.STARTING, "decided at home")
        # a write that nobody answered may still be carried out: it is made again under the same names until it is known
        record = GuestRecord(r.home, r.ref, r.id, r.job)
        live = msgspec.to_builtins(LiveJobRecord(r.spec, self.term.wall(), guest=True))
        conditions = [key_absent(guest_key(r.id)), key_absent(live_key(r.job)), key_absent(completed_key(r.job))]
        changes = [
            put(guest_key(r.id), msgspec.to_builtins(record)),
            put(live_key(r.job), live),
        ]
        version, failed = self.term.writer.commit(conditions, changes, Urgency.ACCEPT)
        if guest_key(r.id) not in failed and failed:
            if r.state is GuestState.STARTING:
                self.move(r, GuestState.RELEASED, "its reference is taken here")
            return Rejection(NO_SUCH)
        self.records[r.id] = record
        if r.state is GuestState.STARTING:  # else the same news came twice at a time
            self.move(r, GuestState.STARTED, "taken in")
        if failed:  # an earlier try was carried out after all
            found = self.term.writer.store.get(live_key(r.job), Urgency.ACCEPT)
            live, version = (found.value, found.version) if found is not None else (None, 0)
        if live is not None:
            self.term.job_watch.take(live, version, self.term.clock())
        return self._asked(record)

    def _asked(self, record: GuestRecord) -> Reply:
        """Home still counts on this cluster: what has no place may start."""
        self.heard[record.id] = self.term.clock()
        job = self.term.registry.jobs.get(record.job)
        if job is not None and job.unasked:
            job.unasked = False
            self.term.registry.changed = True
        return self._status(record)

    def _tell(self, ask: StatusQuery) -> Reply:
        record = self.records.get(ask.id)
        if record is not None:
            return self._asked(record)
        return Running(0) if ask.id in self.reservations else Rejection(NO_SUCH)

    def _status(self, record: GuestRecord) -> Reply:
        """By the books, and by the durable record once the job has left them."""
        job = self.term.registry.jobs.get(record.job)
        if job is not None and job.live:
            return Running(job.running())
        final = self.term.completed_jobs.get(record.job)
        if final is None:
            found = self.term.writer.store.get(completed_key(record.job), Urgency.POLL)
            if found is None:
                return UncertainReply("its end is being recorded")
            done = found.value["state"] == JobStatus.DONE.value
        else:
            done = final.state is JobStatus.DONE
        if not done and job is not None and job.allocations:
            return UncertainReply("its tasks are being stopped")  # given back only once no task of it is left
        return Ended(done)

    def _recall(self, recall: Recall) -> Reply:
        record = self.records.get(recall.id)
        if record is None:
            r = self.reservations.get(recall.id)
            if r is not None and r.state is GuestState.STARTING:
                return UncertainReply("it is being taken in")
            if r is not None:
                self.move(r, GuestState.RELEASED, "not needed")
            return Rejection(NO_SUCH)
        status = self._status(record)
        if isinstance(status, Running):
            if not self.cancel(record.job):
                return UncertainReply("it cannot be ended now")
            self.term.job_watch.watch()
            status = self._status(record)
        return status

    def _forget(self, forget: Forget) -> Reply:
        record = self.records.get(forget.id)
        if record is None:
            return Rejection(NO_SUCH)
        if not isinstance(self._status(record), Ended):
            return UncertainReply("it is not over")
        found = self.term.writer.store.get(guest_key(record.id), Urgency.PROGRESS)
        if found is not None:
            self.term.writer.commit(
                [version_is(guest_key(record.id), found.version)], [delete(guest_key(record.id))], Urgency.PROGRESS
            )
        self.records.pop(record.id, None)
        self.heard.pop(record.id, None)
        return Rejection(NO_SUCH)

    # steps ------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Ends reservations whose time is over, and gives back guests that find no room; a loop of the leader."""
        if not self.term.writer.is_leader():
            return
        now = self.term.clock()
        for r in list(self.reservations.values()):
            if r.state is GuestState.RESERVED and now >= r.until:
                self.move(r, GuestState.RELEASED, "its time is over")
        for record in list(self.records.values()):
            job = self.term.registry.jobs.get(record.job)
            if job is None or not job.live:
                continue
            if not job.unasked and now - self.heard.get(record.id, -math.inf) > QUIET_S:
                job.unasked = True
                log.info(LogEvent("guest_home_silent", job_id=record.ref, home=record.home))
            if job.allocations or job.unasked:
                continue
            if job.startable() == job.spec.tasks and now - job.wait_since > self.limits.give_back_s:
                log.info(
                    LogEvent(
                        "guest_returned",
                        job_id=record.ref,
                        home=record.home,
                        reason="no capacity",
                        wait_s=now - job.wait_since,
                    )
                )
                self.cancel(record.job)
