"""Offers of gangs to other clusters, counted from the controllers' logs. For display only: no verdict depends on it."""

from __future__ import annotations

from collections.abc import Iterable

from ..log_events import parse_log_event
from ..metrics.duration_sketches import DurationSketches

OFFER_REASON = "offered to "


def count_offers(lines: Iterable[str], sketches: DurationSketches) -> dict[str, int]:
    """Return the number of offers of each job, by its id.

    Args:
        lines: lines of the logs of one cluster's controllers.
        sketches: gets the seconds from an offer to its decision.
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
            clusters = fields["reason"].removeprefix(OFFER_REASON).split(", ")
            offers[fields["job_id"]] = offers.get(fields["job_id"], 0) + len(clusters)
    return offers
