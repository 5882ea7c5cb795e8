"""Targets, the greedy plan, and each machine's template, rank and group.

Templates change only where nothing has to be preempted for it.
"""

from __future__ import annotations

from collections.abc import Generator

from ..cluster_state.machine import Machine
from ..cluster_state.resources import MICRO_UNITS, Resources, dominant_share
from ..cluster_state.slots import SlotTemplate
from .greedy import Pool, ServerDemand, TemplateAssignment, cra_steps, gpa
from .planning import MachinePools, TypeDemand
from .scale_out import ScaleOut
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

#: how long a type without tasks keeps its spare slots, so that short gaps between jobs do not change templates
TYPE_MEMORY_S = 60.0
#: a type's payoff grows with its share of a machine, which counts for at least this much
MIN_SHARE = 1e-6
#: capacity of a machine while none has reported its own: one CPU, one card, one gigabyte
FALLBACK_CAPACITY: Resources = (MICRO_UNITS, MICRO_UNITS, MICRO_UNITS)


class TemplateTargets(SchedulingComponent):
    """Computes targets each period and sets templates, ranks and groups accordingly."""

    def __init__(self, context: SchedulingContext, scale_out: ScaleOut) -> None:
        super().__init__(context)
        self.scale_out = scale_out

    def set(self, now: float) -> Steps:
        """Compute targets and the greedy plan, and set templates, ranks and groups, in steps."""
        demand = self._demand(now)
        turn = self.context.slice_number
        pools = MachinePools()
        assignments = yield from self._assignments(demand, pools)
        yield
        plan = self._plan(demand, pools)
        yield
        yield from cra_steps(assignments, plan)
        yield from self._apply(assignments, demand, turn)
        yield
        self.scale_out.measure(demand, pools)

    def _demand(self, now: float) -> TypeDemand:
        """Return the active types and their targets: tasks that run, tasks that wait, and the policy's spare slots."""
        counts: dict[int, float] = {}
        for job in self.registry.jobs.values():
            if not job.live:
                continue
            self.registry.types[job.type].seen_at = now
            team = self.registry.teams[job.team]
            # slots are not reserved for tasks that their team's limit keeps from running
            waiting = min(job.wanted(), team.headroom(job.size))
            counts[job.type] = counts.get(job.type, 0) + len(job.allocations) + waiting
        registered = self.registry.types
        types = [i for i, t in enumerate(registered) if i in counts or now - t.seen_at < TYPE_MEMORY_S]
        types.sort(key=lambda i: (registered[i].rank, i))
        capacity = self._largest_capacity()
        slots = []
        for index in types:
            task_type = registered[index]
            payoff = self.policy_values.payoffs[task_type.rank]
            slots.append(task_type.slot(payoff * max(dominant_share(task_type.size, capacity), MIN_SHARE)))
        needs = [counts.get(index, 0.0) for index in types]
        targets = [need + self.policy_values.g for need in needs]
        return TypeDemand(types=types, slots=slots, needs=needs, targets=targets, registered_types=len(registered))

    def _largest_capacity(self) -> Resources:
        """Return the largest capacity of any machine, which shares are relative to."""
        capacities = [m.capacity for m in self.inventory.machines if m.capacity != (0, 0, 0)]
        return max(capacities) if capacities else FALLBACK_CAPACITY

    def _assignments(self, demand: TypeDemand, pools: MachinePools) -> Generator[None, None, list[TemplateAssignment]]:
        """Return the machines for CRA, those that hold tasks first, and add each to its pool."""
        members = [m for m in self.inventory.machines if self.inventory.counts(m)]
        zoned = demand.zoned
        assignments: list[TemplateAssignment] = []
        for examined, machine in enumerate(members, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            pool = pools.add_machine(Pool(machine.kind, machine.zone if zoned else -1, machine.spot, machine.capacity))
            if not machine.template:
                # the paper's initialisation: the template of an unconfigured machine is what it holds
                machine.template = self._tasks_by_type(machine, demand.registered_types)
            template = machine.template
            config = tuple(template[index] if index < len(template) else 0 for index in demand.types)
            empty, holds = self._held(machine, demand)
            assignments.append(TemplateAssignment(pool, config, empty, holds, tag=machine.index))
        assignments.sort(key=lambda a: (a.empty, a.tag))
        return assignments

    def _apply(self, assignments: list[TemplateAssignment], demand: TypeDemand, turn: int) -> Steps:
        """Set each machine's rank and group, and its template where it changed.

        Args:
            assignments: the result of CRA.
            demand: the types that its configurations are made of.
            turn: the turn in which the machines were examined; in a later one a change of template is checked again.
        """
        for examined, assignment in enumerate(assignments, 1):
            if not examined % MACHINES_PER_STEP:
                yield
            machine = self.inventory.at(assignment.tag)
            if machine is None:
                continue  # it was removed while the plan was computed
            machine.rank, machine.in_accept_group = assignment.rank, assignment.accept
            if not assignment.changed:
                continue
            if self.context.slice_number != turn:
                # its tasks may have changed since, and nothing is to be preempted for a template
                assignment.empty, assignment.holds = self._held(machine, demand)
                if not assignment.may_become(assignment.config):
                    continue
            template = [0] * demand.registered_types
            for slots, index in zip(assignment.config, demand.types, strict=True):
                template[index] = slots
            machine.template = tuple(template)

    def _held(self, machine: Machine, demand: TypeDemand) -> tuple[bool, SlotTemplate]:
        """Return whether a machine is empty, and its tasks by active type.

        The tasks are left out if some are of inactive types or the machine is reserved: its template must not change.
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
        """Return how many tasks of each registered type a machine holds."""
        counts = [0] * registered_types
        for index, count in machine.slots.items():
            counts[index] = count
        return tuple(counts)

    @staticmethod
    def _plan(demand: TypeDemand, pools: MachinePools) -> list[ServerDemand]:
        """Return the greedy plan for tasks that run and wait, then for spare slots on the machines that are left.

        The paper adds the spare slots (g) to every type before it assigns machines. With g in the first round, a type
        that comes first could take every machine for spare slots while tasks of another with the same payoff wait for
        ever.
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
