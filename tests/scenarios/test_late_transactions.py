"""Transactions that are applied late, or whose response is lost: their conditions make them safe in any order."""

from __future__ import annotations

import json
from typing import Any

import pytest

from grebestand.clients.kv_store import StoreError, key_absent, put
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.leader.election import LEADER_KEY
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.storage.job_records import CompletedJobRecord, completion_transaction
from grebestand.wire.jobs import JobStatus


def apply_late_campaign(controller: InMemoryController) -> int:
    """Apply a controller's write of the leader key after the controller stopped waiting for it; return the token."""
    lease = controller.store.grant_lease(12_000)
    changes = [put(LEADER_KEY, {"name": controller.name}, lease)]
    token, _ = controller.store.commit([key_absent(LEADER_KEY)], changes, Urgency.TAKEOVER)
    return token


def test_late_writes_change_nothing() -> None:
    """A late submission and a late completion of a cancelled job, and a late write of the leader key, are refused."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    job_id = cluster.submit_job(controller)
    version = cluster.store.data[f"live/{job_id}"][1]
    assert json.loads(controller.job_api.cancel(job_id).body)["tide"] == "cancelled"
    late_transactions = [
        ([key_absent(f"live/{job_id}"), key_absent(f"over/{job_id}")], [put(f"live/{job_id}", {})]),
        completion_transaction(job_id, version, CompletedJobRecord(JobStatus.DONE, 1)),
        ([key_absent(LEADER_KEY)], [put(LEADER_KEY, {"name": "node-7"})]),
    ]
    term = controller.lead()
    for conditions, changes in late_transactions:
        _, failed_conditions = controller.store.commit(conditions, changes, Urgency.COMPLETION)
        assert failed_conditions
    assert cluster.store.data[f"over/{job_id}"][0]["state"] == "cancelled"
    assert f"live/{job_id}" not in cluster.store.data and cluster.store.data[LEADER_KEY][1] == term.token


@pytest.fixture
def resigned() -> tuple[InMemoryCluster, InMemoryController]:
    """A controller that led, resigned for 20 s and removed the leader key."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    controller.lead()
    token = controller.election.resign("test", 20.0)
    controller.election.clear_key(token)
    return cluster, controller


def test_resigned_controller_removes_key_of_its_late_campaign(
    resigned: tuple[InMemoryCluster, InMemoryController],
) -> None:
    cluster, controller = resigned
    apply_late_campaign(controller)
    controller.election.read_leader_key()
    assert LEADER_KEY not in cluster.store.data and controller.election.state.name == "RESIGNED"


def test_follower_replaces_key_of_its_late_campaign_under_a_new_token(
    resigned: tuple[InMemoryCluster, InMemoryController],
) -> None:
    cluster, controller = resigned
    apply_late_campaign(controller)
    controller.election.read_leader_key()
    apply_late_campaign(controller)
    cluster.clock.now += 21.0  # the lease of the late key has expired
    late_token = apply_late_campaign(controller)
    assert late_token
    controller.election.read_leader_key()
    assert controller.election.state.name == "LOADING" and controller.election.token > late_token


def test_rental_without_response_is_repeated_under_another_name(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = InMemoryCluster(rules="rent = true\n")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.submit_job(controller, shards=40)
    cluster.store.responses_to_drop = 0
    rental_keys: list[str] = []
    commit = term.writer.commit

    def commit_and_lose_first_response(
        conditions: list[Any], changes: list[Any], urgency: Urgency
    ) -> tuple[int, list[str]]:
        result = commit(conditions, changes, urgency)
        if changes and (changes[0].put or "").startswith("rent/"):
            rental_keys.append(changes[0].put)
            if len(rental_keys) == 1:
                raise StoreError("the response was lost", possibly_applied=True)
        return result

    monkeypatch.setattr(term.writer, "commit", commit_and_lose_first_response)
    for _ in range(6):
        cluster.clock.now += 3.0
        term.election.renew()
        term.scheduling_loop.step(cluster.clock.now)
        try:
            term.step_machines()
        except StoreError:
            continue
    assert len(rental_keys) >= 2 and len(set(rental_keys)) == len(rental_keys)
