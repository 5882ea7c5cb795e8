"""The other controllers of the cluster, and which of them lead or serve workers according to their latest status."""

from __future__ import annotations

from collections.abc import Callable

from ..clients.peer import PeerClient
from ..heartbeat_relay.worker_assignment import PeerCapacity
from ..state_machines import LoadState
from .current_term import CurrentTerm

#: the status of a peer counts for this long after it was received; statuses come about once a second
STATUS_VALID_S = 2.5


class PeerDirectory:
    """Finds peers by what their latest status says."""

    def __init__(
        self, peers: list[PeerClient], zones: dict[str, str], clock: Callable[[], float], current_term: CurrentTerm
    ) -> None:
        """Create a directory of `peers`; `zones` maps the name of each to its zone."""
        self.peers = peers
        self.zones = zones
        self.clock = clock
        self.current_term = current_term

    def all(self) -> list[PeerClient]:
        """Return all other controllers, whether they answer or not."""
        return self.peers

    def accepting_workers(self) -> list[PeerCapacity]:
        """Return the capacity of each peer whose recent status says that it answers heartbeats."""
        now = self.clock()
        return [
            PeerCapacity(
                peer.name,
                self.zones[peer.name],
                peer.last.token > 0,
                peer.last.kept_workers,
                peer.last.free_connections,
                peer.last.load == LoadState.OVERLOADED.value,
                peer.last.heartbeats_per_s,
            )
            for peer in self.peers
            if peer.last is not None and peer.last.free_connections >= 0 and now - peer.last_heard_at < STATUS_VALID_S
        ]

    def leading_peer(self) -> PeerClient | None:
        """Return the peer that leads by its own recent status; of several, the one with the highest fencing token.

        The leader key is not read: whoever receives a batch of heartbeats decides itself whether it may answer.
        """
        if self.current_term.term is not None:
            return None
        now = self.clock()
        leader, leader_token = None, 0
        for peer in self.peers:
            if peer.last is None or not peer.last.token or now - peer.last_heard_at >= STATUS_VALID_S:
                continue
            if leader is None or peer.last.token > leader_token:
                leader, leader_token = peer, peer.last.token
        return leader
