"""Decides on the leader whether all controllers answer heartbeats, and maintains the workers assigned to this one."""

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

#: Interval of the leader's decisions; short, because thousands of workers may connect within three seconds.
DECISION_INTERVAL_S = 0.25
#: Interval of removing workers that no longer send heartbeats to this controller.
CLEANUP_INTERVAL_S = 1.0
#: Interval of log lines on the worker assignment.
STATUS_LOG_INTERVAL_S = 20.0


class AssignmentLoop:
    """Periodically updates the worker assignment of this controller."""

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
        """Create the loop.

        Args:
            max_workers: Maximum number of worker connections that this controller serves.
        """
        self.assignment = assignment
        self.forwarder = forwarder
        self.receiver = receiver
        self.directory = directory
        self.election = election
        self.current_term = current_term
        self.max_workers = max_workers
        self.clock = clock

    def run(self) -> None:
        """Update the assignment until the process ends."""
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
                self.decide_assignment_mode(term)

    def decide_assignment_mode(self, term: Term) -> None:
        """Decide on the leader whether all controllers answer heartbeats: by policy, or if one cannot serve all."""
        machines = len(term.inventory.machines) if self.directory.peers else 0
        wanted = assignment_enabled(term.wants_heartbeat_assignment, self.assignment.machine_count > 0, machines)
        self.assignment.update_machine_count(machines if wanted or machines > self.max_workers else 0)

    def on_peer_status(self, status: PeerStatus) -> None:
        """Mark a peer's capacity as current and, if the peer leads, adopt its assignment decision."""
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
