"""A live job and the places where its tasks may be."""

from __future__ import annotations

import math

from ..state_machines import AllocationState, JobState
from ..wire.jobs import PRIORITIES, JobSpec, Kind, task_name
from ..wire.remote_assignment import RemoteAssignment
from .resources import task_resources


class Allocation:
    """One attempt of a task on one machine. It counts against every limit until it is proved gone."""

    __slots__ = (
        "attempt",
        "epoch",
        "first",
        "grace",
        "held",
        "index",
        "job",
        "machine",
        "made_at",
        "name",
        "on_at",
        "run_at",
        "seen_sequence",
        "sent_epoch",
        "sent_sequence",
        "state",
        "stop",
        "stop_sent_at",
        "told_at",
        "warms",
    )  # fmt: skip

    def __init__(self, job: Job, index: int, machine: int, attempt: int, now: float) -> None:
        self.job = job
        self.index = index
        #: as reports and commands name the task
        self.name = task_name(job.spec.id, index)
        self.machine = machine
        self.attempt = attempt
        self.state = AllocationState.QUEUED
        self.epoch = 0
        self.sent_epoch = 0
        self.sent_sequence = 0
        #: the newest report of the session that named it
        self.seen_sequence = -1
        self.made_at = now
        #: the task had no place before, so it began at its beginning
        self.first = False
        #: not to be sent before the others of its gang have their image
        self.held = False
        #: its gang is broken; it stays until its machine has the image, for the next attempt
        self.warms = False
        self.on_at: float | None = None
        self.run_at: float | None = None
        self.stop: str | None = None
        self.grace = 0.0
        self.stop_sent_at = -math.inf
        #: when an answer last told to start it
        self.told_at = math.inf


class GangStartTimeline:
    """When the last task of a gang's attempt came so far; the clock's seconds."""

    __slots__ = ("attempt", "covered", "placed", "reported", "room", "sent")

    def __init__(self, attempt: int, room: float, placed: float) -> None:
        self.attempt = attempt
        #: since when the whole gang might have had its room
        self.room = room
        self.placed = self.covered = self.sent = self.reported = placed


class Job:
    """A live job. Only tasks that have a place cost an object; the rest are bits and a cursor."""

    __slots__ = (
        "abroad",
        "abroad_running",
        "accepted_at",
        "allocations",
        "avoid",
        "away",
        "begun",
        "dirty",
        "displaced",
        "done",
        "done_count",
        "doubtful",
        "durable",
        "earned",
        "ends",
        "errors",
        "failed_at",
        "fails_after_s",
        "fresh",
        "granted",
        "granted_hi",
        "guaranteed",
        "guest",
        "hold_until",
        "image",
        "live",
        "may_answer_until",
        "possible_holders",
        "preempt_at",
        "rank",
        "returned",
        "runs",
        "size",
        "spec",
        "stages",
        "started_at",
        "state",
        "team",
        "type",
        "unasked",
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
        #: of a cancelled one: a machine that still has a task of it is answered until then, so its lease ends in time
        self.may_answer_until = math.inf
        self.team = team
        self.size = task_resources(spec)
        #: of its priority, the highest being 0
        self.rank = PRIORITIES.index(spec.priority)
        self.type = -1
        self.zone = -1
        self.image = -1
        self.state = JobState.WAITING
        #: whether it is WAITING or ACTIVE; kept beside the state, since every pass asks it of every job many times
        self.live = True
        self.done = bytearray((spec.tasks + 7) // 8)
        self.durable = bytearray((spec.tasks + 7) // 8)
        self.done_count = 0
        self.dirty: dict[int, float] = {}
        self.allocations: dict[int, Allocation] = {}
        self.fresh = 0
        self.returned: list[int] = []
        #: what finished tasks took, by machine, the latest
        self.runs: list[tuple[int, float]] = []
        #: of a gang that was placed
        self.stages: GangStartTimeline | None = None
        #: the cluster named in its live record, and how many of its tasks run there
        self.abroad: RemoteAssignment | None = None
        self.abroad_running = 0
        #: another cluster runs it or may come to run it: nothing of it may start here
        self.away = False
        #: it is another cluster's, and that has not asked about it lately: nothing more of it starts meanwhile
        self.guest = False
        self.unasked = False
        #: in how many rounds tasks of it have failed, when last, and after how long at the most, in seconds
        self.errors = 0
        self.failed_at = -math.inf
        self.fails_after_s = 0.0
        #: it fails wherever it is started: one task, or one gang, of it is tried at a time
        self.doubtful = False
        self.earned = False
        #: how often the whole gang was stopped to make room
        self.displaced = 0
        self.avoid: dict[int, float] = {}
        self.hold_until = 0.0
        #: durable coarse grant: machines (None: any) that tasks below granted_hi may have been started on
        self.granted: set[int] | None = set()
        self.granted_hi = 0
        #: machines that may hold tasks of an earlier leader's, not yet proved; such tasks are below unseen_below
        self.possible_holders: set[int] = set()
        self.unseen_below = 0
        self.guaranteed = False
        self.wait_since = accepted_at
        #: when it has to be done for its aims, once that has been looked up
        self.ends: list[float] | None = None
        #: when a task of it last got a place
        self.started_at = accepted_at
        self.preempt_at = -math.inf
        self.why_waiting = ""
        #: it has been told that it began
        self.begun = False

    def record_progress(self) -> None:
        """Record that work of the job was kept, which shows that it can run."""
        self.earned = True
        self.doubtful = False

    def is_done(self, index: int) -> bool:
        return bool(self.done[index >> 3] >> (index & 7) & 1)

    def is_durable(self, index: int) -> bool:
        return bool(self.durable[index >> 3] >> (index & 7) & 1)

    @property
    def gang(self) -> bool:
        return self.spec.kind is Kind.GANG

    def unfinished(self) -> int:
        return self.spec.tasks - self.done_count

    def waiting(self) -> int:
        """Tasks that are neither done nor anywhere."""
        if not self.live or self.away or self.unasked:
            return 0
        return max(0, self.spec.tasks - self.done_count - len(self.allocations))

    def wanted(self) -> int:
        """Waiting tasks that room should be found for."""
        return min(self.waiting(), 1) if self.doubtful and not self.gang else self.waiting()

    def startable(self) -> int:
        """Waiting tasks that are provably nowhere. After a takeover only those an earlier leader may have
        started wait for proof: the ones that were seen since, or that no grant covers, do not.

        Where the zones of a job's other tasks matter, all of them wait: what has not been seen may be in any zone.
        """
        if self.doubtful and not self.gang and self.allocations:
            return 0
        if not self.possible_holders or not self.live:
            return self.wanted()
        if self.gang or self.spec.one_zone or self.spec.spread:
            return 0
        back = sum(1 for i in set(self.returned) if not self.is_done(i) and i not in self.allocations)
        free = back + self.spec.tasks - self.fresh
        return min(free, 1) if self.doubtful else free

    def covers(self, allocation: Allocation) -> bool:
        """Whether the durable grant tells a later leader that this task may be on that machine."""
        return allocation.index < self.granted_hi and (self.granted is None or allocation.machine in self.granted)

    def running(self) -> int:
        return self.abroad_running + sum(1 for p in self.allocations.values() if p.state is AllocationState.RUNNING)

    def take(self) -> int | None:
        """The next waiting task; the caller gives it a place at once."""
        while self.returned:
            index = self.returned.pop()
            if not self.is_done(index) and index not in self.allocations:
                return index
        while self.fresh < self.spec.tasks:
            index = self.fresh
            self.fresh += 1
            if not self.is_done(index) and index not in self.allocations:
                return index
        return None
