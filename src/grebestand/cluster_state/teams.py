"""What a team is guaranteed, may use at the most, and uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..settings.platform import Team
from .resources import Resources, to_micro_rounded_down

#: a limit that is none, in millionths
UNLIMITED = 1 << 62


def effective_limit(team: Team) -> tuple[int, int]:
    """What a team may use at the most, in millionths of a CPU and of a card.

    A `cpus_max` of 0 is no limit: read as "may use nothing" it would leave a guest team nothing that it could ever run,
    and all its submissions were answered 422. Cards stay at none, as no team needs them to run at all.
    """
    return (to_micro_rounded_down(team.cpus_max) if team.cpus_max > 0 else UNLIMITED), to_micro_rounded_down(
        team.gpus_max
    )


@dataclass
class TeamUsage:
    name: str
    guaranteed: tuple[int, int]
    limit: tuple[int, int]
    used: list[int] = field(default_factory=lambda: [0, 0])
    #: what unknown tasks on machines not yet proved could use at the most
    unknown: list[int] = field(default_factory=lambda: [0, 0])

    #: an overdue gang that this team's limit keeps waiting: nothing else of the team starts meanwhile
    kept_for: str = ""

    def left_to(self, ident: str) -> bool:
        """Whether this job may take what is left of the limit."""
        return not self.kept_for or self.kept_for == ident

    def borrows(self) -> bool:
        return self.used[0] > self.guaranteed[0] or self.used[1] > self.guaranteed[1]

    def headroom(self, size: Resources) -> int:
        """How many more tasks of this size the team's limit allows, counting what may still be somewhere."""
        rooms = []
        for need, used, unknown, limit in zip(size[:2], self.used, self.unknown, self.limit, strict=True):
            if need > 0 and limit < UNLIMITED:
                rooms.append((limit - used - unknown) // need)
        return max(0, min(rooms)) if rooms else 1 << 30
