"""`grebestand rehearse federation`: real controllers of several clusters on loopback, tested with injected faults.

Gangs, faults and requests are drawn from the seed. Their exact times depend on real processes, so that two runs with
one seed may differ in the summaries of their gangs, but must not differ in whether the verdict passes.
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
    PLATFORM_PARAMS,
    POLICY,
    WORKER_SETTINGS,
    ZONE,
    FaultTestPlan,
    Gang,
    draw_gangs,
)
from .federation_users import FederationUsers
from .history import History
from .history_checker import HistoryVerdict, check_history
from .offer_log import count_offers

#: Time within which each cluster must have a leader, in seconds.
LEADER_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.2
#: Time for which the run continues after the last gang has ended, so that ends of tasks are recorded, in seconds.
FINAL_RECORDING_S = 1.0
#: Time within which all simulated users must have stopped, in seconds.
USER_STOP_TIMEOUT_S = 6.0


class NoLeaderError(GrebestandError, RuntimeError):
    """A cluster of a fault test has no leader in time.

    This class derives from `RuntimeError` because the command line reports a `RuntimeError` as one line.

    Attributes:
        cluster: Name of the cluster.
        last_log_lines: Last line of the log of each controller of the cluster.
    """

    def __init__(self, cluster: str, last_log_lines: str) -> None:
        self.cluster = cluster
        self.last_log_lines = last_log_lines
        super().__init__(
            f"cluster {cluster}: expected a leader within {LEADER_TIMEOUT_S:g} s, found none; "
            f"logs end with: {last_log_lines}"
        )


@dataclass
class FaultTestResult:
    """The verdict of a run, with its history and statistics.

    Attributes:
        verdict: Result of checking the history.
        history: Events of the run.
        gangs: The submitted gangs.
        gang_summaries: One line for each gang with its home cluster, number of offers, the clusters in which it ran,
            the number of attempts, and its final state.
        sketches: Distributions of durations, in seconds.
        counts: Statistics of the run, by the name under which they are printed.
    """

    verdict: HistoryVerdict
    history: History
    gangs: list[Gang]
    gang_summaries: list[str]
    sketches: DurationSketches
    counts: dict[str, float] = field(default_factory=dict)


class FederationFaultTest:
    """One run of the test, with clusters on loopback, simulated users, and faults drawn from the seed."""

    def __init__(self, plan: FaultTestPlan, root: Path, print_progress: Callable[[str], None]) -> None:
        """Prepare the clusters and draw the gangs; `run` starts the controllers.

        Args:
            plan: Parameters of the run.
            root: Directory for settings, keys and logs.
            print_progress: Prints one line of progress.
        """
        self.plan = plan
        self.root = root
        self.rng = random.Random(plan.seed)
        self.history = History(WORKER_SETTINGS["cancel_s"], run_info={"seed": plan.seed, "clusters": plan.clusters})
        self.cluster_names = CLUSTER_NAMES[: plan.clusters]
        self.sites = {
            name: EmulatedSite(name, MACHINE_TYPES, WORKER_SETTINGS, self.history.append, plan.seed)
            for name in self.cluster_names
        }
        self.controllers = {
            name: SiteControllers(self.sites[name], plan.controllers, root / name, PLATFORM_PARAMS, POLICY)
            for name in self.cluster_names
        }
        self.clock = self.sites[self.cluster_names[0]].clock
        #: TCP relays in front of each link, by the name of the connecting cluster and of the remote controller.
        self.relays: dict[tuple[str, str], TcpRelay] = {}
        if plan.federation:
            self._federate()
        self.gangs = draw_gangs(plan, self.cluster_names, self.rng)
        targets = FaultTargets(
            root=root,
            cluster_names=self.cluster_names,
            sites=self.sites,
            controllers=self.controllers,
            relays=self.relays,
            gangs=self.gangs,
        )
        self.faults = FaultInjector(plan, targets, self.clock, self.rng, print_progress)
        self.users = FederationUsers(self.controllers, self.history, self.clock, self.rng)

    def _federate(self) -> None:
        """Create each cluster's keys, which all other clusters trust, and its federation settings."""
        now = dt.datetime.now(dt.UTC)
        certificates = {
            name: keys.create(self.root / name / "keys", name, KEY_DAYS, now) for name in self.cluster_names
        }
        listen = {
            controller: f"{HOST}:{free_port()}"
            for name in self.cluster_names
            for controller in self.controllers[name].names
        }
        for name in self.cluster_names:
            for other in self.cluster_names:
                if other != name:
                    keys.trust(self.root / name / "keys", certificates[other])
            file = self.root / name / "federation.toml"
            file.write_text("\n".join(self._federation_settings(name, listen)) + "\n")
            self.controllers[name].features = [file]

    def _federation_settings(self, name: str, listen: dict[str, str]) -> list[str]:
        """Create relays in front of all remote controllers, and return the lines of a cluster's federation settings.

        Args:
            name: Name of the cluster.
            listen: Federation listen address of each controller of all clusters, by the controller's name.
        """
        lines = [
            'feature = "federation"', f'cluster = "{name}"', 'keys = "keys"', 'guests_team = "guests"',
            f'networks = ["{HOST}/32"]', "overflow_after_s = 2", "look_s = 1", "reserve_s = 6", "give_back_s = 15",
            "offers_per_gang = 40", "offers_in_flight = 8", "offers_per_s = 8", "most_reserved = 6",
        ]  # fmt: skip
        lines += ["[listen]", *[f'{own} = "{listen[own]}"' for own in self.controllers[name].names]]
        for other in self.cluster_names:
            if other == name:
                continue
            lines += ["[[others]]", f'name = "{other}"', "[others.controllers]"]
            for controller in self.controllers[other].names:
                relay = self.relays[name, controller] = TcpRelay(listen[controller], self.rng)
                lines.append(f'{controller} = "{relay.address}"')
        return lines

    def run(self) -> FaultTestResult:
        """Run the test from the start of the clusters to their end, and check the history.

        Raises:
            NoLeaderError: A cluster has no leader within `LEADER_TIMEOUT_S`.
        """
        try:
            self._start_clusters()
            begin = self.clock()
            users = [gevent.spawn(self.users.run, gang, begin) for gang in self.gangs]
            if self.plan.faults:
                gevent.spawn(self.faults.run, begin)
            while self.clock() - begin < self.plan.max_duration_s and not all(gang.final_state for gang in self.gangs):
                gevent.sleep(POLL_INTERVAL_S)
            gevent.sleep(FINAL_RECORDING_S)
            self._stop_users_and_faults()
            gevent.joinall(users, timeout=USER_STOP_TIMEOUT_S)
            return self._result(begin)
        finally:
            self._stop_users_and_faults()
            for controllers in self.controllers.values():
                controllers.stop()

    def _start_clusters(self) -> None:
        for name in self.cluster_names:
            for _ in range(self.plan.machines):
                self.sites[name].add_machine(MACHINE_TYPE, ZONE)
            self.controllers[name].start_all()
        for name in self.cluster_names:
            if not self.controllers[name].wait_until_ready(LEADER_TIMEOUT_S):
                raise NoLeaderError(name, self.controllers[name].last_log_lines())

    def _stop_users_and_faults(self) -> None:
        self.users.stopped = self.faults.stopped = True

    def _result(self, begin: float) -> FaultTestResult:
        sketches = DurationSketches()
        offers = self._count_offers(sketches)
        attempts = self._list_attempts()
        gang_summaries = [self._summarize_gang(gang, offers, attempts) for gang in self.gangs]
        on_time = self._record_durations(sketches)
        relays = self.relays.values()
        counts = {
            "messages": float(sum(relay.connection_count for relay in relays)),
            "bytes": float(sum(relay.byte_count for relay in relays)),
            "writes": float(sum(site.store.commit_count for site in self.sites.values())),
            "abroad": float(
                sum(any(cluster != gang.home for cluster, _ in attempts.get(gang.job_class, [])) for gang in self.gangs)
            ),
            "offers": float(sum(offers.values())),
            "on_time": float(on_time),
            "seconds": self.clock() - begin,
        }
        return FaultTestResult(check_history(self.history), self.history, self.gangs, gang_summaries, sketches, counts)

    def _list_attempts(self) -> dict[str, list[tuple[str, int]]]:
        """Return the clusters and attempt numbers in which each gang had a task on a machine, by job class."""
        attempts: dict[str, list[tuple[str, int]]] = {}
        for event in self.history.events:
            if event.what != "on":
                continue
            known = attempts.setdefault(event.klass, [])
            if (event.cluster, event.attempt) not in known:
                known.append((event.cluster, event.attempt))
        return attempts

    @staticmethod
    def _summarize_gang(
        gang: Gang, offers: dict[tuple[str, str], int], attempts: dict[str, list[tuple[str, int]]]
    ) -> str:
        ran = attempts.get(gang.job_class, [])
        clusters = " ".join(dict.fromkeys(cluster for cluster, _ in ran)) or "-"
        return (
            f"{gang.job_class}  home {gang.home:6} offers {offers.get((gang.home, gang.job_id), 0):2}  "
            f"ran {clusters:12} attempts {len(ran)}  {gang.final_state or 'not over'}"
        )

    def _record_durations(self, sketches: DurationSketches) -> int:
        """Record the durations from submission to completion, and return the number of gangs completed on time."""
        on_time = 0
        for gang in self.gangs:
            if gang.final_state == "done" and gang.first_request_at is not None:
                duration_s = gang.final_state_at - gang.first_request_at
                sketches.add("until done", duration_s)
                on_time += duration_s <= gang.run_time_s + self.plan.on_time_margin_s
        return on_time

    def _count_offers(self, sketches: DurationSketches) -> dict[tuple[str, str], int]:
        """Count the offers in the controllers' logs.

        Args:
            sketches: Receives the durations from an offer to its decision, in seconds.

        Returns:
            Number of offers, by home cluster and job id.
        """
        offers: dict[tuple[str, str], int] = {}
        for name in self.cluster_names:
            for log in sorted((self.root / name).glob("*.log")):
                for job_id, count in count_offers(log.read_text("utf-8").splitlines(), sketches).items():
                    offers[name, job_id] = offers.get((name, job_id), 0) + count
        return offers


def run_fault_test(
    plan: FaultTestPlan, print_progress: Callable[[str], None], kept_directory: Path | None = None
) -> FaultTestResult:
    """Run a federation fault test.

    Args:
        plan: Parameters of the run.
        print_progress: Prints one line of progress.
        kept_directory: Directory for settings, keys and logs, which is created if missing and kept after the run; if
            None, a temporary directory is used and removed.

    Raises:
        NoLeaderError: A cluster has no leader within `LEADER_TIMEOUT_S`.
    """
    if kept_directory is not None:
        kept_directory.mkdir(parents=True, exist_ok=True)
        return FederationFaultTest(plan, kept_directory, print_progress).run()
    with tempfile.TemporaryDirectory(prefix="grebestand-") as directory:
        return FederationFaultTest(plan, Path(directory), print_progress).run()
