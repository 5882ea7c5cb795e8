"""Greedy slot templates: the algorithms GPA and CRA of the scheduling paper, for one or several pools of machines.

A *configuration* (template) says how many slots of each task type a machine has. The Greedy Placement Algorithm (GPA)
plans how many machines should have which configuration. Classification and Reassignment (CRA) matches the plan with
the machines' current configurations, ranks the machines, and changes the configuration of empty ones. Machines up to
the rank at which the plan first runs short of machines form the *accept group*, which accepts tasks according to its
templates. The other machines form the *reject group*, which accepts tasks only after they have waited for a while.

All functions in this module are pure: they compute plans from numbers and do not access the cluster state.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field

from ..cluster_state.resources import Resources, dominant_share, fits, multiply, subtract, tasks_that_fit
from ..cluster_state.slots import Slot, SlotTemplate

#: Lower bound on the share of a machine that a task takes, so that payoffs can be divided by the share.
MIN_SHARE = 1e-9
#: Rewards that differ by at most this much are considered equal; such differences are rounding errors.
REWARD_TOLERANCE = 1e-9


@dataclass(frozen=True)
class Pool:
    """The properties shared by a set of machines that are interchangeable for every task type."""

    machine_type: int
    #: Index of the zone, or -1 if no task type is bound to a zone, so that zones need not be distinguished.
    zone: int
    spot: bool
    capacity: Resources

    def accepts(self, slot: Slot) -> bool:
        """Return whether a slot's task type may run on machines of this pool and one task fits on an empty machine."""
        return (
            (slot.spot_allowed or not self.spot)
            and (slot.machine_types is None or self.machine_type in slot.machine_types)
            and (slot.zone is None or slot.zone == self.zone)
            and fits(slot.size, self.capacity)
        )


@dataclass
class PlanEntry:
    """One entry of a plan: a configuration, and the number of machines of a pool that should have it."""

    pool: int
    config: SlotTemplate
    count: int


@dataclass
class TemplateAssignment:
    """The input and output of CRA for one machine: its configuration and tasks, and then its rank and group."""

    pool: int
    config: SlotTemplate
    empty: bool
    #: The number of tasks by type. The tuple is empty if the machine holds none, or if it holds tasks that no
    #: configuration of these types covers.
    tasks_by_type: SlotTemplate = ()
    #: Position, counted from 1, of the plan's entry that uses the machine; the plan's length plus one if none does.
    rank: int = 0
    in_accept_group: bool = False
    changed: bool = False
    #: The machine's index in the inventory, for the caller.
    machine_index: int = field(default=0)
    #: Position in the list of assignments passed to CRA.
    order: int = 0

    def can_take_config(self, config: SlotTemplate) -> bool:
        """Return whether the machine can change to a configuration without preemption.

        The paper reassigns empty machines only. A machine with tasks can change without preemption too, if each of
        its tasks has a slot in the new configuration.
        """
        return self.empty or (
            bool(self.tasks_by_type)
            and all(held <= slots for held, slots in zip(self.tasks_by_type, config, strict=True))
        )


def max_reward(slots: list[Slot], candidates: list[int], capacity: Resources) -> SlotTemplate:
    """Return a configuration of high reward that consists of candidate types only (Definition 2.3, approximated).

    The exact maximum is a knapsack problem. This approximation builds one packing for each candidate: that candidate
    is packed first, then the others in descending order of payoff per share of the machine. The packing with the
    highest reward is returned. Ties go to the configuration with more slots of lower indices (Definition 2.2).

    Args:
        slots: The slots of all task types.
        candidates: Indices of the types to pack.
        capacity: The capacity of one machine.

    Returns:
        The number of slots for each task type.
    """
    by_density = sorted(
        candidates, key=lambda j: (-slots[j].payoff / max(dominant_share(slots[j].size, capacity), MIN_SHARE), j)
    )
    best: SlotTemplate = (0,) * len(slots)
    best_reward = 0.0
    for first in by_density:
        config = _pack(slots, [first, *by_density], capacity)
        reward = _reward(slots, config)
        is_tie = abs(reward - best_reward) <= REWARD_TOLERANCE
        if reward > best_reward + REWARD_TOLERANCE or (is_tie and config > best):
            best, best_reward = config, reward
    return best


def _pack(slots: list[Slot], order: list[int], capacity: Resources) -> SlotTemplate:
    """Return the configuration that results from packing as many slots as fit of each type, in the given order."""
    counts = [0] * len(slots)
    left = capacity
    for j in order:
        count = tasks_that_fit(slots[j].size, left)
        if count:
            counts[j] += count
            left = subtract(left, multiply(slots[j].size, count))
    return tuple(counts)


def _reward(slots: list[Slot], config: SlotTemplate) -> float:
    """Return the sum of the payoffs of a configuration's slots."""
    return sum(count * slots[j].payoff for j, count in enumerate(config))


class _BestConfigurations:
    """Computes the best configuration for a pool, and caches it for pools with the same capacity and types."""

    def __init__(self, slots: list[Slot], pools: list[Pool]) -> None:
        self._slots = slots
        self._pools = pools
        self._types_by_pool = [{j for j, slot in enumerate(slots) if pool.accepts(slot)} for pool in pools]
        self._known: dict[tuple[Resources, tuple[int, ...]], SlotTemplate] = {}

    def best(self, pool: int, candidates: list[int]) -> SlotTemplate:
        """Return the configuration of the highest reward that consists of candidate types that the pool accepts."""
        capacity = self._pools[pool].capacity
        types = tuple(j for j in candidates if j in self._types_by_pool[pool])
        config = self._known.get((capacity, types))
        if config is None:
            config = self._known[capacity, types] = max_reward(self._slots, list(types), capacity)
        return config


def gpa(slots: list[Slot], targets: list[float], pools: list[Pool], sizes: list[int]) -> list[PlanEntry]:
    """Plan configurations with the Greedy Placement Algorithm (Algorithm 1), for several pools.

    In each round, the configuration of the highest reward is computed from the remaining types for every pool that
    still has machines, and the pool with the highest reward is chosen. Machines of this pool get the configuration
    until a type reaches its target; this type is then removed from the remaining types.

    Args:
        slots: The slots of all task types.
        targets: The number of slots wanted of each type.
        pools: The pools of machines.
        sizes: The number of machines in each pool.

    Returns:
        The plan, in the order in which CRA has to process its entries.
    """
    remaining = [max(0.0, target) for target in targets]
    free_machines = list(sizes)
    candidates = [j for j in range(len(slots)) if remaining[j] > 0]
    configurations = _BestConfigurations(slots, pools)
    plan: list[PlanEntry] = []
    while candidates and any(free_machines):
        configs = [configurations.best(pool, candidates) if free_machines[pool] else () for pool in range(len(pools))]
        rewards = [_reward(slots, config) for config in configs]
        pool = max(range(len(pools)), key=lambda i: (rewards[i], -i))
        config = configs[pool]
        if rewards[pool] <= 0:
            break
        # the type that reaches its target first determines how many machines get this configuration
        used = [j for j in candidates if config[j] > 0]
        machines_needed = {j: -(-remaining[j] // config[j]) for j in used}
        first_done = min(used, key=lambda j: (machines_needed[j], j))
        count = min(int(machines_needed[first_done]), free_machines[pool])
        if count:
            plan.append(PlanEntry(pool, config, count))
            free_machines[pool] -= count
            for j in used:
                remaining[j] = max(0.0, remaining[j] - count * config[j])
        if remaining[first_done] <= 0:
            candidates.remove(first_done)
    return plan


def cra(assignments: list[TemplateAssignment], plan: list[PlanEntry]) -> int:
    """Run Classification and Reassignment (Algorithm 2): set each machine's rank, group and configuration.

    Args:
        assignments: The machines. Among machines with the same configuration, those earlier in the list are ranked
            first and so are more likely to stay in the accept group. The items are modified.
        plan: The result of `gpa`.

    Returns:
        The rank of the first configuration that is short of machines, or the plan's length plus one.
    """
    steps = cra_steps(assignments, plan)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return int(end.value)


def cra_steps(assignments: list[TemplateAssignment], plan: list[PlanEntry]) -> Generator[None, None, int]:
    """Run `cra` as a generator that yields before each entry of the plan.

    Args:
        assignments: The machines, as for `cra`.
        plan: The result of `gpa`.

    Yields:
        Nothing; other work may run at each yield.

    Returns:
        The same rank as `cra`.
    """
    worst_rank = len(plan) + 1
    #: By pool and configuration, the machines that have no rank yet, in the order of `assignments`.
    unranked: dict[int, dict[SlotTemplate, list[TemplateAssignment]]] = {}
    for order, assignment in enumerate(assignments):
        assignment.rank, assignment.changed, assignment.order = worst_rank, False, order
        unranked.setdefault(assignment.pool, {}).setdefault(assignment.config, []).append(assignment)
    first_short = worst_rank
    for rank, demand in enumerate(plan, start=1):
        yield
        groups = unranked.get(demand.pool, {})
        missing = demand.count - _rank_configured(groups, demand, rank)
        if not missing:
            continue
        wanted_later = {later.config for later in plan[rank:] if later.pool == demand.pool}
        if _reassign(groups, demand.config, rank, missing, wanted_later) < missing:
            first_short = min(first_short, rank)
    for assignment in assignments:
        assignment.in_accept_group = assignment.rank <= first_short and assignment.rank < worst_rank
    return first_short


def _rank_configured(groups: dict[SlotTemplate, list[TemplateAssignment]], demand: PlanEntry, rank: int) -> int:
    """Rank machines that already have the wanted configuration, and return the number of machines ranked."""
    configured = groups.get(demand.config, [])
    ranked = configured[: demand.count]
    for assignment in ranked:
        assignment.rank = rank
    groups[demand.config] = configured[demand.count :]
    return len(ranked)


def _reassign(
    groups: dict[SlotTemplate, list[TemplateAssignment]],
    config: SlotTemplate,
    rank: int,
    missing: int,
    wanted_later: set[SlotTemplate],
) -> int:
    """Assign a configuration to machines that can change to it without preemption.

    Args:
        groups: The pool's machines without a rank, by configuration; reassigned machines are removed.
        config: The new configuration.
        rank: The rank of the reassigned machines.
        missing: The maximum number of machines to reassign.
        wanted_later: Configurations of later plan entries; machines that have one of these are reassigned last.

    Returns:
        The number of machines reassigned.
    """
    convertible = [a for group in groups.values() for a in group if a.can_take_config(config)]
    convertible.sort(key=lambda a: (not a.empty, a.config in wanted_later, a.order))
    reassigned = convertible[:missing]
    reassigned_orders = {assignment.order for assignment in reassigned}
    for old_config in {assignment.config for assignment in reassigned}:
        groups[old_config] = [a for a in groups[old_config] if a.order not in reassigned_orders]
    for assignment in reassigned:
        assignment.rank, assignment.config, assignment.changed = rank, config, True
    return len(reassigned)
