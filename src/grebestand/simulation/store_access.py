"""The state service as simulated controllers reach it: late and unanswered writes, delayed responses, watches."""

from __future__ import annotations

import json
from collections.abc import Callable

import gevent

from ..emulators.kv_store import KeyValueStoreEmulator
from .cluster_base import ClusterBase
from .network_links import LATE_DELIVERY_S, NEVER_S, STATE, LinkMode, run_detached

#: how often an open watch looks for changes, in seconds
WATCH_POLL_S = 0.1


class StoreAccess:
    """Forwards controllers' requests to the emulated state service, under the faults in force.

    Attributes:
        on_leader_elected: Called when a controller has written the leader key while heartbeats are retained.
    """

    def __init__(
        self, cluster: ClusterBase, store: KeyValueStoreEmulator, on_leader_elected: Callable[[], None]
    ) -> None:
        self.cluster = cluster
        self.store = store
        self.on_leader_elected = on_leader_elected

    def request(self, controller: str, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a controller's request.

        Args:
            controller: The host name of the controller.
            method: The HTTP method.
            path: The path with the query.
            body: The request's body.

        Returns:
            The status and the body of the response.
        """
        if method != "GET" and self.cluster.fault_rng.random() < self.cluster.late_write_rate:
            # The write is executed after later requests of the same controller, and never answered.
            delay_s = self.cluster.fault_rng.uniform(*LATE_DELIVERY_S)
            run_detached(delay_s, self.store.request, method, path, body, 1.0)
            gevent.sleep(NEVER_S)
        status, response = self.store.request(method, path, body, 1.0)
        if self.cluster.retained_heartbeats and status == 200 and path == "/commit" and b'"set":"leader"' in body:
            self.on_leader_elected()
        lost_rate = self.cluster.lost_response_rate
        if lost_rate and method != "GET" and self.cluster.fault_rng.random() < lost_rate:
            gevent.sleep(NEVER_S)
        if path.startswith("/changes") and status == 200:
            response = self._watch(controller, path, response)
        elif self.cluster.max_response_delay_s:
            gevent.sleep(self.cluster.fault_rng.uniform(0.0, self.cluster.max_response_delay_s))
        return status, response

    def _watch(self, controller: str, path: str, response: bytes) -> bytes:
        """Wait until a watch has changes or its time has passed, and return the response's body.

        In an outage, and while the link of the controller refuses connections, the watch stays open without changes.
        """
        end = self.cluster.loop.time + float(path.partition("&waitMs=")[2] or 0) / 1000
        while self.cluster.loop.time < end and not json.loads(response)["events"]:
            gevent.sleep(WATCH_POLL_S)
            if self.cluster.links.mode(controller, STATE) is LinkMode.REFUSED:
                continue
            status, latest = self.store.request("GET", path, b"", 1.0)
            if status == 200:
                response = latest
        return response
