"""State that the home cluster keeps about other clusters: links, circuit breakers and their last known capacity."""

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

#: Limit on probes sent a second, to all clusters together.
PROBES_PER_S = 2.0
#: Consecutive rejections after which offers to a cluster are paused.
REJECTIONS_TO_PAUSE = 4
#: Limit on the mean pause without offers to a cluster that rejects offers, in seconds.
LONGEST_REJECTION_PAUSE_S = 30.0


class Link(Protocol):
    """The connection to another cluster."""

    def send(self, message: Message) -> Reply | None:
        """Send a message and return the reply, or None if no valid reply was received."""


@dataclass
class RemoteCluster:
    """What the home cluster knows about another cluster.

    Attributes:
        name: Name of the other cluster.
        link: Connection to the other cluster.
        breaker: Circuit breaker for all messages; opens when the other cluster does not reply.
        load: The last reply to a probe, or None if there was none.
        incompatible: Whether the other cluster uses another version of the message format; if so, it gets no offers.
        next_probe_at: When the next probe is due, by home's steady clock, in seconds.
        offer_breaker: Circuit breaker for offers; opens when the other cluster rejects several in a row. Status queries
            about gangs that the other cluster runs are still sent then.
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
            failures_to_open=REJECTIONS_TO_PAUSE,
            longest_pause_s=LONGEST_REJECTION_PAUSE_S,
        )

    def has_capacity(self, job: Job, since: float) -> bool:
        """Return whether a probe has found capacity for the whole gang.

        Args:
            job: The gang.
            since: Replies to probes received before this time of home's steady clock are ignored, in seconds.
        """
        return self.load is not None and self.load.received_at >= since and fits(job, self.load.capacity)

    def record_capacity(self, capacity: FreeCapacity, now: float) -> None:
        """Record the reply to a probe.

        Args:
            capacity: The reply.
            now: Time of home's steady clock, in seconds.
        """
        incompatible = capacity.version != VERSION
        if incompatible is not self.incompatible:
            self.incompatible = incompatible
            log.warning(
                LogEvent("cluster_version_differs", cluster=self.name, version=capacity.version, own_version=VERSION)
            )
        self.load = RemoteLoad(capacity, now)


class RemoteClusters:
    """All other clusters: sends them messages within a rate limit in bytes, and probes their free capacity."""

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
        """Start with no known capacity of other clusters.

        Args:
            home: Name of this cluster.
            clusters: The other clusters.
            limits: Limits from the operators' settings.
            clock: Steady clock, in seconds.
            rng: Source of random intervals between probes.
            spawn: Runs a function that waits for a reply of another cluster.
            sketches: Receives the duration of each message exchange, with or without a reply.
        """
        self.home = home
        self.by_name = {cluster.name: cluster for cluster in clusters}
        self.limits = limits
        self.clock = clock
        self.rng = rng
        self.spawn = spawn
        self.sketches = sketches
        self._bytes_rate = TokenBucket(limits.bytes_per_s, clock)
        self._probe_rate = TokenBucket(PROBES_PER_S, clock)
        #: Names of clusters to which a probe is in flight.
        self._probing: set[str] = set()

    def send(self, cluster: RemoteCluster, message: Message) -> Reply | None:
        """Send a message to a cluster and record in its circuit breaker whether it replied.

        Args:
            cluster: The receiver.
            message: The message.

        Returns:
            The reply, or None if there is no reply or the message was not sent because of the rate limit in bytes.
        """
        if not self._bytes_rate.take(len(msgspec.msgpack.encode(message))):
            return None  # callers retry as after a lost message
        sent_at = self.clock()
        reply = cluster.link.send(message)
        self.sketches.add("answer", self.clock() - sent_at)
        if reply is None:
            cluster.breaker.record_failure("no answer")
        else:
            cluster.breaker.record_success()
        return reply

    def probe_due(self, now: float) -> None:
        """Probe the clusters whose next probe is due, to offer a gang first to the likeliest to accept."""
        for cluster in sorted(self.by_name.values(), key=lambda cluster: cluster.next_probe_at):
            if now < cluster.next_probe_at or self._probe_rate.available() < 1.0:
                return
            if cluster.name not in self._probing and cluster.breaker.allows_request():
                self._probe_rate.take(1.0)
                cluster.next_probe_at = now + self.limits.probe_interval_s * (0.75 + 0.5 * self.rng.random())
                self._probing.add(cluster.name)
                self.spawn(lambda cluster=cluster: self.probe(cluster))  # type: ignore[misc]

    def probe(self, cluster: RemoteCluster) -> None:
        """Request a cluster's free capacity and record the reply."""
        try:
            reply = self.send(cluster, Probe(self.home, VERSION))
        finally:
            self._probing.discard(cluster.name)
        if isinstance(reply, FreeCapacity):
            cluster.record_capacity(reply, self.clock())
