"""Greedy templates: the paper's GPA and CRA, over one or several pools of machines.

Everything here is pure: amounts in, plans out.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field

from ..cluster_state.resources import Resources, dominant_share, fits, multiply, subtract, tasks_that_fit
from ..cluster_state.slots import Slot, SlotTemplate


@dataclass(frozen=True)
class Pool:
    """Machines that are alike for every task type."""

    machine_type: int
    zone: int
    spot: bool
    room: Resources

    def takes(self, slot: Slot) -> bool:
        return (
            (slot.spot or not self.spot)
            and (slot.machine_types is None or self.machine_type in slot.machine_types)
            and (slot.zone is None or slot.zone == self.zone)
            and fits(slot.size, self.room)
        )


def max_reward(slots: list[Slot], candidates: list[int], room: Resources) -> SlotTemplate:
    """A configuration of high reward made of candidate types only (Definition 2.3, approximated).

    The exact maximum is a knapsack. Here each candidate in turn is packed first, the others follow by payoff
    for the share of the machine they take, and the best of these fillings wins; ties go to the lower index
    (Definition 2.2).
    """
    density = sorted(candidates, key=lambda j: (-slots[j].payoff / max(dominant_share(slots[j].size, room), 1e-9), j))
    best: SlotTemplate = (0,) * len(slots)
    best_reward = 0.0
    for first in density:
        counts = [0] * len(slots)
        left = room
        for j in (first, *density):
            n = tasks_that_fit(slots[j].size, left)
            if n:
                counts[j] += n
                left = subtract(left, multiply(slots[j].size, n))
        reward = sum(n * slots[j].payoff for j, n in enumerate(counts))
        config = tuple(counts)
        if reward > best_reward + 1e-9 or (abs(reward - best_reward) <= 1e-9 and config > best):
            best, best_reward = config, reward
    return best


@dataclass
class ServerDemand:
    """One configuration of the plan, with the machines it should have in a pool."""

    pool: int
    config: SlotTemplate
    count: int


def gpa(slots: list[Slot], targets: list[float], pools: list[Pool], sizes: list[int]) -> list[ServerDemand]:
    """Greedy Placement Algorithm (Algorithm 1), for several pools.

    In each round every pool that still has machines gets the highest-reward configuration of the types that
    are left; machines are given until a type runs out, which is then dropped.
    """
    left = [max(0.0, t) for t in targets]
    free = list(sizes)
    candidates = [j for j in range(len(slots)) if left[j] > 0]
    plan: list[ServerDemand] = []
    #: pools alike in size and in what they take share a configuration, also from one round to the next
    known: dict[tuple[Resources, tuple[int, ...]], SlotTemplate] = {}
    taken = [{j for j, slot in enumerate(slots) if pool.takes(slot)} for pool in pools]

    def best(p: int) -> SlotTemplate:
        key = pools[p].room, tuple(j for j in candidates if j in taken[p])
        found = known.get(key)
        if found is None:
            found = known[key] = max_reward(slots, list(key[1]), pools[p].room)
        return found

    while candidates and any(free):
        configs = [best(p) if free[p] else () for p in range(len(pools))]
        rewards = [sum(n * slots[j].payoff for j, n in enumerate(c)) for c in configs]
        p = max(range(len(pools)), key=lambda i: (rewards[i], -i))
        config = configs[p]
        if rewards[p] <= 0:
            break
        # the type that runs out first decides how many machines get this configuration
        used = [j for j in candidates if config[j] > 0]
        out = min(used, key=lambda j: (-(-left[j] // config[j]), j))
        count = min(int(-(-left[out] // config[out])), free[p])
        if count:
            plan.append(ServerDemand(p, config, count))
            free[p] -= count
            for j in used:
                left[j] = max(0.0, left[j] - count * config[j])
        if left[out] <= 0:
            candidates.remove(out)
    return plan


@dataclass
class TemplateAssignment:
    """A machine as the classification sees it."""

    pool: int
    config: SlotTemplate
    empty: bool
    holds: SlotTemplate = ()
    rank: int = 0
    accept: bool = False
    changed: bool = False
    tag: int = field(default=0)
    order: int = 0

    def may_become(self, config: SlotTemplate) -> bool:
        """The paper reassigns empty machines only, so that nothing is preempted. Nothing is either where all
        that the machine holds has a slot in the new configuration."""
        return self.empty or (bool(self.holds) and all(h <= n for h, n in zip(self.holds, config, strict=True)))


def cra(seats: list[TemplateAssignment], plan: list[ServerDemand]) -> int:
    """Classification and Reassignment (Algorithm 2): sets rank, group and, for empty machines, configuration.

    Seats are in order of assignment: of the machines with one configuration the earlier ones have the higher
    index, keep their rank first and so stay in the accept group. Returns the rank of the first configuration
    short of its target.
    """
    steps = cra_steps(seats, plan)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return int(end.value)


def cra_steps(seats: list[TemplateAssignment], plan: list[ServerDemand]) -> Generator[None, None, int]:
    """The same, with a yield after each entry of the plan."""
    worst = len(plan) + 1
    #: by pool and configuration, who has no rank yet, in order of assignment
    unranked: dict[int, dict[SlotTemplate, list[TemplateAssignment]]] = {}
    for order, seat in enumerate(seats):
        seat.rank, seat.changed, seat.order = worst, False, order
        unranked.setdefault(seat.pool, {}).setdefault(seat.config, []).append(seat)
    short = worst
    for i, wanted in enumerate(plan, start=1):
        yield
        groups = unranked.get(wanted.pool, {})
        mine = groups.get(wanted.config, [])
        for seat in mine[: wanted.count]:
            seat.rank = i
        groups[wanted.config] = mine[wanted.count :]
        lack = wanted.count - min(len(mine), wanted.count)
        if not lack:
            continue
        later = {w.config for w in plan[i:] if w.pool == wanted.pool}
        ready = [s for group in groups.values() for s in group if s.may_become(wanted.config)]
        # an empty machine whose configuration no later entry wants is the cheapest one to take
        ready.sort(key=lambda s: (not s.empty, s.config in later, s.order))
        gone = {seat.order for seat in ready[:lack]}
        for config in {seat.config for seat in ready[:lack]}:
            groups[config] = [s for s in groups[config] if s.order not in gone]
        for seat in ready[:lack]:
            seat.rank, seat.config, seat.changed = i, wanted.config, True
        if lack > len(ready):
            short = min(short, i)
    for seat in seats:
        seat.accept = seat.rank <= short and seat.rank < worst
    return short
