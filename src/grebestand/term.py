"""One term of a leader: loads the records, proves what runs, writes progress, rents and returns machines.

Every method is one step of a loop that `controller` runs; tests call them directly with a fake clock.
"""

from __future__ import annotations

import base64
import contextlib
import logging
import math
from collections.abc import Callable

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from .api import Api, LiveRecord, OverRecord, live_key, over_key
from .budget import Urgency
from .cloud import CloudClient, NoCapacity
from .fleet import Fleet, Machine
from .http import Unreachable
from .leadership import KEY, Fenced, Leadership
from .ledger import Job, Ledger
from .machines import JobState, LeaderState, MachineState
from .overload import Load
from .pages import Pages
from .peers import CachedImages
from .policy import Policy
from .scheduler import Knobs, Scheduler
from .settings import Settings
from .state import StateClient, StateError, TooOld, at, delete, put
from .wire import (
    Change,
    Command,
    Condition,
    DirectOrders,
    Elsewhere,
    Event,
    JobView,
    ListedMachine,
    Orders,
    RentRequest,
    Report,
)
from .workers import Desk

log = logging.getLogger("grebestand.term")

#: sends a direct order to a worker's address: (addr, path, body) -> (status, body)
Direct = Callable[[str, str, bytes], tuple[int, bytes]]

PROGRESS_AGE_S = 1.5
LIST_S = 5.0
ARRIVAL_GAP_S = 0.5
MOST_FENCES = 60
#: machines that one request asks the cloud for
FEWEST_RENTED, MOST_RENTED = 10, 50
#: requests of that kind in one step
MOST_REQUESTS = 6
#: how long a report waits for its starts' grants before it is answered without them
GRANT_WAIT_S = 0.25
#: machines that the grant of an array names before it says that tasks may be anywhere
MOST_NAMED = 16
#: after a computation the leader answers workers and users for so many times as long as it took
REST = 6.0


class MachineRecord(msgspec.Struct, array_like=True):
    type: str
    zone: str
    spot: bool
    addr: str


class GrantRecord(msgspec.Struct, array_like=True):
    """Where a job's tasks below `hi` may have been started; no list: anywhere."""

    hi: int
    machines: list[str] | None = None

    def joined(self, other: GrantRecord) -> GrantRecord:
        if self.machines is None or other.machines is None:
            return GrantRecord(max(self.hi, other.hi), None)
        return GrantRecord(max(self.hi, other.hi), sorted({*self.machines, *other.machines}))


class RentRecord(msgspec.Struct):
    type: str
    zone: str
    spot: bool
    count: int


class Expected(msgspec.Struct):
    """A machine rented but not heard of yet."""

    type: str
    zone: str
    spot: bool
    since: float


class Term:
    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        leadership: Leadership,
        state: StateClient,
        cloud: CloudClient,
        direct: Direct,
        clock: Callable[[], float],
        wall: Callable[[], float],
        api: Api,
        load: Load,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.leadership = leadership
        self.token = leadership.token
        self.state = state
        self.cloud = cloud
        self.direct = direct
        self.clock = clock
        self.wall = wall
        self.api = api
        self.pressure = load
        self._new_books()
        self.started_at = clock()
        self.place_after = self.retarget_after = -math.inf
        self.heard_worker_at = clock()
        self.first_heard = False

    def _new_books(self) -> None:
        """Empty books: loading starts from these, also when it has to start again."""
        p, policy = self.settings.params, self.policy
        self.ledger = Ledger(p.teams, p.zones)
        self.fleet = Fleet(self.ledger, p.workers.lease_s, p.workers.report_s)
        names = self._names()
        self.desk = Desk(self.ledger, self.fleet, self.token, int(policy.value("sick_errors", names)))
        self.ledger.type_bound = int(policy.value("type_bound", names))
        # a chunk of progress has to fit a value with its quotes and braces, in base64
        self.ledger.chunk_bits = 8 * max(16, min(8192, int((self.api.value_bytes - 128) * 3 / 4)))
        self.scheduler = Scheduler(self.ledger, self.fleet, self.desk, p.objectives, self._knobs, p.workers.gang_wait_s)
        self.loaded = False
        self.proved = False
        self.watched = 0
        self.machine_pages = self._pages("machines/")
        self.grant_pages = self._pages("grants/")
        self.progress_pages = self._pages("progress/")
        self.granting = BoundedSemaphore(1)
        self.counted: dict[str, tuple[int, int]] = {}
        self.counted_at = -math.inf
        self.cover_task: gevent.Greenlet | None = None
        self.orphans: set[str] = set()
        self.expected: dict[str, Expected] = {}
        self.refused_until: dict[tuple[int, int, bool], float] = {}
        self.refusals: dict[tuple[int, int, bool], int] = {}
        self.unlisted: dict[str, int] = {}
        self.returning: set[str] = set()
        self.listed_pending: dict[str, Expected] = {}
        self.listed_at = -math.inf
        self.rents = 0
        self.old_rents: dict[str, RentRecord] = {}
        self.fencing: set[int] = set()

    def _pages(self, prefix: str) -> Pages:
        return Pages(prefix, self.api.value_bytes, self.settings.params.state.txn_ops, self.commit, self._version_of)

    def _version_of(self, key: str) -> int:
        found = self.state.get(key, Urgency.TAKEOVER)
        return found.version if found is not None else 0

    def _names(self) -> dict[str, float]:
        p = self.settings.params
        fleet = getattr(self, "fleet", None)
        return {
            "machines": max(1.0, float(len(fleet.machines) if fleet else 1)),
            "busy": float(sum(1 for m in fleet.machines if m.places)) if fleet else 0.0,
            "types": max(1.0, float(len(self.ledger.types))),
            "zones": float(len(p.zones)),
            "teams": float(len(p.teams)),
            "controllers": float(p.nodes),
            "report_s": p.workers.report_s,
            "lease_s": p.workers.lease_s,
            "cancel_s": p.workers.cancel_s,
            "gang_wait_s": p.workers.gang_wait_s,
            "gang_peer_s": p.workers.gang_peer_s,
            "guarantee_s": min(
                (o.within_s for o in p.objectives if o.kind == "guarantee" and o.within_s), default=10.0
            ),
        }

    def _knobs(self) -> Knobs:
        names = self._names()
        v = self.policy.value
        return Knobs(
            g=math.ceil(v("g", names)),
            payoffs=(
                v("payoff_production", names),
                v("payoff_high", names),
                v("payoff_normal", names),
                v("payoff_low", names),
            ),
            period_s=v("period_s", names),
            preempt_after_s=v("preempt_after_s", names),
            reclaim_after_s=v("reclaim_after_s", names),
            migrate=bool(v("migrate", names)),
            lend_spare=bool(v("lend_spare", names)),
        )

    # writes -----------------------------------------------------------------------------------------------

    def commit(self, conditions: list[Condition], changes: list[Change], urgency: Urgency) -> tuple[int, list[str]]:
        """A leader's write: it fails as a whole once another term has begun. The new version, or failed keys."""
        if not self.leadership.entitled() or self.leadership.token != self.token:
            raise Fenced("not leading")
        version, failed = self.state.commit([at(KEY, self.token), *conditions], changes, urgency)
        if KEY in failed:
            self.leadership.lose("another term has begun")
            raise Fenced("another term has begun")
        return version, failed

    # loading ----------------------------------------------------------------------------------------------

    def load(self) -> None:
        """Reads all records. The watch starts at the revision before the first page, so nothing is missed."""
        self._new_books()
        now = self.clock()
        types = self.api.machine_types()
        if types:
            self.fleet.learn_types(types)
        for name, value in self.machine_pages.load(self.state.pairs(self.machine_pages.prefix)):
            if name not in self.fleet.by_name:
                record = msgspec.convert(value, MachineRecord)
                where = record.addr, record.type, record.zone, record.spot
                self.fleet.add(name, *where, now, recorded=True)
        self._read_live(now)
        strangers: set[str] = set()
        for name, value in self.progress_pages.load(self.state.pairs(self.progress_pages.prefix)):
            ident, _, chunk = name.partition("/")
            job = self.ledger.jobs.get(ident)
            if job is None:
                strangers.add(name)
            else:
                self.ledger.load_done(job, int(chunk) * self.ledger.chunk_bits // 8, base64.b64decode(value))
        for name in strangers:
            self.progress_pages.drop(name, soon=False)
        for pair in self.state.pairs("rent/"):
            self.old_rents[pair.key[5:]] = msgspec.convert(pair.value, RentRecord)
        grants: dict[str, GrantRecord] = {}
        for name, value in self.grant_pages.load(self.state.pairs(self.grant_pages.prefix)):
            grant = msgspec.convert(value, GrantRecord)
            grants[name] = grant.joined(grants[name]) if name in grants else grant
        for name, grant in grants.items():
            job = self.ledger.jobs.get(name)
            if job is None:
                self.grant_pages.drop(name, soon=False)
            else:
                self._take_grant(job, grant)
        for job in list(self.ledger.jobs.values()):
            if job.unfinished() == 0:
                self.ledger.move_job(job, JobState.CLOSING, now)
                self.desk.closing[job.spec.id] = job
        self.fleet.count_unknown()
        now = self.clock()
        for m in self.fleet.machines:
            m.given_at = now
        self.heard_worker_at = now
        self.loaded = True
        counts = len(self.fleet.machines), len(self.ledger.jobs)
        log.info("term %d: %d machines and %d live jobs on record", self.token, *counts)
        self.check_proved(now)

    def _take_job(self, value: object, version: int, now: float) -> None:
        record = msgspec.convert(value, LiveRecord)
        if record.spec.id in self.ledger.jobs:
            return
        age = min(max(0.0, self.wall() - record.at), 86400.0)
        job = self.ledger.add(record.spec, version, now - age, now)
        job.wait_since = now

    def _take_grant(self, job: Job, record: GrantRecord) -> None:
        """An earlier leader's grant: its machines have to be proved before unseen tasks start again. Machines
        without a record were deleted; a job without a grant was never started."""
        job.granted_hi = record.hi
        if record.machines is None:
            job.granted = None
            held = {m.index for m in self.fleet.machines}
        else:
            held = {m.index for m in (self.fleet.by_name.get(n) for n in record.machines) if m is not None}
            job.granted = set(held)
        self.ledger.suspect(job, held, min(record.hi, job.spec.tasks))

    def write_grants(self) -> None:
        """Makes durable where queued tasks may be, before any of them is sent.

        One at a time: a grant counts as wide as what was written, so nothing may replace it meanwhile.
        """
        with self.granting:
            jobs, self.desk.to_cover = self.desk.to_cover, {}
            due = [j for j in jobs.values() if j.live and any(not j.covers(p) for p in j.places.values())]
            batch = [self._widened(job) for job in due]
            if not batch:
                return
            for job, record, _ in batch:
                self.grant_pages.put(job.spec.id, record)
            try:
                self.grant_pages.save(Urgency.ACCEPT)
            except BaseException:
                self.desk.to_cover.update(jobs)
                raise
            for job, record, machines in batch:
                job.granted_hi = max(job.granted_hi, record.hi)
                if record.machines is None or job.granted is None:
                    job.granted = None
                else:
                    job.granted |= machines

    def cover(self) -> None:
        """Grants are written ahead of the reports that fetch the starts, so that no worker has to wait."""
        if self.desk.to_cover:
            self._covering().join()

    def _covering(self) -> gevent.Greenlet:
        """The writing of grants that is under way, or a new one."""
        if self.cover_task is None or self.cover_task.ready():
            self.cover_task = gevent.spawn(self._try_grants)
        return self.cover_task

    def _try_grants(self) -> None:
        try:
            self.write_grants()
        except (StateError, Fenced) as e:
            log.info("starts wait for their grants: %s", e)

    def _widened(self, job: Job) -> tuple[Job, GrantRecord, set[int]]:
        queued = [p for p in job.places.values() if not job.covers(p)]
        machines = {p.machine for p in queued} | (job.granted or set())
        # somewhat further than needed, so that the next few tasks need no write
        hi = max([job.granted_hi, *(p.index + 1 for p in queued)])
        if hi > job.granted_hi:
            hi = min(job.spec.tasks, hi + max(4, hi // 2))
        if job.granted and not job.gang and len(machines) > MOST_NAMED:
            # tasks of a wide array come to ever more machines: one write for each would use up the budget
            record = GrantRecord(hi, None)
            return job, record, set()
        known = [m for m in (self.fleet.at(i) for i in machines) if m is not None]
        record = GrantRecord(hi, sorted(m.name for m in known))
        if job.granted is None or len(msgspec.json.encode(record)) > self.api.value_bytes // 4:
            record.machines = None
        return job, record, {m.index for m in known}

    def check_proved(self, now: float) -> None:
        """Once every machine that may hold a job's tasks is proved, its unseen tasks are nowhere and may run."""
        if self.proved or not self.loaded:
            return
        news, self.fleet.proved = self.fleet.proved, []
        for index in news:
            for job in list(self.ledger.jobs.values()):
                if self.ledger.clear(job, index):
                    self._check_gang(job, now)
        if self.fleet.unproved():
            return
        self.proved = True
        log.info("term %d: all machines proved after %.1f s", self.token, now - self.started_at)
        self.ledger.changed = True

    def _check_gang(self, job: Job, now: float) -> None:
        if job.gang and job.live and job.places and len(job.places) < job.spec.tasks:
            # part of the gang is nowhere: what is left of the attempt can only wait in vain
            self.desk.stop_job(job, "gang incomplete after takeover", 0.0, now)

    def watch(self) -> None:
        """Follows the live records: new jobs, and removals by whichever controller was asked to cancel."""
        try:
            events = self.state.changes("live/", self.watched, 5000)
        except TooOld:
            self._reread()
            return
        now = self.clock()
        for event in events.events:
            self._take_event(event, now)
        self.watched = max(self.watched, events.revision)

    def _take_event(self, event: Event, now: float) -> None:
        if event.put is not None:
            self._take_job(event.value, event.version, now)
        elif event.delete is not None:
            self._removed(event.delete[5:], now)

    def _removed(self, ident: str, now: float) -> None:
        job = self.ledger.jobs.get(ident)
        if job is None or job.state is JobState.DONE:
            return
        if job.state is JobState.CLOSING:
            return  # either this leader's own commit, or one that settles it by failing
        log.info("%s was cancelled", ident)
        self.desk.cancel(job, now)
        self._drop_records(job)

    def _read_live(self, now: float) -> set[str]:
        """Takes all live records; the watch goes on from the revision of the first page."""
        seen: set[str] = set()
        first = 0
        for page in self.state.scan("live/"):
            first = first or page.revision
            for pair in page.items:
                seen.add(pair.key[5:])
                self._take_job(pair.value, pair.version, now)
        self.watched = first
        return seen

    def _reread(self) -> None:
        now = self.clock()
        seen = self._read_live(now)
        gone = [i for i, j in self.ledger.jobs.items() if j.live and i not in seen and j.version <= self.watched]
        for ident in gone:
            self._removed(ident, now)

    def _drop_records(self, job: Job) -> None:
        """What is kept of a job only while it is live; a reader passes over it once the job is over."""
        ident = job.spec.id
        self.grant_pages.drop(ident, soon=False)
        for chunk in range(-(-job.spec.tasks // self.ledger.chunk_bits)):
            self.progress_pages.drop(f"{ident}/{chunk}", soon=False)

    # proof ------------------------------------------------------------------------------------------------

    def to_fence(self) -> list[Machine]:
        """Machines to be shown the token directly; at hundreds at once, their reports would have to wait."""
        due = [m for m in self.fleet.unproved() if m.index not in self.fencing]
        return due[: max(0, MOST_FENCES - len(self.fencing))]

    def fence(self, m: Machine) -> None:
        """Shows a machine this term's token directly; its answer proves what it holds."""
        if m.index in self.fencing:
            return
        self.fencing.add(m.index)
        try:
            session = max(m.session, 1)
            for _ in range(2):
                body = msgspec.json.encode(DirectOrders(self.token, session, []))
                try:
                    status, answer = self.direct(m.addr, "/do", body)
                    report = msgspec.json.decode(answer, type=Report)
                except (Unreachable, msgspec.DecodeError):
                    return
                if not self.leadership.entitled() or self.leadership.token != self.token:
                    return
                if report.token > self.token:
                    self.leadership.lose(f"{m.name} has seen a higher token")
                    return
                if status == 200 or report.token == self.token:
                    self.take_direct(m, report)
                    return
                session = report.session
        finally:
            self.fencing.discard(m.index)

    def take_direct(self, m: Machine, report: Report) -> None:
        now = self.clock()
        if report.machine == m.name:
            self.desk.read(report, now, direct=True)
            self.check_proved(now)

    def order_stops(self, m: Machine) -> None:
        """Stops that should not wait for the next report go straight to the worker."""
        commands: list[Command] = self.desk.direct_stops(m)
        if not commands or m.session == 0:
            return
        now = self.clock()
        for place in m.places.values():
            if place.stop is not None:
                place.stop_sent_at = now
        body = msgspec.json.encode(DirectOrders(self.token, m.session, commands))
        try:
            _, answer = self.direct(m.addr, "/do", body)
            report = msgspec.json.decode(answer, type=Report)
        except (Unreachable, msgspec.DecodeError) as e:
            log.debug("%s cannot be told to stop: %s", m.name, e)
            return
        if self.leadership.entitled() and self.leadership.token == self.token:
            self.take_direct(m, report)

    # reports ----------------------------------------------------------------------------------------------

    def checkin(self, report: Report) -> Orders | Elsewhere | None:
        """The answer to a report; None while this controller may not answer."""
        if not self.leadership.entitled() or self.leadership.token != self.token:
            return None
        if report.token > self.token:
            self.leadership.lose(f"{report.machine} has seen a higher token")
            return None
        now = self.clock()
        self.heard_worker_at, self.first_heard = now, True
        if not self.loaded:
            return Orders(self.token, [])
        m = self.desk.read(report, now, direct=False)
        if m is None:
            # an old report: its worker has gone on and will drop this
            return Orders(self.token, [])
        self.expected.pop(m.name, None)
        self.check_proved(now)
        if m.state is MachineState.GONE:
            return Orders(self.token, [])
        self.step_schedule(now)
        if self.leadership.state is LeaderState.LEADING:
            self.scheduler.fill(m, now)
        if self.desk.uncovered(m):
            # one that is under way may have begun too early for these, so a second one is waited for; but never
            # for long: workers whose reports are not answered in time take this leader for gone
            for _ in range(2):
                if self.desk.uncovered(m):
                    self._covering().join(timeout=GRANT_WAIT_S)
            now = self.clock()
        if not self.leadership.entitled() or self.leadership.token != self.token:
            return None  # the wait, or a pass, took so long that the authority ran out meanwhile
        if (m.session, m.seq) != (report.session, report.seq):
            return Orders(self.token, [])  # a newer report came meanwhile
        commands = self.desk.commands(m, report, now)
        m.given_at = now
        return Orders(self.token, commands)

    # scheduling -------------------------------------------------------------------------------------------

    def step_schedule(self, now: float) -> None:
        if not self.loaded or self.leadership.state is not LeaderState.LEADING:
            return
        ledger = self.ledger
        since = now - self.scheduler.retargeted_at
        # the paper updates at every arrival; here an arrival brings the next computation forward
        due = since >= self.scheduler.knobs.period_s or (ledger.arrived and since >= ARRIVAL_GAP_S)
        if due and now >= self.retarget_after:
            ledger.arrived = False
            self.fleet.sweep_silence(now)
            self.check_proved(now)
            self.scheduler.retarget(now, self.pressure.spare)
            end = self.clock()
            self.retarget_after = end + REST * (end - now)
            ledger.changed = True
        if ledger.changed and now >= self.place_after:
            begin = self.clock()
            self.scheduler.place(now)
            ledger.changed = False
            end = self.clock()
            self.place_after = end + REST * (end - begin)

    # durable records --------------------------------------------------------------------------------------

    def record_machines(self) -> None:
        """A machine gets tasks only once a later leader is sure to know of it."""
        new = [m for m in self.fleet.machines if not m.recorded and m.state is MachineState.NEW]
        for m in new:
            self.machine_pages.put(m.name, self._record_of(m))
        self.machine_pages.save(Urgency.TAKEOVER)
        now = self.clock()
        for m in new:
            if m.state is MachineState.GONE:
                continue  # and its record was dropped
            m.recorded = True
            if m.state is MachineState.NEW:
                self.fleet.move(m, MachineState.READY, now)

    def _record_of(self, m: Machine) -> MachineRecord:
        names = self.ledger
        return MachineRecord(names.machine_types.name(m.kind), names.zones.name(m.zone), m.spot, m.addr)

    def close_jobs(self) -> None:
        """Moves finished jobs from live to over, each in one transaction."""
        for job in list(self.desk.closing.values()):
            self._close(job)

    def _close(self, job: Job) -> None:
        ident = job.spec.id
        record = OverRecord(JobView.DONE, job.spec.tasks)
        changes = [delete(live_key(ident)), put(over_key(ident), msgspec.to_builtins(record))]
        _, failed = self.commit([at(live_key(ident), job.version), at(over_key(ident), 0)], changes, Urgency.DONE)
        if failed:
            # either an earlier try of this commit was carried out after all, or a user's cancellation won
            found = self.state.get(over_key(ident), Urgency.DONE)
            if found is None:
                raise StateError(f"{ident} is neither live nor over", maybe=True)
            record = msgspec.convert(found.value, OverRecord)
        now = self.clock()
        if job.state is JobState.CLOSING:
            self.ledger.move_job(job, JobState.DONE if record.state is JobView.DONE else JobState.CANCELLED, now)
        self.api.remember(ident, record)
        self.desk.closing.pop(ident, None)
        self._drop_records(job)
        self.ledger.drop_if_settled(job)
        age = now - job.accepted_at
        log.info("%s is %s, %.1f s after it was accepted", ident, record.state.value, age)
        if job.spec.deadline_s is not None and age > job.spec.deadline_s:
            log.info("%s of %s was due after %.1f s", ident, job.spec.klass, job.spec.deadline_s)

    def save_progress(self) -> None:
        """Writes which tasks of arrays are done, in chunks of bits; only then may they be forgotten."""
        now = self.clock()
        bits = self.ledger.chunk_bits
        batch: list[tuple[float, Job, int, bytes]] = []
        for job in self.ledger.jobs.values():
            if not job.dirty or not job.live:
                continue
            for chunk, since in job.dirty.items():
                if now - since >= PROGRESS_AGE_S:
                    part = bytes(job.done[chunk * bits // 8 : (chunk + 1) * bits // 8])
                    self.progress_pages.put(f"{job.spec.id}/{chunk}", base64.b64encode(part).decode("ascii"))
                    batch.append((since, job, chunk, part))
        if not batch:
            return
        self.progress_pages.save(Urgency.PROGRESS)
        for since, job, chunk, part in batch:
            offset = chunk * bits // 8
            for i, byte in enumerate(part):
                job.durable[offset + i] |= byte
            if job.done[offset : offset + len(part)] == part and job.dirty.get(chunk) == since:
                job.dirty.pop(chunk, None)
            else:
                job.dirty[chunk] = now

    def clear_orphans(self) -> None:
        batch = list(self.orphans)[: self.settings.params.state.txn_ops]
        if batch:
            self.commit([], [delete(k) for k in batch], Urgency.PROGRESS)
            self.orphans.difference_update(batch)

    # renting and returning --------------------------------------------------------------------------------

    def step_fleet(self) -> None:
        now = self.clock()
        if not self.fleet.kinds:
            types = self.api.machine_types()
            if types is None:
                return
            self.fleet.learn_types(types)
        self._replay_rents()
        if now - self.listed_at >= LIST_S:
            self._read_list(self.cloud.machines())
            self.listed_at = now
        self._return_machines()
        if self.policy.value("rent", self._names()):
            self._rent()

    def _replay_rents(self) -> None:
        """A request that an earlier leader may or may not have sent: repeating it settles it, under its name."""
        for name, record in list(self.old_rents.items()):
            self._rent_under(name, record)

    def _read_list(self, listed: list[ListedMachine]) -> None:
        now = self.clock()
        seen = set()
        self.listed_pending = {}
        dead: list[str] = []
        lag = self.settings.params.cloud.list_lag_s
        for entry in listed:
            seen.add(entry.id)
            m = self.fleet.by_name.get(entry.id)
            kind = self.fleet.kinds.get(self.ledger.machine_types.find(entry.type) or 0)
            boot = kind.boot_s if kind else 60.0
            if entry.state == "failed":
                dead.append(entry.id)
            elif m is None and entry.id not in self.returning:
                if entry.age_s > 5 * boot + 60 + 2 * lag:
                    log.info("machine %s never came up", entry.id)
                    dead.append(entry.id)
                else:
                    self.listed_pending[entry.id] = Expected(entry.type, entry.zone, entry.spot, now)
            self.expected.pop(entry.id, None)
        for name in [n for n, e in self.expected.items() if now - e.since > 4 * lag + 10]:
            del self.expected[name]
        limit = self.policy.value("dead_after_s", self._names())
        for m in list(self.fleet.machines):
            if m.state in (MachineState.READY, MachineState.NEW):
                self.unlisted.pop(m.name, None)
                continue
            missing = self.unlisted.get(m.name, 0) + 1 if m.name not in seen else 0
            self.unlisted[m.name] = missing
            silent = now - max(m.heard_at, self.started_at)
            # what is recorded has been up for a while, so a list that is not older than twice its lag names it
            # unless it is gone; deleting it proves that, long before its lease would
            vanished = missing >= 2 and silent > 2.5 * lag
            if vanished or (silent > limit and m.state is MachineState.LAPSED):
                log.info("machine %s is given up, silent for %.0f s", m.name, silent)
                dead.append(m.name)
        if dead:
            self._remove(dead)

    def _remove(self, names: list[str]) -> None:
        """Deletes machines. Once the cloud has answered, they and all that was on them are gone."""
        for start in range(0, len(names), 100):
            batch = names[start : start + 100]
            for name in batch:
                self.returning.add(name)
                m = self.fleet.by_name.get(name)
                if m is not None and m.drain is None:
                    m.drain = "return"
            self.leadership.guard()
            self.cloud.remove(batch)
            now = self.clock()
            for name in batch:
                m = self.fleet.by_name.get(name)
                if m is not None:
                    self.machine_pages.drop(name, soon=True)
                    self.fleet.move(m, MachineState.GONE, now)
                self.unlisted.pop(name, None)
            self.check_proved(now)
            log.info("returned %s", ", ".join(batch))
        if len(self.returning) > 2000:
            self.returning.clear()

    def _return_machines(self) -> None:
        """Returns faulty machines once they are empty, and what has been idle beyond the plan and the cushion."""
        now = self.clock()
        names = self._names()
        idle_s = self.policy.value("idle_return_s", names)
        settled = (MachineState.READY, MachineState.LAPSED, MachineState.SUSPECT)
        empty = [m for m in self.fleet.machines if not m.places and m.state in settled]
        going = [m for m in empty if m.drain in ("faulty", "return")]
        idle = [m for m in empty if m.drain is None and m.state is MachineState.READY and not m.accept]
        idle.sort(key=lambda m: m.empty_since)
        surplus = max(0, len(idle) - math.ceil(self.policy.value("keep_empty", names)))
        for m in idle[:surplus]:
            if now - m.empty_since > idle_s:
                m.drain = "return"
                going.append(m)
        if going:
            self._remove([m.name for m in going[:100]])

    def _rent(self) -> None:
        allow_spot = bool(self.policy.value("rent_spot", self._names()))
        requests = 0
        for shortage in self.scheduler.shortages:
            if shortage.spot and not allow_spot:
                continue
            per_zone = {z: 0 for z in shortage.zones}
            for m in self.fleet.machines:
                if m.zone in per_zone:
                    per_zone[m.zone] += 1
            for zone in sorted(per_zone, key=lambda z: (per_zone[z], z)):
                pending = len(self.expected) + sum(1 for n in self.listed_pending if n not in self.fleet.by_name)
                lack = shortage.count - pending
                if lack <= 0 or requests >= MOST_REQUESTS:
                    return
                if self.refused_until.get((shortage.kind, zone, shortage.spot), 0.0) > self.clock():
                    continue
                record = RentRecord(
                    self.ledger.machine_types.name(shortage.kind),
                    self.ledger.zones.name(zone),
                    shortage.spot,
                    min(lack, max(FEWEST_RENTED, min(MOST_RENTED, lack // len(per_zone)))),
                )
                self._rent_under(f"r-{self.token}-{self.rents}", record)
                self.rents += 1
                requests += 1

    def _rent_under(self, name: str, record: RentRecord) -> None:
        """Rents under a name that is on record first: no later leader can use it for anything else."""
        key = f"rent/{name}"
        place = (
            self.ledger.machine_types.index(record.type),
            self.ledger.zones.index(record.zone),
            record.spot,
        )
        if name not in self.old_rents:
            # one change for up to fifty machines: behind grants and progress, rentals of a burst once came 40 s late
            self.commit([], [put(key, msgspec.to_builtins(record))], Urgency.TAKEOVER)
            self.old_rents[name] = record
        self.leadership.guard()
        now = self.clock()
        got: list[str] = []
        with contextlib.suppress(NoCapacity):
            got = self.cloud.rent(RentRequest(name, record.type, record.zone, record.spot, record.count))
        for machine in got:
            if machine not in self.fleet.by_name:
                self.expected[machine] = Expected(record.type, record.zone, record.spot, now)
        if len(got) < record.count:
            n = self.refusals[place] = min(self.refusals.get(place, 0) + 1, 3)
            self.refused_until[place] = now + 10.0 * n
        else:
            self.refusals.pop(place, None)
        kind = "spot" if record.spot else "ordinary"
        log.info("rented %d of %d %s in %s (%s)", len(got), record.count, record.type, record.zone, kind)
        self.old_rents.pop(name, None)
        self.orphans.add(key)

    def cached_images(self) -> CachedImages:
        names = self.ledger.images
        return CachedImages(
            [names.name(i) for i in range(len(names))],
            list(self.ledger.image_gb),
            {m.name: list(m.images) for m in self.fleet.machines if m.images},
        )

    def learn_images(self, known: CachedImages) -> None:
        """Takes over what an earlier leader knew of the machines' images; reports do not tell."""
        indices = [self.ledger.image(name, gb) for name, gb in zip(known.names, known.gigabytes, strict=True)]
        for name, held in known.machines.items():
            m = self.fleet.by_name.get(name)
            if m is not None:
                for i in held:
                    self.fleet.note_image(m, indices[i], known.gigabytes[i])

    # display ----------------------------------------------------------------------------------------------

    def counts(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks of each job, for all controllers' users; a second old at the most."""
        now = self.clock()
        if now - self.counted_at >= 1.0:
            self.counted_at = now
            jobs = self.ledger.jobs.items()
            self.counted = {
                ident: (job.done_count, job.running()) for ident, job in jobs if job.places or job.done_count
            }
        return self.counted
