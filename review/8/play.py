"""A machine that once failed a task takes one task at a time until one of them completes: a daemon never does."""

from __future__ import annotations

import time
from pathlib import Path

from standins2.case import Case, main
from standins2.site import lonchera_uio

MACHINES = 15
END_S = 117.0


async def play(case: Case) -> list[str]:
    """Play the case; return the jobs that waited too long."""
    site = case.site
    for index in range(MACHINES):
        await case.fleet.add(site.zones[index % len(site.zones)], spot=False)
    case.fleet.start()
    await case.wait_until_ready()
    # All machines but one are full of long work, as far as the teams' limits allow.
    for number, tasks in enumerate((6, 6, 2), start=1):
        await case.submit(
            f"j-{number:06}", 600.0, shards=tasks, cpus=32.0, ramGb=60.0, rank="critical", crew=site.teams[number].name
        )
    full = lambda: sum(len(case.tasks_on(f"j-{n:06}")) for n in (1, 2, 3))  # noqa: E731 - a condition
    await case.until(lambda: full() == MACHINES - 1, 15.0, "the long work runs")
    machine = next(machine for machine in case.fleet.alive() if not machine.present)
    if case.trouble:
        case.note(f"{machine.name} fails every task that it starts")
        machine.sick = True
    await case.submit("j-000004", 0.0, shape="daemon", shards=1, cpus=2.0, ramGb=2.0)
    if case.trouble:
        await case.until(lambda: machine.failed, 10.0, "the daemon's first start has failed")
        machine.sick = False
    await case.until(lambda: case.tasks_on("j-000004"), 20.0, "the daemon runs")
    case.trouble_over_at = time.monotonic()
    case.note("the trouble is over, and the daemon runs")
    await case.submit("j-000005", 5.0, shards=8, cpus=2.0, ramGb=2.0, crew=site.teams[4].name)
    return await case.watch_waits(["j-000005"], END_S)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent, lonchera_uio())
