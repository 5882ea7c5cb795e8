"""`grebestand rehearse` and `grebestand check-history`."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path


def add(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    verb = commands.add_parser("rehearse", help="run real controllers on loopback under faults, and check it")
    verb.add_argument(
        "name", choices=("federation", "clusters"),
        help="federation: real controllers of 2 to 4 clusters; clusters: the decisions of 2 to 50, on simulated time",
    )  # fmt: skip
    verb.add_argument("--seed", type=int, default=7, metavar="N", help="what is drawn: gangs, faults (default 7)")
    verb.add_argument("--clusters", type=int, default=2, metavar="N", help="how many (default 2)")
    verb.add_argument("--load", type=float, default=1.0, metavar="L", help="of simulated clusters (default 1)")
    verb.add_argument("--gangs", type=int, default=30, metavar="N", help="how many (default 30)")
    verb.add_argument("--machines", type=int, default=7, metavar="N", help="in each cluster (default 7)")
    verb.add_argument("--no-faults", action="store_true", help="hurt nothing")
    verb.add_argument("--off", action="store_true", help="without federation, for comparison")
    verb.add_argument("--arrive", type=float, default=35.0, metavar="S", help="gangs arrive over so long (default 35)")
    verb.add_argument("--most", type=float, default=105.0, metavar="S", help="end at the latest then (default 105)")
    verb.add_argument("--report", metavar="FILE", help="write the history there (Parquet)")
    verb.add_argument("--keep", metavar="DIR", help="keep settings, keys and logs there")
    check = commands.add_parser("check-history", help="hold a history against the rules")
    check.add_argument("file", metavar="FILE")


def run(arguments: argparse.Namespace) -> int:
    try:
        if arguments.command == "check-history":
            return _check(Path(arguments.file))
        return _rehearse(arguments)
    except ImportError as e:
        print(f"grebestand: needs the extra 'rehearsal' ({e.name} is not installed)", file=sys.stderr)
        return 1


def _check(path: Path) -> int:
    from ..rehearsal.check import check
    from ..rehearsal.history import HistoryFault, read

    try:
        verdict = check(read(path))
    except HistoryFault as e:
        print(f"grebestand: check-history: {e}", file=sys.stderr)
        return 2
    for fault in verdict.faults:
        print(fault, file=sys.stderr)
    print(verdict.line())
    return 0 if verdict.good else 1


def _rehearse(arguments: argparse.Namespace) -> int:
    from ..rehearsal.federation import Plan, rehearse
    from ..rehearsal.history import write

    most = 50 if arguments.name == "clusters" else 4
    if not 2 <= arguments.clusters <= most or not 0 < arguments.load <= 4:
        print(f"grebestand: rehearse: --clusters must be 2 to {most}, --load above 0 and at most 4", file=sys.stderr)
        return 2
    if arguments.name == "clusters":
        import logging

        from ..rehearsal.many import simulate

        logging.getLogger("grebestand").setLevel(logging.ERROR)
        print(simulate(arguments.clusters, arguments.load, arguments.seed).row())
        return 0
    if not 1 <= arguments.gangs <= 10_000 or not 3 <= arguments.machines <= 200:
        print("grebestand: rehearse: --gangs must be 1 to 10000, --machines 3 to 200", file=sys.stderr)
        return 2
    plan = Plan(
        seed=arguments.seed, clusters=arguments.clusters, gangs=arguments.gangs, machines=arguments.machines,
        arrive_s=arguments.arrive, most_s=arguments.most, faults=not arguments.no_faults, federation=not arguments.off,
    )  # fmt: skip
    begin = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - begin:6.1f} s  {text}", file=sys.stderr, flush=True)

    try:
        outcome = rehearse(plan, say, Path(arguments.keep) if arguments.keep else None)
    except RuntimeError as e:
        print(f"grebestand: rehearse: {e}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    if arguments.report:
        write(Path(arguments.report), outcome.history)
    for row in outcome.rows:
        print(row)
    for fault in outcome.verdict.faults:
        print(f"wrong: {fault}")
    numbers = ", ".join(f"{k} {v:.0f}" for k, v in outcome.counts.items())
    print(f"{numbers}; {outcome.sketches.tell() or 'nothing was done'}")
    if outcome.verdict.cancelled:
        print(f"cancelled {outcome.verdict.cancelled}, not counted below")
    print(outcome.verdict.line())
    return 0 if outcome.verdict.good else 1
