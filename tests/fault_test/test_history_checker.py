"""Stand-ins that play tasks by the protocol, and the checker that holds histories against the rules."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from grebestand.cli import main
from grebestand.emulators.task_execution import TaskEvent, TaskExecution, TaskRunner
from grebestand.fault_test.history import History, HistoryFileError, read, write
from grebestand.fault_test.history_checker import check
from grebestand.federation.home import HomeCluster
from grebestand.federation.remote_gang import RemoteGang
from grebestand.simulation.single_controller_cluster import InMemoryCluster
from grebestand.wire.jobs import JobSpec, decode_spec
from grebestand.wire.workers import Command, HeartbeatResponse, TaskPhase
from support.federated_clusters import FederatedClusters


def rows(*steps: tuple[float, str, str, str, int, str, str]) -> list[TaskEvent]:
    """(when, cluster, what, job, task, machine, why) of one gang of two tasks."""
    return [TaskEvent(at, c, what, "g", j, t, 1, m, why, 2) for at, c, what, j, t, m, why in steps]


def whole(cluster: str, job: str, at: float = 0.0) -> list[TaskEvent]:
    return rows(
        (at + 1, cluster, "on", job, 0, "m0", ""), (at + 1, cluster, "on", job, 1, "m1", ""),
        (at + 3, cluster, "off", job, 0, "m0", "done"), (at + 3, cluster, "off", job, 1, "m1", "done"),
    )  # fmt: skip


TOLD = [TaskEvent(0.0, "home", "accepted", "g", "j", tasks=2)]
DONE = [TaskEvent(9.0, "home", "done", "g", "j", tasks=2)]


@pytest.mark.parametrize(
    ("found", "line", "fault"),
    [
        (TOLD + whole("home", "j") + DONE, "gangs 1, whole once 1, partly 0, twice 0, lost 0", ""),
        (TOLD + whole("home", "j"), "gangs 1, whole once 0, partly 0, twice 0, lost 1", "accepted, and never done"),
        (TOLD + DONE, "gangs 1, whole once 0, partly 1, twice 0, lost 0", "not done whole anywhere"),
        (TOLD + whole("home", "j") + whole("east", "k", 4.0) + DONE,
         "gangs 1, whole once 0, partly 0, twice 1, lost 0", "done 2 times"),
        (TOLD + whole("home", "j") + whole("east", "k", 1.0)[:2] + DONE,
         "gangs 1, whole once 0, partly 0, twice 1, lost 0", "in east while in home"),
        (TOLD + whole("home", "j")[:3] + rows((5, "home", "on", "j", 1, "m2", "")) + DONE,
         "gangs 1, whole once 0, partly 0, twice 1, lost 0", "while on m1"),
        (TOLD + whole("home", "j")[:3] + rows((3, "home", "off", "j", 1, "m1", "lease")) + DONE,
         "gangs 1, whole once 0, partly 1, twice 0, lost 0", "only part of it"),
        ([*TOLD, dataclasses.replace(DONE[0], what="cancelled", at=1.0), *whole("home", "j", 30.0)],
         "gangs 0, whole once 0, partly 0, twice 0, lost 0", "after it was cancelled"),
        ([*TOLD, *whole("home", "j"), *DONE, dataclasses.replace(DONE[0], what="cancelled", at=10.0)],
         "gangs 1, whole once 0, partly 0, twice 0, lost 0", "told both done and cancelled"),
    ],
)  # fmt: skip
def test_the_checker_finds_each_way_to_be_wrong(found: list[TaskEvent], line: str, fault: str) -> None:
    verdict = check(History(20.0, found))
    assert verdict.line() == line and verdict.good is not bool(fault)
    assert any(fault in f for f in verdict.faults) or not fault


def test_a_history_is_written_read_and_checked_from_the_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    history = History(20.0, TOLD + whole("home", "j") + DONE, {"seed": 7})
    file = tmp_path / "h.parquet"
    write(file, history)
    assert read(file) == history
    assert main(["check-history", str(file)]) == 0
    assert capsys.readouterr().out == "gangs 1, whole once 1, partly 0, twice 0, lost 0\n"
    write(file, History(20.0, TOLD))
    assert main(["check-history", str(file)]) == 1
    file.write_text("not this")
    with pytest.raises(HistoryFileError, match="not a history"):
        read(file)
    assert main(["check-history", str(file)]) == 2
    assert capsys.readouterr().err.count("\n") == 2


def recorded(c: FederatedClusters, seconds: int) -> History:
    """What tasks and the user saw, looked at once a second."""
    history = History(20.0, [TaskEvent(c.clock.now, "home", "accepted", "g", c.gang, tasks=3)])
    on: dict[tuple[str, str, str], TaskEvent] = {}
    for _ in range(seconds):
        c.advance(1)
        now = {}
        for side in c.clusters:
            jobs = {c.gang} if side is c.home else {r.job_id for r in side.guest.records.values()}
            for w in side.workers:
                for task in w.running_tasks():
                    job, _, index = task.rpartition("/")
                    if job in jobs:
                        row = TaskEvent(c.clock.now, side.name, "on", "g", job, int(index), 1, w.name, tasks=3)
                        now[side.name, w.name, task] = row
        history.rows += [dataclasses.replace(r, at=c.clock.now, what="off") for k, r in on.items() if k not in now]
        history.rows += [r for k, r in now.items() if k not in on]
        on = now
    return history


def test_a_decision_that_is_broken_on_purpose_is_found_by_the_checker(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same day twice: room appears at home while the gang is abroad. Without that mark home starts it too."""

    def day() -> History:
        c = FederatedClusters()
        monkeypatch.setattr(c, "check", lambda: None)
        c.advance_until(lambda: c.running_cluster() == "east")
        c.finish_tasks(c.home)
        return recorded(c, 12)

    assert not [f for f in check(day()).faults if "while in" in f]
    move = HomeCluster.change_state

    def careless(self: HomeCluster, trip: RemoteGang, new: object, why: str) -> None:
        move(self, trip, new, why)  # type: ignore[arg-type]
        trip.job.runs_remotely = False

    monkeypatch.setattr(HomeCluster, "change_state", careless)
    verdict = check(day())
    assert verdict.twice == 1 and [f for f in verdict.faults if "while in" in f]


# the yard -------------------------------------------------------------------------------------------------


class Played:
    """Three machines and one job, on a clock that the story turns."""

    def __init__(self, **more: object) -> None:
        self.spec: JobSpec = decode_spec(InMemoryCluster().submission_body(**more))
        self.rows: list[TaskEvent] = []
        self.yard = TaskExecution("here", 8.0, 10.0, 2.0, lambda job: self.spec, self.rows.append)
        self.players = [TaskRunner(f"m{i}") for i in range(3)]
        self.now = 0.0
        for p in self.players:
            self.yard.add_worker(p, 0.0)

    def order(self, at: int, op: str, task: int, grace: float | None = None, attempt: int = 1) -> None:
        self.players[at].apply_response(HeartbeatResponse(1, [Command(op, f"{self.spec.id}/{task}", attempt, grace)]))

    def go(self, seconds: float, answered: bool = True) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for p in self.players:
                if answered:
                    p.lease_renewed_at = self.now
            self.yard.step(self.now)

    def states(self) -> list[str]:
        return [s.state.value if s.why is None else s.why.value for p in self.players for s in p.tasks.values()]


def test_a_gang_starts_when_all_have_the_image_and_ends_together() -> None:
    p = Played(shape="ensemble", shards=2, reckonS=3.0, pullGb=2.0)
    p.players[0].cached_images.add("img")
    p.order(0, "start", 0)
    p.order(1, "start", 1)
    p.go(0.5)
    assert p.states() == ["gathering", "fetching"]
    p.go(1.0)
    assert p.states() == ["running", "running"]
    p.go(3.5)
    assert p.states() == ["done", "done"]
    assert [r.what for r in p.rows] == ["on", "on", "off", "off"]
    p.order(0, "forget", 0)
    p.order(0, "start", 0, attempt=2)  # a result that is kept
    p.go(0.2)
    assert p.states()[0] == "done"


def test_a_gang_that_loses_a_task_or_never_becomes_whole_exits() -> None:
    p = Played(shape="ensemble", shards=3, reckonS=60.0)
    for i in range(3):
        p.order(i, "start", i)
    p.go(2.0)
    p.yard.remove_worker("m2", p.now)
    p.players.pop()
    p.go(3.0)
    assert p.states() == ["mates_gone", "mates_gone"]
    q = Played(shape="ensemble", shards=3, reckonS=60.0)
    q.order(0, "start", 0)
    q.go(12.0)
    assert q.states() == ["incomplete"]


def test_saved_work_is_not_done_again_and_unsaved_work_is() -> None:
    p = Played(reckonS=10.0, markS=2.0, stowS=1.0, pullGb=0.0)
    p.order(0, "start", 0)
    p.go(5.5)
    p.order(0, "stop", 0, grace=2.0)
    p.go(0.5)
    assert p.states() == ["saving"]
    p.go(1.0)
    assert p.states() == ["stopped"] and p.players[0].tasks[f"{p.spec.id}/0"].saved
    p.order(0, "forget", 0)
    p.order(1, "start", 0, attempt=2)
    p.go(6.5)
    assert p.states() == ["done"]  # four of ten seconds were at a checkpoint
    q = Played(reckonS=10.0, markS=0.0, stowS=0.0, pullGb=0.0)
    q.order(0, "start", 0)
    q.go(5.0)
    q.order(0, "stop", 0, grace=5.0)
    q.go(0.1)
    assert q.states() == ["stopped"] and not q.yard.saved_work_s


def test_a_lease_that_runs_out_ends_all_tasks_and_what_is_forgotten_at_once_is_said_to_be_off() -> None:
    p = Played(reckonS=60.0, pullGb=0.0)
    p.order(0, "start", 0)
    p.go(1.0)
    p.go(9.0, answered=False)
    assert not p.players[0].tasks and p.players[0].epoch == 2 and p.rows[-1].why == "lease"
    # stopped, forgotten and started again between two steps: the end has to be said all the same
    p.order(1, "start", 0)
    p.go(1.0)
    for op, attempt in (("stop", 1), ("forget", 1), ("start", 2)):
        p.order(1, op, 0, attempt=attempt)
    p.go(1.0)
    assert [(r.what, r.attempt) for r in p.rows[2:]] == [("on", 1), ("off", 1), ("on", 2)]
    assert p.players[1].tasks[f"{p.spec.id}/0"].state is TaskPhase.RUNNING
