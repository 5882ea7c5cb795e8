"""What becomes of controllers' requests to the state service: done late, answered late or never; open watches."""

from __future__ import annotations

import json
from collections.abc import Callable

import gevent

from ..emulators.kv_store import KeyValueStoreEmulator
from .cluster_base import ClusterBase
from .network_links import LATE_DELIVERY_S, STATE, LinkMode, run_detached


class StoreAccess:
    """The store as controllers reach it: watches that wait, slow answers, lost answers and late writes."""

    def __init__(self, basis: ClusterBase, state: KeyValueStoreEmulator, new_leader: Callable[[], None]) -> None:
        self.basis = basis
        self.store = state
        #: called as soon as a controller has taken the leader key, while reports are kept for that moment
        self.on_leader_elected = new_leader

    def request(self, near: str, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Answer a controller's request, under the faults in force."""
        if method != "GET" and self.basis.fault_rng.random() < self.basis.late_write_rate:
            # nobody is answered, and it is carried out after what the same controller sends next
            run_detached(self.basis.fault_rng.uniform(*LATE_DELIVERY_S), self.store.request, method, path, body, 1.0)
            gevent.sleep(1e6)
        status, answer = self.store.request(method, path, body, 1.0)
        if self.basis.retained_heartbeats and status == 200 and path == "/commit" and b'"set":"leader"' in body:
            self.on_leader_elected()
        if (
            self.basis.lost_response_rate
            and method != "GET"
            and self.basis.fault_rng.random() < self.basis.lost_response_rate
        ):
            gevent.sleep(1e6)
        if path.startswith("/changes") and status == 200:
            answer = self._watch(near, path, answer)
        elif self.basis.max_response_delay_s:
            gevent.sleep(self.basis.fault_rng.uniform(0.0, self.basis.max_response_delay_s))
        return status, answer

    def _watch(self, near: str, path: str, answer: bytes) -> bytes:
        """An open watch. In an outage, and while its controller alone is refused, it waits and says nothing."""
        end = self.basis.loop.time + float(path.partition("&waitMs=")[2] or 0) / 1000
        while self.basis.loop.time < end and not json.loads(answer)["events"]:
            gevent.sleep(0.1)
            if self.basis.links.mode(near, STATE) is LinkMode.REFUSED:
                continue
            status, news = self.store.request("GET", path, b"", 1.0)
            if status == 200:
                answer = news
        return answer
