"""A machine is kept for the one type of task that it runs, and a job of another type never gets its room."""

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
    await case.submit("j-000001", 600.0, shards=4, cpus=16.0, ramGb=51.0, crew=site.teams[1].name)
    await case.until(lambda: len(case.tasks_on("j-000001")) == 4, 10.0, "the large tasks run")
    await case.submit("j-000002", 300.0, cpus=2.0, ramGb=4.8, rank="best_effort", crew=site.teams[2].name)
    await case.until(lambda: case.tasks_on("j-000002"), 10.0, "the long task runs")
    await asyncio.sleep(1.0)
    if case.trouble:
        taken = next(machine for machine in case.fleet.alive() if not machine.present)
        case.note(f"{taken.name} in {taken.zone} gets its notice")
        taken.recall_at, taken.changed = time.monotonic() + NOTICE_S, True
        await asyncio.sleep(NOTICE_S + 0.2)
    case.trouble_over_at = time.monotonic()
    case.note("the trouble is over")
    await case.submit("j-000003", 10.0, shards=6, ramGb=2.9, rank="best_effort", crew=site.teams[3].name)
    return await case.watch_waits(["j-000003"], END_S)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent, detaxe_casa())
