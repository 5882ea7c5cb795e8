"""What home knows of a gang that it has offered to other clusters, or that is abroad."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..cluster_state.jobs import Job
from ..wire.remote_assignment import RemoteAssignment
from .state_machines import HomeState


@dataclass
class RemoteGang:
    """One gang that is offered or abroad.

    Attributes:
        job: the gang.
        state: where home's decision stands; only `HomeCluster.move` changes it.
        offers: offers sent so far.
        next_step_at: when the next step is due, by home's steady clock.
        reservations: while offered, the ids of the reservations by cluster name.
        assignment: the chosen cluster and reservation, from the decision on.
        recalled: the user has asked to cancel it.
        unanswered_queries: messages in a row that had no certain reply.
        busy: a greenlet is at work on it.
        offered_at: when it was last offered.
        done: the other cluster has confirmed that it is done.
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
    """A reservation that has ended: the other cluster's record of it may be removed once home's is durable."""

    cluster: str
    job_id: str
    reservation_id: str
