"""The other controllers of the cluster, and which of them lead or serve workers by their latest status."""

from __future__ import annotations

from collections.abc import Callable

from ..clients.peer import PeerClient
from ..heartbeat_relay.worker_assignment import PeerCapacity
from ..state_machines import LoadState
from .current_term import CurrentTerm

#: Validity of a peer's status after receipt; statuses are exchanged about once a second.
STATUS_VALID_S = 2.5


class PeerDirectory:
    """Finds peers by role and capacity in their latest status."""

    def __init__(
        self, peers: list[PeerClient], zones: dict[str, str], clock: Callable[[], float], current_term: CurrentTerm
    ) -> None:
        """Create a directory of the other controllers.

        Args:
            peers: Clients of the other controllers.
            zones: Zone of each peer, by the peer's name.
            clock: Monotonic clock, in seconds.
            current_term: This controller's term.
        """
        self.peers = peers
        self.zones = zones
        self.clock = clock
        self.current_term = current_term

    def all(self) -> list[PeerClient]:
        """Return all other controllers, including those that do not respond."""
        return self.peers

    def accepting_workers(self) -> list[PeerCapacity]:
        """Return the capacity of each peer that answers heartbeats, according to a valid status."""
        now = self.clock()
        return [
            PeerCapacity(
                peer.name,
                self.zones[peer.name],
                peer.last_status.token > 0,
                peer.last_status.kept_workers,
                peer.last_status.free_connections,
                peer.last_status.load == LoadState.OVERLOADED.value,
                peer.last_status.heartbeats_per_s,
            )
            for peer in self.peers
            if peer.last_status is not None
            and peer.last_status.free_connections >= 0
            and now - peer.last_heard_at < STATUS_VALID_S
        ]

    def leading_peer(self) -> PeerClient | None:
        """Return the peer that leads according to a valid status, or None.

        Of several such peers, the one with the highest fencing token is returned. Reading the leader key is not
        necessary: a controller that receives a batch of heartbeats checks itself whether it may answer the batch.
        """
        if self.current_term.term is not None:
            return None
        now = self.clock()
        leader, leader_token = None, 0
        for peer in self.peers:
            if peer.last_status is None or not peer.last_status.token or now - peer.last_heard_at >= STATUS_VALID_S:
                continue
            if leader is None or peer.last_status.token > leader_token:
                leader, leader_token = peer, peer.last_status.token
        return leader
