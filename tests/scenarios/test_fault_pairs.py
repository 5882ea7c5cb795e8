"""Pairs of faults of all kinds, the second one within 15 s after the first one, while users cancel and poll.

`MEETINGS=1-4 pytest tests/scenarios/test_fault_pairs.py` runs every pair with each of the seeds 1 to 4: with three
controllers where the seed is odd, and with five where the seed is even.
"""

from __future__ import annotations

import itertools
import math
import os
import random
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
import pytest

from grebestand.heartbeats.reconciliation import HeartbeatReconciler
from grebestand.leader.term import Term
from grebestand.scheduling.placement import Placement
from grebestand.simulation.cluster import FIXED_MACHINES_POLICY, STATE, LinkMode, SimulatedCluster
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.simulation.virtual_time import simulated_time
from grebestand.wire.workers import TaskPhase, TaskStatus
from support.cluster_actions import SPREAD_HEARTBEATS_POLICY, end_faults, start_if_stopped

MACHINE_COUNT = 12
#: runs with a higher seed also have jobs that are bound to one zone or spread over both
ZONE_JOBS_ABOVE_SEED = 8
#: a start later than this after the user was told of the cancellation is based on outdated information
MAX_START_AFTER_CANCELLATION_S = 20.0
#: runs with a higher seed submit more work than the limits of the teams allow
FULL_TEAMS_ABOVE_SEED = 16
#: above this seed, every controller handles heartbeats in the runs whose seed is a multiple of three
SPREAD_HEARTBEATS_ABOVE_SEED = 64


def current_leader(cluster: SimulatedCluster) -> str:
    """Return the leader, or the last one if no controller leads."""
    leaders = (
        cluster.current_leaders()
        or [name for _, name, _ in cluster.leader_history[-1:]]
        or cluster.controller_names[:1]
    )
    return leaders[0]


def random_machines(cluster: SimulatedCluster, rng: random.Random) -> list[str]:
    return rng.sample(sorted(cluster.machines), rng.randint(2, MACHINE_COUNT))


def set_temporarily(target: object, field: str, value: object, seconds: float, afterwards: object = 0.0) -> None:
    """Set a field for some seconds, and then set it to its value without faults.

    The previous value isn't restored: another fault may have set the previous value, which would then outlast
    `end_faults`.
    """
    assert hasattr(target, field), field
    setattr(target, field, value)
    gevent.spawn_later(seconds, setattr, target, field, afterwards)


def set_links_temporarily(
    cluster: SimulatedCluster, controller: str, other_ends: list[str], mode: LinkMode, seconds: float
) -> None:
    for other_end in other_ends:
        cluster.links.set_mode(controller, other_end, mode)
        gevent.spawn_later(seconds, cluster.links.set_mode, controller, other_end, LinkMode.OPEN)


def peers_of(cluster: SimulatedCluster, name: str) -> list[str]:
    return [controller for controller in cluster.controller_names if controller != name]


def crash(cluster: SimulatedCluster, names: list[str], seconds: float) -> None:
    for name in names:
        cluster.crash(name)
        gevent.spawn_later(seconds, start_if_stopped, cluster, name)


def refused_or_held(rng: random.Random) -> LinkMode:
    return rng.choice([LinkMode.REFUSED, LinkMode.HELD])


def refuse_leader(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_links_temporarily(cluster, current_leader(cluster), [STATE], refused_or_held(rng), rng.uniform(4.0, 30.0))


def refuse_leader_before_outage(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_links_temporarily(cluster, current_leader(cluster), [STATE], refused_or_held(rng), rng.uniform(4.0, 20.0))
    gevent.spawn_later(rng.uniform(0.2, 6.0), store_outage, cluster, rng)


def store_outage(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster.store, "unavailable", True, rng.uniform(5.0, 70.0), False)


def slow_store(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "max_response_delay_s", rng.uniform(0.3, 2.5), rng.uniform(5.0, 40.0))


def late_writes(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "late_write_rate", rng.uniform(0.1, 0.7), rng.uniform(5.0, 40.0))


def leader_crashes(cluster: SimulatedCluster, rng: random.Random) -> None:
    crash(cluster, [current_leader(cluster)], rng.uniform(0.05, 12.0))


def leader_restarts_twice(cluster: SimulatedCluster, rng: random.Random) -> None:
    for pause in (0.0, rng.uniform(0.5, 6.0)):
        gevent.spawn_later(pause, crash, cluster, [current_leader(cluster)], rng.uniform(0.02, 0.4))


def all_controllers_crash(cluster: SimulatedCluster, rng: random.Random) -> None:
    crash(cluster, cluster.controller_names, rng.uniform(0.1, 15.0))


def leadership_transfers(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let the leader resign twice in favour of a random peer, which may be down."""
    for pause in (0.0, rng.uniform(1.0, 8.0)):
        gevent.spawn_later(pause, leader_resigns, cluster, rng)


def leader_resigns(cluster: SimulatedCluster, rng: random.Random) -> None:
    for name in cluster.current_leaders():
        controller = cluster.controllers[name]
        if controller is not None:
            gevent.spawn(controller.leadership_transfer.resign, "played", rng.choice(peers_of(cluster, name)))


def isolate_leader(cluster: SimulatedCluster, rng: random.Random) -> None:
    name = current_leader(cluster)
    set_links_temporarily(
        cluster, name, [STATE, *peers_of(cluster, name)], refused_or_held(rng), rng.uniform(5.0, 45.0)
    )


def disconnect_leader_from_workers(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_links_temporarily(cluster, current_leader(cluster), ["a", "b"], refused_or_held(rng), rng.uniform(4.0, 30.0))


def pause_leader(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.pause(current_leader(cluster), rng.uniform(1.0, 45.0))


def disconnect_zone(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Hold the messages between one zone's machines and all controllers."""
    zone, seconds = rng.choice("ab"), rng.uniform(5.0, 60.0)
    for name in cluster.controller_names:
        set_links_temporarily(cluster, name, [zone], LinkMode.HELD, seconds)


def machines_without_responses(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Drop what all controllers, all but the leader, or the leader alone send to some machines."""
    leader = current_leader(cluster)
    unheard = rng.choice([cluster.controller_names, peers_of(cluster, leader), [leader]])
    seconds = rng.uniform(5.0, 60.0)
    for name in random_machines(cluster, rng):
        set_temporarily(cluster.machines[name], "unheard_controllers", frozenset(unheard), seconds, frozenset())


def hung_machines(cluster: SimulatedCluster, rng: random.Random) -> None:
    seconds = rng.uniform(2.0, 40.0)
    for name in random_machines(cluster, rng):
        set_temporarily(cluster.machines[name], "is_hung", True, seconds, False)


def restart_machines(cluster: SimulatedCluster, rng: random.Random) -> None:
    reset_session = rng.random() < 0.5
    for name in random_machines(cluster, rng)[:4]:
        cluster.machines[name].restart(reset_session)


def duplicate_heartbeats(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "duplicate_heartbeat_rate", rng.uniform(0.1, 0.5), rng.uniform(5.0, 40.0))


def late_commands(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "late_command_rate", rng.uniform(0.3, 1.0), rng.uniform(5.0, 40.0))


def frequent_polls(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "poll_rate_factor", 10.0, rng.uniform(3.0, 15.0), 1.0)


def isolate_zone(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Isolate one zone's machines and one controller from the other zone, the other controllers and the store."""
    zone, seconds = rng.choice("ab"), rng.uniform(5.0, 60.0)
    inside = rng.choice([current_leader(cluster), *cluster.controller_names])
    set_links_temporarily(
        cluster, inside, [STATE, *peers_of(cluster, inside), "b" if zone == "a" else "a"], LinkMode.HELD, seconds
    )
    for name in peers_of(cluster, inside):
        set_links_temporarily(cluster, name, [zone], LinkMode.HELD, seconds)


def lost_store_responses(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "lost_response_rate", rng.uniform(0.1, 0.7), rng.uniform(5.0, 40.0))


def delayed_heartbeats(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Retain heartbeats until the next leaders begin, when machines have newer states or were deleted."""
    set_temporarily(cluster, "retained_heartbeat_rate", 0.6, rng.uniform(3.0, 12.0))
    for pause in (rng.uniform(3.0, 12.0), rng.uniform(14.0, 40.0)):
        gevent.spawn_later(pause, crash, cluster, [current_leader(cluster)], rng.uniform(0.1, 6.0))


def burst_requests(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "burst_requests", True, rng.uniform(10.0, 60.0), False)


def cancel_at_end(cluster: SimulatedCluster, rng: random.Random) -> None:
    set_temporarily(cluster, "cancel_at_end_rate", rng.uniform(0.3, 1.0), rng.uniform(10.0, 60.0))


def cancel_jobs(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.cancel_running_jobs(rng.randint(2, 8), rng.choice([0.0, rng.uniform(5.0, 60.0)]))


def disconnected_machines(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let some machines, a zone or all machines reach no controller, while direct commands still reach them."""
    names = rng.choice([random_machines(cluster, rng), sorted(cluster.machines)[::2], sorted(cluster.machines)])
    seconds = rng.uniform(5.0, 60.0)
    for name in names:
        set_temporarily(cluster.machines[name], "cannot_connect", True, seconds, False)


def invalid_requests(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.send_invalid_requests(cluster.loop.time + rng.uniform(5.0, 40.0))


def all_controllers_down_beyond_lease(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Crash all controllers for longer than the workers' lease."""
    crash(cluster, cluster.controller_names, rng.uniform(1.05, 2.5) * cluster.lease_s)


def ten_leader_changes(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let the leader crash or resign ten times."""
    for number in range(10):
        gevent.spawn_later(number * rng.uniform(6.0, 12.0), change_leader, cluster, rng)


def change_leader(cluster: SimulatedCluster, rng: random.Random) -> None:
    if cluster.faults_ended_at == math.inf:
        crash(cluster, [current_leader(cluster)], rng.uniform(0.1, 5.0)) if rng.random() < 0.5 else leader_resigns(
            cluster, rng
        )


def reclaimed_machines(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Reclaim three machines without notice; their names are not used again."""
    for name in rng.sample(sorted(cluster.machines), 3):
        cluster.cloud.request("POST", "/machines/delete", msgspec.json.encode({"vessels": [name]}), 1.0)


def cancel_as_leader_is_refused(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Cancel jobs as the store refuses the leader alone, before a store outage longer than `cancel_s`."""
    set_links_temporarily(cluster, current_leader(cluster), [STATE], refused_or_held(rng), rng.uniform(4.0, 20.0))
    cluster.cancel_running_jobs(6)
    gevent.spawn_later(
        rng.uniform(0.3, 1.5), set_temporarily, cluster.store, "unavailable", True, rng.uniform(51.0, 70.0), False
    )


#: `REGRESSIONS` and the seeds of the runs refer to faults by their index
FAULTS: list[Callable[[SimulatedCluster, random.Random], None]] = [
    refuse_leader,
    refuse_leader_before_outage,
    store_outage,
    slow_store,
    late_writes,
    leader_crashes,
    leader_restarts_twice,
    all_controllers_crash,
    leadership_transfers,
    isolate_leader,
    disconnect_leader_from_workers,
    pause_leader,
    disconnect_zone,
    machines_without_responses,
    hung_machines,
    restart_machines,
    duplicate_heartbeats,
    late_commands,
    frequent_polls,
    isolate_zone,
    lost_store_responses,
    delayed_heartbeats,
    burst_requests,
    cancel_at_end,
    cancel_jobs,
    disconnected_machines,
    invalid_requests,
    all_controllers_down_beyond_lease,
    ten_leader_changes,
    reclaimed_machines,
    cancel_as_leader_is_refused,
]


def forwarder_crashes(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Crash a controller that forwards heartbeats, and restart the controller within 0.5 s or after 2 to 9 s."""
    crash(
        cluster,
        [rng.choice(peers_of(cluster, current_leader(cluster)))],
        rng.choice([rng.uniform(0.05, 0.5), rng.uniform(2.0, 9.0)]),
    )


def forwarder_loses_leader(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Cut a controller that forwards heartbeats off from the leader, or pause the controller."""
    forwarder = rng.choice(peers_of(cluster, current_leader(cluster)))
    if rng.random() < 0.5:
        cluster.pause(forwarder, rng.uniform(1.0, 25.0))
    else:
        set_links_temporarily(
            cluster, forwarder, [current_leader(cluster)], refused_or_held(rng), rng.uniform(4.0, 40.0)
        )


#: faults of controllers that forward heartbeats; every controller handles heartbeats in runs with these faults
FORWARDER_FAULTS = [forwarder_crashes, forwarder_loses_leader]
FIRST_FORWARDER_FAULT = len(FAULTS)
FAULTS += FORWARDER_FAULTS
PAIRS = list(itertools.combinations_with_replacement(range(len(FAULTS)), 2))


def run_pair(first: int, second: int, seed: int) -> list[str]:
    """Run a cluster with two kinds of fault; return violated invariants, lost jobs and late starts."""
    rng = random.Random(f"{first} {second} {seed}")
    with simulated_time() as loop:
        spread_heartbeats = max(first, second) >= FIRST_FORWARDER_FAULT or (
            seed > SPREAD_HEARTBEATS_ABOVE_SEED and seed % 3 == 0
        )
        rules = SPREAD_HEARTBEATS_POLICY if spread_heartbeats else FIXED_MACHINES_POLICY
        cluster = SimulatedCluster(
            loop, seed=seed, controllers=3 if seed % 2 else 5, machines=MACHINE_COUNT, rules=rules
        )
        cluster.cancelled_job_rate = 0.4
        # jobs of a few tasks, which end at different times, and more of them than can run at the same time
        cluster.task_duration_s = rng.choice([(3.0, 12.0), (5.0, 60.0), (30.0, 90.0)])
        cluster.submit_continuously(rng.uniform(2.0, 5.0), 45.0)
        if seed > FULL_TEAMS_ABOVE_SEED:
            # every team is at its limits of CPUs and GPUs
            for _ in range(6):
                cluster.submit("red", 2, 2.0, cards=1.0)
                cluster.submit("red", 4, 1.0)
                cluster.submit("blue", 6, 2.0)
        for _ in range(4):
            cluster.submit("blue", rng.randint(2, 3), 2.0, shape="ensemble")
        if seed > ZONE_JOBS_ABOVE_SEED:
            cluster.submit("red", 5, 1.0, quay="a")
            cluster.submit("blue", 3, 2.0, quay="b", shape="ensemble")
            for number in range(8):
                zone_rule: dict[str, Any] = {"samePlace": True} if number % 2 else {"scatter": True}
                shape = "ensemble" if number % 4 == 3 else "array"
                cluster.submit(rng.choice(["red", "blue"]), rng.randint(3, 8), 1.0, shape=shape, **zone_rule)
        gevent.sleep(rng.uniform(12.0, 30.0))
        order = [FAULTS[first], FAULTS[second]]
        rng.shuffle(order)
        order[0](cluster, rng)
        gevent.sleep(rng.uniform(0.0, 15.0))
        order[1](cluster, rng)
        gevent.sleep(rng.uniform(20.0, 90.0))
        end_faults(cluster)
        violations = cluster.wait_until_settled(900.0)
        # the protocol allows such starts, but so late the leader should have known of the cancellation
        return violations + [
            f"{task} started {seconds:.1f} s after its cancellation"
            for seconds, task in cluster.starts_after_cancellation
            if seconds > MAX_START_AFTER_CANCELLATION_S
        ]


def pairs_to_run() -> list[tuple[int, int, int]]:
    """Return pairs with each kind at least once, and the regressions; with `MEETINGS` in the environment, all pairs."""
    low, _, high = os.environ.get("MEETINGS", "").partition("-")
    if low:
        return [(a, b, seed) for seed in range(int(low), int(high or low) + 1) for a, b in PAIRS]
    count = FIRST_FORWARDER_FAULT
    pairs = REGRESSIONS + [(kind, (kind + 7) % count, 2 * kind + 1) for kind in range(0, count, 2)]
    return pairs + [(kind % count, count + kind % 2, 70 + kind) for kind in range(0, 2 * count, 5)]


#: pairs and seeds that violated an invariant in an earlier version (docs/meetings.md)
REGRESSIONS = [(3, 7, 1), (8, 8, 1), (8, 14, 1)]


@pytest.mark.parametrize(("first", "second", "seed"), pairs_to_run())
def test_no_invariant_is_violated_under_two_faults(first: int, second: int, seed: int) -> None:
    assert run_pair(first, second, seed) == [], f"{FAULTS[first].__name__} with {FAULTS[second].__name__}, seed {seed}"


def fill_machine_with_unknown_tasks() -> tuple[InMemoryCluster, Term]:
    """Fill a machine that cannot be queried with tasks without a record, which put their team at its limit."""
    cluster = InMemoryCluster()
    full, empty = cluster.add_worker("n-000000"), cluster.add_worker("n-000001")
    cluster.run_rounds(InMemoryController(cluster, "node-0").lead(), 3)
    for index in range(16):
        full.tasks[f"j-000900/{index}"] = TaskStatus(f"j-000900/{index}", 5, TaskPhase.RUNNING)
    cluster.clock.now += 13.0
    controller = InMemoryController(cluster, "node-1")
    term = controller.lead()
    cluster.submit_job(controller, crew="red", shards=4)
    cluster.handle_heartbeat(term, empty)
    cluster.handle_heartbeat(term, full, lose=True)
    full.token = term.token
    cluster.handle_heartbeat(term, full, lose=True)
    for _ in range(3):
        term.scheduling_loop.step(cluster.clock.now)
        cluster.clock.now += 1.0
        cluster.handle_heartbeat(term, empty)
    return cluster, term


def test_tasks_without_a_record_count_until_they_are_gone() -> None:
    """Tasks whose job was cancelled while there was no leader count against their team until they have ended.

    An earlier version did not count such tasks and started others of the same team: 21 CPUs were used of 16.
    """
    cluster, term = fill_machine_with_unknown_tasks()
    assert [len(job.allocations) for job in term.registry.jobs.values()] == [0]
    for _ in range(4):
        cluster.run_rounds(term, 1)
        term.scheduling_loop.step(cluster.clock.now)
    assert not any(task.startswith("j-000900") for task in cluster.workers["n-000000"].running_tasks())
    assert sum(len(worker.running_tasks()) for worker in cluster.workers.values()) == 4


def test_ignored_tasks_without_a_record_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: a machine with tasks that have no record counts as reconciled."""
    monkeypatch.setattr(HeartbeatReconciler, "_runs_unallocated_tasks", staticmethod(lambda machine, heartbeat: False))
    _, term = fill_machine_with_unknown_tasks()
    assert [len(job.allocations) for job in term.registry.jobs.values()] == [4]


def test_ignored_zones_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: placement ignores the zones of a job's other tasks."""
    assert run_pair(0, 11, 9) == []
    monkeypatch.setattr(Placement, "_zone_counts", lambda self, job: {})
    assert any("zone" in text for text in run_pair(0, 11, 9))
