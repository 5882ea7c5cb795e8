"""Machines that get work as soon as they are up, while writes lag and leaders change."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from grebestand.leader.machine_records import MachineRecords
from grebestand.simulation.cluster import LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time
from grebestand.state_machines import MachineState
from support.cluster_actions import LEADER_CHANGES, change_leader, end_faults

RULES = "idle_return_s = 15\nkeep_empty = 0\n"


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


@pytest.mark.parametrize("lag", ["late", "lost", "slow"])
@pytest.mark.parametrize("how", LEADER_CHANGES)
def test_new_machines_get_work_at_once_while_writes_lag(loop: VirtualLoop, how: str, lag: str) -> None:
    world = SimulatedCluster(loop, seed=35, machines=2, rules=RULES)
    world.task_duration_s = (5.0, 30.0)
    world.boot_s = (0.05, 1.5)
    world.submit_continuously(2.0, 60.0)
    gevent.sleep(4)
    for number in range(5):
        world.late_write_rate, world.lost_response_rate = (
            (0.5 if lag == "late" else 0.0),
            (0.5 if lag == "lost" else 0.0),
        )
        world.max_response_delay_s = 1.0 if lag == "slow" else 0.0
        for _ in range(4):
            world.submit("blue", 8, 2.0)
        gevent.sleep(4.0 + number)
        # the next leader does not hear one zone at first
        for name in world.controller_names:
            world.links.set_mode(name, "ab"[number % 2], LinkMode.HELD)
        change_leader(world, how)
        gevent.sleep(5)
        world.links.open_all()
    end_faults(world)
    assert len(world.machines) > 2
    assert world.wait_until_settled(600.0) == []


@pytest.mark.parametrize("how", LEADER_CHANGES)
def test_new_machines_come_late_or_never(loop: VirtualLoop, how: str) -> None:
    """A third at once, a third after three times as long as usual, a third never; leaders change meanwhile."""
    world = SimulatedCluster(loop, seed=41, machines=2, rules=RULES)
    world.task_duration_s, world.boot_failure_rate, world.cancelled_job_rate = (5.0, 30.0), 0.33, 0.2
    world.submit_continuously(1.5, 90.0)
    for number in range(6):
        world.boot_s = [(0.05, 1.0), (90.0, 150.0)][number % 2]
        world.submit("blue", 3, 10.0, shape="ensemble")
        world.submit("blue", 10, 2.0)
        gevent.sleep(12)
        if number % 2:
            change_leader(world, how)
    world.boot_failure_rate, world.boot_s = 0.0, (0.2, 2.0)
    end_faults(world)
    assert world.wait_until_settled(600.0) == []


def test_work_on_machines_without_a_record_is_found(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: the next leader does not know of them, nor of what runs there."""

    def skip_writing(self: MachineRecords) -> None:
        for machine in self.inventory.machines:
            if machine.state is MachineState.NEW and machine.token == self.token:
                machine.recorded = True
                self.inventory.change_state(machine, MachineState.READY, self.clock())

    monkeypatch.setattr(MachineRecords, "record", skip_writing)
    with pytest.raises(AssertionError):
        test_new_machines_get_work_at_once_while_writes_lag(loop, "back at once", "slow")
