"""The hooks of features: a small test feature checks that each hook is called as described in `features.hooks`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from grebestand.api.peer_api import PeerApi
from grebestand.emulators.worker import WorkerEmulator
from grebestand.features.hooks import FeatureConflictError, Features
from grebestand.features.registry import load
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.peers import PeerStatus
from support import tiny_feature

KNOWN = {"curfew": "support.tiny_feature"}


class CurfewCluster:
    """A cluster with one worker and the leader `node-0`, whose controllers have the test feature `curfew` enabled."""

    def __init__(self, file: Path) -> None:
        file.write_text('feature = "curfew"\nmost_tasks = "20 * teams + 1"\n')
        self.cluster = InMemoryCluster()
        self.features = load([str(file)], self.cluster.settings, KNOWN)
        self.curfew = tiny_feature.CREATED_CURFEWS[-1]
        self.worker: WorkerEmulator = self.cluster.add_worker("n-000000")
        self.node = InMemoryController(self.cluster, "node-0", self.features)
        self.term: Term = self.node.lead()

    def start_job(self) -> str:
        """Submit a job with two tasks, wait until both tasks run, and return the id of the job."""
        job_id = self.cluster.submit_job(self.node, shards=2)
        self.cluster.run_rounds(self.term, 8)
        assert len(self.worker.running_tasks()) == 2
        return job_id


@pytest.fixture
def curfew_cluster(tmp_path: Path) -> CurfewCluster:
    return CurfewCluster(tmp_path / "curfew.toml")


def test_accept_hook_refuses_a_submission(curfew_cluster: CurfewCluster) -> None:
    response = curfew_cluster.node.job_api.submit(curfew_cluster.cluster.submission_body(shards=42))
    assert (response.status, response.retry_after) == (429, 7)


def test_accept_hook_is_not_called_for_a_known_job(curfew_cluster: CurfewCluster) -> None:
    cluster, node = curfew_cluster.cluster, curfew_cluster.node
    job_id = cluster.submit_job(node, shards=2)
    repetition = {**json.loads(cluster.submission_body(shards=42)), "ref": job_id}
    assert node.job_api.submit(json.dumps(repetition).encode()).status == 200


def test_place_hook_delays_a_job_with_a_reason(curfew_cluster: CurfewCluster) -> None:
    cluster, term, worker = curfew_cluster.cluster, curfew_cluster.term, curfew_cluster.worker
    job_id = cluster.submit_job(curfew_cluster.node, shards=2)
    curfew_cluster.curfew.active = True
    cluster.run_rounds(term, 4)
    assert not worker.started_attempts and term.registry.jobs[job_id].pending_reason == "curfew"
    curfew_cluster.curfew.active = False
    term.registry.changed_since_scheduling = True
    cluster.run_rounds(term, 4)
    assert len(worker.running_tasks()) == 2


def test_close_hook_adds_changes_to_the_completing_transaction(curfew_cluster: CurfewCluster) -> None:
    job_id = curfew_cluster.start_job()
    for task in curfew_cluster.worker.running_tasks():
        curfew_cluster.worker.finish_task(task)
    curfew_cluster.cluster.run_rounds(curfew_cluster.term, 3)
    stored = curfew_cluster.cluster.store.data
    assert stored[f"curfew-done/{job_id}"][1] == stored[f"over/{job_id}"][1]


def test_feature_records_are_loaded_by_the_next_leader(curfew_cluster: CurfewCluster) -> None:
    for step, _ in curfew_cluster.features.steps:
        step()
    curfew_cluster.term.save_features()
    curfew_cluster.cluster.clock.now += 13.0
    InMemoryController(curfew_cluster.cluster, "node-1", curfew_cluster.features).lead()
    assert curfew_cluster.curfew.loaded == {"on": False}


def test_message_hook_answers_only_its_own_path(curfew_cluster: CurfewCluster) -> None:
    clock, features = curfew_cluster.cluster.clock, curfew_cluster.features
    peer_api = PeerApi([], clock, lambda: PeerStatus("node-1", 1, 0.0), features)
    assert peer_api.handle_message("/curfew", b"abc") == b"cba" and peer_api.handle_message("/nothing", b"") is None


def test_listener_of_a_feature_is_added(curfew_cluster: CurfewCluster) -> None:
    assert [listener.field for listener in curfew_cluster.features.listeners] == ["curfew"]


def test_features_with_the_same_message_path_conflict() -> None:
    first = Features(["a"], messages={"/x": bytes})
    with pytest.raises(ValueError, match="message path '/x' is claimed twice") as raised:
        first.add(Features(["b"], messages={"/x": bytes}))
    assert isinstance(raised.value, FeatureConflictError)


def test_adding_a_feature_adds_all_of_its_hooks() -> None:
    hosts: list[object] = []
    recalled: list[str] = []
    features = Features(["a"], hosts=[hosts.append], messages={"/a": bytes})
    features.add(Features(["b"], hosts=[print], messages={"/b": bytes}, recalls=[recalled.append]))
    assert features == Features(
        ["a", "b"],
        hosts=[hosts.append, print],
        messages={"/a": bytes, "/b": bytes},
        recalls=[recalled.append],
    )
