"""What a leader keeps for its successors: machines, where tasks may be, and rentals that are not settled."""

from __future__ import annotations

import msgspec


class MachineRecord(msgspec.Struct, array_like=True):
    type: str
    zone: str
    spot: bool
    addr: str


class GrantRecord(msgspec.Struct, array_like=True):
    """Where a job's tasks below `hi` may have been started; no list: anywhere."""

    hi: int
    machines: list[str] | None = None

    def joined(self, other: GrantRecord) -> GrantRecord:
        if self.machines is None or other.machines is None:
            return GrantRecord(max(self.hi, other.hi), None)
        return GrantRecord(max(self.hi, other.hi), sorted({*self.machines, *other.machines}))


class RentalRecord(msgspec.Struct):
    type: str
    zone: str
    spot: bool
    count: int
