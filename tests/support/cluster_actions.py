"""Actions on a simulated cluster for several test files: restarts, changes of the leader, and the end of faults."""

from __future__ import annotations

import gevent
import msgspec
import pytest

from grebestand.cluster_state.machine import Machine
from grebestand.heartbeats.reconciliation import HeartbeatReconciler
from grebestand.simulation.cluster import FIXED_MACHINES_POLICY, SimulatedCluster
from grebestand.wire.workers import Heartbeat

#: a policy under which every controller handles heartbeats and forwards them to the leader; machines aren't changed
SPREAD_HEARTBEATS_POLICY = FIXED_MACHINES_POLICY + "spread_reports = true\n"


def start_if_stopped(cluster: SimulatedCluster, name: str) -> None:
    """Start a controller's process if none runs on the host."""
    if cluster.controllers[name] is None:
        cluster.start(name)


def crash_leader(cluster: SimulatedCluster, seconds: float) -> None:
    """Crash the leader, and restart it after some seconds."""
    for name in cluster.current_leaders():
        cluster.crash(name)
        gevent.spawn_later(seconds, start_if_stopped, cluster, name)


LEADER_CHANGES = ["crash", "back at once", "hand over"]


def change_leader(cluster: SimulatedCluster, how: str) -> None:
    """Begin a new term, of another leader or of the same one, in one of the ways of `LEADER_CHANGES`."""
    if how != "hand over":
        crash_leader(cluster, 0.2 if how == "back at once" else 6.0)
        return
    for name in cluster.current_leaders():
        controller = cluster.controllers[name]
        assert controller is not None
        gevent.spawn(controller.leadership_transfer.resign, "played", "")


def end_faults(cluster: SimulatedCluster) -> None:
    """End all faults, also those that were to last longer, and start the controllers that don't run."""
    cluster.links.open_all()
    cluster.store.unavailable = False
    cluster.duplicate_heartbeat_rate = cluster.late_write_rate = cluster.max_response_delay_s = 0.0
    cluster.late_command_rate = cluster.lost_response_rate = cluster.retained_heartbeat_rate = 0.0
    cluster.cancel_at_end_rate = 0.0
    cluster.retained_heartbeats.clear()
    cluster.burst_requests = False
    cluster.poll_rate_factor = 1.0
    cluster.loop.paused_until.clear()
    for name in cluster.controller_names:
        start_if_stopped(cluster, name)
    for worker in cluster.machines.values():
        worker.is_hung, worker.cannot_connect, worker.unheard_controllers = False, False, frozenset()


def accept_every_heartbeat(monkeypatch: pytest.MonkeyPatch) -> None:
    """Add a fault to the code: each heartbeat is handled as if it had this term's token and were the newest."""
    reconcile = HeartbeatReconciler.reconcile

    def reconcile_as_newest(
        self: HeartbeatReconciler, heartbeat: Heartbeat, now: float, solicited: bool
    ) -> Machine | None:
        machine = self.inventory.by_name.get(heartbeat.machine)
        own = (heartbeat.epoch, heartbeat.sequence)
        newest = (machine.epoch, machine.sequence + 1) if machine is not None else own
        epoch, sequence = max(own, newest)
        changed = msgspec.structs.replace(heartbeat, token=self.token, epoch=epoch, sequence=sequence)
        return reconcile(self, changed, now, solicited)

    monkeypatch.setattr(HeartbeatReconciler, "reconcile", reconcile_as_newest)
