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
        self.odd = InvalidRequests(self, self.checks, self.processes)
        self.inventory = SimulatedMachines(self, self.machines, self.cloud, self.checks, self.users, self.processes)
        self.aftermath = QuiescenceChecks(self, self.checks)
        # what tests do to a cluster, and look at, is done and kept by its parts
        self.nodes, self.hosts = self.processes.nodes, self.processes.hosts
        self.leaders, self.both = self.processes.leaders, self.processes.both
        self.start, self.crash, self.freeze = self.processes.start, self.processes.crash, self.processes.freeze
        self.leading = self.processes.leading
        self.submit, self.crowd, self._ask = self.users.submit, self.users.crowd, self.users.ask
        self.told_late = self.users.told_late
        self.odd_requests = self.odd.until
        self.starts, self.after_cancel, self.wrong = self.checks.starts, self.checks.after_cancel, self.checks.wrong
        self._tasks, self._use_of_teams = self.checks.tasks, self.checks.use_of_teams
        self.longest_pause, self.longest_unanswered = self.checks.longest_pause, self.aftermath.longest_unanswered
        self._limits, self._removed = self.limits, self.inventory.removed
        for name in self.controllers:
            self.start(name)
        self.inventory.begin(machines)
        gevent.spawn(self.processes.watch)

    @property
    def killed(self) -> int:
        """How many tasks ended because a lease did."""
        return self.checks.killed

    def cancel_now(self, count: int, hang_s: float = 0.0) -> list[str]:
        """Users call off so many jobs that run, within a fifth of a second; some of their machines hang that long."""
        refs = self.users.cancel_now(count)
        if hang_s:
            self.inventory.hang(refs, hang_s)
        return refs

    def settled(self, most_s: float) -> list[str]:
        """All troubles are over: lets everybody go on until all is done, or for so long, and says what is wrong."""
        left = self.aftermath.settled(most_s)
        return self.broken() + left

    def broken(self) -> list[str]:
        """Rules that were broken, as workers and users saw it."""
        return self.checks.broken() + [f"two leaders at {t:.1f}" for t in self.both]
