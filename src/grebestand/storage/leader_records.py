"""Records that a leader stores for its successors: machines, possible allocations and pending rentals."""

from __future__ import annotations

import msgspec


class MachineRecord(msgspec.Struct, array_like=True):
    """A machine of the inventory, stored under its name.

    Attributes:
        type: Name of the machine type.
        zone: Zone in which the machine stands.
        spot: Whether the cloud may reclaim the machine.
        addr: Address of the machine's worker, as `host:port`.
    """

    type: str
    zone: str
    spot: bool
    addr: str


class GrantRecord(msgspec.Struct, array_like=True):
    """The machines on which tasks of a job may have been started.

    Attributes:
        hi: Upper bound (exclusive) of the task indexes that may have been started.
        machines: Names of the machines concerned; None stands for any machine.
    """

    hi: int
    machines: list[str] | None = None

    def joined(self, other: GrantRecord) -> GrantRecord:
        """Return the smallest grant that covers both grants."""
        if self.machines is None or other.machines is None:
            return GrantRecord(max(self.hi, other.hi), None)
        return GrantRecord(max(self.hi, other.hi), sorted({*self.machines, *other.machines}))


class RentalRecord(msgspec.Struct):
    """A request to the cloud for machines whose outcome is not settled yet.

    Attributes:
        type: Name of the machine type.
        zone: Zone in which the machines are to stand.
        spot: Whether spot machines are requested.
        count: Number of machines requested.
    """

    type: str
    zone: str
    spot: bool
    count: int
