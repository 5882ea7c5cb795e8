"""Jobs that are cancelled while the leader changes, or while a leader is cut off, do not go on."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.leader.cancellation_horizon import MAX_AGE_FOR_STARTS_S, CancellationHorizon
from grebestand.leader.durable_grants import DurableGrants
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.storage.leader_records import GrantRecord
from support.cluster_actions import LEADER_CHANGES, change_leader, end_faults, start_if_stopped

#: commands to a worker may be under way for this long
COMMAND_DELAY_S = 4.0


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("how", LEADER_CHANGES)
def test_jobs_cancelled_during_failover_end(loop: VirtualLoop, how: str, twice: bool) -> None:
    """Before, in and after it, fifty milliseconds apart; also those accepted and cancelled within that time."""
    world = SimulatedCluster(loop, seed=34, machines=10)
    world.burst_requests = True
    world.task_duration_s = (30.0, 60.0)
    for _ in range(60):
        world.submit(world.rng.choice(["red", "blue"]), 2, 1.0)
    gevent.sleep(12)
    for number, job_id in enumerate(list(world.jobs)):
        world.jobs[job_id].cancel_at = world.loop.time + 0.05 * number
        gevent.spawn_later(
            0.05 * number + 0.001, world._send_request, "cancel", job_id, world.rng.choice(world.controller_names)
        )
    gevent.sleep(1.0)
    change_leader(world, how)
    for number in range(30):
        gevent.sleep(0.1)
        job_id = world.submit("blue", 2, 1.0)
        world.jobs[job_id].cancel_at = world.loop.time + 0.1 * (number % 10)
        if twice and number == 12:
            change_leader(world, how)
    gevent.sleep(20)
    end_faults(world)
    assert world.wait_until_settled(300.0) == []
    assert max((seconds for seconds, _ in world.starts_after_cancellation), default=0.0) < 1.0, (
        world.starts_after_cancellation
    )


# a leader that does not hear of cancellations -------------------------------------------------------------


def grant_whole_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no start wait for a write, as it is with arrays that have come far."""
    whole = GrantRecord(2000, None), set[int]()
    monkeypatch.setattr(DurableGrants, "_widened", lambda self, job: (job, *whole))


def cancel_while_leader_is_alone(
    loop: VirtualLoop, mode: LinkMode, monkeypatch: pytest.MonkeyPatch
) -> SimulatedCluster:
    """Cut a leader off from the store and its peers, not from its workers, and cancel its job through its peers."""
    grant_whole_jobs(monkeypatch)
    world = SimulatedCluster(loop, seed=38, machines=10)
    world.task_duration_s = (2.0, 5.0)
    world.submit("blue", 2000, 1.0)
    gevent.sleep(12)
    (leader,) = world.current_leaders()
    followers = [name for name in world.controller_names if name != leader]
    for other_end in (STATE, *followers):
        world.links.set_mode(leader, other_end, mode)
    gevent.sleep(1.0)
    for job_id in world.jobs:
        world.jobs[job_id].cancel_at = world.loop.time
        gevent.spawn(world._send_request, "cancel", job_id, world.rng.choice(followers))
    gevent.sleep(25)
    end_faults(world)
    return world


@pytest.mark.parametrize("mode", [LinkMode.REFUSED, LinkMode.HELD])
def test_leader_alone_starts_nothing_on_old_knowledge(
    loop: VirtualLoop, mode: LinkMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = cancel_while_leader_is_alone(loop, mode, monkeypatch)
    assert (
        max((seconds for seconds, _ in world.starts_after_cancellation), default=0.0)
        < MAX_AGE_FOR_STARTS_S + COMMAND_DELAY_S
    )
    assert world.wait_until_settled(100.0) == []


def test_starts_on_old_knowledge_are_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose."""
    monkeypatch.setattr(CancellationHorizon, "allows_starts", lambda self: True)
    world = cancel_while_leader_is_alone(loop, LinkMode.HELD, monkeypatch)
    assert max(seconds for seconds, _ in world.starts_after_cancellation) > MAX_AGE_FOR_STARTS_S + COMMAND_DELAY_S


@pytest.mark.parametrize("absent_peers", [0, 1])
def test_starts_go_on_in_a_store_outage_only_while_all_peers_answer(
    loop: VirtualLoop, absent_peers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nobody is served, so nobody confirms a cancellation; an absent peer cannot say so."""
    grant_whole_jobs(monkeypatch)
    world = SimulatedCluster(loop, seed=39, machines=10)
    world.task_duration_s = (2.0, 5.0)
    world.submit("blue", 2000, 1.0)
    gevent.sleep(12)
    (leader,) = world.current_leaders()
    for name in [name for name in world.controller_names if name != leader][:absent_peers]:
        world.crash(name)
    world.store.unavailable = True
    gevent.sleep(11)
    starts_go_on = world.longest_gap_between_starts(world.loop.time - 6.0, world.loop.time) < 2.0
    assert bool(starts_go_on) is not bool(absent_peers)


def test_status_of_restarted_peer_does_not_confirm_its_earlier_cancellations(loop: VirtualLoop) -> None:
    """It confirms and ends at once, while the leader reads nothing: its next process knows of no cancellation."""
    world = SimulatedCluster(loop, seed=40, machines=4)
    gevent.sleep(12)
    (leader_name,) = world.current_leaders()
    leader, peer_name = (
        world.controllers[leader_name],
        next(name for name in world.controller_names if name != leader_name),
    )
    assert leader is not None
    horizon = leader.election.cancellation_horizon
    peer = next(peer for peer in leader.peer_api.peers if peer.name == peer_name)
    assert leader.peer_api.cancellations_confirmed_up_to(horizon.known_at) > leader.clock() - 2.0
    world.store.unavailable = True
    world.crash(peer_name)
    start_if_stopped(world, peer_name)
    gevent.sleep(5.0)
    assert peer.answered_request_sent_at > leader.clock() - 2.0 and not horizon.allows_starts()
    world.store.unavailable = False
    gevent.sleep(2.0)
    assert horizon.allows_starts()
