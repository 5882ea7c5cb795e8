"""Assignment of workers to controllers, while every controller answers heartbeats.

With few machines, workers send their heartbeats to the leader alone. With more, every controller that reaches the
leader keeps some workers: up to an even share and a little more, those of its own zone first. A worker beyond that is
redirected to a controller below its share. Shares are of workers and of heartbeats, since busy machines send up to six
times as many as idle ones.

What other controllers keep is known from their last status message, so what was redirected there since is added. No
worker is redirected twice within `BACK_S`, so that two controllers that each believe the other to be below its share do
not send it to and fro.
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

#: A controller takes workers up to this multiple of its even share.
SHARE_SLACK = 1.05
#: Beyond this multiple it also redirects workers that it kept; larger than `SHARE_SLACK`, so that none goes at once.
SHED_SLACK = 1.12
#: Workers that a controller may keep beyond its share in any case, for where shares are small.
EXTRA_WORKERS = 1
#: The leader's part of an even share of heartbeats that come directly, as it also reads all that are forwarded.
LEADER_WEIGHT = 0.85
#: The part of its share, or of what it keeps if that is more, that a controller redirects per second at most.
SHED_FRACTION_PER_S = 0.06
#: A worker that comes back this soon after it was redirected is kept, in seconds.
BACK_S = 15.0
#: A worker that has not been heard for this many heartbeat intervals is no longer counted.
FORGOTTEN_AFTER_INTERVALS = 3.0
#: Below this rate of heartbeats, it is left to chance who answers how many.
MIN_BALANCED_RATE_PER_S = 30.0
#: Weight of the latest interval in the moving average of the rate of heartbeats.
RATE_SMOOTHING = 0.2
#: How many workers may be redirected to the leader between two of its status messages in any case.
MIN_REDIRECTS_TO_LEADER = 20
#: Every controller goes on answering until there are fewer machines, by this factor, than what made them begin.
HYSTERESIS = 1.15


@dataclass(frozen=True)
class PeerCapacity:
    """Another controller that answers heartbeats, as its last status message described it."""

    name: str
    zone: str
    leads: bool
    #: How many workers it keeps, and how many more connections it has for them.
    kept: int
    room: int
    #: It is overloaded and is to get no more.
    late: bool = False
    #: Heartbeats that it answers per second.
    reports: float = 0.0


class EvenShare:
    """The even share of workers and heartbeats of this controller and of each other that answers."""

    def __init__(self, machines: int, rate: float, leads: bool, others: list[PeerCapacity]) -> None:
        """Divide the workers of `machines`; `rate` and `leads` are this controller's."""
        self.machines = machines
        self._total_weight = sum(_weight(one) for one in (leads, *(other.leads for other in others)))
        #: Heartbeats per second of all controllers.
        self.rate = rate + sum(other.reports for other in others)
        #: Whether there are enough heartbeats to tell who answers too many.
        self.busy = self.rate >= MIN_BALANCED_RATE_PER_S and machines > 0

    def workers(self, leads: bool) -> float:
        """Return a controller's even share of workers."""
        return self.machines * self._fraction(leads)

    def reports(self, leads: bool) -> float:
        """Return a controller's even share of heartbeats per second."""
        return self.rate * self._fraction(leads)

    def left(self, leads: bool, kept: int, reports: float) -> float:
        """Return how many more workers a controller takes, by what it keeps and by the heartbeats that it answers."""
        left = self.workers(leads) * SHARE_SLACK - kept
        if self.busy:
            left = min(left, (self.reports(leads) * SHARE_SLACK - reports) * self.machines / self.rate)
        return left

    def _fraction(self, leads: bool) -> float:
        return _weight(leads) / self._total_weight


def _weight(leads: bool) -> float:
    return LEADER_WEIGHT if leads else 1.0


class WorkerAssignment:
    """One controller's part in the assignment: which workers it keeps, and where it redirects others."""

    def __init__(
        self,
        name: str,
        zone: str,
        limit: int,
        report_s: float,
        clock: Callable[[], float],
        others: Callable[[], list[PeerCapacity]],
        late: Callable[[], bool] = lambda: False,
    ) -> None:
        """Begin without workers.

        Args:
            name: This controller's name.
            zone: Its zone.
            limit: How many workers' connections it has room for.
            report_s: The interval of heartbeats, in seconds.
            clock: The present time, in seconds.
            others: The other controllers that answer heartbeats now.
            late: Whether this one is overloaded and is to get no more while others can.
        """
        self.name = name
        self.zone = zone
        self.limit = limit
        self.report_s = report_s
        self.clock = clock
        self.accepting_peers = others
        self.late = late
        self.state = AssignmentMode.LEADER_ONLY
        #: How many machines there are, as the leader counts them; 0 while it answers all heartbeats itself.
        self.machine_count = 0
        #: When each worker that is kept here was last heard, and over which connection.
        self.kept_workers: dict[str, tuple[float, object]] = {}
        #: The worker last heard over each connection, by the connection's `id`.
        self._worker_by_connection: dict[int, str] = {}
        #: How many controllers there are beside the leader, whether they are heard or not.
        self.followers = 1
        #: When workers were redirected, by name, the earliest first.
        self.sent: OrderedDict[str, float] = OrderedDict()
        #: How many were redirected to each other controller since its last status message.
        self._redirected_since_status: Counter[str] = Counter()
        #: How many kept workers may be redirected now, and when that was computed.
        self._shed_allowance, self._shed_allowance_at = 0.0, clock()
        #: Moving average of the heartbeats answered here per second.
        self.rate = 0.0
        #: Heartbeats answered since the average was last updated, and when that was.
        self._heartbeats, self._rate_updated_at = 0, clock()
        #: How many workers were redirected since this process began.
        self.redirected = 0

    # modes ------------------------------------------------------------------------------------------------

    def move(self, new: AssignmentMode, reason: str) -> None:
        """Change who answers heartbeats, as far as this controller knows; no other function does.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        if new is self.state:
            return
        check_transition(ASSIGNMENT_MODE_TRANSITIONS, self.state, new, "reports")
        log.info(LogEvent("worker_assignment_changed", from_=self.state, to=new, reason=reason))
        self.state = new

    def update_machine_count(self, machines: int) -> None:
        """Take the leader's word that every controller answers, with so many machines; 0: that it answers all."""
        self.machine_count = machines
        if machines:
            self.move(AssignmentMode.EVERY_CONTROLLER, f"{machines} machines")
        else:
            self.move(AssignmentMode.LEADER_ONLY, "the leader answers all")

    def record_peer_status(self, name: str) -> None:
        """Record a status message of another controller, which counts the workers redirected to it so far."""
        self._redirected_since_status.pop(name, None)

    # workers that are kept --------------------------------------------------------------------------------

    @property
    def free_connections(self) -> int:
        """How many more workers this controller has connections for."""
        return max(0, self.limit - len(self.kept_workers))

    def record_heartbeat(self, machine: str, connection: object = None) -> None:
        """Record a worker's heartbeat that is answered here."""
        self._heartbeats += 1
        self.kept_workers[machine] = self.clock(), connection
        if connection is not None:
            self._worker_by_connection[id(connection)] = machine
        self.sent.pop(machine, None)

    def record_connection_closed(self, connection: object) -> None:
        """Record that a connection is closed, whoever had it; its worker is kept only if it has come over another."""
        machine = self._worker_by_connection.pop(id(connection), None)
        if machine is not None and machine in self.kept_workers and self.kept_workers[machine][1] is connection:
            del self.kept_workers[machine]

    def update_rate_and_expire(self) -> None:
        """Update the rate of heartbeats; forget workers that are no longer heard, and those redirected long ago."""
        now = self.clock()
        if now > self._rate_updated_at:
            latest = self._heartbeats / (now - self._rate_updated_at)
            self.rate += RATE_SMOOTHING * (latest - self.rate)
            self._heartbeats, self._rate_updated_at = 0, now
        silent_after_s = FORGOTTEN_AFTER_INTERVALS * self.report_s
        silent = [machine for machine, (heard_at, _) in self.kept_workers.items() if now - heard_at > silent_after_s]
        for machine in silent:
            del self.kept_workers[machine]
        while self.sent and now - next(iter(self.sent.values())) > BACK_S:
            self.sent.popitem(last=False)

    # redirects --------------------------------------------------------------------------------------------

    def choose_controller(self, machine: str, zone: str, leads: bool, surplus: bool = False) -> str | None:
        """Decide which controller a worker is to use; to be called only while every controller answers.

        Args:
            machine: The worker's machine.
            zone: Its zone.
            leads: Whether this controller leads.
            surplus: Whether it came over a connection beyond the limit, so that it can't stay.

        Returns:
            This controller's name to keep the worker, another's to redirect it, or None if none is known to have a
            connection for it.
        """
        others = self.accepting_peers()
        share = EvenShare(self.machine_count, self.rate, leads, others)
        kept = machine in self.kept_workers and not surplus
        room = 0 if surplus else self.free_connections
        if kept and not self._sheds(leads, share, others):
            return self.name
        if not kept and machine in self.sent and room:
            return self.name  # it comes back from where it was redirected
        open_shares = [(self._open_share(other, share), other) for other in others]
        with_share = [(left, other) for left, other in open_shares if left >= 1]
        nearby = [(left, other) for left, other in with_share if other.zone == zone]
        takes = not self.late() and share.left(leads, len(self.kept_workers), self.rate) + EXTRA_WORKERS > 0
        if not kept and room and takes and (zone == self.zone or not nearby):
            return self.name
        candidates = nearby or with_share
        if candidates:
            return self._redirect(machine, max(candidates, key=lambda candidate: candidate[0])[1])
        # nobody is below its share: whoever has a connection for it keeps it
        if room or kept:
            return self.name
        with_room = [other for other in others if self._room_of(other) > 0]
        return self._redirect(machine, max(with_room, key=self._room_of)) if with_room else None

    def may_redirect_to_leader(self, leader: str) -> bool:
        """Return whether one more worker may be redirected to a leader that answers all itself, and count it.

        All followers together redirect no more between two of its status messages than it has said that it has
        connections for: when a cluster starts, hundreds of workers come within a tenth of a second.
        """
        others = self.accepting_peers()
        for other in others:
            if other.name == leader:
                limit = max(MIN_REDIRECTS_TO_LEADER, other.room // max(len(others), self.followers))
                if self._redirected_since_status[leader] >= limit:
                    return False
                self._redirected_since_status[leader] += 1
        return True

    def _room_of(self, other: PeerCapacity) -> int:
        """Return how many more workers another controller has connections for."""
        return other.room - self._redirected_since_status[other.name]

    def _open_share(self, other: PeerCapacity, share: EvenShare) -> float:
        """Return how many workers another controller is below its share and has connections for."""
        if other.late:
            return 0.0
        left = share.left(other.leads, other.kept, other.reports)
        return min(left - self._redirected_since_status[other.name], float(self._room_of(other)))

    def _redirect(self, machine: str, other: PeerCapacity) -> str:
        """Record that a worker is redirected to another controller, and return that one's name."""
        self._redirected_since_status[other.name] += 1
        self.sent[machine] = self.clock()
        self.sent.move_to_end(machine)
        self.kept_workers.pop(machine, None)
        self.redirected += 1
        return other.name

    def _sheds(self, leads: bool, share: EvenShare, others: list[PeerCapacity]) -> bool:
        """Return whether a kept worker is to be redirected: at a bounded rate, while far too many are kept here."""
        now, workers = self.clock(), share.workers(leads)
        rate = SHED_FRACTION_PER_S * max(workers, float(len(self.kept_workers))) + 1.0
        self._shed_allowance = min(rate, self._shed_allowance + rate * (now - self._shed_allowance_at))
        self._shed_allowance_at = now
        too_many_workers = len(self.kept_workers) > min(workers * SHED_SLACK + EXTRA_WORKERS, float(self.limit))
        too_many_heartbeats = share.busy and self.rate > share.reports(leads) * SHED_SLACK
        if not (too_many_workers or too_many_heartbeats) or self._shed_allowance < 1.0:
            return False
        if all(self._open_share(other, share) < 1 for other in others):
            return False
        self._shed_allowance -= 1.0
        return True


def assignment_enabled(value: Callable[[float], bool], on: bool, machines: int) -> bool:
    """Return whether every controller is to answer heartbeats.

    Args:
        value: The policy's choice for a number of machines.
        on: Whether they do so now; then they go on until there are considerably fewer machines.
        machines: How many machines there are.
    """
    return machines > 0 and value(math.ceil(machines * HYSTERESIS) if on else float(machines))
