"""How offers and reservations grow with the number of clusters and with load.

Many leaders decide in one process, on one simulated clock and over links that never fail. Half of the clusters are
crowded, half have free capacity. Gangs arrive at random; a running gang takes three machines.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..features.hooks import Host
from ..federation.feature import DEFAULTS, KEYS, NAMES, Federation, LocalSettings, RemoteClusterSettings
from ..federation.messages import Message, Probe, Reply, ReservationRequest, Reserved, decode, decode_reply
from ..leader.term import Term
from ..settings.expressions import Vocabulary, parse
from ..simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController, ManualClock
from ..wire.workers import TaskPhase

#: machines of each cluster
MACHINES = 6
#: tasks of each gang, each of which takes a machine
GANG_TASKS = 3
#: run time of each task, in seconds
RUN_S = 15.0
#: the load of crowded and of idle clusters, as a share of what their machines can run
CROWDED_LOAD, IDLE_LOAD = 1.6, 0.3
#: the simulated time, in seconds
SECONDS = 240
#: no gangs arrive in the last seconds, so that most are done at the end
QUIET_END_S = 60


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
        gangs = max(1, self.gangs)
        mean = sum(self.waits) / max(1, len(self.waits))
        return (
            f"clusters {self.clusters:3} load {self.load:.2f} gangs {self.gangs:5} done {self.done:5} "
            f"abroad {self.decided:4} offers/gang {self.offers / gangs:5.2f} (most {self.most_offers:2}) "
            f"in vain {self.in_vain / max(1, self.reserved):4.0%} of {self.reserved:4} "
            f"reserved {self.reserved_share:5.1%} of machine time, messages/gang {self.messages / gangs:6.1f} "
            f"looks/cluster/s {self.looks / self.clusters / SECONDS:4.2f} mean until done {mean:5.1f} s"
        )


class Member(Host):
    """One cluster with its leader; its own users and workers are played."""

    def __init__(self, name: str, names: list[str], clock: ManualClock, crowded: bool, load: float, seed: int) -> None:
        self.name = name
        self.clock = clock
        #: of arrivals alone, so that two versions of the decisions are given the same gangs
        self.rng = random.Random(f"{seed} {name}")
        self.world = InMemoryCluster(SETTINGS.replace("cpus_max = 64.0", "cpus_max = 6400.0"))
        self.world.clock = self.world.store.clock = clock
        self.workers = [self.world.add_worker(f"n-{i:06d}") for i in range(MACHINES)]
        self.node = InMemoryController(self.world, f"{name}-0")
        self.term: Term = self.node.lead()
        self.rate = load * (CROWDED_LOAD if crowded else IDLE_LOAD) * (MACHINES // GANG_TASKS) / RUN_S
        self.began: dict[tuple[str, str], float] = {}
        self.asked: dict[str, float] = {}
        #: not over yet, and how long those that are over took
        self.open: dict[str, float] = {}
        self.waits: list[float] = []
        others = [RemoteClusterSettings(n, {}) for n in names if n != name]
        settings = LocalSettings(name, guests_team="blue", others=others)
        vocabulary = Vocabulary(KEYS, NAMES)
        base = parse(DEFAULTS, "defaults", vocabulary)
        values = parse({"overflow_after_s": 3, "look_s": 5}, "simulation", vocabulary, base)
        self.federation = Federation(
            values, self.world.settings, settings, clock, random.Random(name), lambda work: work()
        )

    def leading_term(self) -> Term:
        """The term of this cluster's leader."""
        return self.term

    def leader(self) -> str | None:
        """The name of this cluster's only controller."""
        return self.node.name

    def cancel(self, ref: str) -> bool:
        """Cancel a job of this cluster; whether it was known."""
        return self.node.job_api.cancel(ref).status == 200

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """None: the only controller leads."""
        return None

    def second(self, last: bool) -> None:
        """Play one second: submissions, ends of tasks, and heartbeats."""
        now = self.clock.now
        while not last and self.rng.random() < self.rate:
            job_id = self.world.submit_job(self.node, shape="ensemble", shards=GANG_TASKS, cpus=15.0, pullGb=0.0)
            self.asked[job_id] = self.open[job_id] = now
            if self.rng.random() > self.rate:
                break
        for worker in self.workers:
            for status in worker.tasks.values():
                key = (worker.name, f"{status.task} {status.attempt}")
                if status.state is TaskPhase.RUNNING and now - self.began.setdefault(key, now) >= RUN_S:
                    worker.finish_task(status.task)
        self.world.run_rounds(self.term, 1, 0.0)
        self.federation.step()
        for job_id in [job_id for job_id in self.open if self.node.completed_jobs.get(job_id) is not None]:
            self.waits.append(now - self.open.pop(job_id))


class InProcessLink:
    """A link that loses nothing; every message is written and read as on the wire."""

    def __init__(self, to: Member, count: Callable[[Message, Reply], None]) -> None:
        self.to = to
        self.count = count

    def send(self, message: Message) -> Reply | None:
        """Deliver a message to another cluster and return its reply."""
        guest = self.to.federation.guest
        assert guest is not None
        answer = guest.handle_message(decode(msgspec.msgpack.encode(message)))
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

    for member in members.values():
        others = {name: other for name, other in members.items() if other is not member}
        member.federation.links = {name: InProcessLink(other, count) for name, other in others.items()}
        member.federation.attach_host(member)
        member.federation.begin_term(member.term)
    reserved_machine_s = 0
    for second in range(seconds):
        clock.now += 1.0
        for member in members.values():
            member.second(second > seconds - QUIET_END_S)
            reserved_machine_s += sum(
                machine.reserved_for is not None and not machine.allocations
                for machine in member.term.inventory.machines
            )
    for member in members.values():
        home = member.federation.home
        assert home is not None
        result.gangs += len(member.asked)
        result.in_vain += home.counts["in_vain"]
        result.decided += home.counts["decided"]
        result.done += len(member.waits)
        result.waits += member.waits
    result.offers = sum(offers.values())
    result.most_offers = max(offers.values(), default=0)
    result.reserved_share = reserved_machine_s / (seconds * MACHINES * clusters)
    return result
