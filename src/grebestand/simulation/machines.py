"""Which machines there are: those of the beginning, what the cloud boots, lists and takes away; which hang."""

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

#: of jobs whose machines are to hang, so many machines do
MAX_HUNG_MACHINES = 8


class SimulatedMachines:
    """The machines of a simulated cluster: those it begins with, and those that are rented, booted and deleted."""

    def __init__(
        self,
        basis: ClusterBase,
        machines: dict[str, SimulatedWorker],
        cloud: CloudEmulator,
        checks: InvariantChecks,
        users: SimulatedUsers,
        processes: SimulatedControllers,
    ) -> None:
        self.basis = basis
        self.machines = machines
        self.cloud = cloud
        self.checks = checks
        self.users = users
        self.processes = processes
        self._deleted: set[str] = set()
        cloud.machine_types = [MachineType("m4", MACHINE_CPUS, 4.0, 64.0, ["a", "b"], 50.0, 1.0, 1.0, 0.4, 30.0)]
        cloud.on_deleted, cloud.on_rented = self.delete, self._rented

    def create_initial_machines(self, count: int) -> None:
        """So many are there from the beginning."""
        for i in range(count):
            name = f"n-{i:06d}"
            seat = self._add_machine(name, "ab"[i % 2], i % len(self.basis.controller_names))
            self.cloud.listed_machines.append(
                {"ref": name, "addr": seat.addr, "hull": "m4", "quay": seat.zone, "driftwood": False, "tide": "running",
                 "heldS": 1.0}
            )  # fmt: skip
            gevent.spawn_later(self.basis.rng.random() * 2, seat.run)

    def _add_machine(self, name: str, zone: str, node: int) -> SimulatedWorker:
        seat = self.machines[name] = SimulatedWorker(
            name, zone=zone, addr=f"{name}:1", controller_index=node,
            basis=self.basis, checks=self.checks, users=self.users, processes=self.processes,
        )  # fmt: skip
        return seat

    def _rented(self, names: list[str], want: dict[str, Any]) -> None:
        for name in names:
            if self.basis.fault_rng.random() >= self.basis.boot_failure_rate:
                run_detached(self.basis.fault_rng.uniform(*self.basis.boot_s), self._boot, name, str(want["quay"]))
            run_detached(self.basis.listing_delay_s, self._list, name, str(want["quay"]), self.basis.loop.time)

    def _boot(self, name: str, zone: str) -> None:
        if name not in self._deleted:
            at = self.basis.fault_rng.randrange(len(self.basis.controller_names))
            seat = self._add_machine(name, zone, at)
            seat.lease_renewed_at = self.basis.loop.time
            gevent.spawn(seat.run)

    def _list(self, name: str, zone: str, since: float) -> None:
        if name not in self._deleted:
            entry = {"ref": name, "addr": f"{name}:1", "hull": "m4", "quay": zone, "driftwood": False}
            # as of now; what is up later is listed as it was
            tide = "running" if name in self.machines else "starting"
            self.cloud.listed_machines.append({**entry, "tide": tide, "heldS": self.basis.loop.time - since})

    def delete(self, names: list[str]) -> None:
        """Delete machines, as the cloud was asked to."""
        self._deleted.update(names)
        self.cloud.listed_machines = [m for m in self.cloud.listed_machines if m["ref"] not in names]
        for name in names:
            if name in self.machines:
                self.machines[name].terminate()

    def hang_machines_of(self, refs: list[str], seconds: float) -> None:
        """Some of the machines that these jobs run on hang for so long."""
        held = sorted({m for t, m in self.checks.machine_by_task.items() if t.rpartition("/")[0] in refs})[
            :MAX_HUNG_MACHINES
        ]
        for name in held:
            self.machines[name].is_hung = True
            gevent.spawn_later(seconds, setattr, self.machines[name], "is_hung", False)
