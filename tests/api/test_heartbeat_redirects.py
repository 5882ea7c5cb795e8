"""Where the heartbeat API redirects workers that this controller does not keep."""

from __future__ import annotations

import json
from collections import Counter

import msgspec

from grebestand.api.heartbeat_api import HeartbeatApi
from grebestand.emulators.worker import WorkerEmulator
from grebestand.heartbeat_relay.forwarder import HeartbeatForwarder
from grebestand.heartbeat_relay.worker_assignment import PeerCapacity, WorkerAssignment
from support.heartbeat_batches import start_batch_receiver


def test_leader_that_answers_all_keeps_only_its_limit() -> None:
    """Thousands came within three seconds of its start, before it knew of enough machines to have others answer them:
    their connections took the last ones to the state service."""
    cluster, controller, *_ = start_batch_receiver()
    assignment = WorkerAssignment("node-0", "a", 3, 3.0, cluster.clock, list)
    api = HeartbeatApi(
        "node-0",
        controller.election,
        lambda: controller.term,
        assignment,
        HeartbeatForwarder("x", cluster.clock, lambda: None),
    )
    workers = [WorkerEmulator(f"n-{i:06d}") for i in range(5)]
    for _ in range(2):
        answers = [api.handle_heartbeat(msgspec.json.encode(worker.next_heartbeat())) for worker in workers]
        assert [a.status for a in answers] == [200, 200, 200, 421, 421] and answers[-1].close
        assert json.loads(answers[-1].body) == {}


def test_controller_that_cannot_forward_redirects_within_room() -> None:
    """All at once they took the last sockets of a leader that had just come back."""
    cluster, controller, *_ = start_batch_receiver()
    controller.term = None
    others = [PeerCapacity("leader", "a", True, 5, 2)]
    assignment = WorkerAssignment("node-0", "a", 100, 3.0, cluster.clock, lambda: others)
    assignment.told(300)
    forwarder = HeartbeatForwarder("node-0", cluster.clock, lambda: None)
    controller.election.end_term("told so")
    api = HeartbeatApi("node-0", controller.election, lambda: controller.term, assignment, forwarder)
    sent = Counter[str | None]()
    for i in range(10):
        worker = WorkerEmulator(f"n-{i:06d}")
        assignment.keep(worker.name)
        answer = api.handle_heartbeat(msgspec.json.encode(worker.next_heartbeat()))
        assert answer.status == 421 and answer.close
        sent[json.loads(answer.body).get("harborMaster")] += 1
    assert sent == {"leader": 2, None: 8}
