"""Mass failure: many machines fall silent and return together, under one leader and over a change of leaders."""

from __future__ import annotations

from collections import Counter

from grebestand.emulators.worker import WorkerEmulator
from grebestand.simulation.single_controller_cluster import SETTINGS, TYPES, InMemoryCluster, InMemoryController

MANY = 120
WIDE = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 64000.0")


def crowd(rules: str) -> tuple[InMemoryCluster, InMemoryController, list[WorkerEmulator], list[str]]:
    """A fleet full of arrays, with gangs over a quarter of it; direct orders are counted by address."""
    world = InMemoryCluster(WIDE, rules)
    workers = [world.worker(f"n-{i:06d}", zone="ab"[i % 2]) for i in range(MANY)]
    node = InMemoryController(world, "node-0")
    term = node.lead()
    term.inventory.learn_types(TYPES)
    world.settle(term, 3)
    gangs = [world.accept(node, shape="ensemble", shards=6, cpus=15.0, samePlace=True) for _ in range(MANY // 24)]
    world.accept(node, shards=12 * MANY, cpus=1.0, ramGb=0.1, rank="best_effort")
    world.settle(term, 6)
    listed(world)
    return world, node, workers, gangs


def listed(world: InMemoryCluster) -> None:
    row = {"addr": "x:1", "hull": "m4", "driftwood": False, "tide": "running", "heldS": 999.0}
    world.cloud.listed = [{"ref": w.name, "quay": w.zone, **row} for w in world.workers.values()]


def whole(workers: list[WorkerEmulator], gang: str, size: int = 6) -> bool:
    """All tasks of the gang run, once each, under one attempt."""
    found = [t for w in workers for t in w.tasks.values() if t.task.startswith(gang) and t.why is None]
    return len(found) == size and len({t.task for t in found}) == size and len({t.attempt for t in found}) == 1


def test_machines_that_return_together_get_their_gangs_back_whole_and_nobody_is_asked_twice() -> None:
    """Their leases had ended: all their work is gone, and every gang needs its slots again at the same moment."""
    world, node, workers, gangs = crowd("rent = true\n")
    term = node.term
    assert term is not None and all(whole(workers, g) for g in gangs)
    before = Counter(s for w in workers for s in w.started)
    orders: Counter[str] = Counter()
    direct = world.direct

    def counted(addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        orders[addr] += 1
        return direct(addr, path, body)

    term.machine_reconciliation.direct = counted
    for w in workers:
        w.reachable = False
    for _ in range(13):
        world.settle(term, 2)
        term.step_fleet()
    silent = sum(len(names) for names in world.cloud.requests.values())
    # one request for each machine that is lacking, not one at each look; and none that may come back is deleted
    assert 0 < silent <= MANY and len(world.cloud.requests) <= 2 * 6
    assert not world.cloud.deleted
    for w in workers:
        w.reachable = True
        w.lapse()
    begin = world.clock.now
    while not all(whole(workers, g) for g in gangs):
        world.settle(term, 1)
        assert world.clock.now - begin < 12.0
    # whole within some passes and reports: room at the first report, the start at the next, and its proof
    assert world.clock.now - begin <= 5.0
    world.settle(term, 6)
    starts = Counter(s for w in workers for s in w.started) - before
    assert max(starts.values()) == 1
    # each machine's report brings the news; nobody is told directly what its own answer tells
    assert max(orders.values(), default=0) <= 2
    assert sum(len(names) for names in world.cloud.requests.values()) == silent


def test_a_new_leader_of_many_machines_settles_who_answers_and_waits_for_the_rest_only() -> None:
    """Counting the unproved anew for each proof, and looking through all jobs for each, grew with the square."""
    world, node, workers, gangs = crowd("rent = false\n")
    for w in workers[: MANY // 2]:
        w.reachable = False
    world.clock.now += 13.0
    again = InMemoryController(world, "node-1")
    term = again.lead()
    assert term.inventory.unreconciled_count == MANY
    world.settle(term, 4)
    assert term.inventory.unreconciled_count == len(term.inventory.unreconciled()) == MANY // 2
    unknown = sum(m.capacity[0] for m in term.inventory.unreconciled())
    assert all(team.unknown[0] == unknown for team in term.registry.teams)
    # the wide array names no machines in its grant: it shares one set with others that may be anywhere
    job = next(j for j in term.registry.jobs.values() if j.spec.tasks == 12 * MANY)
    assert job.possible_holders is term.registry.anywhere and len(job.possible_holders) == MANY // 2
    for w in workers[: MANY // 2]:
        w.reachable = True
        w.lapse()
    world.settle(term, 8)
    assert (
        term.machine_reconciliation.proved
        and not term.registry.anywhere
        and not job.possible_holders
        and not job.unseen_below
    )
    assert all(team.unknown == [0, 0] for team in term.registry.teams)
    assert all(whole(workers, g) for g in gangs)
    assert node.term is not None and node.term.handle_heartbeat(workers[0].report()) is None
