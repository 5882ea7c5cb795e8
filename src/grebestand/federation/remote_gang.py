"""State that the home cluster keeps about a gang offered or assigned to another cluster."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..cluster_state.jobs import Job
from ..wire.remote_assignment import RemoteAssignment
from .state_machines import HomeState


@dataclass
class RemoteGang:
    """One gang that was offered or is assigned to another cluster.

    Attributes:
        job: The gang.
        state: State of the gang's assignment; only `HomeCluster.change_state` changes it.
        offers: Number of offers sent so far.
        next_step_at: When the next step is due, by home's steady clock, in seconds.
        reservations: While the gang is offered, the ids of its reservations by cluster name.
        assignment: The chosen cluster and reservation, once chosen.
        recalled: Whether the user has requested to cancel the gang.
        unanswered_queries: Number of consecutive messages without a certain reply.
        busy: Whether a greenlet is running a step of the gang.
        offered_at: When the gang was last offered, by home's steady clock, in seconds.
        done: Whether the other cluster has confirmed that the gang is done.
    """

    job: Job
    state: HomeState = HomeState.WAITING
    offers: int = 0
    next_step_at: float = -math.inf
    reservations: dict[str, str] = field(default_factory=dict)
    assignment: RemoteAssignment | None = None
    recalled: bool = False
    unanswered_queries: int = 0
    busy: bool = False
    offered_at: float = 0.0
    done: bool = False


@dataclass(frozen=True)
class EndedReservation:
    """An ended reservation, whose record in the other cluster may be removed once home has recorded the end."""

    cluster: str
    job_id: str
    reservation_id: str
