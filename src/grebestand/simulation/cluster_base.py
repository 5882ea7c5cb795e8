"""The state that all parts of a simulated cluster share: time, randomness, links, settings, faults and jobs."""

from __future__ import annotations

import math
import random

from ..settings import policy
from ..settings.platform import Settings, parse
from .client_history import ClientHistory
from .fault_injection import FaultInjection
from .network_links import NetworkLinks
from .single_controller_cluster import SETTINGS
from .virtual_time import VirtualLoop

#: the CPUs of each machine
MACHINE_CPUS = 16.0


def controller_settings(index: int, names: list[str], rates: tuple[float, float]) -> Settings:
    """Return the settings of one controller.

    Args:
        index: The controller's position in `names`.
        names: The host names of all controllers.
        rates: The state service's limits of requests, and of puts and deletes, per second.
    """
    text = SETTINGS.replace('host_name = "node-0"', f'host_name = "node-{index}"')
    text = text.replace("cpus_max = 16.0", "cpus_max = 16.0\ngpus = 2.0\ngpus_max = 4.0")
    for key, rate in zip(("rps", "write_rps"), rates, strict=True):
        text = text.replace(f"\n{key} = 10000.0", f"\n{key} = {rate}")
    text = text.replace("127.0.0.1:2", f"127.0.1.{index}:2").replace("count = 1", f"count = {len(names)}")
    known = "".join(
        f'[[known]]\nhost_name = "{name}"\narea = "a"\naddress = "127.0.1.{i}:2"\n'
        for i, name in enumerate(names)
        if i != index
    )
    return parse(text.replace("[outside]", known + "[outside]"))


class ClusterBase(FaultInjection):
    """The state that all parts of a simulated cluster share, with the faults in force (`FaultInjection`).

    Attributes:
        loop: The event loop on virtual time.
        seed: Determines the run.
        rng: Draws what users, workers and links do.
        fault_rng: Draws faults, so that a run without faults doesn't depend on them.
        links: The network between all hosts.
        controller_names: The host names of the controllers.
        policy: The policy of all controllers.
        settings: The platform settings of each controller.
        lease_s: The lease of a machine, in seconds.
        heartbeat_interval_s: The interval between a worker's heartbeats, in seconds.
        cancel_s: Tasks must have ended within this time after the cancellation of their job, in seconds.
        task_duration_s: The shortest and longest duration of a task, in seconds.
        jobs: The history of each job by its id.
        faults_ended_at: When all faults ended, in simulated seconds; infinite before that.
    """

    def __init__(self, loop: VirtualLoop, seed: int, controllers: int, rules: str, rates: tuple[float, float]) -> None:
        super().__init__()
        self.loop = loop
        self.seed = seed
        # Other seed texts than these would change all recorded runs.
        self.rng = random.Random(f"world {seed}")
        self.fault_rng = random.Random(f"luck {seed}")
        self.links = NetworkLinks()
        self.controller_names = [f"node-{i}" for i in range(controllers)]
        self.policy = policy.parse(rules, "cluster.toml", policy.default())
        self.settings = {
            name: controller_settings(i, self.controller_names, rates) for i, name in enumerate(self.controller_names)
        }
        params = self.settings["node-0"].params
        self.lease_s, self.heartbeat_interval_s = params.workers.lease_s, params.workers.report_s
        self.cancel_s = params.workers.cancel_s
        self.task_duration_s = (3.0, 12.0)
        self.jobs: dict[str, ClientHistory] = {}
        self.faults_ended_at = math.inf

    def team_limits(self) -> dict[str, tuple[float, float]]:
        """Return the CPUs and GPUs that each team may use at most."""
        return {team.name: (team.cpus_max, team.gpus_max) for team in self.settings["node-0"].params.teams}
