"""The registry of live jobs and their teams. Only its methods change the state of a job or an allocation."""

from __future__ import annotations

from collections.abc import Iterator

from ..settings.platform import Team
from ..state_machines import ALLOCATION_TRANSITIONS, JOB_TRANSITIONS, AllocationState, JobState, check_transition
from ..wire.jobs import JobSpec
from .interning import InternTable
from .jobs import Allocation, Job
from .resources import to_micro_rounded_down
from .task_types import COARSE_STEPS_PER_OCTAVE, STEPS_PER_OCTAVE, TaskType, TypeRules, size_buckets
from .teams import TeamUsage, effective_limit

#: Default maximum number of task types. The cost of the greedy plan grows with their number.
DEFAULT_MAX_TASK_TYPES = 24
#: Number of tasks whose results one progress record holds, until the state service's limit on values is known.
DEFAULT_CHUNK_BITS = 16384


class JobRegistry:
    """All live jobs, their teams, and the tables of names that jobs and machines refer to by index.

    All times are in seconds of the leader's clock.
    """

    def __init__(self, teams: list[Team], zones: list[str]) -> None:
        self.teams = [
            TeamUsage(
                team.name,
                (to_micro_rounded_down(team.cpus), to_micro_rounded_down(team.gpus)),
                effective_limit(team),
            )
            for team in teams
        ]
        self.team_names = InternTable([team.name for team in teams])
        self.zones = InternTable(list(zones))
        self.machine_types = InternTable()
        self.images = InternTable()
        #: Size of each image in gigabytes, by image index.
        self.image_gb: list[float] = []
        #: Jobs that are not over, and jobs that are over and still have allocations, by job id.
        self.jobs: dict[str, Job] = {}
        #: Jobs in state CLOSING by job id: all tasks are done, and the final record is not committed yet.
        self.closing_jobs: dict[str, Job] = {}
        #: Indices of recorded machines that have not been reconciled since the failover. All jobs whose tasks may be on
        #: any machine share this set as their `possible_holders`.
        self.unreconciled_machines: set[int] = set()
        #: Jobs whose own set of possible holders includes a machine, by machine index.
        self._jobs_by_possible_holder: dict[int, list[Job]] = {}
        self.task_types: list[TaskType] = []
        #: Index of the task type by classification key; several keys may map to one type.
        self._type_index: dict[tuple[object, ...], int] = {}
        self.max_task_types = DEFAULT_MAX_TASK_TYPES
        self.chunk_bits = DEFAULT_CHUNK_BITS
        #: Whether anything has changed, and whether a job has been added, since the scheduler's last pass.
        self.changed_since_scheduling = False
        self.job_added_since_scheduling = False

    # jobs -------------------------------------------------------------------------------------------------

    def add_job(self, spec: JobSpec, record_revision: int, accepted_at: float, now: float) -> Job:
        """Add an accepted job.

        Args:
            spec: The job as it was submitted.
            record_revision: The revision of the job's live record in the state service.
            accepted_at: When the job was accepted.
            now: The current time.
        """
        team = self.team_names.find(spec.team)
        if team is None:  # the team was removed from the settings, so its jobs may not run
            team = self.team_names.intern(spec.team)
            self.teams.append(TeamUsage(spec.team, (0, 0), (0, 0)))
        job = Job(spec, record_revision, accepted_at, team)
        job.zone_index = self.zones.intern(spec.zone) if spec.zone else -1
        job.image_index = self.image_index(spec.image, spec.image_gb)
        job.type_index = self.classify(job, now)
        job.waiting_since = job.last_allocation_at = now
        self.jobs[spec.id] = job
        self.changed_since_scheduling = self.job_added_since_scheduling = True
        return job

    def image_index(self, name: str, gigabytes: float) -> int:
        """Return the index of an image, which is added if it is new; later calls do not change the size."""
        index = self.images.intern(name)
        if index == len(self.image_gb):
            self.image_gb.append(gigabytes)
        return index

    def change_job_state(self, job: Job, new: JobState, now: float) -> None:
        """Change the state of a job. No other function may do so.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        if job.state is new:
            return
        check_transition(JOB_TRANSITIONS, job.state, new, job.spec.id)
        job.state = new
        job.is_live = new is JobState.WAITING or new is JobState.ACTIVE
        if new is JobState.WAITING:
            job.waiting_since = now
        elif new is JobState.CLOSING:
            self.closing_jobs[job.spec.id] = job
        self.changed_since_scheduling = True

    def remove_if_over(self, job: Job) -> bool:
        """Remove a job that is over and has no allocation left, and return whether the job was removed."""
        if job.state in (JobState.DONE, JobState.CANCELLED) and not job.allocations:
            self.jobs.pop(job.spec.id, None)
            return True
        return False

    def waiting_jobs(self) -> Iterator[Job]:
        """Yield the live jobs that have waiting tasks."""
        for job in self.jobs.values():
            if job.is_live and job.waiting_count() > 0:
                yield job

    def mark_guaranteed(self) -> None:
        """Mark the jobs that their team's guarantee covers.

        A guarantee is used up in the order in which the team's unfinished jobs were accepted.
        """
        needed_by_team: dict[int, list[int]] = {}
        for job in sorted(self.jobs.values(), key=lambda j: (j.accepted_at, j.spec.id)):
            if not job.is_live:
                continue
            guaranteed = self.teams[job.team_index].guaranteed
            needed = needed_by_team.setdefault(job.team_index, [0, 0])
            unfinished = job.unfinished_count()
            needed[0] += unfinished * job.task_size[0]
            needed[1] += unfinished * job.task_size[1]
            job.within_guarantee = needed[0] <= guaranteed[0] and needed[1] <= guaranteed[1]

    # task types -------------------------------------------------------------------------------------------

    def classify(self, job: Job, now: float) -> int:
        """Return the index of the job's task type, and create the type if there is none for such jobs.

        Once there are `max_task_types`, a job is assigned to the smallest existing type that is large enough, or else
        to a type with coarser size buckets, since the cost of the greedy plan grows with the number of types.
        """
        spec = job.spec
        machine_types = (
            frozenset(self.machine_types.intern(name) for name in spec.types) if spec.types is not None else None
        )
        zone = job.zone_index if job.zone_index >= 0 else None
        rules: TypeRules = (spec.priority, spec.spot, machine_types, zone)
        key: tuple[object, ...] = (*rules, *size_buckets(job.task_size, STEPS_PER_OCTAVE))
        found = self._type_index.get(key)
        if found is None and len(self.task_types) >= self.max_task_types:
            found = self._smallest_larger_type(rules, job)
            if found is None:
                key = (*rules, "coarse", *size_buckets(job.task_size, COARSE_STEPS_PER_OCTAVE))
                found = self._type_index.get(key)
        if found is None:
            found = self._type_index[key] = len(self.task_types)
            self.task_types.append(TaskType(key, job.priority_rank, job.task_size, spec.spot, machine_types, zone, now))
        self.task_types[found].record_job(job.task_size, now)
        return found

    def _smallest_larger_type(self, rules: TypeRules, job: Job) -> int | None:
        """Return the index of the smallest type with these rules whose slots are large enough for the job's tasks."""
        larger = [
            (task_type.size, index)
            for index, task_type in enumerate(self.task_types)
            if task_type.rules == rules and all(a <= b for a, b in zip(job.task_size, task_type.size, strict=True))
        ]
        return min(larger)[1] if larger else None

    # results ----------------------------------------------------------------------------------------------

    def mark_done(self, job: Job, index: int, now: float) -> None:
        """Record that a task is done; its result is not durable yet."""
        if job.is_done(index):
            return
        job.done_bits[index >> 3] |= 1 << (index & 7)
        job.done_count += 1
        job.record_progress()
        self.changed_since_scheduling = True

    def restore_done_bits(self, job: Job, offset: int, bits: bytes) -> None:
        """Mark tasks as done and durable, as read from a progress record in the state service.

        Args:
            job: The job.
            offset: The index of the byte of `Job.done_bits` at which the record begins.
            bits: One bit for each task, beginning with the lowest bit of each byte.
        """
        end = min(len(job.done_bits), offset + len(bits))
        for i in range(offset, end):
            job.done_bits[i] |= bits[i - offset]
            job.durable_bits[i] |= bits[i - offset]
        tail_bits = job.spec.tasks & 7
        if tail_bits:  # the last byte may have bits beyond the last task
            job.done_bits[-1] &= (1 << tail_bits) - 1
            job.durable_bits[-1] &= (1 << tail_bits) - 1
        job.done_count = int.from_bytes(job.done_bits, "little").bit_count()

    # allocations ------------------------------------------------------------------------------------------

    def open_allocation(self, job: Job, index: int, machine: int, attempt: int, now: float) -> Allocation:
        """Create an allocation for a task, and add the task's resources to the usage of its team.

        Args:
            job: The job.
            index: The index of a task of the job that has no allocation.
            machine: The index of the machine.
            attempt: The attempt number.
            now: The current time.
        """
        allocation = Allocation(job, index, machine, attempt, now)
        assert index not in job.allocations, f"{job.spec.id}/{index} has an allocation already"
        job.allocations[index] = allocation
        used = self.teams[job.team_index].used
        used[0] += job.task_size[0]
        used[1] += job.task_size[1]
        if job.state is JobState.WAITING:
            self.change_job_state(job, JobState.ACTIVE, now)
        self.changed_since_scheduling = True
        return allocation

    def change_allocation_state(self, allocation: Allocation, new: AllocationState, now: float) -> None:
        """Change the state of an allocation. No other function may do so.

        An allocation that changes to GONE is removed from its job and from the usage of its team.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        old = allocation.state
        if old is new and new is not AllocationState.SENT:
            return
        check_transition(ALLOCATION_TRANSITIONS, old, new, f"{allocation.job.spec.id}/{allocation.task_index}")
        allocation.state = new
        if new is AllocationState.RUNNING and allocation.running_since is None:
            allocation.running_since = now
        if new is AllocationState.GONE:
            self._remove_allocation(allocation, now)

    def _remove_allocation(self, allocation: Allocation, now: float) -> None:
        job = allocation.job
        del job.allocations[allocation.task_index]
        used = self.teams[job.team_index].used
        used[0] -= job.task_size[0]
        used[1] -= job.task_size[1]
        if not job.is_done(allocation.task_index):
            job.requeued_tasks.append(allocation.task_index)
        if not job.allocations and job.state is JobState.ACTIVE:
            self.change_job_state(job, JobState.WAITING, now)
        self.changed_since_scheduling = True

    # possible holders -------------------------------------------------------------------------------------

    def add_possible_holders(self, job: Job, machines: set[int] | None, end_index: int) -> None:
        """Record on which machines tasks of a job that an earlier leader started may run.

        The tasks are not started again before these machines are reconciled.

        Args:
            job: The job.
            machines: Indices of the machines; None for all recorded machines.
            end_index: Only tasks with an index below this one may have been started.
        """
        job.unseen_tasks_below = job.first_unallocated = end_index
        # Jobs whose tasks may be on any machine share one set. With a set for each job, a failover with thousands of
        # machines and jobs would create millions of entries.
        job.possible_holders = self.unreconciled_machines if machines is None else machines
        for machine in machines or ():
            self._jobs_by_possible_holder.setdefault(machine, []).append(job)
        if not job.possible_holders:
            self._release_unseen(job)

    def clear_possible_holder(self, machine: int) -> list[Job]:
        """Record that a machine is reconciled, and return the jobs that now have no possible holder left."""
        released = []
        if machine in self.unreconciled_machines:
            self.unreconciled_machines.discard(machine)
            if not self.unreconciled_machines:
                released += [job for job in self.jobs.values() if job.possible_holders is self.unreconciled_machines]
        for job in self._jobs_by_possible_holder.pop(machine, ()):
            job.possible_holders.discard(machine)
            if not job.possible_holders:
                released.append(job)
        for job in released:
            self._release_unseen(job)
        return released

    def _release_unseen(self, job: Job) -> None:
        """Let the tasks wait for placement that none of the possible holders has reported."""
        job.possible_holders = set()
        unseen = range(job.unseen_tasks_below)
        # appended, as tasks may have been returned meanwhile; `Job.take_waiting_task` skips indices listed twice
        job.requeued_tasks += [i for i in reversed(unseen) if not job.is_done(i) and i not in job.allocations]
        job.unseen_tasks_below = 0
        self.changed_since_scheduling = True
