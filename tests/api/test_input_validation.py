"""The doors: users' input, settings, policy, command line, rate budget, and the pure placement functions."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import Any

import gevent
import pytest

from grebestand.api import http_server
from grebestand.cli import main
from grebestand.cluster_state.resources import MICRO_UNITS
from grebestand.cluster_state.slots import Slot
from grebestand.flow_control.rate_limiter import RateLimitedError, RateLimiter, Urgency
from grebestand.scheduling.greedy import Pool, TemplateAssignment, cra, gpa, max_reward
from grebestand.settings import policy
from grebestand.settings.expressions import ExpressionError
from grebestand.settings.platform import SettingsError, parse
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController, ManualClock


@pytest.mark.parametrize(
    "body",
    [
        b"", b"{", b"[]", b"3", b"\xff\xfe", b'{"ref":"j-1"}', b"[" * 50_000, b"x" * 70_000,
        b'{"ref":7}', b'{"ref":"j-1/../x"}',
    ],
)  # fmt: skip
def test_garbage_is_malformed(body: bytes) -> None:
    world = InMemoryCluster()
    assert InMemoryController(world, "n").users.submit(body).status == 400


@pytest.mark.parametrize(
    ("field", "value", "status"),
    [
        ("shards", 0, 400), ("shards", 100_001, 400), ("shards", "3", 400), ("shards", 1.5, 400),
        ("cpus", -1, 400), ("cpus", 0, 400), ("cpus", 1e300, 400), ("ramGb", -0.1, 400), ("shape", "heap", 400),
        ("rank", "", 400), ("cargo", "", 400), ("ref", "x-1", 400), ("hulls", "m4", 400), ("driftwood", 1, 400),
        ("dueS", -5, 400), ("samePlace", None, 400), ("markS", "x", 400), ("hulls", ["m" * 150] * 60, 400),
        ("crew", "nobody", 422), ("hulls", ["other"], 422), ("hulls", [], 422), ("cpus", 17, 422),
        ("cards", 1, 422), ("quay", "mars", 422), ("ramGb", 65, 422),
    ],
)  # fmt: skip
def test_each_field_is_checked(field: str, value: object, status: int) -> None:
    world = InMemoryCluster()
    assert InMemoryController(world, "n").users.submit(world.job(**{field: value})).status == status


def test_limits_count_one_task_of_an_array_and_all_of_a_gang() -> None:
    world = InMemoryCluster()
    api = InMemoryController(world, "n").users
    assert api.submit(world.job(crew="red", shards=100, cpus=1.0)).status == 201
    assert api.submit(world.job(crew="red", shape="ensemble", shards=17, cpus=1.0)).status == 422
    assert api.submit(world.job(crew="red", shape="daemon", shards=16, cpus=1.0)).status == 201


def test_a_repeat_is_recognised_whatever_else_it_says() -> None:
    world = InMemoryCluster()
    api = InMemoryController(world, "n").users
    assert api.submit(world.job(ref="j-000500")).status == 201
    assert api.submit(b'{"ref":"j-000500"}').status == 200
    assert api.submit(world.job(ref="j-000500", crew="nobody")).status == 200
    assert api.cancel("j-000500").status == 200
    for other in (api, InMemoryController(world, "m").users):
        answer = other.submit(b'{"ref":"j-000500"}')
        assert answer.status == 200 and json.loads(answer.body)["tide"] == "cancelled"
        assert json.loads(other.poll("j-000500").body)["tide"] == "cancelled"


def test_unknown_jobs_and_paths() -> None:
    world = InMemoryCluster()
    api = InMemoryController(world, "n").users
    assert api.poll("j-000404").status == 404
    assert api.cancel("j-000404").status == 404
    assert api.poll("nonsense").status == 400
    assert api.route("DELETE", "/v2/runs/j-1", lambda: b"").status == 405
    assert api.route("GET", "/v2/runs", lambda: b"").status == 405
    assert api.route("GET", "/v3/x", lambda: b"").status == 404
    assert api.route("GET", "/v2/runs/j-1/abort/x", lambda: b"").status == 404


def test_what_cannot_be_decided_is_answered_at_once_with_a_time_to_come_back() -> None:
    world = InMemoryCluster()
    node = InMemoryController(world, "n")
    world.store.down = True
    for answer in (node.users.submit(world.job()), node.users.poll("j-000001"), node.users.cancel("j-000001")):
        assert answer.status == 503 and answer.retry_after
    assert world.clock.now == 1000.0
    world.store.down = False
    node.users.machine_types = lambda: None
    assert node.users.submit(world.job()).status == 503


def test_a_description_at_the_size_limit_is_kept_and_one_above_is_refused() -> None:
    world = InMemoryCluster()
    api = InMemoryController(world, "n").users
    names = ["m4"] + [f"{i:0150d}" for i in range(23)]
    assert api.submit(world.job(hulls=names)).status == 201
    assert api.submit(world.job(hulls=[*names, "x" * 150, "y" * 150])).status == 400
    assert world.store.largest_value <= 4096


@pytest.mark.parametrize(
    ("change", "names"),
    [
        (("lease_s = 20.0\n", ""), "lease_s"),
        (("lease_s = 20.0", "lease_s = -1.0"), "lease_s"),
        (("rps = 10000.0", 'rps = "x"'), "rps"),
        (('state = "127.0.0.1:4"', 'state = "nowhere"'), "outside.state"),
        (('serve_on = "127.0.0.1:1"', 'serve_on = "127.0.0.1:99999"'), "serve_on"),
        (('name = "blue"', 'name = "red"'), "teams"),
        (('zones = ["a", "b"]', "zones = []"), "zones"),
        (("[params]", "[params"), "TOML"),
    ],
)
def test_wrong_settings_are_named_in_one_line(
    change: tuple[str, str], names: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = SETTINGS.replace(*change, 1)
    with pytest.raises(SettingsError, match=names):
        parse(text)
    file = tmp_path / "s.toml"
    file.write_text(text)
    assert main(["serve", "--config", str(file)]) != 0
    err = capsys.readouterr().err
    assert err.count("\n") == 1 and names in err


def test_headers_are_parsed_once_for_each_block_and_never_mixed_up() -> None:
    """Parsing the headers, the same ones for every report of a size, took half the time of a request."""
    handler = http_server._Handler.__new__(http_server._Handler)
    http_server._Handler._parsed.clear()

    def read(text: bytes) -> tuple[Any, bytes]:
        rfile = io.BytesIO(text + b"BODY")
        return handler.MessageClass(rfile, 0), rfile.read()

    first, rest = read(b"Host: a\r\nContent-Length: 4\r\n\r\n")
    again, _ = read(b"Host: a\r\nContent-Length: 4\r\n\r\n")
    other, _ = read(b"Host: a\r\nContent-Length: 5\r\n\r\n")
    assert rest == b"BODY" and again is first
    assert first.get("content-length") == "4" and other.get("content-length") == "5"
    long, rest = read(b"Host: a\r\nX: " + b"y" * 5000 + b"\r\nContent-Length: 6\r\n\r\n")
    assert rest == b"BODY" and long.get("content-length") == "6" and len(long.get("x")) == 5000
    for number in range(2 * http_server.BLOCKS):
        read(b"Content-Length: %d\r\n\r\n" % number)
    assert len(http_server._Handler._parsed) <= http_server.BLOCKS
    assert read(b"X: " + b"y" * 70000 + b"\r\n\r\n")[0].status


def test_unknown_settings_are_ignored() -> None:
    assert parse("novelty = 3\n" + SETTINGS + "\n[params.later]\nx = 1\n").params.nodes == 1


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('g = "2 * ln(machinez)"', r"g: column 8: unknown name 'machinez'"),
        ('g = "2 * exp(machines)"', r"g: column 5: unknown function"),
        ('g = "machines / (zones - 1)"', r"g: column 13: this division can fail"),
        ('g = "ln(teams)"', r"g: column 4: ln can fail"),
        ('g = "sqrt(zones - 5)"', r"sqrt can fail"),
        ('g = "machines > 3"', r"g: column 1: type error"),
        ('migrate = "machines"', r"migrate: column 1: type error"),
        ('g = "1 + (machines > 3)"', r"a number is needed here"),
        ('g = "__import__(1)"', r"unknown function"),
        ('g = "(lambda: 3)()"', r"not allowed"),
        ('g = "machines.real"', r"Attribute is not allowed"),
        ('g = "2 ** 99"', r"Pow is not allowed"),
        ('g = "1 +"', r"not an expression"),
        ("g = [1]", r"must be a number"),
        ("frobnicate = 1", r"unknown setting"),
        ("period_s = 0", r"outside the allowed range"),
    ],
)
def test_policy_faults_name_file_key_and_column(text: str, fault: str) -> None:
    with pytest.raises(ExpressionError, match=fault) as caught:
        policy.parse(text, "ops.toml", policy.default())
    assert str(caught.value).startswith("ops.toml: ")


def test_policy_values_follow_the_moment_and_stay_in_range() -> None:
    p = policy.parse('g = "max(1, machines / 4) if machines > 10 else 1"', "x", policy.default())
    names = {n: low for n, (low, _) in policy.VARIABLES.items()}
    assert p.value("g", {**names, "machines": 40}) == 10
    assert p.value("g", {**names, "machines": 8}) == 1
    assert p.value("hold_s", {**names, "lease_s": 20}) == 12
    assert p.value("migrate", names) in (0, 1)


def test_check_policy_on_the_command_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text('g = "3"\n')
    bad.write_text('g = "1 / 0"\nperiod_s = "x"\n')
    assert main(["check-policy", str(good)]) == 0
    assert main(["check-policy", str(good), str(bad)]) == 1
    err = capsys.readouterr().err
    assert f"{bad}: g: column 5" in err and f"{bad}: period_s: column 1" in err


def test_the_budget_serves_what_matters_first() -> None:
    clock = ManualClock()
    timers = []
    budget = RateLimiter(1.0, 1.0, clock, lambda s, f: timers.append(f))
    budget.take(Urgency.POLL)
    order: list[str] = []

    def ask(urgency: Urgency, name: str) -> None:
        budget.take(urgency)
        order.append(name)

    jobs = [gevent.spawn(ask, u, n) for u, n in ((Urgency.POLL, "poll"), (Urgency.HOLD, "hold"))]
    gevent.sleep(0)
    for _ in range(2):
        clock.now += 1.0
        timers.pop()()
        gevent.sleep(0)
    gevent.joinall(jobs, timeout=1)
    assert order == ["hold", "poll"]
    with pytest.raises(RateLimitedError):
        budget.take(Urgency.POLL, patience_s=0.0)


def slot(cpus: float, payoff: float, **more: object) -> Slot:
    return Slot((int(cpus * MICRO_UNITS), 0, int(cpus * MICRO_UNITS)), payoff, **more)  # type: ignore[arg-type]


ROOM = (16 * MICRO_UNITS, 0, 64 * MICRO_UNITS)
POOL = Pool(0, -1, False, ROOM)


def test_the_best_configuration_packs_by_payoff_and_fills_up() -> None:
    slots = [slot(15, 4 * 15 / 16), slot(1, 1 / 16), slot(2, 2 / 16)]
    assert max_reward(slots, [0, 1, 2], ROOM) == (1, 1, 0)
    assert max_reward(slots, [2], ROOM) == (0, 0, 8)
    assert max_reward([slot(17, 9.0)], [0], ROOM) == (0,)
    # 9 + 7 beats what comes first by payoff alone
    assert max_reward([slot(10, 10.0), slot(9, 8.0), slot(7, 6.0)], [0, 1, 2], ROOM) == (0, 1, 1)


def test_gpa_gives_machines_until_a_type_runs_out_then_drops_it() -> None:
    slots = [slot(15, 4.0), slot(1, 1 / 16)]
    plan = gpa(slots, [3.0, 40.0], [POOL], [10])
    # three machines for the dear type, each with one small slot beside it; then the rest of the small ones
    assert [(w.config, w.count) for w in plan] == [((1, 1), 3), ((0, 16), 3)]
    short = gpa(slots, [30.0, 40.0], [POOL], [10])
    assert [(w.config, w.count) for w in short] == [((1, 1), 10)]


def test_gpa_keeps_spot_machines_for_those_who_may_use_them() -> None:
    slots = [slot(15, 4.0, spot=False), slot(1, 1 / 16)]
    pools = [POOL, Pool(0, -1, True, ROOM)]
    plan = gpa(slots, [5.0, 20.0], pools, [2, 2])
    assert {(w.pool, w.config) for w in plan} == {(0, (1, 1)), (1, (0, 16))}


def test_cra_reconfigures_only_empty_machines_and_names_the_reject_group() -> None:
    old, new = (0, 16), (1, 1)
    plan = gpa([slot(15, 4.0), slot(1, 1 / 16)], [3.0, 3.0], [POOL], [4])
    assert [(w.config, w.count) for w in plan] == [(new, 3)]
    seats = [
        TemplateAssignment(0, old, False, tag=0),
        TemplateAssignment(0, old, False, tag=1),
        TemplateAssignment(0, old, True, tag=2),
        TemplateAssignment(0, new, False, tag=3),
    ]
    first_short = cra(seats, plan)
    assert first_short == 1  # two of three: the busy machines cannot follow
    assert [s.config for s in seats] == [old, old, new, new]
    assert [s.accept for s in seats] == [False, False, True, True]
    assert [s.changed for s in seats] == [False, False, True, False]


def test_cra_puts_machines_beyond_the_greedy_count_into_the_reject_group() -> None:
    config = (16,)
    plan = gpa([slot(1, 1.0)], [20.0], [POOL], [4])
    seats = [TemplateAssignment(0, config, False, tag=i) for i in range(4)]
    cra(seats, plan)
    assert [s.accept for s in seats] == [True, True, False, False]
