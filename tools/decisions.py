"""Measures the decision side alone: the project's own model of machines and jobs, seeded, with no network and no clock.

    python3 tools/decisions.py [--machines N ...] [--tasks N] [--seed S] [--no-count]

For each size it builds the books as a leader finds them, then takes each step that a leader repeats: taking over
(records read, every machine proved by its report), setting targets, the first full pass over an empty fleet, full
passes while the rest waits, and reports with and without news. It prints for each step its operations (calls of
functions, the same on every machine for the same seed), its processor time, and the longest stretch without a
yield; at the end, how each grows with the number of machines, as the exponent of a straight line through the
logarithms. Figures are of simulated machines.
"""

from __future__ import annotations

import argparse
import gc
import math
import os
import random
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(_ROOT, "src"), os.path.join(_ROOT, "target", "deps")]

from grebestand.cluster_state.dispatch import Dispatch  # noqa: E402
from grebestand.cluster_state.job_registry import JobRegistry  # noqa: E402
from grebestand.cluster_state.machine_inventory import MachineInventory  # noqa: E402
from grebestand.cluster_state.run_time_estimates import RunTimeEstimates  # noqa: E402
from grebestand.features.hooks import Features  # noqa: E402
from grebestand.heartbeats.commands import CommandBuilder  # noqa: E402
from grebestand.heartbeats.reconciliation import HeartbeatReconciler  # noqa: E402
from grebestand.metrics.duration_sketches import DurationSketches  # noqa: E402
from grebestand.scheduling.machine_health import MachineHealth  # noqa: E402
from grebestand.scheduling.policy_values import PolicyEvaluator  # noqa: E402
from grebestand.scheduling.scheduler import Scheduler  # noqa: E402
from grebestand.scheduling.scheduling_context import SchedulingContext  # noqa: E402
from grebestand.scheduling.stragglers import StragglerDetector  # noqa: E402
from grebestand.settings import platform, policy  # noqa: E402
from grebestand.wire.cloud import MachineType  # noqa: E402
from grebestand.wire.jobs import JobSpec, Kind, Priority  # noqa: E402
from grebestand.wire.workers import Command, ExitReason, Heartbeat, TaskPhase, TaskStatus  # noqa: E402

ZONES = ["north", "east", "south"]
TEAMS = 8
SETTINGS = f"""
host_name = "model"
area = "north"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
count = 1
zones = {ZONES}
[params.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 50.0
[params.state]
rps = 250.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 3.0
list_lag_s = 8.0
"""
TYPES = [
    MachineType("wide", 32.0, 0.0, 128.0, ZONES, 100.0, 1.0, 1.0, 0.4, 40.0),
    MachineType("slim", 16.0, 0.0, 64.0, ZONES, 60.0, 1.0, 0.5, 0.2, 40.0),
]
#: shape, priority, CPUs, sizes, whether in one zone, whether spread, weight
SHAPES = [
    (Kind.GANG, Priority.NORMAL, 15.0, (2, 6, 12, 24), True, False, 2),
    (Kind.GANG, Priority.HIGH, 8.0, (4, 16), False, True, 1),
    (Kind.ARRAY, Priority.LOW, 1.0, (40, 200, 1000, 4000), False, False, 6),
    (Kind.ARRAY, Priority.LOW, 2.0, (20, 100, 400), False, False, 5),
    (Kind.ARRAY, Priority.NORMAL, 4.0, (10, 60), True, False, 2),
    (Kind.SERVICE, Priority.PRODUCTION, 2.0, (3, 9), False, True, 1),
]
#: a pass must not hold a controller for longer than this without a yield
MOST_S = 0.2


class Model:
    """Books of so many machines and waiting tasks, and workers that do what they are told."""

    def __init__(self, machines: int, tasks: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        text = SETTINGS + "".join(
            f'[[params.teams]]\nname = "t{i}"\ncpus = {machines * 1.5}\ncpus_max = {machines * 6.0}\n'
            for i in range(TEAMS)
        )
        settings = platform.parse(text)
        p = settings.params
        self.registry = JobRegistry(p.teams, p.zones)
        self.inventory = MachineInventory(self.registry, p.workers.lease_s, p.workers.report_s)
        self.inventory.set_machine_types(TYPES)
        self.dispatch = Dispatch(self.registry, self.inventory, 7)
        run_times = RunTimeEstimates()
        policy_evaluator = PolicyEvaluator(policy.default(), p, self.registry, self.inventory)
        view = SchedulingContext(
            self.registry, self.inventory, self.dispatch, run_times, policy_evaluator.policy_values, Features()
        )
        self.scheduler = Scheduler(view, p.objectives, p.workers.gang_wait_s)
        health = MachineHealth(self.inventory, self.dispatch, run_times, 3)
        sketches = DurationSketches()
        self.reconciler = HeartbeatReconciler(
            self.registry,
            self.inventory,
            self.dispatch,
            run_times,
            health,
            StragglerDetector(self.inventory, health, 1.5, 8),
            sketches,
        )
        self.answers = CommandBuilder(self.registry, sketches)
        self.specs = list(self._specs(tasks))
        self.machines = [
            (f"n-{i:06d}", self.rng.choice(TYPES).name, self.rng.choice(ZONES), self.rng.random() < 0.2)
            for i in range(machines)
        ]
        self.sequence = dict.fromkeys((m[0] for m in self.machines), 0)
        self.held: dict[str, dict[str, TaskStatus]] = {m[0]: {} for m in self.machines}

    def _specs(self, tasks: int) -> Iterator[JobSpec]:
        weights = [s[-1] for s in SHAPES]
        count = 0
        while tasks > 0:
            kind, priority, cpus, sizes, one_zone, spread, _ = self.rng.choices(SHAPES, weights)[0]
            n = min(self.rng.choice(sizes), tasks)
            tasks -= n
            count += 1
            image = self.rng.randrange(40)
            yield JobSpec(
                f"j-{count:06d}", kind.value, f"t{self.rng.randrange(TEAMS)}", kind, priority, n, cpus, 0.0, cpus * 3,
                f"image-{image}", 0.5 + image / 20, one_zone, spread, kind is Kind.ARRAY, 60.0, 15.0, 3.0,
            )  # fmt: skip

    def report(self, machine: int) -> list[Command]:
        """One report of a machine, and its answer."""
        name, kind, zone, spot = self.machines[machine]
        self.sequence[name] += 1
        held = self.held[name]
        m = self.reconciler.reconcile(
            Heartbeat(name, f"{name}:1", kind, zone, spot, 1, self.sequence[name], 7, None, list(held.values())),
            self.now,
            False,
        )
        assert m is not None
        self.scheduler.fill(m, self.now)
        for allocation in m.allocations.values():  # grants are taken as written
            allocation.job.granted_machines, allocation.job.granted_tasks_below = None, allocation.job.spec.tasks
        commands = self.answers.build_commands(
            m, Heartbeat(name, "", kind, zone, spot, 1, self.sequence[name]), self.now
        )
        for c in commands:
            if c.op == "start":
                held[c.task] = TaskStatus(c.task, c.attempt, TaskPhase.RUNNING)
            elif c.op == "stop" and c.task in held:
                held[c.task].state, held[c.task].why = TaskPhase.EXITED, ExitReason.STOPPED
            elif c.op == "forget":
                held.pop(c.task, None)
        return commands

    def everyone(self) -> None:
        """Deliver a heartbeat of every machine."""
        for i in range(len(self.machines)):
            self.report(i)

    # steps ------------------------------------------------------------------------------------------------

    def take_over(self) -> Iterator[None]:
        """The steps of a failover: machines and jobs from records, then a heartbeat of every machine."""
        for name, kind, zone, spot in self.machines:
            self.inventory.add_machine(name, f"{name}:1", kind, zone, spot, self.now, recorded=True)
        yield
        for i, spec in enumerate(self.specs):
            self.registry.add_job(spec, i + 1, self.now - 20.0, self.now)
            if not i % 100:
                yield
        self.inventory.count_unreconciled()
        yield
        for i in range(len(self.machines)):
            self.report(i)
            yield

    def retarget(self) -> Iterator[None]:
        """The steps of setting targets."""
        self.now += 5.0
        return self.scheduler.update_targets_steps(self.now)

    def one_pass(self) -> Iterator[None]:
        """The steps of a full pass."""
        self.now += 1.0
        return self.scheduler.full_pass_steps(self.now)

    def quiet_reports(self) -> Iterator[None]:
        """Heartbeats of a hundred machines with nothing new."""
        self.now += 1.0
        for i in range(100):
            self.report(i * len(self.machines) // 100)
            yield

    def busy_reports(self) -> Iterator[None]:
        """Reports in each of which one task has ended; the room goes to what waits."""
        self.now += 1.0
        for i in range(100):
            machine = i * len(self.machines) // 100
            held = self.held[self.machines[machine][0]]
            ended = next((t for t in held.values() if t.state is TaskPhase.RUNNING), None)
            if ended is not None:
                ended.state, ended.why = TaskPhase.EXITED, ExitReason.DONE
            self.report(machine)
            yield


@dataclass
class Cost:
    """What some steps cost: operations, processor seconds, and the longest step in seconds."""

    operations: int = 0
    seconds: float = 0.0
    longest: float = 0.0


@dataclass
class Table:
    """What each step cost at each size."""

    rows: dict[str, dict[int, Cost]] = field(default_factory=dict)

    def exponent(self, step: str, of: Callable[[Cost], float]) -> float | None:
        """The slope of a straight line through the logarithms, by least squares; none with one size only."""
        points = [(math.log(n), math.log(of(c))) for n, c in self.rows[step].items() if of(c) > 0]
        if len(points) < 2:
            return None
        mx, my = (sum(p[i] for p in points) / len(points) for i in (0, 1))
        spread = sum((x - mx) ** 2 for x, _ in points)
        return sum((x - mx) * (y - my) for x, y in points) / spread


def timed(steps: Iterable[None]) -> Cost:
    """Run steps and return their processor time."""
    cost = Cost()
    clock = time.process_time
    begin = since = clock()
    for _ in steps:
        now = clock()
        cost.longest = max(cost.longest, now - since)
        since = now
    end = clock()
    cost.longest = max(cost.longest, end - since)
    cost.seconds = end - begin
    return cost


def counted(steps: Iterable[None]) -> int:
    """Run steps and return the number of function calls."""
    calls = 0

    def count(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        for _ in steps:
            pass
    finally:
        sys.setprofile(None)
    return calls


def measure(machines: int, tasks: int, seed: int, count: bool) -> dict[str, Cost]:
    """Every step at one size; operations are counted on a second model with the same seed."""
    found: dict[str, Cost] = {}
    for counting in (False, True) if count else (False,):
        model = Model(machines, tasks, seed)
        gc.collect()
        gc.freeze()
        plan: list[tuple[str, Callable[[], Iterator[None]]]] = [
            ("taking over", model.take_over),
            ("targets, empty fleet", model.retarget),
            ("first full pass", model.one_pass),
            ("targets", model.retarget),
            ("full pass", model.one_pass),
            ("100 quiet reports", model.quiet_reports),
            ("100 reports with an end", model.busy_reports),
            ("full pass after them", model.one_pass),
        ]
        for name, step in plan:
            if name == "targets":
                model.everyone()
                model.now += 30.0
                model.everyone()
            if counting:
                found[name].operations = counted(step())
            else:
                found[name] = timed(step())
        gc.unfreeze()
    return found


def show(table: Table, machines: int) -> None:
    """Print the rows of one size."""
    print(f"\n{machines} machines")
    print(f"  {'step':26} {'operations':>12} {'processor s':>12} {'longest ms':>11}")
    for step, costs in table.rows.items():
        c = costs[machines]
        over = "  over the bound" if c.longest > MOST_S else ""
        print(f"  {step:26} {c.operations:12,d} {c.seconds:12.3f} {1000 * c.longest:11.1f}{over}", flush=True)


def main() -> int:
    """Measure the sizes that the command line names; return the exit status."""
    parser = argparse.ArgumentParser(description="Measures the cost of decisions as machines grow in number.")
    parser.add_argument(
        "--machines", type=int, nargs="+", metavar="N", default=[5000],
        help="sizes to measure; with one, a quarter and a half of it are measured too, for the exponent",
    )  # fmt: skip
    parser.add_argument(
        "--tasks", type=int, default=1_000_000, metavar="N", help="tasks in all jobs (default: 1,000,000)"
    )
    parser.add_argument("--seed", type=int, default=1, metavar="S")
    parser.add_argument("--no-count", action="store_true", help="only time, do not count operations")
    options = parser.parse_args()
    if min(options.machines) < 100 or options.tasks < 1:
        parser.error("at least 100 machines and one task")
    sizes = sorted(set(options.machines))
    if len(sizes) == 1:
        sizes = [max(100, sizes[0] // 4), max(100, sizes[0] // 2), sizes[0]]
    table = Table()
    for n in sizes:
        for step, cost in measure(n, options.tasks, options.seed, not options.no_count).items():
            table.rows.setdefault(step, {})[n] = cost
        show(table, n)
    print("\ngrowth with the number of machines, as an exponent")
    print(f"  {'step':26} {'operations':>12} {'processor s':>12} {'longest ms':>11}")
    measures: list[Callable[[Cost], float]] = [lambda c: c.operations, lambda c: c.seconds, lambda c: c.longest]
    for step in table.rows:
        slopes = [table.exponent(step, of) for of in measures]
        print(
            f"  {step:26}"
            + "".join(f"{'-' if s is None else f'{s:.2f}':>{w}}" for s, w in zip(slopes, (13, 13, 12), strict=True))
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
