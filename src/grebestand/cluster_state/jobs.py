"""A live job, and its allocations: the machines where its tasks may be."""

from __future__ import annotations

import math

from ..state_machines import AllocationState, JobState
from ..wire.jobs import PRIORITIES, JobSpec, Kind, task_name
from ..wire.remote_assignment import RemoteAssignment
from .resources import task_resources

#: Value of `Allocation.sent_sequence` while the start command has to be sent again; no heartbeat has this sequence.
START_LOST = -1
#: Value of `Allocation.reported_sequence` before any heartbeat has named the task.
NOT_REPORTED = -1


class Allocation:
    """One attempt of a task on one machine.

    It counts against every limit until it is known to be gone. All times are in seconds of the leader's clock.
    """

    __slots__ = (
        "attempt",
        "decided_at",
        "epoch",
        "first",
        "grace",
        "held",
        "index",
        "job",
        "keeps_fetching",
        "machine",
        "name",
        "reported_sequence",
        "run_at",
        "sent_epoch",
        "sent_sequence",
        "start_sent_at",
        "state",
        "stop_reason",
        "stop_sent_at",
    )  # fmt: skip

    def __init__(self, job: Job, index: int, machine: int, attempt: int, now: float) -> None:
        self.job = job
        #: The task's index in its job.
        self.index = index
        #: The task's name in heartbeats and commands.
        self.name = task_name(job.spec.id, index)
        #: The machine's index in the inventory.
        self.machine = machine
        self.attempt = attempt
        self.state = AllocationState.QUEUED
        #: The worker's epoch that the allocation belongs to: it ends with that epoch.
        self.epoch = 0
        #: Epoch and sequence of the heartbeat whose response carried the start command.
        self.sent_epoch = 0
        self.sent_sequence = 0
        #: Sequence of the newest heartbeat of the epoch that named the task.
        self.reported_sequence = NOT_REPORTED
        #: When it was decided.
        self.decided_at = now
        #: The task had no allocation before, so it runs from its beginning.
        self.first = False
        #: Not to be sent before the other tasks of its gang have their image.
        self.held = False
        #: Its gang is broken; it stays until its machine has fetched the image, for the gang's next attempt.
        self.keeps_fetching = False
        #: When the task was first seen to run.
        self.run_at: float | None = None
        #: Why it has been asked to stop, and with how many seconds for a checkpoint.
        self.stop_reason: str | None = None
        self.grace = 0.0
        self.stop_sent_at = -math.inf
        #: When a response last carried the start command.
        self.start_sent_at = math.inf

    def record_start_command(self, epoch: int, sequence: int, now: float) -> None:
        """Record that the response to this heartbeat of the machine carries the start command."""
        self.epoch = self.sent_epoch = epoch
        self.sent_sequence = sequence
        self.start_sent_at = now

    def request_stop(self, reason: str, grace_s: float) -> None:
        """Record that the task is to stop, and how many seconds it has for a checkpoint."""
        self.stop_reason, self.grace = reason, grace_s

    def record_lost_start(self) -> None:
        """Record that the start command did not arrive, so that the next response carries it again."""
        self.sent_sequence = START_LOST


class GangStartTimeline:
    """When the last task of a gang's attempt reached each stage of its start, in seconds of the leader's clock."""

    __slots__ = ("attempt", "covered", "placed", "reported", "room", "sent")

    def __init__(self, attempt: int, room: float, placed: float) -> None:
        """Begin with a placement.

        Args:
            attempt: The attempt of all the gang's allocations.
            room: Since when the capacity for the whole gang may have been free.
            placed: When the gang was placed.
        """
        self.attempt = attempt
        self.room = room
        #: Placed; covered by a durable grant; start command sent; first named in a heartbeat.
        self.placed = self.covered = self.sent = self.reported = placed


class Job:
    """A live job.

    Only tasks with an allocation cost an object; the others are bits (`done`, `durable`), a cursor (`fresh`) and a list
    (`returned`). All times are in seconds of the leader's clock.
    """

    __slots__ = (
        "abroad",
        "abroad_running",
        "accepted_at",
        "allocations",
        "avoid",
        "begun",
        "done",
        "done_count",
        "durable",
        "ends",
        "errors",
        "failed_at",
        "fails_after_s",
        "first_unallocated",
        "gang_start",
        "granted",
        "granted_below",
        "guaranteed",
        "guest",
        "has_progress",
        "image",
        "live",
        "may_answer_until",
        "origin_silent",
        "possible_holders",
        "preempt_at",
        "preemption_count",
        "rank",
        "retry_at",
        "returned",
        "runs",
        "runs_remotely",
        "size",
        "spec",
        "started_at",
        "state",
        "suspected_faulty",
        "team",
        "type",
        "unsaved_chunks",
        "unseen_below",
        "version",
        "wait_since",
        "why_waiting",
        "zone",
    )  # fmt: skip

    def __init__(self, spec: JobSpec, version: int, accepted_at: float, team: int) -> None:
        """Begin without allocations and results.

        Args:
            spec: What was submitted.
            version: The store's revision of the job's live record.
            accepted_at: When the job was accepted.
            team: The team's index in the registry.
        """
        self.spec = spec
        self.version = version
        self.accepted_at = accepted_at
        #: Once it is cancelled: machines that still have a task of it are answered until then, so that their lease ends
        #: in time.
        self.may_answer_until = math.inf
        self.team = team
        #: What one task takes.
        self.size = task_resources(spec)
        #: The rank of its priority, the highest being 0.
        self.rank = PRIORITIES.index(spec.priority)
        #: Indices in the registry: its task type, its zone (-1: any) and its image.
        self.type = -1
        self.zone = -1
        self.image = -1
        self.state = JobState.WAITING
        #: Whether it is WAITING or ACTIVE; kept beside the state, since every pass asks it of every job many times.
        self.live = True
        #: One bit for each task: whether it is done, and whether its result is durable.
        self.done = bytearray((spec.tasks + 7) // 8)
        self.durable = bytearray((spec.tasks + 7) // 8)
        self.done_count = 0
        #: By chunk of `done`, since when it has results that are not durable.
        self.unsaved_chunks: dict[int, float] = {}
        #: By task index.
        self.allocations: dict[int, Allocation] = {}
        #: Tasks from this index on have never had an allocation.
        self.first_unallocated = 0
        #: Tasks below `fresh` that have lost their allocation; an index may be listed twice, or be stale.
        self.returned: list[int] = []
        #: Machine index and run time in seconds of the tasks that finished last.
        self.runs: list[tuple[int, float]] = []
        #: Of a gang that was placed and does not run as a whole yet.
        self.gang_start: GangStartTimeline | None = None
        #: The cluster named in its live record, and how many of its tasks run there.
        self.abroad: RemoteAssignment | None = None
        self.abroad_running = 0
        #: Another cluster runs it or may come to run it: nothing of it may start here.
        self.runs_remotely = False
        #: It is another cluster's, and that has not asked about it lately: nothing more of it starts meanwhile.
        self.guest = False
        self.origin_silent = False
        #: In how many rounds tasks of it have failed, when last, and after how long at the most, in seconds.
        self.errors = 0
        self.failed_at = -math.inf
        self.fails_after_s = 0.0
        #: It fails wherever it is started: one task, or one gang, of it is tried at a time.
        self.suspected_faulty = False
        #: A task of it was completed, or has saved a checkpoint.
        self.has_progress = False
        #: How often the whole gang was preempted.
        self.preemption_count = 0
        #: Machines where it failed, by index, and when.
        self.avoid: dict[int, float] = {}
        #: None of it is placed before then.
        self.retry_at = 0.0
        #: Its durable grant: machines (None: any) that tasks below `granted_below` may have been started on.
        self.granted: set[int] | None = set()
        self.granted_below = 0
        #: Unreconciled machines that may hold tasks started by an earlier leader; such tasks are below `unseen_below`.
        self.possible_holders: set[int] = set()
        self.unseen_below = 0
        #: Whether its team's guarantee covers it.
        self.guaranteed = False
        self.wait_since = accepted_at
        #: When it has to be done to meet its objectives, once that has been looked up.
        self.ends: list[float] | None = None
        #: When a task of it last got an allocation.
        self.started_at = accepted_at
        self.preempt_at = -math.inf
        #: For users: why its tasks wait.
        self.why_waiting = ""
        #: Its start has been logged.
        self.begun = False

    def record_progress(self) -> None:
        """Record that work of the job was kept, which shows that it can run."""
        self.has_progress = True
        self.suspected_faulty = False

    def is_done(self, index: int) -> bool:
        """Return whether a task is done."""
        return bool(self.done[index >> 3] >> (index & 7) & 1)

    def is_durable(self, index: int) -> bool:
        """Return whether a task is done and its result is durable."""
        return bool(self.durable[index >> 3] >> (index & 7) & 1)

    @property
    def gang(self) -> bool:
        """Whether all its tasks have to run at once."""
        return self.spec.kind is Kind.GANG

    def unfinished(self) -> int:
        """Return how many tasks are not done."""
        return self.spec.tasks - self.done_count

    def waiting(self) -> int:
        """Return how many tasks are not done and have no allocation."""
        if not self.live or self.runs_remotely or self.origin_silent:
            return 0
        return max(0, self.spec.tasks - self.done_count - len(self.allocations))

    def wanted(self) -> int:
        """Return for how many waiting tasks capacity should be found."""
        return min(self.waiting(), 1) if self.suspected_faulty and not self.gang else self.waiting()

    def startable(self) -> int:
        """Return how many waiting tasks are known to run nowhere.

        After a failover, only tasks that an earlier leader may have started wait for reconciliation; those that were
        seen since, or that no grant covers, do not. Where the zones of a job's other tasks matter, all of them wait:
        an unseen task may be in any zone.
        """
        if self.suspected_faulty and not self.gang and self.allocations:
            return 0
        if not self.possible_holders or not self.live:
            return self.wanted()
        if self.gang or self.spec.one_zone or self.spec.spread:
            return 0
        returned = sum(1 for i in set(self.returned) if not self.is_done(i) and i not in self.allocations)
        startable = returned + self.spec.tasks - self.first_unallocated
        return min(startable, 1) if self.suspected_faulty else startable

    def covers(self, allocation: Allocation) -> bool:
        """Return whether the durable grant tells a later leader that this task may be on that machine."""
        return allocation.index < self.granted_below and (self.granted is None or allocation.machine in self.granted)

    def running(self) -> int:
        """Return how many tasks run, here and in another cluster."""
        return self.abroad_running + sum(1 for a in self.allocations.values() if a.state is AllocationState.RUNNING)

    def take(self) -> int | None:
        """Remove and return the next waiting task; the caller opens an allocation for it at once."""
        while self.returned:
            index = self.returned.pop()
            if not self.is_done(index) and index not in self.allocations:
                return index
        while self.first_unallocated < self.spec.tasks:
            index = self.first_unallocated
            self.first_unallocated += 1
            if not self.is_done(index) and index not in self.allocations:
                return index
        return None
