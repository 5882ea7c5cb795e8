"""Several real controllers with simulated workers, users, cloud and state service, on virtual time.

Controllers run their own loops and APIs unchanged; the state service, the cloud and the workers are emulated. Every
link between two hosts has a mode: open, refused, held, one direction lost, or slow. Rules are checked from what workers
and users observe. A run is seeded, and the same seed gives the same run.
"""

from __future__ import annotations

import gevent

from ..emulators.cloud import CloudEmulator
from ..emulators.kv_store import KeyValueStoreEmulator
from .cluster_base import ClusterBase
from .invalid_requests import InvalidRequests
from .invariant_checks import InvariantChecks
from .machines import SimulatedMachines
from .network_links import CLOUD, STATE, LinkMode, NetworkLinks
from .quiescence_checks import QuiescenceChecks
from .simulated_controllers import SimulatedControllers
from .simulated_users import SimulatedUsers
from .simulated_worker import SimulatedWorker
from .virtual_time import VirtualLoop

__all__ = ["CLOUD", "FIXED_MACHINES_POLICY", "STATE", "LinkMode", "NetworkLinks", "SimulatedCluster"]

#: a policy under which no machine is rented, and none returned for being idle
FIXED_MACHINES_POLICY = "rent = false\nidle_return_s = 1e6\n"


class SimulatedCluster(ClusterBase):
    """A cluster on virtual time. Use it inside `simulated_time()`; `gevent.sleep` lets it run.

    The methods and records of the cluster's parts that tests use are also attributes of the cluster.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int = 1,
        controllers: int = 3,
        machines: int = 24,
        rules: str = FIXED_MACHINES_POLICY,
        rps: float = 10_000.0,
        write_rps: float = 10_000.0,
    ) -> None:
        """Start the controllers, machines and users.

        Args:
            loop: The loop of `simulated_time()`.
            seed: Determines the run.
            controllers: The number of controllers.
            machines: The number of machines that exist at the start.
            rules: The text of the policy file.
            rps: The state service's limit of requests per second.
            write_rps: The state service's limit of puts and deletes per second.
        """
        super().__init__(loop, seed, controllers, rules, (rps, write_rps))
        self.store = KeyValueStoreEmulator(lambda: loop.time)
        self.store.rps, self.store.write_rps = rps, write_rps
        self.cloud = CloudEmulator()
        self.machines: dict[str, SimulatedWorker] = {}
        self.checks = InvariantChecks(self, self.machines)
        self.processes = SimulatedControllers(self, self.store, self.cloud, self.machines)
        self.users = SimulatedUsers(self, self.checks, self.processes)
        self.invalid_requests = InvalidRequests(self, self.checks, self.processes)
        self.machine_lifecycle = SimulatedMachines(
            self, self.machines, self.cloud, self.checks, self.users, self.processes
        )
        self.quiescence_checks = QuiescenceChecks(self, self.checks)
        self.controllers, self.runtimes = self.processes.controllers, self.processes.runtimes
        self.leader_history = self.processes.leader_history
        self.multiple_leader_times = self.processes.multiple_leader_times
        self.start, self.crash, self.pause = self.processes.start, self.processes.crash, self.processes.pause
        self.current_leaders = self.processes.current_leaders
        self.submit, self.submit_continuously = self.users.submit, self.users.submit_continuously
        self._send_request = self.users.send_request
        self.completion_delays_s = self.users.completion_delays_s
        self.send_invalid_requests = self.invalid_requests.send_until
        self.task_start_times = self.checks.task_start_times
        self.starts_after_cancellation = self.checks.starts_after_cancellation
        self.other_violations = self.checks.other_violations
        self._machine_by_task, self._team_usage = self.checks.machine_by_task, self.checks.team_usage
        self.longest_gap_between_starts = self.checks.longest_gap_between_starts
        self.longest_unanswered = self.quiescence_checks.longest_unanswered
        self._team_limits, self._delete_machines = self.team_limits, self.machine_lifecycle.delete
        for name in self.controller_names:
            self.start(name)
        self.machine_lifecycle.create_initial_machines(machines)
        gevent.spawn(self.processes.record_leaders)

    @property
    def lease_expiry_kills(self) -> int:
        """The number of tasks that ended because their machine's lease expired."""
        return self.checks.lease_expiry_kills

    def cancel_running_jobs(self, count: int, hang_s: float = 0.0) -> list[str]:
        """Have users cancel running jobs within 0.2 s.

        Args:
            count: How many jobs are cancelled at most.
            hang_s: For how many seconds some of the jobs' machines hang.

        Returns:
            The ids of the jobs.
        """
        job_ids = self.users.cancel_running_jobs(count)
        if hang_s:
            self.machine_lifecycle.hang_machines_of(job_ids, hang_s)
        return job_ids

    def wait_until_settled(self, timeout_s: float) -> list[str]:
        """Run without faults until all jobs are finished or the timeout, in simulated seconds, has passed.

        Returns:
            All violations, the ids of unfinished jobs, and the job that was unanswered for too long.
        """
        unsettled = self.quiescence_checks.wait_until_settled(timeout_s)
        return self.violations() + unsettled

    def violations(self) -> list[str]:
        """Return the rules that were broken, as workers and users observed."""
        return self.checks.violations() + [f"two leaders at {t:.1f}" for t in self.multiple_leader_times]
