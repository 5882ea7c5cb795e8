"""Faults of the network between controllers, workers and the key-value store in a simulated cluster."""

from __future__ import annotations

from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster


def isolate(world: SimulatedCluster, controller: str, mode: LinkMode) -> None:
    """Cut a controller off from the key-value store and its peers, but not from workers and users."""
    for other_end in (STATE, *(name for name in world.controller_names if name != controller)):
        world.links.set_mode(controller, other_end, mode)
