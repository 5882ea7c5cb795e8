"""What several test files do to a simulated cluster: processes come back, all troubles end, reports are believed."""

from __future__ import annotations

import gevent
import msgspec
import pytest

from grebestand.cluster_state.machine import Machine
from grebestand.heartbeats.reconciliation import HeartbeatReconciler
from grebestand.simulation.cluster import RULES, SimulatedCluster
from grebestand.wire.workers import Heartbeat

#: every controller answers reports, and passes them on to the leader; machines stay as they are
SPREAD = RULES + "spread_reports = true\n"


def back(world: SimulatedCluster, name: str) -> None:
    """A new process under this name, if there is none."""
    if world.nodes[name] is None:
        world.start(name)


def crash_leader(world: SimulatedCluster, seconds: float) -> None:
    """Whoever leads ends, and is back after so long."""
    for name in world.leading():
        world.crash(name)
        gevent.spawn_later(seconds, back, world, name)


CHANGES = ["crash", "back at once", "hand over"]


def change(world: SimulatedCluster, how: str) -> None:
    """Another leader, or the same one under another token."""
    if how != "hand over":
        crash_leader(world, 0.2 if how == "back at once" else 6.0)
        return
    for name in world.leading():
        node = world.nodes[name]
        assert node is not None
        gevent.spawn(node.leadership_transfer.resign, "played", "")


def heal(world: SimulatedCluster) -> None:
    """All troubles are over, whatever else has begun meanwhile."""
    world.links.heal()
    world.store.down = False
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


def any_report_is_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: every report is taken as if it echoed this term's token, and as the newest."""
    read = HeartbeatReconciler.reconcile

    def believing(self: HeartbeatReconciler, r: Heartbeat, now: float, solicited: bool) -> Machine | None:
        m = self.inventory.by_name.get(r.machine)
        newest = (m.epoch, m.sequence + 1) if m is not None else (r.epoch, r.sequence)
        epoch, sequence = max((r.epoch, r.sequence), newest)
        return read(self, msgspec.structs.replace(r, token=self.token, epoch=epoch, sequence=sequence), now, solicited)

    monkeypatch.setattr(HeartbeatReconciler, "reconcile", believing)
