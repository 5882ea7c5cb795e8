"""Live jobs, what their teams use, and the only functions that change the state of a job or a place."""

from __future__ import annotations

from collections.abc import Iterator

from ..settings.platform import Team
from ..state_machines import ALLOCATION_TRANSITIONS, JOB_TRANSITIONS, AllocationState, JobState, check_transition
from ..wire.jobs import JobSpec
from .interning import InternTable
from .jobs import Allocation, Job
from .resources import to_micro_rounded_down
from .task_types import TaskType, _bucket
from .teams import TeamUsage, effective_limit


class JobRegistry:
    """All live jobs. The only writer of job and place states is here."""

    def __init__(self, teams: list[Team], zones: list[str]) -> None:
        self.teams = [
            TeamUsage(
                t.name,
                (to_micro_rounded_down(t.cpus), to_micro_rounded_down(t.gpus)),
                effective_limit(t),
            )
            for t in teams
        ]
        self.team_names = InternTable([t.name for t in teams])
        self.zones = InternTable(list(zones))
        self.machine_types = InternTable()
        self.images = InternTable()
        #: gigabytes of each image
        self.image_gb: list[float] = []
        self.jobs: dict[str, Job] = {}
        #: jobs all of whose tasks are done, until their final record is committed
        self.finishing: dict[str, Job] = {}
        #: machines on record that have not been proved since the takeover, for all jobs whose tasks may be on any
        self.anywhere: set[int] = set()
        #: by machine, the jobs that wait for its proof among others that they name
        self._suspected: dict[int, list[Job]] = {}
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
        index = self.images.index(name)
        if index == len(self.image_gb):
            self.image_gb.append(gigabytes)
        return index

    def classify(self, job: Job, now: float) -> int:
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
        check_transition(JOB_TRANSITIONS, job.state, new, job.spec.id)
        job.state = new
        job.live = new is JobState.WAITING or new is JobState.ACTIVE
        if new is JobState.WAITING:
            job.wait_since = now
        elif new is JobState.CLOSING:
            self.finishing[job.spec.id] = job
        self.changed = True

    def drop_if_settled(self, job: Job) -> bool:
        """A job that is over and has no place left is no longer kept in memory."""
        if job.state in (JobState.DONE, JobState.CANCELLED) and not job.allocations:
            self.jobs.pop(job.spec.id, None)
            return True
        return False

    def mark_done(self, job: Job, index: int, now: float) -> None:
        if job.is_done(index):
            return
        job.done[index >> 3] |= 1 << (index & 7)
        job.done_count += 1
        job.record_progress()
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

    def open_allocation(self, job: Job, index: int, machine: int, attempt: int, now: float) -> Allocation:
        allocation = Allocation(job, index, machine, attempt, now)
        assert index not in job.allocations, f"{job.spec.id}/{index} has a place already"
        job.allocations[index] = allocation
        use = self.teams[job.team].used
        use[0] += job.size[0]
        use[1] += job.size[1]
        if job.state is JobState.WAITING:
            self.move_job(job, JobState.ACTIVE, now)
        self.changed = True
        return allocation

    def move_allocation(self, allocation: Allocation, new: AllocationState, now: float) -> None:
        """The one function that changes a place's state; leaving the last one frees what it counted."""
        old = allocation.state
        if old is new and new is not AllocationState.SENT:
            return
        check_transition(ALLOCATION_TRANSITIONS, old, new, f"{allocation.job.spec.id}/{allocation.index}")
        allocation.state = new
        if new is AllocationState.RUNNING and allocation.run_at is None:
            allocation.run_at = now
        if new is not AllocationState.GONE:
            return
        job = allocation.job
        del job.allocations[allocation.index]
        use = self.teams[job.team].used
        use[0] -= job.size[0]
        use[1] -= job.size[1]
        if not job.is_done(allocation.index):
            job.returned.append(allocation.index)
        if not job.allocations and job.state is JobState.ACTIVE:
            self.move_job(job, JobState.WAITING, now)
        self.changed = True

    def add_possible_holders(self, job: Job, machines: set[int] | None, hi: int) -> None:
        """An earlier leader may have started tasks below `hi` on these machines (None: on any that is on record):
        they wait for proof."""
        job.unseen_below = job.fresh = hi
        # jobs that may be anywhere share one set: with one each, a takeover of 5000 machines held millions of entries
        job.possible_holders = self.anywhere if machines is None else machines
        for machine in machines or ():
            self._suspected.setdefault(machine, []).append(job)
        if not job.possible_holders:
            self._clear(job)

    def clear_possible_holder(self, machine: int) -> list[Job]:
        """A machine is proved. Returns the jobs of which no machine is left to prove."""
        settled = []
        if machine in self.anywhere:
            self.anywhere.discard(machine)
            if not self.anywhere:
                settled += [j for j in self.jobs.values() if j.possible_holders is self.anywhere]
        for job in self._suspected.pop(machine, ()):
            job.possible_holders.discard(machine)
            if not job.possible_holders:
                settled.append(job)
        for job in settled:
            self._clear(job)
        return settled

    def _clear(self, job: Job) -> None:
        """The tasks that nobody has seen are nowhere and wait like others."""
        job.possible_holders = set()
        unseen = range(job.unseen_below)
        # added to what came back meanwhile; `take` passes over what is listed twice
        job.returned += [i for i in reversed(unseen) if not job.is_done(i) and i not in job.allocations]
        job.unseen_below = 0
        self.changed = True

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
