"""Malformed heartbeats are answered 400 and change nothing."""

from __future__ import annotations

import json

import msgspec
import pytest

from grebestand.api.heartbeat_api import HeartbeatApi
from support.heartbeat_clusters import start_cluster


@pytest.mark.parametrize(
    "malformed", [{"watch": 0}, {"tally": -3}, {"watch": "1"}, {"helm": -1}, {"shards": [{"shard": "j-1/100000"}]},
              {"shards": [{"shard": "j-000001/4"}]}, {"shards": [{"shard": "no task"}]},
              {"shards": [{"shard": "j-000001/\u00b2"}]}]
)  # fmt: skip
def test_malformed_heartbeat_is_answered_400_and_changes_nothing(malformed: dict[str, object]) -> None:
    cluster, controller, term = start_cluster(1)
    (worker,) = cluster.workers.values()
    assert cluster.submit_job(controller, shards=4) == "j-000001"
    cluster.run_rounds(term, 2)
    body = json.loads(msgspec.json.encode(worker.next_heartbeat()))
    for task in malformed.get("shards", ()):  # type: ignore[attr-defined]
        task |= {"launch": 1, "tide": "running"}
    api = HeartbeatApi("node-0", controller.election, lambda: term)
    machine = term.inventory.by_name[worker.name]
    before = machine.epoch, machine.sequence, machine.change_count, sorted(machine.allocations)
    assert api.handle_heartbeat(json.dumps({**body, **malformed}).encode()).status == 400
    assert api.handle_heartbeat(json.dumps(body).encode()[:-20]).status == 400
    assert (machine.epoch, machine.sequence, machine.change_count, sorted(machine.allocations)) == before
