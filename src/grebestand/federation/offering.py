"""Planning of offers: which gangs are offered to other clusters, when, and to which clusters."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from ..cluster_state.jobs import Job
from ..leader.term import Term
from .overflow_limits import OverflowLimits
from .rate_limits import TokenBucket
from .remote_cluster import RemoteCluster
from .remote_gang import RemoteGang
from .routing import load_after_offer, preference
from .state_machines import HomeState

#: Interval between two searches through all waiting gangs, in seconds.
SEARCH_INTERVAL_S = 0.5
#: A cluster's free capacity counts as known for this many probe intervals, so that one probe may be lost.
CAPACITY_VALID_PROBES = 2


@dataclass(frozen=True)
class GangOffer:
    """A gang to offer now, and the clusters to offer it to, the most preferred one first."""

    gang: RemoteGang
    clusters: list[RemoteCluster]


class OfferPlanner:
    """Chooses the gangs to offer, within the limits that protect other clusters from floods of offers."""

    def __init__(self, term: Term, clusters: dict[str, RemoteCluster], limits: OverflowLimits) -> None:
        """Start a term without offers in flight.

        Args:
            term: The leader's term.
            clusters: The other clusters, by name.
            limits: Limits from the operators' settings.
        """
        self.term = term
        self.clusters = clusters
        self.limits = limits
        self._offer_rate = TokenBucket(limits.offers_per_s, term.clock)
        self._next_search_at = -math.inf

    def is_eligible(self, job: Job, now: float) -> bool:
        """Return whether a gang may be offered: all its tasks wait at home, for at least `overflow_after_s`.

        Args:
            job: The job to check.
            now: Time of the steady clock, in seconds.
        """
        return (
            job.is_gang
            and job.is_live
            and not job.runs_remotely
            and not job.is_guest
            and job.spec.zone is None
            and not job.allocations
            and job.startable_count() == job.spec.tasks
            and now - job.accepted_at >= self.limits.overflow_after_s(job, now)
        )

    def due_offers(self, gangs: dict[str, RemoteGang], now: float) -> Iterator[GangOffer]:
        """Yield the offers to send now, those of the gangs that have waited longest first.

        The caller must start each offer before it requests the next one.

        Args:
            gangs: The gangs that were offered or are assigned to other clusters, by job id.
            now: Time of the steady clock, in seconds.
        """
        if not self.clusters or now < self._next_search_at:
            return
        self._next_search_at = now + SEARCH_INTERVAL_S
        in_flight = sum(1 for gang in gangs.values() if gang.state is not HomeState.WAITING)
        for job in self._longest_waiting_first(now):
            gang = gangs.get(job.spec.id) or RemoteGang(job)
            if not self._may_be_offered(gang, now):
                continue
            if in_flight >= self.limits.max_offers_in_flight:
                return
            chosen = self._choose_clusters(job, now)
            if not chosen or not self._offer_rate.take(len(chosen)):
                return
            for cluster in chosen:
                if cluster.load is not None:
                    # Deducted, so that the next gang is not offered the same capacity.
                    cluster.load = load_after_offer(cluster.load, job)
            in_flight += 1
            yield GangOffer(gang, chosen)

    def _longest_waiting_first(self, now: float) -> list[Job]:
        jobs = [job for job in self.term.registry.waiting_jobs() if self.is_eligible(job, now)]
        jobs.sort(key=lambda job: (job.accepted_at, job.spec.id))
        return jobs

    def _may_be_offered(self, gang: RemoteGang, now: float) -> bool:
        """Return whether the gang has offers left, and its pause is over or a probe has found capacity for it."""
        if gang.state is not HomeState.WAITING or gang.offers >= self.limits.max_offers_per_gang:
            return False
        return gang.next_step_at <= now or self._capacity_found_since_offer(gang, now)

    def _capacity_found_since_offer(self, gang: RemoteGang, now: float) -> bool:
        """Return whether a reply to a probe since the last offer shows capacity for the gang."""
        return gang.offers > 0 and any(
            not cluster.incompatible
            and cluster.load is not None
            and cluster.load.received_at > gang.offered_at
            and cluster.has_capacity(gang.job, now - self.limits.probe_interval_s)
            for cluster in self.clusters.values()
        )

    def _choose_clusters(self, job: Job, now: float) -> list[RemoteCluster]:
        """Return the clusters to which the gang is offered at the same time.

        If the first has known capacity, it is the only one: a second reservation would nearly always go unused.
        """
        known_since = now - CAPACITY_VALID_PROBES * self.limits.probe_interval_s
        chosen: list[RemoteCluster] = []
        for cluster in self._ranked(job):
            has_capacity = cluster.has_capacity(job, known_since)
            # The order of the conditions matters: after a pause, `allows_request` uses up the one trial request.
            if not cluster.breaker.allows_request() or not (has_capacity or cluster.offer_breaker.allows_request()):
                continue
            chosen.append(cluster)
            if len(chosen) >= self.limits.max_clusters_at_once or (has_capacity and len(chosen) == 1):
                break
        return chosen

    def _ranked(self, job: Job) -> list[RemoteCluster]:
        """Return the compatible clusters, the most preferred first, and by name if equally preferred."""
        now = self.term.clock()
        return sorted(
            (cluster for cluster in self.clusters.values() if not cluster.incompatible),
            key=lambda cluster: (-preference(self.limits.prefer, job, cluster.load, now), cluster.name),
        )
