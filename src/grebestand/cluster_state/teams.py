"""Teams: their guaranteed resources, limits and current usage."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..settings.platform import Team
from .resources import Resources, to_micro_rounded_down

#: Limit of a team without a limit, in millionths.
UNLIMITED = 1 << 62
#: Number of further tasks that a team without a limit may start.
UNLIMITED_TASKS = 1 << 30


def effective_limit(team: Team) -> tuple[int, int]:
    """Return the maximum usage of a team, in millionths of a CPU and of a GPU.

    A `cpus_max` of 0 means no limit: such a team has no guarantee and may use any free CPUs. Taken as a limit, 0 would
    keep the team from running any task, since every task needs CPUs. A `gpus_max` of 0 is a limit, as tasks can run
    without GPUs.
    """
    cpu_limit = to_micro_rounded_down(team.cpus_max) if team.cpus_max > 0 else UNLIMITED
    return cpu_limit, to_micro_rounded_down(team.gpus_max)


@dataclass
class TeamUsage:
    """A team's guarantee, limit and usage. All amounts are in millionths of a CPU and of a GPU."""

    name: str
    guaranteed: tuple[int, int]
    limit: tuple[int, int]
    #: Resources of all allocations of the team.
    used: list[int] = field(default_factory=lambda: [0, 0])
    #: Upper bound of the resources used by tasks of the team on unreconciled machines, which are not known yet.
    unreconciled_usage: list[int] = field(default_factory=lambda: [0, 0])
    #: Id of an overdue gang that waits for the team's limit, if any. No other job of the team starts tasks meanwhile,
    #: so that the remaining usage becomes sufficient for the gang.
    limit_reserved_for: str = ""

    def may_use_remaining_limit(self, job_id: str) -> bool:
        """Return whether the job with this id may use what remains of the team's limit."""
        return not self.limit_reserved_for or self.limit_reserved_for == job_id

    def exceeds_guarantee(self) -> bool:
        """Return whether the team's usage exceeds its guarantee."""
        return self.used[0] > self.guaranteed[0] or self.used[1] > self.guaranteed[1]

    def headroom(self, size: Resources) -> int:
        """Return how many more tasks of this size the limit allows.

        Tasks that may run on unreconciled machines count against the limit.
        """
        allowed = [
            (limit - used - unknown) // need
            for need, used, unknown, limit in zip(size[:2], self.used, self.unreconciled_usage, self.limit, strict=True)
            if need > 0 and limit < UNLIMITED
        ]
        return max(0, min(allowed)) if allowed else UNLIMITED_TASKS
