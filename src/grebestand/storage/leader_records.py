"""Records that a leader stores so that the next leader can recover: machines, possible allocations, pending rentals."""

from __future__ import annotations

import msgspec


class MachineRecord(msgspec.Struct, array_like=True):
    """A machine of the inventory. The record is stored under the name of the machine.

    Attributes:
        type: Name of the machine type.
        zone: Name of the zone that the machine is in.
        spot: Whether the machine is a spot machine, which the cloud may reclaim.
        addr: Address of the worker on the machine, as `host:port`.
    """

    type: str
    zone: str
    spot: bool
    addr: str


class GrantRecord(msgspec.Struct, array_like=True):
    """The machines on which a leader may have started tasks of a job.

    A grant is stored before the tasks are started, so that a new leader knows where tasks may be running.

    Attributes:
        index_bound: Upper bound (exclusive) of the task indexes that may have been started.
        machines: Names of the machines on which these tasks may have been started. None means any machine.
    """

    index_bound: int = msgspec.field(name="hi")
    machines: list[str] | None = None

    def union(self, other: GrantRecord) -> GrantRecord:
        """Return the smallest grant that covers both grants."""
        if self.machines is None or other.machines is None:
            return GrantRecord(max(self.index_bound, other.index_bound), None)
        return GrantRecord(max(self.index_bound, other.index_bound), sorted({*self.machines, *other.machines}))


class RentalRecord(msgspec.Struct):
    """A request to rent machines from the cloud, stored until the outcome of the request is known.

    Attributes:
        type: Name of the machine type.
        zone: Name of the zone in which machines are requested.
        spot: Whether spot machines are requested.
        count: Number of machines requested.
    """

    type: str
    zone: str
    spot: bool
    count: int
