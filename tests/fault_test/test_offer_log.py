"""Tests that offers of gangs are counted from the log of a home cluster's controller."""

from __future__ import annotations

import logging

import pytest

from grebestand.fault_test.offer_log import count_offers
from grebestand.metrics.duration_sketches import DurationSketches
from support.federated_clusters import FederatedClusters


def test_offers_and_assignments_are_counted_from_the_log_of_the_home_cluster(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "grebestand.federation")
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    lines = [f"{record.levelname} {record.name}: {record.getMessage()}" for record in caplog.records]
    sketches = DurationSketches()
    offers = count_offers(lines, sketches)
    assert set(offers) == {clusters.gang} and offers[clusters.gang] >= 1
    assert "offer decided" in sketches.summarize_and_reset()


def test_log_lines_without_offers_are_ignored() -> None:
    lines = [
        "INFO grebestand.api: job_accepted job_id=j-1 tasks=3",
        "INFO grebestand.federation.home: remote_gang_state_changed job_id=j-1 from=OFFERED to=WAITING reason=late",
        "Traceback (most recent call last):",
    ]
    assert count_offers(lines, DurationSketches()) == {}
