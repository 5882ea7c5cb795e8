"""Two clusters: a gang goes abroad whole or stays, whatever is lost, late, crashed or decided at the same moment."""

from __future__ import annotations

import random

import msgspec
import pytest

from grebestand.federation import messages
from grebestand.federation.guest import PREFIX
from grebestand.federation.home import HomeCluster
from grebestand.federation.messages import (
    Commit,
    InvalidMessageError,
    Message,
    Probe,
    Recall,
    Rejection,
    ReservationRequest,
    Reserved,
    StatusQuery,
    UncertainReply,
)
from grebestand.federation.overflow_limits import OFFERS_PER_GANG
from grebestand.federation.remote_gang import RemoteGang
from grebestand.federation.state_machines import BreakerState, HomeState
from grebestand.simulation.single_controller_cluster import InMemoryController
from grebestand.wire.jobs import decode_spec
from support.federated_clusters import FederatedClusters, LossyLink, reservation_request


def test_gang_without_capacity_at_home_runs_abroad_and_is_done_once() -> None:
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    clusters.advance(4)
    assert clusters.home.term.registry.jobs[clusters.gang].running_count() == 3
    assert not clusters.home.term.registry.jobs[clusters.gang].allocations
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")
    clusters.advance(6)
    assert not clusters.east.guest.records and not [k for k in clusters.east.cluster.store.data if k.startswith(PREFIX)]
    assert not clusters.home.home.gangs


@pytest.mark.parametrize("lost", [False, True])
def test_of_two_reservations_one_is_committed_and_the_other_released(lost: bool) -> None:
    """The other's reservation ends at once, or by itself if the word is lost."""
    clusters = FederatedClusters("east", "west", probes_enabled=False)
    if lost:
        clusters.home.links["west"].select_loss = lambda m: "request" if isinstance(m, Recall) else ""
    clusters.advance_until(lambda: clusters.running_cluster() is not None)
    assert clusters.running_cluster() == "east"
    assert bool(clusters.others[1].guest.reservations.by_id) is lost
    clusters.advance(20)
    assert not clusters.others[1].guest.reservations.by_id
    assert all(m.reserved_for is None for m in clusters.others[1].term.inventory.machines)


@pytest.mark.parametrize("fault", ["request", "answer"])
@pytest.mark.parametrize("kind", [ReservationRequest, Commit, StatusQuery, messages.Forget])
def test_gang_is_done_although_messages_of_one_kind_are_lost_for_a_while(kind: type, fault: str) -> None:
    clusters = FederatedClusters()
    clusters.home.links["east"].select_loss = lambda m: (
        fault if isinstance(m, kind) and clusters.clock.now < 1060.0 else ""
    )
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done", 200)


def test_home_starts_nothing_while_the_commit_may_have_arrived() -> None:
    """The answer to the commit is lost, and room appears at home: the gang is abroad, and stays there."""
    clusters = FederatedClusters()
    wire = clusters.home.links["east"]
    wire.select_loss = lambda m: "answer" if isinstance(m, Commit | StatusQuery) else ""
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    for worker in clusters.home.workers:
        for task in worker.running_tasks():
            worker.finish_task(task)
    clusters.advance(30)
    assert clusters.running_cluster() == "east" and clusters.home.home.gangs[clusters.gang].state is HomeState.COMMITTED
    wire.select_loss = lambda m: ""
    clusters.advance_until(lambda: clusters.home.home.gangs[clusters.gang].state is HomeState.ABROAD)


def test_commit_after_the_reservation_expired_starts_nothing_and_the_gang_returns() -> None:
    clusters = FederatedClusters()
    wire = clusters.home.links["east"]
    wire.select_loss = lambda m: "request" if isinstance(m, Commit) else ""
    clusters.advance_until(
        lambda: (
            clusters.gang in clusters.home.home.gangs
            and clusters.home.home.gangs[clusters.gang].state is HomeState.COMMITTED
        )
    )
    assert clusters.home.term.registry.jobs[clusters.gang].startable_count() == 0
    clusters.advance(25)
    wire.select_loss = lambda m: ""
    clusters.advance_until(
        lambda: (
            not clusters.home.term.registry.jobs[clusters.gang].runs_remotely or clusters.running_cluster() is not None
        )
    )
    clusters.advance_until(lambda: clusters.running_cluster() is not None)


def test_gang_that_starts_at_home_during_an_offer_withdraws_it() -> None:
    clusters = FederatedClusters()
    wire = clusters.home.links["east"]
    job = clusters.home.term.registry.jobs[clusters.gang]

    def starts_at_home(message: Message) -> str:
        if isinstance(message, ReservationRequest):
            for index in range(3):
                clusters.home.term.dispatch.start(
                    job, index, clusters.home.term.inventory.machines[0], 77, clusters.clock.now
                )
        return ""

    wire.select_loss = starts_at_home
    clusters.advance_until(lambda: bool(wire.sent_messages))
    gang = clusters.home.home.gangs[clusters.gang]
    assert gang.state is HomeState.WAITING and not job.runs_remotely and len(job.allocations) == 3
    assert not clusters.east.guest.reservations.by_id


@pytest.mark.parametrize("lost", [1, 2])
def test_decision_with_unanswered_write_is_resolved_by_another_write(lost: int) -> None:
    clusters = FederatedClusters()
    wire = clusters.home.links["east"]

    def lose(message: Message) -> str:
        if isinstance(message, ReservationRequest):
            clusters.home.cluster.store.responses_to_drop = lost
        return ""

    wire.select_loss = lose
    clusters.advance_until(lambda: bool(wire.sent_messages))
    assert clusters.home.term.registry.jobs[clusters.gang].startable_count() == 0
    wire.select_loss = lambda m: ""
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)


@pytest.mark.parametrize("step", range(1, 13))
@pytest.mark.parametrize("who", ["home", "east", "both"])
def test_gang_runs_once_although_leaders_crash_at_any_message(who: str, step: int) -> None:
    """The answer of message number `step` is lost with the leaders; new ones go on from what is on record."""
    clusters = FederatedClusters()
    wire = clusters.home.links["east"]
    count = 0

    def crash(message: Message) -> str:
        nonlocal count
        count += not isinstance(message, Probe)
        return "answer" if count == step and not isinstance(message, Probe) else ""

    wire.select_loss = crash
    crashed = False
    for _ in range(40):
        clusters.advance(1)
        if count >= step and not crashed:
            crashed = True
            clusters.fail_over(*[side for side in (clusters.home, clusters.east) if who in (side.name, "both")])
    clusters.advance_until(lambda: clusters.running_cluster() is not None, 200)
    where = clusters.home if clusters.running_cluster() == "home" else clusters.east
    clusters.finish_tasks(where)
    clusters.advance_until(lambda: clusters.gang_state() == "done", 200)


def test_cancellation_is_confirmed_only_after_the_other_cluster_has_ended_the_gang() -> None:
    """While the link is down the user is told at once when to come back; afterwards it is cancelled, and stays so."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    wire = clusters.home.links["east"]
    wire.select_loss = lambda m: "request"
    clusters.home.controller.job_api.recall = clusters.home.home.recall
    answer = clusters.home.controller.job_api.cancel(clusters.gang)
    assert answer.status == 503 and answer.retry_after
    clusters.advance(10)
    assert clusters.home.controller.job_api.cancel(clusters.gang).status == 503 and clusters.running_cluster() == "east"
    wire.select_loss = lambda m: ""
    clusters.advance_until(lambda: clusters.home.controller.job_api.cancel(clusters.gang).status == 200, 20)
    assert clusters.gang_state() == "cancelled" and not clusters.gang_tasks()["east"]
    clusters.advance(30)
    assert clusters.gang_state() == "cancelled" and clusters.running_cluster() is None


def test_guest_without_capacity_is_given_back() -> None:
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    for worker in clusters.east.workers:
        worker.expire_lease()
        worker.reachable = False
    first = {r.id for r in clusters.east.guest.records.values()}
    clusters.advance_until(lambda: not clusters.home.term.registry.jobs[clusters.gang].runs_remotely, 200)
    for worker in clusters.east.workers:
        worker.reachable = True
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 300)
    assert not first & {r.id for r in clusters.east.guest.records.values()}


def test_repeated_old_messages_start_nothing() -> None:
    """Everything that was ever sent is delivered once more, minutes later, in order and in reverse."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")
    clusters.advance(30)
    old = list(clusters.home.links["east"].sent_messages)
    for message in (*old, *reversed(old)):
        clusters.east.guest.answer(message)
    clusters.advance(40)
    assert (
        not any(clusters.gang_tasks().values())
        and not clusters.east.guest.reservations.by_id
        and clusters.gang_state() == "done"
    )


def test_many_waiting_gangs_are_offered_within_the_limits() -> None:
    clusters = FederatedClusters()
    for _ in range(60):
        clusters.home.cluster.submit_job(clusters.home.controller, shape="ensemble", shards=3, cpus=15.0)
    wire = clusters.home.links["east"]
    begin = clusters.clock.now
    clusters.advance(30)
    offers = [m for m in wire.sent_messages if isinstance(m, ReservationRequest)]
    assert len(offers) <= 4.0 * (clusters.clock.now - begin) + 4
    assert len(clusters.east.guest.reservations.by_id) + len(clusters.east.guest.records) <= 8
    clusters.advance(400)
    per_gang: dict[str, int] = {}
    for m in wire.sent_messages:
        if isinstance(m, ReservationRequest):
            per_gang[m.spec.id] = per_gang.get(m.spec.id, 0) + 1
    assert max(per_gang.values()) <= OFFERS_PER_GANG


@pytest.mark.parametrize("late", [False, True])
def test_clusters_with_clocks_hours_apart_agree(late: bool) -> None:
    """Only durations by one steady clock are compared; news that comes after the reservation's end starts nothing."""
    clusters = FederatedClusters(fast_clocks=True)
    wire = clusters.home.links["east"]
    if late:
        wire.select_loss = lambda m: "request" if isinstance(m, Commit) and clusters.clock.now < 1050.0 else ""
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)
    assert not late or clusters.clock.now > 1050.0
    clusters.fail_over(clusters.east)
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 60)
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")


def test_guest_taken_in_by_an_unanswered_write_is_never_offered_to_a_third_cluster() -> None:
    """Found by a rehearsal: the state service fell silent in the write that took a gang in. The leader's watch brought
    it into the books as if it were a job of its own; it was offered on and done in a third cluster, and when home's
    news came again it was started here as well. Its record itself says now that it is a guest."""
    clusters = FederatedClusters("east", "west")
    clusters.home.links["west"].select_loss = lambda m: "request"
    clusters.east.links = {"west": LossyLink(clusters.others[1])}
    clusters.east.start_federation()
    begin = clusters.clock.now

    def silent(message: Message) -> str:
        if (
            isinstance(message, Commit)
            and not clusters.east.cluster.store.responses_to_drop
            and clusters.clock.now < begin + 40.0
        ):
            if any(isinstance(m, Commit) for m in clusters.home.links["east"].sent_messages):
                return "request"
            clusters.east.cluster.store.responses_to_drop = 2
            for worker in clusters.east.workers:
                worker.reachable = False
        return ""

    clusters.home.links["east"].select_loss = silent
    clusters.advance(40)
    east = next(iter(clusters.east.guest.records.values()), None) or next(
        iter(clusters.east.guest.reservations.by_id.values())
    )
    job = clusters.east.term.registry.jobs[east.job]
    assert job.is_guest and job.remote_assignment is None and not clusters.others[1].guest.records
    for worker in clusters.east.workers:
        worker.reachable = True
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")


def test_return_with_unanswered_write_takes_effect_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch tells of the write before its answer would, and the write is made again: that changes nothing twice."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    returns = HomeCluster._return

    def unanswered(self: HomeCluster, gang: RemoteGang) -> None:
        clusters.home.cluster.store.responses_to_drop = 1
        returns(self, gang)

    monkeypatch.setattr(HomeCluster, "_return", unanswered)
    for worker in clusters.east.workers:
        worker.expire_lease()
        worker.reachable = False
    clusters.advance_until(lambda: not clusters.home.term.registry.jobs[clusters.gang].runs_remotely, 200)
    monkeypatch.setattr(HomeCluster, "_return", returns)
    clusters.home.cluster.store.responses_to_drop = 0
    clusters.advance(10)
    gang = clusters.home.home.gangs.get(clusters.gang)
    assert gang is None or gang.state in (HomeState.WAITING, HomeState.OFFERED), gang
    assert not clusters.east.guest.records  # and the other cluster need not keep it any more
    for worker in clusters.east.workers:
        worker.reachable = True
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 300)


def test_cluster_that_rejects_offers_gets_fewer_offers_but_all_status_queries() -> None:
    clusters = FederatedClusters(probes_enabled=False)
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    for _ in range(10):
        clusters.home.cluster.submit_job(clusters.home.controller, shape="ensemble", shards=3, cpus=15.0)
    wire = clusters.home.links["east"]
    wire.sent_messages.clear()
    clusters.advance(60)
    cluster = clusters.home.home.remotes.by_name["east"]
    assert cluster.offer_breaker.state is not BreakerState.CLOSED and cluster.breaker.state is BreakerState.CLOSED
    offers = [m for m in wire.sent_messages if isinstance(m, ReservationRequest)]
    asks = [m for m in wire.sent_messages if isinstance(m, StatusQuery)]
    assert len(offers) <= 12 and len(asks) >= 20
    clusters.finish_tasks(clusters.east)  # there is room again: its own word of it is enough
    clusters.home.home.remotes.probe(cluster)
    clusters.advance_until(lambda: any(r.ref != clusters.gang for r in clusters.east.guest.records.values()), 60)


def test_forbidden_and_malformed_messages_are_rejected() -> None:
    clusters = FederatedClusters()
    guest = clusters.east.guest
    good = reservation_request(clusters)
    assert isinstance(guest.answer(msgspec.structs.replace(good, home="stranger")), Rejection)
    assert isinstance(guest.answer(msgspec.structs.replace(good, path=["home", "east"])), Rejection)
    assert isinstance(guest.answer(Commit("home", clusters.gang, "0" * 32)), Rejection)
    reserved = guest.answer(good)
    assert isinstance(reserved, Reserved)
    # another cluster cannot use the reservation
    assert isinstance(guest.answer(Commit("west", good.spec.id, reserved.id)), Rejection)
    assert isinstance(guest.answer(good), Rejection)  # the same again keeps no second room
    bad = [
        b"", b"\x81", b"x" * (messages.MAX_MESSAGE_BYTES + 1),
        msgspec.msgpack.encode(StatusQuery("home", "no job", "0" * 32)),
        msgspec.msgpack.encode(StatusQuery("home", "j-000001", "short")), msgspec.msgpack.encode(StatusQuery("",
            "j-000001", "0" * 32)),
        msgspec.msgpack.encode(msgspec.structs.replace(good, path=["a"] * 9)),
        msgspec.msgpack.encode({"type": "offer", "home": "home", "spec": {}, "path": []}),
        msgspec.msgpack.encode(
            ReservationRequest("home", decode_spec(clusters.home.cluster.submission_body(shards=2)), ["home"])
        ),
    ]  # fmt: skip
    for body in bad:
        with pytest.raises(InvalidMessageError):
            messages.decode(body)
    clusters.east.controller.election.resign("gives way", 10.0)
    assert isinstance(guest.answer(good), UncertainReply)


def test_reservations_are_bounded_by_count_and_by_the_team_limit() -> None:
    clusters = FederatedClusters()
    guest = clusters.east.guest
    guest.limits.max_reservations = 1
    assert isinstance(guest.answer(reservation_request(clusters)), Reserved)
    assert guest.answer(reservation_request(clusters)) == Rejection("as many as are allowed")
    guest.limits.max_reservations = 8
    clusters.east.term.registry.teams[clusters.east.term.registry.team_names.intern("blue")].limit = (15_000_000, 0)
    assert guest.answer(reservation_request(clusters)) == Rejection("the guests' limit is used up")


def test_random_faults_never_split_a_gang_nor_run_it_twice() -> None:
    """Random losses, crashes and finished work; `check` looks after every second."""
    outcomes = set()
    for seed in range(12):
        rng = random.Random(seed)
        clusters = FederatedClusters("east", "west", probes_enabled=seed % 2 == 0)
        for wire in clusters.home.links.values():
            wire.select_loss = lambda m, rng=rng: rng.choices(["", "request", "answer"], [6, 1, 1])[0]  # type: ignore[misc]
        for _ in range(60):
            clusters.advance(1)
            if rng.random() < 0.04:
                clusters.fail_over(rng.choice(clusters.clusters))
            if rng.random() < 0.05:
                clusters.finish_tasks(clusters.home)
        for wire in clusters.home.links.values():
            wire.select_loss = lambda m: ""
        for _ in range(200):
            if clusters.gang_state() == "done":
                break
            where = clusters.running_cluster()
            if where is not None:
                outcomes.add(where)
                clusters.finish_tasks(next(s for s in clusters.clusters if s.name == where))
            clusters.finish_tasks(clusters.home)
            clusters.advance(1)
        assert clusters.gang_state() == "done", seed
    assert len(outcomes) > 1, outcomes


def test_late_commit_is_rejected_before_the_reservation_is_released() -> None:
    """The guest's own clock decides, not how often its loop runs."""
    clusters = FederatedClusters()
    asked = reservation_request(clusters)
    reserved = clusters.east.guest.answer(asked)
    assert isinstance(reserved, Reserved)
    for _ in range(int(reserved.for_s) + 1):
        clusters.clock.now += 1.0
        clusters.east.term.election.renew()
    assert isinstance(clusters.east.guest.answer(Commit("home", asked.spec.id, reserved.id)), Rejection)
    assert not clusters.east.guest.records
    assert not [k for k in clusters.east.cluster.store.data if k.startswith(PREFIX)]


def test_leader_without_federation_does_not_start_a_gang_that_is_abroad() -> None:
    """Switched off by mistake, with a gang in another cluster: the live record itself keeps it from starting here."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    world = clusters.home.cluster
    world.clock.now += 13.0
    clusters.home.controller = InMemoryController(world, "home-plain")
    term = clusters.home.controller.lead()
    clusters.finish_tasks(clusters.home)
    world.run_rounds(term, 12)
    assert not clusters.gang_tasks()["home"] and term.registry.jobs[clusters.gang].startable_count() == 0


def test_reserved_machines_get_no_other_tasks_until_the_reservation_expires() -> None:
    clusters = FederatedClusters()
    asked = reservation_request(clusters)
    reserved = clusters.east.guest.answer(asked)
    assert isinstance(reserved, Reserved)
    kept = [m for m in clusters.east.term.inventory.machines if m.reserved_for is not None]
    assert len(kept) == 2
    clusters.east.cluster.submit_job(clusters.east.controller, shards=64, cpus=1.0, ramGb=0.1)
    for _ in range(8):
        clusters.clock.now += 1.0
        clusters.east.run_round()
    assert all(not m.allocations for m in kept)
    for _ in range(12):  # and is given to others when its time is over
        clusters.clock.now += 1.0
        clusters.east.run_round()
    assert all(m.allocations for m in kept)
