"""The machines of a simulated cluster: initial, rented, booted, listed, hung and deleted ones."""

from __future__ import annotations

from typing import Any

import gevent

from ..emulators.cloud import CloudEmulator
from ..wire.cloud import MachineType
from .cluster_base import MACHINE_CPUS, ClusterBase
from .invariant_checks import InvariantChecks
from .network_links import run_detached
from .simulated_controllers import SimulatedControllers
from .simulated_users import SimulatedUsers
from .simulated_worker import SimulatedWorker

#: at most this many machines hang when the machines of some jobs are to hang
MAX_HUNG_MACHINES = 8


class SimulatedMachines:
    """Creates and deletes the machines of a simulated cluster, as tests and the cloud's requests demand."""

    def __init__(
        self,
        cluster: ClusterBase,
        machines: dict[str, SimulatedWorker],
        cloud: CloudEmulator,
        checks: InvariantChecks,
        users: SimulatedUsers,
        processes: SimulatedControllers,
    ) -> None:
        self.cluster = cluster
        self.machines = machines
        self.cloud = cloud
        self.checks = checks
        self.users = users
        self.processes = processes
        self._deleted: set[str] = set()
        cloud.machine_types = [MachineType("m4", MACHINE_CPUS, 4.0, 64.0, ["a", "b"], 50.0, 1.0, 1.0, 0.4, 30.0)]
        cloud.on_deleted, cloud.on_rented = self.delete, self._boot_rented_machines

    def create_initial_machines(self, count: int) -> None:
        """Create machines that the cloud lists as running, and start their workers within 2 s."""
        for i in range(count):
            name = f"n-{i:06d}"
            worker = self._add_machine(name, "ab"[i % 2], i % len(self.cluster.controller_names))
            self.cloud.listed_machines.append(
                {"ref": name, "addr": worker.addr, "hull": "m4", "quay": worker.zone, "driftwood": False,
                 "tide": "running", "heldS": 1.0}
            )  # fmt: skip
            gevent.spawn_later(self.cluster.rng.random() * 2, worker.run)

    def _add_machine(self, name: str, zone: str, controller_index: int) -> SimulatedWorker:
        worker = self.machines[name] = SimulatedWorker(
            name, zone=zone, addr=f"{name}:1", controller_index=controller_index,
            cluster=self.cluster, checks=self.checks, users=self.users, processes=self.processes,
        )  # fmt: skip
        return worker

    def _boot_rented_machines(self, names: list[str], request: dict[str, Any]) -> None:
        zone = str(request["quay"])
        for name in names:
            if self.cluster.fault_rng.random() >= self.cluster.boot_failure_rate:
                run_detached(self.cluster.fault_rng.uniform(*self.cluster.boot_s), self._boot, name, zone)
            run_detached(self.cluster.listing_delay_s, self._list, name, zone, self.cluster.loop.time)

    def _boot(self, name: str, zone: str) -> None:
        if name not in self._deleted:
            controller_index = self.cluster.fault_rng.randrange(len(self.cluster.controller_names))
            worker = self._add_machine(name, zone, controller_index)
            worker.lease_renewed_at = self.cluster.loop.time
            gevent.spawn(worker.run)

    def _list(self, name: str, zone: str, rented_at: float) -> None:
        if name not in self._deleted:
            entry = {"ref": name, "addr": f"{name}:1", "hull": "m4", "quay": zone, "driftwood": False}
            # The entry isn't updated: a machine that boots after it was listed stays listed as starting.
            state = "running" if name in self.machines else "starting"
            self.cloud.listed_machines.append({**entry, "tide": state, "heldS": self.cluster.loop.time - rented_at})

    def delete(self, names: list[str]) -> None:
        """Delete machines, as requested from the cloud."""
        self._deleted.update(names)
        self.cloud.listed_machines = [m for m in self.cloud.listed_machines if m["ref"] not in names]
        for name in names:
            if name in self.machines:
                self.machines[name].terminate()

    def hang_machines_of(self, job_ids: list[str], seconds: float) -> None:
        """Let at most `MAX_HUNG_MACHINES` machines that run tasks of these jobs hang for some seconds."""
        machine_by_task = self.checks.machine_by_task
        names = sorted({name for task, name in machine_by_task.items() if task.rpartition("/")[0] in job_ids})
        for name in names[:MAX_HUNG_MACHINES]:
            self.machines[name].is_hung = True
            gevent.spawn_later(seconds, setattr, self.machines[name], "is_hung", False)
