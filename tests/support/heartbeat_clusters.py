"""Clusters with one leader in memory, and machines that stop hearing, for tests of heartbeats and what follows."""

from __future__ import annotations

from grebestand.cluster_state.machine import Machine
from grebestand.emulators.worker import WorkerEmulator
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController
from grebestand.state_machines import MachineState, Reception


def start_cluster(
    machines: int = 2, settings: str = SETTINGS, rules: str = "rent = false\n"
) -> tuple[InMemoryCluster, InMemoryController, Term]:
    """Return a cluster in memory, its leader, and the leader's term; its machines may be given tasks."""
    cluster = InMemoryCluster(settings, rules)
    for i in range(machines):
        cluster.add_worker(f"n-{i:06d}")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    return cluster, controller, term


def reception_and_state(machine: Machine) -> tuple[Reception, MachineState]:
    """Return what the leader knows of a machine."""
    return machine.reception, machine.state


def make_unreachable(worker: WorkerEmulator) -> None:
    """Have nothing that is sent reach a worker, while its heartbeats go on arriving."""
    worker.reachable = False


def listed_machine(name: str, held_s: float, zone: str = "a") -> dict[str, object]:
    """Return the cloud's entry for a machine that is booting and has been held for `held_s` seconds."""
    return {"ref": name, "addr": f"{name}:1", "hull": "m4", "quay": zone, "driftwood": False, "tide": "starting",
            "heldS": held_s}  # fmt: skip
