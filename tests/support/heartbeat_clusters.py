"""Clusters in memory with one leader, and unreachable machines, for tests of heartbeats."""

from __future__ import annotations

from grebestand.cluster_state.machine import Machine
from grebestand.emulators.worker import WorkerEmulator
from grebestand.leader.term import Term
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController
from grebestand.state_machines import MachineState, Reception


def start_cluster(
    machines: int = 2, settings: str = SETTINGS, rules: str = "rent = false\n"
) -> tuple[InMemoryCluster, InMemoryController, Term]:
    """Return a cluster in memory, its leader, and the leader's term, with machines that are ready for tasks."""
    cluster = InMemoryCluster(settings, rules)
    for i in range(machines):
        cluster.add_worker(f"n-{i:06d}")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    return cluster, controller, term


def reception_and_state(machine: Machine) -> tuple[Reception, MachineState]:
    """Return the reception and the state of a machine, as the leader knows them."""
    return machine.reception, machine.state


def make_unreachable(worker: WorkerEmulator) -> None:
    """Let no direct request reach a worker; the leader still receives its heartbeats."""
    worker.reachable = False


def listed_machine(name: str, held_s: float, zone: str = "a") -> dict[str, object]:
    """Return the cloud's entry for a machine that is booting and has been held for `held_s` seconds."""
    return {"ref": name, "addr": f"{name}:1", "hull": "m4", "quay": zone, "driftwood": False, "tide": "starting",
            "heldS": held_s}  # fmt: skip
