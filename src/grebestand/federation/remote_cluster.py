"""The other clusters as home sees them: how to reach each, how well it answers, and what capacity it has free."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from ..cluster_state.jobs import Job
from ..log_events import LogEvent
from ..metrics.duration_sketches import DurationSketches
from .circuit_breaker import CircuitBreaker
from .messages import VERSION, FreeCapacity, Message, Probe, Reply
from .overflow_limits import OverflowLimits
from .rate_limits import TokenBucket
from .routing import RemoteLoad, fits

log = logging.getLogger(__name__)

#: probes sent a second, however many clusters there are
PROBES_PER_S = 2.0
#: rejections in a row after which a cluster is offered nothing for a while
REJECTIONS_TO_PAUSE = 4
#: the longest pause without offers to a cluster that rejects them
LONGEST_REJECTION_PAUSE_S = 30.0


class Link(Protocol):
    """The connection to another cluster."""

    def send(self, message: Message) -> Reply | None:
        """Send a message and return the reply, or None if there was none that can be relied on."""


@dataclass
class RemoteCluster:
    """Another cluster, as home sees it.

    Attributes:
        name: the cluster's name.
        link: the connection to it.
        breaker: whether it answers; while open, nothing is sent.
        load: its last answer to a probe.
        incompatible: it uses another version of the messages; it is offered nothing.
        probe_at: when it is probed next, by home's steady clock.
        offer_breaker: whether it accepts offers. A cluster that rejects one after the other is offered less, and still
            asked about the gangs that it runs.
    """

    name: str
    link: Link
    breaker: CircuitBreaker
    load: RemoteLoad | None = None
    incompatible: bool = False
    next_probe_at: float = -math.inf
    offer_breaker: CircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        breaker = self.breaker
        self.offer_breaker = CircuitBreaker(
            f"{self.name} (offers)",
            breaker.clock,
            breaker.rng,
            failures=REJECTIONS_TO_PAUSE,
            longest_s=LONGEST_REJECTION_PAUSE_S,
        )

    def has_capacity(self, job: Job, since: float) -> bool:
        """Return whether a probe answered at `since` or later found capacity for the whole gang."""
        return self.load is not None and self.load.received_at >= since and fits(job, self.load.capacity)

    def record_capacity(self, capacity: FreeCapacity, now: float) -> None:
        """Note the answer to a probe."""
        incompatible = capacity.version != VERSION
        if incompatible is not self.incompatible:
            self.incompatible = incompatible
            log.warning(
                LogEvent("cluster_version_differs", cluster=self.name, version=capacity.version, own_version=VERSION)
            )
        self.load = RemoteLoad(capacity, now)


class RemoteClusters:
    """All other clusters: sends them messages within a budget of bytes, and probes their free capacity."""

    def __init__(
        self,
        home: str,
        clusters: list[RemoteCluster],
        *,
        limits: OverflowLimits,
        clock: Callable[[], float],
        rng: random.Random,
        spawn: Callable[[Callable[[], None]], None],
        sketches: DurationSketches,
    ) -> None:
        """Start without any knowledge of their capacity.

        Args:
            home: the name of this cluster.
            clusters: the other clusters.
            limits: the operators' limits.
            clock: a steady clock, in seconds.
            rng: draws the intervals between probes.
            spawn: runs a function that waits for another cluster.
            sketches: takes the durations of answered and unanswered messages.
        """
        self.home = home
        self.by_name = {cluster.name: cluster for cluster in clusters}
        self.limits = limits
        self.clock = clock
        self.rng = rng
        self.spawn = spawn
        self.sketches = sketches
        self._bytes = TokenBucket(limits.bytes_per_s, clock)
        self._probes = TokenBucket(PROBES_PER_S, clock)
        #: names of clusters whose answer to a probe is awaited
        self._probing: set[str] = set()

    def send(self, cluster: RemoteCluster, message: Message) -> Reply | None:
        """Send a message; return the reply, or None if there is none or the budget of bytes is used up."""
        if not self._bytes.take(len(msgspec.msgpack.encode(message))):
            return None  # like a lost message: it is sent again
        sent_at = self.clock()
        reply = cluster.link.send(message)
        self.sketches.add("answer", self.clock() - sent_at)
        if reply is None:
            cluster.breaker.record_failure("no answer")
        else:
            cluster.breaker.record_success()
        return reply

    def probe_due(self, now: float) -> None:
        """Probe the clusters whose turn it is, so that a gang is offered to the likeliest one first."""
        for cluster in sorted(self.by_name.values(), key=lambda cluster: cluster.next_probe_at):
            if now < cluster.next_probe_at or self._probes.available() < 1.0:
                return
            if cluster.name not in self._probing and cluster.breaker.allows_request():
                self._probes.take(1.0)
                cluster.next_probe_at = now + self.limits.probe_interval_s * (0.75 + 0.5 * self.rng.random())
                self._probing.add(cluster.name)
                self.spawn(lambda cluster=cluster: self.probe(cluster))  # type: ignore[misc]

    def probe(self, cluster: RemoteCluster) -> None:
        """Ask a cluster for its free capacity, and note the answer."""
        try:
            reply = self.send(cluster, Probe(self.home, VERSION))
        finally:
            self._probing.discard(cluster.name)
        if isinstance(reply, FreeCapacity):
            cluster.record_capacity(reply, self.clock())
