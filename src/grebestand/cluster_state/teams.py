"""Teams: what each is guaranteed, may use at most, and uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..settings.platform import Team
from .resources import Resources, to_micro_rounded_down

#: A limit that never binds, in millionths.
UNLIMITED = 1 << 62
#: How many tasks a limit that never binds allows.
UNLIMITED_TASKS = 1 << 30


def effective_limit(team: Team) -> tuple[int, int]:
    """Return what a team may use at most, in millionths of a CPU and of a GPU.

    A `cpus_max` of 0 is no limit: such a team has no guarantee and may use what is free. Read as "may use nothing" it
    could never run anything. For GPUs 0 stays a limit, as no team needs them to run at all.
    """
    cpu_limit = to_micro_rounded_down(team.cpus_max) if team.cpus_max > 0 else UNLIMITED
    return cpu_limit, to_micro_rounded_down(team.gpus_max)


@dataclass
class TeamUsage:
    """A team's quota and usage, all in millionths of a CPU and of a GPU."""

    name: str
    guaranteed: tuple[int, int]
    limit: tuple[int, int]
    #: What all its allocations take.
    used: list[int] = field(default_factory=lambda: [0, 0])
    #: What unknown tasks of it on unreconciled machines may take at most.
    unknown: list[int] = field(default_factory=lambda: [0, 0])
    #: Id of an overdue gang that the limit keeps waiting: nothing else of the team starts meanwhile.
    limit_reserved_for: str = ""

    def left_to(self, ident: str) -> bool:
        """Return whether the job with this id may take what is left of the limit."""
        return not self.limit_reserved_for or self.limit_reserved_for == ident

    def borrows(self) -> bool:
        """Return whether the team uses more than it is guaranteed."""
        return self.used[0] > self.guaranteed[0] or self.used[1] > self.guaranteed[1]

    def headroom(self, size: Resources) -> int:
        """Return how many more tasks of this size the limit allows, with what may run on unreconciled machines."""
        allowed = [
            (limit - used - unknown) // need
            for need, used, unknown, limit in zip(size[:2], self.used, self.unknown, self.limit, strict=True)
            if need > 0 and limit < UNLIMITED
        ]
        return max(0, min(allowed)) if allowed else UNLIMITED_TASKS
