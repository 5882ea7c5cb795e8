"""A team's borrowed work is not given back to a team whose work within its guarantee has a lower priority."""

from __future__ import annotations

import time
from pathlib import Path

from standins2.case import Case, main
from standins2.site import detaxe_casa

MACHINES = 15
#: How many jobs of the class come in the trouble where one comes otherwise.
BURST = 3
END_S = 112.0


async def play(case: Case) -> list[str]:
    """Play the case; return the jobs that waited for another team's borrowed work."""
    site = case.site
    for index in range(MACHINES):
        await case.fleet.add(site.zones[index % len(site.zones)], spot=False)
    case.fleet.start()
    await case.wait_until_ready()
    borrower, guaranteed = site.teams[0].name, site.teams[1].name
    count = BURST if case.trouble else 1
    for number in range(1, count + 1):
        await case.submit(f"j-{number:06}", 600.0, shards=5, cpus=16.0, ramGb=51.0, rank="standard", crew=borrower)
    on = lambda: sum(len(case.tasks_on(f"j-{n:06}")) for n in range(1, count + 1))  # noqa: E731 - a condition
    await case.until(lambda: on() == 5 * count, 15.0, "the jobs of the class run")
    case.note("the burst is over")
    case.trouble_over_at = time.monotonic()
    await case.submit("j-000009", 10.0, shards=5, cpus=16.0, ramGb=10.0, rank="best_effort", crew=guaranteed)
    return await case.watch_guarantee("j-000009", borrower, END_S)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent, detaxe_casa())
