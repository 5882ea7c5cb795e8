"""Placement of tasks of jobs that are not gangs: in full passes over all machines, and on one machine at a time."""

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

#: A worker's heartbeat names each of its tasks and must stay below 64 KiB.
MAX_ALLOCATIONS_PER_MACHINE = 400
#: A machine whose last task failed gets one task at a time, since a further failure would lose all of its tasks.
MAX_ALLOCATIONS_ON_PROBATION = 1
#: Machines that one pass clears for one job, so that a single job does not preempt work across the whole cluster.
MAX_MACHINES_CLEARED = 8
#: Candidates examined when machines are cleared for one job: some have changed since they were listed.
MAX_MACHINES_EXAMINED_TO_CLEAR = 200
#: How long a cleared machine stays reserved. Within this time its stopped tasks must save their checkpoints and exit,
#: and a heartbeat must report the exits.
CLEARED_RESERVATION_S = 8.0
#: A machine whose tasks take more than this many times as long as on other machines ranks behind other machines.
SLOW_MACHINE_RATIO = 1.25
#: Change count and allowance of a machine that has not been examined; real change counts are not negative.
NOT_EXAMINED = (-1, 0)


class SlotOption(NamedTuple):
    """Slots for a job's tasks on one machine.

    A tuple rather than a dataclass, because a pass creates one for each job and machine.
    """

    #: Sort key; the smallest is the best option.
    preference: tuple[object, ...]
    tasks: int
    machine: Machine


class Placement(SchedulingComponent):
    """Starts waiting tasks of jobs that are not gangs on machines that have slots for them."""

    def __init__(self, context: SchedulingContext, images: ImageLocality, preemption: Preemption) -> None:
        super().__init__(context)
        self.images = images
        self.preemption = preemption
        #: Task types with waiting tasks at the start of the last full pass.
        self.waiting_types: set[int] = set()
        #: Jobs that still waited at the end of the last full pass, the most urgent first.
        self._queue: list[Job] = []
        #: Millionths of a CPU that the smallest task of the jobs in `_queue` needs.
        self._smallest_cpus = 0
        #: Task sizes for which this pass found no usable slot, by type, image and whether the job has aged.
        self._sizes_without_option: dict[tuple[int, int, bool], Resources] = {}
        #: Task sizes for which this pass found no slot in any template, by type and whether the job has aged.
        self._sizes_without_slot: dict[tuple[int, bool], Resources] = {}
        #: Machines where this pass can preempt tasks, the cheapest last, by task type and by the team that reclaims
        #: its guarantee (-1: none). A machine is removed once a job has tried to clear that machine.
        self._machines_to_clear: dict[tuple[int, int], list[Machine]] = {}
        #: By task type and whether the job has aged, a table by machine index: the machine's change count when it was
        #: examined, and how many more tasks its template admits.
        self._allowances: dict[tuple[int, bool], dict[int, tuple[int, int]]] = {}

    def begin_pass(self) -> None:
        """Reset the state of the previous pass.

        Cached allowances are kept: an allowance stays valid as long as its machine's change count is the same and the
        set of waiting types, which limits the borrowing of spare slots, has not changed.
        """
        waiting_types = {job.type_index for job in self.registry.waiting_jobs()}
        if waiting_types != self.waiting_types:
            self.clear_cache()
        self.waiting_types = waiting_types
        self._sizes_without_option, self._sizes_without_slot = {}, {}
        self._machines_to_clear = {}

    def end_pass(self, waiting: list[Job]) -> None:
        """Finish a full pass.

        Args:
            waiting: Jobs that the pass considered, the most urgent first. Capacity that heartbeats free before the
                next pass goes to the jobs among them that still wait.
        """
        self._queue = [job for job in waiting if not job.is_gang and job.waiting_count() > 0]
        self._smallest_cpus = min((job.task_size[0] for job in self._queue), default=0)

    def clear_cache(self) -> None:
        """Discard cached allowances, because templates or the set of types that may lend spare slots have changed."""
        self._allowances = {}

    def fill(self, machine: Machine, now: float) -> None:
        """Fill the free capacity of a machine after its heartbeat, in the order of the last full pass.

        With hundreds of machines, a full pass at each heartbeat would take more than a whole core. Gangs, and arrays
        whose tasks must share a zone or be spread over zones, wait for the next full pass.

        Args:
            machine: The machine that sent the heartbeat.
            now: Seconds on the leader's clock.
        """
        if not self._queue or machine.free[0] < self._smallest_cpus or not machine.needs_placement_attempt:
            return
        if machine.reserved_for is not None or not self.inventory.is_schedulable(machine, now):
            return
        # A task that did not fit on this machine before fits only once the machine has changed.
        machine.needs_placement_attempt = False
        queue_outdated = False
        sizes_without_slot: dict[tuple[int, bool], Resources] = {}
        for job in self._queue:
            if job.task_size[0] > machine.free[0] or not job.is_live or job.spec.one_zone or job.spec.spread:
                continue
            key = job.type_index, self._has_aged(job, now)
            if key in sizes_without_slot and fits(sizes_without_slot[key], job.task_size):
                continue
            if self.context.features.waiting_reason(job, now) is not None:
                continue
            wanted = self._startable_tasks(job)
            if wanted <= 0:
                queue_outdated = queue_outdated or job.waiting_count() == 0
                continue
            if now < job.retry_at or not self.satisfies_constraints(job, machine):
                continue
            if not self.images.worth_fetching(job, machine, now):
                continue
            slots = self._slots_for(job, machine, now)
            if slots > 0:
                self._start_tasks(job, machine, min(wanted, slots), now)
            else:
                sizes_without_slot[key] = job.task_size
        if queue_outdated:
            self._queue = [job for job in self._queue if job.waiting_count() > 0]

    def place(
        self, job: Job, with_capacity: list[Machine], schedulable: list[Machine], now: float, has_reservation: bool
    ) -> Steps:
        """Start a job's waiting tasks where there are slots, and preempt other work for the rest if that is allowed.

        Args:
            job: Any job that is not a gang.
            with_capacity: Schedulable machines whose free capacity may suffice for a task.
            schedulable: All schedulable machines, as candidates for preemption.
            now: Seconds on the leader's clock.
            has_reservation: Whether machines are reserved for this job.

        Yields:
            Nothing; other work may run at each yield.
        """
        if self._startable_tasks(job) <= 0:
            job.pending_reason = "team limit"
            return
        slice_number = self.context.slice_number
        options = yield from self._find_options(job, with_capacity, now, has_reservation)
        options.sort(key=attrgetter("preference"))
        if job.spec.one_zone and options:
            zone = self._zone_for(job, options)
            options = [option for option in options if option.machine.zone_index == zone]
        unplaced = yield from self._start_on_options(job, options, slice_number, now)
        if unplaced > 0:
            job.pending_reason = "no slot"
            yield from self._preempt_for(job, schedulable, unplaced, now)

    def _find_options(
        self, job: Job, with_capacity: list[Machine], now: float, has_reservation: bool
    ) -> Generator[None, None, list[SlotOption]]:
        """Return the options for the job's tasks, in the order of `with_capacity`."""
        options: list[SlotOption] = []
        aged = self._has_aged(job, now)
        # A template admits task types whatever the size of the tasks, so one table serves all jobs of a type.
        allowances = self._get_or_create_table(self._allowances, (job.type_index, aged))
        if not has_reservation and self._known_without_option(job, aged):
            return options
        any_slot = False
        # This loop visits all machines for each job and skips most of them, so lookups are inlined instead of called.
        for examined, machine in enumerate(with_capacity, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            if job.task_size[0] > machine.free[0]:
                continue
            if has_reservation and machine.reserved_for == job.spec.id:
                tasks = self._slots_for(job, machine, now)
            else:
                change_count, tasks = allowances.get(machine.index, NOT_EXAMINED)
                if change_count != machine.change_count:
                    tasks = self._allowance(job.type_index, job.priority_rank, aged, machine)
                    allowances[machine.index] = machine.change_count, tasks
                if tasks > 0:
                    tasks = min(tasks, tasks_that_fit(job.task_size, machine.free))
            if tasks > 0:
                any_slot = True
                if self.satisfies_constraints(job, machine) and self.images.worth_fetching(job, machine, now):
                    options.append(SlotOption(self.preference(job, machine), tasks, machine))
        if not any_slot:
            self._sizes_without_slot[job.type_index, aged] = job.task_size
        elif not options and not job.avoided_machines:
            self._sizes_without_option[job.type_index, job.image_index, aged] = job.task_size
        return options

    def _known_without_option(self, job: Job, aged: bool) -> bool:
        """Return whether this pass already found no slot for a similar job with tasks of at most this size."""
        without_option = self._sizes_without_option.get((job.type_index, job.image_index, aged))
        if without_option and fits(without_option, job.task_size):
            return True
        without_slot = self._sizes_without_slot.get((job.type_index, aged))
        return without_slot is not None and fits(without_slot, job.task_size)

    def _zone_for(self, job: Job, options: list[SlotOption]) -> int:
        """Return the zone for a job bound to one zone: the zone of its tasks, or else the zone with the most slots."""
        occupied = next(iter(self._zone_counts(job)), None)
        if occupied is not None:
            return occupied
        slots_by_zone: dict[int, int] = {}
        for option in options:
            zone = option.machine.zone_index
            slots_by_zone[zone] = slots_by_zone.get(zone, 0) + option.tasks
        return max(slots_by_zone, key=lambda zone: slots_by_zone[zone])

    def _zone_counts(self, job: Job) -> dict[int, int]:
        """Return the number of the job's allocations by zone."""
        counts: dict[int, int] = {}
        for allocation in job.allocations.values():
            machine = self.inventory.find_by_index(allocation.machine_index)
            if machine is not None:
                counts[machine.zone_index] = counts.get(machine.zone_index, 0) + 1
        return counts

    def _start_on_options(
        self, job: Job, options: list[SlotOption], slice_number: int, now: float
    ) -> Generator[None, None, int]:
        """Start waiting tasks on the options in order.

        Args:
            job: The job to start tasks of.
            options: Machines with slots, the best first.
            slice_number: The slice in which the options were found; in a later slice each option is checked again.
            now: Seconds on the leader's clock.

        Returns:
            The number of tasks that were eligible to start but found no slot.
        """
        # The zone counts and the number of startable tasks may have changed since the search began.
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
            if self.context.slice_number != slice_number:
                tasks = self._slots_still_free(job, machine, now)
                wanted = placed + self._startable_tasks(job)
                if job.spec.spread:
                    zone_counts = self._zone_counts(job)
            if job.spec.spread:
                tasks = min(tasks, max_per_zone - zone_counts.get(machine.zone_index, 0))
            started = self._start_tasks(job, machine, max(0, min(tasks, wanted - placed)), now)
            zone_counts[machine.zone_index] = zone_counts.get(machine.zone_index, 0) + started
            placed += started
            started_in_step += started
        if placed and log.isEnabledFor(logging.DEBUG):
            log.debug(LogEvent("tasks_placed", job_id=job.spec.id, tasks=placed, waiting=job.waiting_count()))
        return wanted - placed

    def _start_tasks(self, job: Job, machine: Machine, count: int, now: float) -> int:
        """Start up to `count` waiting tasks of the job on a machine, and return the number started."""
        for started in range(count):
            first_unallocated = job.first_unallocated
            index = job.take_waiting_task()
            if index is None:
                return started
            job.last_allocation_at = now
            allocation = self.dispatch.start(job, index, machine, self.dispatch.next_attempt_number(), now)
            allocation.is_first_attempt = job.first_unallocated > first_unallocated
        return count

    def satisfies_constraints(self, job: Job, machine: Machine) -> bool:
        """Return whether the job may run on the machine, whatever capacity is free there.

        Args:
            job: The job to check.
            machine: The machine to check the job's constraints and the machine's reservation against.
        """
        allowed_types = self.registry.task_types[job.type_index].machine_types
        return (
            (job.spec.spot or not machine.spot)
            and (allowed_types is None or machine.type_index in allowed_types)
            and (job.zone_index < 0 or job.zone_index == machine.zone_index)
            and (machine.reserved_for is None or machine.reserved_for == job.spec.id)
            and (machine.index not in job.avoided_machines or not job.has_progress)
        )

    def preference(self, job: Job, machine: Machine) -> tuple[object, ...]:
        """Return a sort key by which the machine with the smallest key is the best for the job."""
        has_own_slot = (
            machine.in_accept_group
            and job.type_index < len(machine.slot_template)
            and machine.slot_template[job.type_index] > machine.slots_used(job.type_index)
        )
        heartbeats_until_fetched = int(self.images.fetch_s(job, machine) / self.inventory.heartbeat_interval_s)
        return (
            # a start on another machine shows whether the job or the machine is faulty
            machine.index in job.avoided_machines,
            heartbeats_until_fetched,
            not has_own_slot,
            machine.slowness > SLOW_MACHINE_RATIO,
            job.image_index not in machine.images,
            not machine.spot if job.spec.spot else machine.spot,
            machine.rank_in_plan,
            -machine.used[0],
            machine.index,
        )

    def _startable_tasks(self, job: Job) -> int:
        """Return how many waiting tasks of the job may start now within its team's limit."""
        team = self.registry.teams[job.team_index]
        if not job.is_live or not team.may_use_remaining_limit(job.spec.id):
            return 0
        return min(job.startable_count(), team.headroom(job.task_size))

    def _has_aged(self, job: Job, now: float) -> bool:
        """Return whether the job has waited for a full period, so that the reject group accepts its tasks as well."""
        return now - job.waiting_since >= self.policy_values.period_s

    def _slots_still_free(self, job: Job, machine: Machine, now: float) -> int:
        """Return how many of the job's tasks a machine that was selected in an earlier slice can still take."""
        if not self.inventory.is_schedulable(machine, now) or not self.satisfies_constraints(job, machine):
            return 0
        return self._slots_for(job, machine, now) if self.images.worth_fetching(job, machine, now) else 0

    def _slots_for(self, job: Job, machine: Machine, now: float) -> int:
        """Return how many of the job's tasks the machine can take now.

        The rule is that of the scheduling paper (see `scheduling.greedy`), with two additions: a machine takes whatever
        fits of the job that it is reserved for, and spare slots may be lent to other types.
        """
        fitting = tasks_that_fit(job.task_size, machine.free)
        if fitting <= 0:
            return 0
        if machine.reserved_for == job.spec.id:
            return min(fitting, self._max_new_tasks(machine))
        return min(fitting, self._allowance(job.type_index, job.priority_rank, self._has_aged(job, now), machine))

    @staticmethod
    def _max_new_tasks(machine: Machine) -> int:
        """Return how many more tasks a machine may get, ignoring its template and capacity."""
        limit = MAX_ALLOCATIONS_ON_PROBATION if machine.consecutive_failures else MAX_ALLOCATIONS_PER_MACHINE
        return limit - len(machine.allocations)

    def _allowance(self, task_type: int, rank: int, aged: bool, machine: Machine) -> int:
        """Return how many more tasks of a type the machine's template and group admit, ignoring task sizes."""
        limit = self._max_new_tasks(machine)
        if not machine.in_accept_group:
            return limit if aged or machine.rank_in_plan == 0 else 0
        own_slots = machine.slot_template[task_type] if task_type < len(machine.slot_template) else 0
        free_own_slots = own_slots - machine.slots_used(task_type)
        if free_own_slots > 0:
            return min(limit, free_own_slots)
        if not self.policy_values.lend_spare:
            return 0
        # Spare slots of other types may be borrowed only while no tasks of those types wait, and only if those types
        # have a higher priority, so that preemption can return the slots to them.
        for lender, slots in enumerate(machine.slot_template):
            if slots <= 0 or lender == task_type:
                continue
            if lender in self.waiting_types or self.registry.task_types[lender].priority_rank >= rank:
                return 0
        return limit

    def _preempt_for(self, job: Job, schedulable: list[Machine], tasks: int, now: float) -> Steps:
        """Preempt other work for `tasks` waiting tasks of a job, if the job may displace any."""
        if self.preemption.must_wait(job, self.policy_values.reclaim_after_s, now):
            return
        has_lowest_priority = job.priority_rank == len(PRIORITIES) - 1
        if has_lowest_priority and not (job.within_guarantee and self.preemption.borrowing_teams - {job.team_index}):
            return
        job.last_preempted_others_at = now
        reclaiming_team = self.preemption.reclaims_for(job, now)
        machines = self._machines_to_clear.get((job.type_index, reclaiming_team))
        if machines is None:
            # Similar jobs share one list: the total cost of examining every machine for each job grows quadratically
            # with the size of the cluster.
            machines = yield from self._rank_machines_to_clear(job, schedulable, reclaiming_team, now)
            self._machines_to_clear[job.type_index, reclaiming_team] = machines
        self._clear_machines(job, machines, tasks, now)

    def _rank_machines_to_clear(
        self, job: Job, schedulable: list[Machine], reclaiming_team: int, now: float
    ) -> Generator[None, None, list[Machine]]:
        """Return the machines where preemption would free capacity for one task of the job, the cheapest last."""
        costs: list[tuple[float, Machine]] = []
        for examined, machine in enumerate(schedulable, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            if self.preemption.cannot_free_enough(job, machine, reclaiming_team >= 0):
                continue
            eviction = self._victims_for_one_task(job, machine, now)
            if eviction is not None:
                _, cost = eviction
                costs.append((cost, machine))
        costs.sort(key=itemgetter(0), reverse=True)
        return [machine for _, machine in costs]

    def _clear_machines(self, job: Job, machines: list[Machine], tasks: int, now: float) -> None:
        """Preempt work for the job on the cheapest machines, and reserve them for it.

        Args:
            job: The job that needs capacity.
            machines: Candidates, the cheapest last; each examined candidate is removed.
            tasks: The number of tasks that need capacity; one machine is cleared for each, up to
                `MAX_MACHINES_CLEARED`.
            now: Seconds on the leader's clock.
        """
        to_clear = max(1, min(tasks, MAX_MACHINES_CLEARED))
        for _ in range(min(len(machines), MAX_MACHINES_EXAMINED_TO_CLEAR)):
            if not to_clear or not job.is_live:
                return
            machine = machines.pop()
            eviction = (
                self._victims_for_one_task(job, machine, now) if self.inventory.is_schedulable(machine, now) else None
            )
            if eviction is not None:
                to_clear -= 1
                self._reserve(machine, job, until=now + CLEARED_RESERVATION_S)
                victims, _ = eviction
                self.preemption.displace(victims, job, now)

    def _victims_for_one_task(self, job: Job, machine: Machine, now: float) -> tuple[list[Allocation], float] | None:
        """Find the tasks to preempt on a machine so that one task of the job fits.

        Returns:
            The victims and the CPU seconds that stopping them wastes, or None if preemption is impossible or useless.
        """
        if machine.reserved_for is not None or machine.stopping_count:
            return None
        # A task that already fits was refused because of the template, which preemption does not change.
        if fits(job.task_size, machine.free) or not self.satisfies_constraints(job, machine):
            return None
        eviction = self.preemption.find_victims(job, machine, 1, now)
        return eviction if eviction is not None and eviction[0] else None
