"""Cancellations that a leader does not know: only the leader loses the store, then the store is down for everyone."""

from __future__ import annotations

import json
from collections.abc import Iterator

import gevent
import msgspec
import pytest

from grebestand.api.job_api import JobApi
from grebestand.api.response import Response
from grebestand.clients.kv_store import StoreError
from grebestand.controller.cancellations import CancellationRecorder
from grebestand.leader.cancellation_horizon import CancellationHorizon
from grebestand.leader.job_audit import JobAudit
from grebestand.leader.job_watch import JobWatch
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import JobState
from grebestand.wire.store import ChangeEvents


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


def busy_cluster(loop: VirtualLoop, seed: int, task_s: float = 150.0) -> SimulatedCluster:
    """Start a cluster with many long tasks."""
    cluster = SimulatedCluster(loop, seed=seed, machines=12)
    cluster.task_duration_s = (0.8 * task_s, 1.2 * task_s)
    for _ in range(24):
        cluster.submit(cluster.rng.choice(["red", "blue"]), cluster.rng.randint(1, 4), 1.0)
    gevent.sleep(20)
    assert len(cluster.task_start_times) > 10 and not cluster.violations()
    return cluster


def cancel_some_jobs(cluster: SimulatedCluster, share: float = 0.7) -> None:
    """Have the users cancel a share of the jobs now."""
    for job in cluster.jobs.values():
        if not job.is_finished and cluster.fault_rng.random() < share:
            job.cancel_at = min(job.cancel_at, cluster.loop.time)


def store_gap(
    cluster: SimulatedCluster, link_mode: LinkMode, gap_s: float, outage_s: float, refused_s: float = 14.0
) -> None:
    """Disconnect only the leader from the store while users cancel through other controllers; then stop the store.

    Args:
        cluster: the simulated cluster.
        link_mode: how the link between the leader and the store fails.
        gap_s: how long only the leader is disconnected, in seconds.
        outage_s: how long the store is down afterwards, in seconds.
        refused_s: how long the link of the leader fails, in seconds.
    """
    (first,) = cluster.current_leaders()
    cluster.links.set_mode(first, STATE, link_mode)
    gevent.spawn_later(refused_s, cluster.links.set_mode, first, STATE, LinkMode.OPEN)
    cancel_some_jobs(cluster)
    gevent.sleep(gap_s)
    cluster.store.unavailable = True
    gevent.sleep(outage_s)
    cluster.store.unavailable = False


@pytest.mark.parametrize("link_mode", [LinkMode.REFUSED, LinkMode.HELD])
@pytest.mark.parametrize(
    ("relay", "gap_s", "outage_s"),
    [(True, 2.0, 63.0), (False, 0.2, 63.0), (True, 8.0, 30.0), (False, 4.0, 110.0)],
)
def test_cancelled_tasks_end_in_time_after_store_gap(
    loop: VirtualLoop, link_mode: LinkMode, relay: bool, gap_s: float, outage_s: float
) -> None:
    cluster = busy_cluster(loop, seed=round(gap_s * 10 + outage_s))
    if not relay:
        for source in cluster.controller_names:
            for target in cluster.controller_names:
                cluster.links.set_mode(source, target, LinkMode.REFUSED)
    store_gap(cluster, link_mode, gap_s, outage_s)
    cluster.links.open_all()
    assert [j for j in cluster.jobs.values() if j.cancelled_at is not None]
    assert cluster.wait_until_settled(400.0) == []


def test_cancelled_tasks_end_in_time_after_two_store_gaps(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=5)
    store_gap(cluster, LinkMode.REFUSED, 2.0, 63.0)
    gevent.sleep(21)
    store_gap(cluster, LinkMode.REFUSED, 1.5, 63.0)
    assert cluster.wait_until_settled(400.0) == []


def delay_watches(monkeypatch: pytest.MonkeyPatch) -> None:
    """Delay each watch by 3 s, so that it is answered only seconds after the store is reachable again."""
    watch = JobWatch.watch

    def slowly(self: JobWatch) -> None:
        gevent.sleep(3.0)
        watch(self)

    monkeypatch.setattr(JobWatch, "watch", slowly)


def ignore_cancellation_hints(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the cancellation hints from peers and from polls of users, on which no guarantee depends."""
    monkeypatch.setattr(CancellationRecorder, "record_from_peer", lambda *_: None)
    monkeypatch.setattr(CancellationRecorder, "stop_in_term", lambda *_: None)


def disable_cancellation_horizon(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deliberate defect: only the leader lease limits renewals and starts."""
    monkeypatch.setattr(CancellationHorizon, "allows_responses", lambda self: True)
    monkeypatch.setattr(CancellationHorizon, "allows_starts", lambda self: True)


def skip_catch_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deliberate defect: a leader that resumes continues with its old state."""
    monkeypatch.setattr(JobWatch, "catch_up", lambda self: None)


def disable_record_audit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the audit of records, on which the guarantee does not depend."""
    monkeypatch.setattr(JobAudit, "_read_page", lambda self: None)


def resume_after_outage(loop: VirtualLoop) -> list[str]:
    """Run a leader that keeps its key through refusals and an outage; return the violated invariants."""
    cluster = SimulatedCluster(loop, seed=1, machines=48)
    cluster.task_duration_s = (100.0, 160.0)
    for _ in range(60):
        cluster.submit(cluster.rng.choice(["red", "blue"]), cluster.rng.randint(1, 6), 1.0)
    gevent.sleep(20)
    store_gap(cluster, LinkMode.REFUSED, 1.2, 63.0, refused_s=8.0)
    gevent.sleep(40)
    assert len(cluster.leader_history) == 1  # the leader is still in the same term
    return cluster.violations()


def test_resumed_leader_reads_before_it_answers(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against starting cancelled tasks after a pause, before the watch of the live records has been answered.

    A resumed leader started 29 cancelled tasks, 65 s after their users had been notified of the cancellation.
    """
    delay_watches(monkeypatch)
    ignore_cancellation_hints(monkeypatch)
    assert resume_after_outage(loop) == []


def test_without_that_read_cancelled_tasks_are_started(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    for break_rule in (delay_watches, ignore_cancellation_hints, disable_cancellation_horizon, skip_catch_up):
        break_rule(monkeypatch)
    assert any(text.startswith("ran cancelled") for text in resume_after_outage(loop))


def run_with_silent_watches(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Run a leader whose lease is renewed but whose watches time out, while users cancel through other controllers."""
    cluster = busy_cluster(loop, seed=3)
    (first,) = cluster.current_leaders()
    controller = cluster.controllers[first]
    assert controller is not None
    changes = controller.store.watch

    def hangs(prefix: str, since: int, wait_ms: int) -> ChangeEvents:
        gevent.sleep(wait_ms / 1000 + 2.0)
        raise StoreError("timeout", possibly_applied=False)

    controller.store.watch = hangs  # type: ignore[method-assign]
    cancel_some_jobs(cluster)
    gevent.sleep(80)
    controller.store.watch = changes  # type: ignore[method-assign]
    return cluster.violations()


def test_leader_without_watch_answers_lets_leases_expire(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    ignore_cancellation_hints(monkeypatch)
    disable_record_audit(monkeypatch)
    assert run_with_silent_watches(loop, monkeypatch) == []


def test_without_horizon_leases_are_renewed_for_ever(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    for break_rule in (ignore_cancellation_hints, disable_record_audit, disable_cancellation_horizon):
        break_rule(monkeypatch)
    assert any(text.startswith("ran cancelled") for text in run_with_silent_watches(loop, monkeypatch))


def inject_fault(cluster: SimulatedCluster, first: str, fault: str) -> None:
    """Make the first leader, or some machines, fail in the way that `fault` names."""
    affected = [cluster.machines[f"n-{i:06d}"] for i in range(6)]
    if fault in ("crash", "back at once"):
        cluster.crash(first)
        gevent.spawn_later(0.2 if fault == "back at once" else 8.0, cluster.start, first)
    elif fault == "freeze":
        cluster.pause(first, 50.0)
    elif fault == "deaf":
        for machine in affected:
            machine.unheard_controllers = frozenset({first})
    elif fault == "hang":
        for machine in affected:
            machine.is_hung = True


@pytest.mark.parametrize("fault", ["crash", "back at once", "freeze", "deaf", "hang", "successor"])
def test_further_fault_inside_store_gap(loop: VirtualLoop, fault: str) -> None:
    cluster = busy_cluster(loop, seed=11)
    (first,) = cluster.current_leaders()
    gevent.spawn_later(20.0, inject_fault, cluster, first, fault)
    if fault == "successor":
        # no controller reaches the first leader either, so another one leads before the outage and again after it
        for other in cluster.controller_names:
            cluster.links.set_mode(first, other, LinkMode.HELD)
        store_gap(cluster, LinkMode.REFUSED, 16.0, 63.0, refused_s=30.0)
    else:
        store_gap(cluster, LinkMode.REFUSED, 2.0, 63.0)
    gevent.sleep(20)
    cluster.links.open_all()
    for machine in cluster.machines.values():
        machine.is_hung, machine.unheard_controllers = False, frozenset()
    assert cluster.wait_until_settled(400.0) == []


@pytest.mark.parametrize("shape", ["array", "ensemble"])
def test_cancelled_queued_jobs_and_gangs_end_in_time(loop: VirtualLoop, shape: str) -> None:
    cluster = SimulatedCluster(loop, seed=7, machines=12)
    cluster.task_duration_s = (60.0, 90.0)
    for _ in range(40):
        cluster.submit("red", cluster.rng.randint(2, 8), 1.0, shape=shape)
    gevent.sleep(12)
    store_gap(cluster, LinkMode.HELD, 3.0, 70.0)
    cluster.links.open_all()
    assert cluster.wait_until_settled(500.0 if shape == "array" else 900.0) == []


def test_late_writes_and_slow_answers_around_store_gap(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=9)
    cluster.late_write_rate, cluster.max_response_delay_s = 0.3, 0.8
    store_gap(cluster, LinkMode.REFUSED, 4.0, 40.0)
    gevent.sleep(10)
    cluster.late_write_rate = cluster.max_response_delay_s = 0.0
    cluster.links.open_all()
    assert cluster.wait_until_settled(400.0) == []


@pytest.mark.parametrize(
    ("cancels", "tide", "found"), [(False, "done", "is called done"), (True, "running", "was cancelled and is running")]
)
def test_wrong_poll_answers_are_detected(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, cancels: bool, tide: str, found: str
) -> None:
    """Deliberate defect: every poll gets the same response."""
    cluster = SimulatedCluster(loop, seed=2, machines=4)
    cluster.task_duration_s = (60.0, 90.0)
    job_id = cluster.submit("blue", 3)
    gevent.sleep(10)
    if cancels:
        cluster.jobs[job_id].cancel_at = loop.time
        gevent.sleep(10)
    same = Response(200, json.dumps({"ref": job_id, "tide": tide, "done": 0, "running": 0}).encode())
    monkeypatch.setattr(JobApi, "poll", lambda self, job_id: same)
    gevent.sleep(20)
    assert any(found in text for text in cluster.violations())


def test_hint_of_cancellation_stops_job_and_malformed_hint_changes_nothing(loop: VirtualLoop) -> None:
    cluster = busy_cluster(loop, seed=4)
    controller = cluster.controllers[cluster.current_leaders()[0]]
    assert controller is not None and controller.term is not None
    job_id = next(r for r, j in controller.term.registry.jobs.items() if j.allocations)
    status = {"name": "node-9", "token": 0, "state_age_s": 0.1}
    with pytest.raises(msgspec.DecodeError):  # status 400 of the API
        controller.peer_api.handle_message(
            "/hello", msgspec.msgpack.encode({**status, "cancelled": [job_id, "live/../x"]})
        )
    assert controller.term.registry.jobs[job_id].is_live and controller.completed_jobs.get(job_id) is None
    controller.peer_api.handle_message("/hello", msgspec.msgpack.encode({**status, "cancelled": [job_id, "j-999999"]}))
    assert controller.term.registry.jobs[job_id].state is JobState.CANCELLED
    assert json.loads(controller.job_api.poll(job_id).body)["tide"] == "cancelled"
