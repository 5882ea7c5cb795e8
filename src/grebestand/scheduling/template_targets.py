"""Computes targets and the greedy plan, and sets each machine's template, rank and group.

The template of a machine changes only if this requires no preemption.
"""

from __future__ import annotations

from collections.abc import Generator

from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS, Resources, dominant_share
from ..cluster_state.slots import SlotTemplate
from .greedy import PlanEntry, Pool, TemplateAssignment, cra_steps, gpa
from .planning import MachinePools, TypeDemand
from .scale_out import ScaleOut
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

#: How long a type without tasks keeps its spare slots, so that short gaps between jobs do not change templates.
INACTIVE_TYPE_RETENTION_S = 60.0
#: Lower bound on the share of a machine that a task takes. Payoffs are proportional to this share.
MIN_SHARE = 1e-6
#: Machine capacity assumed until a machine has reported its own: one CPU, one GPU, one gigabyte of memory.
FALLBACK_CAPACITY: Resources = (MICRO_UNITS, MICRO_UNITS, MICRO_UNITS)


class TemplateTargets(SchedulingComponent):
    """Computes targets once a period, and sets templates, ranks and groups accordingly."""

    def __init__(self, context: SchedulingContext, scale_out: ScaleOut) -> None:
        super().__init__(context)
        self.scale_out = scale_out

    def update(self, now: float) -> Steps:
        """Compute targets and the greedy plan, and set templates, ranks and groups, in steps.

        Args:
            now: Seconds on the leader's clock.

        Yields:
            Nothing; other work may run at each yield.
        """
        demand = self._demand(now)
        slice_number = self.context.slice_number
        pools = MachinePools()
        assignments = yield from self._assignments(demand, pools)
        yield
        plan = self._plan(demand, pools)
        yield
        yield from cra_steps(assignments, plan)
        yield from self._apply(assignments, demand, slice_number)
        yield
        self.scale_out.update_shortages(demand, pools)

    def _demand(self, now: float) -> TypeDemand:
        """Return the active types and their targets: running tasks, waiting tasks, and the policy's spare slots."""
        counts: dict[int, float] = {}
        for job in self.registry.jobs.values():
            if not job.is_live:
                continue
            self.registry.task_types[job.type_index].last_seen_at = now
            team = self.registry.teams[job.team_index]
            # no slots are planned for tasks that cannot run because of their team's limit
            waiting = min(job.wanted_count(), team.headroom(job.task_size))
            counts[job.type_index] = counts.get(job.type_index, 0) + len(job.allocations) + waiting
        registered = self.registry.task_types
        types = [i for i, t in enumerate(registered) if i in counts or now - t.last_seen_at < INACTIVE_TYPE_RETENTION_S]
        types.sort(key=lambda i: (registered[i].priority_rank, i))
        capacity = self._largest_capacity()
        slots = []
        for index in types:
            task_type = registered[index]
            payoff = self.policy_values.payoffs[task_type.priority_rank]
            slots.append(task_type.slot(payoff * max(dominant_share(task_type.size, capacity), MIN_SHARE)))
        needs = [counts.get(index, 0.0) for index in types]
        targets = [need + self.policy_values.g for need in needs]
        return TypeDemand(types=types, slots=slots, needs=needs, targets=targets, registered_types=len(registered))

    def _largest_capacity(self) -> Resources:
        """Return the largest capacity of any machine, the reference for shares of a machine."""
        capacities = [m.capacity for m in self.inventory.machines if m.capacity != (0, 0, 0)]
        return max(capacities) if capacities else FALLBACK_CAPACITY

    def _assignments(self, demand: TypeDemand, pools: MachinePools) -> Generator[None, None, list[TemplateAssignment]]:
        """Return the assignments for CRA, machines with tasks first, and add each machine to its pool."""
        members = [m for m in self.inventory.machines if self.inventory.counts_in_plan(m)]
        zoned = demand.zoned
        assignments: list[TemplateAssignment] = []
        for examined, machine in enumerate(members, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            pool = pools.add_machine(
                Pool(machine.type_index, machine.zone_index if zoned else -1, machine.spot, machine.capacity)
            )
            if not machine.slot_template:
                # as in the paper, the initial template of a machine has one slot for each of its tasks
                machine.slot_template = self._tasks_by_type(machine, demand.registered_types)
            template = machine.slot_template
            config = tuple(template[index] if index < len(template) else 0 for index in demand.types)
            empty, holds = self._held(machine, demand)
            assignments.append(TemplateAssignment(pool, config, empty, holds, machine_index=machine.index))
        assignments.sort(key=lambda a: (a.empty, a.machine_index))
        return assignments

    def _apply(self, assignments: list[TemplateAssignment], demand: TypeDemand, slice_number: int) -> Steps:
        """Set each machine's rank and group, and its template where it changed.

        Args:
            assignments: The result of CRA.
            demand: The types that the configurations consist of.
            slice_number: The slice in which the machines were examined. In a later slice, each change of a template
                is checked again.
        """
        for examined, assignment in enumerate(assignments, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            machine = self.inventory.find_by_index(assignment.machine_index)
            if machine is None:
                continue  # the machine was removed while the plan was computed
            machine.rank_in_plan, machine.in_accept_group = assignment.rank, assignment.in_accept_group
            if not assignment.changed:
                continue
            if self.context.slice_number != slice_number:
                # the machine's tasks may have changed, and a new template must not require preemption
                assignment.empty, assignment.tasks_by_type = self._held(machine, demand)
                if not assignment.can_take_config(assignment.config):
                    continue
            template = [0] * demand.registered_types
            for slots, index in zip(assignment.config, demand.types, strict=True):
                template[index] = slots
            machine.slot_template = tuple(template)

    def _held(self, machine: Machine, demand: TypeDemand) -> tuple[bool, SlotTemplate]:
        """Return whether a machine is empty, and the number of its tasks by active type.

        The tuple of tasks is empty if any task is of an inactive type or the machine is reserved, so that the
        machine's template does not change.
        """
        if machine.reserved_for is not None:
            return False, ()
        if not machine.allocations:
            return True, ()
        all_tasks = self._tasks_by_type(machine, demand.registered_types)
        active_tasks = tuple(all_tasks[index] for index in demand.types)
        return False, (active_tasks if sum(active_tasks) == sum(all_tasks) else ())

    @staticmethod
    def _tasks_by_type(machine: Machine, registered_types: int) -> SlotTemplate:
        """Return the number of tasks of each registered type on a machine."""
        counts = [0] * registered_types
        for index, count in machine.slots_by_type.items():
            counts[index] = count
        return tuple(counts)

    @staticmethod
    def _plan(demand: TypeDemand, pools: MachinePools) -> list[PlanEntry]:
        """Return the greedy plan, first for running and waiting tasks, then for spare slots on the remaining machines.

        The paper adds the spare slots (g) to every type before assigning machines. If g were included in the first
        round, the type that comes first could occupy every machine with spare slots, while tasks of another type with
        the same payoff wait forever.
        """
        plan = gpa(demand.slots, demand.needs, pools.pools, pools.sizes)
        machines_left = list(pools.sizes)
        planned_slots = [0] * len(demand.slots)
        for entry in plan:
            machines_left[entry.pool] -= entry.count
            for j, slots in enumerate(entry.config):
                planned_slots[j] += slots * entry.count
        spare = [max(0.0, target - slots) for target, slots in zip(demand.targets, planned_slots, strict=True)]
        for entry in gpa(demand.slots, spare, pools.pools, machines_left):
            same = next((e for e in plan if e.pool == entry.pool and e.config == entry.config), None)
            if same is not None:
                same.count += entry.count
            else:
                plan.append(entry)
        return plan
