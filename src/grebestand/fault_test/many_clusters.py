"""Simulates how the number of offers and reservations grows with the number of clusters and with load.

The leaders of all clusters run in one process, on one simulated clock and over links that never fail. Half of the
clusters are overloaded, half have free capacity. Gangs arrive at random, and each running gang occupies three machines.
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

#: Number of machines in each cluster.
MACHINES = 6
#: Number of tasks of each gang; each task occupies one machine.
GANG_TASKS = 3
#: Run time of each task, in seconds.
TASK_RUN_TIME_S = 15.0
#: Submitted work of an overloaded and of a lightly loaded cluster, as a share of the capacity of its machines.
OVERLOADED_SHARE, LIGHT_SHARE = 1.6, 0.3
#: Duration of the simulation, in simulated seconds.
DURATION_S = 240
#: No gangs arrive in this time before the end, so that most gangs have completed at the end, in simulated seconds.
NO_ARRIVALS_S = 60


@dataclass
class SimulationResult:
    """The statistics of one simulation.

    Attributes:
        clusters: Number of clusters.
        load: Factor by which the arrival rates of all clusters are multiplied.
        gangs: Number of submitted gangs.
        completed: Number of gangs that completed.
        offers: Number of offers of all gangs to all clusters.
        max_offers: Largest number of offers of one gang.
        reservations: Number of offers that were answered by a reservation.
        unused_reservations: Number of reservations that were released without a remote assignment.
        remote_assignments: Number of gangs that were assigned to another cluster.
        probes: Number of probe messages.
        messages: Number of all other messages.
        reserved_share: Share of the clusters' machine time that was reserved without a task.
        completion_times_s: Time from the submission to the completion of each completed gang, in simulated seconds.
    """

    clusters: int
    load: float
    gangs: int = 0
    completed: int = 0
    offers: int = 0
    max_offers: int = 0
    reservations: int = 0
    unused_reservations: int = 0
    remote_assignments: int = 0
    probes: int = 0
    messages: int = 0
    reserved_share: float = 0.0
    completion_times_s: list[float] = field(default_factory=list)

    def summary(self) -> str:
        """Return one line with all statistics."""
        gangs = max(1, self.gangs)
        mean = sum(self.completion_times_s) / max(1, len(self.completion_times_s))
        return (
            f"clusters {self.clusters:3} load {self.load:.2f} gangs {self.gangs:5} done {self.completed:5} "
            f"abroad {self.remote_assignments:4} offers/gang {self.offers / gangs:5.2f} (most {self.max_offers:2}) "
            f"in vain {self.unused_reservations / max(1, self.reservations):4.0%} of {self.reservations:4} "
            f"reserved {self.reserved_share:5.1%} of machine time, messages/gang {self.messages / gangs:6.1f} "
            f"looks/cluster/s {self.probes / self.clusters / DURATION_S:4.2f} mean until done {mean:5.1f} s"
        )


class SimulatedFederationMember(Host):
    """One cluster of the federation, with its leader and with simulated users and workers."""

    def __init__(
        self, name: str, cluster_names: list[str], clock: ManualClock, overloaded: bool, load: float, seed: int
    ) -> None:
        """Create the cluster and elect its only controller.

        Args:
            name: Name of the cluster.
            cluster_names: Names of all clusters of the federation.
            clock: The simulated clock that all clusters share.
            overloaded: Whether more work is submitted than the cluster's machines can run.
            load: Factor by which the arrival rate is multiplied.
            seed: Seed of the arrivals of gangs.
        """
        self.name = name
        self.clock = clock
        #: Used for arrivals only, so that two versions of the scheduler receive the same gangs.
        self.rng = random.Random(f"{seed} {name}")
        self.cluster = InMemoryCluster(SETTINGS.replace("cpus_max = 64.0", "cpus_max = 6400.0"))
        self.cluster.clock = self.cluster.store.clock = clock
        self.workers = [self.cluster.add_worker(f"n-{i:06d}") for i in range(MACHINES)]
        self.controller = InMemoryController(self.cluster, f"{name}-0")
        self.term: Term = self.controller.lead()
        self.arrivals_per_s = (
            load * (OVERLOADED_SHARE if overloaded else LIGHT_SHARE) * (MACHINES // GANG_TASKS) / TASK_RUN_TIME_S
        )
        self.task_started_at: dict[tuple[str, str], float] = {}
        #: Submission times by job id: of all gangs, and of the gangs that have not completed.
        self.submitted_at: dict[str, float] = {}
        self.unfinished: dict[str, float] = {}
        self.completion_times_s: list[float] = []
        others = [RemoteClusterSettings(other, {}) for other in cluster_names if other != name]
        settings = LocalSettings(name, guests_team="blue", others=others)
        vocabulary = Vocabulary(KEYS, NAMES)
        defaults = parse(DEFAULTS, "defaults", vocabulary)
        values = parse({"overflow_after_s": 3, "look_s": 5}, "simulation", vocabulary, defaults)
        self.federation = Federation(
            values, self.cluster.settings, settings, clock, random.Random(name), lambda work: work()
        )

    def leading_term(self) -> Term:
        """Return the term of this cluster's leader."""
        return self.term

    def leader(self) -> str | None:
        """Return the name of this cluster's only controller."""
        return self.controller.name

    def cancel(self, ref: str) -> bool:
        """Cancel a job of this cluster, and return whether the request succeeded."""
        return self.controller.job_api.cancel(ref).status == 200

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """Return None: the only controller leads, so that no message is forwarded."""
        return None

    def simulate_second(self, arrivals: bool) -> None:
        """Simulate one second: submissions, ends of tasks, heartbeats, and one step of the leader and the federation.

        Args:
            arrivals: Whether gangs may be submitted in this second.
        """
        now = self.clock.now
        while arrivals and self.rng.random() < self.arrivals_per_s:
            job_id = self.cluster.submit_job(
                self.controller, shape="ensemble", shards=GANG_TASKS, cpus=15.0, pullGb=0.0
            )
            self.submitted_at[job_id] = self.unfinished[job_id] = now
            if self.rng.random() > self.arrivals_per_s:
                break
        for worker in self.workers:
            for status in worker.tasks.values():
                task_key = (worker.name, f"{status.task} {status.attempt}")
                if (
                    status.state is TaskPhase.RUNNING
                    and now - self.task_started_at.setdefault(task_key, now) >= TASK_RUN_TIME_S
                ):
                    worker.finish_task(status.task)
        self.cluster.run_rounds(self.term, 1, 0.0)
        self.federation.step()
        for job_id in [job_id for job_id in self.unfinished if self.controller.completed_jobs.get(job_id) is not None]:
            self.completion_times_s.append(now - self.unfinished.pop(job_id))


class InProcessLink:
    """A link that loses no message; each message and reply is encoded and decoded as on a network."""

    def __init__(self, target: SimulatedFederationMember, record: Callable[[Message, Reply], None]) -> None:
        self.target = target
        self.record = record

    def send(self, message: Message) -> Reply | None:
        """Deliver a message to the target cluster and return the reply."""
        guest = self.target.federation.guest
        assert guest is not None
        reply = guest.handle_message(decode(msgspec.msgpack.encode(message)))
        self.record(message, reply)
        return decode_reply(msgspec.msgpack.encode(reply))


def simulate(clusters: int, load: float, seed: int, duration_s: int = DURATION_S) -> SimulationResult:
    """Simulate a federation.

    Args:
        clusters: Number of clusters; every second one is overloaded.
        load: Factor by which the arrival rates of all clusters are multiplied.
        seed: Seed of the arrivals of gangs.
        duration_s: Duration, in simulated seconds.
    """
    clock = ManualClock()
    result = SimulationResult(clusters, load)
    names = [f"c{i:02d}" for i in range(clusters)]
    members = {
        name: SimulatedFederationMember(name, names, clock, i % 2 == 0, load, seed) for i, name in enumerate(names)
    }
    offers: dict[tuple[str, str], int] = {}

    def record(message: Message, reply: Reply) -> None:
        if isinstance(message, Probe):
            result.probes += 1
            return
        result.messages += 1
        if isinstance(message, ReservationRequest):
            key = (message.home, message.spec.id)
            offers[key] = offers.get(key, 0) + 1
            result.reservations += isinstance(reply, Reserved)

    for member in members.values():
        others = {name: other for name, other in members.items() if other is not member}
        member.federation.links = {name: InProcessLink(other, record) for name, other in others.items()}
        member.federation.attach_host(member)
        member.federation.begin_term(member.term)
    reserved_machine_s = 0
    for second in range(duration_s):
        clock.now += 1.0
        for member in members.values():
            member.simulate_second(second <= duration_s - NO_ARRIVALS_S)
            reserved_machine_s += sum(
                machine.reserved_for is not None and not machine.allocations
                for machine in member.term.inventory.machines
            )
    for member in members.values():
        home = member.federation.home
        assert home is not None
        result.gangs += len(member.submitted_at)
        result.unused_reservations += home.counts["in_vain"]
        result.remote_assignments += home.counts["decided"]
        result.completed += len(member.completion_times_s)
        result.completion_times_s += member.completion_times_s
    result.offers = sum(offers.values())
    result.max_offers = max(offers.values(), default=0)
    result.reserved_share = reserved_machine_s / (duration_s * MACHINES * clusters)
    return result
