"""The controller of one process: its interface for features, and the start of its loops and servers."""

from __future__ import annotations

import logging

import gevent

from ..api.http_server import listen, listen_bounded
from ..clients.runtime import Runtime, SystemRuntime
from ..features.hooks import Features
from ..flow_control.garbage_collection import collect_garbage_by_time
from ..leader.term import Term
from ..log_events import LogEvent
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from .cancellations import BROADCAST_DELAY_S
from .leader_loop import RENEW_INTERVAL_S
from .wiring import build_parts

log = logging.getLogger(__name__)

#: Intervals that tools/capacity.py computes the load of renewals and broadcasts from.
LEASE_RENEW_INTERVAL_S, CANCELLATION_BROADCAST_DELAY_S = RENEW_INTERVAL_S, BROADCAST_DELAY_S
#: Minimum limit of connections from peers, even if the connection plan has fewer.
MIN_PEER_CONNECTIONS = 64


class Controller:
    """A controller of the cluster, whose parts are built by `controller.wiring`."""

    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        features: Features | None = None,
        runtime: Runtime | None = None,
    ) -> None:
        """Build all parts and pass this controller to the features' `hosts` hooks, without starting anything.

        Args:
            settings: Settings of the platform.
            policy: Expressions of the policy.
            features: Hooks of the enabled features; none by default.
            runtime: Clock, random numbers and connections; those of the operating system by default.
        """
        self.settings = settings
        self.policy = policy
        self.features = features if features is not None else Features()
        self.runtime: Runtime = runtime if runtime is not None else SystemRuntime()
        self.name = settings.name
        parts = build_parts(settings, policy, self.features, self.runtime)
        foundation = parts.foundation
        self.clock = foundation.clock
        self.election = foundation.election
        self.current_term = foundation.current_term
        self.completed_jobs = foundation.completed_jobs
        self.store = foundation.clients.store
        self.store_transport = foundation.clients.store_transport
        self.overload = foundation.overload
        self.connections = foundation.connections
        self.worker_assignment = parts.relay.assignment
        self.batch_receiver = parts.relay.receiver
        self.peer_api = parts.peer_api
        self.job_api = parts.job_api
        self.direct_commands = parts.direct_commands
        self.leadership_transfer = parts.leadership_transfer
        self.http_front = parts.http_front
        self.app = parts.http_front.app
        self._loops = parts.loops
        for hook in self.features.hosts:
            hook(self)

    @property
    def term(self) -> Term | None:
        """The term of this controller; None while this controller is a follower."""
        return self.current_term.term

    # implementation of `features.hooks.Host` --------------------------------------------------------------

    def leading_term(self) -> Term | None:
        """Return the term if its records are loaded and this controller leads now, else None."""
        term = self.current_term.loaded()
        return term if term is not None and term.writer.is_leader() else None

    def leader(self) -> str | None:
        """Return the name of the leader as last read by this controller, or None if it is unknown."""
        return self.election.leader

    def cancel(self, ref: str) -> bool:
        """Cancel a job as if a user had requested it; return whether the job is completed or cancelled now."""
        return self.job_api.cancel(ref).status == 200

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """Send a message to the peer that is the leader by both the leader key and the peer's latest status.

        Args:
            path: Path of the message.
            body: Encoded message.

        Returns:
            The peer's response, or None if no such peer is known or the peer did not respond.
        """
        for peer in self.peer_api.peers:
            if peer.last_status is not None and peer.last_status.token and peer.name == self.election.leader:
                return peer.send(path, body)
        return None

    # loops and servers ------------------------------------------------------------------------------------

    def start_loops(self) -> None:
        """Spawn all loops, each of which runs until the process ends."""
        for loop in self._loops:
            gevent.spawn(loop)

    def serve(self) -> None:
        """Listen on all addresses, spawn all loops, and serve requests until the process ends."""
        server = listen_bounded(
            self.settings.listen,
            "serve_on",
            self.app,
            self.connections,
            self.worker_assignment.record_connection_closed,
        )
        peer_connections = max(MIN_PEER_CONNECTIONS, self.connections.from_peers)
        listen(self.settings.peer_listen, "peer_listen", self.peer_api.app, peer_connections).start()
        for listener in self.features.listeners:
            listen(listener.address, listener.field, listener.app, listener.connections, listener.gate).start()
        self.start_loops()
        gevent.spawn(collect_garbage_by_time, gevent.sleep, self._has_spare_time)
        log.info(LogEvent("controller_started", controller=self.name, address=self.settings.listen))
        server.serve_forever()

    def _has_spare_time(self) -> bool:
        return self.overload.has_spare_time
