"""What a live record says of a gang that another cluster runs, or may come to run."""

from __future__ import annotations

import msgspec


class RemoteAssignment(msgspec.Struct, frozen=True):
    """The cluster that a gang was decided for, and the reservation there that the decision names."""

    cluster: str
    id: str
