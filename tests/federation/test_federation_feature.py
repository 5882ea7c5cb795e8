"""The federation feature: its settings, routing, settlement, commands, many clusters, and its hooks in a controller."""

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
from grebestand.federation.feature import KEYS, NAMES, RECALL_PATH, Federation
from grebestand.federation.guest import HOME_SILENCE_TIMEOUT_S
from grebestand.federation.messages import VERSION, FreeCapacity, Probe, Rejection
from grebestand.federation.routing import LOAD_VALID_S, RemoteLoad, fits, preference
from grebestand.federation.settlement import SETTLED_KEY_PREFIX, remote_gangs, settle
from grebestand.leader.term import Term
from grebestand.settings.expressions import ExpressionError
from grebestand.settings.platform import parse
from grebestand.simulation.single_controller_cluster import SETTINGS
from grebestand.wire.jobs import Priority
from support.federated_clusters import FederatedClusters, reservation_request

NOW = dt.datetime.now(dt.UTC)
BASE_SETTINGS = 'feature = "federation"\ncluster = "home"\n'
LINK_SETTINGS = (
    'keys = "keys"\nguests_team = "blue"\nnetworks = ["127.0.0.0/8"]\n[listen]\nnode-0 = "127.0.0.1:9443"\n'
    '[[others]]\nname = "east"\n[others.controllers]\nnode-0 = "127.0.0.1:9444"\n'
)


def write_settings(root: Path, text: str) -> str:
    file = root / "federation.toml"
    file.write_text(text)
    return str(file)


def test_without_other_clusters_nothing_is_served_and_gangs_stay_home(tmp_path: Path) -> None:
    features = load([write_settings(tmp_path, BASE_SETTINGS)], parse(SETTINGS))
    assert features.names == ["federation"] and not features.listeners
    clusters = FederatedClusters()
    clusters.home.home.remotes.by_name.clear()
    clusters.advance(20)
    assert (
        not clusters.home.home.counts["offers"]
        and clusters.home.term.registry.jobs[clusters.gang].startable_count() == 3
    )


def test_settings_with_other_clusters_serve_the_link(tmp_path: Path) -> None:
    keys.create(tmp_path / "keys", "home", 2.0, NOW)
    features = load([write_settings(tmp_path, BASE_SETTINGS + LINK_SETTINGS)], parse(SETTINGS))
    (listener,) = features.listeners
    assert listener.address == "127.0.0.1:9443" and listener.gate is not None
    assert listener.gate.admit("127.0.0.1") and not listener.gate.admit("10.0.0.1")


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('feature = "federation"\n', "cluster: column 1: "),
        (BASE_SETTINGS + 'overflow_after_s = "waited / 2"\n', "overflow_after_s: column 1: unknown name 'waited'"),
        (BASE_SETTINGS + 'prefer = "1 / free_machines"\n', "prefer: column 5: this division can fail"),
        (BASE_SETTINGS + "offers_per_s = -1\n", "offers_per_s: column 1: always outside the allowed range"),
        (BASE_SETTINGS + "pause = 1\n", "pause: column 1: unknown setting"),
        (BASE_SETTINGS + 'guests_team = "green"\n', "guests_team: column 1: no team of this cluster: 'green'"),
        (
            BASE_SETTINGS + LINK_SETTINGS.replace("node-0", "node-9", 1),
            "listen: column 1: has no address for this controller, 'node-0'",
        ),
        (BASE_SETTINGS + LINK_SETTINGS.replace("9444", "x"), "others.east.controllers.node-0: column 1: "),
        (
            BASE_SETTINGS + LINK_SETTINGS.replace('"east"', '"home"'),
            "others.home: column 1: named twice, or this cluster itself",
        ),
        (
            BASE_SETTINGS + LINK_SETTINGS.replace("0.0/8", "0.1/8"),
            "networks: column 1: '127.0.0.1/8': has bits beyond its prefix",
        ),
        (BASE_SETTINGS + LINK_SETTINGS, "keys: column 1: "),
    ],
)
def test_settings_fault_names_file_field_and_column_and_exits_with_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, fault: str
) -> None:
    file = write_settings(tmp_path, text)
    with pytest.raises(ExpressionError) as caught:
        load([file], parse(SETTINGS))
    assert str(caught.value.faults[0]).startswith(f"{file}: {fault}")
    config = tmp_path / "settings.toml"
    config.write_text(SETTINGS)
    assert main(["serve", "--config", str(config), "--with", file]) == 2
    assert capsys.readouterr().err.startswith(f"grebestand: feature: {file}: {fault}")


# routing --------------------------------------------------------------------------------------------------


def make_federation(tmp_path: Path, more: str = "") -> Federation:
    keys.create(tmp_path / "keys", "home", 2.0, NOW)
    file = write_settings(tmp_path, BASE_SETTINGS + more + LINK_SETTINGS)
    found = load([file], parse(SETTINGS))
    federation = found.steps[0][0].__self__  # type: ignore[attr-defined]
    assert isinstance(federation, Federation)
    return federation


def test_preference_follows_free_capacity_age_images_and_price(tmp_path: Path) -> None:
    feature = make_federation(tmp_path)
    clusters = FederatedClusters()
    feature.term = clusters.home.term
    job = clusters.home.term.registry.jobs[clusters.gang]
    capacity = FreeCapacity(VERSION, 6, 16.0, 0.1, [])

    def preference_for(reported: FreeCapacity, age_s: float) -> float:
        return preference(feature.prefer, job, RemoteLoad(reported, 0.0), age_s)

    assert preference_for(capacity, 1.0) > preference_for(msgspec.structs.replace(capacity, free_machines=1), 1.0)
    assert (
        preference_for(capacity, 1.0)
        > preference_for(capacity, 60.0)
        > preference_for(capacity, LOAD_VALID_S + 1.0)
        == preference(feature.prefer, job, None, 0.0)
    )
    assert preference_for(msgspec.structs.replace(capacity, images=["img"]), 1.0) > preference_for(capacity, 1.0)
    assert preference_for(msgspec.structs.replace(capacity, price_per_cpu_hour=0.5), 1.0) < preference_for(
        capacity, 1.0
    )
    assert fits(job, capacity) and not fits(job, msgspec.structs.replace(capacity, free_machines=2))
    assert set(feature.fixed_names) == set(NAMES) and set(KEYS) >= {"prefer", "overflow_after_s"}


def test_overflow_time_follows_the_operators_expression(tmp_path: Path) -> None:
    feature = make_federation(
        tmp_path, 'overflow_after_s = "20 if gang_size < 3 else 100 * (1 - zone_load) + gang_cpus"\n'
    )
    clusters = FederatedClusters()
    feature.term = clusters.home.term
    job = clusters.home.term.registry.jobs[clusters.gang]
    zone_load = 45.0 / 48.0  # of one zone; the other has no machines
    assert feature.overflow_after_s(job, clusters.clock.now) == pytest.approx(100 * (1 - zone_load) + 45.0)


def test_cluster_with_capacity_is_asked_first() -> None:
    clusters = FederatedClusters("east", "west")
    clusters.home.home.limits.max_clusters_at_once = 1
    # Long enough that both clusters have replied to a probe before the first offer.
    clusters.home.home.limits.overflow_after_s = lambda job, now: 15.0
    clusters.east.cluster.submit_job(clusters.east.controller, shards=4, cpus=15.0, rank="critical")
    clusters.advance_until(lambda: clusters.running_cluster() is not None)
    assert clusters.running_cluster() == "west" and clusters.home.home.counts["offers"] == 1


def test_cluster_of_another_version_is_offered_nothing() -> None:
    clusters = FederatedClusters()
    probe = clusters.east.guest._probe

    def reply_with_newer_version(message: Probe) -> object:
        reply = probe(message)
        return msgspec.structs.replace(reply, version=VERSION + 1) if isinstance(reply, FreeCapacity) else reply

    clusters.east.guest._probe = reply_with_newer_version  # type: ignore[method-assign, assignment]
    clusters.advance(30)
    assert clusters.home.home.remotes.by_name["east"].incompatible and not clusters.home.home.counts["offers"]
    clusters.east.guest._probe = probe  # type: ignore[method-assign]
    clusters.advance_until(lambda: clusters.running_cluster() == "east")


def test_guest_gets_low_priority_and_only_suitable_machines() -> None:
    clusters = FederatedClusters()
    guest = clusters.east.guest
    request = reservation_request(clusters, rank="critical")
    guest.handle_message(request)
    (reservation,) = guest.reservations.by_id.values()
    assert reservation.spec.priority is Priority.LOW and reservation.spec.team == "blue"
    assert guest.handle_message(reservation_request(clusters, hulls=["m4"])) != Rejection(
        "none of the machine types that it may run on is known here"
    )
    assert guest.handle_message(reservation_request(clusters, hulls=["g8"])) == Rejection(
        "none of the machine types that it may run on is known here"
    )
    assert guest.handle_message(reservation_request(clusters, quay="a")) == Rejection(
        "it may run in one zone of its home only"
    )
    bound = clusters.home.cluster.submit_job(clusters.home.controller, shape="ensemble", shards=3, cpus=15.0, quay="a")
    assert not clusters.home.home.offer_planner.is_eligible(
        clusters.home.term.registry.jobs[bound], clusters.clock.now + 1000.0
    )
    assert isinstance(guest.handle_message(Probe("stranger", VERSION)), Rejection)
    reply = guest.handle_message(Probe("home", VERSION))
    assert isinstance(reply, FreeCapacity) and reply.free_machines == 4 - sum(
        len(r.machines) for r in guest.reservations.by_id.values()
    )


def test_equal_job_ids_in_two_clusters_do_not_collide() -> None:
    """A guest gang gets a new job id, so that it cannot collide with a job of the guest cluster with the same id."""
    clusters = FederatedClusters()
    own = clusters.east.cluster.submit_job(clusters.east.controller, ref=clusters.gang, shards=1, cpus=1.0)
    assert own == clusters.gang
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    (record,) = clusters.east.guest.records.values()
    assert record.home_job_id == clusters.gang != record.job_id and clusters.gang in clusters.east.term.registry.jobs


# settlement -----------------------------------------------------------------------------------------------


def test_settled_gang_returns_home_and_ends_in_a_cluster_that_comes_back() -> None:
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    link = clusters.home.links["east"]
    link.select_loss = lambda m: "request"
    for worker in clusters.east.workers:  # operators switch machines of a lost cluster off before they settle gangs
        worker.expire_lease()
        worker.reachable = False
    clusters.advance(int(HOME_SILENCE_TIMEOUT_S) + 5)  # after this time, the guest cluster starts no task of the gang
    (gang,) = remote_gangs(clusters.home.controller.store, "east")
    assert gang.job_id == clusters.gang and not remote_gangs(clusters.home.controller.store, "west")
    assert settle(clusters.home.controller.store, gang, "somebody") and not settle(
        clusters.home.controller.store, gang, "somebody"
    )
    clusters.advance(15)
    assert clusters.home.term.registry.jobs[clusters.gang].startable_count() == 3 and clusters.home.home.settled.records
    clusters.home.home.limits.overflow_after_s = lambda job, now: 1e9
    clusters.finish_tasks(clusters.home)
    clusters.advance_until(lambda: clusters.running_cluster() == "home")
    # The lost cluster is reachable again and still has a record of the gang.
    for worker in clusters.east.workers:
        worker.reachable = True
    link.select_loss = lambda m: ""
    assert clusters.east.guest.records
    clusters.advance_until(lambda: not clusters.home.home.settled.records, 200)
    clusters.advance(30)
    assert clusters.running_cluster() == "home" and not clusters.east.guest.records
    assert not [k for k in clusters.home.cluster.store.data if k.startswith(SETTLED_KEY_PREFIX)]


def test_settle_command_changes_nothing_without_confirmation(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    config = tmp_path / "settings.toml"
    config.write_text(SETTINGS)
    monkeypatch.setattr("grebestand.clients.http.HttpTransport", lambda *a, **k: clusters.home.cluster.store)
    command = ["federation", "settle", "--config", str(config), "--cluster", "east", "--confirm"]
    assert main([*command, "yes"]) == 1
    assert len(remote_gangs(clusters.home.controller.store, "east")) == 1
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
    error_output = capsys.readouterr().err
    assert error_output.startswith("grebestand: federation: ") and error_output.count("\n") == 1


# many clusters --------------------------------------------------------------------------------------------


def test_offers_per_gang_do_not_grow_with_the_number_of_clusters() -> None:
    few, many = simulate(2, 1.0, 3, 150), simulate(8, 1.0, 3, 150)
    assert few.remote_assignments and many.remote_assignments
    assert many.offers / many.gangs <= 3 * max(1.0, few.offers / few.gangs)
    assert many.max_offers <= 12
    assert many.probes <= 8 * 150 * 2 + 8 * 2  # each cluster sends at most two probes a second in total
    assert many.reserved_share < 0.05
    assert simulate(2, 1.0, 3, 150) == few  # the same seed, the same figures


class FakeHost:
    """A fake controller process, with the part of the interface that features use."""

    def __init__(self, name: str, term: Term | None) -> None:
        self.name = name
        self.term = term
        self.leader_requests: list[tuple[str, bytes]] = []

    def leading_term(self) -> Term | None:
        return self.term

    def leader(self) -> str | None:
        return "node-0"

    def cancel(self, ref: str) -> bool:
        return False

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        self.leader_requests.append((path, body))
        return b""


def test_cancellation_received_by_a_follower_reaches_the_leader(tmp_path: Path) -> None:
    """Users may send a cancellation to any controller, but only the leader can recall a gang from another cluster."""
    feature = make_federation(tmp_path)
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    follower = FakeHost("node-1", None)
    feature.attach_host(follower)
    feature.recall(clusters.gang)
    assert follower.leader_requests == [(RECALL_PATH, clusters.gang.encode())]
    assert feature.message_handler() is None  # so that the link server replies that this controller does not lead
    leader = FakeHost("node-0", clusters.home.term)
    feature.attach_host(leader)
    feature.begin_term(clusters.home.term)
    assert feature.home is not None and feature.message_handler() is not None
    feature.handle_recall(clusters.gang.encode())
    assert feature.home.gangs[clusters.gang].recalled and not leader.leader_requests
    leader.term = None  # the term is over, so its guest cluster must not reply to messages any more
    assert feature.message_handler() is None
