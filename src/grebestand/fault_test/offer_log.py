"""Counts the offers of gangs to other clusters in controller logs, for display only: no verdict depends on them."""

from __future__ import annotations

from collections.abc import Iterable

from ..log_events import parse_log_event
from ..metrics.duration_sketches import DurationSketches

#: Prefix of the logged reason of an offer; the names of the clusters follow.
OFFER_REASON_PREFIX = "offered to "


def count_offers(lines: Iterable[str], sketches: DurationSketches) -> dict[str, int]:
    """Count the offers of each job; an offer to several clusters counts once for each of them.

    Args:
        lines: Log lines of one cluster's controllers.
        sketches: Receives, as "offer decided", the durations from an offer to its decision, in seconds.

    Returns:
        Number of offers by job id.
    """
    offers: dict[str, int] = {}
    for line in lines:
        event = parse_log_event(line)
        if event is None:
            continue
        name, fields = event
        if name == "remote_gang_assigned":
            sketches.add("offer decided", float(fields["after_s"]))
        elif name == "remote_gang_state_changed" and fields["from"] == "WAITING" and fields["to"] == "OFFERED":
            clusters = fields["reason"].removeprefix(OFFER_REASON_PREFIX).split(", ")
            offers[fields["job_id"]] = offers.get(fields["job_id"], 0) + len(clusters)
    return offers
