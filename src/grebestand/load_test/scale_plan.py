"""The plan of a scale run: the size of the cluster, its load, and the controllers' settings derived from them."""

from __future__ import annotations

import random
from dataclasses import dataclass

ZONES = ("a", "b", "c", "d")
MACHINE_TYPE = "m16"
MACHINE_CPUS = 16.0
#: the limits that teams may have, in CPUs; the first team has the largest, so that some team allows every gang
TEAM_LIMITS_CPUS = (512.0, 256.0, 128.0, 64.0)
#: the share of all CPUs that is guaranteed to teams
GUARANTEED_SHARE = 0.5
#: keeps the set of machines constant during a run: no machine is rented, returned for idleness or declared dead
POLICY_TOML = "rent = false\nidle_return_s = 1000000\ndead_after_s = 100000\n"
#: the number of starts of tasks for which one urgent job is submitted
STARTS_PER_URGENT_JOB = 400.0
#: the lowest rate of urgent jobs, per second
MIN_URGENT_RATE = 0.5


@dataclass(frozen=True)
class ScaleRunPlan:
    """The size of the cluster, its load and its limits.

    Attributes:
        workers: The number of hollow workers.
        controllers: The number of controller processes.
        teams: The number of teams.
        rate: The number of tasks per second that ordinary jobs request to start.
        seconds: The duration of the load, in seconds.
        seed: The seed of teams, jobs and hollow workers.
        hollow: The number of processes that the hollow workers share.
        task_s: The shortest and the longest run time of a task, in seconds.
        report_s: The interval between heartbeats of a worker, in seconds.
        lease_s: The time to live of a worker's lease, in seconds.
        gang_wait_s: How long a task waits for the other members of its gang, in seconds.
        gang_peer_s: How long the other members of a gang continue to run after one has ended early, in seconds.
        cancel_s: The controllers' setting `cancel_s`, in seconds.
        sockets: The largest number of sockets that a controller may open.
        state_rps: The number of requests per second that the key-value store serves.
        write_rps: The number of puts and deletes per second that the key-value store serves.
        value_kb: The size of the largest value that the key-value store accepts, in kilobytes.
        txn_ops: The largest number of operations in a transaction of the key-value store.
    """

    workers: int = 2600
    controllers: int = 6
    teams: int = 710
    rate: float = 1600.0
    seconds: float = 60.0
    seed: int = 7
    hollow: int = 4
    task_s: tuple[float, float] = (8.0, 12.0)
    report_s: float = 3.5
    lease_s: float = 30.0
    gang_wait_s: float = 30.0
    gang_peer_s: float = 8.0
    cancel_s: float = 50.0
    sockets: int = 1752
    state_rps: float = 800.0
    write_rps: float = 200.0
    value_kb: float = 8.0
    txn_ops: int = 48

    @property
    def cpus(self) -> float:
        """The number of CPUs of all workers together."""
        return self.workers * MACHINE_CPUS

    @property
    def urgent_rate(self) -> float:
        """The mean number of urgent jobs that users submit per second."""
        return max(MIN_URGENT_RATE, self.rate / STARTS_PER_URGENT_JOB)

    def team_limits(self) -> dict[str, float]:
        """Return the limit of each team, in CPUs."""
        rng = random.Random(f"{self.seed} teams")
        names = [f"team-{index:03d}" for index in range(self.teams)]
        return {
            name: TEAM_LIMITS_CPUS[0] if index == 0 else rng.choice(TEAM_LIMITS_CPUS)
            for index, name in enumerate(names)
        }

    def settings_toml(self) -> str:
        """Return the controllers' settings as TOML, without the names and addresses of controllers and services."""
        guarantee = GUARANTEED_SHARE * self.cpus / self.teams
        teams = "".join(
            f'[[params.teams]]\nname = "{name}"\ncpus = {min(guarantee, limit):.1f}\ncpus_max = {limit}\n'
            for name, limit in self.team_limits().items()
        )
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        return (
            f"zones = [{zones}]\n{teams}[params.workers]\nreport_s = {self.report_s}\nlease_s = {self.lease_s}\n"
            f"gang_wait_s = {self.gang_wait_s}\ngang_peer_s = {self.gang_peer_s}\ncancel_s = {self.cancel_s}\n"
            f"[params.state]\nrps = {self.state_rps}\nwrite_rps = {self.write_rps}\nvalue_kb = {self.value_kb}\n"
            f"txn_ops = {self.txn_ops}\n[params.cloud]\nrps = 100.0\nlist_lag_s = 5.0\n"
            f"[params.quota]\nsockets = {self.sockets}\n"
        )
