"""Tests every pattern of interrupted links of three controllers, with real controllers on simulated time.

    python3 tools/cuts.py [--seed S] [--way refused|held] [--every N] [--jobs N] [--verbose]

Nine links can be interrupted: from each of three controllers to the state service, to all workers, and to each other
controller. Each of the 512 patterns starts from a healthy cluster, lasts 75 s, and is then repaired. A pattern has a
path if some controller is connected to the workers, and to the state service directly or through one other controller.
A pattern counts as served if tasks were still being started at its end. The exit status is 1 if a pattern with a path
was not served, two controllers led at the same time, another invariant was violated, or no task started within 45 s of
the repair. All results are for simulated machines.
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import os
import sys
from dataclasses import dataclass

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(_ROOT, "src"), os.path.join(_ROOT, "target", "deps")]

import gevent  # noqa: E402

from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster  # noqa: E402
from grebestand.simulation.virtual_time import simulated_time  # noqa: E402

CONTROLLERS = ("node-0", "node-1", "node-2")
LINKS = [
    *((name, STATE) for name in CONTROLLERS),
    *((name, "workers") for name in CONTROLLERS),
    *itertools.combinations(CONTROLLERS, 2),
]
#: Duration of the healthy cluster, of the interrupted links, and of the time after the repair, in seconds.
HEALTHY_S, CUT_S, HEALED_S = 25.0, 75.0, 45.0
#: A pattern counts as served if a task started within this time before its end, in seconds.
SERVED_WITHIN_S = 8.0


@dataclass
class PatternResult:
    """The result of one pattern of interrupted links.

    Attributes:
        cut: The interrupted links, as pairs of the names of their ends.
        has_path: Whether a controller was connected to the workers and, possibly through another, to the state service.
        served: Whether tasks were still being started at the end of the pattern.
        longest_pause_s: Longest time without the start of a task while the links were interrupted, in seconds.
        leader_changes: Number of leader changes while the links were interrupted.
        killed: Number of tasks killed by an expired lease while the links were interrupted.
        recovery_s: Time from the repair to the first start of a task, in seconds; `HEALED_S` if there was none.
        violations: Violated invariants.
    """

    cut: tuple[tuple[str, str], ...]
    has_path: bool
    served: bool
    longest_pause_s: float
    leader_changes: int
    killed: int
    recovery_s: float
    violations: list[str]


def has_path(cut: set[tuple[str, str]]) -> bool:
    """Return whether a controller that workers reach also reaches the state service, directly or through another one.

    Args:
        cut: The interrupted links, as pairs of the names of their ends.
    """

    def connected(end: str, other_end: str) -> bool:
        return (end, other_end) not in cut and (other_end, end) not in cut

    def reaches_state_service(controller: str) -> bool:
        return connected(controller, STATE) or any(
            connected(controller, other) and connected(other, STATE) for other in CONTROLLERS if other != controller
        )

    return any(connected(name, "workers") and reaches_state_service(name) for name in CONTROLLERS)


def run_pattern(task: tuple[int, LinkMode, int]) -> PatternResult:
    """Run one pattern on simulated time.

    Args:
        task: The number of the pattern, in which bit i interrupts link i of `LINKS`; the mode of interrupted links; and
            the seed.
    """
    pattern, mode, seed = task
    cut = [link for i, link in enumerate(LINKS) if pattern >> i & 1]
    with simulated_time() as loop:
        cluster = SimulatedCluster(loop, seed=seed * 1000 + pattern)
        cluster.submit_continuously(0.8, HEALTHY_S + CUT_S + HEALED_S)
        gevent.sleep(HEALTHY_S)
        killed_before, leaders_before = cluster.lease_expiry_kills, len(cluster.leader_history)
        for controller, other_end in cut:
            # The machines are in two zones, "a" and "b", and each zone has a link of its own.
            for end in ("a", "b") if other_end == "workers" else (other_end,):
                cluster.links.set_mode(controller, end, mode)
        gevent.sleep(CUT_S)
        now = loop.time
        longest_pause_s = cluster.longest_gap_between_starts(HEALTHY_S, now)
        served = any(start > now - SERVED_WITHIN_S for start in cluster.task_start_times)
        leader_changes, killed = (
            len(cluster.leader_history) - leaders_before,
            cluster.lease_expiry_kills - killed_before,
        )
        cluster.links.open_all()
        gevent.sleep(HEALED_S)
        recovery_s = next((start - now for start in cluster.task_start_times if start > now), HEALED_S)
        return PatternResult(
            tuple(cut),
            has_path(set(cut)),
            served,
            longest_pause_s,
            leader_changes,
            killed,
            recovery_s,
            cluster.violations(),
        )


def main() -> int:
    """Run the patterns, print the failed ones and a summary, and return the exit status."""
    parser = argparse.ArgumentParser(description="Tests every pattern of interrupted links of three controllers.")
    parser.add_argument("--seed", type=int, default=1, metavar="S")
    parser.add_argument(
        "--way", choices=["refused", "held"], default="held", help="whether interrupted links refuse or hold messages"
    )
    parser.add_argument("--every", type=int, default=1, metavar="N", help="run only every Nth pattern")
    parser.add_argument(
        "--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="number of processes (default: CPU cores)"
    )
    parser.add_argument("--verbose", action="store_true", help="print a line for each pattern")
    options = parser.parse_args()
    if options.every < 1 or options.jobs < 1:
        parser.error(f"expected --every and --jobs of at least 1, found {options.every} and {options.jobs}")
    mode = LinkMode.REFUSED if options.way == "refused" else LinkMode.HELD
    tasks = [(pattern, mode, options.seed) for pattern in range(0, 2 ** len(LINKS), options.every)]
    with multiprocessing.Pool(options.jobs) as pool:
        results = pool.map(run_pattern, tasks, chunksize=4)
    failures = 0
    for result in results:
        failed = (result.has_path and not result.served) or result.violations or result.recovery_s >= HEALED_S
        failures += bool(failed)
        if failed or options.verbose:
            links = ", ".join(f"{end}-{other_end}" for end, other_end in result.cut) or "nothing"
            print(
                f"{'WRONG ' if failed else ''}cut {links}: {'a path' if result.has_path else 'no path'}, "
                f"{'served' if result.served else 'not served'}, longest pause {result.longest_pause_s:.1f} s, "
                f"{result.leader_changes} changes, {result.killed} killed by lease, "
                f"{result.recovery_s:.1f} s after the heal; {'; '.join(result.violations[:3])}"
            )
    with_path = [result for result in results if result.has_path]
    killed_with_path, killed = (sum(result.killed for result in group) for group in (with_path, results))
    two_leaders = sum(any("two" in violation for violation in result.violations) for result in results)
    slowest_s = max((result.longest_pause_s for result in with_path), default=0.0)
    print(f"killed by lease: {killed_with_path} with a path, {killed} in all")
    print(
        f"patterns {len(results)}, with a path {len(with_path)}, served {sum(result.served for result in with_path)}, "
        f"two leaders at once {two_leaders}, most changes {max(result.leader_changes for result in results)}, "
        f"slowest {slowest_s:.1f} s"
    )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
