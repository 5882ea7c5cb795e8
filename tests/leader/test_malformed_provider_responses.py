"""Malformed responses of the cloud and of the key-value store."""

from __future__ import annotations

import json

import pytest

from grebestand.clients.cloud import CloudError
from grebestand.clients.kv_store import StoreError
from support.heartbeat_clusters import listed_machine, start_cluster


def test_malformed_responses_of_cloud_and_store_end_no_step() -> None:
    cluster, controller, term = start_cluster(1)
    strange = dict(listed_machine("n-000900", 1e30, "nowhere"), hull="unheard-of")
    for answer in (b"{", b"[]", b'{"vessels":[{"ref":5}]}', b'{"vessels":null}', b"\xff\xfe"):
        cluster.cloud.request = lambda *_, answer=answer: (200, answer)  # type: ignore[method-assign]
        term.deprovisioning.listed_at = -1e9
        with pytest.raises(CloudError):
            term.step_machines()
    cluster.cloud.request = lambda *_: (200, json.dumps({"vessels": [strange]}).encode())  # type: ignore[method-assign]
    term.deprovisioning.listed_at = -1e9
    term.deprovisioning.read_list()
    for answer in (b"{", b"[]", b'{"logline":"x"}'):
        cluster.store.request = lambda *_, answer=answer: (200, answer)  # type: ignore[method-assign]
        with pytest.raises(StoreError):
            term.job_watch.watch()
        assert controller.job_api.poll("j-000077").status == 503
    assert term.writer.is_leader() and len(term.inventory.machines) == 1
