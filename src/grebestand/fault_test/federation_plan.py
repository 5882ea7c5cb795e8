"""The plan of a federation fault test: its clusters, their settings and the gangs that users submit."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..wire.cloud import MachineType

#: Names of the clusters; most gangs are submitted to the first one.
CLUSTER_NAMES = ("north", "south", "east", "west")
MACHINE_TYPE = "m16"
ZONE = "a"
MACHINE_TYPES = [MachineType(MACHINE_TYPE, 16.0, 0.0, 64.0, [ZONE], 100.0, 2.0, 1.0, 0.4, 2.0)]
#: Settings of workers, in seconds.
WORKER_SETTINGS = {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 15.0, "gang_peer_s": 2.0, "cancel_s": 20.0}
#: The `params` section of each cluster's settings file.
PLATFORM_PARAMS = (
    'zones = ["a"]\n'
    '[[params.teams]]\nname = "crew"\ncpus = 64.0\ncpus_max = 1000.0\n'
    '[[params.teams]]\nname = "guests"\ncpus = 0.0\ncpus_max = 1000.0\n'
    "[params.workers]\n" + "".join(f"{name} = {value}\n" for name, value in WORKER_SETTINGS.items()) +
    "[params.state]\nrps = 2000.0\nwrite_rps = 500.0\nvalue_kb = 4.0\ntxn_ops = 12\n"
    "[params.cloud]\nrps = 100.0\nlist_lag_s = 2.0\n"
)  # fmt: skip
#: The policy file of each cluster: machines are neither rented nor returned during a run.
POLICY = "rent = false\nidle_return_s = 100000\nhold_s = 3\ndead_after_s = 10000\n"
GANG_TASKS = 3
#: Prefix of the job class of each gang; the gang's number follows.
CLASS_PREFIX = "gang-"
#: Share of gangs that are submitted to the first cluster; each other gang is submitted to a random cluster.
CROWDED_SHARE = 0.75
#: Share of gangs that their users cancel.
CANCELLED_SHARE = 0.1
#: Added to the number in a job id that is already taken in its cluster.
ID_OFFSET = 5000


@dataclass
class FaultTestPlan:
    """Parameters of one run of a fault test.

    Attributes:
        seed: Seed from which gangs and faults are drawn.
        clusters: Number of clusters.
        controllers: Number of controllers in each cluster.
        machines: Number of machines in each cluster.
        gangs: Number of gangs.
        arrival_s: Period over which gangs are submitted, in seconds. Fault injection ends
            `federation_faults.FAULTS_AFTER_ARRIVALS_S` later.
        max_duration_s: Time after which the run ends even if some gangs have not ended, in seconds.
        run_time_s: Shortest and longest run time of a gang, in seconds.
        on_time_margin_s: Time beyond a gang's run time within which its completion counts as on time, in seconds.
        faults: Whether faults are injected.
        federation: Whether the clusters are federated.
    """

    seed: int = 7
    clusters: int = 2
    controllers: int = 2
    machines: int = 7
    gangs: int = 30
    arrival_s: float = 35.0
    max_duration_s: float = 105.0
    run_time_s: tuple[float, float] = (2.0, 5.0)
    on_time_margin_s: float = 15.0
    faults: bool = True
    federation: bool = True


@dataclass
class Gang:
    """A gang that a user submits, and the responses of its cluster to that user.

    Attributes:
        job_id: Id of the gang's job, unique in the home cluster only.
        job_class: Class of the gang's job, which identifies the gang in every cluster.
        home: Name of the cluster to which the gang is submitted.
        tasks: Number of tasks.
        submit_after_s: Time from the beginning of the run to the submission, in seconds.
        run_time_s: Run time of the gang, in seconds.
        to_cancel: Whether the user cancels the gang some time after the gang was accepted.
        cancel_at: Time on the run's clock from which the user cancels the gang, in seconds; None if none is set.
        first_request_at: Time on the run's clock of the first submission request, in seconds; None until a request was
            accepted.
        final_state: "done" or "cancelled", once a response reported one of them; empty before.
        final_state_at: Time on the run's clock at which the final state was reported, in seconds.
    """

    job_id: str
    job_class: str
    home: str
    tasks: int
    submit_after_s: float
    run_time_s: float
    to_cancel: bool = False
    cancel_at: float | None = None
    first_request_at: float | None = None
    final_state: str = ""
    final_state_at: float = 0.0


def draw_gangs(plan: FaultTestPlan, names: tuple[str, ...], rng: random.Random) -> list[Gang]:
    """Draw the gangs of a run, with job ids that are unique within each home cluster.

    Most gangs are submitted to the first cluster, which has capacity for only a few of them at a time.
    """
    gangs = [_draw_gang(plan, names, rng, index) for index in range(plan.gangs)]
    taken: set[tuple[str, str]] = set()
    for gang in gangs:
        while (gang.home, gang.job_id) in taken:
            gang.job_id = f"j-{int(gang.job_id[2:]) + ID_OFFSET:06d}"
        taken.add((gang.home, gang.job_id))
    return gangs


def _draw_gang(plan: FaultTestPlan, names: tuple[str, ...], rng: random.Random, index: int) -> Gang:
    home = names[0] if rng.random() < CROWDED_SHARE else rng.choice(names)
    submit_after_s = plan.arrival_s * (index + rng.random()) / plan.gangs
    run_time_s = rng.uniform(*plan.run_time_s)
    to_cancel = plan.faults and rng.random() < CANCELLED_SHARE
    # Job ids are unique within one cluster only: some gangs of different clusters get the same id on purpose.
    number = index // 2 + 1 if home != names[0] else index + 1
    return Gang(
        f"j-{number:06d}", f"{CLASS_PREFIX}{index:04d}", home, GANG_TASKS, submit_after_s, run_time_s, to_cancel
    )
