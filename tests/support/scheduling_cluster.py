"""A leader over emulated machines, for tests of scheduling decisions and of their steps."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

import pytest

from grebestand.cluster_state.jobs import Job
from grebestand.cluster_state.machine import Machine
from grebestand.emulators.worker import WorkerEmulator
from grebestand.leader.term import Term
from grebestand.log_events import LogEvent
from grebestand.scheduling import gang_scheduling, placement, template_targets
from grebestand.scheduling.scheduling_context import Steps
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController

#: seconds in which new machines send heartbeats and are reconciled
SETTLE_S = 6
#: settings under which a team's limit does not matter
WIDE_LIMIT_SETTINGS = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0")


@dataclass(frozen=True)
class SchedulingCluster:
    """A cluster of one controller, which leads, and its workers."""

    cluster: InMemoryCluster
    controller: InMemoryController
    term: Term
    workers: list[WorkerEmulator]

    @property
    def now(self) -> float:
        """Seconds on the leader's clock."""
        return self.cluster.clock.now

    def job(self, job_id: str) -> Job:
        """Return the leader's state of a job."""
        return self.term.registry.jobs[job_id]

    def machine(self, worker: WorkerEmulator) -> Machine:
        """Return the leader's state of a worker's machine."""
        return self.term.inventory.by_name[worker.name]

    def begin_turn(self) -> None:
        """Do as the scheduling loop does when a computation is resumed after other work has run."""
        self.term.scheduler.context.slice_number += 1


def scheduling_cluster(machines: int, monkeypatch: pytest.MonkeyPatch, settings: str = SETTINGS) -> SchedulingCluster:
    """Return a cluster whose computations examine one machine in a step."""
    for module in (gang_scheduling, placement, template_targets):
        monkeypatch.setattr(module, "MACHINES_PER_STEP", 1)
    world = InMemoryCluster(settings)
    controller = InMemoryController(world, "node-0")
    term = controller.lead()
    workers = [world.add_worker(f"n-{i:06d}") for i in range(machines)]
    world.run_rounds(term, SETTLE_S)
    return SchedulingCluster(world, controller, term, workers)


def advance(steps: Steps, count: int) -> None:
    """Run a computation for so many steps."""
    for _ in range(count):
        next(steps)


def finish(steps: Steps) -> None:
    """Run a computation to its end."""
    for _ in steps:
        pass


def logged_events(records: Iterable[logging.LogRecord], event: str) -> list[dict[str, object]]:
    """Return the fields of each record of a log event."""
    messages = (record.msg for record in records)
    return [m.fields for m in messages if isinstance(m, LogEvent) and m.event == event]
