"""Runs one case: plays it with or without its disruption, and ends all processes."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .cluster import CaseError, Cluster

#: Open files that the stand-ins of a case may need.
OPEN_FILES = 4000
#: No case runs longer, in seconds.
LIMIT_S = 112.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def main(site: dict[str, Any], play: Callable[..., Awaitable[None]], folder: Path) -> None:
    """Play a case and exit with 1 if a rule was broken, 0 if all held, and 2 if the case could not run."""
    sys.exit(asyncio.run(_run(site, play, folder)))


async def _run(site: dict[str, Any], play: Callable[..., Awaitable[None]], folder: Path) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < OPEN_FILES:
            raise CaseError(f"a process may open fewer than {OPEN_FILES} files here")
        async with Cluster(site, seed=int(os.environ.get("SEED", "1")), record=str(folder / "record.txt")) as cluster:
            cluster.rules.write(f"disruption: {'yes' if trouble else 'no'}")
            try:
                await asyncio.wait_for(play(cluster, trouble=trouble), LIMIT_S)
                cluster.check_processes()
            finally:
                cluster.write_logs()
            broken = cluster.rules.broken
            for line in broken:
                print(line)
            print(f"{len(broken)} times a rule was broken" if broken else "all rules held")
            return BROKEN if broken else HELD
    except CaseError as error:
        print(f"the case could not run: {error}")
    except (TimeoutError, asyncio.CancelledError):
        print("the case could not run: it took too long or was interrupted")
    except OSError as error:
        print(f"the case could not run: {error}")
    return NOT_RUN
