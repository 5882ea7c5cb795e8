"""The plan of a federation fault test: its clusters, their settings and the gangs that users submit."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..wire.cloud import MachineType

#: of the clusters, the crowded one first
CLUSTER_NAMES = ("north", "south", "east", "west")
MACHINE_TYPE = "m16"
ZONE = "a"
MACHINE_TYPES = [MachineType(MACHINE_TYPE, 16.0, 0.0, 64.0, [ZONE], 100.0, 2.0, 1.0, 0.4, 2.0)]
#: the settings of workers, in seconds
WORKERS = {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 15.0, "gang_peer_s": 2.0, "cancel_s": 20.0}
PARAMS = (
    'zones = ["a"]\n'
    '[[params.teams]]\nname = "crew"\ncpus = 64.0\ncpus_max = 1000.0\n'
    '[[params.teams]]\nname = "guests"\ncpus = 0.0\ncpus_max = 1000.0\n'
    "[params.workers]\n" + "".join(f"{name} = {value}\n" for name, value in WORKERS.items()) +
    "[params.state]\nrps = 2000.0\nwrite_rps = 500.0\nvalue_kb = 4.0\ntxn_ops = 12\n"
    "[params.cloud]\nrps = 100.0\nlist_lag_s = 2.0\n"
)  # fmt: skip
POLICY = "rent = false\nidle_return_s = 100000\nhold_s = 3\ndead_after_s = 10000\n"
GANG_TASKS = 3
#: the share of gangs that are submitted to the first cluster; the others come to any
CROWDED_SHARE = 0.75
#: the share of gangs that their users cancel
CANCELLED_SHARE = 0.1
#: added to the number of a job whose id is taken in its cluster
ID_OFFSET = 5000


@dataclass
class FaultTestPlan:
    """What is played.

    Attributes:
        seed: what gangs and faults are drawn from.
        clusters: the number of clusters.
        controllers: the number of controllers of each cluster.
        machines: the number of machines of each cluster.
        gangs: the number of gangs.
        arrive_s: gangs arrive over so many seconds, and faults are over some time before the end.
        most_s: the run ends after so many seconds, whether all gangs are done or not.
        run_s: the shortest and the longest run time of a gang, in seconds.
        spare_s: a gang that is done within its run time and so many seconds more is on time.
        faults: whether faults are injected.
        federation: whether the clusters are federated.
    """

    seed: int = 7
    clusters: int = 2
    controllers: int = 2
    machines: int = 7
    gangs: int = 30
    arrive_s: float = 35.0
    most_s: float = 105.0
    run_s: tuple[float, float] = (2.0, 5.0)
    spare_s: float = 15.0
    faults: bool = True
    federation: bool = True


@dataclass
class Gang:
    """A gang that a user submits, and what the cluster has answered that user.

    Attributes:
        ref: the id of its job, unique in its home cluster only.
        klass: its class, which is the same in every cluster and tells gangs apart.
        home: the cluster that it is submitted to.
        tasks: the number of its tasks.
        at: when it is submitted, in seconds from the beginning.
        run_s: its run time, in seconds.
        abort: whether its user cancels it some time after it was accepted.
        abort_at: when its user cancels it, by the run's clock.
        accepted_at: when it was submitted first, once it is accepted.
        final: the last state, once there is one.
        final_at: when that was seen.
    """

    ref: str
    klass: str
    home: str
    tasks: int
    at: float
    run_s: float
    abort: bool = False
    abort_at: float | None = None
    accepted_at: float | None = None
    final: str = ""
    final_at: float = 0.0


def draw_gangs(plan: FaultTestPlan, names: tuple[str, ...], rng: random.Random) -> list[Gang]:
    """Draw the gangs; most are submitted to the first cluster, which has capacity for few of them at a time."""
    gangs = [_draw_gang(plan, names, rng, index) for index in range(plan.gangs)]
    taken: set[tuple[str, str]] = set()
    for gang in gangs:
        while (gang.home, gang.ref) in taken:
            gang.ref = f"j-{int(gang.ref[2:]) + ID_OFFSET:06d}"
        taken.add((gang.home, gang.ref))
    return gangs


def _draw_gang(plan: FaultTestPlan, names: tuple[str, ...], rng: random.Random, index: int) -> Gang:
    home = names[0] if rng.random() < CROWDED_SHARE else rng.choice(names)
    at = plan.arrive_s * (index + rng.random()) / plan.gangs
    run_s = rng.uniform(*plan.run_s)
    abort = plan.faults and rng.random() < CANCELLED_SHARE
    # jobs of different clusters may have the same id, and some do
    number = index // 2 + 1 if home != names[0] else index + 1
    return Gang(f"j-{number:06d}", f"gang-{index:04d}", home, GANG_TASKS, at, run_s, abort)
