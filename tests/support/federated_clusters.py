"""Two clusters in memory with a link between them that loses, delays and repeats messages."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from grebestand.federation import messages
from grebestand.federation.circuit_breaker import CircuitBreaker
from grebestand.federation.guest import GuestCluster, GuestLimits
from grebestand.federation.home import HomeCluster
from grebestand.federation.messages import Message, Probe, Reply, ReservationRequest
from grebestand.federation.overflow_limits import OverflowLimits
from grebestand.federation.remote_cluster import Cluster
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController, ManualClock
from grebestand.wire.jobs import decode_spec

WIDE = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0")


class Ahead(ManualClock):
    """Another clock for the same time: it runs fast by as much as is allowed, and shows another hour."""

    def __init__(self, base: ManualClock) -> None:
        self.base = base

    @property
    def now(self) -> float:
        return self.base.now * 1.0005 + 40_000.0

    @now.setter
    def now(self, value: float) -> None:
        """Time is turned by the base alone."""


class Side:
    """One cluster with its present leader."""

    def __init__(self, name: str, clock: ManualClock, machines: int) -> None:
        self.name = name
        self.world = InMemoryCluster(WIDE)
        self.world.clock = clock
        self.world.store.clock = clock
        self.workers = [self.world.worker(f"n-{i:06d}") for i in range(machines)]
        self.rng = random.Random(name)
        self.links: dict[str, Wire] = {}
        self.leaders = 0
        self.looks = True
        self.lead()
        self.world.settle(self.term, 3)

    def lead(self) -> None:
        self.node = InMemoryController(self.world, f"{self.name}-{self.leaders}")
        self.leaders += 1
        self.term: Term = self.node.lead()
        self.begin()

    def begin(self) -> None:
        clusters = [
            Cluster(name, link, CircuitBreaker(name, self.world.clock, self.rng)) for name, link in self.links.items()
        ]
        self.home = HomeCluster(self.name, self.term, clusters, OverflowLimits(lambda job, now: 5.0), self.rng)
        if not self.looks:
            self.home.remotes.probe_due = lambda now: None  # type: ignore[method-assign]
        self.guest = GuestCluster(
            self.name, self.term, GuestLimits(frozenset({"home", "east", "west"}), "blue"),
            lambda ident: self.node.users.cancel(ident).status == 200,
        )  # fmt: skip

    def round(self) -> None:
        self.world.settle(self.term, 1, 0.0)
        self.home.step()
        self.guest.step()


class Wire:
    """The way to another cluster, with faults: what is lost, and what is delivered again later."""

    def __init__(self, to: Side) -> None:
        self.to = to
        self.drop: Callable[[Message], str] = lambda message: ""
        self.sent: list[Message] = []

    def tell(self, message: Message) -> Reply | None:
        fault = self.drop(message)
        if fault == "request":
            return None
        found = messages.decode(msgspec.msgpack.encode(message))
        if not isinstance(found, Probe):
            self.sent.append(found)
        answer = self.to.guest.answer(found)
        return None if fault == "answer" else messages.decode_reply(msgspec.msgpack.encode(answer))


class Clusters:
    """A crowded home and others with room, on one clock."""

    def __init__(self, *others: str, looks: bool = True, ahead: bool = False) -> None:
        """Without `looks`, home does not know who has room, and asks two at once."""
        self.clock = ManualClock()
        self.home = Side("home", self.clock, 3)
        self.others = [Side(name, Ahead(self.clock) if ahead else self.clock, 4) for name in others or ("east",)]
        self.home.links = {o.name: Wire(o) for o in self.others}
        self.home.looks = looks
        self.home.begin()
        self.filler = self.home.world.accept(self.home.node, shards=3, cpus=15.0, rank="critical")
        self.go(6)
        self.gang = self.home.world.accept(self.home.node, shape="ensemble", shards=3, cpus=15.0)

    @property
    def sides(self) -> list[Side]:
        return [self.home, *self.others]

    @property
    def east(self) -> Side:
        return self.others[0]

    def go(self, rounds: int) -> None:
        for _ in range(rounds):
            self.clock.now += 1.0
            for side in self.sides:
                side.round()
            self.check()

    def crash(self, *down: Side) -> None:
        """These clusters' leaders end; the others go on, and new leaders follow when the holds have run out."""
        for _ in range(13):
            self.clock.now += 1.0
            for side in self.sides:
                if side not in down:
                    side.round()
        for side in down:
            side.lead()
        self.check()

    def gangs(self) -> dict[str, list[str]]:
        """Tasks of the gang that run, by cluster: at home under its own name, elsewhere under the guest's."""
        found = {}
        for side in self.sides:
            names = {self.gang} if side is self.home else {r.job for r in side.guest.records.values()}
            found[side.name] = [t for w in side.workers for t in w.running() if t.rpartition("/")[0] in names]
        return found

    def check(self) -> None:
        """Never split, never twice: all that runs of it runs in one cluster, each task once."""
        if not hasattr(self, "gang"):
            return
        running = {name: tasks for name, tasks in self.gangs().items() if tasks}
        assert len(running) <= 1, running
        assert all(len(tasks) == len(set(tasks)) <= 3 for tasks in running.values())

    def runs_in(self) -> str | None:
        whole = [name for name, tasks in self.gangs().items() if len(tasks) == 3]
        return whole[0] if whole else None

    def finish(self, side: Side) -> None:
        for w in side.workers:
            for task in w.running():
                w.finish(task)

    def view(self) -> str:
        return str(msgspec.json.decode(self.home.node.users.poll(self.gang).body)["tide"])

    def until(self, done: Callable[[], bool], most: int = 120) -> None:
        for _ in range(most):
            if done():
                return
            self.go(1)
        raise AssertionError(f"not within {most} s")


def offer(c: Clusters, **more: Any) -> ReservationRequest:
    spec = decode_spec(c.home.world.job(shape="ensemble", shards=2, cpus=15.0, **more))
    return ReservationRequest("home", spec, ["home"])
