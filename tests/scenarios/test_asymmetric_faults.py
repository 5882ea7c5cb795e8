"""Faults that only some see: deaf machines, isolated leaders, instant restarts, standstills, and many polls."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.api.peer_api import PeerApi
from grebestand.cluster_state.machine_inventory import MachineInventory
from grebestand.simulation.cluster import LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import LeaderState, Reception
from support.network_faults import isolate


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


def busy_cluster(loop: VirtualLoop, seed: int = 1, until_s: float = 60.0) -> SimulatedCluster:
    """Return a cluster that has been at work for a while."""
    world = SimulatedCluster(loop, seed=seed, machines=12)
    world.submit_continuously(2.0, until_s)
    gevent.sleep(15)
    return world


def assert_all_completed(world: SimulatedCluster, limit_s: float = 240.0) -> None:
    """Every accepted job is done, all stay known, and no invariant was broken."""
    world.faults_ended_at = world.loop.time
    gevent.sleep(limit_s)
    assert world.violations() == []
    assert [ref for ref, job in world.jobs.items() if job.accepted_at is not None and job.done_at is None] == []
    waited_s, ref = world.longest_unanswered()
    assert waited_s < 75.0, ref


# machines that send heartbeats and hear no answers --------------------------------------------------------


def test_deaf_machines_of_one_zone_lose_their_leases_and_the_other_zone_serves_all(loop: VirtualLoop) -> None:
    world = busy_cluster(loop, until_s=90.0)
    deaf = [machine for machine in world.machines.values() if machine.zone == "b"]
    for machine in deaf:
        machine.unheard_controllers = frozenset(world.controller_names)
    gevent.sleep(40)
    leader = world.controllers[world.current_leaders()[0]]
    assert leader is not None and leader.term is not None
    inventory = leader.term.inventory
    reception = {machine.name: machine.reception for machine in inventory.machines}
    assert {reception[machine.name] for machine in deaf if machine.name in reception} <= {Reception.UNREACHABLE}
    assert len(world.leader_history) == 1  # the other zone hears, so nobody gives way
    assert world.longest_gap_between_starts(world.loop.time - 20.0, world.loop.time) < 12.0
    for machine in deaf:
        machine.unheard_controllers = frozenset()
    gevent.sleep(15)
    assert {machine.reception for machine in inventory.machines} == {Reception.REACHABLE}
    assert_all_completed(world)


def test_leader_that_no_machine_hears_hands_over_once(loop: VirtualLoop) -> None:
    world = busy_cluster(loop, until_s=110.0)
    (leader,) = world.current_leaders()
    for machine in world.machines.values():
        machine.unheard_controllers = frozenset({leader})
    gevent.sleep(75)
    assert [name for _, name, _ in world.leader_history[:1]] == [leader] and len(world.leader_history) <= 3
    assert world.current_leaders() and world.current_leaders() != [leader]
    assert world.longest_gap_between_starts(world.loop.time - 20.0, world.loop.time) < 12.0
    assert_all_completed(world)


def test_leader_that_trusts_heartbeats_alone_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: a leader that no machine hears keeps the lead."""
    monkeypatch.setattr(MachineInventory, "record_missed_response", lambda *_: None)
    world = busy_cluster(loop, until_s=60.0)
    (leader,) = world.current_leaders()
    for machine in world.machines.values():
        machine.unheard_controllers = frozenset({leader})
    gevent.sleep(60)
    assert world.current_leaders() == [leader] and world.longest_gap_between_starts(20.0, world.loop.time) > 40.0


# a leader alone with its workers --------------------------------------------------------------------------


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD])
def test_isolated_leader_is_succeeded_within_its_lease(loop: VirtualLoop, mode: LinkMode) -> None:
    world = busy_cluster(loop, until_s=100.0)
    (first,) = world.current_leaders()
    isolated_at = loop.time
    isolate(world, first, mode)
    gevent.sleep(8)
    isolated = world.controllers[first]
    assert isolated is not None and not isolated.leadership_transfer.is_healthy()
    gevent.sleep(12)
    succeeded_at, second, _ = world.leader_history[1]
    assert second != first and succeeded_at - isolated_at < isolated.election.lease_ttl_s + 4.0
    gevent.sleep(15)
    world.links.open_all()
    gevent.sleep(15)
    assert len(world.leader_history) == 2 and world.lease_expiry_kills == 0  # its return is quiet, and no lease expired
    assert_all_completed(world)


def test_leaders_isolated_every_twenty_seconds(loop: VirtualLoop) -> None:
    world = busy_cluster(loop, until_s=150.0)
    for _ in range(5):
        (leader,) = world.current_leaders()
        isolate(world, leader, LinkMode.HELD)
        gevent.sleep(20)
        world.links.open_all()
        gevent.sleep(6)
    assert len(world.leader_history) <= 6
    assert_all_completed(world)


# restarts and standstills ---------------------------------------------------------------------------------


@pytest.mark.parametrize("restart_s", [0.05, 0.5])
@pytest.mark.parametrize("step_s", [0.0, 0.004, 0.01, 0.02, 0.05, 0.3])
def test_controllers_that_restart_during_an_election_elect_a_leader_soon(
    loop: VirtualLoop, restart_s: float, step_s: float
) -> None:
    """Killed at each step of taking the lead: before the key is known, while records are read, alone or all at once."""
    world = busy_cluster(loop, until_s=50.0)
    (leader,) = world.current_leaders()
    world.crash(leader)
    gevent.sleep(restart_s)
    world.start(leader)
    gevent.sleep(step_s)
    for name in [leader] if step_s < 0.05 else list(world.controller_names):
        world.crash(name)
        gevent.spawn_later(restart_s, world.start, name)
    crashed_at = loop.time
    while not world.current_leaders() and loop.time < crashed_at + 30.0:
        gevent.sleep(0.1)
    assert loop.time - crashed_at < 6.0  # its own name on the key, or a key that is free
    assert_all_completed(world, 150.0)


@pytest.mark.parametrize("seconds", [4.0, 10.0, 35.0])
def test_leader_that_stood_still_gives_no_commands_and_expires_no_machine(loop: VirtualLoop, seconds: float) -> None:
    world = busy_cluster(loop, until_s=90.0)
    (leader,) = world.current_leaders()
    world.pause(leader, seconds)
    gevent.sleep(seconds + 3.0)
    if seconds < 12.0:
        assert world.current_leaders() == [leader] and len(world.leader_history) == 1
        assert not world.lease_expiry_kills
    else:
        former_leader = world.controllers[leader]
        assert former_leader is not None and former_leader.election.state is LeaderState.FOLLOWING
        assert len(world.leader_history) == 2
    assert_all_completed(world)


def tasks_killed_while_two_stand_still(loop: VirtualLoop, seed: int) -> int:
    world = busy_cluster(loop, seed, until_s=60.0)
    world.task_duration_s = (60.0, 90.0)
    gevent.sleep(10)
    (leader,) = world.current_leaders()
    second, third = (name for name in world.controller_names if name != leader)
    world.pause(second, 60.0)
    gevent.sleep(10)
    killed_before = world.lease_expiry_kills
    world.pause(leader, 35.0)
    gevent.sleep(35)
    assert [name for _, name, _ in world.leader_history[1:]] == [third]
    killed = world.lease_expiry_kills - killed_before
    if seed == 1:
        world.task_duration_s = (3.0, 12.0)
        assert_all_completed(world, 500.0)
    return killed


def test_third_controller_keeps_heartbeats_until_it_leads_while_two_stand_still(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Workers were named the silent leader, waited four seconds there and four at the other, and came back after their
    leases: 2,091 tasks were killed in a day of operations. One play says little (0 to 58 of them), eight do."""

    def killed_in_all() -> int:
        total = 0
        for seed in range(1, 9):
            with simulated_time() as virtual:
                total += tasks_killed_while_two_stand_still(virtual, seed)
        return total

    killed = killed_in_all()
    assert killed <= 160
    monkeypatch.setattr(PeerApi, "is_unresponsive", lambda self, name: False)
    assert killed < 0.75 * killed_in_all()


# many polls -----------------------------------------------------------------------------------------------


def test_polls_fifty_times_as_often_delay_neither_submissions_nor_the_lease(loop: VirtualLoop) -> None:
    world = busy_cluster(loop, until_s=60.0)
    world.store.rps = 250.0
    world.poll_rate_factor = 50.0
    gevent.sleep(45)
    world.poll_rate_factor = 1.0
    accepted_late = [
        job
        for job in world.jobs.values()
        if 20.0 < job.submitted_at < 55.0 and (job.accepted_at or 1e9) - job.submitted_at > 1.0
    ]
    assert len(world.leader_history) == 1 and not accepted_late
    assert_all_completed(world)
