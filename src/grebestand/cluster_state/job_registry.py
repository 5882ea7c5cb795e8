"""The registry of live jobs and their teams, and the only functions that change a job's or an allocation's state."""

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

#: How many task types are kept apart unless the policy says otherwise; the greedy plan's cost grows with their number.
DEFAULT_TYPE_BOUND = 24
#: How many tasks' results one progress record holds until the store's limit on values is known.
DEFAULT_CHUNK_BITS = 16384


class JobRegistry:
    """All live jobs, their teams, and the tables of names that they refer to by index.

    Times are in seconds of the leader's clock.
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
        #: Gigabytes of each image.
        self.image_gb: list[float] = []
        #: By id.
        self.jobs: dict[str, Job] = {}
        #: Jobs all of whose tasks are done, until their final record is committed.
        self.finishing: dict[str, Job] = {}
        #: Indices of recorded machines not reconciled since the failover, shared by all jobs whose tasks may be on any.
        self.unreconciled_machines: set[int] = set()
        #: By machine, the jobs that name it among their possible holders.
        self._jobs_by_possible_holder: dict[int, list[Job]] = {}
        self.types: list[TaskType] = []
        #: Index of the task type by the key of a job; several keys may share one.
        self._type_index: dict[tuple[object, ...], int] = {}
        self.type_bound = DEFAULT_TYPE_BOUND
        self.chunk_bits = DEFAULT_CHUNK_BITS
        #: Something changed since the scheduler last looked; and a job arrived since then.
        self.changed = False
        self.arrived = False

    # jobs -------------------------------------------------------------------------------------------------

    def add(self, spec: JobSpec, version: int, accepted_at: float, now: float) -> Job:
        """Add an accepted job.

        Args:
            spec: What was submitted.
            version: The store's revision of its live record.
            accepted_at: When it was accepted.
            now: The present time.
        """
        team = self.team_names.find(spec.team)
        if team is None:  # a team that the settings no longer name: nothing of it may run
            team = self.team_names.index(spec.team)
            self.teams.append(TeamUsage(spec.team, (0, 0), (0, 0)))
        job = Job(spec, version, accepted_at, team)
        job.zone = self.zones.index(spec.zone) if spec.zone else -1
        job.image = self.image(spec.image, spec.image_gb)
        job.type = self.classify(job, now)
        job.wait_since = job.started_at = now
        self.jobs[spec.id] = job
        self.changed = self.arrived = True
        return job

    def image(self, name: str, gigabytes: float) -> int:
        """Return the index of an image; its size is taken from whoever names it first."""
        index = self.images.index(name)
        if index == len(self.image_gb):
            self.image_gb.append(gigabytes)
        return index

    def move_job(self, job: Job, new: JobState, now: float) -> None:
        """Change a job's state; no other function does.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        if job.state is new:
            return
        check_transition(JOB_TRANSITIONS, job.state, new, job.spec.id)
        job.state = new
        job.live = new is JobState.WAITING or new is JobState.ACTIVE
        if new is JobState.WAITING:
            job.wait_since = now
        elif new is JobState.CLOSING:
            self.finishing[job.spec.id] = job
        self.changed = True

    def drop_if_settled(self, job: Job) -> bool:
        """Drop a job that is over and has no allocation left; return whether it was dropped."""
        if job.state in (JobState.DONE, JobState.CANCELLED) and not job.allocations:
            self.jobs.pop(job.spec.id, None)
            return True
        return False

    def waiting_jobs(self) -> Iterator[Job]:
        """Yield the live jobs that have waiting tasks."""
        for job in self.jobs.values():
            if job.live and job.waiting() > 0:
                yield job

    def mark_guaranteed(self) -> None:
        """Mark the jobs that their team's guarantee covers together with the team's earlier unfinished jobs."""
        needed_by_team: dict[int, list[int]] = {}
        for job in sorted(self.jobs.values(), key=lambda j: (j.accepted_at, j.spec.id)):
            if not job.live:
                continue
            guaranteed = self.teams[job.team].guaranteed
            needed = needed_by_team.setdefault(job.team, [0, 0])
            unfinished = job.unfinished()
            needed[0] += unfinished * job.size[0]
            needed[1] += unfinished * job.size[1]
            job.guaranteed = needed[0] <= guaranteed[0] and needed[1] <= guaranteed[1]

    # task types -------------------------------------------------------------------------------------------

    def classify(self, job: Job, now: float) -> int:
        """Return the index of the job's task type, which is made if there is none that fits.

        Types beyond `type_bound` would make the greedy plan expensive. From then on a job shares the smallest larger
        type, or else one whose sizes are bucketed more coarsely.
        """
        spec = job.spec
        machine_types = (
            frozenset(self.machine_types.index(name) for name in spec.types) if spec.types is not None else None
        )
        zone = job.zone if job.zone >= 0 else None
        rules: TypeRules = (spec.priority, spec.spot, machine_types, zone)
        key: tuple[object, ...] = (*rules, *size_buckets(job.size, STEPS_PER_OCTAVE))
        found = self._type_index.get(key)
        if found is None and len(self.types) >= self.type_bound:
            found = self._smallest_larger_type(rules, job)
            if found is None:
                key = (*rules, "coarse", *size_buckets(job.size, COARSE_STEPS_PER_OCTAVE))
                found = self._type_index.get(key)
        if found is None:
            found = self._type_index[key] = len(self.types)
            self.types.append(TaskType(key, job.rank, job.size, spec.spot, machine_types, zone, now))
        self.types[found].record_job(job.size, now)
        return found

    def _smallest_larger_type(self, rules: TypeRules, job: Job) -> int | None:
        """Return the index of the smallest type with these rules that is at least of the job's size in everything."""
        larger = [
            (task_type.size, index)
            for index, task_type in enumerate(self.types)
            if task_type.rules == rules and all(a <= b for a, b in zip(job.size, task_type.size, strict=True))
        ]
        return min(larger)[1] if larger else None

    # results ----------------------------------------------------------------------------------------------

    def mark_done(self, job: Job, index: int, now: float) -> None:
        """Record that a task is done, though not durably yet."""
        if job.is_done(index):
            return
        job.done[index >> 3] |= 1 << (index & 7)
        job.done_count += 1
        job.record_progress()
        self.changed = True

    def load_done(self, job: Job, offset: int, bits: bytes) -> None:
        """Record results read back from the store, which are done and durable.

        Args:
            job: The job.
            offset: The byte of `Job.done` that the bits begin at.
            bits: One bit for each task, the lowest bit of a byte first.
        """
        end = min(len(job.done), offset + len(bits))
        for i in range(offset, end):
            job.done[i] |= bits[i - offset]
            job.durable[i] |= bits[i - offset]
        tail_bits = job.spec.tasks & 7
        if tail_bits:  # bits past the last task mean nothing
            job.done[-1] &= (1 << tail_bits) - 1
            job.durable[-1] &= (1 << tail_bits) - 1
        job.done_count = int.from_bytes(job.done, "little").bit_count()

    # allocations ------------------------------------------------------------------------------------------

    def open_allocation(self, job: Job, index: int, machine: int, attempt: int, now: float) -> Allocation:
        """Open an allocation for a task that has none, and count it for its team; `machine` is an index."""
        allocation = Allocation(job, index, machine, attempt, now)
        assert index not in job.allocations, f"{job.spec.id}/{index} has an allocation already"
        job.allocations[index] = allocation
        used = self.teams[job.team].used
        used[0] += job.size[0]
        used[1] += job.size[1]
        if job.state is JobState.WAITING:
            self.move_job(job, JobState.ACTIVE, now)
        self.changed = True
        return allocation

    def move_allocation(self, allocation: Allocation, new: AllocationState, now: float) -> None:
        """Change an allocation's state; no other function does. One that is gone no longer counts for its team.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        old = allocation.state
        if old is new and new is not AllocationState.SENT:
            return
        check_transition(ALLOCATION_TRANSITIONS, old, new, f"{allocation.job.spec.id}/{allocation.index}")
        allocation.state = new
        if new is AllocationState.RUNNING and allocation.run_at is None:
            allocation.run_at = now
        if new is AllocationState.GONE:
            self._remove_allocation(allocation, now)

    def _remove_allocation(self, allocation: Allocation, now: float) -> None:
        job = allocation.job
        del job.allocations[allocation.index]
        used = self.teams[job.team].used
        used[0] -= job.size[0]
        used[1] -= job.size[1]
        if not job.is_done(allocation.index):
            job.returned.append(allocation.index)
        if not job.allocations and job.state is JobState.ACTIVE:
            self.move_job(job, JobState.WAITING, now)
        self.changed = True

    # possible holders -------------------------------------------------------------------------------------

    def add_possible_holders(self, job: Job, machines: set[int] | None, hi: int) -> None:
        """Record where an earlier leader may have started tasks of a job, which wait until that is known.

        Args:
            job: The job.
            machines: Indices of the machines; None for any that is on record.
            hi: Only tasks below this index may have been started.
        """
        job.unseen_below = job.first_unallocated = hi
        # Jobs that may be anywhere share one set: with one each, a failover with thousands of machines and jobs would
        # hold millions of entries.
        job.possible_holders = self.unreconciled_machines if machines is None else machines
        for machine in machines or ():
            self._jobs_by_possible_holder.setdefault(machine, []).append(job)
        if not job.possible_holders:
            self._release_unseen(job)

    def clear_possible_holder(self, machine: int) -> list[Job]:
        """Record that a machine is reconciled, and return the jobs that have no possible holder left."""
        settled = []
        if machine in self.unreconciled_machines:
            self.unreconciled_machines.discard(machine)
            if not self.unreconciled_machines:
                settled += [job for job in self.jobs.values() if job.possible_holders is self.unreconciled_machines]
        for job in self._jobs_by_possible_holder.pop(machine, ()):
            job.possible_holders.discard(machine)
            if not job.possible_holders:
                settled.append(job)
        for job in settled:
            self._release_unseen(job)
        return settled

    def _release_unseen(self, job: Job) -> None:
        """Have the tasks that no machine holds wait like others."""
        job.possible_holders = set()
        unseen = range(job.unseen_below)
        # added to what was returned meanwhile; `Job.take` passes over what is listed twice
        job.returned += [i for i in reversed(unseen) if not job.is_done(i) and i not in job.allocations]
        job.unseen_below = 0
        self.changed = True
