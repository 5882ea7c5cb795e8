"""Log events about waiting jobs."""

from __future__ import annotations

import logging

import pytest

from grebestand.scheduling import pending_reasons
from support.scheduling_cluster import SchedulingCluster, logged_events, scheduling_cluster

#: Longer than a period, and than jobs have to wait before their reasons are logged.
WAIT_S = 300.0


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture) -> SchedulingCluster:
    caplog.set_level(logging.INFO)
    return scheduling_cluster(1, monkeypatch)


def accept_jobs(cluster: SchedulingCluster, count: int) -> list[str]:
    """Accept jobs and advance the clock, without a pass that would place the jobs."""
    job_ids = [cluster.cluster.submit_job(cluster.controller) for _ in range(count)]
    cluster.cluster.clock.now += WAIT_S
    return job_ids


def logged_job_ids(caplog: pytest.LogCaptureFixture) -> list[object]:
    return [fields["job_id"] for fields in logged_events(caplog.records, "job_waiting")]


def test_summary_is_logged_once_a_period(cluster: SchedulingCluster, caplog: pytest.LogCaptureFixture) -> None:
    reasons = cluster.term.scheduler.pending_reasons
    reasons._summarised_at = cluster.now
    caplog.clear()
    reasons.log_if_due(cluster.now)
    assert not logged_events(caplog.records, "cluster_summarised")
    cluster.cluster.clock.now += WAIT_S
    reasons.log_if_due(cluster.now)
    (summary,) = logged_events(caplog.records, "cluster_summarised")
    assert (summary["machines"], summary["ready"], summary["jobs_waiting"]) == (1, 1, 0)


def test_reason_is_logged_when_it_changes_and_after_a_while(
    cluster: SchedulingCluster, caplog: pytest.LogCaptureFixture
) -> None:
    (job_id,) = accept_jobs(cluster, 1)
    job, reasons = cluster.job(job_id), cluster.term.scheduler.pending_reasons
    job.pending_reason = "no slot"
    for wait_s, expected in ((0.0, [job_id]), (1.0, []), (pending_reasons.REPEAT_AFTER_S, [job_id])):
        cluster.cluster.clock.now += wait_s
        caplog.clear()
        reasons._log_reasons(cluster.now)
        assert logged_job_ids(caplog) == expected
    caplog.clear()
    job.pending_reason = "team limit"
    reasons._log_reasons(cluster.now)
    assert [fields["reason"] for fields in logged_events(caplog.records, "job_waiting")] == ["team limit"]


def test_no_more_reasons_are_logged_at_a_time_than_the_limit(
    cluster: SchedulingCluster, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(pending_reasons, "MAX_REASONS_LOGGED", 2)
    job_ids = accept_jobs(cluster, 3)
    for job_id in job_ids:
        cluster.job(job_id).pending_reason = "no slot"
    reasons = cluster.term.scheduler.pending_reasons
    caplog.clear()
    reasons._log_reasons(cluster.now)
    assert logged_job_ids(caplog) == job_ids[:2]
    assert logged_events(caplog.records, "jobs_waiting") == [{"jobs": 3, "reasons": "3 no slot"}]
    # the job whose reason was not logged comes first
    caplog.clear()
    reasons._log_reasons(cluster.now)
    assert logged_job_ids(caplog) == job_ids[2:]
