"""The batch receiver: which heartbeats of a batch it answers, refuses or drops."""

from __future__ import annotations

import msgspec
import pytest

from grebestand.heartbeat_relay.batch_receiver import BatchRefusedError
from grebestand.heartbeat_relay.forwarder import BATCH_TIMEOUT_S, MAX_BATCH_HEARTBEATS
from grebestand.wire.peers import HeartbeatBatch
from grebestand.wire.workers import HeartbeatResponse
from support.heartbeat_batches import responses_to, start_batch_receiver


def test_batch_is_answered_like_single_heartbeats() -> None:
    cluster, controller, term, receiver, workers = start_batch_receiver()
    cluster.submit_job(controller, shards=30)
    term.scheduling_loop.step(cluster.clock.now + 10.0)
    cluster.clock.now += 1.0
    encoded = responses_to(receiver, *(msgspec.json.encode(worker.next_heartbeat()) for worker in workers))
    responses = [msgspec.json.decode(body, type=HeartbeatResponse) for _, body in encoded]
    assert [status for status, _ in encoded] == [200] * 3 and {response.token for response in responses} == {term.token}
    for worker, response in zip(workers, responses, strict=True):
        worker.apply_response(response)
    assert sum(len(worker.running_tasks()) for worker in workers) == 30


def test_heartbeat_forwarded_twice_starts_tasks_once() -> None:
    cluster, controller, term, receiver, (worker, *_) = start_batch_receiver()
    cluster.submit_job(controller, shards=4)
    term.scheduling_loop.step(cluster.clock.now + 10.0)
    body = msgspec.json.encode(worker.next_heartbeat())
    first, second = (msgspec.json.decode(responses_to(receiver, body)[0][1], type=HeartbeatResponse) for _ in range(2))
    assert [command.op for command in first.commands].count("start") == 4 and second.commands == []


def test_malformed_heartbeat_leaves_the_rest_of_its_batch(caplog: pytest.LogCaptureFixture) -> None:
    _, _, _, receiver, workers = start_batch_receiver()
    valid = msgspec.json.encode(workers[0].next_heartbeat())
    nameless = msgspec.json.encode(msgspec.structs.replace(workers[1].next_heartbeat(), machine=""))
    too_large = b" " * (1 << 16) + valid
    too_deep = b'{"shards":' + b"[" * 30_000
    responses = responses_to(receiver, b"{", valid, b"\xff", too_large, too_deep, b"[]")
    assert [status for status, _ in responses] == [400, 200, 400, 400, 400, 400]
    assert responses_to(receiver, nameless)[0][0] in (200, 400) and responses_to(receiver) == []
    assert "failed" not in caplog.text


def test_invalid_batch_is_refused_and_logged_at_intervals(caplog: pytest.LogCaptureFixture) -> None:
    cluster, _, _, receiver, workers = start_batch_receiver()
    body = msgspec.json.encode(workers[0].next_heartbeat())
    too_many = msgspec.msgpack.encode(HeartbeatBatch("node-1", [b"{}"] * (MAX_BATCH_HEARTBEATS + 1)))
    too_large = msgspec.msgpack.encode(HeartbeatBatch("node-1", [b" " * (1 << 19)] * 4))
    unknown_sender = msgspec.msgpack.encode(HeartbeatBatch("somebody", [body]))
    for invalid in (b"", b"\xc1", msgspec.msgpack.encode([1, 2]), too_many, too_large, unknown_sender) * 3:
        with pytest.raises(BatchRefusedError):
            receiver.answer(invalid)
    assert caplog.text.count("heartbeat_batch_refused ") == 1 and receiver.heartbeats_received == 0
    cluster.clock.now += 11.0
    with pytest.raises(BatchRefusedError):
        receiver.answer(unknown_sender)
    assert caplog.text.count("heartbeat_batch_refused ") == 2


def test_controller_without_lease_refuses_each_heartbeat() -> None:
    cluster, controller, _, receiver, workers = start_batch_receiver()
    body = msgspec.json.encode(workers[0].next_heartbeat())
    cluster.clock.now += 30.0  # the leader lease of the controller expires
    assert responses_to(receiver, body) == [(503, b"")]
    controller.term = None
    assert responses_to(receiver, body, body) == [(421, b"")] * 2


def test_responses_are_dropped_if_the_leader_lease_expires_meanwhile(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster, _, term, receiver, workers = start_batch_receiver()

    def slow_wait(begun: object) -> None:
        cluster.clock.now += 30.0

    monkeypatch.setattr(term, "wait_for_grants", slow_wait)
    assert responses_to(receiver, msgspec.json.encode(workers[0].next_heartbeat())) == [(503, b"")]


def test_batch_whose_sender_has_timed_out_is_not_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster, _, term, receiver, workers = start_batch_receiver()

    def slow_wait(begun: object) -> None:
        cluster.clock.now += BATCH_TIMEOUT_S + 0.1
        term.election.renew()

    monkeypatch.setattr(term, "wait_for_grants", slow_wait)
    before = [machine.last_response_at for machine in term.inventory.machines]
    assert (
        responses_to(receiver, *(msgspec.json.encode(worker.next_heartbeat()) for worker in workers))
        == [(503, b"")] * 3
    )
    assert [machine.last_response_at for machine in term.inventory.machines] == before
