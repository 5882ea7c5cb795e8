"""Tests of the history checker and of the emulated execution of tasks, which produces histories."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from grebestand.cli import main
from grebestand.emulators.task_execution import TaskEvent, TaskExecution, TaskRunner
from grebestand.fault_test.history import History, HistoryFileError, read_history, write_history
from grebestand.fault_test.history_checker import check_history
from grebestand.federation.home import HomeCluster
from grebestand.federation.remote_gang import RemoteGang
from grebestand.simulation.single_controller_cluster import InMemoryCluster
from grebestand.wire.jobs import JobSpec, decode_spec
from grebestand.wire.workers import Command, HeartbeatResponse, TaskPhase
from support.federated_clusters import FederatedClusters


def task_events(*events: tuple[float, str, str, str, int, str, str]) -> list[TaskEvent]:
    """Return events of a gang of two tasks, from tuples (at, cluster, what, job, task, machine, why)."""
    return [
        TaskEvent(at, cluster, what, "g", job, task, 1, machine, why, 2)
        for at, cluster, what, job, task, machine, why in events
    ]


def complete_run(cluster: str, job: str, at: float = 0.0) -> list[TaskEvent]:
    return task_events(
        (at + 1, cluster, "on", job, 0, "m0", ""), (at + 1, cluster, "on", job, 1, "m1", ""),
        (at + 3, cluster, "off", job, 0, "m0", "done"), (at + 3, cluster, "off", job, 1, "m1", "done"),
    )  # fmt: skip


ACCEPTED = [TaskEvent(0.0, "home", "accepted", "g", "j", tasks=2)]
DONE = [TaskEvent(9.0, "home", "done", "g", "j", tasks=2)]


@pytest.mark.parametrize(
    ("events", "summary", "violation"),
    [
        (ACCEPTED + complete_run("home", "j") + DONE, "gangs 1, whole once 1, partly 0, twice 0, lost 0", ""),
        (ACCEPTED + complete_run("home", "j"), "gangs 1, whole once 0, partly 0, twice 0, lost 1",
         "accepted, but never reported done"),
        (ACCEPTED + DONE, "gangs 1, whole once 0, partly 1, twice 0, lost 0",
         "reported done to its user, but its tasks did not all complete"),
        (ACCEPTED + complete_run("home", "j") + complete_run("east", "k", 4.0) + DONE,
         "gangs 1, whole once 0, partly 0, twice 1, lost 0", "completed 2 times"),
        (ACCEPTED + complete_run("home", "j") + complete_run("east", "k", 1.0)[:2] + DONE,
         "gangs 1, whole once 0, partly 0, twice 1, lost 0", "in east while in home"),
        (ACCEPTED + complete_run("home", "j")[:3] + task_events((5, "home", "on", "j", 1, "m2", "")) + DONE,
         "gangs 1, whole once 0, partly 0, twice 1, lost 0", "while on m1"),
        (ACCEPTED + complete_run("home", "j")[:3] + task_events((3, "home", "off", "j", 1, "m1", "lease")) + DONE,
         "gangs 1, whole once 0, partly 1, twice 0, lost 0", "only some of its tasks completed"),
        ([*ACCEPTED, dataclasses.replace(DONE[0], what="cancelled", at=1.0), *complete_run("home", "j", 30.0)],
         "gangs 0, whole once 0, partly 0, twice 0, lost 0", "after it was cancelled"),
        ([*ACCEPTED, *complete_run("home", "j"), *DONE, dataclasses.replace(DONE[0], what="cancelled", at=10.0)],
         "gangs 1, whole once 0, partly 0, twice 0, lost 0", "as both done and cancelled"),
    ],
)  # fmt: skip
def test_checker_detects_each_kind_of_violation(events: list[TaskEvent], summary: str, violation: str) -> None:
    verdict = check_history(History(20.0, events))
    assert verdict.summary() == summary and verdict.passed is not bool(violation)
    assert any(violation in found for found in verdict.violations) or not violation


def test_history_file_is_written_read_and_checked_by_the_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    history = History(20.0, ACCEPTED + complete_run("home", "j") + DONE, {"seed": 7})
    file = tmp_path / "h.parquet"
    write_history(file, history)
    assert read_history(file) == history
    assert main(["check-history", str(file)]) == 0
    assert capsys.readouterr().out == "gangs 1, whole once 1, partly 0, twice 0, lost 0\n"
    write_history(file, History(20.0, ACCEPTED))
    assert main(["check-history", str(file)]) == 1
    file.write_text("no Parquet file")
    with pytest.raises(HistoryFileError, match="not a history"):
        read_history(file)
    assert main(["check-history", str(file)]) == 2
    assert capsys.readouterr().err.count("\n") == 2


def record_history(clusters: FederatedClusters, seconds: int) -> History:
    """Run the clusters, and return the history of their gang with the running tasks sampled once a second."""
    history = History(20.0, [TaskEvent(clusters.clock.now, "home", "accepted", "g", clusters.gang, tasks=3)])
    previous: dict[tuple[str, str, str], TaskEvent] = {}
    for _ in range(seconds):
        clusters.advance(1)
        now = clusters.clock.now
        current = {}
        for cluster in clusters.clusters:
            is_home = cluster is clusters.home
            jobs = {clusters.gang} if is_home else {record.job_id for record in cluster.guest.records.values()}
            for worker in cluster.workers:
                for task in worker.running_tasks():
                    job, _, index = task.rpartition("/")
                    if job in jobs:
                        event = TaskEvent(now, cluster.name, "on", "g", job, int(index), 1, worker.name, tasks=3)
                        current[cluster.name, worker.name, task] = event
        history.events += [
            dataclasses.replace(event, at=now, what="off") for key, event in previous.items() if key not in current
        ]
        history.events += [event for key, event in current.items() if key not in previous]
        previous = current
    return history


def test_checker_detects_a_gang_that_home_starts_while_it_runs_remotely(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a checker that misses a gang running in two clusters.

    Capacity becomes free at home while the gang runs in another cluster. With the flag `runs_remotely` cleared on
    purpose, home starts the gang a second time; with the flag set, home does not.
    """

    def run_scenario() -> History:
        clusters = FederatedClusters()
        monkeypatch.setattr(clusters, "check", lambda: None)
        clusters.advance_until(lambda: clusters.running_cluster() == "east")
        clusters.finish_tasks(clusters.home)
        return record_history(clusters, 12)

    assert not [violation for violation in check_history(run_scenario()).violations if "while in" in violation]
    move = HomeCluster.change_state

    def move_without_flag(self: HomeCluster, gang: RemoteGang, new: object, why: str) -> None:
        move(self, gang, new, why)  # type: ignore[arg-type]
        gang.job.runs_remotely = False

    monkeypatch.setattr(HomeCluster, "change_state", move_without_flag)
    verdict = check_history(run_scenario())
    assert verdict.duplicated == 1 and [violation for violation in verdict.violations if "while in" in violation]


class EmulatedMachines:
    """Three machines that execute the tasks of one job, on a clock that the test advances."""

    def __init__(self, **fields: object) -> None:
        self.spec: JobSpec = decode_spec(InMemoryCluster().submission_body(**fields))
        self.events: list[TaskEvent] = []
        self.execution = TaskExecution("here", 8.0, 10.0, 2.0, lambda job: self.spec, self.events.append)
        self.runners = [TaskRunner(f"m{i}") for i in range(3)]
        self.now = 0.0
        for runner in self.runners:
            self.execution.add_worker(runner, 0.0)

    def command(self, machine: int, op: str, task: int, grace: float | None = None, attempt: int = 1) -> None:
        """Deliver one command to a machine, given by its index."""
        self.runners[machine].apply_response(
            HeartbeatResponse(1, [Command(op, f"{self.spec.id}/{task}", attempt, grace)])
        )

    def advance(self, seconds: float, answered: bool = True) -> None:
        """Advance the clock in steps of 0.1 s, with or without responses to the machines' heartbeats."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for runner in self.runners:
                if answered:
                    runner.lease_renewed_at = self.now
            self.execution.step(self.now)

    def states(self) -> list[str]:
        """Return the exit reason of each task, or the phase of a task that has not exited."""
        return [
            status.state.value if status.why is None else status.why.value
            for runner in self.runners
            for status in runner.tasks.values()
        ]


def test_gang_starts_when_each_task_has_its_image_and_ends_together() -> None:
    machines = EmulatedMachines(shape="ensemble", shards=2, reckonS=3.0, pullGb=2.0)
    machines.runners[0].cached_images.add("img")
    machines.command(0, "start", 0)
    machines.command(1, "start", 1)
    machines.advance(0.5)
    assert machines.states() == ["gathering", "fetching"]
    machines.advance(1.0)
    assert machines.states() == ["running", "running"]
    machines.advance(3.5)
    assert machines.states() == ["done", "done"]
    assert [event.what for event in machines.events] == ["on", "on", "off", "off"]
    machines.command(0, "forget", 0)
    machines.command(0, "start", 0, attempt=2)  # the result of the first attempt is kept
    machines.advance(0.2)
    assert machines.states()[0] == "done"


def test_gang_exits_if_a_task_is_lost_or_not_all_tasks_start() -> None:
    machines = EmulatedMachines(shape="ensemble", shards=3, reckonS=60.0)
    for i in range(3):
        machines.command(i, "start", i)
    machines.advance(2.0)
    machines.execution.remove_worker("m2", machines.now)
    machines.runners.pop()
    machines.advance(3.0)
    assert machines.states() == ["mates_gone", "mates_gone"]
    others = EmulatedMachines(shape="ensemble", shards=3, reckonS=60.0)
    others.command(0, "start", 0)
    others.advance(12.0)
    assert others.states() == ["incomplete"]


def test_work_is_repeated_unless_a_checkpoint_saved_it() -> None:
    machines = EmulatedMachines(reckonS=10.0, markS=2.0, stowS=1.0, pullGb=0.0)
    machines.command(0, "start", 0)
    machines.advance(5.5)
    machines.command(0, "stop", 0, grace=2.0)
    machines.advance(0.5)
    assert machines.states() == ["saving"]
    machines.advance(1.0)
    assert machines.states() == ["stopped"] and machines.runners[0].tasks[f"{machines.spec.id}/0"].saved
    machines.command(0, "forget", 0)
    machines.command(1, "start", 0, attempt=2)
    machines.advance(6.5)
    assert machines.states() == ["done"]  # a checkpoint saved four of the ten seconds
    others = EmulatedMachines(reckonS=10.0, markS=0.0, stowS=0.0, pullGb=0.0)
    others.command(0, "start", 0)
    others.advance(5.0)
    others.command(0, "stop", 0, grace=5.0)
    others.advance(0.1)
    assert others.states() == ["stopped"] and not others.execution.saved_work_s


def test_tasks_end_when_the_lease_expires_and_a_task_forgotten_between_steps_has_an_off_event() -> None:
    machines = EmulatedMachines(reckonS=60.0, pullGb=0.0)
    machines.command(0, "start", 0)
    machines.advance(1.0)
    machines.advance(9.0, answered=False)
    assert not machines.runners[0].tasks and machines.runners[0].epoch == 2 and machines.events[-1].why == "lease"
    # A task that is stopped, forgotten and started again between two steps still has an "off" event.
    machines.command(1, "start", 0)
    machines.advance(1.0)
    for op, attempt in (("stop", 1), ("forget", 1), ("start", 2)):
        machines.command(1, op, 0, attempt=attempt)
    machines.advance(1.0)
    assert [(event.what, event.attempt) for event in machines.events[2:]] == [("on", 1), ("off", 1), ("on", 2)]
    assert machines.runners[1].tasks[f"{machines.spec.id}/0"].state is TaskPhase.RUNNING
