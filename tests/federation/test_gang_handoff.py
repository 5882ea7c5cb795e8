"""Two clusters: a gang goes abroad whole or stays, whatever is lost, late, crashed or decided at the same moment."""

from __future__ import annotations

import random

import msgspec
import pytest

from grebestand.federation import messages
from grebestand.federation.circuit_breaker import FAILURES, CircuitBreaker
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
from grebestand.simulation.single_controller_cluster import InMemoryController, ManualClock
from grebestand.wire.jobs import decode_spec
from support.federated_clusters import Clusters, Wire, offer


def test_a_gang_without_room_runs_whole_elsewhere_and_is_done_once_at_home() -> None:
    c = Clusters()
    c.until(lambda: c.runs_in() == "east")
    c.go(4)
    assert c.home.term.registry.jobs[c.gang].running() == 3
    assert not c.home.term.registry.jobs[c.gang].allocations
    c.finish(c.east)
    c.until(lambda: c.view() == "done")
    c.go(6)
    assert not c.east.guest.records and not [k for k in c.east.world.store.data if k.startswith(PREFIX)]
    assert not c.home.home.gangs


@pytest.mark.parametrize("lost", [False, True])
def test_two_clusters_say_yes_at_once_and_one_is_named(lost: bool) -> None:
    """The other's reservation ends at once, or by itself if the word is lost."""
    c = Clusters("east", "west", looks=False)
    if lost:
        c.home.links["west"].drop = lambda m: "request" if isinstance(m, Recall) else ""
    c.until(lambda: c.runs_in() is not None)
    assert c.runs_in() == "east"
    assert bool(c.others[1].guest.reservations.by_id) is lost
    c.go(20)
    assert not c.others[1].guest.reservations.by_id
    assert all(m.reserved_for is None for m in c.others[1].term.inventory.machines)


@pytest.mark.parametrize("fault", ["request", "answer"])
@pytest.mark.parametrize("kind", [ReservationRequest, Commit, StatusQuery, messages.Forget])
def test_a_message_that_is_lost_for_a_while_changes_nothing_in_the_end(kind: type, fault: str) -> None:
    c = Clusters()
    c.home.links["east"].drop = lambda m: fault if isinstance(m, kind) and c.clock.now < 1060.0 else ""
    c.until(lambda: c.runs_in() == "east", 200)
    c.finish(c.east)
    c.until(lambda: c.view() == "done", 200)


def test_home_starts_nothing_while_the_news_may_have_arrived() -> None:
    """The answer to the commit is lost, and room appears at home: the gang is abroad, and stays there."""
    c = Clusters()
    wire = c.home.links["east"]
    wire.drop = lambda m: "answer" if isinstance(m, Commit | StatusQuery) else ""
    c.until(lambda: c.runs_in() == "east")
    for w in c.home.workers:
        for task in w.running():
            w.finish(task)
    c.go(30)
    assert c.runs_in() == "east" and c.home.home.gangs[c.gang].state is HomeState.COMMITTED
    wire.drop = lambda m: ""
    c.until(lambda: c.home.home.gangs[c.gang].state is HomeState.ABROAD)


def test_the_news_that_comes_after_the_reservation_s_end_starts_nothing_and_the_gang_comes_home() -> None:
    c = Clusters()
    wire = c.home.links["east"]
    wire.drop = lambda m: "request" if isinstance(m, Commit) else ""
    c.until(lambda: c.gang in c.home.home.gangs and c.home.home.gangs[c.gang].state is HomeState.COMMITTED)
    assert c.home.term.registry.jobs[c.gang].startable() == 0
    c.go(25)
    wire.drop = lambda m: ""
    c.until(lambda: not c.home.term.registry.jobs[c.gang].away or c.runs_in() is not None)
    c.until(lambda: c.runs_in() is not None)


def test_room_that_appears_at_home_while_an_offer_is_out_withdraws_it() -> None:
    c = Clusters()
    wire = c.home.links["east"]
    job = c.home.term.registry.jobs[c.gang]

    def starts_at_home(message: Message) -> str:
        if isinstance(message, ReservationRequest):
            for index in range(3):
                c.home.term.dispatch.start(job, index, c.home.term.inventory.machines[0], 77, c.clock.now)
        return ""

    wire.drop = starts_at_home
    c.until(lambda: bool(wire.sent))
    trip = c.home.home.gangs[c.gang]
    assert trip.state is HomeState.WAITING and not job.away and len(job.allocations) == 3
    assert not c.east.guest.reservations.by_id


@pytest.mark.parametrize("lost", [1, 2])
def test_a_decision_whose_write_nobody_answered_is_settled_by_another_on_the_same_version(lost: int) -> None:
    c = Clusters()
    wire = c.home.links["east"]

    def lose(message: Message) -> str:
        if isinstance(message, ReservationRequest):
            c.home.world.store.lose_answers = lost
        return ""

    wire.drop = lose
    c.until(lambda: bool(wire.sent))
    assert c.home.term.registry.jobs[c.gang].startable() == 0
    wire.drop = lambda m: ""
    c.until(lambda: c.runs_in() == "east", 200)


@pytest.mark.parametrize("step", range(1, 13))
@pytest.mark.parametrize("who", ["home", "east", "both"])
def test_leaders_crash_at_every_message_and_the_gang_still_runs_once(who: str, step: int) -> None:
    """The answer of message number `step` is lost with the leaders; new ones go on from what is on record."""
    c = Clusters()
    wire = c.home.links["east"]
    count = 0

    def crash(message: Message) -> str:
        nonlocal count
        count += not isinstance(message, Probe)
        return "answer" if count == step and not isinstance(message, Probe) else ""

    wire.drop = crash
    crashed = False
    for _ in range(40):
        c.go(1)
        if count >= step and not crashed:
            crashed = True
            c.crash(*[side for side in (c.home, c.east) if who in (side.name, "both")])
    c.until(lambda: c.runs_in() is not None, 200)
    where = c.home if c.runs_in() == "home" else c.east
    c.finish(where)
    c.until(lambda: c.view() == "done", 200)


def test_an_abort_is_told_only_when_the_other_cluster_has_ended_it() -> None:
    """While the link is down the user is told at once when to come back; afterwards it is cancelled, and stays so."""
    c = Clusters()
    c.until(lambda: c.runs_in() == "east")
    wire = c.home.links["east"]
    wire.drop = lambda m: "request"
    c.home.node.users.recall = c.home.home.recall
    answer = c.home.node.users.cancel(c.gang)
    assert answer.status == 503 and answer.retry_after
    c.go(10)
    assert c.home.node.users.cancel(c.gang).status == 503 and c.runs_in() == "east"
    wire.drop = lambda m: ""
    c.until(lambda: c.home.node.users.cancel(c.gang).status == 200, 20)
    assert c.view() == "cancelled" and not c.gangs()["east"]
    c.go(30)
    assert c.view() == "cancelled" and c.runs_in() is None


def test_a_guest_that_finds_no_room_any_more_is_given_back() -> None:
    c = Clusters()
    c.until(lambda: c.runs_in() == "east")
    for w in c.east.workers:
        w.lapse()
        w.reachable = False
    first = {r.id for r in c.east.guest.records.values()}
    c.until(lambda: not c.home.term.registry.jobs[c.gang].away, 200)
    for w in c.east.workers:
        w.reachable = True
    c.until(lambda: c.runs_in() == "east", 300)
    assert not first & {r.id for r in c.east.guest.records.values()}


def test_messages_from_before_start_nothing_when_they_come_again() -> None:
    """Everything that was ever sent is delivered once more, minutes later, in order and in reverse."""
    c = Clusters()
    c.until(lambda: c.runs_in() == "east")
    c.finish(c.east)
    c.until(lambda: c.view() == "done")
    c.go(30)
    old = list(c.home.links["east"].sent)
    for message in (*old, *reversed(old)):
        c.east.guest.answer(message)
    c.go(40)
    assert not any(c.gangs().values()) and not c.east.guest.reservations.by_id and c.view() == "done"


def test_a_flood_of_waiting_gangs_makes_no_stampede() -> None:
    c = Clusters()
    for _ in range(60):
        c.home.world.accept(c.home.node, shape="ensemble", shards=3, cpus=15.0)
    wire = c.home.links["east"]
    begin = c.clock.now
    c.go(30)
    offers = [m for m in wire.sent if isinstance(m, ReservationRequest)]
    assert len(offers) <= 4.0 * (c.clock.now - begin) + 4
    assert len(c.east.guest.reservations.by_id) + len(c.east.guest.records) <= 8
    c.go(400)
    per_gang: dict[str, int] = {}
    for m in wire.sent:
        if isinstance(m, ReservationRequest):
            per_gang[m.spec.id] = per_gang.get(m.spec.id, 0) + 1
    assert max(per_gang.values()) <= OFFERS_PER_GANG


def test_a_cluster_that_does_not_answer_is_left_alone_for_growing_pauses() -> None:
    clock = ManualClock()
    b = CircuitBreaker("east", clock, random.Random(3))
    pauses = []
    for _ in range(4):
        while b.allows_request():
            b.record_failure("no answer")
        begin = clock.now
        while not b.allows_request():
            clock.now += 0.1
        pauses.append(clock.now - begin)
        b.record_failure("no answer")
    assert FAILURES > 1 and pauses[-1] > 2 * pauses[0] and b.state is BreakerState.OPEN
    clock.now += 500.0
    assert b.allows_request()
    b.record_success()
    assert b.state.name == "CLOSED"


@pytest.mark.parametrize("late", [False, True])
def test_clusters_whose_clocks_differ_by_hours_agree_all_the_same(late: bool) -> None:
    """Only durations by one steady clock are compared; news that comes after the reservation's end starts nothing."""
    c = Clusters(ahead=True)
    wire = c.home.links["east"]
    if late:
        wire.drop = lambda m: "request" if isinstance(m, Commit) and c.clock.now < 1050.0 else ""
    c.until(lambda: c.runs_in() == "east", 200)
    assert not late or c.clock.now > 1050.0
    c.crash(c.east)
    c.until(lambda: c.runs_in() == "east", 60)
    c.finish(c.east)
    c.until(lambda: c.view() == "done")


def test_a_guest_whose_taking_in_nobody_answered_is_never_offered_on() -> None:
    """Found by a rehearsal: the state service fell silent in the write that took a gang in. The leader's watch brought
    it into the books as if it were a job of its own; it was offered on and done in a third cluster, and when home's
    news came again it was started here as well. Its record itself says now that it is a guest."""
    c = Clusters("east", "west")
    c.home.links["west"].drop = lambda m: "request"
    c.east.links = {"west": Wire(c.others[1])}
    c.east.begin()
    begin = c.clock.now

    def silent(message: Message) -> str:
        if isinstance(message, Commit) and not c.east.world.store.lose_answers and c.clock.now < begin + 40.0:
            if any(isinstance(m, Commit) for m in c.home.links["east"].sent):
                return "request"
            c.east.world.store.lose_answers = 2
            for w in c.east.workers:
                w.reachable = False
        return ""

    c.home.links["east"].drop = silent
    c.go(40)
    east = next(iter(c.east.guest.records.values()), None) or next(iter(c.east.guest.reservations.by_id.values()))
    job = c.east.term.registry.jobs[east.job]
    assert job.guest and job.abroad is None and not c.others[1].guest.records
    for w in c.east.workers:
        w.reachable = True
    c.until(lambda: c.runs_in() == "east", 200)
    c.finish(c.east)
    c.until(lambda: c.view() == "done")


def test_a_return_whose_write_nobody_answered_is_made_once_and_the_gang_can_go_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch tells of the write before its answer would, and the write is made again: that changes nothing twice."""
    c = Clusters()
    c.until(lambda: c.runs_in() == "east")
    returns = HomeCluster._return

    def unanswered(self: HomeCluster, trip: RemoteGang) -> None:
        c.home.world.store.lose_answers = 1
        returns(self, trip)

    monkeypatch.setattr(HomeCluster, "_return", unanswered)
    for w in c.east.workers:
        w.lapse()
        w.reachable = False
    c.until(lambda: not c.home.term.registry.jobs[c.gang].away, 200)
    monkeypatch.setattr(HomeCluster, "_return", returns)
    c.home.world.store.lose_answers = 0
    c.go(10)
    trip = c.home.home.gangs.get(c.gang)
    assert trip is None or trip.state in (HomeState.WAITING, HomeState.OFFERED), trip
    assert not c.east.guest.records  # and the other cluster need not keep it any more
    for w in c.east.workers:
        w.reachable = True
    c.until(lambda: c.runs_in() == "east", 300)


def test_a_question_that_was_let_through_and_never_asked_does_not_silence_a_cluster_for_good() -> None:
    """One question goes after a pause; the asker may find no budget for it, and then nobody was ever asked again."""
    clock = ManualClock()
    b = CircuitBreaker("east", clock, random.Random(3))
    while b.allows_request():
        b.record_failure("no answer")
    clock.now += 10.0
    assert b.allows_request() and not b.allows_request()
    clock.now += 10.0
    assert b.allows_request() and not b.allows_request()
    b.record_success()
    assert b.allows_request() and b.allows_request()


def test_a_cluster_that_refuses_again_and_again_is_offered_less_and_asked_about_its_guests_as_before() -> None:
    c = Clusters(looks=False)
    c.until(lambda: c.runs_in() == "east")
    for _ in range(10):
        c.home.world.accept(c.home.node, shape="ensemble", shards=3, cpus=15.0)
    wire = c.home.links["east"]
    wire.sent.clear()
    c.go(60)
    cluster = c.home.home.remotes.by_name["east"]
    assert cluster.offer_breaker.state is not BreakerState.CLOSED and cluster.breaker.state is BreakerState.CLOSED
    offers = [m for m in wire.sent if isinstance(m, ReservationRequest)]
    asks = [m for m in wire.sent if isinstance(m, StatusQuery)]
    assert len(offers) <= 12 and len(asks) >= 20
    c.finish(c.east)  # there is room again: its own word of it is enough
    c.home.home.remotes.probe(cluster)
    c.until(lambda: any(r.ref != c.gang for r in c.east.guest.records.values()), 60)


def test_what_a_peer_may_not_do_is_refused_and_changes_nothing() -> None:
    c = Clusters()
    guest = c.east.guest
    good = offer(c)
    assert isinstance(guest.answer(msgspec.structs.replace(good, home="stranger")), Rejection)
    assert isinstance(guest.answer(msgspec.structs.replace(good, path=["home", "east"])), Rejection)
    assert isinstance(guest.answer(Commit("home", c.gang, "0" * 32)), Rejection)
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
        msgspec.msgpack.encode(ReservationRequest("home", decode_spec(c.home.world.job(shards=2)), ["home"])),
    ]  # fmt: skip
    for body in bad:
        with pytest.raises(InvalidMessageError):
            messages.decode(body)
    c.east.node.election.resign("gives way", 10.0)
    assert isinstance(guest.answer(good), UncertainReply)


def test_guests_come_within_their_team_s_limit_and_keep_no_more_room_than_allowed() -> None:
    c = Clusters()
    guest = c.east.guest
    guest.limits.most_reserved = 1
    assert isinstance(guest.answer(offer(c)), Reserved)
    assert guest.answer(offer(c)) == Rejection("as many as are allowed")
    guest.limits.most_reserved = 8
    c.east.term.registry.teams[c.east.term.registry.team_names.index("blue")].limit = (15_000_000, 0)
    assert guest.answer(offer(c)) == Rejection("the guests' limit is used up")


def test_many_schedules_of_faults_never_split_a_gang_nor_run_it_twice() -> None:
    """Random losses, crashes and finished work; `check` looks after every second."""
    outcomes = set()
    for seed in range(12):
        rng = random.Random(seed)
        c = Clusters("east", "west", looks=seed % 2 == 0)
        for wire in c.home.links.values():
            wire.drop = lambda m, rng=rng: rng.choices(["", "request", "answer"], [6, 1, 1])[0]  # type: ignore[misc]
        for _ in range(60):
            c.go(1)
            if rng.random() < 0.04:
                c.crash(rng.choice(c.sides))
            if rng.random() < 0.05:
                c.finish(c.home)
        for wire in c.home.links.values():
            wire.drop = lambda m: ""
        for _ in range(200):
            if c.view() == "done":
                break
            where = c.runs_in()
            if where is not None:
                outcomes.add(where)
                c.finish(next(s for s in c.sides if s.name == where))
            c.finish(c.home)
            c.go(1)
        assert c.view() == "done", seed
    assert len(outcomes) > 1, outcomes


def test_a_commit_that_comes_too_late_is_refused_though_nobody_has_ended_the_reservation_yet() -> None:
    """The guest's own clock decides, not how often its loop runs."""
    c = Clusters()
    asked = offer(c)
    reserved = c.east.guest.answer(asked)
    assert isinstance(reserved, Reserved)
    for _ in range(int(reserved.for_s) + 1):
        c.clock.now += 1.0
        c.east.term.election.renew()
    assert isinstance(c.east.guest.answer(Commit("home", asked.spec.id, reserved.id)), Rejection)
    assert not c.east.guest.records
    assert not [k for k in c.east.world.store.data if k.startswith(PREFIX)]


def test_a_gang_abroad_is_left_alone_by_a_leader_that_knows_nothing_of_federation() -> None:
    """Switched off by mistake, with a gang in another cluster: the live record itself keeps it from starting here."""
    c = Clusters()
    c.until(lambda: c.runs_in() == "east")
    world = c.home.world
    world.clock.now += 13.0
    c.home.node = InMemoryController(world, "home-plain")
    term = c.home.node.lead()
    c.finish(c.home)
    world.settle(term, 12)
    assert not c.gangs()["home"] and term.registry.jobs[c.gang].startable() == 0


def test_room_that_is_kept_for_another_cluster_is_not_filled_meanwhile() -> None:
    c = Clusters()
    asked = offer(c)
    reserved = c.east.guest.answer(asked)
    assert isinstance(reserved, Reserved)
    kept = [m for m in c.east.term.inventory.machines if m.reserved_for is not None]
    assert len(kept) == 2
    c.east.world.accept(c.east.node, shards=64, cpus=1.0, ramGb=0.1)
    for _ in range(8):
        c.clock.now += 1.0
        c.east.round()
    assert all(not m.allocations for m in kept)
    for _ in range(12):  # and is given to others when its time is over
        c.clock.now += 1.0
        c.east.round()
    assert all(m.allocations for m in kept)
