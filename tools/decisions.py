"""Measures the cost of a leader's scheduling decisions on a seeded model of machines and jobs.

    python3 tools/decisions.py [--machines N ...] [--tasks N] [--seed S] [--no-count]

The model has no network and no real clock. For each number of machines the tool builds the cluster state that a new
leader reads, then runs each step that a leader repeats: taking over (reading records and reconciling the heartbeat of
every machine), updating targets, the first full scheduling pass over a cluster without tasks, full passes while jobs
wait, and heartbeats with and without changes. The tool prints for each step the number of operations (function calls,
which are the same on every computer for the same seed), the processor time, and the longest time without a yield. At
the end the tool prints how each of them grows with the number of machines, as the exponent of a power law fitted by
least squares to the logarithms. All results are for simulated machines.
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
MACHINE_TYPES = [
    MachineType("wide", 32.0, 0.0, 128.0, ZONES, 100.0, 1.0, 1.0, 0.4, 40.0),
    MachineType("slim", 16.0, 0.0, 64.0, ZONES, 60.0, 1.0, 0.5, 0.2, 40.0),
]
#: Job templates: kind, priority, CPUs of each task, numbers of tasks, whether all tasks run in one zone, whether
#: the tasks are spread, and the weight with which the template is drawn.
JOB_TEMPLATES = [
    (Kind.GANG, Priority.NORMAL, 15.0, (2, 6, 12, 24), True, False, 2),
    (Kind.GANG, Priority.HIGH, 8.0, (4, 16), False, True, 1),
    (Kind.ARRAY, Priority.LOW, 1.0, (40, 200, 1000, 4000), False, False, 6),
    (Kind.ARRAY, Priority.LOW, 2.0, (20, 100, 400), False, False, 5),
    (Kind.ARRAY, Priority.NORMAL, 4.0, (10, 60), True, False, 2),
    (Kind.SERVICE, Priority.PRODUCTION, 2.0, (3, 9), False, True, 1),
]
#: Longest time that a step may run without a yield, since a controller handles no requests meanwhile, in seconds.
MAX_UNINTERRUPTED_S = 0.2


class LeaderModel:
    """The cluster state of a leader, with simulated workers that execute each command at once."""

    def __init__(self, machines: int, tasks: int, seed: int) -> None:
        """Create an empty cluster state and draw the machines and jobs, which `take_over_steps` adds.

        Args:
            machines: Number of machines.
            tasks: Number of tasks in all jobs.
            seed: Seed of the random generator.
        """
        self.rng = random.Random(seed)
        self.now = 1000.0
        text = SETTINGS + "".join(
            f'[[params.teams]]\nname = "t{i}"\ncpus = {machines * 1.5}\ncpus_max = {machines * 6.0}\n'
            for i in range(TEAMS)
        )
        settings = platform.parse(text)
        params = settings.params
        self.registry = JobRegistry(params.teams, params.zones)
        self.inventory = MachineInventory(self.registry, params.workers.lease_s, params.workers.report_s)
        self.inventory.set_machine_types(MACHINE_TYPES)
        self.dispatch = Dispatch(self.registry, self.inventory, 7)
        run_times = RunTimeEstimates()
        policy_evaluator = PolicyEvaluator(policy.default(), params, self.registry, self.inventory)
        context = SchedulingContext(
            self.registry, self.inventory, self.dispatch, run_times, policy_evaluator.policy_values, Features()
        )
        self.scheduler = Scheduler(context, params.objectives, params.workers.gang_wait_s)
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
        self.command_builder = CommandBuilder(self.registry, sketches)
        self.specs = list(self._specs(tasks))
        self.machines = [
            (f"n-{i:06d}", self.rng.choice(MACHINE_TYPES).name, self.rng.choice(ZONES), self.rng.random() < 0.2)
            for i in range(machines)
        ]
        self.heartbeat_numbers = dict.fromkeys((machine[0] for machine in self.machines), 0)
        self.task_statuses: dict[str, dict[str, TaskStatus]] = {machine[0]: {} for machine in self.machines}

    def _specs(self, tasks: int) -> Iterator[JobSpec]:
        weights = [template[-1] for template in JOB_TEMPLATES]
        count = 0
        while tasks > 0:
            kind, priority, cpus, sizes, one_zone, spread, _ = self.rng.choices(JOB_TEMPLATES, weights)[0]
            size = min(self.rng.choice(sizes), tasks)
            tasks -= size
            count += 1
            image = self.rng.randrange(40)
            yield JobSpec(
                f"j-{count:06d}", kind.value, f"t{self.rng.randrange(TEAMS)}", kind, priority, size, cpus, 0.0,
                cpus * 3, f"image-{image}", 0.5 + image / 20, one_zone, spread, kind is Kind.ARRAY, 60.0, 15.0, 3.0,
            )  # fmt: skip

    def report(self, machine: int) -> list[Command]:
        """Reconcile one heartbeat of a machine, and execute the commands of the response.

        Args:
            machine: Index of the machine in `machines`.

        Returns:
            The commands of the response.
        """
        name, kind, zone, spot = self.machines[machine]
        self.heartbeat_numbers[name] += 1
        statuses = self.task_statuses[name]
        reconciled = self.reconciler.reconcile(
            Heartbeat(
                name, f"{name}:1", kind, zone, spot, 1, self.heartbeat_numbers[name], 7, None, list(statuses.values())
            ),
            self.now,
            False,
        )
        assert reconciled is not None
        self.scheduler.fill(reconciled, self.now)
        # There is no state service: each grant counts as written, so that tasks may start.
        for allocation in reconciled.allocations.values():
            allocation.job.granted_machines, allocation.job.granted_tasks_below = None, allocation.job.spec.tasks
        commands = self.command_builder.build_commands(
            reconciled, Heartbeat(name, "", kind, zone, spot, 1, self.heartbeat_numbers[name]), self.now
        )
        for command in commands:
            if command.op == "start":
                statuses[command.task] = TaskStatus(command.task, command.attempt, TaskPhase.RUNNING)
            elif command.op == "stop" and command.task in statuses:
                status = statuses[command.task]
                status.state, status.why = TaskPhase.EXITED, ExitReason.STOPPED
            elif command.op == "forget":
                statuses.pop(command.task, None)
        return commands

    def report_all(self) -> None:
        """Reconcile one heartbeat of every machine."""
        for i in range(len(self.machines)):
            self.report(i)

    def take_over_steps(self) -> Iterator[None]:
        """Run a failover: add machines and jobs from records, then reconcile a heartbeat of every machine."""
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

    def update_targets_steps(self) -> Iterator[None]:
        """Update the scheduling targets."""
        self.now += 5.0
        return self.scheduler.update_targets_steps(self.now)

    def full_pass_steps(self) -> Iterator[None]:
        """Run a full scheduling pass."""
        self.now += 1.0
        return self.scheduler.full_pass_steps(self.now)

    def unchanged_reports_steps(self) -> Iterator[None]:
        """Reconcile heartbeats of 100 machines on which no task has changed."""
        self.now += 1.0
        for i in range(100):
            self.report(i * len(self.machines) // 100)
            yield

    def completion_reports_steps(self) -> Iterator[None]:
        """Reconcile heartbeats of 100 machines, each with a completed task whose capacity is used for waiting tasks."""
        self.now += 1.0
        for i in range(100):
            machine = i * len(self.machines) // 100
            statuses = self.task_statuses[self.machines[machine][0]]
            ended = next((status for status in statuses.values() if status.state is TaskPhase.RUNNING), None)
            if ended is not None:
                ended.state, ended.why = TaskPhase.EXITED, ExitReason.DONE
            self.report(machine)
            yield


@dataclass
class StepCost:
    """The cost of one step.

    Attributes:
        function_calls: Number of function calls.
        processor_s: Processor time, in seconds.
        longest_s: Longest processor time without a yield, in seconds.
    """

    function_calls: int = 0
    processor_s: float = 0.0
    longest_s: float = 0.0


@dataclass
class CostTable:
    """The cost of each step for each number of machines.

    Attributes:
        costs: Costs by the name of the step and the number of machines.
    """

    costs: dict[str, dict[int, StepCost]] = field(default_factory=dict)

    def exponent(self, step: str, measure_of: Callable[[StepCost], float]) -> float | None:
        """Return the exponent with which a cost grows with the number of machines.

        Args:
            step: Name of the step.
            measure_of: Returns the measure of a cost whose growth is computed.

        Returns:
            The slope of a least-squares line through the logarithms, or None with fewer than two positive values.
        """
        points = [
            (math.log(machines), math.log(measure_of(cost)))
            for machines, cost in self.costs[step].items()
            if measure_of(cost) > 0
        ]
        if len(points) < 2:
            return None
        mean_x, mean_y = (sum(point[i] for point in points) / len(points) for i in (0, 1))
        variation = sum((x - mean_x) ** 2 for x, _ in points)
        return sum((x - mean_x) * (y - mean_y) for x, y in points) / variation


def measure_time(steps: Iterable[None]) -> StepCost:
    """Run all steps and return their processor time and the longest time between two yields."""
    cost = StepCost()
    clock = time.process_time
    begin = since = clock()
    for _ in steps:
        now = clock()
        cost.longest_s = max(cost.longest_s, now - since)
        since = now
    end = clock()
    cost.longest_s = max(cost.longest_s, end - since)
    cost.processor_s = end - begin
    return cost


def count_function_calls(steps: Iterable[None]) -> int:
    """Run all steps and return the number of function calls."""
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


def measure(machines: int, tasks: int, seed: int, count: bool) -> dict[str, StepCost]:
    """Measure every step with one number of machines.

    Function calls are counted on a second model with the same seed, because counting slows the steps down.

    Args:
        machines: Number of machines.
        tasks: Number of tasks in all jobs.
        seed: Seed of the model.
        count: Whether function calls are counted.

    Returns:
        The cost of each step, by the name of the step.
    """
    costs: dict[str, StepCost] = {}
    for counting in (False, True) if count else (False,):
        model = LeaderModel(machines, tasks, seed)
        gc.collect()
        gc.freeze()
        steps_by_name: list[tuple[str, Callable[[], Iterator[None]]]] = [
            ("taking over", model.take_over_steps),
            ("targets, empty fleet", model.update_targets_steps),
            ("first full pass", model.full_pass_steps),
            ("targets", model.update_targets_steps),
            ("full pass", model.full_pass_steps),
            ("100 quiet reports", model.unchanged_reports_steps),
            ("100 reports with an end", model.completion_reports_steps),
            ("full pass after them", model.full_pass_steps),
        ]
        for name, step in steps_by_name:
            if name == "targets":
                model.report_all()
                model.now += 30.0
                model.report_all()
            if counting:
                costs[name].function_calls = count_function_calls(step())
            else:
                costs[name] = measure_time(step())
        gc.unfreeze()
    return costs


def print_costs(table: CostTable, machines: int) -> None:
    """Print the cost of each step for one number of machines."""
    print(f"\n{machines} machines")
    print(f"  {'step':26} {'operations':>12} {'processor s':>12} {'longest ms':>11}")
    for step, costs in table.costs.items():
        cost = costs[machines]
        over = "  over the bound" if cost.longest_s > MAX_UNINTERRUPTED_S else ""
        print(
            f"  {step:26} {cost.function_calls:12,d} {cost.processor_s:12.3f} {1000 * cost.longest_s:11.1f}{over}",
            flush=True,
        )


def main() -> int:
    """Measure with the numbers of machines given on the command line, and return the exit status."""
    parser = argparse.ArgumentParser(
        description="Measures how the cost of scheduling decisions grows with the number of machines."
    )
    parser.add_argument(
        "--machines", type=int, nargs="+", metavar="N", default=[5000],
        help="numbers of machines to measure; with one, a quarter and a half of it are measured too, for the exponent",
    )  # fmt: skip
    parser.add_argument(
        "--tasks", type=int, default=1_000_000, metavar="N", help="number of tasks in all jobs (default: 1,000,000)"
    )
    parser.add_argument("--seed", type=int, default=1, metavar="S")
    parser.add_argument("--no-count", action="store_true", help="measure time only, do not count operations")
    options = parser.parse_args()
    if min(options.machines) < 100 or options.tasks < 1:
        parser.error(f"expected at least 100 machines and 1 task, found {min(options.machines)} and {options.tasks}")
    sizes = sorted(set(options.machines))
    if len(sizes) == 1:
        sizes = [max(100, sizes[0] // 4), max(100, sizes[0] // 2), sizes[0]]
    table = CostTable()
    for machines in sizes:
        for step, cost in measure(machines, options.tasks, options.seed, not options.no_count).items():
            table.costs.setdefault(step, {})[machines] = cost
        print_costs(table, machines)
    print("\ngrowth with the number of machines, as an exponent")
    print(f"  {'step':26} {'operations':>12} {'processor s':>12} {'longest ms':>11}")
    measures: list[Callable[[StepCost], float]] = [
        lambda cost: cost.function_calls, lambda cost: cost.processor_s, lambda cost: cost.longest_s,
    ]  # fmt: skip
    for step in table.costs:
        exponents = [table.exponent(step, measure_of) for measure_of in measures]
        print(
            f"  {step:26}"
            + "".join(
                f"{'-' if exponent is None else f'{exponent:.2f}':>{width}}"
                for exponent, width in zip(exponents, (13, 13, 12), strict=True)
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
