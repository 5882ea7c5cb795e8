"""`grebestand rehearse federation`: real controllers of some clusters on loopback, one of them crowded, under faults.

What is started, disturbed and asked is drawn from the seed; when exactly things happen is up to real processes, so two
runs differ in their rows. The verdict must not.
"""

from __future__ import annotations

import datetime as dt
import random
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from ..emulators.controller_processes import SiteControllers, free_port
from ..emulators.site import HOST, EmulatedSite
from ..emulators.tcp_relay import TcpRelay
from ..errors import GrebestandError
from ..federation import keys
from ..metrics.duration_sketches import DurationSketches
from .federation_faults import KEY_DAYS, FaultInjector, FaultTargets
from .federation_plan import (
    CLUSTER_NAMES,
    MACHINE_TYPE,
    MACHINE_TYPES,
    PARAMS,
    POLICY,
    WORKERS,
    ZONE,
    FaultTestPlan,
    Gang,
    draw_gangs,
)
from .federation_users import FederationUsers
from .history import History
from .history_checker import HistoryVerdict, check
from .offer_log import count_offers

#: a cluster has a leader within this, in seconds
READY_S = 25.0
POLL_INTERVAL_S = 0.2
#: between the last gang's end and the end of the run, in seconds: ends of tasks are still recorded
AFTERMATH_S = 1.0
#: users see the end of the run within this, in seconds
USERS_END_S = 6.0


class NoLeaderError(GrebestandError, RuntimeError):
    """A cluster of a fault test has no leader; the command line reports a `RuntimeError` as one line.

    Attributes:
        cluster: the name of the cluster.
        last_log_lines: the last line of each of its controllers' logs.
    """

    def __init__(self, cluster: str, last_log_lines: str) -> None:
        self.cluster = cluster
        self.last_log_lines = last_log_lines
        super().__init__(f"no controller of {cluster} came to lead: {last_log_lines}")


@dataclass
class FaultTestResult:
    """The verdict of a run, its history and its figures."""

    verdict: HistoryVerdict
    history: History
    gangs: list[Gang]
    #: lines that say for each gang its home, offers, the clusters that it ran in, and attempts
    rows: list[str]
    sketches: DurationSketches
    counts: dict[str, float] = field(default_factory=dict)


class FederationFaultTest:
    """One run: clusters on loopback, users, faults drawn from the seed, and the history of it all."""

    def __init__(self, plan: FaultTestPlan, root: Path, say: Callable[[str], None]) -> None:
        """Prepare clusters and draw gangs.

        Args:
            plan: what is played.
            root: a directory for settings, keys and logs.
            say: prints a line of progress.
        """
        self.plan = plan
        self.root = root
        self.rng = random.Random(plan.seed)
        self.history = History(WORKERS["cancel_s"], about={"seed": plan.seed, "clusters": plan.clusters})
        self.names = CLUSTER_NAMES[: plan.clusters]
        self.sites = {
            name: EmulatedSite(name, MACHINE_TYPES, WORKERS, self.history.tell, plan.seed) for name in self.names
        }
        self.controllers = {
            name: SiteControllers(self.sites[name], plan.controllers, root / name, PARAMS, POLICY)
            for name in self.names
        }
        self.clock = self.sites[self.names[0]].clock
        #: between a cluster and one controller of another
        self.relays: dict[tuple[str, str], TcpRelay] = {}
        if plan.federation:
            self._federate()
        self.gangs = draw_gangs(plan, self.names, self.rng)
        targets = FaultTargets(
            root=root,
            names=self.names,
            sites=self.sites,
            controllers=self.controllers,
            relays=self.relays,
            gangs=self.gangs,
        )
        self.faults = FaultInjector(plan, targets, self.clock, self.rng, say)
        self.users = FederationUsers(self.controllers, self.history, self.clock, self.rng)

    def _federate(self) -> None:
        """Create keys that all other clusters trust, and the settings of the federation for each cluster."""
        now = dt.datetime.now(dt.UTC)
        certificates = {name: keys.create(self.root / name / "keys", name, KEY_DAYS, now) for name in self.names}
        listen = {
            controller: f"{HOST}:{free_port()}" for name in self.names for controller in self.controllers[name].names
        }
        for name in self.names:
            for other in self.names:
                if other != name:
                    keys.trust(self.root / name / "keys", certificates[other])
            file = self.root / name / "federation.toml"
            file.write_text("\n".join(self._federation_settings(name, listen)) + "\n")
            self.controllers[name].features = [file]

    def _federation_settings(self, name: str, listen: dict[str, str]) -> list[str]:
        """Return the lines of a cluster's settings, with a relay in front of each other cluster's controllers."""
        lines = [
            'feature = "federation"', f'cluster = "{name}"', 'keys = "keys"', 'guests_team = "guests"',
            f'networks = ["{HOST}/32"]', "overflow_after_s = 2", "look_s = 1", "reserve_s = 6", "give_back_s = 15",
            "offers_per_gang = 40", "offers_in_flight = 8", "offers_per_s = 8", "most_reserved = 6",
        ]  # fmt: skip
        lines += ["[listen]", *[f'{own} = "{listen[own]}"' for own in self.controllers[name].names]]
        for other in self.names:
            if other == name:
                continue
            lines += ["[[others]]", f'name = "{other}"', "[others.controllers]"]
            for controller in self.controllers[other].names:
                relay = self.relays[name, controller] = TcpRelay(listen[controller], self.rng)
                lines.append(f'{controller} = "{relay.address}"')
        return lines

    # the run ----------------------------------------------------------------------------------------------

    def run(self) -> FaultTestResult:
        """Play the whole run and judge it.

        Raises:
            NoLeaderError: a cluster has no leader in time.
        """
        try:
            self._start_clusters()
            begin = self.clock()
            users = [gevent.spawn(self.users.play, gang, begin) for gang in self.gangs]
            if self.plan.faults:
                gevent.spawn(self.faults.run, begin)
            while self.clock() - begin < self.plan.most_s and not all(gang.final for gang in self.gangs):
                gevent.sleep(POLL_INTERVAL_S)
            gevent.sleep(AFTERMATH_S)
            self._end()
            gevent.joinall(users, timeout=USERS_END_S)
            return self._result(begin)
        finally:
            self._end()
            for controllers in self.controllers.values():
                controllers.stop()

    def _start_clusters(self) -> None:
        for name in self.names:
            for _ in range(self.plan.machines):
                self.sites[name].add_machine(MACHINE_TYPE, ZONE)
            self.controllers[name].start_all()
        for name in self.names:
            if not self.controllers[name].wait_until_ready(READY_S):
                raise NoLeaderError(name, self.controllers[name].last_log_lines())

    def _end(self) -> None:
        self.users.ended = self.faults.ended = True

    # figures ----------------------------------------------------------------------------------------------

    def _result(self, begin: float) -> FaultTestResult:
        sketches = DurationSketches()
        offers = self._offers(sketches)
        attempts = self._attempts()
        rows = [self._gang_row(gang, offers, attempts) for gang in self.gangs]
        on_time = self._record_durations(sketches)
        relays = self.relays.values()
        counts = {
            "messages": float(sum(relay.connection_count for relay in relays)),
            "bytes": float(sum(relay.byte_count for relay in relays)),
            "writes": float(sum(site.store.commit_count for site in self.sites.values())),
            "abroad": float(
                sum(any(cluster != gang.home for cluster, _ in attempts.get(gang.klass, [])) for gang in self.gangs)
            ),
            "offers": float(sum(offers.values())),
            "on_time": float(on_time),
            "seconds": self.clock() - begin,
        }
        return FaultTestResult(check(self.history), self.history, self.gangs, rows, sketches, counts)

    def _attempts(self) -> dict[str, list[tuple[str, int]]]:
        """Return the clusters and attempts that each gang was on machines in, by the gang's class."""
        attempts: dict[str, list[tuple[str, int]]] = {}
        for event in self.history.rows:
            if event.what != "on":
                continue
            known = attempts.setdefault(event.klass, [])
            if (event.cluster, event.attempt) not in known:
                known.append((event.cluster, event.attempt))
        return attempts

    @staticmethod
    def _gang_row(gang: Gang, offers: dict[tuple[str, str], int], attempts: dict[str, list[tuple[str, int]]]) -> str:
        ran = attempts.get(gang.klass, [])
        clusters = " ".join(dict.fromkeys(cluster for cluster, _ in ran)) or "-"
        return (
            f"{gang.klass}  home {gang.home:6} offers {offers.get((gang.home, gang.ref), 0):2}  ran {clusters:12} "
            f"attempts {len(ran)}  {gang.final or 'not over'}"
        )

    def _record_durations(self, sketches: DurationSketches) -> int:
        """Record how long gangs took, and return how many were on time."""
        on_time = 0
        for gang in self.gangs:
            if gang.final == "done" and gang.accepted_at is not None:
                took_s = gang.final_at - gang.accepted_at
                sketches.add("until done", took_s)
                on_time += took_s <= gang.run_s + self.plan.spare_s
        return on_time

    def _offers(self, sketches: DurationSketches) -> dict[tuple[str, str], int]:
        """Return the number of offers of each gang, by its home and job, and record how long decisions took."""
        offers: dict[tuple[str, str], int] = {}
        for name in self.names:
            for log in sorted((self.root / name).glob("*.log")):
                for job_id, count in count_offers(log.read_text("utf-8").splitlines(), sketches).items():
                    offers[name, job_id] = offers.get((name, job_id), 0) + count
        return offers


def rehearse(plan: FaultTestPlan, say: Callable[[str], None], keep: Path | None = None) -> FaultTestResult:
    """Play a run in a temporary directory, or in a directory that is kept.

    Args:
        plan: what is played.
        say: prints a line of progress.
        keep: the directory that is kept.

    Raises:
        NoLeaderError: a cluster has no leader in time.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return FederationFaultTest(plan, keep, say).run()
    with tempfile.TemporaryDirectory(prefix="grebestand-") as directory:
        return FederationFaultTest(plan, Path(directory), say).run()
