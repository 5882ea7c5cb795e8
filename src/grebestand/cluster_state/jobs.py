"""Live jobs, and allocations: the attempts of their tasks on machines."""

from __future__ import annotations

import math

from ..state_machines import AllocationState, JobState
from ..wire.jobs import PRIORITIES, JobSpec, Kind, task_name
from ..wire.remote_assignment import RemoteAssignment
from .resources import task_resources

#: Value of `Allocation.sent_sequence` while the start command has to be resent; sequence numbers are never negative.
START_LOST = -1
#: Value of `Allocation.reported_sequence` until a heartbeat lists the task.
NOT_REPORTED = -1


class Allocation:
    """One attempt of a task on one machine.

    An allocation counts against all limits until the attempt is known to have ended, since the task may still run. All
    times are in seconds of the leader's clock.
    """

    __slots__ = (
        "attempt",
        "decided_at",
        "epoch",
        "held_for_gang_images",
        "is_first_attempt",
        "job",
        "keeps_fetching",
        "machine_index",
        "name",
        "reported_sequence",
        "running_since",
        "sent_epoch",
        "sent_sequence",
        "start_sent_at",
        "state",
        "stop_grace_s",
        "stop_reason",
        "stop_sent_at",
        "task_index",
    )  # fmt: skip

    def __init__(self, job: Job, task_index: int, machine_index: int, attempt: int, now: float) -> None:
        self.job = job
        #: Index of the task in the job.
        self.task_index = task_index
        #: Name of the task in heartbeats and commands.
        self.name = task_name(job.spec.id, task_index)
        #: Index of the machine in the inventory.
        self.machine_index = machine_index
        self.attempt = attempt
        self.state = AllocationState.QUEUED
        #: The worker's epoch that the allocation belongs to. The worker kills its tasks when an epoch ends.
        self.epoch = 0
        #: Epoch and sequence number of the heartbeat whose response carried the start command.
        self.sent_epoch = 0
        self.sent_sequence = 0
        #: Sequence number of the newest heartbeat that listed the task.
        self.reported_sequence = NOT_REPORTED
        #: When the scheduler placed the task.
        self.decided_at = now
        #: Whether the task had no allocation before, so that it does not resume from a checkpoint.
        self.is_first_attempt = False
        #: Whether the start command is held back until the machines of the gang's other tasks have the image.
        self.held_for_gang_images = False
        #: Whether the gang's attempt has failed and the allocation stays only until its machine has fetched the image,
        #: for the gang's next attempt.
        self.keeps_fetching = False
        #: When a heartbeat first reported the task as running.
        self.running_since: float | None = None
        #: Why the task is to stop (None: no stop is requested), and how many seconds it has to save a checkpoint.
        self.stop_reason: str | None = None
        self.stop_grace_s = 0.0
        self.stop_sent_at = -math.inf
        #: When a response last carried the start command.
        self.start_sent_at = math.inf

    def record_start_command(self, epoch: int, sequence: int, now: float) -> None:
        """Record that the response to a heartbeat of the machine carries the start command.

        Args:
            epoch: The epoch of the heartbeat.
            sequence: The sequence number of the heartbeat.
            now: The current time, in seconds.
        """
        self.epoch = self.sent_epoch = epoch
        self.sent_sequence = sequence
        self.start_sent_at = now

    def request_stop(self, reason: str, grace_s: float) -> None:
        """Record why the task is to stop, and how many seconds it has to save a checkpoint."""
        self.stop_reason, self.stop_grace_s = reason, grace_s

    def record_lost_start(self) -> None:
        """Record that the start command did not reach the worker, so that the next response carries it again."""
        self.sent_sequence = START_LOST


class GangStartTimeline:
    """When the last task of a gang's attempt reached each stage of its start, in seconds of the leader's clock.

    The times are used only to log how long each stage took.
    """

    __slots__ = ("attempt", "capacity_free_since", "grant_durable_at", "placed_at", "reported_at", "start_sent_at")

    def __init__(self, attempt: int, capacity_free_since: float, placed_at: float) -> None:
        """Create the timeline of a gang that has just been placed.

        Args:
            attempt: The attempt number shared by all allocations of the gang.
            capacity_free_since: The earliest time from which the capacity for the whole gang may have been free.
            placed_at: When the gang was placed.
        """
        self.attempt = attempt
        self.capacity_free_since = capacity_free_since
        #: When the gang was placed, its grant became durable, the last start command was sent, and the last task was
        #: first reported by a heartbeat.
        self.placed_at = self.grant_durable_at = self.start_sent_at = self.reported_at = placed_at


class Job:
    """A live job.

    To save memory with large arrays, only tasks with an allocation have an object. The others are represented by bits
    (`done_bits`, `durable_bits`), a cursor (`first_unallocated`) and a list (`requeued_tasks`). All times are in
    seconds of the leader's clock.
    """

    __slots__ = (
        "accepted_at",
        "allocations",
        "avoided_machines",
        "done_bits",
        "done_count",
        "durable_bits",
        "failed_rounds",
        "first_unallocated",
        "gang_start_timeline",
        "granted_machines",
        "granted_tasks_below",
        "has_progress",
        "image_index",
        "is_guest",
        "is_live",
        "last_allocation_at",
        "last_failed_at",
        "last_preempted_others_at",
        "max_run_before_failure_s",
        "may_answer_until",
        "objective_deadlines",
        "origin_silent",
        "pending_reason",
        "possible_holders",
        "preemption_count",
        "priority_rank",
        "recent_run_times",
        "record_revision",
        "remote_assignment",
        "remote_running_count",
        "requeued_tasks",
        "retry_at",
        "runs_remotely",
        "spec",
        "start_logged",
        "state",
        "suspected_faulty",
        "task_size",
        "team_index",
        "type_index",
        "unsaved_chunks",
        "unseen_tasks_below",
        "waiting_since",
        "within_guarantee",
        "zone_index",
    )  # fmt: skip

    def __init__(self, spec: JobSpec, record_revision: int, accepted_at: float, team_index: int) -> None:
        """Create a job without allocations and results.

        Args:
            spec: The job as it was submitted.
            record_revision: The revision of the job's live record in the state service.
            accepted_at: When the job was accepted.
            team_index: The index of the job's team in `JobRegistry.teams`.
        """
        self.spec = spec
        self.record_revision = record_revision
        self.accepted_at = accepted_at
        #: For a cancelled job: the time after which machines that still hold a task of the job get no responses. Their
        #: leases then expire, and with them the tasks, before the cancellation's deadline.
        self.may_answer_until = math.inf
        self.team_index = team_index
        #: Resources of one task.
        self.task_size = task_resources(spec)
        #: Rank of the job's priority; 0 is the highest.
        self.priority_rank = PRIORITIES.index(spec.priority)
        #: Indices of the job's task type, zone (-1: any) and image in the registry's tables.
        self.type_index = -1
        self.zone_index = -1
        self.image_index = -1
        self.state = JobState.WAITING
        #: Whether the state is WAITING or ACTIVE; cached, since each scheduling pass reads it many times for each job.
        self.is_live = True
        #: One bit for each task: whether the task is done, and whether its result is stored in the state service.
        self.done_bits = bytearray((spec.tasks + 7) // 8)
        self.durable_bits = bytearray((spec.tasks + 7) // 8)
        self.done_count = 0
        #: Since when a chunk of `done_bits` has had results that are not durable, by the chunk's index.
        self.unsaved_chunks: dict[int, float] = {}
        #: Allocations by task index.
        self.allocations: dict[int, Allocation] = {}
        #: Tasks from this index on have never had an allocation, neither in this term nor in an earlier one.
        self.first_unallocated = 0
        #: Indices below `first_unallocated` of tasks whose allocation ended. An index may be listed twice, and the task
        #: may be done or allocated again by now.
        self.requeued_tasks: list[int] = []
        #: Machine index and run time in seconds of the most recently finished tasks.
        self.recent_run_times: list[tuple[int, float]] = []
        #: The start of a gang that was placed and of which not all tasks run yet; otherwise None.
        self.gang_start_timeline: GangStartTimeline | None = None
        #: The assignment to another cluster from the job's live record, and the number of tasks that run there.
        self.remote_assignment: RemoteAssignment | None = None
        self.remote_running_count = 0
        #: Whether another cluster runs the job or may yet accept it. No task of the job may start here meanwhile.
        self.runs_remotely = False
        #: Whether the job belongs to another cluster, and whether that cluster has not asked about the job lately. No
        #: further task of the job starts while the other cluster is silent.
        self.is_guest = False
        self.origin_silent = False
        #: Number of rounds in which tasks of the job have failed, the time of the last failure, and the longest run
        #: time before a failure, in seconds.
        self.failed_rounds = 0
        self.last_failed_at = -math.inf
        self.max_run_before_failure_s = 0.0
        #: Whether the job fails on whichever machine it is started. Only one of its tasks, or the gang, is then tried
        #: at a time.
        self.suspected_faulty = False
        #: Whether any task of the job was completed or saved a checkpoint.
        self.has_progress = False
        #: Number of preemptions of the whole gang.
        self.preemption_count = 0
        #: When the job failed on a machine, by machine index.
        self.avoided_machines: dict[int, float] = {}
        #: No task of the job is placed before this time.
        self.retry_at = 0.0
        #: The durable grant: tasks with an index below `granted_tasks_below` may have been started on these machines
        #: (None: on any). After a failover the next leader looks for the job's tasks there.
        self.granted_machines: set[int] | None = set()
        self.granted_tasks_below = 0
        #: Indices of unreconciled machines that may run tasks started by an earlier leader; such tasks have an index
        #: below `unseen_tasks_below`.
        self.possible_holders: set[int] = set()
        self.unseen_tasks_below = 0
        #: Whether the guarantee of the job's team covers the job.
        self.within_guarantee = False
        self.waiting_since = accepted_at
        #: When the job has to be done to meet each of its objectives; None until computed.
        self.objective_deadlines: list[float] | None = None
        #: When a task of the job last got an allocation.
        self.last_allocation_at = accepted_at
        #: When the scheduler last preempted other jobs for this job, or tried to.
        self.last_preempted_others_at = -math.inf
        #: Why tasks of the job wait, as shown to users.
        self.pending_reason = ""
        #: Whether the start of the job has been logged.
        self.start_logged = False

    def record_progress(self) -> None:
        """Record that a task was completed or saved a checkpoint, which shows that the job is not faulty."""
        self.has_progress = True
        self.suspected_faulty = False

    def is_done(self, index: int) -> bool:
        """Return whether a task is done."""
        return bool(self.done_bits[index >> 3] >> (index & 7) & 1)

    def is_durable(self, index: int) -> bool:
        """Return whether a task is done and its result is durable."""
        return bool(self.durable_bits[index >> 3] >> (index & 7) & 1)

    @property
    def is_gang(self) -> bool:
        """Whether all tasks of the job have to run at the same time."""
        return self.spec.kind is Kind.GANG

    def unfinished_count(self) -> int:
        """Return the number of tasks that are not done."""
        return self.spec.tasks - self.done_count

    def waiting_count(self) -> int:
        """Return the number of tasks that are not done and have no allocation.

        Returns 0 while no task may start, since the job is over, runs in another cluster or belongs to a silent one.
        """
        if not self.is_live or self.runs_remotely or self.origin_silent:
            return 0
        return max(0, self.spec.tasks - self.done_count - len(self.allocations))

    def wanted_count(self) -> int:
        """Return the number of waiting tasks that the scheduler should find capacity for."""
        return min(self.waiting_count(), 1) if self.suspected_faulty and not self.is_gang else self.waiting_count()

    def startable_count(self) -> int:
        """Return the number of waiting tasks that are known not to run on any machine.

        After a failover, tasks that an earlier leader may have started cannot be placed until the possible holders are
        reconciled. Tasks that were reported since, or that no grant covers, can. If the placement of a task depends on
        the zones of the job's other tasks, no task can be placed, since an unreported task may run in any zone.
        """
        if self.suspected_faulty and not self.is_gang and self.allocations:
            return 0
        if not self.possible_holders or not self.is_live:
            return self.wanted_count()
        if self.is_gang or self.spec.one_zone or self.spec.spread:
            return 0
        returned = sum(1 for i in set(self.requeued_tasks) if not self.is_done(i) and i not in self.allocations)
        startable = returned + self.spec.tasks - self.first_unallocated
        return min(startable, 1) if self.suspected_faulty else startable

    def grant_covers(self, allocation: Allocation) -> bool:
        """Return whether the durable grant includes the allocation, so that a later leader looks for the task there."""
        return allocation.task_index < self.granted_tasks_below and (
            self.granted_machines is None or allocation.machine_index in self.granted_machines
        )

    def running_count(self) -> int:
        """Return the number of running tasks, in this cluster and in another one."""
        return self.remote_running_count + sum(
            1 for a in self.allocations.values() if a.state is AllocationState.RUNNING
        )

    def take_waiting_task(self) -> int | None:
        """Remove and return the index of the next waiting task, or None if no task waits.

        The caller has to open an allocation for the task at once.
        """
        while self.requeued_tasks:
            index = self.requeued_tasks.pop()
            if not self.is_done(index) and index not in self.allocations:
                return index
        while self.first_unallocated < self.spec.tasks:
            index = self.first_unallocated
            self.first_unallocated += 1
            if not self.is_done(index) and index not in self.allocations:
                return index
        return None
