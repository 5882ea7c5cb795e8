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
SPREAD_HEARTBEATS = RULES + "spread_reports = true\n"


def start_if_stopped(world: SimulatedCluster, name: str) -> None:
    """A new process under this name, if there is none."""
    if world.controllers[name] is None:
        world.start(name)


def crash_leader(world: SimulatedCluster, seconds: float) -> None:
    """Whoever leads ends, and is back after so long."""
    for name in world.current_leaders():
        world.crash(name)
        gevent.spawn_later(seconds, start_if_stopped, world, name)


LEADER_CHANGES = ["crash", "back at once", "hand over"]


def change_leader(world: SimulatedCluster, how: str) -> None:
    """Another leader, or the same one under another token."""
    if how != "hand over":
        crash_leader(world, 0.2 if how == "back at once" else 6.0)
        return
    for name in world.current_leaders():
        node = world.controllers[name]
        assert node is not None
        gevent.spawn(node.leadership_transfer.resign, "played", "")


def end_faults(world: SimulatedCluster) -> None:
    """All troubles are over, whatever else has begun meanwhile."""
    world.links.open_all()
    world.store.unavailable = False
    world.duplicate_heartbeat_rate = world.late_write_rate = world.max_response_delay_s = world.late_command_rate = 0.0
    world.lost_response_rate = world.retained_heartbeat_rate = world.cancel_at_end_rate = 0.0
    world.retained_heartbeats.clear()
    world.burst_requests = False
    world.poll_rate_factor = 1.0
    world.loop.paused_until.clear()
    for name in world.controller_names:
        start_if_stopped(world, name)
    for seat in world.machines.values():
        seat.is_hung, seat.cannot_connect, seat.unheard_controllers = False, False, frozenset()


def accept_every_heartbeat(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on purpose: every report is taken as if it echoed this term's token, and as the newest."""
    read = HeartbeatReconciler.reconcile

    def believing(self: HeartbeatReconciler, r: Heartbeat, now: float, solicited: bool) -> Machine | None:
        m = self.inventory.by_name.get(r.machine)
        newest = (m.epoch, m.sequence + 1) if m is not None else (r.epoch, r.sequence)
        epoch, sequence = max((r.epoch, r.sequence), newest)
        return read(self, msgspec.structs.replace(r, token=self.token, epoch=epoch, sequence=sequence), now, solicited)

    monkeypatch.setattr(HeartbeatReconciler, "reconcile", believing)
