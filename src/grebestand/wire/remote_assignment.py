"""The mark in a live job's record that another cluster runs the job, or may come to run it."""

from __future__ import annotations

import msgspec


class RemoteAssignment(msgspec.Struct, frozen=True):
    """The cluster to which a gang was assigned.

    Attributes:
        cluster: Name of the cluster.
        id: Name of the reservation in that cluster to which the assignment refers.
    """

    cluster: str
    id: str
