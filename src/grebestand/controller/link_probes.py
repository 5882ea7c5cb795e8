"""Probes of links that carry no requests of their own at present."""

from __future__ import annotations

import contextlib
import random

import gevent

from ..api.peer_api import PeerApi
from ..clients.http import UnreachableError
from ..clients.runtime import Runtime
from ..connectivity.link_health import LinkHealth
from ..connectivity.store_proxy import ProxiedStoreTransport
from ..leader.election import LEADER_KEY
from ..state_machines import LinkState
from .current_term import CurrentTerm

#: a probe is given up after this time
PROBE_TIMEOUT_S = 1.0


class StoreLinkProbe:
    """Tries the direct way to the key-value store while requests go through a peer, to notice when it works again."""

    def __init__(self, link: LinkHealth, transport: ProxiedStoreTransport, rng: random.Random) -> None:
        self.link = link
        self.transport = transport
        self.rng = rng

    def run(self) -> None:
        """Probe about once a second until the process ends."""
        while True:
            gevent.sleep(0.8 + 0.4 * self.rng.random())
            if self.link.state is not LinkState.UP:
                # the transport records the failure at the link
                with contextlib.suppress(UnreachableError):
                    self.transport.request_directly("GET", f"/store/{LEADER_KEY}", b"", PROBE_TIMEOUT_S)


class WorkerLinkProbe:
    """Requests the state of some workers while this controller follows.

    Workers send followers no heartbeats until the leader is lost, so a follower would not know whether it reaches any.
    """

    def __init__(
        self,
        *,
        link: LinkHealth,
        current_term: CurrentTerm,
        peer_api: PeerApi,
        runtime: Runtime,
        heartbeat_interval_s: float,
    ) -> None:
        self.link = link
        self.current_term = current_term
        self.peer_api = peer_api
        self.runtime = runtime
        self.heartbeat_interval_s = heartbeat_interval_s

    def run(self) -> None:
        """Probe one worker after the other, about two in each heartbeat interval, until the process ends."""
        while True:
            gevent.sleep(self.heartbeat_interval_s * (0.4 + 0.2 * self.runtime.rng.random()))
            addresses = self.peer_api.samples
            if self.current_term.term is None and addresses:
                address = addresses.pop(0)
                addresses.append(address)
                self._probe(address)

    def _probe(self, address: str) -> None:
        sent_at = self.runtime.clock()
        try:
            self.runtime.request_once("GET", address, "/show", b"", PROBE_TIMEOUT_S)
            self.link.record_success()
        except UnreachableError as error:
            self.link.record_failure(sent_at, str(error), self.heartbeat_interval_s)
