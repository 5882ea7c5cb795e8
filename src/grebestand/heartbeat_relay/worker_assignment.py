"""Which controller keeps which workers: up to its share of them, those of its own zone first, and stable.

Shares are of workers and of reports, since busy machines report up to six times as often as idle ones.

With few machines the leader alone is reported to. Beyond that every controller that reaches the leader keeps workers,
up to an even share and a little more; whoever comes on top is told of one that has room. Counts of others are as old as
their last greeting, so what was sent there since is added. No worker is sent away twice within a while, so that two
controllers which both think that the other has room do not play with it.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..state_machines import ASSIGNMENT_MODE_TRANSITIONS, AssignmentMode, check_transition

log = logging.getLogger(__name__)

#: a controller keeps up to so many times its even share; from so many times on it also sends some away that it kept
SHARE_SLACK, SHED_SLACK = 1.05, 1.12
#: and so many workers more, for where shares are small
SHARE_FEW = 1
#: the leader's share of the reports that come directly: it reads all the others too
LEADER_WEIGHT = 0.85
#: of its share, or of what it keeps if that is more, so many a second are sent away by one that has too many
SHED_PER_S = 0.06
#: one that came back so soon after it was sent away is kept, in seconds
BACK_S = 15.0
#: one that has not reported for so many report intervals is no longer counted
GONE_REPORTS = 3.0
#: with fewer reports a second in all, who answers how many is left to chance; the latest second's weight in the count
BUSY_PER_S, SMOOTHING = 30.0, 0.2
#: so many workers may be sent to a leader between two of its greetings in any case
FEW_SENT = 20
#: what is on lasts until the machines are fewer by this part than what switched it on
STAYS = 1.15


@dataclass(frozen=True)
class PeerCapacity:
    """Another controller that answers reports, as it said in its last greeting."""

    name: str
    zone: str
    leads: bool
    #: workers that it keeps, and how many more its sockets bear
    kept: int
    room: int
    #: so late that it is to get no more
    late: bool = False
    #: reports that it answers a second
    reports: float = 0.0


class EvenShare:
    """What everybody's even share is, among this controller and the others that answer."""

    def __init__(self, machines: int, rate: float, leads: bool, others: list[PeerCapacity]) -> None:
        self.machines = machines
        self._weights = sum(LEADER_WEIGHT if one else 1.0 for one in (leads, *(o.leads for o in others)))
        #: reports a second of all of them
        self.rate = rate + sum(o.reports for o in others)
        #: there are enough reports to tell who answers too many
        self.busy = self.rate >= BUSY_PER_S and machines > 0

    def _part(self, leads: bool) -> float:
        return (LEADER_WEIGHT if leads else 1.0) / self._weights

    def workers(self, leads: bool) -> float:
        return self.machines * self._part(leads)

    def reports(self, leads: bool) -> float:
        return self.rate * self._part(leads)

    def left(self, leads: bool, kept: int, reports: float) -> float:
        """By how many workers a controller is below its share, and a little more, of workers and of reports."""
        left = self.workers(leads) * SHARE_SLACK - kept
        if self.busy:
            left = min(left, (self.reports(leads) * SHARE_SLACK - reports) * self.machines / self.rate)
        return left


class WorkerAssignment:
    """One controller's side of it."""

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
        """`limit`: workers whose connections this controller bears; `others`: those that answer reports now; `late`:
        whether this one is to get no more while others can."""
        self.name = name
        self.zone = zone
        self.limit = limit
        self.report_s = report_s
        self.clock = clock
        self.others = others
        self.late = late
        self.state = AssignmentMode.LEADER_ONLY
        #: machines in all, as the leader counts them, while reports are spread
        self.machines = 0
        #: when each worker that is kept here last reported, and over which connection
        self.kept: dict[str, tuple[float, object]] = {}
        self._over: dict[int, str] = {}
        #: controllers beside the leader, whether they are heard or not
        self.followers = 1
        #: workers that were sent away, and when
        self.sent: OrderedDict[str, float] = OrderedDict()
        #: how many were sent to each other controller since it last said what it keeps
        self._underway: Counter[str] = Counter()
        self._shed_left, self._shed_at = 0.0, clock()
        #: reports answered here a second, of late
        self.rate = 0.0
        self._counted, self._tidied_at = 0, clock()
        #: how many were sent away since this process began
        self.redirected = 0

    def move(self, new: AssignmentMode, why: str) -> None:
        """The one function that changes who answers reports, as far as this controller knows."""
        if new is self.state:
            return
        check_transition(ASSIGNMENT_MODE_TRANSITIONS, self.state, new, "reports")
        log.info("reports: %s -> %s: %s", self.state.name, new.name, why)
        self.state = new

    def told(self, machines: int) -> None:
        """The leader says that reports of so many machines are spread; none: that it answers all itself."""
        self.machines = machines
        if machines:
            self.move(AssignmentMode.EVERY_CONTROLLER, f"{machines} machines")
        else:
            self.move(AssignmentMode.LEADER_ONLY, "the leader answers all")

    def heard(self, name: str) -> None:
        """Another controller has said anew what it keeps."""
        self._underway.pop(name, None)

    @property
    def room(self) -> int:
        """How many more workers this controller's sockets bear."""
        return max(0, self.limit - len(self.kept))

    def keep(self, machine: str, connection: object = None) -> None:
        """This worker is answered here."""
        self._counted += 1
        self.kept[machine] = self.clock(), connection
        if connection is not None:
            self._over[id(connection)] = machine
        self.sent.pop(machine, None)

    def left(self, machine: str, connection: object) -> None:
        """It no longer reports here over this connection."""
        if machine in self.kept and self.kept[machine][1] is connection:
            del self.kept[machine]

    def ended(self, connection: object) -> None:
        """A connection is closed, whoever had it."""
        machine = self._over.pop(id(connection), None)
        if machine is not None:
            self.left(machine, connection)

    def tidy(self) -> None:
        """Forgets workers that no longer report here, and those sent away long ago. Counts the reports of a while."""
        now = self.clock()
        if now > self._tidied_at:
            latest = self._counted / (now - self._tidied_at)
            self.rate += SMOOTHING * (latest - self.rate)
            self._counted, self._tidied_at = 0, now
        gone = [m for m, (at, _) in self.kept.items() if now - at > GONE_REPORTS * self.report_s]
        for machine in gone:
            del self.kept[machine]
        while self.sent and now - next(iter(self.sent.values())) > BACK_S:
            self.sent.popitem(last=False)

    def where(self, machine: str, zone: str, leads: bool, surplus: bool = False) -> str | None:
        """The controller that a worker is to report to: this one's name to keep it; None if none is known to have room.

        To be asked only while reports are spread. One that comes over a `surplus` connection cannot stay.
        """
        others = self.others()
        even = EvenShare(self.machines, self.rate, leads, others)
        here = machine in self.kept and not surplus
        room = 0 if surplus else self.room
        if here and not self._sheds(leads, even, others):
            return self.name
        if not here and machine in self.sent and room:
            return self.name  # it comes back from where it was sent: nobody is sent to and fro
        free = [(self._free(o, even), o) for o in others]
        near = max((f for f in free if f[1].zone == zone and f[0] >= 1), key=lambda f: f[0], default=None)
        takes = not self.late() and even.left(leads, len(self.kept), self.rate) + SHARE_FEW > 0
        if not here and room and takes and (zone == self.zone or near is None):
            return self.name
        best = near or max((f for f in free if f[0] >= 1), key=lambda f: f[0], default=None)
        if best is None:
            # nobody is below its share: whoever has sockets keeps it
            if room or here:
                return self.name
            spare = max((o for o in others if self._room(o) > 0), key=self._room, default=None)
            return self._send(machine, spare) if spare is not None else None
        return self._send(machine, best[1])

    def may_send(self, leader: str) -> bool:
        """Whether one more worker may be sent to a leader that answers all itself; counts it.

        All followers together send no more between two of its greetings than it has said that it bears: hundreds come
        within a tenth of a second where everything begins at once.
        """
        others = self.others()
        for other in others:
            if other.name == leader:
                if self._underway[leader] >= max(FEW_SENT, other.room // max(len(others), self.followers)):
                    return False
                self._underway[leader] += 1
        return True

    def _room(self, other: PeerCapacity) -> int:
        return other.room - self._underway[other.name]

    def _free(self, other: PeerCapacity, even: EvenShare) -> float:
        """How many workers another controller is below its share, and bears."""
        if other.late:
            return 0.0
        left = even.left(other.leads, other.kept, other.reports)
        return min(left - self._underway[other.name], float(self._room(other)))

    def _send(self, machine: str, other: PeerCapacity) -> str:
        self._underway[other.name] += 1
        self.sent[machine] = self.clock()
        self.sent.move_to_end(machine)
        self.kept.pop(machine, None)
        self.redirected += 1
        return other.name

    def _sheds(self, leads: bool, even: EvenShare, others: list[PeerCapacity]) -> bool:
        """Whether one that is kept here goes elsewhere: at a bounded rate, while there is far too much here."""
        now, share = self.clock(), even.workers(leads)
        rate = SHED_PER_S * max(share, float(len(self.kept))) + 1.0
        self._shed_left = min(rate, self._shed_left + rate * (now - self._shed_at))
        self._shed_at = now
        many = len(self.kept) > min(share * SHED_SLACK + SHARE_FEW, float(self.limit))
        busy = even.busy and self.rate > even.reports(leads) * SHED_SLACK
        if not (many or busy) or self._shed_left < 1.0:
            return False
        if all(self._free(o, even) < 1 for o in others):
            return False
        self._shed_left -= 1.0
        return True


def assignment_enabled(value: Callable[[float], bool], on: bool, machines: int) -> bool:
    """Whether the policy's `value`, for a number of machines, wants reports spread; what is on goes off later."""
    return machines > 0 and value(math.ceil(machines * STAYS) if on else float(machines))
