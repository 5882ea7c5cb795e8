"""Several real controllers, their workers, users, cloud and state service on simulated time, over a matrix of links.

Every link has two ends and a way: open, refused, held, one direction lost, or slow. Controllers run their own loops and
doors unchanged (`process.controller`); state service, cloud and workers are the models beside this file. What workers
and users saw is kept, so that rules are checked from their side. Seeded, and the same in every run.

Its parts over one basis: `links`, `troubles`, `host`, `state_access`, `simulated_controllers`, `users`, `odd_requests`,
`seats`, `machines`, `checks`, `aftermath`.
"""

from __future__ import annotations

import gevent

from .aftermath import Aftermath
from .basis import Basis
from .checks import Checks
from .cloud import CloudModel
from .links import CLOUD, STATE, Links, Way
from .machines import Machines
from .odd_requests import OddRequests
from .seats import Seat
from .simulated_controllers import SimulatedControllers
from .store import StoreModel
from .users import Users
from .virtual import VirtualLoop

__all__ = ["CLOUD", "RULES", "STATE", "Links", "SimulatedCluster", "Way"]

#: the machines stay as they are: none is rented, and none returned for being idle
RULES = "rent = false\nidle_return_s = 1e6\n"


class SimulatedCluster(Basis):
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
        self.state = StoreModel(lambda: loop.time)
        self.state.rps, self.state.write_rps = rps, write_rps
        self.cloud = CloudModel()
        self.machines: dict[str, Seat] = {}
        self.checks = Checks(self, self.machines)
        self.processes = SimulatedControllers(self, self.state, self.cloud, self.machines)
        self.users = Users(self, self.checks, self.processes)
        self.odd = OddRequests(self, self.checks, self.processes)
        self.fleet = Machines(self, self.machines, self.cloud, self.checks, self.users, self.processes)
        self.aftermath = Aftermath(self, self.checks)
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
        self._limits, self._removed = self.limits, self.fleet.removed
        for name in self.controllers:
            self.start(name)
        self.fleet.begin(machines)
        gevent.spawn(self.processes.watch)

    @property
    def killed(self) -> int:
        """How many tasks ended because a lease did."""
        return self.checks.killed

    def cancel_now(self, count: int, hang_s: float = 0.0) -> list[str]:
        """Users call off so many jobs that run, within a fifth of a second; some of their machines hang that long."""
        refs = self.users.cancel_now(count)
        if hang_s:
            self.fleet.hang(refs, hang_s)
        return refs

    def settled(self, most_s: float) -> list[str]:
        """All troubles are over: lets everybody go on until all is done, or for so long, and says what is wrong."""
        left = self.aftermath.settled(most_s)
        return self.broken() + left

    def broken(self) -> list[str]:
        """Rules that were broken, as workers and users saw it."""
        return self.checks.broken() + [f"two leaders at {t:.1f}" for t in self.both]
