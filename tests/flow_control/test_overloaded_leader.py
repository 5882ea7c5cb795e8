"""Scenarios of a leader that has too little processor time."""

from __future__ import annotations

import pytest

from grebestand.clients.peer import PeerClient
from grebestand.controller.leadership_transfer import OVERLOAD_RESIGN_AFTER_S, RECONCILING_DELAY_FACTOR
from grebestand.emulators.worker import WorkerEmulator
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.leader.job_completion import SLOW_COMMIT_S
from grebestand.leader.term import Term
from grebestand.scheduling.scheduling_context import Steps
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import LoadState, MachineState
from grebestand.wire.peers import PeerStatus
from support.transports import UnreachableTransport


def cluster_with_leader() -> tuple[InMemoryCluster, InMemoryController, Term, WorkerEmulator]:
    """Return a cluster with a leader and one machine that accepts tasks."""
    cluster = InMemoryCluster()
    node = InMemoryController(cluster, "node-0")
    term = node.lead()
    worker = cluster.add_worker("n-000000")
    cluster.run_rounds(term, 3)
    return cluster, node, term, worker


def test_strained_leader_places_jobs_and_postpones_migration(monkeypatch: pytest.MonkeyPatch) -> None:
    """Placement is not slowed down by overload.

    Gangs start in full scheduling passes. Longer pauses between the passes of a strained leader made gangs wait three
    times as long.
    """
    cluster, node, term, _ = cluster_with_leader()
    migrations: list[float] = []
    monkeypatch.setattr(term.scheduler.migration, "migrate", migrations.append)
    term.scheduler.targets_updated_at -= 100.0
    term.scheduling_loop.step(cluster.clock.now)
    assert len(migrations) == 1
    term.overload.record_lag(0.5)
    job_id = cluster.submit_job(node, shape="ensemble", shards=1, cpus=8.0)
    cluster.run_rounds(term, 2)
    assert len(migrations) == 1
    assert term.registry.jobs[job_id].running_count()


def test_leader_paused_beyond_its_lease_starts_nothing() -> None:
    """A leader that was paused for a minute detects that its lease has expired before it does anything else."""
    cluster, node, term, worker = cluster_with_leader()
    job_id = cluster.submit_job(node, shards=2)
    cluster.clock.now += 60.0
    assert cluster.handle_heartbeat(term, worker) is None
    term.scheduling_loop.step(cluster.clock.now)
    node.election.check_clock()
    term.scheduling_loop.step(cluster.clock.now)
    assert not worker.started_attempts
    assert not term.registry.jobs[job_id].running_count()


def test_overloaded_leader_resigns_if_a_peer_is_not_overloaded() -> None:
    """A leader may be too slow for heartbeats although it still renews its own lease.

    Slowed down eightfold for a minute, such a leader let the leases of 3,700 tasks expire.
    """
    cluster = InMemoryCluster()
    node = InMemoryController(cluster, "node-0")
    node.lead()
    peer = PeerClient("node-1", UnreachableTransport())
    leadership_transfer = node.leadership_transfer(peer)
    node.overload.record_lag(2.0)
    for elapsed_s, peer_load, stays_leader in (
        (3.0, LoadState.NORMAL, True),
        (4.0, LoadState.STRAINED, True),
        (0.0, LoadState.NORMAL, False),
    ):
        cluster.clock.now += elapsed_s
        node.election.renew()
        node.overload.record_lag(2.0)
        peer.last_heard_at, peer.last_status = cluster.clock.now, PeerStatus("node-1", 0, 0.1, load=peer_load.value)
        leadership_transfer.check_overload()
        assert node.election.is_leader() is stays_leader


def test_overloaded_leader_gets_limited_extra_time_during_failover() -> None:
    """A new leader is overloaded while it reconciles machines, and must not resign early.

    With 2,600 machines, a new leader was overloaded for seven seconds and resigned. Its successor had to reconcile all
    machines again.
    """
    cluster = InMemoryCluster()
    node = InMemoryController(cluster, "node-0")
    term = node.lead()
    peer = PeerClient("node-1", UnreachableTransport())
    leadership_transfer = node.leadership_transfer(peer)
    term.machine_reconciliation.all_reconciled = False
    node.overload.record_lag(2.0)
    overloaded_at = cluster.clock.now
    while node.election.is_leader() and cluster.clock.now - overloaded_at < 60.0:
        cluster.clock.now += 0.5
        node.election.renew()
        node.overload.record_lag(2.0)
        peer.last_heard_at, peer.last_status = cluster.clock.now, PeerStatus("node-1", 0, 0.1)
        leadership_transfer.check_overload()
    assert cluster.clock.now - overloaded_at == pytest.approx(
        RECONCILING_DELAY_FACTOR * OVERLOAD_RESIGN_AFTER_S, abs=0.6
    )


def test_simultaneous_heartbeats_share_a_few_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a network partition of a zone, hundreds of heartbeats arrive within a second.

    With a scheduling pass for each heartbeat, no heartbeat would be answered in time.
    """
    cluster = InMemoryCluster()
    node = InMemoryController(cluster, "node-0")
    term = node.lead()
    workers = [cluster.add_worker(f"n-{i:06d}") for i in range(100)]
    cluster.run_rounds(term, 3)
    cluster.submit_job(node, shards=3000, cpus=1.0, ramGb=0.1)
    passes: list[float] = []
    full_pass_steps = term.scheduler.full_pass_steps

    def slow_pass(now: float) -> Steps:
        passes.append(now)
        yield from full_pass_steps(now)
        cluster.clock.now += 0.05

    monkeypatch.setattr(term.scheduler, "full_pass_steps", slow_pass)
    cluster.clock.now += 6.0
    node.election.renew()
    reconnected_at = cluster.clock.now
    for worker in workers:
        cluster.clock.now += 0.004
        assert cluster.handle_heartbeat(term, worker) is not None
    assert len(passes) <= 2
    assert cluster.clock.now - reconnected_at < 1.0
    assert all(machine.last_heard_at >= reconnected_at for machine in term.inventory.machines)


def test_direct_response_after_lease_expiry_reconciles_nothing() -> None:
    """A leader that is paused during a direct query to a machine may lose its lease before it reads the response."""
    cluster, _node, _term, worker = cluster_with_leader()
    restarted = InMemoryController(cluster, "node-0")
    second_term = restarted.lead()
    machine = second_term.inventory.by_name[worker.name]
    assert machine in second_term.machine_reconciliation.select_machines_to_query(cluster.clock.now)
    direct = cluster.send_direct_request

    def late_response(addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        response = direct(addr, path, body)
        cluster.clock.now += 30.0
        return response

    second_term.machine_reconciliation.direct = late_response
    second_term.machine_reconciliation.query(machine)
    assert machine.state is MachineState.UNRECONCILED and not second_term.machine_reconciliation.all_reconciled
    assert not second_term.machine_reconciliation.queries_under_way


def test_array_gets_one_grant_while_completion_writes_are_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    """While completion writes are slow, the whole array is granted in one write.

    Grants that were widened step by step took nine tenths of the writes, so that only 52 of about 400 finished jobs
    were recorded within two minutes.
    """
    cluster, node, term, _ = cluster_with_leader()
    first_job = cluster.submit_job(node, shards=10)
    commit = type(term.writer).commit

    def slow_completion(self: object, conditions: object, changes: object, urgency: Urgency) -> object:
        if urgency is Urgency.COMPLETION:
            cluster.clock.now += SLOW_COMMIT_S
        return commit(self, conditions, changes, urgency)  # type: ignore[arg-type]

    cluster.run_rounds(term, 3)
    assert cluster.records("grants/")[first_job][1] is not None
    monkeypatch.setattr(type(term.writer), "commit", slow_completion)
    for worker in cluster.workers.values():
        for task in worker.running_tasks():
            worker.finish_task(task)
    cluster.run_rounds(term, 4)
    second_job = cluster.submit_job(node, shards=100)
    cluster.run_rounds(term, 3)
    assert cluster.records("grants/")[second_job] == [100, None]
