"""Decides, as the leader, which controllers answer heartbeats, and maintains the workers assigned to this one."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

from ..heartbeat_relay.batch_receiver import BatchReceiver
from ..heartbeat_relay.forwarder import HeartbeatForwarder
from ..heartbeat_relay.worker_assignment import WorkerAssignment, assignment_enabled
from ..leader.election import LeaderElection
from ..leader.term import Term
from ..log_events import LogEvent
from ..wire.peers import PeerStatus
from .current_term import CurrentTerm
from .peer_directory import PeerDirectory

log = logging.getLogger(__name__)

#: between two decisions of the leader; short, because thousands of workers may arrive within three seconds
DECISION_INTERVAL_S = 0.25
#: between two removals of workers that no longer send heartbeats here
CLEANUP_INTERVAL_S = 1.0
#: between two log lines on the assignment
STATUS_LOG_INTERVAL_S = 20.0


class AssignmentLoop:
    """Runs the worker assignment of this controller."""

    def __init__(
        self,
        *,
        assignment: WorkerAssignment,
        forwarder: HeartbeatForwarder,
        receiver: BatchReceiver,
        directory: PeerDirectory,
        election: LeaderElection,
        current_term: CurrentTerm,
        max_workers: int,
        clock: Callable[[], float],
    ) -> None:
        """`max_workers` is the number of worker connections that this controller can serve."""
        self.assignment = assignment
        self.forwarder = forwarder
        self.receiver = receiver
        self.directory = directory
        self.election = election
        self.current_term = current_term
        self.max_workers = max_workers
        self.clock = clock

    def run(self) -> None:
        """Decide and clean up until the process ends."""
        logged_at = cleaned_at = self.clock()
        while True:
            gevent.sleep(DECISION_INTERVAL_S)
            if self.clock() - cleaned_at >= CLEANUP_INTERVAL_S:
                cleaned_at = self.clock()
                self.assignment.update_rate_and_expire()
            if self.assignment.machine_count and self.clock() - logged_at >= STATUS_LOG_INTERVAL_S:
                logged_at = self.clock()
                self._log_status()
            term = self.current_term.loaded()
            if term is not None and self.election.is_leader():
                self.decide(term)

    def decide(self, term: Term) -> None:
        """Decide, as the leader, whether every controller answers heartbeats: by policy, or if one cannot serve all."""
        machines = len(term.inventory.machines) if self.directory.peers else 0
        wanted = assignment_enabled(term.wants_heartbeat_assignment, self.assignment.machine_count > 0, machines)
        self.assignment.update_machine_count(machines if wanted or machines > self.max_workers else 0)

    def on_peer_status(self, status: PeerStatus) -> None:
        """Take the capacity of a peer as current, and, from the leader, its decision."""
        self.assignment.record_peer_status(status.name)
        if status.token and self.current_term.term is None:
            self.assignment.update_machine_count(status.shared_machines)

    def _log_status(self) -> None:
        log.info(
            LogEvent(
                "worker_assignment_status",
                assigned=len(self.assignment.kept_workers),
                machines=self.assignment.machine_count,
                heartbeats_forwarded=self.forwarder.forwarded_count,
                batches_sent=self.forwarder.batch_count,
                heartbeats_received=self.receiver.heartbeats_received,
                redirected=self.assignment.redirect_count,
            )
        )
