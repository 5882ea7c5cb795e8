"""Runs one controller like `run.py` and prints an account of its processor time to standard error.

    python3 tools/account.py [--every S] [--functions N] [--memory] --config settings.toml

Every S seconds the account lists, for each kind of greenlet, the processor time of the last interval, the number of
runs, and the distribution of the times without a yield: during such a time the controller answers no heartbeat and
renews no lease. Garbage collection and the methods in `MEASURED_METHODS`, listed as `.Class.method`, are counted a
second time on their own. With `--functions N` the tool prints instead the N functions with the most own time; this
needs `yappi` (requirements-dev.txt) and makes the controller several times slower, so that only the shares are
meaningful. With `--memory` the tool adds the resident memory in KiB and the number of objects of the project's classes.
To measure a simulated day, set this file as `run` in a copy of `deploy/service.toml`.
"""

from __future__ import annotations

import argparse
import contextlib
import functools
import gc
import inspect
import os
import sys
import time
from collections import Counter
from typing import Any

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(_ROOT, "src"), os.path.join(_ROOT, "target", "deps")]
_STARTED_AT = time.monotonic()

import gevent  # noqa: E402
import greenlet  # noqa: E402

from grebestand.cli import main  # noqa: E402
from grebestand.cluster_state.job_registry import JobRegistry  # noqa: E402
from grebestand.cluster_state.machine_inventory import MachineInventory  # noqa: E402
from grebestand.controller.peer_status import PeerStatusComposer  # noqa: E402
from grebestand.heartbeats.commands import CommandBuilder  # noqa: E402
from grebestand.heartbeats.reconciliation import HeartbeatReconciler  # noqa: E402
from grebestand.leader.machine_reconciliation import MachineReconciliation  # noqa: E402
from grebestand.leader.scheduling_loop import SchedulingLoop  # noqa: E402
from grebestand.leader.status_broadcast import StatusBroadcast  # noqa: E402
from grebestand.metrics.duration_sketches import DurationSketches  # noqa: E402
from grebestand.scheduling.gang_scheduling import GangScheduling  # noqa: E402
from grebestand.scheduling.image_locality import ImageLocality  # noqa: E402
from grebestand.scheduling.migration import Migration  # noqa: E402
from grebestand.scheduling.pending_reasons import PendingReasons  # noqa: E402
from grebestand.scheduling.placement import Placement  # noqa: E402
from grebestand.scheduling.scale_out import ScaleOut  # noqa: E402
from grebestand.scheduling.scheduler import Scheduler  # noqa: E402
from grebestand.scheduling.template_targets import TemplateTargets  # noqa: E402

#: Methods that never yield, or are generators of steps that never yield, so that elapsed time measures their cost.
MEASURED_METHODS: list[tuple[type, list[str]]] = [
    (PeerStatusComposer, ["compose"]),
    (HeartbeatReconciler, ["reconcile"]),
    (CommandBuilder, ["build_commands"]),
    (MachineInventory, ["detect_silent_machines"]),
    (JobRegistry, ["mark_guaranteed"]),
    (SchedulingLoop, ["step", "run_slice"]),
    (MachineReconciliation, ["check"]),
    (StatusBroadcast, ["cached_images"]),
    (Scheduler, ["full_pass_steps", "update_targets_steps", "fill"]),
    (TemplateTargets, ["update"]),
    (ScaleOut, ["update_shortages"]),
    (ImageLocality, ["update"]),
    (Migration, ["migrate"]),
    (GangScheduling, ["place", "candidates_on"]),
    (Placement, ["place", "_preempt_for"]),
    (PendingReasons, ["log_if_due"]),
]


def greenlet_label(origin: Any) -> str:
    """Return the name of the function that a greenlet runs, and of functions among its arguments."""
    run = getattr(origin, "_run", None)
    name = getattr(run, "__qualname__", type(origin).__name__)
    args = getattr(origin, "args", ())
    steps = [argument.__name__ for argument in args if hasattr(argument, "__name__")]
    return "/".join([name, *steps])


class ProcessorAccount:
    """Time, runs and times without a yield, by label of a greenlet, method or garbage collection.

    Attributes:
        total_s: Time spent, in seconds.
        runs: Number of runs.
        intervals: Distribution of the times without a yield, in seconds.
    """

    def __init__(self) -> None:
        self.clock = time.perf_counter
        self.reset()
        self.switched_at = self.collecting_since = self.clock()

    def reset(self) -> None:
        """Discard all counts."""
        self.total_s: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.intervals = DurationSketches()

    def add(self, label: str, seconds: float, runs: int = 1) -> None:
        """Add one time without a yield to a label.

        Args:
            label: Label of the greenlet, method or garbage collection.
            seconds: Length of the time, in seconds.
            runs: Number by which the number of runs increases.
        """
        self.total_s[label] += seconds
        self.runs[label] += runs
        self.intervals.add(label, seconds)

    def on_garbage_collection(self, phase: str, info: dict[str, int]) -> None:
        """Count a garbage collection; its time is also included in that of the greenlet that it interrupts.

        Args:
            phase: "start" or "stop", as in `gc.callbacks`.
            info: The generation that is collected, under the key "generation".
        """
        now = self.clock()
        if phase == "start":
            self.collecting_since = now
        else:
            self.add(f"(collection {info['generation']})", now - self.collecting_since)

    def on_switch(self, event: str, args: tuple[Any, Any]) -> None:
        """Count the time since the last switch for the greenlet that is left; a trace function of `greenlet`.

        Args:
            event: Kind of the switch.
            args: The greenlet that is left and the greenlet that continues.
        """
        now = self.clock()
        origin = args[0]
        label = getattr(origin, "_account_label", None)
        if label is None:
            label = greenlet_label(origin)
            with contextlib.suppress(AttributeError):
                origin._account_label = label
        self.add(label, now - self.switched_at)
        self.switched_at = now

    def measure_method(self, owner: type, name: str) -> None:
        """Replace a method by one that is counted, including the functions that it calls.

        Each step of a method that is a generator counts as a separate time without a yield.

        Args:
            owner: Class of the method.
            name: Name of the method.
        """
        inner = getattr(owner, name)
        label = f".{owner.__name__}.{name.lstrip('_')}"

        @functools.wraps(inner)
        def timed(*args: Any, **named: Any) -> Any:
            begin = self.clock()
            try:
                return inner(*args, **named)
            finally:
                self.add(label, self.clock() - begin)

        @functools.wraps(inner)
        def stepped(*args: Any, **named: Any) -> Any:
            steps = inner(*args, **named)
            self.runs[label] += 1
            while True:
                begin = self.clock()
                try:
                    next(steps)
                except StopIteration as end:
                    self.add(label, self.clock() - begin, runs=0)
                    return end.value
                self.add(label, self.clock() - begin, runs=0)
                yield

        setattr(owner, name, stepped if inspect.isgeneratorfunction(inner) else timed)

    def print_and_reset(self, seconds: float) -> None:
        """Print the account to standard error and discard all counts.

        Args:
            seconds: Time since the last reset, in seconds.
        """
        rows = [
            f"account of {seconds:.0f} s: seconds, runs; stretches in ms: half are below, 99% are below, the longest"
        ]
        for label, total_s in self.total_s.most_common(40):
            median, high = (1000 * self.intervals.quantile(label, q) for q in (0.5, 0.99))
            longest = 1000 * self.intervals.longest(label)
            rows.append(f"  {total_s:8.2f} {self.runs[label]:7d} {median:8.2f} {high:8.1f} {longest:8.1f}  {label}")
        self.reset()
        print("\n".join(rows), file=sys.stderr, flush=True)


def _print_functions(count: int) -> None:
    import yappi

    stats = sorted(yappi.get_func_stats(), key=lambda stat: -stat.tsub)[:count]
    rows = ["functions: own seconds, with what they call, calls"]
    rows += [
        f"  {stat.tsub:8.2f} {stat.ttot:8.2f} {stat.ncall:9d}  "
        f"{stat.name} {stat.module.rsplit('/', 1)[-1]}:{stat.lineno}"
        for stat in stats
    ]
    print("\n".join(rows), file=sys.stderr, flush=True)
    yappi.clear_stats()


def _print_memory() -> None:
    with open("/proc/self/statm") as f:
        resident = int(f.read().split()[1]) * (os.sysconf("SC_PAGE_SIZE") // 1024)
    classes = (type(item) for item in gc.get_objects())
    counts = Counter(cls.__name__ for cls in classes if str(cls.__module__).startswith("grebestand"))
    print(f"memory: {resident} KB, objects: {dict(counts.most_common(12))}", file=sys.stderr, flush=True)


def _report_periodically(account: ProcessorAccount, every_s: float, functions: int, memory: bool) -> None:
    while True:
        gevent.sleep(every_s)
        if functions:
            _print_functions(functions)
        else:
            account.print_and_reset(every_s)
        if memory:
            _print_memory()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Runs one controller and prints an account of its processor time.")
    parser.add_argument(
        "--every", type=float, default=60.0, metavar="S", help="seconds between two accounts (default: 60)"
    )
    parser.add_argument(
        "--functions",
        type=int,
        default=0,
        metavar="N",
        help="print the N functions with the most own time, measured by yappi",
    )
    parser.add_argument(
        "--memory", action="store_true", help="also print the resident memory and the number of objects"
    )
    parser.add_argument("--config", required=True, metavar="FILE", help="the platform's settings (TOML)")
    return parser.parse_args()


if __name__ == "__main__":
    arguments = _parse_arguments()
    account = ProcessorAccount()
    if arguments.functions:
        import yappi

        yappi.set_context_backend("greenlet")
        yappi.set_clock_type("wall")
        yappi.start()
    else:
        greenlet.settrace(account.on_switch)
        gc.callbacks.append(account.on_garbage_collection)
        for owner, names in MEASURED_METHODS:
            for name in names:
                account.measure_method(owner, name)
    print(f"imports took {1000 * (time.monotonic() - _STARTED_AT):.0f} ms", file=sys.stderr)
    gevent.spawn(_report_periodically, account, arguments.every, arguments.functions, arguments.memory)
    sys.exit(main(["serve", "--config", arguments.config]))
