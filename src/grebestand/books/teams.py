"""What a team is guaranteed, may use at the most, and uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from .amounts import Amounts


@dataclass
class TeamUse:
    name: str
    guaranteed: tuple[int, int]
    limit: tuple[int, int]
    used: list[int] = field(default_factory=lambda: [0, 0])
    #: what unknown tasks on machines not yet proved could use at the most
    unknown: list[int] = field(default_factory=lambda: [0, 0])

    def borrows(self) -> bool:
        return self.used[0] > self.guaranteed[0] or self.used[1] > self.guaranteed[1]

    def headroom(self, size: Amounts) -> int:
        """How many more tasks of this size the team's limit allows, counting what may still be somewhere."""
        rooms = []
        for need, used, unknown, limit in zip(size[:2], self.used, self.unknown, self.limit, strict=True):
            if need > 0:
                rooms.append((limit - used - unknown) // need)
        return max(0, min(rooms)) if rooms else 1 << 30
