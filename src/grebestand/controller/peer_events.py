"""What this controller does when it learns something from another one."""

from __future__ import annotations

import gevent

from ..leader.election import LeaderElection
from ..wire.peers import PeerStatus, ResignationNotice
from .assignment_loop import AssignmentLoop
from .cancellations import CancellationRecorder
from .leadership_news import LeadershipNews
from .leadership_transfer import LeadershipTransfer


class PeerEvents:
    """Passes events of peers to the parts that act on them (`api.peer_api.PeerListener`)."""

    def __init__(
        self,
        *,
        election: LeaderElection,
        news: LeadershipNews,
        assignment_loop: AssignmentLoop,
        cancellations: CancellationRecorder,
        transfer: LeadershipTransfer,
    ) -> None:
        self.election = election
        self.news = news
        self.assignment_loop = assignment_loop
        self.cancellations = cancellations
        self.transfer = transfer

    def on_peer_status(self, status: PeerStatus) -> None:
        """A peer has answered with its status."""
        self.assignment_loop.on_peer_status(status)

    def on_peer_cancellations(self, job_ids: list[str]) -> None:
        """A peer has confirmed these cancellations to its users."""
        self.cancellations.record_from_peer(job_ids)

    def on_peer_resigned(self, notice: ResignationNotice) -> None:
        """A peer that led has resigned. The answer to it does not wait for what follows."""
        gevent.spawn(self.transfer.succeed, notice)

    def on_leader_restarted(self, name: str) -> None:
        """A peer that led has a new process, so its term is over."""
        self.election.record_leader_restart(name)

    def on_peer_recovered(self) -> None:
        """A peer that hung answers again, so requests that wait for it may go on."""
        self.news.announce()
