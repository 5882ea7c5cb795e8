"""Composes the status that this controller exchanges with its peers about once a second."""

from __future__ import annotations

import math
import random

from ..connectivity.link_health import LinkHealth
from ..flow_control.overload import OverloadMonitor
from ..heartbeat_relay.forwarder import HeartbeatForwarder
from ..heartbeat_relay.worker_assignment import WorkerAssignment
from ..leader.election import LeaderElection
from ..wire.peers import PeerStatus
from .cancellations import CancellationRecorder
from .current_term import CurrentTerm

#: Value of `PeerStatus.workers_age_s` while no worker has reached this controller yet.
NO_WORKER_SEEN_S = -1.0
#: Value of `PeerStatus.free_connections` while this controller answers no heartbeats.
NO_WORKERS_ACCEPTED = -1


class PeerStatusComposer:
    """Composes this controller's status from the state of its parts, without changing any of them."""

    def __init__(
        self,
        *,
        name: str,
        election: LeaderElection,
        current_term: CurrentTerm,
        store_link: LinkHealth,
        workers_link: LinkHealth,
        overload: OverloadMonitor,
        assignment: WorkerAssignment,
        forwarder: HeartbeatForwarder,
        cancellations: CancellationRecorder,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.election = election
        self.current_term = current_term
        self.store_link = store_link
        self.workers_link = workers_link
        self.overload = overload
        self.assignment = assignment
        self.forwarder = forwarder
        self.cancellations = cancellations
        self.rng = rng
        #: Random number of this process, by which peers notice that a controller of the same name has restarted.
        self.incarnation = rng.getrandbits(62)

    def compose(self) -> PeerStatus:
        """Return the current status. Fields that only a leader has are empty or 0 unless this controller leads."""
        term = self.current_term.loaded() if self.election.is_leader() else None
        return PeerStatus(
            name=self.name,
            token=self.election.token if term is not None else 0,
            state_age_s=self.store_link.silence_s,
            task_counts=term.status_broadcast.counts() if term is not None else {},
            load=self.overload.state.value,
            workers_age_s=self.workers_link.silence_s
            if self.workers_link.last_received_at > -math.inf
            else NO_WORKER_SEEN_S,
            worker_addresses=term.status_broadcast.sample_addresses(self.rng) if term is not None else [],
            incarnation=self.incarnation,
            cancelled=self.cancellations.recent(),
            kept_workers=len(self.assignment.kept_workers),
            free_connections=self.assignment.free_connections
            if term is not None or self.forwarder.accepts_heartbeats()
            else NO_WORKERS_ACCEPTED,
            heartbeats_per_s=self.assignment.heartbeats_per_s,
            shared_machines=self.assignment.machine_count if term is not None else 0,
        )
