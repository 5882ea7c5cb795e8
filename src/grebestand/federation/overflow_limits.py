"""The operators' limits on the offers and messages that a home cluster sends to other clusters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..cluster_state.jobs import Job
from .messages import MAX_MESSAGE_BYTES
from .routing import PreferenceFunction, prefer_free_capacity

#: Default limit on the clusters to which one gang is offered at a time.
CLUSTERS_AT_ONCE = 2
#: Default limit on the offers of one gang; after that, the gang waits at home.
OFFERS_PER_GANG = 12


@dataclass
class OverflowLimits:
    """Values of the operators' settings at the beginning of a term.

    Attributes:
        overflow_after_s: Returns how long a gang waits at home before it is offered, in seconds, given the gang and the
            time of the steady clock.
        max_offers_in_flight: At most this many gangs are offered or assigned to other clusters at a time.
        offers_per_s: Offers sent a second, to all clusters together.
        max_clusters_at_once: At most this many clusters are offered the same gang at a time.
        max_offers_per_gang: At most this many offers are sent for a gang; after that, the gang waits at home.
        retry_share: Retries allowed for each message sent for the first time, in addition to one a second.
        bytes_per_s: Bytes of messages sent a second, to all clusters together.
        probe_interval_s: Mean interval between two probes of a cluster's free capacity, in seconds.
        prefer: Returns how much a cluster is preferred for a gang.
    """

    overflow_after_s: Callable[[Job, float], float]
    max_offers_in_flight: int = 8
    offers_per_s: float = 4.0
    max_clusters_at_once: int = CLUSTERS_AT_ONCE
    max_offers_per_gang: int = OFFERS_PER_GANG
    retry_share: float = 0.3
    bytes_per_s: float = 64.0 * MAX_MESSAGE_BYTES
    probe_interval_s: float = 5.0
    prefer: PreferenceFunction = prefer_free_capacity
