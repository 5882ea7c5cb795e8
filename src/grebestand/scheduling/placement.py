"""Placement of single tasks: full passes over all machines, and filling one machine after its heartbeat."""

from __future__ import annotations

import logging
from collections.abc import Generator
from operator import attrgetter, itemgetter
from typing import NamedTuple

from ..cluster_state.jobs import Allocation, Job
from ..cluster_state.machine import Machine
from ..cluster_state.resources import Resources, fits, tasks_that_fit
from ..log_events import LogEvent
from ..wire.jobs import PRIORITIES
from .image_locality import ImageLocality
from .preemption import Preemption
from .scheduling_context import MACHINES_PER_STEP, STARTS_PER_STEP, SchedulingComponent, SchedulingContext, Steps

log = logging.getLogger(__name__)

#: a worker's heartbeat names each of its tasks and has to stay below 64 KiB
MAX_ALLOCATIONS_PER_MACHINE = 400
#: a machine whose last task failed gets one task at a time: a full load would be lost if it failed again
MAX_ALLOCATIONS_ON_PROBATION = 1
#: machines that one pass clears for one job, so that a single job does not displace work all over the cluster
MAX_MACHINES_CLEARED = 8
#: candidates that are examined for that: some have changed since they were listed
MAX_MACHINES_TRIED = 200
#: how long a cleared machine stays reserved; its tasks have to save and to be reported as gone within this time
CLEARED_RESERVATION_S = 8.0
#: a machine that takes this many times as long as others is considered only behind them
SLOW_MACHINE_RATIO = 1.25
#: change count and allowance of a machine that was not examined yet; real change counts are not negative
NOT_EXAMINED = (-1, 0)


class SlotOption(NamedTuple):
    """Slots for a job's tasks on one machine. A tuple rather than a dataclass: a pass makes one for each machine."""

    #: sorts options, the best first
    preference: tuple[object, ...]
    tasks: int
    machine: Machine


class Placement(SchedulingComponent):
    """Gives the waiting tasks of jobs that are not gangs slots on machines."""

    def __init__(self, context: SchedulingContext, images: ImageLocality, preemption: Preemption) -> None:
        super().__init__(context)
        self.images = images
        self.preemption = preemption
        #: types with waiting tasks at the start of the last full pass
        self.blocked_types: set[int] = set()
        #: jobs that waited at the end of the last full pass, in order of service
        self._queue: list[Job] = []
        #: CPUs (millionths) of the smallest task among them
        self._smallest_cpus = 0
        #: task sizes for which this pass found no usable slot, by type, image and whether the job has aged
        self._sizes_without_option: dict[tuple[int, int, bool], Resources] = {}
        #: task sizes for which no template has a slot, whatever the image, by type and whether the job has aged
        self._sizes_without_slot: dict[tuple[int, bool], Resources] = {}
        #: machines where this pass found tasks to preempt, the cheapest last, by type and by the team that reclaims
        #: its guarantee; a machine is removed when a job uses it
        self._machines_to_clear: dict[tuple[int, int], list[Machine]] = {}
        #: how many tasks templates admit, by type and whether the job has aged: by machine, with its change count
        self._allowances: dict[tuple[int, bool], dict[int, tuple[int, int]]] = {}

    def begin(self) -> None:
        """Start a full pass. Cached allowances stay valid as long as the machine's change count is the same."""
        blocked_types = {j.type for j in self.registry.waiting_jobs()}
        if blocked_types != self.blocked_types:
            self.forget()
        self.blocked_types = blocked_types
        self._sizes_without_option, self._sizes_without_slot = {}, {}
        self._machines_to_clear = {}

    def end(self, waiting: list[Job]) -> None:
        """Finish a full pass.

        Args:
            waiting: jobs that the pass looked at, in order of service. Capacity that heartbeats free until the next
                pass goes to those that still wait.
        """
        self._queue = [j for j in waiting if not j.gang and j.waiting() > 0]
        self._smallest_cpus = min((j.size[0] for j in self._queue), default=0)

    def forget(self) -> None:
        """Drop cached allowances: templates have changed, or the types whose spare slots may be borrowed."""
        self._allowances = {}

    def fill(self, machine: Machine, now: float) -> None:
        """Fill the free capacity of a machine after its heartbeat, in the order of the last full pass.

        With hundreds of machines a full pass at each heartbeat would take more than a whole core. Gangs, and arrays
        whose tasks depend on where the others are, wait for the next full pass.
        """
        if not self._queue or machine.free[0] < self._smallest_cpus or not machine.news:
            return
        if machine.reserved_for is not None or not self.inventory.is_schedulable(machine, now):
            return
        # what did not fit here in the last pass fits only once something on this machine has changed
        machine.news = False
        queue_outdated = False
        refused: dict[tuple[int, bool], Resources] = {}
        for job in self._queue:
            if job.size[0] > machine.free[0] or not job.live or job.spec.one_zone or job.spec.spread:
                continue
            key = job.type, self._has_aged(job, now)
            if key in refused and fits(refused[key], job.size):
                continue
            if self.context.features.veto(job, now) is not None:
                continue
            wanted = self._startable_tasks(job)
            if wanted <= 0:
                queue_outdated = queue_outdated or job.waiting() == 0
                continue
            if now < job.retry_at or not self.allowed(job, machine):
                continue
            if not self.images.worth_fetching(job, machine, now):
                continue
            slots = self._slots_for(job, machine, now)
            if slots > 0:
                self._start_tasks(job, machine, min(wanted, slots), now)
            else:
                refused[key] = job.size
        if queue_outdated:
            self._queue = [j for j in self._queue if j.waiting() > 0]

    def place(self, job: Job, roomy: list[Machine], ready: list[Machine], now: float, has_reserved: bool) -> Steps:
        """Start a job's waiting tasks where there are slots, and preempt other work for the rest if it may.

        Args:
            job: any job that is not a gang.
            roomy: usable machines whose free capacity may suffice for a task.
            ready: all usable machines, as candidates for preemption.
            now: seconds on the leader's clock.
            has_reserved: whether machines are reserved for this job.
        """
        if self._startable_tasks(job) <= 0:
            job.why_waiting = "team limit"
            return
        turn = self.context.slice_number
        options = yield from self._find_options(job, roomy, now, has_reserved)
        options.sort(key=attrgetter("preference"))
        if job.spec.one_zone and options:
            zone = self._zone_for(job, options)
            options = [option for option in options if option.machine.zone == zone]
        unplaced = yield from self._start_on_options(job, options, turn, now)
        if unplaced > 0:
            job.why_waiting = "no slot"
            yield from self._preempt_for(job, ready, unplaced, now)

    def _find_options(
        self, job: Job, roomy: list[Machine], now: float, has_reserved: bool
    ) -> Generator[None, None, list[SlotOption]]:
        """Return the machines that have slots for the job, in the order of `roomy`."""
        options: list[SlotOption] = []
        aged = self._has_aged(job, now)
        # templates admit types, whatever their tasks' sizes: one lookup serves all jobs of a type
        allowances = self._cached_table(self._allowances, (job.type, aged))
        if not has_reserved and self._known_without_option(job, aged):
            return options
        any_slot = False
        # the loop over all machines for each job: inlined lookups rather than calls, as most machines are skipped
        for examined, machine in enumerate(roomy, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            if job.size[0] > machine.free[0]:
                continue
            if has_reserved and machine.reserved_for == job.spec.id:
                tasks = self._slots_for(job, machine, now)
            else:
                change_count, tasks = allowances.get(machine.index, NOT_EXAMINED)
                if change_count != machine.change_count:
                    tasks = self._allowance(job.type, job.rank, aged, machine)
                    allowances[machine.index] = machine.change_count, tasks
                if tasks > 0:
                    tasks = min(tasks, tasks_that_fit(job.size, machine.free))
            if tasks > 0:
                any_slot = True
                if self.allowed(job, machine) and self.images.worth_fetching(job, machine, now):
                    options.append(SlotOption(self.preference(job, machine), tasks, machine))
        if not any_slot:
            self._sizes_without_slot[job.type, aged] = job.size
        elif not options and not job.avoid:
            self._sizes_without_option[job.type, job.image, aged] = job.size
        return options

    def _known_without_option(self, job: Job, aged: bool) -> bool:
        """Return whether this pass has found no slot for a similar job whose tasks were no larger."""
        without_option = self._sizes_without_option.get((job.type, job.image, aged))
        if without_option and fits(without_option, job.size):
            return True
        without_slot = self._sizes_without_slot.get((job.type, aged))
        return without_slot is not None and fits(without_slot, job.size)

    def _zone_for(self, job: Job, options: list[SlotOption]) -> int:
        """Return the zone of a job that is bound to one: where its tasks are, or else where most of them fit."""
        occupied = next(iter(self._zone_counts(job)), None)
        if occupied is not None:
            return occupied
        slots_by_zone: dict[int, int] = {}
        for option in options:
            zone = option.machine.zone
            slots_by_zone[zone] = slots_by_zone.get(zone, 0) + option.tasks
        return max(slots_by_zone, key=lambda zone: slots_by_zone[zone])

    def _zone_counts(self, job: Job) -> dict[int, int]:
        """Return how many of the job's tasks are in each zone."""
        counts: dict[int, int] = {}
        for allocation in job.allocations.values():
            machine = self.inventory.at(allocation.machine)
            if machine is not None:
                counts[machine.zone] = counts.get(machine.zone, 0) + 1
        return counts

    def _start_on_options(
        self, job: Job, options: list[SlotOption], turn: int, now: float
    ) -> Generator[None, None, int]:
        """Start waiting tasks on the options in order.

        Args:
            job: the job to start tasks of.
            options: machines with slots, the best first.
            turn: the turn in which they were looked up; in a later one each is checked again.
            now: seconds on the leader's clock.

        Returns:
            How many tasks could start but found no slot.
        """
        # from here on the present state counts, not that of the search
        zone_counts = self._zone_counts(job) if job.spec.spread else {}
        max_per_zone = -(-job.spec.tasks // 2)
        placed = started_in_step = 0
        wanted = self._startable_tasks(job)
        for _, tasks, machine in options:
            if placed >= wanted:
                break
            if started_in_step >= STARTS_PER_STEP:
                started_in_step = 0
                yield
            if self.context.slice_number != turn:
                tasks = self._slots_still_free(job, machine, now)
                wanted = placed + self._startable_tasks(job)
                if job.spec.spread:
                    zone_counts = self._zone_counts(job)
            if job.spec.spread:
                tasks = min(tasks, max_per_zone - zone_counts.get(machine.zone, 0))
            started = self._start_tasks(job, machine, max(0, min(tasks, wanted - placed)), now)
            zone_counts[machine.zone] = zone_counts.get(machine.zone, 0) + started
            placed += started
            started_in_step += started
        if placed and log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("tasks_placed", job_id=job.spec.id, tasks=placed, waiting=job.waiting()))
        return wanted - placed

    def _start_tasks(self, job: Job, machine: Machine, count: int, now: float) -> int:
        """Start up to `count` waiting tasks of the job on a machine, and return how many were started."""
        for started in range(count):
            fresh = job.first_unallocated
            index = job.take()
            if index is None:
                return started
            job.started_at = now
            allocation = self.dispatch.start(job, index, machine, self.dispatch.next_attempt(), now)
            allocation.first = job.first_unallocated > fresh
        return count

    def allowed(self, job: Job, machine: Machine) -> bool:
        """Return whether the job's constraints let it run on the machine at all, whatever is free there."""
        kinds = self.registry.types[job.type].machine_types
        return (
            (job.spec.spot or not machine.spot)
            and (kinds is None or machine.kind in kinds)
            and (job.zone < 0 or job.zone == machine.zone)
            and (machine.reserved_for is None or machine.reserved_for == job.spec.id)
            and (machine.index not in job.avoid or not job.has_progress)
        )

    def preference(self, job: Job, machine: Machine) -> tuple[object, ...]:
        """Return a sort key: the machine with the smallest one is best for the job."""
        has_own_slot = (
            machine.in_accept_group
            and job.type < len(machine.template)
            and machine.template[job.type] > machine.slots_used(job.type)
        )
        heartbeats_until_fetched = int(self.images.fetch_s(job, machine) / self.inventory.report_s)
        return (
            machine.index in job.avoid,  # a start elsewhere shows whether the job or the machine is at fault
            heartbeats_until_fetched,
            not has_own_slot,
            machine.slowness > SLOW_MACHINE_RATIO,
            job.image not in machine.images,
            not machine.spot if job.spec.spot else machine.spot,
            machine.rank,
            -machine.used[0],
            machine.index,
        )

    def _startable_tasks(self, job: Job) -> int:
        """Return how many tasks may start now within the team's limit, counting those that may run anywhere."""
        team = self.registry.teams[job.team]
        if not job.live or not team.left_to(job.spec.id):
            return 0
        return min(job.startable(), team.headroom(job.size))

    def _has_aged(self, job: Job, now: float) -> bool:
        """Return whether the job has waited for a period, so that machines of the reject group take it as well."""
        return now - job.wait_since >= self.policy_values.period_s

    def _slots_still_free(self, job: Job, machine: Machine, now: float) -> int:
        """Return how many tasks a machine takes now that was found suitable in an earlier turn."""
        if not self.inventory.is_schedulable(machine, now) or not self.allowed(job, machine):
            return 0
        return self._slots_for(job, machine, now) if self.images.worth_fetching(job, machine, now) else 0

    def _slots_for(self, job: Job, machine: Machine, now: float) -> int:
        """Return how many of the job's tasks the machine takes now.

        This is the paper's rule with two additions: reserved machines take what fits, and spare slots are lent.
        """
        fitting = tasks_that_fit(job.size, machine.free)
        if fitting <= 0:
            return 0
        if machine.reserved_for == job.spec.id:
            return min(fitting, self._max_new_tasks(machine))
        return min(fitting, self._allowance(job.type, job.rank, self._has_aged(job, now), machine))

    @staticmethod
    def _max_new_tasks(machine: Machine) -> int:
        """Return how many more tasks a machine may get, whatever its template and capacity."""
        limit = MAX_ALLOCATIONS_ON_PROBATION if machine.errors else MAX_ALLOCATIONS_PER_MACHINE
        return limit - len(machine.allocations)

    def _allowance(self, task_type: int, rank: int, aged: bool, machine: Machine) -> int:
        """Return how many more tasks of a type the machine's template and group admit, whatever their size."""
        limit = self._max_new_tasks(machine)
        if not machine.in_accept_group:
            return limit if aged or machine.rank == 0 else 0
        own_slots = machine.template[task_type] if task_type < len(machine.template) else 0
        free_own_slots = own_slots - machine.slots_used(task_type)
        if free_own_slots > 0:
            return min(limit, free_own_slots)
        if not self.policy_values.lend_spare:
            return 0
        # spare slots of other types may be borrowed while none of their own tasks wait, provided that their type
        # could take them back by preemption
        for lender, slots in enumerate(machine.template):
            if slots <= 0 or lender == task_type:
                continue
            if lender in self.blocked_types or self.registry.types[lender].rank >= rank:
                return 0
        return limit

    def _preempt_for(self, job: Job, ready: list[Machine], tasks: int, now: float) -> Steps:
        """Preempt other work for a job's waiting tasks, if the job may displace any."""
        if self.preemption.patient(job, self.policy_values.reclaim_after_s, now):
            return
        has_lowest_priority = job.rank == len(PRIORITIES) - 1
        if has_lowest_priority and not (job.guaranteed and self.preemption.borrowers - {job.team}):
            return
        job.preempt_at = now
        reclaiming_team = self.preemption.reclaims_for(job, now)
        machines = self._machines_to_clear.get((job.type, reclaiming_team))
        if machines is None:
            # similar jobs share one list: examining every machine for each of them is quadratic in the cluster's size
            machines = yield from self._rank_machines_to_clear(job, ready, reclaiming_team, now)
            self._machines_to_clear[job.type, reclaiming_team] = machines
        self._clear_machines(job, machines, tasks, now)

    def _rank_machines_to_clear(
        self, job: Job, ready: list[Machine], reclaiming_team: int, now: float
    ) -> Generator[None, None, list[Machine]]:
        """Return the machines where preemption would free capacity for a task of the job, the cheapest last."""
        costs: list[tuple[float, Machine]] = []
        for examined, machine in enumerate(ready, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            if self.preemption.hopeless(job, machine, reclaiming_team >= 0):
                continue
            eviction = self._eviction_for_one_task(job, machine, now)
            if eviction is not None:
                costs.append((eviction[1], machine))
        costs.sort(key=itemgetter(0), reverse=True)
        return [machine for _, machine in costs]

    def _clear_machines(self, job: Job, machines: list[Machine], tasks: int, now: float) -> None:
        """Preempt work for the job on the cheapest machines, and reserve them for it.

        Args:
            job: the job that needs capacity.
            machines: candidates, the cheapest last; those that are tried are removed.
            tasks: how many tasks need capacity; one machine is cleared for each.
            now: seconds on the leader's clock.
        """
        to_clear = max(1, min(tasks, MAX_MACHINES_CLEARED))
        for _ in range(min(len(machines), MAX_MACHINES_TRIED)):
            if not to_clear or not job.live:
                return
            machine = machines.pop()
            eviction = (
                self._eviction_for_one_task(job, machine, now) if self.inventory.is_schedulable(machine, now) else None
            )
            if eviction is not None:
                to_clear -= 1
                self._reserve(machine, job, until=now + CLEARED_RESERVATION_S)
                self.preemption.displace(eviction[0], job, now)

    def _eviction_for_one_task(self, job: Job, machine: Machine, now: float) -> tuple[list[Allocation], float] | None:
        """Return what would have to stop on a machine for one task of the job, and the cost of that."""
        if machine.reserved_for is not None or machine.stopping_count:
            return None
        # where the task fits already, it is the template that refuses it, and preemption does not help
        if fits(job.size, machine.free) or not self.allowed(job, machine):
            return None
        eviction = self.preemption.eviction(job, machine, 1, now)
        return eviction if eviction is not None and eviction[0] else None
