"""`grebestand rehearse` and `grebestand check-history`."""

from __future__ import annotations

import argparse
import contextlib
import logging
import signal
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")


def add(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the verbs `rehearse` and `check-history` to the command line."""
    verb = commands.add_parser("rehearse", help="run real controllers on loopback under faults, and check it")
    verb.add_argument(
        "name", choices=("federation", "clusters", "scale"),
        help="federation: real controllers of 2 to 4 clusters; clusters: the decisions of 2 to 50, on simulated time; "
        "scale: real controllers of one cluster under the load of thousands of hollow workers",
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
    scale = verb.add_argument_group("scale")
    scale.add_argument("--workers", type=int, default=2600, metavar="N", help="hollow ones (default 2600)")
    scale.add_argument("--controllers", type=int, default=6, metavar="N", help="real ones (default 6)")
    scale.add_argument("--teams", type=int, default=710, metavar="N", help="each with its limit (default 710)")
    scale.add_argument("--rate", type=float, default=1600.0, metavar="R", help="starts a second (default 1600)")
    scale.add_argument("--seconds", type=float, default=60.0, metavar="S", help="load lasts so long (default 60)")
    scale.add_argument("--json", metavar="FILE", help="write all figures there")
    check = commands.add_parser("check-history", help="hold a history against the rules")
    check.add_argument("file", metavar="FILE")


def run(arguments: argparse.Namespace) -> int:
    """Run either verb; return its exit status."""
    try:
        if arguments.command == "check-history":
            return _check(Path(arguments.file))
        return _rehearse(arguments)
    except ImportError as e:
        print(f"grebestand: needs the extra 'rehearsal' ({e.name} is not installed)", file=sys.stderr)
        return 1


def _check(path: Path) -> int:
    from ..fault_test.history import HistoryFileError, read
    from ..fault_test.history_checker import check

    try:
        verdict = check(read(path))
    except HistoryFileError as e:
        print(f"grebestand: check-history: {e}", file=sys.stderr)
        return 2
    for fault in verdict.faults:
        print(fault, file=sys.stderr)
    print(verdict.line())
    return 0 if verdict.good else 1


@contextlib.contextmanager
def _errors_only() -> Iterator[None]:
    """What controllers and stand-ins in this process log besides errors is left out for as long as they are played."""
    logger = logging.getLogger("grebestand")
    before = logger.level
    logger.setLevel(logging.ERROR)
    try:
        yield
    finally:
        logger.setLevel(before)


def _scale(arguments: argparse.Namespace) -> int:
    import gevent
    import msgspec

    from ..load_test.scale_plan import ScaleRunPlan
    from ..load_test.scale_run import rehearse

    if not (
        1 <= arguments.workers <= 10_000 and 2 <= arguments.controllers <= 20 and 1 <= arguments.teams <= 5_000
        and 0 < arguments.rate <= 10_000 and 5 <= arguments.seconds <= 3600
    ):  # fmt: skip
        print(
            "grebestand: rehearse: --workers must be 1 to 10000, --controllers 2 to 20, --teams 1 to 5000, "
            "--rate above 0 and at most 10000, --seconds 5 to 3600", file=sys.stderr,
        )  # fmt: skip
        return 2
    plan = ScaleRunPlan(
        workers=arguments.workers, controllers=arguments.controllers, teams=arguments.teams, rate=arguments.rate,
        seconds=arguments.seconds, seed=arguments.seed,
    )  # fmt: skip
    main = gevent.getcurrent()
    told: list[bool] = []

    def stop() -> None:
        if not told:  # a second signal must not break off the ending of what was started
            told.append(True)
            gevent.kill(main, KeyboardInterrupt())

    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stop)
    with _errors_only():
        outcome = _played(lambda say, keep: rehearse(plan, say, keep), arguments.keep)
    if isinstance(outcome, int):
        return outcome
    if arguments.json:
        Path(arguments.json).write_bytes(msgspec.json.format(msgspec.json.encode(outcome.figures)))
    print(outcome.line)
    return 0 if outcome.verdict.good else 1


def _played(play: Callable[[Callable[[str], None], Path | None], T], keep: str | None) -> T | int:
    """What came of a rehearsal, whose progress is told on standard error; or the exit status if nothing did."""
    begin = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - begin:6.1f} s  {text}", file=sys.stderr, flush=True)

    try:
        return play(say, Path(keep) if keep else None)
    except RuntimeError as e:
        print(f"grebestand: rehearse: {e}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130


def _rehearse(arguments: argparse.Namespace) -> int:
    if arguments.name == "scale":
        return _scale(arguments)
    from ..fault_test.federation import rehearse
    from ..fault_test.federation_plan import FaultTestPlan
    from ..fault_test.history import write

    most = 50 if arguments.name == "clusters" else 4
    if not 2 <= arguments.clusters <= most or not 0 < arguments.load <= 4:
        print(f"grebestand: rehearse: --clusters must be 2 to {most}, --load above 0 and at most 4", file=sys.stderr)
        return 2
    if arguments.name == "clusters":
        from ..fault_test.many_clusters import simulate

        with _errors_only():
            print(simulate(arguments.clusters, arguments.load, arguments.seed).row())
        return 0
    if not 1 <= arguments.gangs <= 10_000 or not 3 <= arguments.machines <= 200:
        print("grebestand: rehearse: --gangs must be 1 to 10000, --machines 3 to 200", file=sys.stderr)
        return 2
    plan = FaultTestPlan(
        seed=arguments.seed, clusters=arguments.clusters, gangs=arguments.gangs, machines=arguments.machines,
        arrive_s=arguments.arrive, most_s=arguments.most, faults=not arguments.no_faults, federation=not arguments.off,
    )  # fmt: skip
    outcome = _played(lambda say, keep: rehearse(plan, say, keep), arguments.keep)
    if isinstance(outcome, int):
        return outcome
    if arguments.report:
        write(Path(arguments.report), outcome.history)
    for row in outcome.rows:
        print(row)
    for fault in outcome.verdict.faults:
        print(f"wrong: {fault}")
    numbers = ", ".join(f"{k} {v:.0f}" for k, v in outcome.counts.items())
    print(f"{numbers}; {outcome.sketches.summarize_and_reset() or 'nothing was done'}")
    if outcome.verdict.cancelled:
        print(f"cancelled {outcome.verdict.cancelled}, not counted below")
    print(outcome.verdict.line())
    return 0 if outcome.verdict.good else 1
