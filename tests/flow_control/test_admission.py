"""Which requests a controller admits, by its quota and its load state."""

from __future__ import annotations

import json

import pytest

from grebestand.api.heartbeat_api import HeartbeatApi
from grebestand.controller.controller import Controller
from grebestand.controller.http_front import HttpFront
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController


def settings_with_quota(cpu: float, memory_mb: float, sockets: int) -> str:
    return f"{SETTINGS}\n[params.quota]\ncpu = {cpu}\nmemory_mb = {memory_mb}\nsockets = {sockets}\n"


@pytest.mark.parametrize(
    ("cpu", "memory_mb", "sockets", "limit"), [(0.05, 4096, 8000, 20), (1.0, 16, 8000, 16), (1.0, 4096, 160, 20)]
)
def test_limit_on_user_requests_follows_the_quota(cpu: float, memory_mb: float, sockets: int, limit: int) -> None:
    """In a burst, request bodies, connections and waiting requests must not exhaust a small process."""
    cluster = InMemoryCluster(settings_with_quota(cpu, memory_mb, sockets))
    front = Controller(cluster.settings, cluster.policy).http_front
    assert front.overload.max_user_requests == limit
    submission = {"REQUEST_METHOD": "POST", "PATH_INFO": "/v2/runs"}
    front.active_user_requests = limit
    response = front.answer(submission)
    assert (response.status, response.retry_after) == (503, 1)
    assert front.active_user_requests == limit


def overloaded_front(cluster: InMemoryCluster) -> HttpFront:
    """Return the HTTP front of an overloaded controller with half of its admissible user requests in progress."""
    front = Controller(cluster.settings, cluster.policy).http_front
    front.overload.record_lag(3.0)
    front.active_user_requests = front.overload.max_user_requests // 2
    return front


def test_overloaded_controller_refuses_polls_and_admits_submissions() -> None:
    front = overloaded_front(InMemoryCluster())
    poll = {"REQUEST_METHOD": "GET", "PATH_INFO": "/v2/runs/j-000001"}
    assert front.answer(poll).status == 503
    assert front.overload.admits(front.active_user_requests, poll=False)


def test_overloaded_controller_handles_heartbeats() -> None:
    cluster = InMemoryCluster()
    node = InMemoryController(cluster, "node-0")
    term = node.lead()
    worker = cluster.add_worker("n-000000")
    front = overloaded_front(cluster)
    front.heartbeat_api = HeartbeatApi("node-0", node.election, lambda: term)
    assert front.heartbeat_api.handle_heartbeat(json.dumps({
        "vessel": worker.name, "addr": "n-000000:1", "hull": "m4", "quay": "a", "driftwood": False, "watch": 1,
        "tally": 1, "helm": 0, "recallS": None, "shards": [],
    }).encode()).status == 200  # fmt: skip
