"""Federation as a feature: its file, its place in a controller, routing, what operators settle, and many clusters."""

from __future__ import annotations

import datetime as dt
from pathlib import Path

import msgspec
import pytest

from grebestand.cli import main
from grebestand.commands import federation as verbs
from grebestand.fault_test.many_clusters import simulate
from grebestand.features.registry import load
from grebestand.federation import keys
from grebestand.federation.feature import KEYS, NAMES, RECALL, Federation
from grebestand.federation.guest import QUIET_S
from grebestand.federation.messages import VERSION, FreeCapacity, Probe, Rejection
from grebestand.federation.routing import LOAD_VALID_S, RemoteLoad, fits, preference
from grebestand.federation.settlement import PREFIX, remote_gangs, settle
from grebestand.leader.term import Term
from grebestand.settings.expressions import ExpressionError
from grebestand.settings.platform import parse
from grebestand.simulation.single_controller_cluster import SETTINGS
from grebestand.wire.jobs import Priority
from support.federated_clusters import Clusters, offer

NOW = dt.datetime.now(dt.UTC)
HEAD = 'feature = "federation"\ncluster = "home"\n'
LINK = (
    'keys = "keys"\nguests_team = "blue"\nnetworks = ["127.0.0.0/8"]\n[listen]\nnode-0 = "127.0.0.1:9443"\n'
    '[[others]]\nname = "east"\n[others.controllers]\nnode-0 = "127.0.0.1:9444"\n'
)


def write(root: Path, text: str) -> str:
    file = root / "federation.toml"
    file.write_text(text)
    return str(file)


def test_without_other_clusters_nothing_is_served_and_gangs_stay_home(tmp_path: Path) -> None:
    features = load([write(tmp_path, HEAD)], parse(SETTINGS))
    assert features.names == ["federation"] and not features.listeners
    clusters = Clusters()
    clusters.home.home.remotes.by_name.clear()
    clusters.go(20)
    assert (
        not clusters.home.home.counts["offers"]
        and clusters.home.term.registry.jobs[clusters.gang].startable_count() == 3
    )


def test_settings_with_other_clusters_serve_the_link(tmp_path: Path) -> None:
    keys.create(tmp_path / "keys", "home", 2.0, NOW)
    features = load([write(tmp_path, HEAD + LINK)], parse(SETTINGS))
    (listener,) = features.listeners
    assert listener.address == "127.0.0.1:9443" and listener.gate is not None
    assert listener.gate.admit("127.0.0.1") and not listener.gate.admit("10.0.0.1")


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('feature = "federation"\n', "cluster: column 1: "),
        (HEAD + 'overflow_after_s = "waited / 2"\n', "overflow_after_s: column 1: unknown name 'waited'"),
        (HEAD + 'prefer = "1 / free_machines"\n', "prefer: column 5: this division can fail"),
        (HEAD + "offers_per_s = -1\n", "offers_per_s: column 1: always outside the allowed range"),
        (HEAD + "pause = 1\n", "pause: column 1: unknown setting"),
        (HEAD + 'guests_team = "green"\n', "guests_team: column 1: no team of this cluster: 'green'"),
        (HEAD + LINK.replace("node-0", "node-9", 1), "listen: column 1: has no address for this controller, 'node-0'"),
        (HEAD + LINK.replace("9444", "x"), "others.east.controllers.node-0: column 1: "),
        (HEAD + LINK.replace('"east"', '"home"'), "others.home: column 1: named twice, or this cluster itself"),
        (HEAD + LINK.replace("0.0/8", "0.1/8"), "networks: column 1: '127.0.0.1/8': has bits beyond its prefix"),
        (HEAD + LINK, "keys: column 1: "),
    ],
)
def test_settings_fault_names_file_field_and_column_and_exits_with_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, fault: str
) -> None:
    file = write(tmp_path, text)
    with pytest.raises(ExpressionError) as caught:
        load([file], parse(SETTINGS))
    assert str(caught.value.faults[0]).startswith(f"{file}: {fault}")
    config = tmp_path / "settings.toml"
    config.write_text(SETTINGS)
    assert main(["serve", "--config", str(config), "--with", file]) == 2
    assert capsys.readouterr().err.startswith(f"grebestand: feature: {file}: {fault}")


# routing --------------------------------------------------------------------------------------------------


def federation(tmp_path: Path, more: str = "") -> Federation:
    keys.create(tmp_path / "keys", "home", 2.0, NOW)
    file = write(tmp_path, HEAD + more + LINK)
    found = load([file], parse(SETTINGS))
    made = found.steps[0][0].__self__  # type: ignore[attr-defined]
    assert isinstance(made, Federation)
    return made


def test_preference_follows_free_capacity_age_images_and_price(tmp_path: Path) -> None:
    f = federation(tmp_path)
    clusters = Clusters()
    f.term = clusters.home.term
    job = clusters.home.term.registry.jobs[clusters.gang]
    room = FreeCapacity(VERSION, 6, 16.0, 0.1, [])

    def worth(told: FreeCapacity, age: float) -> float:
        return preference(f.prefer, job, RemoteLoad(told, 0.0), age)

    assert worth(room, 1.0) > worth(msgspec.structs.replace(room, free=1), 1.0)
    assert (
        worth(room, 1.0) > worth(room, 60.0) > worth(room, LOAD_VALID_S + 1.0) == preference(f.prefer, job, None, 0.0)
    )
    assert worth(msgspec.structs.replace(room, images=["img"]), 1.0) > worth(room, 1.0)
    assert worth(msgspec.structs.replace(room, price=0.5), 1.0) < worth(room, 1.0)
    assert fits(job, room) and not fits(job, msgspec.structs.replace(room, free=2))
    assert set(f.rest) == set(NAMES) and set(KEYS) >= {"prefer", "overflow_after_s"}


def test_overflow_time_follows_the_operators_expression(tmp_path: Path) -> None:
    f = federation(tmp_path, 'overflow_after_s = "20 if gang_size < 3 else 100 * (1 - zone_load) + gang_cpus"\n')
    clusters = Clusters()
    f.term = clusters.home.term
    job = clusters.home.term.registry.jobs[clusters.gang]
    load_now = 45.0 / 48.0  # of one zone; the other has no machines
    assert f.overflow_after_s(job, clusters.clock.now) == pytest.approx(100 * (1 - load_now) + 45.0)


def test_cluster_with_capacity_is_asked_first() -> None:
    clusters = Clusters("east", "west")
    clusters.home.home.limits.max_clusters_at_once = 1
    clusters.home.home.limits.overflow_after_s = lambda job, now: 15.0  # long enough for a look at who has room by then
    clusters.east.world.accept(clusters.east.node, shards=4, cpus=15.0, rank="critical")
    clusters.until(lambda: clusters.runs_in() is not None)
    assert clusters.runs_in() == "west" and clusters.home.home.counts["offers"] == 1


def test_cluster_of_another_version_is_offered_nothing() -> None:
    clusters = Clusters()
    look = clusters.east.guest._probe

    def newer(message: Probe) -> object:
        told = look(message)
        return msgspec.structs.replace(told, version=VERSION + 1) if isinstance(told, FreeCapacity) else told

    clusters.east.guest._probe = newer  # type: ignore[method-assign, assignment]
    clusters.go(30)
    assert clusters.home.home.remotes.by_name["east"].incompatible and not clusters.home.home.counts["offers"]
    clusters.east.guest._probe = look  # type: ignore[method-assign]
    clusters.until(lambda: clusters.runs_in() == "east")


def test_guest_gets_low_priority_and_only_suitable_machines() -> None:
    clusters = Clusters()
    guest = clusters.east.guest
    asked = offer(clusters, rank="critical")
    guest.answer(asked)
    (kept,) = guest.reservations.by_id.values()
    assert kept.spec.priority is Priority.LOW and kept.spec.team == "blue"
    assert guest.answer(offer(clusters, hulls=["m4"])) != Rejection(
        "none of the machine types that it may run on is known here"
    )
    assert guest.answer(offer(clusters, hulls=["g8"])) == Rejection(
        "none of the machine types that it may run on is known here"
    )
    assert guest.answer(offer(clusters, quay="a")) == Rejection("it may run in one zone of its home only")
    bound = clusters.home.world.accept(clusters.home.node, shape="ensemble", shards=3, cpus=15.0, quay="a")
    assert not clusters.home.home.offer_planner.eligible(
        clusters.home.term.registry.jobs[bound], clusters.clock.now + 1000.0
    )
    assert isinstance(guest.answer(Probe("stranger", VERSION)), Rejection)
    told = guest.answer(Probe("home", VERSION))
    assert isinstance(told, FreeCapacity) and told.free == 4 - sum(
        len(r.machines) for r in guest.reservations.by_id.values()
    )


def test_equal_job_ids_in_two_clusters_do_not_collide() -> None:
    """The guest's job has a reference drawn there; its own job of the same name is another."""
    clusters = Clusters()
    own = clusters.east.world.accept(clusters.east.node, ref=clusters.gang, shards=1, cpus=1.0)
    assert own == clusters.gang
    clusters.until(lambda: clusters.runs_in() == "east")
    (record,) = clusters.east.guest.records.values()
    assert record.ref == clusters.gang != record.job and clusters.gang in clusters.east.term.registry.jobs


# settling -------------------------------------------------------------------------------------------------


def test_settled_gang_returns_home_and_ends_in_a_cluster_that_comes_back() -> None:
    clusters = Clusters()
    clusters.until(lambda: clusters.runs_in() == "east")
    wire = clusters.home.links["east"]
    wire.drop = lambda m: "request"
    for worker in clusters.east.workers:  # they are off, as the operators have made sure
        worker.lapse()
        worker.reachable = False
    clusters.go(int(QUIET_S) + 5)  # and have waited for longer than it would start anything unasked
    (gang,) = remote_gangs(clusters.home.node.store, "east")
    assert gang.ref == clusters.gang and not remote_gangs(clusters.home.node.store, "west")
    assert settle(clusters.home.node.store, gang, "somebody") and not settle(clusters.home.node.store, gang, "somebody")
    clusters.go(15)
    assert clusters.home.term.registry.jobs[clusters.gang].startable_count() == 3 and clusters.home.home.settled.records
    clusters.home.home.limits.overflow_after_s = lambda job, now: 1e9
    clusters.finish(clusters.home)
    clusters.until(lambda: clusters.runs_in() == "home")
    # the cluster is back, with a record of a gang that it would start again
    for worker in clusters.east.workers:
        worker.reachable = True
    wire.drop = lambda m: ""
    assert clusters.east.guest.records
    clusters.until(lambda: not clusters.home.home.settled.records, 200)
    clusters.go(30)
    assert clusters.runs_in() == "home" and not clusters.east.guest.records
    assert not [k for k in clusters.home.world.store.data if k.startswith(PREFIX)]


def test_settle_command_changes_nothing_without_confirmation(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clusters = Clusters()
    clusters.until(lambda: clusters.runs_in() == "east")
    config = tmp_path / "settings.toml"
    config.write_text(SETTINGS)
    monkeypatch.setattr("grebestand.clients.http.HttpTransport", lambda *a, **k: clusters.home.world.store)
    command = ["federation", "settle", "--config", str(config), "--cluster", "east", "--confirm"]
    assert main([*command, "yes"]) == 1
    assert len(remote_gangs(clusters.home.node.store, "east")) == 1
    assert "it runs twice" in capsys.readouterr().out.replace("\n", " ")
    assert main([*command, "east is lost and runs nothing"]) == 0
    assert f"{clusters.gang}: home again" in capsys.readouterr().out
    assert main(["federation", "settle", "--config", str(config), "--cluster", "east"]) == 0
    assert verbs.run.__module__.endswith("federation")


def test_keys_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    a, b = str(tmp_path / "a"), str(tmp_path / "b")
    for root, name in ((a, "home"), (b, "east")):
        assert main(["federation", "keys", "create", "--dir", root, "--cluster", name]) == 0
    assert main(["federation", "keys", "trust", "--dir", a, f"{b}/own/0001.pem"]) == 0
    assert main(["federation", "keys", "rotate", "--dir", a]) == 0
    assert main(["federation", "keys", "activate", "--dir", a]) == 0
    capsys.readouterr()
    assert main(["federation", "keys", "show", "--dir", a]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[:2] for line in lines] == [["ready", "home"], ["active", "home"], ["trusted", "east"]]
    assert main(["federation", "keys", "revoke", "--dir", a, lines[2].split()[6][:12]]) == 0
    assert main(["federation", "keys", "create", "--dir", a, "--cluster", "home"]) == 2
    told = capsys.readouterr().err
    assert told.startswith("grebestand: federation: ") and told.count("\n") == 1


# many clusters --------------------------------------------------------------------------------------------


def test_offers_per_gang_do_not_grow_with_the_number_of_clusters() -> None:
    few, many = simulate(2, 1.0, 3, 150), simulate(8, 1.0, 3, 150)
    assert few.remote_assignments and many.remote_assignments
    assert many.offers / many.gangs <= 3 * max(1.0, few.offers / few.gangs)
    assert many.max_offers <= 12
    assert many.probes <= 8 * 150 * 2 + 8 * 2  # two a second, however many there are
    assert many.reserved_share < 0.05
    assert simulate(2, 1.0, 3, 150) == few  # the same seed, the same figures


class Process:
    """A controller as its features see it."""

    def __init__(self, name: str, term: Term | None) -> None:
        self.name = name
        self.term = term
        self.asked: list[tuple[str, bytes]] = []

    def present(self) -> Term | None:
        return self.term

    def leader(self) -> str | None:
        return "node-0"

    def cancel(self, ref: str) -> bool:
        return False

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        self.asked.append((path, body))
        return b""


def test_an_abort_that_another_controller_was_asked_for_reaches_the_leader(tmp_path: Path) -> None:
    """Users reach any controller; only the leader's home can ask the other cluster to end a gang."""
    f = federation(tmp_path)
    clusters = Clusters()
    clusters.until(lambda: clusters.runs_in() == "east")
    follower = Process("node-1", None)
    f.take_host(follower)
    f.recall(clusters.gang)
    assert follower.asked == [(RECALL, clusters.gang.encode())]
    assert f.answer() is None  # and other clusters are told that it does not lead
    leader = Process("node-0", clusters.home.term)
    f.take_host(leader)
    f.begin(clusters.home.term)
    assert f.home is not None and f.answer() is not None
    f.take_recall(clusters.gang.encode())
    assert f.home.gangs[clusters.gang].recalled and not leader.asked
    leader.term = None  # the term is over: nothing of it answers any more
    assert f.answer() is None
