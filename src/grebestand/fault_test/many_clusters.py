"""How offers and reserved room grow with the number of clusters and with load: many leaders in one process, on one
clock that is turned, with the decision code as it is and links that never fail.

Half of the clusters are crowded, half have room. Gangs come at random; a gang that is at work takes three machines.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..features.hooks import Host
from ..federation.feature import DEFAULTS, KEYS, NAMES, Federation, LocalLoad, RemoteClusterSettings
from ..federation.messages import Message, Probe, Reply, ReservationRequest, Reserved, decode, decode_reply
from ..leader.term import Term
from ..settings.expressions import Vocabulary, parse
from ..simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController, ManualClock
from ..wire.workers import TaskPhase

MACHINES, GANG, RUN_S = 6, 3, 15.0
#: gangs at work at a time that a cluster's machines could hold, in the mean, asked of crowded and of idle ones
CROWDED, IDLE = 1.6, 0.3


@dataclass
class Result:
    """What one simulation counted. `load` scales all arrivals."""

    clusters: int
    load: float
    gangs: int = 0
    done: int = 0
    offers: int = 0
    most_offers: int = 0
    reserved: int = 0
    in_vain: int = 0
    decided: int = 0
    looks: int = 0
    messages: int = 0
    #: machine seconds reserved, of all there were
    reserved_share: float = 0.0
    waits: list[float] = field(default_factory=list)

    def row(self) -> str:
        """One line with all figures."""
        n = max(1, self.gangs)
        mean = sum(self.waits) / max(1, len(self.waits))
        return (
            f"clusters {self.clusters:3} load {self.load:.2f} gangs {self.gangs:5} done {self.done:5} "
            f"abroad {self.decided:4} offers/gang {self.offers / n:5.2f} (most {self.most_offers:2}) "
            f"in vain {self.in_vain / max(1, self.reserved):4.0%} of {self.reserved:4} "
            f"reserved {self.reserved_share:5.1%} of machine time, messages/gang {self.messages / n:6.1f} "
            f"looks/cluster/s {self.looks / self.clusters / SECONDS:4.2f} mean until done {mean:5.1f} s"
        )


SECONDS = 240


class Member(Host):
    """One cluster with its leader; its own users and workers are played."""

    def __init__(self, name: str, names: list[str], clock: ManualClock, crowded: bool, load: float, seed: int) -> None:
        self.name = name
        self.clock = clock
        #: of arrivals alone, so that two versions of the decisions are given the same gangs
        self.rng = random.Random(f"{seed} {name}")
        self.world = InMemoryCluster(SETTINGS.replace("cpus_max = 64.0", "cpus_max = 6400.0"))
        self.world.clock = self.world.store.clock = clock
        self.workers = [self.world.worker(f"n-{i:06d}") for i in range(MACHINES)]
        self.node = InMemoryController(self.world, f"{name}-0")
        self.term: Term = self.node.lead()
        self.rate = load * (CROWDED if crowded else IDLE) * (MACHINES // GANG) / RUN_S
        self.began: dict[tuple[str, str], float] = {}
        self.asked: dict[str, float] = {}
        #: not over yet, and how long those that are over took
        self.open: dict[str, float] = {}
        self.waits: list[float] = []
        others = [RemoteClusterSettings(n, {}) for n in names if n != name]
        told = LocalLoad(name, guests_team="blue", others=others)
        vocabulary = Vocabulary(KEYS, NAMES)
        base = parse(DEFAULTS, "defaults", vocabulary)
        values = parse({"overflow_after_s": 3, "look_s": 5}, "simulation", vocabulary, base)
        self.federation = Federation(values, self.world.settings, told, clock, random.Random(name), lambda work: work())

    def present(self) -> Term:
        """The term of this cluster's leader."""
        return self.term

    def leader(self) -> str | None:
        """The name of this cluster's only controller."""
        return self.node.name

    def cancel(self, ref: str) -> bool:
        """Cancel a job of this cluster; whether it was known."""
        return self.node.users.cancel(ref).status == 200

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """None: the only controller leads."""
        return None

    def second(self, last: bool) -> None:
        """Play one second: submissions, ends of tasks, and heartbeats."""
        now = self.clock.now
        while not last and self.rng.random() < self.rate:
            ident = self.world.accept(self.node, shape="ensemble", shards=GANG, cpus=15.0, pullGb=0.0)
            self.asked[ident] = self.open[ident] = now
            if self.rng.random() > self.rate:
                break
        for w in self.workers:
            for status in w.tasks.values():
                key = (w.name, f"{status.task} {status.attempt}")
                if status.state is TaskPhase.RUNNING and now - self.began.setdefault(key, now) >= RUN_S:
                    w.finish(status.task)
        self.world.settle(self.term, 1, 0.0)
        self.federation.step()
        for ident in [i for i in self.open if self.node.completed_jobs.get(i) is not None]:
            self.waits.append(now - self.open.pop(ident))


class InProcessLink:
    """A link that loses nothing; every message is written and read as on the wire."""

    def __init__(self, to: Member, count: Callable[[Message, Reply], None]) -> None:
        self.to = to
        self.count = count

    def tell(self, message: Message) -> Reply | None:
        """Deliver a message to another cluster and return its reply."""
        guest = self.to.federation.guest
        assert guest is not None
        answer = guest.answer(decode(msgspec.msgpack.encode(message)))
        self.count(message, answer)
        return decode_reply(msgspec.msgpack.encode(answer))


def simulate(clusters: int, load: float, seed: int, seconds: int = SECONDS) -> Result:
    """Play that many clusters for so many simulated seconds and return the figures."""
    clock = ManualClock()
    result = Result(clusters, load)
    names = [f"c{i:02d}" for i in range(clusters)]
    members = {n: Member(n, names, clock, i % 2 == 0, load, seed) for i, n in enumerate(names)}
    offers: dict[tuple[str, str], int] = {}

    def count(message: Message, answer: Reply) -> None:
        if isinstance(message, Probe):
            result.looks += 1
            return
        result.messages += 1
        if isinstance(message, ReservationRequest):
            key = (message.home, message.spec.id)
            offers[key] = offers.get(key, 0) + 1
            result.reserved += isinstance(answer, Reserved)

    for m in members.values():
        m.federation.links = {n: InProcessLink(o, count) for n, o in members.items() if o is not m}
        m.federation.take_host(m)
        m.federation.begin(m.term)
    kept = 0
    for second in range(seconds):
        clock.now += 1.0
        for m in members.values():
            m.second(second > seconds - 60)
            kept += sum(x.reserved_for is not None and not x.allocations for x in m.term.inventory.machines)
    for m in members.values():
        home = m.federation.home
        assert home is not None
        result.gangs += len(m.asked)
        result.in_vain += home.counts["in_vain"]
        result.decided += home.counts["decided"]
        result.done += len(m.waits)
        result.waits += m.waits
    result.offers = sum(offers.values())
    result.most_offers = max(offers.values(), default=0)
    result.reserved_share = kept / (seconds * MACHINES * clusters)
    return result
