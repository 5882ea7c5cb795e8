"""Several real controllers, their workers, users, cloud and state service on simulated time, over a matrix of links.

Every link has two ends and a way: open, refused, held, one direction lost, or slow. Controllers run their own loops and
APIs unchanged; state service, cloud and workers are the models beside this file. What workers
and users saw is kept, so that rules are checked from their side. Seeded, and the same in every run.

Its parts over one basis: `links`, `troubles`, `host`, `state_access`, `simulated_controllers`, `users`, `odd_requests`,
`seats`, `machines`, `checks`, `aftermath`.
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

__all__ = ["CLOUD", "RULES", "STATE", "LinkMode", "NetworkLinks", "SimulatedCluster"]

#: the machines stay as they are: none is rented, and none returned for being idle
RULES = "rent = false\nidle_return_s = 1e6\n"


class SimulatedCluster(ClusterBase):
    """A cluster: its parts over one basis. Use it inside `simulated()`; `gevent.sleep` lets it run."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int = 1,
        controllers: int = 3,
        machines: int = 24,
        rules: str = RULES,
        rps: float = 10_000.0,
        write_rps: float = 10_000.0,
    ) -> None:
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
        # what tests do to a cluster, and look at, is done and kept by its parts
        self.controllers, self.runtimes = self.processes.controllers, self.processes.runtimes
        self.leader_history, self.multiple_leader_times = (
            self.processes.leader_history,
            self.processes.multiple_leader_times,
        )
        self.start, self.crash, self.pause = self.processes.start, self.processes.crash, self.processes.pause
        self.current_leaders = self.processes.current_leaders
        self.submit, self.submit_continuously, self._send_request = (
            self.users.submit,
            self.users.submit_continuously,
            self.users.send_request,
        )
        self.completion_delays_s = self.users.completion_delays_s
        self.send_invalid_requests = self.invalid_requests.send_until
        self.task_start_times, self.starts_after_cancellation, self.other_violations = (
            self.checks.task_start_times,
            self.checks.starts_after_cancellation,
            self.checks.other_violations,
        )
        self._machine_by_task, self._team_usage = self.checks.machine_by_task, self.checks.team_usage
        self.longest_gap_between_starts, self.longest_unanswered = (
            self.checks.longest_gap_between_starts,
            self.quiescence_checks.longest_unanswered,
        )
        self._team_limits, self._delete_machines = self.team_limits, self.machine_lifecycle.delete
        for name in self.controller_names:
            self.start(name)
        self.machine_lifecycle.create_initial_machines(machines)
        gevent.spawn(self.processes.record_leaders)

    @property
    def lease_expiry_kills(self) -> int:
        """How many tasks ended because a lease did."""
        return self.checks.lease_expiry_kills

    def cancel_running_jobs(self, count: int, hang_s: float = 0.0) -> list[str]:
        """Users call off so many jobs that run, within a fifth of a second; some of their machines hang that long."""
        refs = self.users.cancel_running_jobs(count)
        if hang_s:
            self.machine_lifecycle.hang_machines_of(refs, hang_s)
        return refs

    def wait_until_settled(self, most_s: float) -> list[str]:
        """All troubles are over: lets everybody go on until all is done, or for so long, and says what is wrong."""
        left = self.quiescence_checks.wait_until_settled(most_s)
        return self.violations() + left

    def violations(self) -> list[str]:
        """Rules that were broken, as workers and users saw it."""
        return self.checks.violations() + [f"two leaders at {t:.1f}" for t in self.multiple_leader_times]
