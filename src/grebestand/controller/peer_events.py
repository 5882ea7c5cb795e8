"""Dispatches events received from other controllers to the parts that handle them."""

from __future__ import annotations

import gevent

from ..leader.election import LeaderElection
from ..wire.peers import PeerStatus, ResignationNotice
from .assignment_loop import AssignmentLoop
from .cancellations import CancellationRecorder
from .leadership_news import LeadershipChangeNotifier
from .leadership_transfer import LeadershipTransfer


class PeerEvents:
    """Implementation of `api.peer_api.PeerListener` that passes events from peers to the parts that handle them."""

    def __init__(
        self,
        *,
        election: LeaderElection,
        leadership_changes: LeadershipChangeNotifier,
        assignment_loop: AssignmentLoop,
        cancellations: CancellationRecorder,
        transfer: LeadershipTransfer,
    ) -> None:
        self.election = election
        self.leadership_changes = leadership_changes
        self.assignment_loop = assignment_loop
        self.cancellations = cancellations
        self.transfer = transfer

    def on_peer_status(self, status: PeerStatus) -> None:
        """Handle a peer's response to a status exchange."""
        self.assignment_loop.on_peer_status(status)

    def on_peer_cancellations(self, job_ids: list[str]) -> None:
        """Handle the ids of jobs whose cancellation a peer has confirmed to users."""
        self.cancellations.record_from_peer(job_ids)

    def on_peer_resigned(self, notice: ResignationNotice) -> None:
        """Handle a leader's resignation in a separate greenlet, so that the response to the notice is not delayed."""
        gevent.spawn(self.transfer.handle_resignation, notice)

    def on_leader_restarted(self, name: str) -> None:
        """Handle the restart of the leader named `name`, whose term ended with its earlier process."""
        self.election.record_leader_restart(name)

    def on_peer_recovered(self) -> None:
        """Wake requests that wait for a peer which was unresponsive and now answers or refuses connections."""
        self.leadership_changes.notify_all()
