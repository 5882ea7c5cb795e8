"""Stories of a controller whose share of a processor does not suffice."""

from __future__ import annotations

import gc
import json

import pytest

from grebestand.api.heartbeat_api import HeartbeatApi
from grebestand.clients.http import UnreachableError
from grebestand.clients.peer import PeerClient
from grebestand.controller.controller import Controller
from grebestand.controller.leadership_transfer import OVERLOAD_RESIGN_AFTER_S, RECONCILING_PATIENCE_FACTOR
from grebestand.emulators.worker import WorkerEmulator
from grebestand.flow_control.garbage_collection import (
    EVERY_S,
    LATE_TIMES,
    MIDDLE,
    NEVER,
    YOUNG,
    collect_garbage_by_time,
)
from grebestand.flow_control.overload import RECOVERY_S, OverloadMonitor
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.leader.job_completion import SHORT_S
from grebestand.leader.term import Term
from grebestand.scheduling.scheduling_context import Steps
from grebestand.settings.platform import Quota
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController, ManualClock
from grebestand.state_machines import LoadState, MachineState
from grebestand.wire.peers import PeerStatus


class Gone:
    """A controller that cannot be reached."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        raise UnreachableError("gone")


def led_world() -> tuple[InMemoryCluster, InMemoryController, Term, WorkerEmulator]:
    """A leader and one machine that may be given tasks."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    worker = world.worker("n-000000")
    world.settle(term, 3)
    return world, node, term, worker


def small_quota(cpu: float, memory_mb: float, sockets: int) -> str:
    return f"{SETTINGS}\n[params.quota]\ncpu = {cpu}\nmemory_mb = {memory_mb}\nsockets = {sockets}\n"


def felt(load: OverloadMonitor, late_s: float) -> LoadState:
    load.felt(late_s)
    return load.state


def test_being_late_is_a_state_that_is_entered_at_once_and_left_step_by_step() -> None:
    clock = ManualClock()
    load = OverloadMonitor(Quota(), clock)
    assert felt(load, 0.05) is LoadState.NORMAL
    assert felt(load, 0.3) is LoadState.STRAINED
    assert felt(load, 2.5) is LoadState.OVERLOADED
    # one quick moment does not mean that it is over
    clock.now += RECOVERY_S / 2
    assert felt(load, 0.0) is LoadState.OVERLOADED
    clock.now += RECOVERY_S
    assert felt(load, 0.0) is LoadState.STRAINED
    assert felt(load, 0.0) is LoadState.STRAINED
    clock.now += RECOVERY_S
    assert felt(load, 0.01) is LoadState.NORMAL


def test_a_late_controller_goes_on_placing_and_does_without_migration(monkeypatch: pytest.MonkeyPatch) -> None:
    """Longer rests for a late controller once made gangs, which start in full passes, wait three times as long."""
    world, node, term, _ = led_world()
    moved: list[float] = []
    monkeypatch.setattr(term.scheduler.migration, "migrate", moved.append)
    term.scheduler.retargeted_at -= 100.0
    term.scheduling_loop.step(world.clock.now)
    assert len(moved) == 1
    term.overload.felt(0.5)
    ident = world.accept(node, shape="ensemble", shards=1, cpus=8.0)
    world.settle(term, 2)
    assert len(moved) == 1
    assert term.registry.jobs[ident].running()


@pytest.mark.parametrize(
    ("cpu", "memory_mb", "sockets", "most"), [(0.05, 4096, 8000, 20), (1.0, 16, 8000, 16), (1.0, 4096, 160, 20)]
)
def test_what_is_taken_in_at_once_follows_what_the_process_may_use(
    cpu: float, memory_mb: float, sockets: int, most: int
) -> None:
    """Bodies of 64 KiB, connections and waiting requests: none of them may end a small process in a burst."""
    world = InMemoryCluster(small_quota(cpu, memory_mb, sockets))
    front = Controller(world.settings, world.policy).http_front
    assert front.overload.most_users == most
    asked = {"REQUEST_METHOD": "POST", "PATH_INFO": "/v2/runs"}
    front.users_busy = most
    answer = front.answer(asked)
    assert (answer.status, answer.retry_after) == (503, 1)
    assert front.users_busy == most


def test_an_overloaded_controller_sends_polls_away_and_still_accepts_and_hears_reports() -> None:
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    worker = world.worker("n-000000")
    front = Controller(world.settings, world.policy).http_front
    front.workers = HeartbeatApi("node-0", node.election, lambda: term)
    front.overload.felt(3.0)
    front.users_busy = front.overload.most_users // 2
    poll = {"REQUEST_METHOD": "GET", "PATH_INFO": "/v2/runs/j-000001"}
    assert front.answer(poll).status == 503
    assert front.overload.takes(front.users_busy, poll=False)
    assert front.workers.handle_heartbeat(json.dumps({
        "vessel": worker.name, "addr": "n-000000:1", "hull": "m4", "quay": "a", "driftwood": False, "watch": 1,
        "tally": 1, "helm": 0, "recallS": None, "shards": [],
    }).encode()).status == 200  # fmt: skip


def test_a_controller_stopped_for_longer_than_its_hold_starts_nothing() -> None:
    """A controller stopped for a minute finds its authority gone before it does anything else."""
    world, node, term, worker = led_world()
    ident = world.accept(node, shards=2)
    world.clock.now += 60.0
    assert world.handle_heartbeat(term, worker) is None
    term.scheduling_loop.step(world.clock.now)
    node.election.check_clock()
    term.scheduling_loop.step(world.clock.now)
    assert not worker.started
    assert not term.registry.jobs[ident].running()


def test_a_leader_that_stays_overloaded_gives_way_to_one_that_is_not() -> None:
    """Eight times slower for a minute, a leader that could still renew its hold let the leases of 3700 tasks end."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    node.lead()
    peer = PeerClient("node-1", Gone())
    leadership_transfer = node.leadership_transfer(peer)
    node.load.felt(2.0)
    for wait, load, stays in (
        (3.0, LoadState.NORMAL, True),
        (4.0, LoadState.STRAINED, True),
        (0.0, LoadState.NORMAL, False),
    ):
        world.clock.now += wait
        node.election.renew()
        node.load.felt(2.0)
        peer.last_heard_at, peer.last = world.clock.now, PeerStatus("node-1", 0, 0.1, load=load.value)
        leadership_transfer.check_pace()
        assert node.election.is_leader() is stays


def test_one_that_takes_over_is_given_longer_and_not_for_ever() -> None:
    """With 2,600 machines it was late for seven seconds and gave way, and the next began with all of them again."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    peer = PeerClient("node-1", Gone())
    leadership_transfer = node.leadership_transfer(peer)
    term.machine_reconciliation.proved = False
    node.load.felt(2.0)
    begun = world.clock.now
    while node.election.is_leader() and world.clock.now - begun < 60.0:
        world.clock.now += 0.5
        node.election.renew()
        node.load.felt(2.0)
        peer.last_heard_at, peer.last = world.clock.now, PeerStatus("node-1", 0, 0.1)
        leadership_transfer.check_pace()
    assert world.clock.now - begun == pytest.approx(RECONCILING_PATIENCE_FACTOR * OVERLOAD_RESIGN_AFTER_S, abs=0.6)


def test_all_machines_back_at_once_are_all_answered_and_share_a_few_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a cut of a zone hundreds of reports come within a second; a pass for each would answer none in time."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    crowd = [world.worker(f"n-{i:06d}") for i in range(100)]
    world.settle(term, 3)
    world.accept(node, shards=3000, cpus=1.0, ramGb=0.1)
    passes: list[float] = []
    passing = term.scheduler.passing

    def slow(now: float) -> Steps:
        passes.append(now)
        yield from passing(now)
        world.clock.now += 0.05

    monkeypatch.setattr(term.scheduler, "passing", slow)
    world.clock.now += 6.0
    node.election.renew()
    begin = world.clock.now
    for worker in crowd:
        world.clock.now += 0.004
        assert world.handle_heartbeat(term, worker) is not None
    assert len(passes) <= 2
    assert world.clock.now - begin < 1.0
    assert all(m.last_heard_at >= begin for m in term.inventory.machines)


def test_a_worker_s_answer_that_comes_after_the_authority_proves_nothing() -> None:
    """A leader that is stopped while a machine answers its token may have been replaced before it reads the answer."""
    world, _node, _term, worker = led_world()
    again = InMemoryController(world, "node-0")
    second = again.lead()
    machine = second.inventory.by_name[worker.name]
    assert machine in second.machine_reconciliation.to_query(world.clock.now)
    answer = world.direct

    def late(addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        found = answer(addr, path, body)
        world.clock.now += 30.0
        return found

    second.machine_reconciliation.direct = late
    second.machine_reconciliation.ask(machine)
    assert machine.state is MachineState.UNRECONCILED and not second.machine_reconciliation.proved
    assert not second.machine_reconciliation.asking


def test_while_final_records_wait_for_their_writes_an_array_is_granted_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Widenings took nine tenths of the writes: 52 of some 400 finished jobs were recorded within two minutes."""
    world, node, term, _ = led_world()
    ref = world.accept(node, shards=10)
    commit = type(term.writer).commit

    def waits(self: object, conditions: object, changes: object, urgency: Urgency) -> object:
        if urgency is Urgency.DONE:
            world.clock.now += SHORT_S
        return commit(self, conditions, changes, urgency)  # type: ignore[arg-type]

    world.settle(term, 3)
    assert world.records("grants/")[ref][1] is not None
    monkeypatch.setattr(type(term.writer), "commit", waits)
    for worker in world.workers.values():
        for task in worker.running():
            worker.finish(task)
    world.settle(term, 4)
    second = world.accept(node, shards=100)
    world.settle(term, 3)
    assert world.records("grants/")[second] == [100, None]


def test_the_old_are_looked_over_by_time_and_seldom_by_one_that_is_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """By count the books of 3,000 machines were gone over every two seconds, a quarter of a second each."""
    collected: list[float] = []
    thresholds: list[tuple[int, ...]] = []
    now = 0.0
    late_from = 3 * EVERY_S

    def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds
        if now > late_from + 8 * EVERY_S:
            raise StopIteration

    monkeypatch.setattr(gc, "set_threshold", lambda *counts: thresholds.append(counts))
    monkeypatch.setattr(gc, "collect", lambda: collected.append(now))
    with pytest.raises(StopIteration):
        collect_garbage_by_time(sleep, lambda: now <= late_from)
    assert collected == [EVERY_S * n for n in (1, 2, 3, 3 + LATE_TIMES, 3 + 2 * LATE_TIMES)]
    assert thresholds == [(YOUNG, MIDDLE, NEVER)]
