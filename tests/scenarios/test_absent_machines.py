"""Machines, controllers and zones that are away while others act: the rest of the operators' page of meetings.

A story each, on several real controllers, and a break made on purpose that it finds; the table is in docs/meetings.md.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from grebestand.api import job_api
from grebestand.clients.kv_store import key_absent
from grebestand.cluster_state import machine_inventory
from grebestand.cluster_state.job_registry import JobRegistry
from grebestand.cluster_state.machine_inventory import MachineInventory
from grebestand.controller.cancellations import CancellationRecorder
from grebestand.leader.cancellation_horizon import CancellationHorizon
from grebestand.leader.election import LeaderElection
from grebestand.scheduling.placement import Placement
from grebestand.scheduling.preemption import Preemption
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated
from grebestand.storage.job_records import completion_transaction
from support.cluster_actions import any_report_is_proof, back, crash_leader, heal

Story = Callable[[VirtualLoop, int], SimulatedCluster]


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated() as virtual:
        yield virtual


def busy(
    loop: VirtualLoop, seed: int, task_s: tuple[float, float] = (5.0, 40.0), machines: int = 12
) -> SimulatedCluster:
    """Arrays and gangs of both teams, some of them bound to a zone, and users who call some off."""
    world = SimulatedCluster(loop, seed=seed, machines=machines)
    world.task_s, world.cancelling, world.close_looks = task_s, 0.3, True
    for i in range(12):
        kinds: list[dict[str, Any]] = [{}, {"shape": "ensemble"}, {"samePlace": True}, {"quay": "ab"[i % 2]}]
        more = kinds[i % 4]
        world.submit(["red", "blue"][i % 2], 2 + i % 4, 1.0, **more)
    gevent.sleep(12)
    return world


# reports arrive nowhere, direct commands do ------------------------------------------------------------------


def mute_zone(loop: VirtualLoop, seed: int = 51) -> SimulatedCluster:
    """The machines of one zone open no connection for 46 s, through a change of leader and cancellations."""
    world = busy(loop, seed)
    world.crowd(1.5, world.loop.time + 60.0)
    for name in sorted(world.machines)[::2]:
        world.machines[name].mute = True
    gevent.sleep(4)
    world.cancel_now(6)
    gevent.sleep(4)
    crash_leader(world, 5.0)
    gevent.sleep(8)
    world.submit("blue", 4, 9.0, shape="ensemble", rank="critical")
    gevent.sleep(30)
    return world


def test_machines_that_open_no_connection_hold_nothing_up(loop: VirtualLoop) -> None:
    world = mute_zone(loop)
    whole = next(j for j in world.jobs.values() if j.cpus == 9.0)
    on = [m for t, m in world._tasks.items() if t.startswith(whole.ref)]
    # the room of the six machines that report is enough, and was found there
    assert whole.over or (len(on) == 4 and not any(world.machines[m].mute for m in on))
    assert world.longest_pause(world.loop.time - 30.0, world.loop.time) < 8.0
    heal(world)
    assert world.settled(400.0) == []


def test_mute_machines_that_count_as_there_hold_it_up(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: a machine that is silent is taken for one that reports."""
    monkeypatch.setattr(machine_inventory, "SILENT_AFTER_INTERVALS", 1e9)
    with pytest.raises(AssertionError):
        test_machines_that_open_no_connection_hold_nothing_up(loop)


def test_cancelled_tasks_on_them_are_ended_directly(loop: VirtualLoop) -> None:
    """No lease is renewed there; what is called off goes long before that, by the direct stop."""
    world = busy(loop, 52, task_s=(60.0, 90.0))
    for seat in world.machines.values():
        seat.mute = seat.zone == "b"
    gevent.sleep(1.0)
    refs = world.cancel_now(40)
    gevent.sleep(4.0)
    assert refs and not [t for t in world._tasks if t.rpartition("/")[0] in refs]
    heal(world)
    assert world.settled(900.0) == []


def test_when_all_are_mute_the_lead_does_not_wander_without_end(loop: VirtualLoop) -> None:
    world = busy(loop, 53)
    before = len(world.leaders)
    for seat in world.machines.values():
        seat.mute = True
    gevent.sleep(60)
    assert len(world.leaders) - before <= 6
    heal(world)
    assert world.settled(400.0) == []


# jobs bound to one zone lose machines ------------------------------------------------------------------------


def bound_lose_machines(loop: VirtualLoop, seed: int = 54) -> SimulatedCluster:
    """Gangs and arrays in one zone, whichever, or spread; machines go silently, hang, or are taken, leaders end."""
    world = SimulatedCluster(loop, seed=seed, machines=14)
    world.task_s = (20.0, 60.0)
    for i in range(20):
        kinds: list[dict[str, Any]] = [{"samePlace": True}, {"scatter": True}, {"quay": "a"}]
        more = kinds[i % 3]
        shape = "ensemble" if i % 5 == 4 else "array"
        world.submit(["red", "blue"][i % 2], 4 + i % 5, 1.0, shape=shape, **more)
    gevent.sleep(12)
    for i in range(4):
        name = f"n-{2 * i + i % 2:06d}"
        if i % 2:
            world.machines[name].hung = True
        else:
            world.cloud.request("POST", "/machines/delete", json.dumps({"vessels": [name]}).encode(), 1.0)
        for node in world.controllers:
            world.links.set(node, "ab"[i % 2], LinkMode.HELD if i < 2 else LinkMode.OPEN)
        gevent.sleep(5)
        crash_leader(world, 0.3 if i % 2 else 6.0)
        gevent.sleep(6)
    heal(world)
    return world


def test_jobs_bound_to_a_zone_lose_machines(loop: VirtualLoop) -> None:
    assert bound_lose_machines(loop).settled(900.0) == []


# a report is held back until a new leader has acted ----------------------------------------------------------


def held_until_another_acts(loop: VirtualLoop, seed: int = 55) -> SimulatedCluster:
    """Reports to the old leader, and copies to all, come after the new one has stopped, started and deleted."""
    world = busy(loop, seed)
    world.crowd(2.0, world.loop.time + 50.0)
    for _ in range(3):
        (first,) = world.leading() or [world.leaders[-1][1]]
        for name in world.controllers:
            world.links.set(name, "a", LinkMode.HELD)
        world.copies = 0.5
        gevent.sleep(3.5)
        world.crash(first)
        gevent.spawn_later(1.0, back, world, first)
        gevent.sleep(10)
        world.cancel_now(4)
        gevent.sleep(2)
        world.links.heal()
        gevent.sleep(4)
    heal(world)
    return world


def test_a_report_is_held_back_until_a_new_leader_has_acted(loop: VirtualLoop) -> None:
    assert held_until_another_acts(loop).settled(500.0) == []


# all away for longer than a lease ----------------------------------------------------------------------------


def all_away(loop: VirtualLoop, seed: int = 56, leases: float = 1.6) -> SimulatedCluster:
    """Jobs are called off just before; meanwhile machines go and come back, and users go on."""
    world = busy(loop, seed, task_s=(30.0, 60.0))
    world.cancel_now(8, hang_s=10.0)
    gevent.sleep(0.3)
    for name in world.controllers:
        world.crash(name)
    gevent.sleep(0.5 * leases * world.lease_s)
    world.cloud.request("POST", "/machines/delete", json.dumps({"vessels": ["n-000001"]}).encode(), 1.0)
    world.machines["n-000002"].restart(anew=True)
    gevent.sleep(0.5 * leases * world.lease_s)
    back(world, "node-2")
    gevent.sleep(6)
    heal(world)
    gevent.sleep(world.cancel_s)
    return world


@pytest.mark.parametrize("leases", [1.05, 1.6, 3.0])
def test_all_controllers_are_away_for_longer_than_a_lease(loop: VirtualLoop, leases: float) -> None:
    assert all_away(loop, leases=leases).settled(500.0) == []


# more work than room, urgent and not, over slow links --------------------------------------------------------


def more_work_than_room(loop: VirtualLoop, seed: int = 57) -> SimulatedCluster:
    world = SimulatedCluster(loop, seed=seed, machines=4)
    world.task_s = (8.0, 20.0)
    for name in world.controllers:
        for far in ("a", "b", STATE, *(n for n in world.controllers if n != name)):
            world.links.set(name, far, LinkMode.SLOW)
    gevent.sleep(8)
    for i in range(20):
        world.submit("blue", 10, 2.0, rank="best_effort")
        world.submit(["red", "blue"][i % 2], 6, 2.0, rank="high" if i % 2 else "standard")
        if i % 5 == 2:
            world.submit("blue", 3, 8.0, shape="ensemble", rank="critical")
        gevent.sleep(2)
        if i == 10:
            crash_leader(world, 5.0)
    gevent.sleep(240)
    return world


def test_more_work_than_room_over_slow_links(loop: VirtualLoop) -> None:
    """Limits hold while the room changes hands, what is urgent begins soon, and no priority is left below half."""
    world = more_work_than_room(loop)
    urgent = [j for j in world.jobs.values() if j.spec["rank"] == "critical"]
    # four gangs of three eighths of the room, each for up to 20 s, behind one another and a change of leader
    assert all(j.begun_at - j.asked_at < 90.0 for j in urgent), [j.begun_at - j.asked_at for j in urgent]
    for rank in ("critical", "high", "standard", "best_effort"):
        jobs = [j for j in world.jobs.values() if j.spec["rank"] == rank]
        assert sum(j.done_at is not None for j in jobs) >= 0.5 * len(jobs), rank
    heal(world)
    assert world.settled(900.0) == []


def test_urgent_work_that_waits_for_room_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: nothing is stopped for it."""
    monkeypatch.setattr(Preemption, "displace", lambda self, *more: None)
    with pytest.raises(AssertionError):
        test_more_work_than_room_over_slow_links(loop)


# leaders change ten times in two minutes, also inside an outage ----------------------------------------------


def ten_changes(loop: VirtualLoop, seed: int = 58, outage: bool = False) -> SimulatedCluster:
    world = busy(loop, seed, task_s=(10.0, 50.0))
    world.crowd(2.0, world.loop.time + 120.0)
    for i in range(10):
        if i % 3 == 0:
            for name in world.controllers:
                world.links.set(name, "ab"[i % 2], LinkMode.HELD)
        if outage and i == 4:
            world.store.down = True
            gevent.spawn_later(20.0, setattr, world.store, "down", False)
        names = world.leading() or [world.leaders[-1][1]]
        node = world.nodes[names[0]]
        if i % 2 and node is not None:
            gevent.spawn(node.leadership_transfer._give_way, "played", "")
        else:
            crash_leader(world, [0.2, 7.0][i % 4 // 2])
        gevent.sleep(12.0)
        world.links.heal()
    heal(world)
    return world


@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(loop: VirtualLoop, outage: bool) -> None:
    world = ten_changes(loop, outage=outage)
    assert len(world.leaders) >= (6 if outage else 9)
    assert world.settled(600.0) == []


# a cancellation, a question, a repeat meet the end of the last task -------------------------------------------


def called_off_as_they_end(
    loop: VirtualLoop, seed: int = 59, trouble: str = "none", late_writes: float = 0.3
) -> SimulatedCluster:
    world = SimulatedCluster(loop, seed=seed, machines=8)
    world.task_s, world.at_end, world.close_looks = (2.0, 8.0), 1.0, True
    if trouble == "late writes":
        world.late_writes = late_writes
    elif trouble == "lost answers":
        world.lost_answers = 0.3
    elif trouble == "slow":
        world.slow_s = 1.0
    for i in range(60):
        world.submit(["red", "blue"][i % 2], 1 + i % 3, 1.0)
        gevent.sleep(0.7)
        if trouble == "crash" and i % 15 == 9:
            crash_leader(world, 0.3)
    gevent.sleep(20)
    heal(world)
    world.close_looks = True
    return world


def called_off_as_they_end_late(loop: VirtualLoop, seed: int) -> SimulatedCluster:
    return called_off_as_they_end(loop, seed, "late writes", 0.5)


@pytest.mark.parametrize("trouble", ["none", "late writes", "lost answers", "slow", "crash"])
def test_a_cancellation_meets_the_end_of_a_last_task(loop: VirtualLoop, trouble: str) -> None:
    world = called_off_as_they_end(loop, trouble=trouble)
    assert world.settled(300.0) == []
    ends = [j for j in world.jobs.values() if j.over]
    assert len(ends) == 60 and any(j.cancelled_at is not None for j in ends)


# called off at the very moment at which the leader is refused -------------------------------------------------


def called_off_as_the_leader_is_refused(
    loop: VirtualLoop, seed: int = 60, way: LinkMode = LinkMode.REFUSED, writes: str = ""
) -> SimulatedCluster:
    """A second later nobody is served, for longer than `cancel_s`; the commits themselves lie at the edge."""
    world = busy(loop, seed, task_s=(80.0, 120.0))
    (first,) = world.leading()
    if writes:
        setattr(world, writes, 0.5)
    world.links.set(first, STATE, way)
    world.cancel_now(10)
    gevent.sleep(1.0)
    world.store.down = True
    gevent.sleep(world.cancel_s + 12.0)
    world.store.down = False
    gevent.sleep(10.0)
    heal(world)
    return world


@pytest.mark.parametrize("writes", ["", "late_writes", "lost_answers"])
@pytest.mark.parametrize("way", [LinkMode.REFUSED, LinkMode.HELD])
def test_called_off_at_the_moment_at_which_the_leader_is_refused(loop: VirtualLoop, way: LinkMode, writes: str) -> None:
    assert called_off_as_the_leader_is_refused(loop, way=way, writes=writes).settled(600.0) == []


# a zone with workers and a controller ------------------------------------------------------------------------


def zone_apart(loop: VirtualLoop, seed: int = 61, leads: bool = True, other: bool = False) -> SimulatedCluster:
    """Cut off for longer than a lease, with cancellations and ends on both sides; all reports come at once after it."""
    world = busy(loop, seed)
    world.crowd(2.0, world.loop.time + 50.0)
    (first,) = world.leading()
    inside = first if leads else next(n for n in world.controllers if n != first)
    outside = [n for n in world.controllers if n != inside]
    for far in (STATE, "b", *outside):
        world.links.set(inside, far, LinkMode.HELD)
    for name in outside:
        world.links.set(name, "a", LinkMode.HELD)
    for _ in range(3):
        world.cancel_now(4)
        gevent.sleep(0.5 * world.lease_s)
    if other:
        crash_leader(world, 0.5)
        gevent.sleep(4.0)
    heal(world)
    return world


@pytest.mark.parametrize("other", [False, True])
@pytest.mark.parametrize("leads", [True, False])
def test_a_zone_with_workers_and_a_controller_is_cut_off(loop: VirtualLoop, leads: bool, other: bool) -> None:
    assert zone_apart(loop, leads=leads, other=other).settled(500.0) == []


# breaks made on purpose --------------------------------------------------------------------------------------


def zones_not_looked_at(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Placement, "_zone_counts", lambda self, job: {})


def nothing_waits_for_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new leader starts what it has not seen, wherever it may be."""

    def nowhere(self: JobRegistry, job: Any, machines: Any, hi: int) -> None:
        job.unseen_below = job.fresh = hi
        self._release_unseen(job)

    monkeypatch.setattr(JobRegistry, "add_possible_holders", nowhere)


def live_records_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cancellation leaves the live record where it is."""
    monkeypatch.setattr(
        job_api,
        "completion_transaction",
        lambda *a: (completion_transaction(*a)[0], [c for c in completion_transaction(*a)[1] if c.put]),
    )


def unknown_counts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """What may be on machines that are not proved counts against no team."""
    monkeypatch.setattr(MachineInventory, "_set_unknown_usage", lambda self: None)


def unseen_runs_again(monkeypatch: pytest.MonkeyPatch) -> None:
    unknown_counts_nothing(monkeypatch)
    nothing_waits_for_proof(monkeypatch)


def both_may_win(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cancellation does not ask whether its job is over."""
    monkeypatch.setattr(
        job_api,
        "completion_transaction",
        lambda ident, *a: ([key_absent(f"none/{ident}")], completion_transaction(ident, *a)[1]),
    )


def knows_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is known is never too old, and nobody hints at what is new."""
    monkeypatch.setattr(CancellationRecorder, "record_from_peer", lambda self, idents: None)
    monkeypatch.setattr(CancellationHorizon, "fresh", lambda self: True)
    extend = LeaderElection._extend
    monkeypatch.setattr(LeaderElection, "_extend", lambda self, sent: extend(self, sent + 60.0))


def longer_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    extend = LeaderElection._extend
    monkeypatch.setattr(LeaderElection, "_extend", lambda self, sent: extend(self, sent + 15.0))


BREAKS: list[tuple[Story, Callable[[pytest.MonkeyPatch], None]]] = [
    (bound_lose_machines, zones_not_looked_at),
    (held_until_another_acts, any_report_is_proof),
    (all_away, live_records_stay),
    (ten_changes, unseen_runs_again),
    (called_off_as_they_end_late, both_may_win),
    (called_off_as_the_leader_is_refused, knows_for_ever),
    (zone_apart, longer_authority),
]


@pytest.mark.parametrize(("story", "break_it"), BREAKS, ids=[s.__name__ for s, _ in BREAKS])
def test_a_break_made_on_purpose_is_found(
    monkeypatch: pytest.MonkeyPatch, story: Story, break_it: Callable[[pytest.MonkeyPatch], None]
) -> None:
    break_it(monkeypatch)
    found: list[str] = []
    for seed in range(4):
        with simulated() as virtual:
            found += story(virtual, 51 + seed).settled(90.0)
        if any(not text.startswith("j-") for text in found):
            return
    raise AssertionError(f"not found: {found[:5]}")
