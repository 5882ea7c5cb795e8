"""A leader with emulated machines, for tests of scheduling decisions and of their steps."""

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

#: rounds of 1 s after which new machines have sent heartbeats and are reconciled
SETTLE_ROUNDS = 6
#: settings with team limits that no test reaches
WIDE_LIMIT_SETTINGS = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0")


@dataclass(frozen=True)
class SchedulingCluster:
    """A cluster with one controller, which leads, and its workers."""

    cluster: InMemoryCluster
    controller: InMemoryController
    term: Term
    workers: list[WorkerEmulator]

    @property
    def now(self) -> float:
        """The time on the leader's clock, in seconds."""
        return self.cluster.clock.now

    def job(self, job_id: str) -> Job:
        """Return the leader's state of a job."""
        return self.term.registry.jobs[job_id]

    def machine(self, worker: WorkerEmulator) -> Machine:
        """Return the leader's state of a worker's machine."""
        return self.term.inventory.by_name[worker.name]

    def begin_turn(self) -> None:
        """Begin a new slice, as the scheduling loop does when it resumes a computation after other work."""
        self.term.scheduler.context.slice_number += 1


def scheduling_cluster(machines: int, monkeypatch: pytest.MonkeyPatch, settings: str = SETTINGS) -> SchedulingCluster:
    """Return a cluster whose computations examine one machine in each step."""
    for module in (gang_scheduling, placement, template_targets):
        monkeypatch.setattr(module, "MACHINES_PER_STEP", 1)
    cluster = InMemoryCluster(settings)
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    workers = [cluster.add_worker(f"n-{i:06d}") for i in range(machines)]
    cluster.run_rounds(term, SETTLE_ROUNDS)
    return SchedulingCluster(cluster, controller, term, workers)


def advance(steps: Steps, count: int) -> None:
    """Run a computation for `count` steps."""
    for _ in range(count):
        next(steps)


def finish(steps: Steps) -> None:
    """Run a computation to its end."""
    for _ in steps:
        pass


def logged_events(records: Iterable[logging.LogRecord], event: str) -> list[dict[str, object]]:
    """Return the fields of each record of a log event."""
    messages = (record.msg for record in records)
    return [message.fields for message in messages if isinstance(message, LogEvent) and message.event == event]
