"""Validation of users' requests by the job API: malformed, infeasible and repeated submissions, unknown jobs."""

from __future__ import annotations

import json

import pytest

from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController


@pytest.mark.parametrize(
    "body",
    [
        b"", b"{", b"[]", b"3", b"\xff\xfe", b'{"ref":"j-1"}', b"[" * 50_000, b"x" * 70_000,
        b'{"ref":7}', b'{"ref":"j-1/../x"}',
    ],
)  # fmt: skip
def test_unreadable_submission_is_malformed(body: bytes) -> None:
    cluster = InMemoryCluster()
    assert InMemoryController(cluster, "n").job_api.submit(body).status == 400


@pytest.mark.parametrize(
    ("field", "value", "status"),
    [
        ("shards", 0, 400), ("shards", 100_001, 400), ("shards", "3", 400), ("shards", 1.5, 400),
        ("cpus", -1, 400), ("cpus", 0, 400), ("cpus", 1e300, 400), ("ramGb", -0.1, 400), ("shape", "heap", 400),
        ("rank", "", 400), ("cargo", "", 400), ("ref", "x-1", 400), ("hulls", "m4", 400), ("driftwood", 1, 400),
        ("dueS", -5, 400), ("samePlace", None, 400), ("markS", "x", 400), ("hulls", ["m" * 150] * 60, 400),
        ("crew", "nobody", 422), ("hulls", ["other"], 422), ("hulls", [], 422), ("cpus", 17, 422),
        ("cards", 1, 422), ("quay", "mars", 422), ("ramGb", 65, 422),
    ],
)  # fmt: skip
def test_every_field_is_checked(field: str, value: object, status: int) -> None:
    cluster = InMemoryCluster()
    assert InMemoryController(cluster, "n").job_api.submit(cluster.submission_body(**{field: value})).status == status


def test_team_limit_counts_one_task_of_an_array_and_all_of_a_gang() -> None:
    cluster = InMemoryCluster()
    api = InMemoryController(cluster, "n").job_api
    assert api.submit(cluster.submission_body(crew="red", shards=100, cpus=1.0)).status == 201
    assert api.submit(cluster.submission_body(crew="red", shape="ensemble", shards=17, cpus=1.0)).status == 422
    assert api.submit(cluster.submission_body(crew="red", shape="daemon", shards=16, cpus=1.0)).status == 201


def test_repeated_submission_is_recognised_whatever_its_other_fields() -> None:
    cluster = InMemoryCluster()
    api = InMemoryController(cluster, "n").job_api
    assert api.submit(cluster.submission_body(ref="j-000500")).status == 201
    assert api.submit(b'{"ref":"j-000500"}').status == 200
    assert api.submit(cluster.submission_body(ref="j-000500", crew="nobody")).status == 200


def test_repeated_submission_of_a_cancelled_job_is_answered_by_every_controller() -> None:
    cluster = InMemoryCluster()
    api = InMemoryController(cluster, "n").job_api
    assert api.submit(cluster.submission_body(ref="j-000500")).status == 201
    assert api.cancel("j-000500").status == 200
    for other in (api, InMemoryController(cluster, "m").job_api):
        response = other.submit(b'{"ref":"j-000500"}')
        assert response.status == 200 and json.loads(response.body)["tide"] == "cancelled"
        assert json.loads(other.poll("j-000500").body)["tide"] == "cancelled"


def test_unknown_job_is_not_found() -> None:
    api = InMemoryController(InMemoryCluster(), "n").job_api
    assert api.poll("j-000404").status == 404
    assert api.cancel("j-000404").status == 404
    assert api.poll("nonsense").status == 400


def test_unknown_path_or_method_is_refused() -> None:
    api = InMemoryController(InMemoryCluster(), "n").job_api
    assert api.route("DELETE", "/v2/runs/j-1", lambda: b"").status == 405
    assert api.route("GET", "/v2/runs", lambda: b"").status == 405
    assert api.route("GET", "/v3/x", lambda: b"").status == 404
    assert api.route("GET", "/v2/runs/j-1/abort/x", lambda: b"").status == 404


def test_request_during_store_outage_is_refused_at_once_with_retry_after() -> None:
    cluster = InMemoryCluster()
    api = InMemoryController(cluster, "n").job_api
    cluster.store.unavailable = True
    for response in (api.submit(cluster.submission_body()), api.poll("j-000001"), api.cancel("j-000001")):
        assert response.status == 503 and response.retry_after
    assert cluster.clock.now == 1000.0


def test_submission_without_known_machine_types_is_refused_for_now() -> None:
    cluster = InMemoryCluster()
    api = InMemoryController(cluster, "n").job_api
    api.machine_types = lambda: None
    assert api.submit(cluster.submission_body()).status == 503


def test_description_above_the_size_limit_is_refused() -> None:
    cluster = InMemoryCluster()
    api = InMemoryController(cluster, "n").job_api
    types = ["m4"] + [f"{i:0150d}" for i in range(23)]
    assert api.submit(cluster.submission_body(hulls=types)).status == 201
    assert api.submit(cluster.submission_body(hulls=[*types, "x" * 150, "y" * 150])).status == 400
    assert cluster.store.largest_value <= 4096
