"""Greedy slot templates: the algorithms GPA and CRA of the paper, over one or several pools of machines.

A *configuration* (template) says how many slots of each task type a machine has. The Greedy Placement Algorithm (GPA)
plans how many machines should have which configuration. Classification and Reassignment (CRA) matches the plan with
the machines' present configurations, ranks the machines, and changes the configuration of empty ones. Machines up to
the rank at which the plan first runs short form the *accept group*, which takes tasks by its templates; the others
form the *reject group*, which takes tasks only after they have waited.

Everything here is pure: it computes plans from amounts and does not touch the cluster state.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field

from ..cluster_state.resources import Resources, dominant_share, fits, multiply, subtract, tasks_that_fit
from ..cluster_state.slots import Slot, SlotTemplate

#: a task's share of a machine counts for at least this much, so that payoffs can be divided by it
MIN_SHARE = 1e-9
#: rewards that differ by less are equal but for rounding
REWARD_TOLERANCE = 1e-9


@dataclass(frozen=True)
class Pool:
    """What machines have in common that are the same for every task type."""

    machine_type: int
    #: -1 where no task type is bound to a zone
    zone: int
    spot: bool
    capacity: Resources

    def takes(self, slot: Slot) -> bool:
        """Return whether tasks of a type may run on these machines and one of them fits."""
        return (
            (slot.spot_allowed or not self.spot)
            and (slot.machine_types is None or self.machine_type in slot.machine_types)
            and (slot.zone is None or slot.zone == self.zone)
            and fits(slot.size, self.capacity)
        )


@dataclass
class ServerDemand:
    """One entry of a plan: a configuration, and how many machines of a pool should have it."""

    pool: int
    config: SlotTemplate
    count: int


@dataclass
class TemplateAssignment:
    """A machine as CRA sees it: what it has and holds, and after CRA its rank, group and new configuration."""

    pool: int
    config: SlotTemplate
    empty: bool
    #: its tasks by type; empty if some have no place in any configuration of these types
    holds: SlotTemplate = ()
    #: 1 for machines of the plan's first entry; one more than the plan's length for machines that it does not use
    rank: int = 0
    accept: bool = False
    changed: bool = False
    #: the machine's index, for the caller
    tag: int = field(default=0)
    #: position in the order of assignment
    order: int = 0

    def may_become(self, config: SlotTemplate) -> bool:
        """Return whether the machine can take over a configuration without preemption.

        The paper reassigns empty machines only. Nothing is preempted either where everything that the machine holds
        has a slot in the new configuration.
        """
        return self.empty or (
            bool(self.holds) and all(held <= slots for held, slots in zip(self.holds, config, strict=True))
        )


def max_reward(slots: list[Slot], candidates: list[int], capacity: Resources) -> SlotTemplate:
    """Return a configuration of high reward made of candidate types only (Definition 2.3, approximated).

    The exact maximum is a knapsack problem. Here each candidate in turn is packed first, the others follow by payoff
    for the share of the machine they take, and the best of these packings wins. Ties go to the configuration with
    more slots of lower indices (Definition 2.2).

    Args:
        slots: all task types.
        candidates: indices of the types to pack.
        capacity: of one machine.
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
    """Return the configuration that results if as many slots as fit of each type are packed in order."""
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
    """Computes the best configuration of pools; pools with the same capacity and types share one."""

    def __init__(self, slots: list[Slot], pools: list[Pool]) -> None:
        self._slots = slots
        self._pools = pools
        self._types_by_pool = [{j for j, slot in enumerate(slots) if pool.takes(slot)} for pool in pools]
        self._known: dict[tuple[Resources, tuple[int, ...]], SlotTemplate] = {}

    def best(self, pool: int, candidates: list[int]) -> SlotTemplate:
        """Return the configuration of the highest reward made of those candidate types that the pool takes."""
        capacity = self._pools[pool].capacity
        types = tuple(j for j in candidates if j in self._types_by_pool[pool])
        config = self._known.get((capacity, types))
        if config is None:
            config = self._known[capacity, types] = max_reward(self._slots, list(types), capacity)
        return config


def gpa(slots: list[Slot], targets: list[float], pools: list[Pool], sizes: list[int]) -> list[ServerDemand]:
    """Plan configurations with the Greedy Placement Algorithm (Algorithm 1), for several pools.

    In each round every pool that still has machines gets the highest-reward configuration of the types that are
    left, and the pool with the highest reward is chosen. Machines are assigned until a type reaches its target; this
    type is then dropped.

    Args:
        slots: all task types.
        targets: how many slots of each type are wanted.
        pools: the pools of machines.
        sizes: how many machines each pool has.
    """
    remaining = [max(0.0, target) for target in targets]
    free_machines = list(sizes)
    candidates = [j for j in range(len(slots)) if remaining[j] > 0]
    configurations = _BestConfigurations(slots, pools)
    plan: list[ServerDemand] = []
    while candidates and any(free_machines):
        configs = [configurations.best(pool, candidates) if free_machines[pool] else () for pool in range(len(pools))]
        rewards = [_reward(slots, config) for config in configs]
        pool = max(range(len(pools)), key=lambda i: (rewards[i], -i))
        config = configs[pool]
        if rewards[pool] <= 0:
            break
        # the type that reaches its target first decides how many machines get this configuration
        used = [j for j in candidates if config[j] > 0]
        machines_needed = {j: -(-remaining[j] // config[j]) for j in used}
        first_done = min(used, key=lambda j: (machines_needed[j], j))
        count = min(int(machines_needed[first_done]), free_machines[pool])
        if count:
            plan.append(ServerDemand(pool, config, count))
            free_machines[pool] -= count
            for j in used:
                remaining[j] = max(0.0, remaining[j] - count * config[j])
        if remaining[first_done] <= 0:
            candidates.remove(first_done)
    return plan


def cra(assignments: list[TemplateAssignment], plan: list[ServerDemand]) -> int:
    """Run Classification and Reassignment (Algorithm 2): set each machine's rank, group and configuration.

    Args:
        assignments: the machines in order of assignment. Of the machines with one configuration the earlier ones
            are ranked first, and so stay in the accept group.
        plan: the result of `gpa`.

    Returns:
        The rank of the first configuration that is short of machines, or the plan's length plus one.
    """
    steps = cra_steps(assignments, plan)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return int(end.value)


def cra_steps(assignments: list[TemplateAssignment], plan: list[ServerDemand]) -> Generator[None, None, int]:
    """Do the same as `cra`, with a yield before each entry of the plan."""
    worst_rank = len(plan) + 1
    #: by pool and configuration, the machines without a rank in order of assignment
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
        assignment.accept = assignment.rank <= first_short and assignment.rank < worst_rank
    return first_short


def _rank_configured(groups: dict[SlotTemplate, list[TemplateAssignment]], demand: ServerDemand, rank: int) -> int:
    """Rank the machines that have the wanted configuration already, and return how many were ranked."""
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
    """Give a configuration to machines that can change without preemption, and return how many there were.

    Args:
        groups: the pool's machines without a rank, by their configuration; those that change are removed.
        config: the new configuration.
        rank: the rank of the machines that get it.
        missing: how many machines are to get it at most.
        wanted_later: configurations of later entries of the plan, which are taken last.
    """
    convertible = [a for group in groups.values() for a in group if a.may_become(config)]
    convertible.sort(key=lambda a: (not a.empty, a.config in wanted_later, a.order))
    reassigned = convertible[:missing]
    reassigned_orders = {assignment.order for assignment in reassigned}
    for old_config in {assignment.config for assignment in reassigned}:
        groups[old_config] = [a for a in groups[old_config] if a.order not in reassigned_orders]
    for assignment in reassigned:
        assignment.rank, assignment.config, assignment.changed = rank, config, True
    return len(reassigned)
