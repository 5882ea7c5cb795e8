"""Probes of links over which no other requests are sent at the moment."""

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

#: Timeout of a probe.
PROBE_TIMEOUT_S = 1.0
#: Interval between two probes of the store: the shortest one, and the longest random part added to it.
STORE_PROBE_INTERVAL_S, STORE_PROBE_JITTER_S = 0.8, 0.4
#: Interval between two probes of workers, in heartbeat intervals: the shortest one, and the longest random addition.
WORKER_PROBE_INTERVALS, WORKER_PROBE_JITTER_INTERVALS = 0.4, 0.2


class StoreLinkProbe:
    """Probes the direct link to the key-value store while that link is not up.

    Store requests are then proxied by a peer, so that nothing else shows when the direct link works again.
    """

    def __init__(self, link: LinkHealth, transport: ProxiedStoreTransport, rng: random.Random) -> None:
        self.link = link
        self.transport = transport
        self.rng = rng

    def run(self) -> None:
        """Probe about once a second until the process ends."""
        while True:
            gevent.sleep(STORE_PROBE_INTERVAL_S + STORE_PROBE_JITTER_S * self.rng.random())
            if self.link.state is not LinkState.UP:
                # a failure needs no handling here, as the transport records failures in the link's health
                with contextlib.suppress(UnreachableError):
                    self.transport.request_directly("GET", f"/store/{LEADER_KEY}", b"", PROBE_TIMEOUT_S)


class WorkerLinkProbe:
    """Probes the link to workers with status requests to some workers while this controller is a follower.

    Workers send followers no heartbeats until the leader is lost, so a follower would not know whether its link to
    workers is up.
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
        """Probe one worker after another, about two in each heartbeat interval, until the process ends."""
        while True:
            intervals = WORKER_PROBE_INTERVALS + WORKER_PROBE_JITTER_INTERVALS * self.runtime.rng.random()
            gevent.sleep(self.heartbeat_interval_s * intervals)
            addresses = self.peer_api.sampled_worker_addresses
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
