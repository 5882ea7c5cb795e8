"""Mass failure: many machines become unreachable and return together, under one leader and across a failover."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import pytest

from grebestand.emulators.worker import WorkerEmulator
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import MACHINE_TYPES, SETTINGS, InMemoryCluster, InMemoryController

MACHINES = 120
GANG_TASKS = 6
ARRAY_TASKS = 12 * MACHINES
SETTINGS_WITHOUT_LIMIT = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 64000.0")


@dataclass
class FullCluster:
    """A cluster without free capacity: gangs on a quarter of the machines, and an array on the others."""

    cluster: InMemoryCluster
    controller: InMemoryController
    term: Term
    workers: list[WorkerEmulator]
    gangs: list[str]

    def all_gangs_run_completely(self) -> bool:
        return all(gang_runs_completely(self.workers, gang) for gang in self.gangs)


def fill_cluster(policy: str) -> FullCluster:
    cluster = InMemoryCluster(SETTINGS_WITHOUT_LIMIT, policy)
    workers = [cluster.add_worker(f"n-{index:06d}", zone="ab"[index % 2]) for index in range(MACHINES)]
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    term.inventory.set_machine_types(MACHINE_TYPES)
    cluster.run_rounds(term, 3)
    gangs = [
        cluster.submit_job(controller, shape="ensemble", shards=GANG_TASKS, cpus=15.0, samePlace=True)
        for _ in range(MACHINES // 24)
    ]
    cluster.submit_job(controller, shards=ARRAY_TASKS, cpus=1.0, ramGb=0.1, rank="best_effort")
    cluster.run_rounds(term, 6)
    list_all_machines(cluster)
    return FullCluster(cluster, controller, term, workers, gangs)


def list_all_machines(cluster: InMemoryCluster) -> None:
    """Let the cloud list every machine as running."""
    row = {"addr": "x:1", "hull": "m4", "driftwood": False, "tide": "running", "heldS": 999.0}
    cluster.cloud.listed_machines = [
        {"ref": worker.name, "quay": worker.zone, **row} for worker in cluster.workers.values()
    ]


def gang_runs_completely(workers: list[WorkerEmulator], gang: str) -> bool:
    """Return whether all tasks of a gang run, once each, under one attempt."""
    running = [
        task for worker in workers for task in worker.tasks.values() if task.task.startswith(gang) and task.why is None
    ]
    names, attempts = {task.task for task in running}, {task.attempt for task in running}
    return len(running) == len(names) == GANG_TASKS and len(attempts) == 1


def started_attempts(workers: list[WorkerEmulator]) -> Counter[tuple[str, int]]:
    return Counter(attempt for worker in workers for attempt in worker.started_attempts)


def requested_machines(cluster: InMemoryCluster) -> int:
    return sum(len(names) for names in cluster.cloud.rentals.values())


def test_machines_that_return_together_run_all_gangs_again_without_repeated_commands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After all leases expired, all gangs are placed again at the same moment, without repeated starts or requests."""
    setup = fill_cluster("rent = true\n")
    cluster, term, workers = setup.cluster, setup.term, setup.workers
    assert setup.all_gangs_run_completely()
    started_before = started_attempts(workers)
    direct_commands: Counter[str] = Counter()
    send = cluster.send_direct_request

    def count_and_send(address: str, path: str, body: bytes) -> tuple[int, bytes]:
        direct_commands[address] += 1
        return send(address, path, body)

    monkeypatch.setattr(term.machine_reconciliation, "direct", count_and_send)
    for worker in workers:
        worker.reachable = False
    for _ in range(13):
        cluster.run_rounds(term, 2)
        term.step_machines()
    requested_while_unreachable = requested_machines(cluster)
    # at most one machine is requested for each unreachable one, and no machine that may return is deleted
    assert 0 < requested_while_unreachable <= MACHINES and len(cluster.cloud.rentals) <= 2 * 6
    assert not cluster.cloud.deleted_machines
    for worker in workers:
        worker.reachable = True
        worker.expire_lease()
    returned_at = cluster.clock.now
    while not setup.all_gangs_run_completely():
        cluster.run_rounds(term, 1)
        assert cluster.clock.now - returned_at < 12.0
    # the first heartbeat reports the capacity, the second one gets the start command, the third one confirms the start
    assert cluster.clock.now - returned_at <= 5.0
    cluster.run_rounds(term, 6)
    assert max((started_attempts(workers) - started_before).values()) == 1
    # commands go out in the responses to heartbeats, not as direct requests as well
    assert max(direct_commands.values(), default=0) <= 2
    assert requested_machines(cluster) == requested_while_unreachable


def test_new_leader_reconciles_responding_machines_and_waits_only_for_the_others() -> None:
    """A new leader keeps one count of the unreconciled machines, and one set of them that all large arrays share.

    Counting the unreconciled machines again for each machine, and searching all jobs for each machine, takes time
    quadratic in the number of machines.
    """
    setup = fill_cluster("rent = false\n")
    cluster, workers = setup.cluster, setup.workers
    unreachable = workers[: MACHINES // 2]
    for worker in unreachable:
        worker.reachable = False
    cluster.clock.now += 13.0
    term = InMemoryController(cluster, "node-1").lead()
    inventory, registry = term.inventory, term.registry
    assert inventory.unreconciled_count == MACHINES
    cluster.run_rounds(term, 4)
    assert inventory.unreconciled_count == len(inventory.unreconciled_machines()) == len(unreachable)
    unknown_cpus = sum(machine.capacity[0] for machine in inventory.unreconciled_machines())
    assert all(team.unreconciled_usage[0] == unknown_cpus for team in registry.teams)
    # the grant of a large array names no machines: all such jobs share one set of possible holders
    array = next(job for job in registry.jobs.values() if job.spec.tasks == ARRAY_TASKS)
    assert array.possible_holders is registry.unreconciled_machines and len(array.possible_holders) == len(unreachable)
    for worker in unreachable:
        worker.reachable = True
        worker.expire_lease()
    cluster.run_rounds(term, 8)
    assert term.machine_reconciliation.all_reconciled
    assert not registry.unreconciled_machines and not array.possible_holders and not array.unseen_tasks_below
    assert all(team.unreconciled_usage == [0, 0] for team in registry.teams)
    assert setup.all_gangs_run_completely()
    assert setup.term.handle_heartbeat(workers[0].next_heartbeat()) is None
