"""The operators' limits on what a home cluster offers and sends to others."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..cluster_state.jobs import Job
from .messages import MAX_MESSAGE_BYTES
from .routing import PreferenceFunction, prefer_free_capacity

#: clusters that one gang is offered to at a time
CLUSTERS_AT_ONCE = 2
#: offers of one gang after which it is left at home for good
OFFERS_PER_GANG = 12


@dataclass
class OverflowLimits:
    """The operators' values at the beginning of a term.

    Attributes:
        overflow_after_s: for how many seconds a gang waits at home before it is offered, by the gang and the time.
        max_offers_in_flight: gangs that may be offered or abroad at a time.
        offers_per_s: offers sent a second, to all clusters together.
        max_clusters_at_once: clusters that a gang is offered to at a time.
        max_offers_per_gang: offers of a gang until it is left at home for good.
        retry_share: retries for each message sent for the first time, beside one a second.
        bytes_per_s: bytes of messages sent a second.
        probe_interval_s: seconds between two probes of a cluster's free capacity.
        prefer: how much a cluster is preferred for a gang.
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
