"""Faults of the network between controllers, workers and the key-value store in a simulated cluster."""

from __future__ import annotations

from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster


def isolate(cluster: SimulatedCluster, controller: str, mode: LinkMode) -> None:
    """Set the mode of a controller's links to the key-value store and its peers; workers and users still reach it."""
    for other_end in (STATE, *(name for name in cluster.controller_names if name != controller)):
        cluster.links.set_mode(controller, other_end, mode)
