"""Runs one controller like `run.py` and accounts for its processor time on standard error.

    python3 tools/account.py [--every S] [--functions N] [--memory] --config settings.toml

Every S seconds it prints what each kind of greenlet took since the last time, how often it ran, and how its stretches
without a yield are distributed: while one lasts, no report is answered and no hold is renewed. Some
parts that compute without yielding are counted a second time, as `.part`, and so is garbage collection. With
`--functions N` it prints instead the N functions that took most; that needs `yappi` (requirements-dev.txt) and
makes everything several times slower, so read it as shares. With `--memory` it adds resident kilobytes and the
number of objects of the project's classes. To account for a simulated day, name it as `run` in a copy's
`deploy/service.toml`.
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
_BORN = time.monotonic()

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

#: parts that never yield, so that a clock around them tells what they take
PARTS: list[tuple[type, list[str]]] = [
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


def label_of(g: Any) -> str:
    """What a greenlet is for: the name of what it runs, and of the step that it was given."""
    run = getattr(g, "_run", None)
    name = getattr(run, "__qualname__", type(g).__name__)
    args = getattr(g, "args", ())
    steps = [a.__name__ for a in args if hasattr(a, "__name__")]
    return "/".join([name, *steps])


class Account:
    """Processor time, runs and stretches without a yield, by what a greenlet runs."""

    def __init__(self) -> None:
        self.clock = time.perf_counter
        self.reset()
        self.since = self.collecting_since = self.clock()

    def reset(self) -> None:
        """Forget what was counted."""
        self.took: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.stretches = DurationSketches()

    def add(self, label: str, seconds: float, runs: int = 1) -> None:
        """Count one stretch of a label, in seconds."""
        self.took[label] += seconds
        self.runs[label] += runs
        self.stretches.add(label, seconds)

    def collected(self, phase: str, info: dict[str, int]) -> None:
        """Garbage collections, which happen inside whatever runs: counted a second time under a label of their own."""
        now = self.clock()
        if phase == "start":
            self.collecting_since = now
        else:
            self.add(f"(collection {info['generation']})", now - self.collecting_since)

    def switched(self, event: str, args: tuple[Any, Any]) -> None:
        """Trace function of greenlets: the stretch that ends belongs to the greenlet that is left."""
        now = self.clock()
        origin = args[0]
        label = getattr(origin, "_account_label", None)
        if label is None:
            label = label_of(origin)
            with contextlib.suppress(AttributeError):
                origin._account_label = label
        self.add(label, now - self.since)
        self.since = now

    def watch(self, owner: type, name: str) -> None:
        """Counts what a method takes, with all that it calls; of one that is cut into steps, each step."""
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

    def show(self, seconds: float) -> None:
        """Print the account of the last so many seconds to standard error and begin anew."""
        rows = [
            f"account of {seconds:.0f} s: seconds, runs; stretches in ms: half are below, 99% are below, the longest"
        ]
        for label, took in self.took.most_common(40):
            half, most = (1000 * self.stretches.quantile(label, q) for q in (0.5, 0.99))
            longest = 1000 * self.stretches.longest(label)
            rows.append(f"  {took:8.2f} {self.runs[label]:7d} {half:8.2f} {most:8.1f} {longest:8.1f}  {label}")
        self.reset()
        print("\n".join(rows), file=sys.stderr, flush=True)


def _functions(n: int) -> None:
    import yappi

    stats = sorted(yappi.get_func_stats(), key=lambda s: -s.tsub)[:n]
    rows = ["functions: own seconds, with what they call, calls"]
    rows += [
        f"  {s.tsub:8.2f} {s.ttot:8.2f} {s.ncall:9d}  {s.name} {s.module.rsplit('/', 1)[-1]}:{s.lineno}" for s in stats
    ]
    print("\n".join(rows), file=sys.stderr, flush=True)
    yappi.clear_stats()


def _memory() -> None:
    with open("/proc/self/statm") as f:
        resident = int(f.read().split()[1]) * (os.sysconf("SC_PAGE_SIZE") // 1024)
    ours = (type(o) for o in gc.get_objects())
    counts = Counter(t.__name__ for t in ours if str(t.__module__).startswith("grebestand"))
    print(f"memory: {resident} KB, objects: {dict(counts.most_common(12))}", file=sys.stderr, flush=True)


def _report(account: Account, every: float, functions: int, memory: bool) -> None:
    while True:
        gevent.sleep(every)
        if functions:
            _functions(functions)
        else:
            account.show(every)
        if memory:
            _memory()


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Runs one controller and accounts for its processor time.")
    parser.add_argument("--every", type=float, default=60.0, metavar="S", help="seconds between two accounts")
    parser.add_argument("--functions", type=int, default=0, metavar="N", help="functions to show, by yappi")
    parser.add_argument("--memory", action="store_true", help="also what the process holds")
    parser.add_argument("--config", required=True, metavar="FILE", help="the platform's settings (TOML)")
    return parser.parse_args()


if __name__ == "__main__":
    arguments = _arguments()
    account = Account()
    if arguments.functions:
        import yappi

        yappi.set_context_backend("greenlet")
        yappi.set_clock_type("wall")
        yappi.start()
    else:
        greenlet.settrace(account.switched)
        gc.callbacks.append(account.collected)
        for owner, names in PARTS:
            for name in names:
                account.watch(owner, name)
    print(f"imports took {1000 * (time.monotonic() - _BORN):.0f} ms", file=sys.stderr)
    gevent.spawn(_report, account, arguments.every, arguments.functions, arguments.memory)
    sys.exit(main(["serve", "--config", arguments.config]))
