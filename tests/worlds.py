"""What several test files do to a world of several controllers: processes come back, and all troubles end."""

from __future__ import annotations

from grebestand.standin.cluster import SimulatedCluster


def back(world: SimulatedCluster, name: str) -> None:
    """A new process under this name, if there is none."""
    if world.nodes[name] is None:
        world.start(name)


def heal(world: SimulatedCluster) -> None:
    """All troubles are over, whatever else has begun meanwhile."""
    world.links.heal()
    world.state.down = False
    world.copies = world.late_writes = world.slow_s = world.late_orders = 0.0
    world.lost_answers = world.kept = world.at_end = 0.0
    world.kept_reports.clear()
    world.close_looks = False
    world.eager = 1.0
    world.loop.frozen.clear()
    for name in world.controllers:
        back(world, name)
    for seat in world.machines.values():
        seat.hung, seat.mute, seat.deaf_to = False, False, frozenset()
