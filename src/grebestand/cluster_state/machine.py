"""One machine: what is known of it, what runs there and what may be placed there."""

from __future__ import annotations

import math
from collections import OrderedDict

from ..state_machines import MachineState, Reception
from ..wire.jobs import PRIORITIES
from ..wire.workers import Heartbeat
from .jobs import Allocation
from .resources import NO_RESOURCES, Resources, add, subtract
from .slots import SlotTemplate

#: How many heartbeats a machine may have sent in one life beyond the last that was heard. Too low, and a delayed
#: heartbeat of that life would pass for a present one.
UNHEARD_HEARTBEATS = 40


class Machine:
    """A machine as the leader knows it. All times are in seconds of the leader's clock.

    Its state and reception change in `MachineInventory` only.
    """

    __slots__ = (
        "addr",
        "allocations",
        "asked_at",
        "blocked_until",
        "capacity",
        "change_count",
        "drain_reason",
        "empty_since",
        "epoch",
        "error_at",
        "error_jobs",
        "errors",
        "free",
        "freed_at",
        "has_seen_no_term",
        "image_fetches",
        "images",
        "in_accept_group",
        "index",
        "kind",
        "last_heard_at",
        "last_response_at",
        "missed_responses",
        "name",
        "news",
        "previous_epoch_end",
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
        "stopping_count",
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
        """Begin as a new machine without tasks; `index` is its own, `kind` and `zone` are those of the registry."""
        self.index = index
        self.name = name
        #: Host and port of its worker.
        self.addr = addr
        self.kind = kind
        self.zone = zone
        #: Whether the provider may reclaim it.
        self.spot = spot
        self.capacity: Resources = NO_RESOURCES
        self.used: Resources = NO_RESOURCES
        self.free: Resources = NO_RESOURCES
        #: How many allocations there are of each task type.
        self.slots: dict[int, int] = {}
        #: By the task's name in heartbeats.
        self.allocations: dict[str, Allocation] = {}
        #: Millionths of a CPU that tasks of each priority take, the highest first.
        self.rank_cpus = [0] * len(PRIORITIES)
        #: The same by priority and team.
        self.team_cpus: dict[tuple[int, int], int] = {}
        #: How many allocations have been asked to stop.
        self.stopping_count = 0
        self.state = MachineState.NEW
        #: Whether it has a durable record.
        self.recorded = False
        #: Its first heartbeat carried no token.
        self.has_seen_no_term = False
        #: Of the newest heartbeat; the token is the highest that it has been shown to know.
        self.epoch = 0
        self.sequence = 0
        self.token = 0
        #: Epoch and sequence up to which it may have counted in its previous life: a heartbeat that is not above them
        #: may be a delayed copy from then.
        self.previous_epoch_end = (0, 0)
        self.last_heard_at = -math.inf
        #: When a response that renews its lease may last have left: its lease ends one lease after that at the latest.
        self.last_response_at = now
        #: Whether responses reach it, as far as is known.
        self.reception = Reception.REACHABLE
        #: Since when it has been unreachable, or since its latest epoch began meanwhile.
        self.unreachable_since = math.inf
        #: The latest epoch in which it was heard since then.
        self.unreachable_epoch = 0
        #: How many heartbeats in a row went on as if the response before had not arrived.
        self.missed_responses = 0
        #: When it was last queried directly.
        self.asked_at = -math.inf
        #: The slots that the greedy plan gives it, and its rank there.
        self.template: SlotTemplate = ()
        self.rank = 0
        self.in_accept_group = False
        #: The job that it is reserved for, if any.
        self.reserved_for: str | None = None
        self.reserved_until = -math.inf
        #: It is given no tasks before then.
        self.blocked_until = -math.inf
        #: How many failures of tasks in a row speak against it, when the last was, and of which jobs.
        self.errors = 0
        self.error_at = -math.inf
        self.error_jobs: set[str] = set()
        #: Why it is drained, if it is.
        self.drain_reason: str | None = None
        #: When the provider takes it back.
        self.terminates_at = math.inf
        #: Gigabytes of each image in its cache, the least recently used first.
        self.images: OrderedDict[int, float] = OrderedDict()
        #: Images that it fetches, or will once it is told to start, and how many allocations wait for each.
        self.image_fetches: dict[int, int] = {}
        #: Since when it has had no allocation.
        self.empty_since = now
        #: How many times as long as others it takes for the same tasks, as far as is known.
        self.slowness = 1.0
        #: When an allocation last ended here.
        self.freed_at = -math.inf
        #: Rises whenever its allocations, what is stopped of them, its images or its state change.
        self.change_count = 0
        #: Its free capacity or its images have changed since a heartbeat last tried to place tasks here.
        self.news = True

    def set_capacity(self, capacity: Resources) -> None:
        """Set what the machine has in all, once its type is known."""
        self.capacity = capacity
        self.free = subtract(capacity, self.used)

    def add_allocation(self, allocation: Allocation) -> None:
        """Count an allocation that was opened on this machine."""
        job = allocation.job
        self.used = add(self.used, job.size)
        self.free = subtract(self.capacity, self.used)
        self.slots[job.type] = self.slots.get(job.type, 0) + 1
        self.rank_cpus[job.rank] += job.size[0]
        rank_and_team = job.rank, job.team
        self.team_cpus[rank_and_team] = self.team_cpus.get(rank_and_team, 0) + job.size[0]
        self.change_count += 1
        if job.image not in self.images:
            self.image_fetches[job.image] = self.image_fetches.get(job.image, 0) + 1
        self.allocations[allocation.name] = allocation

    def remove_allocation(self, allocation: Allocation, now: float) -> None:
        """Free what an allocation of this machine counted, as it ends."""
        job = allocation.job
        self.used = subtract(self.used, job.size)
        self.free = subtract(self.capacity, self.used)
        self.slots[job.type] -= 1
        self.freed_at = now
        self.rank_cpus[job.rank] -= job.size[0]
        rank_and_team = job.rank, job.team
        self.team_cpus[rank_and_team] -= job.size[0]
        if not self.team_cpus[rank_and_team]:
            del self.team_cpus[rank_and_team]
        self.change_count += 1
        self.news = True
        if job.image in self.image_fetches:
            self.image_fetches[job.image] -= 1
            if not self.image_fetches[job.image]:
                del self.image_fetches[job.image]  # nothing waits for it any more, so the worker gives up the fetch
        elif job.image in self.images:
            self.images.move_to_end(job.image)  # used until now
        if allocation.stop_reason is not None:
            self.stopping_count -= 1
        del self.allocations[allocation.name]
        if not self.allocations:
            self.empty_since = now

    def record_stop_request(self) -> None:
        """Record that one of its allocations has been asked to stop."""
        self.stopping_count += 1
        self.change_count += 1

    def record_image(self, image: int, gigabytes: float, cache_gb: float) -> None:
        """Record that the machine has an image.

        Workers keep the most recently used images up to the size of their cache; this mirrors which they drop.
        """
        self.image_fetches.pop(image, None)
        self.news = True
        self.change_count += 1
        self.images[image] = gigabytes
        self.images.move_to_end(image)
        if sum(self.images.values()) <= cache_gb:
            return
        in_use = {allocation.job.image for allocation in self.allocations.values()}
        for unused in [cached for cached in self.images if cached not in in_use and cached != image]:
            del self.images[unused]
            if sum(self.images.values()) <= cache_gb:
                return

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

    def slots_used(self, task_type: int) -> int:
        """Return how many allocations of a task type are here."""
        return self.slots.get(task_type, 0)
