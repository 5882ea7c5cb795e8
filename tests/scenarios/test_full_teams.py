"""Teams stay within their limits while cancelled tasks may still run on unreachable machines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from grebestand.cluster_state.job_registry import JobRegistry
from grebestand.cluster_state.machine_inventory import MachineInventory
from grebestand.simulation.cluster import LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from support.cluster_actions import LEADER_CHANGES, change_leader, end_faults


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


def cluster_with_full_teams(loop: VirtualLoop, seed: int) -> SimulatedCluster:
    """Return a cluster with both teams at their limits of CPUs and GPUs, more jobs waiting, and tasks that run long."""
    cluster = SimulatedCluster(loop, seed=seed, machines=10)
    cluster.task_duration_s = (60.0, 120.0)
    for _ in range(10):
        cluster.submit("red", 2, 2.0, cards=1.0)
        cluster.submit("red", 4, 1.0)
        cluster.submit("blue", 5, 2.0)
    gevent.sleep(14)
    usage, limits = cluster._team_usage(), cluster._team_limits()
    assert all(usage[team][0] == limits[team][0] for team in limits), usage
    return cluster


@pytest.mark.parametrize("fault", ["hang", "cut", "deaf"])
@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_limits_hold_while_cancelled_tasks_are_unreachable(loop: VirtualLoop, leader_change: str, fault: str) -> None:
    cluster = cluster_with_full_teams(loop, 33)
    used_machines = sorted(set(cluster._machine_by_task.values()))[:5]
    for name in used_machines:
        machine = cluster.machines[name]
        if fault == "hang":
            machine.is_hung = True
        elif fault == "deaf":
            machine.unheard_controllers = frozenset(cluster.controller_names)
    if fault == "cut":
        for name in cluster.controller_names:
            cluster.links.set_mode(name, "a", LinkMode.HELD)
    cluster.cancel_running_jobs(12)
    gevent.sleep(1.5)
    change_leader(cluster, leader_change)
    gevent.sleep(17)
    cluster.cancel_running_jobs(3)
    change_leader(cluster, leader_change)
    gevent.sleep(25)
    end_faults(cluster)
    assert cluster.wait_until_settled(900.0) == []


# faults built in on purpose --------------------------------------------------------------------------------


def free_cancelled_capacity_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count allocations of a cancelled job no longer, though its tasks may still run."""
    remove = JobRegistry.remove_if_over

    def free_and_remove(self: JobRegistry, job: Any) -> bool:
        if job.state.name == "CANCELLED":
            usage = self.teams[job.team_index].used
            allocations = job.allocations.values()
            freed = sum(1 for allocation in allocations if not allocation.keeps_fetching)
            if freed and not getattr(self, "freed", set()) & {job.spec.id}:
                self.__dict__.setdefault("freed", set()).add(job.spec.id)
                usage[0] -= freed * job.task_size[0]
        return remove(self, job)

    monkeypatch.setattr(JobRegistry, "remove_if_over", free_and_remove)


def ignore_unreconciled_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count no usage for machines that are not reconciled."""
    monkeypatch.setattr(MachineInventory, "_set_unknown_usage", lambda self: None)


@pytest.mark.parametrize("inject_fault", [free_cancelled_capacity_at_once, ignore_unreconciled_machines])
def test_capacity_that_is_freed_too_early_is_found(
    loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, inject_fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        test_limits_hold_while_cancelled_tasks_are_unreachable(loop, "crash", "hang")
