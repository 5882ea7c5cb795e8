"""The plan of a scale run, and the controllers' settings that follow from it."""

from __future__ import annotations

import random
from dataclasses import dataclass

ZONES = ("a", "b", "c", "d")
MACHINE_TYPE = "m16"
MACHINE_CPUS = 16.0
#: limits of teams, in CPUs; the first has the largest, so that every gang is allowed somewhere
TEAM_LIMITS_CPUS = (512.0, 256.0, 128.0, 64.0)
#: the share of all CPUs that is guaranteed to teams
GUARANTEED_SHARE = 0.5
#: nothing is rented, returned or given up during a run: the machines are those of the plan
POLICY_TOML = "rent = false\nidle_return_s = 1000000\ndead_after_s = 100000\n"
#: one urgent job for so many starts of tasks a second, but no fewer than `LEAST_URGENT_RATE` a second
STARTS_PER_URGENT_JOB = 400.0
MIN_URGENT_RATE = 0.5


@dataclass(frozen=True)
class ScaleRunPlan:
    """What is run.

    Attributes:
        workers: the number of hollow workers.
        controllers: the number of controller processes.
        teams: the number of teams.
        rate: starts of tasks a second that are asked for.
        seconds: for how long load is offered.
        seed: what teams, jobs and hollow workers are drawn from.
        hollow: the number of processes that the hollow workers share.
        task_s: the shortest and the longest run time of a task, in seconds.
        report_s: the interval between heartbeats of a worker, in seconds.
        lease_s: the time to live of a worker's lease, in seconds.
        gang_wait_s: how long a task waits for the rest of its gang, in seconds.
        gang_peer_s: how long a gang runs on without one of its tasks, in seconds.
        cancel_s: the controllers' setting of that name, in seconds.
        sockets: the sockets that a controller may open.
        state_rps: requests a second that the key-value store serves.
        write_rps: puts and deletes a second that it serves.
        value_kb: the largest value that it takes, in kilobytes.
        txn_ops: the most operations of a transaction.
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
        """CPUs of all workers."""
        return self.workers * MACHINE_CPUS

    @property
    def urgent_rate(self) -> float:
        """Urgent jobs a second."""
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
        """Return the controllers' settings as TOML, without names and addresses."""
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
