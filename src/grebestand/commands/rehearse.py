"""`grebestand rehearse`, which runs fault and load tests, and `grebestand check-history`, which checks a history."""

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

Outcome = TypeVar("Outcome")


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommands `rehearse` and `check-history` to the command line."""
    parser = commands.add_parser("rehearse", help="run a fault or load test on loopback and check the results")
    parser.add_argument(
        "name", choices=("federation", "clusters", "scale"),
        help="federation: real controllers of 2 to 4 clusters with injected faults; clusters: decisions of 2 to 50 "
        "clusters in simulated time; scale: real controllers of one cluster under the load of thousands of emulated "
        "workers",
    )  # fmt: skip
    parser.add_argument("--seed", type=int, default=7, metavar="N", help="random seed of gangs and faults (default 7)")
    parser.add_argument("--clusters", type=int, default=2, metavar="N", help="number of clusters (default 2)")
    parser.add_argument("--load", type=float, default=1.0, metavar="L", help="load of simulated clusters (default 1)")
    parser.add_argument("--gangs", type=int, default=30, metavar="N", help="number of gangs (default 30)")
    parser.add_argument("--machines", type=int, default=7, metavar="N", help="machines in each cluster (default 7)")
    parser.add_argument("--no-faults", action="store_true", help="inject no faults")
    parser.add_argument("--off", action="store_true", help="disable federation, for comparison")
    parser.add_argument(
        "--arrive", type=float, default=35.0, metavar="S", help="submit the gangs within S seconds (default 35)"
    )
    parser.add_argument(
        "--most", type=float, default=105.0, metavar="S", help="end after at most S seconds (default 105)"
    )
    parser.add_argument("--report", metavar="FILE", help="write the history to FILE (Parquet)")
    parser.add_argument("--keep", metavar="DIR", help="keep settings, keys and logs in DIR")
    scale = parser.add_argument_group("scale")
    scale.add_argument("--workers", type=int, default=2600, metavar="N", help="emulated workers (default 2600)")
    scale.add_argument("--controllers", type=int, default=6, metavar="N", help="real controllers (default 6)")
    scale.add_argument("--teams", type=int, default=710, metavar="N", help="teams, each with a limit (default 710)")
    scale.add_argument("--rate", type=float, default=1600.0, metavar="R", help="task starts a second (default 1600)")
    scale.add_argument("--seconds", type=float, default=60.0, metavar="S", help="duration of the load (default 60)")
    scale.add_argument("--json", metavar="FILE", help="write all figures to FILE")
    check = commands.add_parser("check-history", help="check a history against the rules")
    check.add_argument("file", metavar="FILE")


def run(arguments: argparse.Namespace) -> int:
    """Run `rehearse` or `check-history` and return the exit status."""
    try:
        if arguments.command == "check-history":
            return _check_history(Path(arguments.file))
        return _rehearse(arguments)
    except ImportError as e:
        print(f"grebestand: needs the extra 'rehearsal' ({e.name} is not installed)", file=sys.stderr)
        return 1


def _check_history(path: Path) -> int:
    """Check a history file, print the faults and the verdict, and return the exit status."""
    from ..fault_test.history import HistoryFileError, read_history
    from ..fault_test.history_checker import check_history

    try:
        verdict = check_history(read_history(path))
    except HistoryFileError as e:
        print(f"grebestand: check-history: {e}", file=sys.stderr)
        return 2
    for violation in verdict.violations:
        print(violation, file=sys.stderr)
    print(verdict.summary())
    return 0 if verdict.passed else 1


@contextlib.contextmanager
def _log_errors_only() -> Iterator[None]:
    """Suppress log lines below level error, which controllers and emulators in this process write during a test."""
    logger = logging.getLogger("grebestand")
    before = logger.level
    logger.setLevel(logging.ERROR)
    try:
        yield
    finally:
        logger.setLevel(before)


def _run_scale_test(arguments: argparse.Namespace) -> int:
    """Run the load test of one cluster and return the exit status."""
    import gevent
    import msgspec

    from ..load_test.scale_plan import ScaleRunPlan
    from ..load_test.scale_run import run_scale_test

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
    stopping = False

    def stop() -> None:
        nonlocal stopping
        if not stopping:  # a second signal must not interrupt the shutdown of the processes
            stopping = True
            gevent.kill(main, KeyboardInterrupt())

    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stop)
    with _log_errors_only():
        outcome = _run_with_progress(lambda progress, keep: run_scale_test(plan, progress, keep), arguments.keep)
    if isinstance(outcome, int):
        return outcome
    if arguments.json:
        Path(arguments.json).write_bytes(msgspec.json.format(msgspec.json.encode(outcome.figures)))
    print(outcome.summary_line)
    return 0 if outcome.verdict.good else 1


def _run_with_progress(
    run_test: Callable[[Callable[[str], None], Path | None], Outcome], keep: str | None
) -> Outcome | int:
    """Run a test, printing its progress to standard error.

    Args:
        run_test: Runs the test, given a function that prints a progress message, and the directory for files to keep.
        keep: Directory for files to keep, if any.

    Returns:
        The outcome of the test, or the exit status if the test failed to run or was interrupted.
    """
    begin = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - begin:6.1f} s  {text}", file=sys.stderr, flush=True)

    try:
        return run_test(print_progress, Path(keep) if keep else None)
    except RuntimeError as e:
        print(f"grebestand: rehearse: {e}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130


def _rehearse(arguments: argparse.Namespace) -> int:
    """Run the test that the command line names and return the exit status."""
    if arguments.name == "scale":
        return _run_scale_test(arguments)
    from ..fault_test.federation import run_fault_test
    from ..fault_test.federation_plan import FaultTestPlan
    from ..fault_test.history import write_history

    max_clusters = 50 if arguments.name == "clusters" else 4
    if not 2 <= arguments.clusters <= max_clusters or not 0 < arguments.load <= 4:
        print(
            f"grebestand: rehearse: --clusters must be 2 to {max_clusters}, --load above 0 and at most 4",
            file=sys.stderr,
        )
        return 2
    if arguments.name == "clusters":
        from ..fault_test.many_clusters import simulate

        with _log_errors_only():
            print(simulate(arguments.clusters, arguments.load, arguments.seed).summary())
        return 0
    if not 1 <= arguments.gangs <= 10_000 or not 3 <= arguments.machines <= 200:
        print("grebestand: rehearse: --gangs must be 1 to 10000, --machines 3 to 200", file=sys.stderr)
        return 2
    plan = FaultTestPlan(
        seed=arguments.seed, clusters=arguments.clusters, gangs=arguments.gangs, machines=arguments.machines,
        arrival_s=arguments.arrive, max_duration_s=arguments.most, faults=not arguments.no_faults,
        federation=not arguments.off,
    )  # fmt: skip
    outcome = _run_with_progress(lambda progress, keep: run_fault_test(plan, progress, keep), arguments.keep)
    if isinstance(outcome, int):
        return outcome
    if arguments.report:
        write_history(Path(arguments.report), outcome.history)
    for line in outcome.gang_summaries:
        print(line)
    for violation in outcome.verdict.violations:
        print(f"wrong: {violation}")
    numbers = ", ".join(f"{k} {v:.0f}" for k, v in outcome.counts.items())
    print(f"{numbers}; {outcome.sketches.summarize_and_reset() or 'nothing was done'}")
    if outcome.verdict.cancelled:
        print(f"cancelled {outcome.verdict.cancelled}, not counted below")
    print(outcome.verdict.summary())
    return 0 if outcome.verdict.passed else 1
