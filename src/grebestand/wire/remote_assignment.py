"""The part of a live job's record that assigns the job to another cluster, which runs it or may start it later."""

from __future__ import annotations

import msgspec


class RemoteAssignment(msgspec.Struct, frozen=True):
    """The cluster that a gang is assigned to.

    Attributes:
        cluster: Name of that cluster.
        id: Id of the reservation that was made for the gang in that cluster.
    """

    cluster: str
    id: str
