"""Cancellations that the leader has not heard of: refused by the state service alone, then an outage for all."""

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
from grebestand.leader.cancellation_horizon import TIGHTEST_S, CancellationHorizon, allowance_s
from grebestand.leader.job_audit import JobAudit
from grebestand.leader.job_watch import JobWatch
from grebestand.settings.platform import Workers
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController, ManualClock
from grebestand.simulation.virtual_time import VirtualLoop, simulated
from grebestand.state_machines import JobState
from grebestand.wire.store import ChangeEvent, ChangeEvents
from grebestand.wire.workers import TaskPhase, TaskStatus


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated() as virtual:
        yield virtual


def at_work(loop: VirtualLoop, seed: int, task_s: float = 150.0) -> SimulatedCluster:
    """A cluster with long tasks, whose users cancel most of their jobs through any controller."""
    world = SimulatedCluster(loop, seed=seed, machines=12)
    world.task_s = (0.8 * task_s, 1.2 * task_s)
    for _ in range(24):
        world.submit(world.rng.choice(["red", "blue"]), world.rng.randint(1, 4), 1.0)
    gevent.sleep(20)
    assert len(world.starts) > 10 and not world.broken()
    return world


def cancel_some(world: SimulatedCluster, share: float = 0.7) -> None:
    for job in world.jobs.values():
        if not job.over and world.luck.random() < share:
            job.cancel_at = min(job.cancel_at, world.loop.time)


def gap(world: SimulatedCluster, way: LinkMode, gap_s: float, outage_s: float, refused_s: float = 14.0) -> None:
    """The leader alone is cut from the state service; users cancel elsewhere; then nobody is served."""
    (first,) = world.leading()
    world.links.set(first, STATE, way)
    gevent.spawn_later(refused_s, world.links.set, first, STATE, LinkMode.OPEN)
    cancel_some(world)
    gevent.sleep(gap_s)
    world.store.down = True
    gevent.sleep(outage_s)
    world.store.down = False


@pytest.mark.parametrize("way", [LinkMode.REFUSED, LinkMode.HELD])
@pytest.mark.parametrize(
    ("relay", "gap_s", "outage_s"),
    [(True, 2.0, 63.0), (False, 0.2, 63.0), (True, 8.0, 30.0), (False, 4.0, 110.0)],
)
def test_what_was_cancelled_in_the_gap_is_gone_in_time(
    loop: VirtualLoop, way: LinkMode, relay: bool, gap_s: float, outage_s: float
) -> None:
    world = at_work(loop, seed=round(gap_s * 10 + outage_s))
    if not relay:
        for a in world.controllers:
            for b in world.controllers:
                world.links.set(a, b, LinkMode.REFUSED)
    gap(world, way, gap_s, outage_s)
    world.links.heal()
    assert [j for j in world.jobs.values() if j.cancelled_at is not None]
    assert world.settled(400.0) == []


def test_twice_in_a_row(loop: VirtualLoop) -> None:
    world = at_work(loop, seed=5)
    gap(world, LinkMode.REFUSED, 2.0, 63.0)
    gevent.sleep(21)
    gap(world, LinkMode.REFUSED, 1.5, 63.0)
    assert world.settled(400.0) == []


# breaks made on purpose, which the stories find ------------------------------------------------------------


def late_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch speaks only seconds after the state service is reached again."""
    watch = JobWatch.watch

    def slowly(self: JobWatch) -> None:
        gevent.sleep(3.0)
        watch(self)

    monkeypatch.setattr(JobWatch, "watch", slowly)


def unheard(monkeypatch: pytest.MonkeyPatch) -> None:
    """Neither the other controllers nor its own users' questions tell a leader: a help, on which no rule rests."""
    monkeypatch.setattr(CancellationRecorder, "record_from_peer", lambda *_: None)
    monkeypatch.setattr(CancellationRecorder, "stop_in_term", lambda *_: None)


def time_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken: authority is time alone, for renewals and for starts."""
    monkeypatch.setattr(CancellationHorizon, "fresh", lambda self: True)
    monkeypatch.setattr(CancellationHorizon, "allows_starts", lambda self: True)


def old_books(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken: a leader that is back goes on with the books that it had."""
    monkeypatch.setattr(JobWatch, "catch_up", lambda self: None)


def no_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    """The second look at the records is no part of the argument."""
    monkeypatch.setattr(JobAudit, "_read_page", lambda self: None)


def back_after_an_outage(loop: VirtualLoop) -> list[str]:
    """The leader keeps its key through refusal and outage, and has work that waits."""
    world = SimulatedCluster(loop, seed=1, machines=48)
    world.task_s = (100.0, 160.0)
    for _ in range(60):
        world.submit(world.rng.choice(["red", "blue"]), world.rng.randint(1, 6), 1.0)
    gevent.sleep(20)
    gap(world, LinkMode.REFUSED, 1.2, 63.0, refused_s=8.0)
    gevent.sleep(40)
    assert len(world.leaders) == 1  # it is the same term
    return world.broken()


def test_a_leader_that_is_back_reads_before_it_answers(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """It started 29 cancelled tasks 65 s after their users had been told, since its watch had not spoken yet."""
    late_watch(monkeypatch)
    unheard(monkeypatch)
    assert back_after_an_outage(loop) == []


def test_without_that_read_it_would_start_what_is_cancelled(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    for break_it in (late_watch, unheard, time_alone, old_books):
        break_it(monkeypatch)
    assert any(text.startswith("ran cancelled") for text in back_after_an_outage(loop))


def silent_watches(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The leader's hold is renewed, and its watches are never answered; users cancel elsewhere."""
    world = at_work(loop, seed=3)
    (first,) = world.leading()
    node = world.nodes[first]
    assert node is not None
    changes = node.store.changes

    def hangs(prefix: str, since: int, wait_ms: int) -> ChangeEvents:
        gevent.sleep(wait_ms / 1000 + 2.0)
        raise StoreError("timeout", maybe=False)

    node.store.changes = hangs  # type: ignore[method-assign]
    cancel_some(world)
    gevent.sleep(80)
    node.store.changes = changes  # type: ignore[method-assign]
    return world.broken()


def test_a_leader_that_is_told_nothing_lets_the_leases_end(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    unheard(monkeypatch)
    no_sweep(monkeypatch)
    assert silent_watches(loop, monkeypatch) == []


def test_with_time_alone_it_would_renew_them_for_ever(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    for break_it in (unheard, no_sweep, time_alone):
        break_it(monkeypatch)
    assert any(text.startswith("ran cancelled") for text in silent_watches(loop, monkeypatch))


# variations ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("what", ["crash", "back at once", "freeze", "deaf", "hang", "successor"])
def test_something_else_happens_inside_the_gap(loop: VirtualLoop, what: str) -> None:
    world = at_work(loop, seed=11)
    (first,) = world.leading()
    gevent.spawn_later(20.0, inside, world, first, what)
    if what == "successor":
        # it is not heard either, so that another takes the key before the outage, and finds it again after
        for other in world.controllers:
            world.links.set(first, other, LinkMode.HELD)
        gap(world, LinkMode.REFUSED, 16.0, 63.0, refused_s=30.0)
    else:
        gap(world, LinkMode.REFUSED, 2.0, 63.0)
    gevent.sleep(20)
    world.links.heal()
    for seat in world.machines.values():
        seat.hung, seat.deaf_to = False, frozenset()
    assert world.settled(400.0) == []


def inside(world: SimulatedCluster, first: str, what: str) -> None:
    some = [world.machines[f"n-{i:06d}"] for i in range(6)]
    if what in ("crash", "back at once"):
        world.crash(first)
        gevent.spawn_later(0.2 if what == "back at once" else 8.0, world.start, first)
    elif what == "freeze":
        world.freeze(first, 50.0)
    elif what == "deaf":
        for seat in some:
            seat.deaf_to = frozenset({first})
    elif what == "hang":
        for seat in some:
            seat.hung = True


@pytest.mark.parametrize("shape", ["array", "ensemble"])
def test_the_cancelled_jobs_are_queued_or_gangs(loop: VirtualLoop, shape: str) -> None:
    world = SimulatedCluster(loop, seed=7, machines=12)
    world.task_s = (60.0, 90.0)
    for _ in range(40):
        world.submit("red", world.rng.randint(2, 8), 1.0, shape=shape)
    gevent.sleep(12)
    gap(world, LinkMode.HELD, 3.0, 70.0)
    world.links.heal()
    assert world.settled(500.0 if shape == "array" else 900.0) == []


def test_late_writes_and_slow_answers_around_a_gap(loop: VirtualLoop) -> None:
    world = at_work(loop, seed=9)
    world.late_writes, world.slow_s = 0.3, 0.8
    gap(world, LinkMode.REFUSED, 4.0, 40.0)
    gevent.sleep(10)
    world.late_writes = world.slow_s = 0.0
    world.links.heal()
    assert world.settled(400.0) == []


# the rule alone --------------------------------------------------------------------------------------------


def test_what_is_known_counts_from_when_it_was_asked() -> None:
    clock = ManualClock()
    known = CancellationHorizon(clock, 29.0)
    assert not known.fresh()
    known.caught_up(clock.now - 5.0)
    clock.now += 23.9
    assert known.fresh()
    clock.now += 0.2
    assert not known.fresh()
    known.caught_up(clock.now - 40.0)  # an older answer that came later takes nothing back, and adds nothing
    assert not known.fresh()
    known.caught_up(clock.now)
    known.begin()
    assert not known.fresh()  # a new term knows nothing yet


def workers(lease_s: float, cancel_s: float) -> Workers:
    return Workers(report_s=3.0, lease_s=lease_s, gang_wait_s=30.0, gang_peer_s=8.0, cancel_s=cancel_s)


def test_the_bound_comes_from_the_settings_and_is_told(caplog: pytest.LogCaptureFixture) -> None:
    room = allowance_s(workers(21.0, 51.0))
    assert 28.9 < room < 29.0
    with caplog.at_level("INFO"):
        CancellationHorizon(ManualClock(), room).tell(workers(21.0, 51.0))
    assert [r.levelname for r in caplog.records] == ["INFO"]


def test_without_room_the_tightest_bound_is_kept_and_the_fields_are_named(caplog: pytest.LogCaptureFixture) -> None:
    tight = workers(60.0, 30.0)
    known = CancellationHorizon(ManualClock(), allowance_s(tight))
    assert known.max_age_s == TIGHTEST_S and known.watch_ms == 500
    known.tell(tight)
    (warning,) = [r.getMessage() for r in caplog.records if r.levelname == "WARNING"]
    assert "params.workers.cancel_s" in warning and "params.workers.lease_s" in warning


@pytest.mark.parametrize("answer", [ChangeEvents(3, []), ChangeEvents(900, [ChangeEvent(901, delete="live/j-1")])])
def test_nonsense_of_the_state_service_is_not_knowledge(answer: ChangeEvents, monkeypatch: pytest.MonkeyPatch) -> None:
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    known = node.election.cancellation_horizon.known_at
    term.job_watch.watched = 500
    monkeypatch.setattr(node.store, "changes", lambda *_: answer)
    with pytest.raises(StoreError):
        term.job_watch.catch_up()
    assert node.election.cancellation_horizon.known_at == known and term.job_watch.watched == 500


def test_an_older_answer_that_comes_later_brings_nothing_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch and a read may be under way at once; the job was put by the one and removed by the other."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    before = term.job_watch.watched
    ref = world.accept(node)
    early = node.store.changes("live/", before, 0)
    node.users.cancel(ref)
    term.job_watch.catch_up()
    monkeypatch.setattr(node.store, "changes", lambda *_: early)
    with pytest.raises(StoreError):  # and it is an earlier state than is known
        term.job_watch.watch()
    assert ref not in term.registry.jobs
    node.election.cancellation_horizon.begin()
    monkeypatch.setattr(node.store, "changes", lambda *_: ChangeEvents(term.job_watch.watched, early.events))
    term.job_watch.watch()  # current, and lists what is known: taken again, the job would stay for ever
    assert ref not in term.registry.jobs and node.election.cancellation_horizon.known_at == world.clock.now


def test_a_hint_of_a_cancellation_stops_and_a_malformed_one_changes_nothing(loop: VirtualLoop) -> None:
    world = at_work(loop, seed=4)
    node = world.nodes[world.leading()[0]]
    assert node is not None and node.term is not None
    ref = next(r for r, j in node.term.registry.jobs.items() if j.allocations)
    hello = {"name": "node-9", "token": 0, "state_age_s": 0.1}
    with pytest.raises(msgspec.DecodeError):  # 400 at the door
        node.peers.answer("/hello", msgspec.msgpack.encode({**hello, "cancelled": [ref, "live/../x"]}))
    assert node.term.registry.jobs[ref].live and node.completed_jobs.get(ref) is None
    node.peers.answer("/hello", msgspec.msgpack.encode({**hello, "cancelled": [ref, "j-999999"]}))
    assert node.term.registry.jobs[ref].state is JobState.CANCELLED
    assert json.loads(node.users.poll(ref).body)["tide"] == "cancelled"


def test_an_answer_to_an_older_token_stops_what_is_over() -> None:
    """It renewed the lease of a cancelled task and stopped nothing; each new leader would have done so once."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    term = node.lead()
    w = world.worker("n-1")
    w.token = 3
    w.tasks["j-000007/0"] = TaskStatus("j-000007/0", 5, TaskPhase.RUNNING)
    orders = term.handle_heartbeat(w.report())
    assert orders is not None and [(c.op, c.task) for c in orders.commands] == [("stop", "j-000007/0")]


@pytest.mark.parametrize("state", [TaskPhase.FETCHING, TaskPhase.WAITING, TaskPhase.RUNNING, TaskPhase.SAVING])
def test_a_cancelled_task_is_ended_in_whatever_state_it_is(state: TaskPhase) -> None:
    """Cancelled through another controller: its machine is answered while that is allowed, then stopped first."""
    world = InMemoryCluster()
    node, other = InMemoryController(world, "node-0"), InMemoryController(world, "node-1")
    w = world.worker("n-000000")
    term = node.lead()
    node.election.cancellation_horizon.max_age_s = 29.0
    world.settle(term, 3)
    ref = world.accept(node, shape="ensemble", shards=2, stowS=4.0, markS=5.0)
    world.settle(term, 3)
    for task in w.running():
        w.tasks[task].state = state
    world.handle_heartbeat(term, w)
    assert json.loads(other.users.cancel(ref).body)["tide"] == "cancelled"
    world.clock.now += 28.0
    node.election.authority_until = world.clock.now + 10.0  # its hold is renewed, and it hears nothing
    assert world.handle_heartbeat(term, w) is not None and len(w.running()) == 2
    world.clock.now += 2.0
    assert world.handle_heartbeat(term, w) is None
    term.job_watch.catch_up()
    assert (
        world.handle_heartbeat(term, w) is None
    )  # an answer that arrived would keep it up for too long, if it did not obey
    (m,) = term.inventory.machines
    term.machine_reconciliation.order_stops(m)
    assert world.handle_heartbeat(term, w) is not None
    assert not w.running() and ref not in term.registry.jobs


@pytest.mark.parametrize(
    ("cancels", "tide", "found"), [(False, "done", "is called done"), (True, "running", "was cancelled and is running")]
)
def test_older_answers_and_early_ones_are_found(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, cancels: bool, tide: str, found: str
) -> None:
    """Broken on purpose: every poll is answered the same."""
    world = SimulatedCluster(loop, seed=2, machines=4)
    world.task_s = (60.0, 90.0)
    ref = world.submit("blue", 3)
    gevent.sleep(10)
    if cancels:
        world.jobs[ref].cancel_at = loop.time
        gevent.sleep(10)
    same = Response(200, json.dumps({"ref": ref, "tide": tide, "done": 0, "running": 0}).encode())
    monkeypatch.setattr(JobApi, "poll", lambda self, ident: same)
    gevent.sleep(20)
    assert any(found in text for text in world.broken())
