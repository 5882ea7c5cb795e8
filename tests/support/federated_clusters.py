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
WIDE_LIMIT_SETTINGS = SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0")
#: rounds of 1 s after which a leader lease has expired
LEADER_LEASE_ROUNDS = 13


class FastClock(ManualClock):
    """The monotonic clock of another host, with another origin; it runs faster by the largest allowed drift."""

    def __init__(self, base: ManualClock) -> None:
        self.base = base

    @property
    def now(self) -> float:
        return self.base.now * 1.0005 + 40_000.0

    @now.setter
    def now(self, value: float) -> None:
        """Do nothing: only the base clock is advanced."""


class FederatedCluster:
    """One cluster with its present leader.

    Attributes:
        name: The cluster's name.
        cluster: The cluster's state service, cloud and workers.
        workers: The workers of all machines.
        rng: Draws the delays of federation.
        links: The links to other clusters by name.
        leader_count: The number of leaders so far.
        probes_enabled: Whether home probes other clusters.
        controller: The present leader.
        term: The present leader's term.
        home: The part of the leader that offers gangs to other clusters.
        guest: The part of the leader that accepts gangs of other clusters.
    """

    def __init__(self, name: str, clock: ManualClock, machines: int) -> None:
        self.name = name
        self.cluster = InMemoryCluster(WIDE_LIMIT_SETTINGS)
        self.cluster.clock = clock
        self.cluster.store.clock = clock
        self.workers = [self.cluster.add_worker(f"n-{i:06d}") for i in range(machines)]
        self.rng = random.Random(name)
        self.links: dict[str, LossyLink] = {}
        self.leader_count = 0
        self.probes_enabled = True
        self.elect_leader()
        self.cluster.run_rounds(self.term, 3)

    def elect_leader(self) -> None:
        """Start a new controller that leads."""
        self.controller = InMemoryController(self.cluster, f"{self.name}-{self.leader_count}")
        self.leader_count += 1
        self.term: Term = self.controller.lead()
        self.start_federation()

    def start_federation(self) -> None:
        """Create home and guest for the present term, with the present links."""
        clusters = [
            RemoteCluster(name, link, CircuitBreaker(name, self.cluster.clock, self.rng))
            for name, link in self.links.items()
        ]
        self.home = HomeCluster(self.name, self.term, clusters, OverflowLimits(lambda job, now: 5.0), self.rng)
        if not self.probes_enabled:
            self.home.remotes.probe_due = lambda now: None  # type: ignore[method-assign]
        self.guest = GuestCluster(
            self.name, self.term, GuestLimits(frozenset({"home", "east", "west"}), "blue"),
            lambda job_id: self.controller.job_api.cancel(job_id).status == 200,
        )  # fmt: skip

    def run_round(self) -> None:
        """Run one round of heartbeats and of the periodic steps of the leader, home and guest."""
        self.cluster.run_rounds(self.term, 1, 0.0)
        self.home.step()
        self.guest.step()


class LossyLink:
    """A link to another cluster that can lose messages.

    Attributes:
        target: The other cluster.
        select_loss: Returns for each message what is lost: "request", "answer", or nothing if empty.
        sent_messages: The messages that were delivered, without probes.
    """

    def __init__(self, target: FederatedCluster) -> None:
        self.target = target
        self.select_loss: Callable[[Message], str] = lambda message: ""
        self.sent_messages: list[Message] = []

    def send(self, message: Message) -> Reply | None:
        """Encode, decode and deliver a message; return its reply, or None if the message or the reply is lost."""
        lost = self.select_loss(message)
        if lost == "request":
            return None
        received = messages.decode(msgspec.msgpack.encode(message))
        if not isinstance(received, Probe):
            self.sent_messages.append(received)
        reply = self.target.guest.handle_message(received)
        return None if lost == "answer" else messages.decode_reply(msgspec.msgpack.encode(reply))


class FederatedClusters:
    """A home cluster without free capacity, other clusters with free capacity, and a gang that waits at home.

    Attributes:
        clock: The clock that tests advance.
        home: The home cluster.
        others: The other clusters.
        filler: The id of the job that uses the capacity of home.
        gang: The id of the gang.
    """

    def __init__(self, *others: str, probes_enabled: bool = True, fast_clocks: bool = False) -> None:
        """Start the clusters and submit the gang.

        Args:
            *others: The names of the other clusters; one cluster, "east", if none is given.
            probes_enabled: Whether home probes other clusters; without probes it offers the gang to two at once.
            fast_clocks: Whether the clocks of the other clusters run faster, by the largest allowed drift.
        """
        self.clock = ManualClock()
        self.home = FederatedCluster("home", self.clock, 3)
        self.others = [
            FederatedCluster(name, FastClock(self.clock) if fast_clocks else self.clock, 4)
            for name in others or ("east",)
        ]
        self.home.links = {other.name: LossyLink(other) for other in self.others}
        self.home.probes_enabled = probes_enabled
        self.home.start_federation()
        self.filler = self.home.cluster.submit_job(self.home.controller, shards=3, cpus=15.0, rank="critical")
        self.advance(6)
        self.gang = self.home.cluster.submit_job(self.home.controller, shape="ensemble", shards=3, cpus=15.0)

    @property
    def clusters(self) -> list[FederatedCluster]:
        return [self.home, *self.others]

    @property
    def east(self) -> FederatedCluster:
        return self.others[0]

    def advance(self, rounds: int) -> None:
        """Run rounds at intervals of 1 s, and check the rules after each."""
        for _ in range(rounds):
            self.clock.now += 1.0
            for cluster in self.clusters:
                cluster.run_round()
            self.check()

    def fail_over(self, *failed: FederatedCluster) -> None:
        """End the leaders of these clusters, and start new leaders when the leader leases have expired.

        The leaders of other clusters go on meanwhile.
        """
        for _ in range(LEADER_LEASE_ROUNDS):
            self.clock.now += 1.0
            for cluster in self.clusters:
                if cluster not in failed:
                    cluster.run_round()
        for cluster in failed:
            cluster.elect_leader()
        self.check()

    def gang_tasks(self) -> dict[str, list[str]]:
        """Return by cluster the gang's running tasks, which have another job id outside the home cluster."""
        found = {}
        for cluster in self.clusters:
            names = {self.gang} if cluster is self.home else {r.job_id for r in cluster.guest.records.values()}
            found[cluster.name] = [
                task
                for worker in cluster.workers
                for task in worker.running_tasks()
                if task.rpartition("/")[0] in names
            ]
        return found

    def check(self) -> None:
        """Check that the gang's tasks run in at most one cluster, each at most once."""
        if not hasattr(self, "gang"):
            return
        running = {name: tasks for name, tasks in self.gang_tasks().items() if tasks}
        assert len(running) <= 1, running
        assert all(len(tasks) == len(set(tasks)) <= 3 for tasks in running.values())

    def running_cluster(self) -> str | None:
        """Return the name of the cluster that runs all tasks of the gang, or None."""
        whole = [name for name, tasks in self.gang_tasks().items() if len(tasks) == 3]
        return whole[0] if whole else None

    def finish_tasks(self, cluster: FederatedCluster) -> None:
        """Let all running tasks of a cluster exit successfully."""
        for worker in cluster.workers:
            for task in worker.running_tasks():
                worker.finish_task(task)

    def gang_state(self) -> str:
        """Return the state of the gang in a response to its user."""
        return str(msgspec.json.decode(self.home.controller.job_api.poll(self.gang).body)["tide"])

    def advance_until(self, done: Callable[[], bool], seconds: int = 120) -> None:
        """Run rounds at intervals of 1 s until a condition holds.

        Raises:
            AssertionError: The condition didn't hold within `seconds` seconds.
        """
        for _ in range(seconds):
            if done():
                return
            self.advance(1)
        raise AssertionError(f"expected the condition to hold within {seconds} s")


def reservation_request(clusters: FederatedClusters, **fields: Any) -> ReservationRequest:
    """Return a request of home for the reservation of a new gang of two tasks."""
    spec = decode_spec(clusters.home.cluster.submission_body(shape="ensemble", shards=2, cpus=15.0, **fields))
    return ReservationRequest("home", spec, ["home"])
