"""Tests of the scale run: its checker, its figures, its hollow workers, and a small run with real controllers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.server import StreamServer

from grebestand.cli import main
from grebestand.load_test import scale_run
from grebestand.load_test.connection import Connection, NoResponseError, Traffic, serve_connection
from grebestand.load_test.figures import quantile, urgent_waits
from grebestand.load_test.gang_rendezvous import GangRendezvous, connect
from grebestand.load_test.hollow_process import HollowProcess
from grebestand.load_test.job_generator import JobGenerator
from grebestand.load_test.records import HollowPlan, JobRow, LoadPlan, TaskRow
from grebestand.load_test.scale_check import ScaleVerdict, check_run
from grebestand.load_test.scale_plan import ScaleRunPlan
from grebestand.load_test.scale_report import ScaleRunResult
from grebestand.load_test.scale_run import ScaleRun
from grebestand.simulation.single_controller_cluster import InMemoryCluster
from grebestand.wire.jobs import Kind, decode_spec

LIMITS = {"red": 2.0}


def job(job_id: str = "j-1", tasks: int = 2, done: bool = True, **more: Any) -> JobRow:
    row = JobRow(job_id, "red", tasks, 1.0, False, False, 0.0, accepted_at=0.1, last="200")
    row.done_at = 9.0 if done else None
    return msgspec.structs.replace(row, **more)


def rows(*steps: tuple[float, str, int, str]) -> list[TaskRow]:
    """Return events of the tasks of job j-1, each given as (time, event, index of the task, machine)."""
    return [
        TaskRow(at, event, "j-1", index, 1, machine, "done" if event == "off" else "")
        for at, event, index, machine in steps
    ]


GOOD = rows((1, "on", 0, "m0"), (1, "on", 1, "m1"), (3, "off", 0, "m0"), (3, "off", 1, "m1"))


# checker --------------------------------------------------------------------------------------------------


def test_correct_history_passes_in_any_order_of_its_rows() -> None:
    verdict = check_run(reversed(GOOD), [job()], LIMITS)
    assert verdict.good and not verdict.faults and verdict.unfinished == 0


@pytest.mark.parametrize(
    ("found", "jobs", "counts", "fault"),
    [
        # the same task is on two machines at the same time
        (rows((1, "on", 0, "m0"), (2, "on", 0, "m1"), (3, "off", 0, "m0"), (3, "off", 0, "m1")),
         [job(tasks=1)], (1, 0, 0), "on m1 while on m0"),
        # a third task exceeds the limit of the team
        ([*GOOD, *rows((2, "on", 2, "m2"), (4, "off", 2, "m2"))],
         [job(tasks=3)], (0, 0, 1), "3 CPUs at 2.00 s, above its limit of 2"),
        (GOOD, [job(), job("j-2", done=False, last="404", wrong="accepted and answered 404")],
         (0, 1, 0), "answered 404"),
        (GOOD, [job(), job("j-2", done=False, last="0")],
         (0, 1, 0), "accepted, but neither done nor known at the end (last status 0)"),
        (GOOD[:3], [job()], (0, 1, 0), "reported as done, but only 1 of 2 tasks are done"),
        (GOOD, [job(), job("j-2", wrong="was done and is running")], (0, 1, 0), "was done and is running"),
        ([*GOOD, TaskRow(4, "on", "j-9", 0, 1, "m0")], [job()], (0, 1, 0), "no user submitted its job"),
    ],
)  # fmt: skip
def test_each_violation_is_reported(
    found: list[TaskRow], jobs: list[JobRow], counts: tuple[int, int, int], fault: str
) -> None:
    verdict = check_run(found, jobs, LIMITS)
    assert (verdict.twice, verdict.lost, verdict.over_quota) == counts and not verdict.good
    assert any(fault in f for f in verdict.faults)


def test_task_may_move_and_reuse_cpus_at_the_time_another_ends() -> None:
    moved = rows((1, "on", 0, "m0"), (1, "on", 1, "m1"), (2, "off", 0, "m0"), (2, "off", 1, "m1"))
    again = rows((2, "on", 0, "m2"), (2, "on", 1, "m3"), (3, "off", 0, "m2"), (3, "off", 1, "m3"))
    assert check_run([*again, *moved], [job()], LIMITS).good


def test_known_job_counts_as_unfinished_and_job_that_was_never_accepted_is_ignored() -> None:
    verdict = check_run(
        GOOD, [job(), job("j-2", done=False), job("j-3", done=False, accepted_at=None, last="0")], LIMITS
    )
    assert verdict.good and verdict.unfinished == 1


# figures and load ---------------------------------------------------------------------------------------------


def test_urgent_job_waits_until_its_last_task_runs_or_until_the_end_if_one_never_runs() -> None:
    found = [
        TaskRow(1.1, "run", "j-1", 0, 1, "m0"),
        TaskRow(2.1, "run", "j-1", 1, 1, "m1"),
        TaskRow(5.0, "run", "j-1", 1, 2, "m2"),
    ]
    waits = urgent_waits(found, [job(urgent=True), job("j-2", urgent=True, tasks=1)], 10.1)
    assert waits["never"] == 1
    assert waits["by_size"]["2-16"]["max"] == pytest.approx(2.0)
    assert waits["by_size"]["all"]["max"] == pytest.approx(10.0)
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0 and quantile([], 0.5) is None


def test_load_depends_on_the_seed_and_no_gang_exceeds_the_limit_of_its_team() -> None:
    def drawn(seed: int) -> list[str]:
        plan = LoadPlan({}, "", {"red": 16.0, "blue": 64.0}, 100.0, 1.0, (8.0, 12.0), 512, seed)
        generator, found = JobGenerator(plan), []
        for i in range(200):
            spec, row = generator.next_job(urgent=i % 5 == 0)
            assert spec.kind is not Kind.GANG or spec.tasks <= plan.teams[spec.team]
            assert (row.tasks, row.team, row.gang) == (spec.tasks, spec.team, spec.kind is Kind.GANG)
            found.append(f"{spec.team} {spec.kind} {spec.tasks}")
        return found

    assert drawn(7) == drawn(7) != drawn(8)


# hollow workers -----------------------------------------------------------------------------------------------


class Controllers:
    """Two emulated controllers: "east" redirects all heartbeats to "west", which answers with the set commands."""

    def __init__(self) -> None:
        self.reports: list[dict[str, Any]] = []
        self.signals: list[dict[str, Any]] = []
        self.token = 5
        self.servers = {n: StreamServer(("127.0.0.1", 0), self._serve(n)) for n in ("east", "west")}
        for s in self.servers.values():
            s.start()
        self.addresses = {n: f"127.0.0.1:{s.server_port}" for n, s in self.servers.items()}

    def _serve(self, name: str) -> Any:
        def handle(method: str, path: str, body: bytes) -> tuple[int, bytes]:
            if name == "east":
                return 421, json.dumps({"harborMaster": "west"}).encode()
            self.reports.append(json.loads(body))
            return 200, json.dumps({"helm": self.token, "signals": self.signals}).encode()

        return lambda sock, _: serve_connection(sock, handle, Traffic())


def wait_until(condition: Any, seconds: float = 10.0) -> None:
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.02)


def start_hollow_process(controllers: Controllers, rendezvous: GangRendezvous, lease_s: float = 20.0) -> HollowProcess:
    plan = HollowPlan(
        [("n-1", "127.0.0.2", "a")], "m16", 16.0, controllers.addresses, rendezvous.address, 0.6, lease_s, 5.0, 1.0, 7
    )
    process = HollowProcess(plan, lambda: None)
    process.start()
    return process


def store_job(rendezvous: GangRendezvous, **more: Any) -> str:
    spec = decode_spec(InMemoryCluster().submission_body(pullGb=0.0, **more))
    channel = connect(rendezvous.address, lambda message: None, lambda: None)
    channel.send("put", spec)
    wait_until(lambda: spec.id in rendezvous.specs)
    return spec.id


def test_hollow_worker_follows_a_redirect_and_executes_commands_of_heartbeats_and_direct_requests() -> None:
    controllers, rendezvous = Controllers(), GangRendezvous([])
    job_id = store_job(rendezvous, reckonS=0.2)
    process = start_hollow_process(controllers, rendezvous)
    start = {"signal": "start", "shard": f"{job_id}/0", "launch": 1}
    controllers.signals = [start, {**start, "shard": "j-77/0"}, {**start, "launch": 2}]
    wait_until(lambda: any(s.get("wake") == "done" for r in controllers.reports for s in r["shards"]))
    ends = {(s["shard"], s["launch"]): s.get("wake") for s in controllers.reports[-1]["shards"]}
    assert ends == {(f"{job_id}/0", 1): "done", ("j-77/0", 1): "no_such", (f"{job_id}/0", 2): "busy"}
    assert [(r.what, r.why) for r in process.rows] == [("on", ""), ("run", ""), ("off", "done")]
    assert len(rendezvous.cloud.listed_machines) == 1 and (job_id, 0) in rendezvous.done_tasks
    # direct commands with a lower token or for another epoch are rejected and change nothing; none renews the lease
    direct = Connection(process.workers["n-1"].addr, Traffic())
    forget = {"signal": "forget", "shard": f"{job_id}/0", "launch": 1}
    for wrong in ({"helm": 4, "watch": 1}, {"helm": 5, "watch": 2}):
        assert direct.request("POST", "/do", json.dumps({**wrong, "signals": [forget]}).encode(), 2.0)[0] == 409
    assert direct.request("POST", "/do", b'{"signals":[]}', 2.0)[0] == 400
    controllers.signals = []
    status, body, _ = direct.request(
        "POST", "/do", json.dumps({"helm": 6, "watch": 1, "signals": [forget]}).encode(), 2.0
    )
    assert status == 200 and len(json.loads(body)["shards"]) == 2 and json.loads(body)["helm"] == 6
    # the direct command raised the worker's token, so responses with the controllers' lower token are dropped
    before = process.dropped_responses
    wait_until(lambda: process.dropped_responses > before)
    assert direct.request("GET", "/show", b"", 2.0)[0] == 200
    direct.close()


def test_hollow_worker_with_expired_lease_ends_its_tasks_and_begins_the_next_epoch() -> None:
    controllers, rendezvous = Controllers(), GangRendezvous([])
    job_id = store_job(rendezvous, reckonS=60.0)
    process = start_hollow_process(controllers, rendezvous, lease_s=1.5)
    controllers.signals = [{"signal": "start", "shard": f"{job_id}/0", "launch": 1}]
    wait_until(lambda: len(process.rows) == 2)
    machine = process.workers["n-1"]
    controllers.token = 0  # responses with a lower token are dropped and do not renew the lease
    wait_until(lambda: machine.epoch > 1)
    assert process.rows[2].why == "lease" and process.rows[2].at <= machine.lease_started_at
    wait_until(lambda: controllers.reports[-1]["watch"] == machine.epoch)
    assert controllers.reports[-1]["shards"] == []


def test_members_of_a_gang_begin_and_end_together_and_end_when_one_is_stopped() -> None:
    controllers, rendezvous = Controllers(), GangRendezvous([])
    first_gang = store_job(rendezvous, shape="ensemble", shards=2, reckonS=0.3)
    process = start_hollow_process(controllers, rendezvous)
    controllers.signals = [{"signal": "start", "shard": f"{first_gang}/0", "launch": 1}]
    wait_until(lambda: len(process.rows) == 1)
    gevent.sleep(0.5)
    assert [r.what for r in process.rows] == ["on"]  # the first member waits for the second
    controllers.signals.append({"signal": "start", "shard": f"{first_gang}/1", "launch": 1})
    wait_until(lambda: len(process.rows) == 6)
    assert [(r.what, r.why) for r in process.rows[2:]] == [("run", "")] * 2 + [("off", "done")] * 2
    second_gang = store_job(rendezvous, ref="j-9", shape="ensemble", shards=2, reckonS=30.0)
    controllers.signals = [{"signal": "start", "shard": f"{second_gang}/{i}", "launch": 1} for i in range(2)]
    wait_until(lambda: len(process.rows) == 10)
    controllers.signals = [{"signal": "stop", "shard": f"{second_gang}/0", "launch": 1, "mooringS": 0}]
    wait_until(lambda: len(process.rows) == 12)
    assert [r.why for r in process.rows[10:]] == ["stopped", "mates_gone"]


def test_connection_reports_how_a_request_failed() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        connection = Connection(f"127.0.0.1:{taken.getsockname()[1]}", Traffic())
        with pytest.raises(NoResponseError, match="refused"):
            connection.request("GET", "/", b"", 1.0)
        assert connection.is_new
        taken.listen(1)  # the kernel accepts the connection, but no process reads the request
        with pytest.raises(NoResponseError, match="timeout"):
            connection.request("GET", "/", b"", 0.2)
        assert connection.is_new


# run ----------------------------------------------------------------------------------------------------------


def test_small_run_with_real_controllers_passes_although_two_of_them_are_killed(tmp_path: Path) -> None:
    plan = ScaleRunPlan(
        workers=40, controllers=3, teams=8, rate=30.0, seconds=10.0, hollow=2, task_s=(1.0, 2.0), report_s=1.0,
        lease_s=8.0, gang_wait_s=10.0, gang_peer_s=2.0, cancel_s=20.0,
    )  # fmt: skip
    run = ScaleRun(plan, tmp_path, lambda text: None)
    outcome = run.run()
    found = outcome.figures
    assert outcome.verdict.good, outcome.verdict.faults
    assert "twice 0, lost 0, over quota 0" in outcome.summary_line and outcome.summary_line.startswith(
        "workers 40, controllers 3, "
    )
    assert [k["role"] for k in found["kills"]] == ["leader", "answering"]
    assert found["starts"] > 0 and found["users"]["done"] > 0
    assert sum(n.get("200", 0) for n in found["answers"].values()) > 0
    assert {"leader", "state", "hollow-0", "worker", "users"} <= set(found["windows"]["whole"]["roles"])
    assert not [h for h in found["hollow"].values() if h["faults"]]
    assert not any(p.alive for p in run.parts.values())
    assert run.controllers is not None and not any(run.controllers.is_running(n) for n in run.controllers.names)


def test_arguments_out_of_range_are_rejected_with_their_bounds(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["rehearse", "scale", "--workers", "0"]) == 2
    assert "--workers must be 1 to 10000" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("verdict", "status"), [(ScaleVerdict(), 0), (ScaleVerdict(twice=1), 1), (ScaleVerdict(over_quota=2), 1)]
)
def test_command_prints_one_line_and_its_exit_status_depends_on_the_verdict(
    verdict: ScaleVerdict,
    status: int,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    plans: list[ScaleRunPlan] = []

    def fake_run(plan: ScaleRunPlan, *_: object) -> ScaleRunResult:
        plans.append(plan)
        return ScaleRunResult(verdict, "workers 3", {"starts": 4})

    monkeypatch.setattr(scale_run, "run_scale_test", fake_run)
    file = tmp_path / "figures.json"
    assert main(["rehearse", "scale", "--workers", "3", "--rate", "8", "--json", str(file)]) == status
    assert capsys.readouterr().out == "workers 3\n" and json.loads(file.read_text()) == {"starts": 4}
    assert (plans[0].workers, plans[0].controllers, plans[0].teams, plans[0].seconds) == (3, 6, 710, 60.0)
