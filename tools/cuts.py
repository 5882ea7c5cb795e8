"""Every standing pattern of cut links of three controllers: real controllers on simulated time.

    python3 tools/cuts.py [--seed S] [--way refused|held] [--every N] [--jobs N] [--verbose]

Nine links can be cut: of each of three controllers to the state service, to all workers, and to each other. Each of the
512 patterns begins from a healthy cluster, stands for 75 s, and is healed. A pattern has a path if some controller is
joined to the workers, and to the state service directly or over one other controller. It is served if tasks went on
being started until its end. Exit status 1 if a pattern with a path was not served, two controllers led at once, a rule
was broken, or a pattern without a path was not served after it had healed. Figures are of simulated machines.
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

NODES = ("node-0", "node-1", "node-2")
LINKS = [(n, STATE) for n in NODES] + [(n, "workers") for n in NODES] + list(itertools.combinations(NODES, 2))
HEALTHY_S, CUT_S, HEALED_S = 25.0, 75.0, 45.0
#: a pattern is served if there was a start so shortly before its end
SERVED_S = 8.0


@dataclass
class Outcome:
    """What became of one pattern of cut links."""

    cut: tuple[tuple[str, str], ...]
    path: bool
    served: bool
    #: the longest stretch without a start while the pattern stood
    pause_s: float
    changes: int
    killed: int
    healed_s: float
    broken: list[str]


def has_path(cut: set[tuple[str, str]]) -> bool:
    """Whether a controller that workers reach is joined to the store, directly or over one other controller."""

    def joined(a: str, b: str) -> bool:
        return (a, b) not in cut and (b, a) not in cut

    def stored(n: str) -> bool:
        return joined(n, STATE) or any(joined(n, o) and joined(o, STATE) for o in NODES if o != n)

    return any(joined(n, "workers") and stored(n) for n in NODES)


def play(task: tuple[int, LinkMode, int]) -> Outcome:
    """Play one pattern on simulated time."""
    pattern, way, seed = task
    cut = [link for i, link in enumerate(LINKS) if pattern >> i & 1]
    with simulated_time() as loop:
        world = SimulatedCluster(loop, seed=seed * 1000 + pattern)
        world.submit_continuously(0.8, HEALTHY_S + CUT_S + HEALED_S)
        gevent.sleep(HEALTHY_S)
        killed, led = world.lease_expiry_kills, len(world.leader_history)
        for a, b in cut:
            for end in ("a", "b") if b == "workers" else (b,):
                world.links.set_mode(a, end, way)
        gevent.sleep(CUT_S)
        now = loop.time
        pause = world.longest_gap_between_starts(HEALTHY_S, now)
        served = any(t > now - SERVED_S for t in world.task_start_times)
        changes, lost = len(world.leader_history) - led, world.lease_expiry_kills - killed
        world.links.open_all()
        gevent.sleep(HEALED_S)
        after = next((t - now for t in world.task_start_times if t > now), HEALED_S)
        return Outcome(tuple(cut), has_path(set(cut)), served, pause, changes, lost, after, world.violations())


def main() -> int:
    """Play the patterns and print what was not served; return the exit status."""
    parser = argparse.ArgumentParser(description="Plays every pattern of cut links of three controllers.")
    parser.add_argument("--seed", type=int, default=1, metavar="S")
    parser.add_argument("--way", choices=["refused", "held"], default="held", help="what becomes of messages")
    parser.add_argument("--every", type=int, default=1, metavar="N", help="only each Nth pattern")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="processes (default: cores)")
    parser.add_argument("--verbose", action="store_true", help="a line for each pattern")
    options = parser.parse_args()
    if options.every < 1 or options.jobs < 1:
        parser.error("--every and --jobs take numbers from 1 on")
    way = LinkMode.REFUSED if options.way == "refused" else LinkMode.HELD
    tasks = [(p, way, options.seed) for p in range(0, 512, options.every)]
    with multiprocessing.Pool(options.jobs) as pool:
        found = pool.map(play, tasks, chunksize=4)
    bad = 0
    for o in found:
        wrong = (o.path and not o.served) or o.broken or o.healed_s >= HEALED_S
        bad += bool(wrong)
        if wrong or options.verbose:
            links = ", ".join(f"{a}-{b}" for a, b in o.cut) or "nothing"
            print(
                f"{'WRONG ' if wrong else ''}cut {links}: {'a path' if o.path else 'no path'}, "
                f"{'served' if o.served else 'not served'}, longest pause {o.pause_s:.1f} s, {o.changes} changes, "
                f"{o.killed} killed by lease, {o.healed_s:.1f} s after the heal; {'; '.join(o.broken[:3])}"
            )
    paths = [o for o in found if o.path]
    print(f"killed by lease: {sum(o.killed for o in paths)} with a path, {sum(o.killed for o in found)} in all")
    print(
        f"patterns {len(found)}, with a path {len(paths)}, served {sum(o.served for o in paths)}, "
        f"two leaders at once {sum(any('two' in b for b in o.broken) for o in found)}, "
        f"most changes {max(o.changes for o in found)}, slowest {max((o.pause_s for o in paths), default=0.0):.1f} s"
    )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
