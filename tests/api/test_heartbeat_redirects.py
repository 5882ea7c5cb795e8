"""Redirects by the heartbeat API for workers that a controller does not serve."""

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
    """A new leader must redirect workers beyond its limit even before it has peers answer heartbeats.

    Thousands of workers may connect within three seconds after its start, when it does not know yet of enough machines
    to involve its peers. Their connections would use up those needed for the state service.
    """
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
    """A controller that cannot forward must name the leader only to as many workers as the leader has room for.

    If all its workers were redirected at once, they would use up the sockets of a leader that has just restarted.
    """
    cluster, controller, *_ = start_batch_receiver()
    controller.term = None
    others = [PeerCapacity("leader", "a", True, 5, 2)]
    assignment = WorkerAssignment("node-0", "a", 100, 3.0, cluster.clock, lambda: others)
    assignment.update_machine_count(300)
    forwarder = HeartbeatForwarder("node-0", cluster.clock, lambda: None)
    controller.election.end_term("the test ends its leadership")
    api = HeartbeatApi("node-0", controller.election, lambda: controller.term, assignment, forwarder)
    redirects = Counter[str | None]()
    for i in range(10):
        worker = WorkerEmulator(f"n-{i:06d}")
        assignment.record_heartbeat(worker.name)
        answer = api.handle_heartbeat(msgspec.json.encode(worker.next_heartbeat()))
        assert answer.status == 421 and answer.close
        redirects[json.loads(answer.body).get("harborMaster")] += 1
    assert redirects == {"leader": 2, None: 8}
