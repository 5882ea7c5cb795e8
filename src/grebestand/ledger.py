"""The books: jobs, their tasks, every place where a task may be, and what each team uses."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from .machines import JOB_STEPS, PLACE_STEPS, JobState, PlaceState, step
from .names import Names
from .placement import MICRO, Amounts, Slot
from .settings import Team
from .wire import PRIORITIES, JobSpec, Kind, MachineType, task_name


def micro_up(amount: float) -> int:
    return math.ceil(round(amount * MICRO, 3))


def micro_down(amount: float) -> int:
    return math.floor(round(amount * MICRO, 3))


def size_of(spec: JobSpec) -> Amounts:
    return (micro_up(spec.cpus), micro_up(spec.gpus), micro_up(spec.memory_gb))


def room_of(kind: MachineType) -> Amounts:
    return (micro_down(kind.cpus), micro_down(kind.gpus), micro_down(kind.memory_gb))


class Place:
    """One attempt of a task on one machine. It counts against every limit until it is proved gone."""

    __slots__ = (
        "attempt", "grace", "held", "index", "job", "machine", "made_at", "name", "on_at", "run_at", "seen_seq",
        "sent_seq", "sent_session", "session", "state", "stop", "stop_sent_at", "warms",
    )  # fmt: skip

    def __init__(self, job: Job, index: int, machine: int, attempt: int, now: float) -> None:
        self.job = job
        self.index = index
        #: as reports and commands name the task
        self.name = task_name(job.spec.id, index)
        self.machine = machine
        self.attempt = attempt
        self.state = PlaceState.QUEUED
        self.session = 0
        self.sent_session = 0
        self.sent_seq = 0
        #: the newest report of the session that named it
        self.seen_seq = -1
        self.made_at = now
        #: not to be sent before the others of its gang have their image
        self.held = False
        #: its gang is broken; it stays until its machine has the image, for the next attempt
        self.warms = False
        self.on_at: float | None = None
        self.run_at: float | None = None
        self.stop: str | None = None
        self.grace = 0.0
        self.stop_sent_at = -math.inf


class Job:
    """A live job. Only tasks that have a place cost an object; the rest are bits and a cursor."""

    __slots__ = (
        "accepted_at",
        "avoid",
        "dirty",
        "displaced",
        "done",
        "done_count",
        "durable",
        "earned",
        "errors",
        "fresh",
        "granted",
        "granted_hi",
        "guaranteed",
        "hold_until",
        "image",
        "places",
        "preempt_at",
        "rank",
        "returned",
        "size",
        "spec",
        "started_at",
        "state",
        "suspects",
        "team",
        "type",
        "unseen_below",
        "version",
        "wait_since",
        "why_waiting",
        "zone",
    )  # fmt: skip

    def __init__(self, spec: JobSpec, version: int, accepted_at: float, team: int) -> None:
        self.spec = spec
        self.version = version
        self.accepted_at = accepted_at
        self.team = team
        self.size = size_of(spec)
        #: of its priority, the highest being 0
        self.rank = PRIORITIES.index(spec.priority)
        self.type = -1
        self.zone = -1
        self.image = -1
        self.state = JobState.WAITING
        self.done = bytearray((spec.tasks + 7) // 8)
        self.durable = bytearray((spec.tasks + 7) // 8)
        self.done_count = 0
        self.dirty: dict[int, float] = {}
        self.places: dict[int, Place] = {}
        self.fresh = 0
        self.returned: list[int] = []
        self.errors = 0
        self.earned = False
        #: how often the whole gang was stopped to make room
        self.displaced = 0
        self.avoid: dict[int, float] = {}
        self.hold_until = 0.0
        #: durable coarse grant: machines (None: any) that tasks below granted_hi may have been started on
        self.granted: set[int] | None = set()
        self.granted_hi = 0
        #: machines that may hold tasks of an earlier leader's, not yet proved; such tasks are below unseen_below
        self.suspects: set[int] = set()
        self.unseen_below = 0
        self.guaranteed = False
        self.wait_since = accepted_at
        #: when a task of it last got a place
        self.started_at = accepted_at
        self.preempt_at = -math.inf
        self.why_waiting = ""

    def is_done(self, index: int) -> bool:
        return bool(self.done[index >> 3] >> (index & 7) & 1)

    def is_durable(self, index: int) -> bool:
        return bool(self.durable[index >> 3] >> (index & 7) & 1)

    @property
    def gang(self) -> bool:
        return self.spec.kind is Kind.GANG

    @property
    def live(self) -> bool:
        return self.state in (JobState.WAITING, JobState.ACTIVE)

    def unfinished(self) -> int:
        return self.spec.tasks - self.done_count

    def waiting(self) -> int:
        """Tasks that are neither done nor anywhere."""
        if not self.live:
            return 0
        return max(0, self.spec.tasks - self.done_count - len(self.places))

    def startable(self) -> int:
        """Waiting tasks that are provably nowhere. After a takeover only those an earlier leader may have
        started wait for proof: the ones that were seen since, or that no grant covers, do not."""
        if not self.suspects or not self.live:
            return self.waiting()
        if self.gang:
            return 0
        back = sum(1 for i in set(self.returned) if not self.is_done(i) and i not in self.places)
        return back + self.spec.tasks - self.fresh

    def covers(self, place: Place) -> bool:
        """Whether the durable grant tells a later leader that this task may be on that machine."""
        return place.index < self.granted_hi and (self.granted is None or place.machine in self.granted)

    def running(self) -> int:
        return sum(1 for p in self.places.values() if p.state is PlaceState.RUNNING)

    def take(self) -> int | None:
        """The next waiting task; the caller gives it a place at once."""
        while self.returned:
            index = self.returned.pop()
            if not self.is_done(index) and index not in self.places:
                return index
        while self.fresh < self.spec.tasks:
            index = self.fresh
            self.fresh += 1
            if not self.is_done(index) and index not in self.places:
                return index
        return None


@dataclass
class TeamUse:
    name: str
    guaranteed: tuple[int, int]
    limit: tuple[int, int]
    used: list[int] = field(default_factory=lambda: [0, 0])
    #: what unknown tasks on machines not yet proved could use at the most
    unknown: list[int] = field(default_factory=lambda: [0, 0])

    def borrows(self) -> bool:
        return self.used[0] > self.guaranteed[0] or self.used[1] > self.guaranteed[1]

    def headroom(self, size: Amounts) -> int:
        """How many more tasks of this size the team's limit allows, counting what may still be somewhere."""
        rooms = []
        for need, used, unknown, limit in zip(size[:2], self.used, self.unknown, self.limit, strict=True):
            if need > 0:
                rooms.append((limit - used - unknown) // need)
        return max(0, min(rooms)) if rooms else 1 << 30


@dataclass
class TaskType:
    """A slot type: jobs of one priority whose tasks ask for about the same."""

    key: tuple[object, ...]
    rank: int
    size: Amounts
    spot: bool
    machine_types: frozenset[int] | None
    zone: int | None
    seen_at: float

    def slot(self, payoff: float) -> Slot:
        return Slot(self.size, payoff, self.spot, self.machine_types, self.zone)


def _bucket(amount: int, steps_per_octave: float) -> int:
    return -1 if amount <= 0 else math.ceil(math.log2(amount) * steps_per_octave - 1e-9)


class Ledger:
    """All live jobs. The only writer of job and place states is here."""

    def __init__(self, teams: list[Team], zones: list[str]) -> None:
        self.teams = [
            TeamUse(
                t.name,
                (micro_down(t.cpus), micro_down(t.gpus)),
                (micro_down(t.cpus_max), micro_down(t.gpus_max)),
            )
            for t in teams
        ]
        self.team_names = Names([t.name for t in teams])
        self.zones = Names(list(zones))
        self.machine_types = Names()
        self.images = Names()
        #: gigabytes of each image
        self.image_gb: list[float] = []
        self.jobs: dict[str, Job] = {}
        self.types: list[TaskType] = []
        self._type_index: dict[tuple[object, ...], int] = {}
        self.type_bound = 24
        self.chunk_bits = 16384
        self.changed = False
        self.arrived = False

    # jobs -------------------------------------------------------------------------------------------------

    def add(self, spec: JobSpec, version: int, accepted_at: float, now: float) -> Job:
        team = self.team_names.find(spec.team)
        if team is None:  # a team that the settings no longer name: nothing of it may run
            team = self.team_names.index(spec.team)
            self.teams.append(TeamUse(spec.team, (0, 0), (0, 0)))
        job = Job(spec, version, accepted_at, team)
        job.zone = self.zones.index(spec.zone) if spec.zone else -1
        job.image = self.image(spec.image, spec.image_gb)
        job.type = self._classify(job, now)
        job.wait_since = job.started_at = now
        self.jobs[spec.id] = job
        self.changed = self.arrived = True
        return job

    def image(self, name: str, gigabytes: float) -> int:
        index = self.images.index(name)
        if index == len(self.image_gb):
            self.image_gb.append(gigabytes)
        return index

    def _classify(self, job: Job, now: float) -> int:
        spec = job.spec
        kinds = frozenset(self.machine_types.index(t) for t in spec.types) if spec.types is not None else None
        zone = job.zone if job.zone >= 0 else None
        rules = (spec.priority, spec.spot, kinds, zone)
        key: tuple[object, ...] = (*rules, *(_bucket(a, 2.0) for a in job.size))
        found = self._type_index.get(key)
        if found is None and len(self.types) >= self.type_bound:
            # the bound keeps the greedy plan small: share the nearest type above, else a coarser bucket
            above = [
                (t.size, i)
                for i, t in enumerate(self.types)
                if t.key[:4] == rules and all(a <= b for a, b in zip(job.size, t.size, strict=True))
            ]
            if above:
                found = min(above)[1]
            else:
                key = (*rules, "coarse", *(_bucket(a, 0.5) for a in job.size))
                found = self._type_index.get(key)
        if found is None:
            found = self._type_index[key] = len(self.types)
            self.types.append(TaskType(key, job.rank, job.size, spec.spot, kinds, zone, now))
        kind = self.types[found]
        kind.size = (max(kind.size[0], job.size[0]), max(kind.size[1], job.size[1]), max(kind.size[2], job.size[2]))
        kind.seen_at = now
        return found

    def move_job(self, job: Job, new: JobState, now: float) -> None:
        """The one function that changes a job's state."""
        if job.state is new:
            return
        step(JOB_STEPS, job.state, new, job.spec.id)
        job.state = new
        if new is JobState.WAITING:
            job.wait_since = now
        self.changed = True

    def drop_if_settled(self, job: Job) -> bool:
        """A job that is over and has no place left is no longer kept in memory."""
        if job.state in (JobState.DONE, JobState.CANCELLED) and not job.places:
            self.jobs.pop(job.spec.id, None)
            return True
        return False

    def mark_done(self, job: Job, index: int, now: float) -> None:
        if job.is_done(index):
            return
        job.done[index >> 3] |= 1 << (index & 7)
        job.done_count += 1
        job.earned = True
        self.changed = True

    def load_done(self, job: Job, offset: int, bits: bytes) -> None:
        """Progress read back from the state service: done and durable."""
        end = min(len(job.done), offset + len(bits))
        for i in range(offset, end):
            job.done[i] |= bits[i - offset]
            job.durable[i] |= bits[i - offset]
        tail = job.spec.tasks & 7
        if tail:  # bits past the last task mean nothing
            job.done[-1] &= (1 << tail) - 1
            job.durable[-1] &= (1 << tail) - 1
        job.done_count = int.from_bytes(job.done, "little").bit_count()

    # places -----------------------------------------------------------------------------------------------

    def open_place(self, job: Job, index: int, machine: int, attempt: int, now: float) -> Place:
        place = Place(job, index, machine, attempt, now)
        assert index not in job.places, f"{job.spec.id}/{index} has a place already"
        job.places[index] = place
        use = self.teams[job.team].used
        use[0] += job.size[0]
        use[1] += job.size[1]
        if job.state is JobState.WAITING:
            self.move_job(job, JobState.ACTIVE, now)
        self.changed = True
        return place

    def move_place(self, place: Place, new: PlaceState, now: float) -> None:
        """The one function that changes a place's state; leaving the last one frees what it counted."""
        old = place.state
        if old is new and new is not PlaceState.SENT:
            return
        step(PLACE_STEPS, old, new, f"{place.job.spec.id}/{place.index}")
        place.state = new
        if new not in (PlaceState.QUEUED, PlaceState.SENT, PlaceState.GONE) and place.on_at is None:
            place.on_at = now
        if new is PlaceState.RUNNING and place.run_at is None:
            place.run_at = now
        if new is not PlaceState.GONE:
            return
        job = place.job
        del job.places[place.index]
        use = self.teams[job.team].used
        use[0] -= job.size[0]
        use[1] -= job.size[1]
        if not job.is_done(place.index):
            job.returned.append(place.index)
        if not job.places and job.state is JobState.ACTIVE:
            self.move_job(job, JobState.WAITING, now)
        self.changed = True

    def suspect(self, job: Job, machines: set[int], hi: int) -> None:
        """An earlier leader may have started tasks below `hi` on these machines: they wait for proof."""
        job.suspects = machines
        job.unseen_below = job.fresh = hi
        if not machines:
            self.clear(job, None)

    def clear(self, job: Job, machine: int | None) -> bool:
        """A machine is proved. Once all are, the tasks that nobody has seen are nowhere and wait like others."""
        if machine is not None:
            if machine not in job.suspects:
                return False
            job.suspects.discard(machine)
        if job.suspects:
            return False
        unseen = range(job.unseen_below)
        # added to what came back meanwhile; `take` passes over what is listed twice
        job.returned += [i for i in reversed(unseen) if not job.is_done(i) and i not in job.places]
        job.unseen_below = 0
        self.changed = True
        return True

    def waiting_jobs(self) -> Iterator[Job]:
        for job in self.jobs.values():
            if job.live and job.waiting() > 0:
                yield job

    def rate_guarantees(self) -> None:
        """A job is within its team's guarantee if it fits there with the team's earlier unfinished jobs."""
        sums: dict[int, list[int]] = {}
        for job in sorted(self.jobs.values(), key=lambda j: (j.accepted_at, j.spec.id)):
            if not job.live:
                continue
            team = self.teams[job.team]
            total = sums.setdefault(job.team, [0, 0])
            n = job.unfinished()
            total[0] += n * job.size[0]
            total[1] += n * job.size[1]
            job.guaranteed = total[0] <= team.guaranteed[0] and total[1] <= team.guaranteed[1]
