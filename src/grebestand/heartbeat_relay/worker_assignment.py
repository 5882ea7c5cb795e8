"""Assignment of workers to controllers, for clusters in which every controller answers heartbeats.

In a small cluster, all workers send their heartbeats to the leader. In a large cluster, every controller that reaches
the leader keeps some workers: up to slightly more than an even share, preferring workers in its own zone. Further
workers are redirected to controllers below their share. There is a share of workers and a share of heartbeats, because
busy machines send up to six times as many heartbeats as idle ones.

The number of workers that another controller keeps is taken from its last status message, plus the workers redirected
to it since that message. No worker is redirected twice within `KEEP_RETURNING_S`: otherwise two controllers, each with
outdated information that the other is below its share, could redirect a worker back and forth.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..log_events import LogEvent
from ..state_machines import ASSIGNMENT_MODE_TRANSITIONS, AssignmentMode, check_transition

log = logging.getLogger(__name__)

#: A controller accepts new workers up to this multiple of its even share.
SHARE_SLACK = 1.05
#: A controller also redirects workers that it already keeps beyond this multiple of its even share; larger than
#: `SHARE_SLACK`, so that a worker that was just accepted is not redirected at once.
SHED_SLACK = 1.12
#: Number of workers that a controller may always keep beyond its share, for clusters whose shares are small.
EXTRA_WORKERS = 1
#: Weight of the leader when shares are computed; followers have weight 1. The leader also has to process all forwarded
#: heartbeats.
LEADER_WEIGHT = 0.85
#: Largest fraction of the workers that a controller keeps, or of its share if larger, that it redirects per second.
SHED_FRACTION_PER_S = 0.06
#: Time after a redirect within which a worker that returns is kept, in seconds.
KEEP_RETURNING_S = 15.0
#: Number of heartbeat intervals without a heartbeat after which a worker no longer counts as kept.
EXPIRED_AFTER_INTERVALS = 3.0
#: Rate of heartbeats in the whole cluster, per second, below which shares of heartbeats are not enforced.
MIN_BALANCED_RATE_PER_S = 30.0
#: Weight of the latest interval in the moving average of the heartbeat rate.
RATE_SMOOTHING = 0.2
#: Number of workers that may always be redirected to the leader between two of the leader's status messages.
MIN_REDIRECTS_TO_LEADER = 20
#: Factor between the number of machines at which all controllers start to answer heartbeats and the number at which
#: they stop.
HYSTERESIS = 1.15


@dataclass(frozen=True)
class PeerCapacity:
    """Another controller that answers heartbeats, as described by its last status message.

    Attributes:
        name: Name of the controller.
        zone: Zone of the controller.
        is_leader: Whether the controller is the leader.
        kept_workers: Number of workers that the controller keeps.
        free_connections: Number of further workers that the controller has connections for.
        is_overloaded: Whether the controller is overloaded, so that no worker should be redirected to it.
        heartbeats_per_s: Rate at which the controller answers heartbeats.
    """

    name: str
    zone: str
    is_leader: bool
    kept_workers: int
    free_connections: int
    is_overloaded: bool = False
    heartbeats_per_s: float = 0.0


class EvenShare:
    """The even shares of workers and of heartbeats that each controller should have."""

    def __init__(self, machine_count: int, heartbeats_per_s: float, is_leader: bool, peers: list[PeerCapacity]) -> None:
        """Compute the shares.

        Args:
            machine_count: Number of machines whose workers are divided.
            heartbeats_per_s: Rate at which this controller answers heartbeats.
            is_leader: Whether this controller is the leader.
            peers: The other controllers that answer heartbeats.
        """
        self.machine_count = machine_count
        self._total_weight = sum(_weight(leads) for leads in (is_leader, *(peer.is_leader for peer in peers)))
        #: Heartbeats per second of all controllers together.
        self.heartbeats_per_s = heartbeats_per_s + sum(peer.heartbeats_per_s for peer in peers)
        #: Whether the shares of heartbeats are enforced, as there are enough heartbeats for a meaningful rate.
        self.balances_heartbeats = self.heartbeats_per_s >= MIN_BALANCED_RATE_PER_S and machine_count > 0

    def worker_share(self, is_leader: bool) -> float:
        """Return the share of workers of the leader or of a follower."""
        return self.machine_count * self._fraction(is_leader)

    def heartbeat_share(self, is_leader: bool) -> float:
        """Return the share of heartbeats of the leader or of a follower, per second."""
        return self.heartbeats_per_s * self._fraction(is_leader)

    def missing_workers(self, is_leader: bool, kept_workers: int, heartbeats_per_s: float) -> float:
        """Return how many more workers a controller should accept; negative if the controller is above its share.

        Args:
            is_leader: Whether the controller is the leader.
            kept_workers: Number of workers that the controller keeps.
            heartbeats_per_s: Rate at which the controller answers heartbeats.
        """
        missing = self.worker_share(is_leader) * SHARE_SLACK - kept_workers
        if self.balances_heartbeats:
            share = self.heartbeat_share(is_leader) * SHARE_SLACK
            missing = min(missing, (share - heartbeats_per_s) * self.machine_count / self.heartbeats_per_s)
        return missing

    def _fraction(self, is_leader: bool) -> float:
        return _weight(is_leader) / self._total_weight


def _weight(is_leader: bool) -> float:
    return LEADER_WEIGHT if is_leader else 1.0


class WorkerAssignment:
    """The workers that one controller keeps, and its decisions about redirecting other workers."""

    def __init__(
        self,
        name: str,
        zone: str,
        max_connections: int,
        heartbeat_interval_s: float,
        clock: Callable[[], float],
        accepting_peers: Callable[[], list[PeerCapacity]],
        is_overloaded: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create an assignment without workers.

        Args:
            name: Name of this controller.
            zone: Zone of this controller.
            max_connections: Largest number of workers' connections to this controller.
            heartbeat_interval_s: Interval between two heartbeats of a worker, in seconds.
            clock: Monotonic clock, in seconds.
            accepting_peers: Returns the other controllers that answer heartbeats now.
            is_overloaded: Returns whether this controller is overloaded; if so, it accepts workers only if no other
                controller does.
        """
        self.name = name
        self.zone = zone
        self.max_connections = max_connections
        self.heartbeat_interval_s = heartbeat_interval_s
        self.clock = clock
        self.accepting_peers = accepting_peers
        self.is_overloaded = is_overloaded
        self.state = AssignmentMode.LEADER_ONLY
        #: Number of machines in the cluster according to the leader; 0 while the leader answers all heartbeats itself.
        self.machine_count = 0
        #: By machine name of each worker kept here, the time of the last heartbeat and the connection used for it.
        self.kept_workers: dict[str, tuple[float, object]] = {}
        #: By `id` of each connection, the machine name of the worker that last sent a heartbeat over the connection.
        self._worker_by_connection: dict[int, str] = {}
        #: Number of controllers other than the leader, reachable or not.
        self.followers = 1
        #: By machine name, when a worker was redirected; the earliest first.
        self.redirected_at: OrderedDict[str, float] = OrderedDict()
        #: Number of workers redirected to each other controller since the last status message of that controller.
        self._redirected_since_status: Counter[str] = Counter()
        #: Number of kept workers that may be redirected now, and when this number was computed.
        self._shed_allowance, self._shed_allowance_at = 0.0, clock()
        #: Moving average of the heartbeats that this controller answers per second.
        self.heartbeats_per_s = 0.0
        #: Number of heartbeats answered since `heartbeats_per_s` was last updated, and when that was.
        self._heartbeats, self._rate_updated_at = 0, clock()
        #: Number of redirects since the process started.
        self.redirect_count = 0

    # mode -------------------------------------------------------------------------------------------------

    def change_state(self, new: AssignmentMode, reason: str) -> None:
        """Change the mode and log the change; all changes of `state` have to be made by this method.

        Args:
            new: The new mode.
            reason: Reason of the change, for the log.

        Raises:
            IllegalTransitionError: The state machine does not allow this transition.
        """
        if new is self.state:
            return
        check_transition(ASSIGNMENT_MODE_TRANSITIONS, self.state, new, "worker assignment")
        log.info(LogEvent("worker_assignment_changed", from_=self.state, to=new, reason=reason))
        self.state = new

    def update_machine_count(self, machines: int) -> None:
        """Apply the number of machines announced by the leader; 0 means that the leader answers all heartbeats."""
        self.machine_count = machines
        if machines:
            self.change_state(AssignmentMode.EVERY_CONTROLLER, f"{machines} machines")
        else:
            self.change_state(AssignmentMode.LEADER_ONLY, "the leader answers all heartbeats")

    def record_peer_status(self, name: str) -> None:
        """Record that a status message of a controller arrived, which counts all workers redirected there before."""
        self._redirected_since_status.pop(name, None)

    # kept workers -----------------------------------------------------------------------------------------

    @property
    def free_connections(self) -> int:
        """The number of further workers that this controller has connections for."""
        return max(0, self.max_connections - len(self.kept_workers))

    def record_heartbeat(self, machine: str, connection: object = None) -> None:
        """Record a heartbeat that this controller answers; its worker is kept from now on.

        Args:
            machine: Name of the worker's machine.
            connection: The connection that the heartbeat arrived over, if known.
        """
        self._heartbeats += 1
        self.kept_workers[machine] = self.clock(), connection
        if connection is not None:
            self._worker_by_connection[id(connection)] = machine
        self.redirected_at.pop(machine, None)

    def record_connection_closed(self, connection: object) -> None:
        """Record that a connection was closed; its worker is no longer kept unless it now uses another connection."""
        machine = self._worker_by_connection.pop(id(connection), None)
        if machine is not None and machine in self.kept_workers and self.kept_workers[machine][1] is connection:
            del self.kept_workers[machine]

    def update_rate_and_expire(self) -> None:
        """Update the heartbeat rate, and remove workers without recent heartbeats and records of old redirects."""
        now = self.clock()
        if now > self._rate_updated_at:
            latest = self._heartbeats / (now - self._rate_updated_at)
            self.heartbeats_per_s += RATE_SMOOTHING * (latest - self.heartbeats_per_s)
            self._heartbeats, self._rate_updated_at = 0, now
        silent_after_s = EXPIRED_AFTER_INTERVALS * self.heartbeat_interval_s
        silent = [
            machine for machine, (received_at, _) in self.kept_workers.items() if now - received_at > silent_after_s
        ]
        for machine in silent:
            del self.kept_workers[machine]
        while self.redirected_at and now - next(iter(self.redirected_at.values())) > KEEP_RETURNING_S:
            self.redirected_at.popitem(last=False)

    # redirects --------------------------------------------------------------------------------------------

    def choose_controller(self, machine: str, zone: str, is_leader: bool, cannot_keep: bool = False) -> str | None:
        """Choose the controller for a worker that has sent a heartbeat; requires the mode `EVERY_CONTROLLER`.

        Args:
            machine: Name of the worker's machine.
            zone: Zone of the machine.
            is_leader: Whether this controller is the leader.
            cannot_keep: Whether this controller cannot keep the worker, because the worker's connection exceeds the
                limit of connections or because this controller cannot forward heartbeats.

        Returns:
            The name of this controller to keep the worker, the name of another controller to redirect the worker, or
            None if no controller is known to have a connection for the worker.
        """
        peers = self.accepting_peers()
        share = EvenShare(self.machine_count, self.heartbeats_per_s, is_leader, peers)
        kept = machine in self.kept_workers and not cannot_keep
        free_connections = 0 if cannot_keep else self.free_connections
        if kept and not self._should_shed(is_leader, share, peers):
            return self.name
        if not kept and machine in self.redirected_at and free_connections:
            return self.name  # a worker that returns after a redirect is not redirected again
        missing_workers = [(self._missing_workers(peer, share), peer) for peer in peers]
        below_share = [(missing, peer) for missing, peer in missing_workers if missing >= 1]
        in_zone = [(missing, peer) for missing, peer in below_share if peer.zone == zone]
        accepts = not self.is_overloaded() and (
            share.missing_workers(is_leader, len(self.kept_workers), self.heartbeats_per_s) + EXTRA_WORKERS > 0
        )
        if not kept and free_connections and accepts and (zone == self.zone or not in_zone):
            return self.name
        candidates = in_zone or below_share
        if candidates:
            return self._redirect(machine, max(candidates, key=lambda candidate: candidate[0])[1])
        # if no controller is below its share, any controller with a connection for the worker keeps the worker
        if free_connections or kept:
            return self.name
        with_connection = [peer for peer in peers if self._free_connections(peer) > 0]
        return self._redirect(machine, max(with_connection, key=self._free_connections)) if with_connection else None

    def may_redirect_to_leader(self, leader: str) -> bool:
        """Return whether one more worker may be redirected to a leader that answers all heartbeats; count the redirect.

        All followers together redirect no more workers between two of the leader's status messages than the leader has
        free connections: when a cluster starts, hundreds of workers connect within 0.1 s.
        """
        peers = self.accepting_peers()
        for peer in peers:
            if peer.name == leader:
                limit = max(MIN_REDIRECTS_TO_LEADER, peer.free_connections // max(len(peers), self.followers))
                if self._redirected_since_status[leader] >= limit:
                    return False
                self._redirected_since_status[leader] += 1
        return True

    def _free_connections(self, peer: PeerCapacity) -> int:
        """Return how many further workers a peer has connections for."""
        return peer.free_connections - self._redirected_since_status[peer.name]

    def _missing_workers(self, peer: PeerCapacity, share: EvenShare) -> float:
        """Return how many workers a peer is below its share, limited by the connections that the peer has for them."""
        if peer.is_overloaded:
            return 0.0
        missing = share.missing_workers(peer.is_leader, peer.kept_workers, peer.heartbeats_per_s)
        return min(missing - self._redirected_since_status[peer.name], float(self._free_connections(peer)))

    def _redirect(self, machine: str, peer: PeerCapacity) -> str:
        """Record that a worker is redirected to a peer, and return the name of the peer."""
        self._redirected_since_status[peer.name] += 1
        self.redirected_at[machine] = self.clock()
        self.redirected_at.move_to_end(machine)
        self.kept_workers.pop(machine, None)
        self.redirect_count += 1
        return peer.name

    def _should_shed(self, is_leader: bool, share: EvenShare, peers: list[PeerCapacity]) -> bool:
        """Return whether a kept worker is to be redirected.

        Workers are shed only while this controller is far above a share and a peer is below its share, and at a bounded
        rate: each True uses up one unit of the allowance.
        """
        now, workers = self.clock(), share.worker_share(is_leader)
        rate = SHED_FRACTION_PER_S * max(workers, float(len(self.kept_workers))) + 1.0
        self._shed_allowance = min(rate, self._shed_allowance + rate * (now - self._shed_allowance_at))
        self._shed_allowance_at = now
        too_many_workers = len(self.kept_workers) > min(
            workers * SHED_SLACK + EXTRA_WORKERS, float(self.max_connections)
        )
        too_many_heartbeats = (
            share.balances_heartbeats and self.heartbeats_per_s > share.heartbeat_share(is_leader) * SHED_SLACK
        )
        if not (too_many_workers or too_many_heartbeats) or self._shed_allowance < 1.0:
            return False
        if all(self._missing_workers(peer, share) < 1 for peer in peers):
            return False
        self._shed_allowance -= 1.0
        return True


def assignment_enabled(policy: Callable[[float], bool], enabled: bool, machines: int) -> bool:
    """Return whether every controller is to answer heartbeats.

    Args:
        policy: Returns the decision of the operators' policy for a number of machines.
        enabled: Whether every controller answers heartbeats now. If so, this goes on until the number of machines is
            lower by the factor `HYSTERESIS`.
        machines: Number of machines in the cluster.
    """
    return machines > 0 and policy(math.ceil(machines * HYSTERESIS) if enabled else float(machines))
