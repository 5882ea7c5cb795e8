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
from grebestand.federation.remote_cluster import RemoteCluster
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController, ManualClock
from grebestand.wire.jobs import decode_spec

#: the settings with a larger limit for each team
WIDE = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0")


class FastClock(ManualClock):
    """Another machine's steady clock: it runs fast by the largest drift that is allowed, and has another origin."""

    def __init__(self, base: ManualClock) -> None:
        self.base = base

    @property
    def now(self) -> float:
        return self.base.now * 1.0005 + 40_000.0

    @now.setter
    def now(self, value: float) -> None:
        """Ignored: the base clock alone is advanced."""


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
        """Begin a term of a new leader."""
        self.node = InMemoryController(self.world, f"{self.name}-{self.leaders}")
        self.leaders += 1
        self.term: Term = self.node.lead()
        self.begin()

    def begin(self) -> None:
        """Begin home and guest of the present term, with the links as they are now."""
        clusters = [
            RemoteCluster(name, link, CircuitBreaker(name, self.world.clock, self.rng))
            for name, link in self.links.items()
        ]
        self.home = HomeCluster(self.name, self.term, clusters, OverflowLimits(lambda job, now: 5.0), self.rng)
        if not self.looks:
            self.home.remotes.probe_due = lambda now: None  # type: ignore[method-assign]
        self.guest = GuestCluster(
            self.name, self.term, GuestLimits(frozenset({"home", "east", "west"}), "blue"),
            lambda job_id: self.node.users.cancel(job_id).status == 200,
        )  # fmt: skip

    def round(self) -> None:
        """Let the workers, the leader and both sides of federation act once."""
        self.world.settle(self.term, 1, 0.0)
        self.home.step()
        self.guest.step()


class Wire:
    """The link to another cluster. `drop` decides for each message what is lost: "request", "answer" or nothing."""

    def __init__(self, to: Side) -> None:
        self.to = to
        self.drop: Callable[[Message], str] = lambda message: ""
        self.sent: list[Message] = []

    def send(self, message: Message) -> Reply | None:
        """Deliver a message, written and read as on the wire, and return its reply."""
        fault = self.drop(message)
        if fault == "request":
            return None
        received = messages.decode(msgspec.msgpack.encode(message))
        if not isinstance(received, Probe):
            self.sent.append(received)
        reply = self.to.guest.handle_message(received)
        return None if fault == "answer" else messages.decode_reply(msgspec.msgpack.encode(reply))


class Clusters:
    """A home cluster without free capacity and others with some, on one clock, and a gang that waits at home."""

    def __init__(self, *others: str, looks: bool = True, ahead: bool = False) -> None:
        """Without `looks`, home probes nobody, and offers the gang to two clusters at once."""
        self.clock = ManualClock()
        self.home = Side("home", self.clock, 3)
        self.others = [Side(name, FastClock(self.clock) if ahead else self.clock, 4) for name in others or ("east",)]
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
        """Advance the clock by so many seconds, one round a second, with a check after each."""
        for _ in range(rounds):
            self.clock.now += 1.0
            for side in self.sides:
                side.round()
            self.check()

    def crash(self, *down: Side) -> None:
        """End the leaders of these clusters; the others go on, and new leaders follow when the leases have expired."""
        for _ in range(13):
            self.clock.now += 1.0
            for side in self.sides:
                if side not in down:
                    side.round()
        for side in down:
            side.lead()
        self.check()

    def gangs(self) -> dict[str, list[str]]:
        """Return the running tasks of the gang, by cluster: at home by its own job id, elsewhere by the guests'."""
        found = {}
        for side in self.sides:
            names = {self.gang} if side is self.home else {r.job_id for r in side.guest.records.values()}
            found[side.name] = [
                task for worker in side.workers for task in worker.running() if task.rpartition("/")[0] in names
            ]
        return found

    def check(self) -> None:
        """Check that the gang is neither split nor run twice: its tasks run in one cluster, each once."""
        if not hasattr(self, "gang"):
            return
        running = {name: tasks for name, tasks in self.gangs().items() if tasks}
        assert len(running) <= 1, running
        assert all(len(tasks) == len(set(tasks)) <= 3 for tasks in running.values())

    def runs_in(self) -> str | None:
        """Return the cluster that runs all tasks of the gang, or None."""
        whole = [name for name, tasks in self.gangs().items() if len(tasks) == 3]
        return whole[0] if whole else None

    def finish(self, side: Side) -> None:
        """Finish all tasks that run in a cluster."""
        for worker in side.workers:
            for task in worker.running():
                worker.finish(task)

    def view(self) -> str:
        """Return the state of the gang as its user is given it."""
        return str(msgspec.json.decode(self.home.node.users.poll(self.gang).body)["tide"])

    def until(self, done: Callable[[], bool], seconds: int = 120) -> None:
        """Advance the clock until a condition holds; fail if it does not within so many seconds."""
        for _ in range(seconds):
            if done():
                return
            self.go(1)
        raise AssertionError(f"not within {seconds} s")


def offer(clusters: Clusters, **more: Any) -> ReservationRequest:
    """Return an offer of a new gang of two tasks, as home would send it."""
    spec = decode_spec(clusters.home.world.job(shape="ensemble", shards=2, cpus=15.0, **more))
    return ReservationRequest("home", spec, ["home"])
