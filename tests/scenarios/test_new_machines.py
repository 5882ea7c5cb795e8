"""New machines are given tasks as soon as they are up, while writes are delayed and leaders change."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.leader.machine_records import MachineRecords
from grebestand.simulation.cluster import LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import MachineState
from support.cluster_actions import LEADER_CHANGES, change_leader, end_faults

POLICY = "idle_return_s = 15\nkeep_empty = 0\n"


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual_loop:
        yield virtual_loop


@pytest.mark.parametrize("write_fault", ["late", "lost", "slow"])
@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_new_machines_get_tasks_at_once_while_writes_are_delayed(
    loop: VirtualLoop, leader_change: str, write_fault: str
) -> None:
    cluster = SimulatedCluster(loop, seed=35, machines=2, rules=POLICY)
    cluster.task_duration_s = (5.0, 30.0)
    cluster.boot_s = (0.05, 1.5)
    cluster.submit_continuously(2.0, 60.0)
    gevent.sleep(4)
    for number in range(5):
        cluster.late_write_rate, cluster.lost_response_rate = (
            (0.5 if write_fault == "late" else 0.0),
            (0.5 if write_fault == "lost" else 0.0),
        )
        cluster.max_response_delay_s = 1.0 if write_fault == "slow" else 0.0
        for _ in range(4):
            cluster.submit("blue", 8, 2.0)
        gevent.sleep(4.0 + number)
        # the next leader receives no heartbeats of one zone at first
        for name in cluster.controller_names:
            cluster.links.set_mode(name, "ab"[number % 2], LinkMode.HELD)
        change_leader(cluster, leader_change)
        gevent.sleep(5)
        cluster.links.open_all()
    end_faults(cluster)
    assert len(cluster.machines) > 2
    assert cluster.wait_until_settled(600.0) == []


@pytest.mark.parametrize("leader_change", LEADER_CHANGES)
def test_new_machines_boot_late_or_never(loop: VirtualLoop, leader_change: str) -> None:
    """A third of the machines boot at once, a third take three times the usual time, and a third never boot."""
    cluster = SimulatedCluster(loop, seed=41, machines=2, rules=POLICY)
    cluster.task_duration_s, cluster.boot_failure_rate, cluster.cancelled_job_rate = (5.0, 30.0), 0.33, 0.2
    cluster.submit_continuously(1.5, 90.0)
    for number in range(6):
        cluster.boot_s = [(0.05, 1.0), (90.0, 150.0)][number % 2]
        cluster.submit("blue", 3, 10.0, shape="ensemble")
        cluster.submit("blue", 10, 2.0)
        gevent.sleep(12)
        if number % 2:
            change_leader(cluster, leader_change)
    cluster.boot_failure_rate, cluster.boot_s = 0.0, (0.2, 2.0)
    end_faults(cluster)
    assert cluster.wait_until_settled(600.0) == []


def test_work_on_machines_without_a_record_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: new machines are used without a record, so the next leader does not know of them."""

    def skip_writing(self: MachineRecords) -> None:
        for machine in self.inventory.machines:
            if machine.state is MachineState.NEW and machine.token == self.token:
                machine.recorded = True
                self.inventory.change_state(machine, MachineState.READY, self.clock())

    monkeypatch.setattr(MachineRecords, "record", skip_writing)
    with pytest.raises(AssertionError):
        test_new_machines_get_tasks_at_once_while_writes_are_delayed(loop, "back at once", "slow")
