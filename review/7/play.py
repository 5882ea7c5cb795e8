"""A one-zone array that loses a spot machine stops and keeps out work in a zone in which it can't run."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from standins2.case import Case, main
from standins2.site import detaxe_casa

#: Spot machines get a notice; it may be half as long as the site's 15 s.
NOTICE_S = 8.0
END_S = 114.0


async def play(case: Case) -> list[str]:
    """Play the case; return the jobs that waited too long."""
    site = case.site
    # Two spot machines in each zone, as many as the site can have; one of the six is taken.
    for zone in site.zones:
        for _ in range(2):
            await case.fleet.add(zone, spot=True)
    case.fleet.start()
    await case.wait_until_ready()
    await case.submit("j-000001", 600.0, shards=2, cpus=12.0, ramGb=12.0, samePlace=True, rank="standard")
    bound = lambda: case.tasks_on("j-000001")  # noqa: E731 - a condition
    await case.until(lambda: len(bound()) == 2, 10.0, "the one-zone array runs")
    await case.submit("j-000002", 600.0, shards=3, cpus=16.0, ramGb=12.0, rank="critical", crew=site.teams[1].name)
    await case.until(lambda: len(case.tasks_on("j-000002")) == 3, 10.0, "the urgent array runs")
    if case.trouble:
        taken = next(iter(bound().values()))
        case.note(f"{taken.name} in {taken.zone} gets its notice")
        taken.recall_at, taken.changed = time.monotonic() + NOTICE_S, True
        await asyncio.sleep(NOTICE_S + 0.2)
    case.trouble_over_at = time.monotonic()
    case.note("the trouble is over")
    await case.submit("j-000003", 10.0, shards=4, cpus=8.0, ramGb=2.0, rank="best_effort", crew=site.teams[2].name)
    return await case.watch_waits(["j-000003"], END_S)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent, detaxe_casa())
