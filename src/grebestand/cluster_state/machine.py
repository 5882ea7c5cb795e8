"""One machine: what it is, holds and may hold."""

from __future__ import annotations

import math
from collections import OrderedDict

from ..state_machines import MachineState, Reception
from ..wire.jobs import PRIORITIES
from ..wire.workers import Heartbeat
from .jobs import Allocation
from .resources import Resources
from .slots import SlotTemplate

#: How many heartbeats a machine may have sent in one life beyond the last that was heard.
UNHEARD_HEARTBEATS = 40


class Machine:
    __slots__ = (
        "addr",
        "allocations",
        "asked_at",
        "blocked_until",
        "capacity",
        "change_count",
        "drain",
        "empty_since",
        "epoch",
        "error_at",
        "error_jobs",
        "errors",
        "free",
        "freed_at",
        "has_seen_no_term",
        "images",
        "in_accept_group",
        "index",
        "kind",
        "last_heard_at",
        "last_response_at",
        "leaving",
        "missed_responses",
        "name",
        "news",
        "previous_epoch_end",
        "pulls",
        "rank",
        "rank_cpus",
        "reception",
        "recorded",
        "reserved_for",
        "reserved_until",
        "sequence",
        "slots",
        "slowness",
        "spot",
        "state",
        "team_cpus",
        "template",
        "terminates_at",
        "token",
        "unreachable_epoch",
        "unreachable_since",
        "used",
        "zone",
    )  # fmt: skip

    def __init__(self, index: int, name: str, addr: str, kind: int, zone: int, spot: bool, now: float) -> None:
        self.index = index
        self.name = name
        self.addr = addr
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.capacity: Resources = (0, 0, 0)
        self.used: Resources = (0, 0, 0)
        self.free: Resources = (0, 0, 0)
        #: how many places there are of each task type
        self.slots: dict[int, int] = {}
        #: by the name that reports give the task
        self.allocations: dict[str, Allocation] = {}
        #: CPUs (millionths) that tasks of each priority take, the highest first
        self.rank_cpus = [0] * len(PRIORITIES)
        #: the same by priority and team
        self.team_cpus: dict[tuple[int, int], int] = {}
        #: how many of them have been told to stop
        self.leaving = 0
        self.state = MachineState.NEW
        self.recorded = False
        #: its first report had heard of no term
        self.has_seen_no_term = False
        self.epoch = 0
        self.sequence = 0
        self.token = 0
        #: what it may have counted up to before it began anew: a report that is not above it may be of its earlier life
        self.previous_epoch_end = (0, 0)
        self.last_heard_at = -math.inf
        #: when an answer that renews its lease may last have left: its lease ends at the latest one lease after that
        self.last_response_at = now
        self.reception = Reception.REACHABLE
        #: since when it is known to be deaf
        self.unreachable_since = math.inf
        #: the latest session that it reported since
        self.unreachable_epoch = 0
        #: what it has reported in a row as if the answers before had not come
        self.missed_responses = 0
        #: when it was last asked directly
        self.asked_at = -math.inf
        self.template: SlotTemplate = ()
        self.rank = 0
        self.in_accept_group = False
        self.reserved_for: str | None = None
        self.reserved_until = -math.inf
        self.blocked_until = -math.inf
        self.errors = 0
        self.error_at = -math.inf
        self.error_jobs: set[str] = set()
        self.drain: str | None = None
        self.terminates_at = math.inf
        self.images: OrderedDict[int, float] = OrderedDict()
        #: images that it fetches, or will as soon as it is told to start, and how many places wait for each
        self.pulls: dict[int, int] = {}
        self.empty_since = now
        #: how many times as long as others it takes for the same tasks, as far as that is known
        self.slowness = 1.0
        #: when a task last left it
        self.freed_at = -math.inf
        #: goes up whenever its places, what leaves it, its images or its state change
        self.change_count = 0
        #: its room or its images have changed since a report last tried to fill it
        self.news = True

    def record_heartbeat(self, heartbeat: Heartbeat, acknowledged_token: int, now: float) -> None:
        """Record the newest heartbeat.

        Args:
            heartbeat: The heartbeat.
            acknowledged_token: The highest token that a heartbeat of the worker has shown it to know.
            now: The present time, in seconds.
        """
        self.addr = heartbeat.addr
        self.epoch, self.sequence, self.token = heartbeat.epoch, heartbeat.sequence, acknowledged_token
        self.last_heard_at = now

    def close_previous_epoch(self) -> None:
        """Record that what was heard so far is of a previous life of the machine, which may have counted on unheard."""
        self.previous_epoch_end = max(self.previous_epoch_end, (self.epoch, self.sequence + UNHEARD_HEARTBEATS))

    def record_restart(self, epoch: int) -> None:
        """Record that the worker counts anew from `epoch` on, so that its next heartbeat is newer than any before."""
        self.close_previous_epoch()
        for allocation in self.allocations.values():
            allocation.epoch = epoch
            allocation.sent_epoch = allocation.sent_sequence = 0
        self.epoch = self.sequence = self.token = 0

    def record_epoch_while_unreachable(self, epoch: int, now: float) -> None:
        """Record that an unreachable machine has begun another epoch: a lease of it ended before `now`."""
        self.unreachable_epoch, self.unreachable_since = epoch, now

    def record_success(self) -> None:
        """Record that a task was completed here, which clears the machine of suspected faults."""
        self.errors = 0
        self.error_jobs.clear()

    def block_until(self, until: float) -> None:
        """Give the machine no tasks until then, or longer if it is blocked for longer already."""
        self.blocked_until = max(self.blocked_until, until)

    def reserve(self, job_id: str, until: float) -> None:
        """Reserve the machine for a job."""
        self.reserved_for, self.reserved_until = job_id, until

    def slots_used(self, kind: int) -> int:
        return self.slots.get(kind, 0)
