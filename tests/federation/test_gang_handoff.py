"""Hand-over of gangs between clusters: a gang runs once and in one cluster, in spite of faults and races."""

from __future__ import annotations

import random

import msgspec
import pytest

from grebestand.federation import messages
from grebestand.federation.guest import GUEST_KEY_PREFIX
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
    assert not clusters.east.guest.records and not [
        k for k in clusters.east.cluster.store.data if k.startswith(GUEST_KEY_PREFIX)
    ]
    assert not clusters.home.home.gangs


@pytest.mark.parametrize("lost", [False, True])
def test_of_two_reservations_one_is_committed_and_the_other_released(lost: bool) -> None:
    """The unused reservation is released by a recall, or expires if the recall is lost."""
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
    """Replies to the commit are lost and home gets free capacity: the gang stays in the other cluster."""
    clusters = FederatedClusters()
    link = clusters.home.links["east"]
    link.select_loss = lambda m: "answer" if isinstance(m, Commit | StatusQuery) else ""
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    for worker in clusters.home.workers:
        for task in worker.running_tasks():
            worker.finish_task(task)
    clusters.advance(30)
    assert clusters.running_cluster() == "east" and clusters.home.home.gangs[clusters.gang].state is HomeState.COMMITTED
    link.select_loss = lambda m: ""
    clusters.advance_until(lambda: clusters.home.home.gangs[clusters.gang].state is HomeState.ABROAD)


def test_commit_after_the_reservation_expired_starts_nothing_and_the_gang_returns() -> None:
    clusters = FederatedClusters()
    link = clusters.home.links["east"]
    link.select_loss = lambda m: "request" if isinstance(m, Commit) else ""
    clusters.advance_until(
        lambda: (
            clusters.gang in clusters.home.home.gangs
            and clusters.home.home.gangs[clusters.gang].state is HomeState.COMMITTED
        )
    )
    assert clusters.home.term.registry.jobs[clusters.gang].startable_count() == 0
    clusters.advance(25)
    link.select_loss = lambda m: ""
    clusters.advance_until(
        lambda: (
            not clusters.home.term.registry.jobs[clusters.gang].runs_remotely or clusters.running_cluster() is not None
        )
    )
    clusters.advance_until(lambda: clusters.running_cluster() is not None)


def test_gang_that_starts_at_home_during_an_offer_withdraws_it() -> None:
    clusters = FederatedClusters()
    link = clusters.home.links["east"]
    job = clusters.home.term.registry.jobs[clusters.gang]

    def starts_at_home(message: Message) -> str:
        if isinstance(message, ReservationRequest):
            for index in range(3):
                clusters.home.term.dispatch.start(
                    job, index, clusters.home.term.inventory.machines[0], 77, clusters.clock.now
                )
        return ""

    link.select_loss = starts_at_home
    clusters.advance_until(lambda: bool(link.sent_messages))
    gang = clusters.home.home.gangs[clusters.gang]
    assert gang.state is HomeState.WAITING and not job.runs_remotely and len(job.allocations) == 3
    assert not clusters.east.guest.reservations.by_id


@pytest.mark.parametrize("lost", [1, 2])
def test_decision_with_unanswered_write_is_resolved_by_another_write(lost: int) -> None:
    clusters = FederatedClusters()
    link = clusters.home.links["east"]

    def lose_responses(message: Message) -> str:
        if isinstance(message, ReservationRequest):
            clusters.home.cluster.store.responses_to_drop = lost
        return ""

    link.select_loss = lose_responses
    clusters.advance_until(lambda: bool(link.sent_messages))
    assert clusters.home.term.registry.jobs[clusters.gang].startable_count() == 0
    link.select_loss = lambda m: ""
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)


@pytest.mark.parametrize("step", range(1, 13))
@pytest.mark.parametrize("who", ["home", "east", "both"])
def test_gang_runs_once_although_leaders_crash_at_any_message(who: str, step: int) -> None:
    """The leaders crash before the reply to message number `step`; new leaders continue from the stored records."""
    clusters = FederatedClusters()
    link = clusters.home.links["east"]
    count = 0

    def crash(message: Message) -> str:
        nonlocal count
        count += not isinstance(message, Probe)
        return "answer" if count == step and not isinstance(message, Probe) else ""

    link.select_loss = crash
    crashed = False
    for _ in range(40):
        clusters.advance(1)
        if count >= step and not crashed:
            crashed = True
            clusters.fail_over(*[side for side in (clusters.home, clusters.east) if who in (side.name, "both")])
    clusters.advance_until(lambda: clusters.running_cluster() is not None, 200)
    cluster = clusters.home if clusters.running_cluster() == "home" else clusters.east
    clusters.finish_tasks(cluster)
    clusters.advance_until(lambda: clusters.gang_state() == "done", 200)


def test_cancellation_is_confirmed_only_after_the_other_cluster_has_ended_the_gang() -> None:
    """While the link is down, a cancellation gets status 503 and a time to retry; afterwards it succeeds."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    link = clusters.home.links["east"]
    link.select_loss = lambda m: "request"
    clusters.home.controller.job_api.recall = clusters.home.home.recall
    answer = clusters.home.controller.job_api.cancel(clusters.gang)
    assert answer.status == 503 and answer.retry_after
    clusters.advance(10)
    assert clusters.home.controller.job_api.cancel(clusters.gang).status == 503 and clusters.running_cluster() == "east"
    link.select_loss = lambda m: ""
    clusters.advance_until(lambda: clusters.home.controller.job_api.cancel(clusters.gang).status == 200, 20)
    assert clusters.gang_state() == "cancelled" and not clusters.gang_tasks()["east"]
    clusters.advance(30)
    assert clusters.gang_state() == "cancelled" and clusters.running_cluster() is None


def test_guest_without_capacity_is_returned_to_its_home() -> None:
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    for worker in clusters.east.workers:
        worker.expire_lease()
        worker.reachable = False
    first = {r.reservation_id for r in clusters.east.guest.records.values()}
    clusters.advance_until(lambda: not clusters.home.term.registry.jobs[clusters.gang].runs_remotely, 200)
    for worker in clusters.east.workers:
        worker.reachable = True
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 300)
    assert not first & {r.reservation_id for r in clusters.east.guest.records.values()}


def test_repeated_old_messages_start_nothing() -> None:
    """All messages of a gang that is done are delivered again after a while, in order and in reverse order."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")
    clusters.advance(30)
    old = list(clusters.home.links["east"].sent_messages)
    for message in (*old, *reversed(old)):
        clusters.east.guest.handle_message(message)
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
    link = clusters.home.links["east"]
    begin = clusters.clock.now
    clusters.advance(30)
    offers = [m for m in link.sent_messages if isinstance(m, ReservationRequest)]
    assert len(offers) <= 4.0 * (clusters.clock.now - begin) + 4
    assert len(clusters.east.guest.reservations.by_id) + len(clusters.east.guest.records) <= 8
    clusters.advance(400)
    per_gang: dict[str, int] = {}
    for m in link.sent_messages:
        if isinstance(m, ReservationRequest):
            per_gang[m.spec.id] = per_gang.get(m.spec.id, 0) + 1
    assert max(per_gang.values()) <= OFFERS_PER_GANG


@pytest.mark.parametrize("late", [False, True])
def test_clusters_with_clocks_hours_apart_agree(late: bool) -> None:
    """Clusters compare only times of their own steady clocks; a commit after the reservation's end starts nothing."""
    clusters = FederatedClusters(fast_clocks=True)
    link = clusters.home.links["east"]
    if late:
        link.select_loss = lambda m: "request" if isinstance(m, Commit) and clusters.clock.now < 1050.0 else ""
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)
    assert not late or clusters.clock.now > 1050.0
    clusters.fail_over(clusters.east)
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 60)
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")


def test_guest_accepted_by_an_unanswered_write_is_never_offered_to_a_third_cluster() -> None:
    """Guards against a gang that runs in two clusters after a write without a response.

    The store does not respond to the write that accepts a guest gang, and the leader learns of the job by its watch. If
    the live record did not mark the job as a guest, the leader would offer the gang to a third cluster, and would start
    the gang itself when home repeats the commit.
    """
    clusters = FederatedClusters("east", "west")
    clusters.home.links["west"].select_loss = lambda m: "request"
    clusters.east.links = {"west": LossyLink(clusters.others[1])}
    clusters.east.start_federation()
    begin = clusters.clock.now

    def stop_responding(message: Message) -> str:
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

    clusters.home.links["east"].select_loss = stop_responding
    clusters.advance(40)
    east = next(iter(clusters.east.guest.records.values()), None) or next(
        iter(clusters.east.guest.reservations.by_id.values())
    )
    job = clusters.east.term.registry.jobs[east.job_id]
    assert job.is_guest and job.remote_assignment is None and not clusters.others[1].guest.records
    for worker in clusters.east.workers:
        worker.reachable = True
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 200)
    clusters.finish_tasks(clusters.east)
    clusters.advance_until(lambda: clusters.gang_state() == "done")


def test_return_with_unanswered_write_takes_effect_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store's watch delivers a write whose response is lost; the repeated write must have no second effect."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    original_return = HomeCluster._return_home

    def return_unanswered(self: HomeCluster, gang: RemoteGang) -> None:
        clusters.home.cluster.store.responses_to_drop = 1
        original_return(self, gang)

    monkeypatch.setattr(HomeCluster, "_return_home", return_unanswered)
    for worker in clusters.east.workers:
        worker.expire_lease()
        worker.reachable = False
    clusters.advance_until(lambda: not clusters.home.term.registry.jobs[clusters.gang].runs_remotely, 200)
    monkeypatch.setattr(HomeCluster, "_return_home", original_return)
    clusters.home.cluster.store.responses_to_drop = 0
    clusters.advance(10)
    gang = clusters.home.home.gangs.get(clusters.gang)
    assert gang is None or gang.state in (HomeState.WAITING, HomeState.OFFERED), gang
    assert not clusters.east.guest.records  # removed by home's `Forget`
    for worker in clusters.east.workers:
        worker.reachable = True
    clusters.advance_until(lambda: clusters.running_cluster() == "east", 300)


def test_cluster_that_rejects_offers_gets_fewer_offers_but_all_status_queries() -> None:
    clusters = FederatedClusters(probes_enabled=False)
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    for _ in range(10):
        clusters.home.cluster.submit_job(clusters.home.controller, shape="ensemble", shards=3, cpus=15.0)
    link = clusters.home.links["east"]
    link.sent_messages.clear()
    clusters.advance(60)
    cluster = clusters.home.home.remotes.by_name["east"]
    assert cluster.offer_breaker.state is not BreakerState.CLOSED and cluster.breaker.state is BreakerState.CLOSED
    offers = [m for m in link.sent_messages if isinstance(m, ReservationRequest)]
    queries = [m for m in link.sent_messages if isinstance(m, StatusQuery)]
    assert len(offers) <= 12 and len(queries) >= 20
    # A probe that finds free capacity again is enough to resume offers.
    clusters.finish_tasks(clusters.east)
    clusters.home.home.remotes.probe(cluster)
    clusters.advance_until(
        lambda: any(r.home_job_id != clusters.gang for r in clusters.east.guest.records.values()), 60
    )


def test_forbidden_and_malformed_messages_are_rejected() -> None:
    clusters = FederatedClusters()
    guest = clusters.east.guest
    good = reservation_request(clusters)
    assert isinstance(guest.handle_message(msgspec.structs.replace(good, home="stranger")), Rejection)
    assert isinstance(guest.handle_message(msgspec.structs.replace(good, path=["home", "east"])), Rejection)
    assert isinstance(guest.handle_message(Commit("home", clusters.gang, "0" * 32)), Rejection)
    reserved = guest.handle_message(good)
    assert isinstance(reserved, Reserved)
    # another cluster cannot use the reservation
    assert isinstance(guest.handle_message(Commit("west", good.spec.id, reserved.reservation_id)), Rejection)
    assert isinstance(guest.handle_message(good), Rejection)  # a duplicate gets no second reservation
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
    assert isinstance(guest.handle_message(good), UncertainReply)


def test_reservations_are_bounded_by_count_and_by_the_team_limit() -> None:
    clusters = FederatedClusters()
    guest = clusters.east.guest
    guest.limits.max_reservations = 1
    assert isinstance(guest.handle_message(reservation_request(clusters)), Reserved)
    assert guest.handle_message(reservation_request(clusters)) == Rejection("as many as are allowed")
    guest.limits.max_reservations = 8
    clusters.east.term.registry.teams[clusters.east.term.registry.team_names.intern("blue")].limit = (15_000_000, 0)
    assert guest.handle_message(reservation_request(clusters)) == Rejection("the guests' limit is used up")


def test_random_faults_never_split_a_gang_nor_run_it_twice() -> None:
    """Random lost messages, crashes and completed tasks.

    `FederatedClusters.advance` checks each second that the gang runs once.
    """
    outcomes = set()
    for seed in range(12):
        rng = random.Random(seed)
        clusters = FederatedClusters("east", "west", probes_enabled=seed % 2 == 0)
        for link in clusters.home.links.values():
            link.select_loss = lambda m, rng=rng: rng.choices(["", "request", "answer"], [6, 1, 1])[0]  # type: ignore[misc]
        for _ in range(60):
            clusters.advance(1)
            if rng.random() < 0.04:
                clusters.fail_over(rng.choice(clusters.clusters))
            if rng.random() < 0.05:
                clusters.finish_tasks(clusters.home)
        for link in clusters.home.links.values():
            link.select_loss = lambda m: ""
        for _ in range(200):
            if clusters.gang_state() == "done":
                break
            cluster = clusters.running_cluster()
            if cluster is not None:
                outcomes.add(cluster)
                clusters.finish_tasks(next(s for s in clusters.clusters if s.name == cluster))
            clusters.finish_tasks(clusters.home)
            clusters.advance(1)
        assert clusters.gang_state() == "done", seed
    assert len(outcomes) > 1, outcomes


def test_late_commit_is_rejected_before_the_reservation_is_released() -> None:
    """The reservation expires by the guest cluster's clock, regardless of how often its loop runs."""
    clusters = FederatedClusters()
    request = reservation_request(clusters)
    reserved = clusters.east.guest.handle_message(request)
    assert isinstance(reserved, Reserved)
    for _ in range(int(reserved.duration_s) + 1):
        clusters.clock.now += 1.0
        clusters.east.term.election.renew()
    assert isinstance(
        clusters.east.guest.handle_message(Commit("home", request.spec.id, reserved.reservation_id)), Rejection
    )
    assert not clusters.east.guest.records
    assert not [k for k in clusters.east.cluster.store.data if k.startswith(GUEST_KEY_PREFIX)]


def test_leader_without_federation_does_not_start_a_gang_that_is_abroad() -> None:
    """If federation is switched off by mistake, the live record still keeps a remote gang from starting at home."""
    clusters = FederatedClusters()
    clusters.advance_until(lambda: clusters.running_cluster() == "east")
    home_cluster = clusters.home.cluster
    home_cluster.clock.now += 13.0
    clusters.home.controller = InMemoryController(home_cluster, "home-plain")
    term = clusters.home.controller.lead()
    clusters.finish_tasks(clusters.home)
    home_cluster.run_rounds(term, 12)
    assert not clusters.gang_tasks()["home"] and term.registry.jobs[clusters.gang].startable_count() == 0


def test_reserved_machines_get_no_other_tasks_until_the_reservation_expires() -> None:
    clusters = FederatedClusters()
    request = reservation_request(clusters)
    reserved = clusters.east.guest.handle_message(request)
    assert isinstance(reserved, Reserved)
    reserved_machines = [m for m in clusters.east.term.inventory.machines if m.reserved_for is not None]
    assert len(reserved_machines) == 2
    clusters.east.cluster.submit_job(clusters.east.controller, shards=64, cpus=1.0, ramGb=0.1)
    for _ in range(8):
        clusters.clock.now += 1.0
        clusters.east.run_round()
    assert all(not m.allocations for m in reserved_machines)
    for _ in range(12):  # long enough that the reservation expires
        clusters.clock.now += 1.0
        clusters.east.run_round()
    assert all(m.allocations for m in reserved_machines)
