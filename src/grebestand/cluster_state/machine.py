"""A machine of the cluster: its capacity, its allocations, its cached images and the liveness of its worker."""

from __future__ import annotations

import math
from collections import OrderedDict

from ..state_machines import MachineState, Reception
from ..wire.jobs import PRIORITIES
from ..wire.workers import Heartbeat
from .jobs import Allocation
from .resources import NO_RESOURCES, Resources, add, subtract
from .slots import SlotTemplate

#: Upper bound on the heartbeats that a worker process sent after the last one received from it. With a smaller value, a
#: delayed heartbeat of a worker process that has restarted since could be mistaken for a current one.
MAX_UNSEEN_HEARTBEATS = 40


class Machine:
    """A machine, as known to the leader. All times are in seconds of the leader's clock.

    Only `MachineInventory` may change `state` and `reception`.
    """

    __slots__ = (
        "addr",
        "allocations",
        "blocked_until",
        "capacity",
        "change_count",
        "consecutive_failures",
        "drain_reason",
        "empty_since",
        "epoch",
        "failed_job_ids",
        "free",
        "freed_at",
        "image_fetches",
        "images",
        "in_accept_group",
        "index",
        "joined_without_token",
        "last_failure_at",
        "last_heard_at",
        "last_queried_at",
        "last_response_at",
        "micro_cpus_by_rank",
        "micro_cpus_by_rank_and_team",
        "missed_responses",
        "name",
        "needs_placement_attempt",
        "pre_restart_bound",
        "rank_in_plan",
        "reception",
        "recorded",
        "reserved_for",
        "reserved_until",
        "sequence",
        "slot_template",
        "slots_by_type",
        "slowness",
        "spot",
        "state",
        "stopping_count",
        "terminates_at",
        "token",
        "type_index",
        "unreachable_epoch",
        "unreachable_since",
        "used",
        "zone_index",
    )  # fmt: skip

    def __init__(
        self, index: int, name: str, addr: str, type_index: int, zone_index: int, spot: bool, now: float
    ) -> None:
        """Create a machine in state NEW without allocations.

        Args:
            index: The index of the machine in the inventory.
            name: The name under which the provider and the worker's heartbeats refer to the machine.
            addr: Host and port of the machine's worker.
            type_index: The index of the machine type in `JobRegistry.machine_types`.
            zone_index: The index of the zone in `JobRegistry.zones`.
            spot: Whether the provider may reclaim the machine.
            now: The current time, in seconds.
        """
        self.index = index
        self.name = name
        #: Host and port of the machine's worker.
        self.addr = addr
        self.type_index = type_index
        self.zone_index = zone_index
        #: Whether the provider may reclaim the machine.
        self.spot = spot
        self.capacity: Resources = NO_RESOURCES
        self.used: Resources = NO_RESOURCES
        self.free: Resources = NO_RESOURCES
        #: Number of allocations on the machine by task type index.
        self.slots_by_type: dict[int, int] = {}
        #: Allocations on the machine by task name.
        self.allocations: dict[str, Allocation] = {}
        #: CPUs allocated to the tasks of each priority, in millionths of a CPU; the highest priority comes first.
        self.micro_cpus_by_rank = [0] * len(PRIORITIES)
        #: CPUs allocated by priority rank and team index, in millionths of a CPU.
        self.micro_cpus_by_rank_and_team: dict[tuple[int, int], int] = {}
        #: Number of allocations with a requested stop.
        self.stopping_count = 0
        self.state = MachineState.NEW
        #: Whether the state service holds a record of the machine.
        self.recorded = False
        #: Whether the first heartbeat of the machine carried no token, so that its worker knew of no term yet.
        self.joined_without_token = False
        #: Epoch and sequence number of the newest heartbeat, and the highest fencing token that the worker has
        #: acknowledged.
        self.epoch = 0
        self.sequence = 0
        self.token = 0
        #: Upper bound of the epoch and sequence number that the worker reached before its last restart. A heartbeat
        #: that is not above the bound may be a delayed copy from before the restart.
        self.pre_restart_bound = (0, 0)
        self.last_heard_at = -math.inf
        #: The latest time at which a response that renews the machine's lease may have been sent. The lease expires at
        #: most one lease duration later.
        self.last_response_at = now
        #: Whether responses are known to reach the worker.
        self.reception = Reception.REACHABLE
        #: When the machine became unreachable, or when the newest epoch since then was first seen.
        self.unreachable_since = math.inf
        #: The newest epoch in the heartbeats received since the machine became unreachable.
        self.unreachable_epoch = 0
        #: Number of consecutive heartbeats that do not reflect the response to the heartbeat before them.
        self.missed_responses = 0
        #: When the leader last sent the worker a direct query.
        self.last_queried_at = -math.inf
        #: The slots that the greedy plan assigns to the machine, and the machine's rank in the plan.
        self.slot_template: SlotTemplate = ()
        self.rank_in_plan = 0
        #: Whether the greedy plan puts the machine into the accept group, whose machines take tasks by their templates.
        self.in_accept_group = False
        #: Id of the job that the machine is reserved for, if any.
        self.reserved_for: str | None = None
        self.reserved_until = -math.inf
        #: No tasks are placed on the machine before this time.
        self.blocked_until = -math.inf
        #: Number of consecutive task failures that count against the machine, the time of the last one, and the ids of
        #: the jobs whose tasks failed.
        self.consecutive_failures = 0
        self.last_failure_at = -math.inf
        self.failed_job_ids: set[str] = set()
        #: Why the machine is being drained; None if it is not.
        self.drain_reason: str | None = None
        #: When the provider reclaims the machine; infinite unless the provider has announced it.
        self.terminates_at = math.inf
        #: Size in gigabytes of each cached image by image index, the least recently used first.
        self.images: OrderedDict[int, float] = OrderedDict()
        #: Number of allocations that wait for an image, by image index. The worker fetches such an image now, or once
        #: it receives the start command.
        self.image_fetches: dict[int, int] = {}
        #: When the machine last became free of allocations.
        self.empty_since = now
        #: Estimated run time of tasks on this machine, as a multiple of their run time on other machines.
        self.slowness = 1.0
        #: When an allocation on the machine last ended.
        self.freed_at = -math.inf
        #: Incremented when the machine's allocations, their requested stops, its images, its state or its reception
        #: change, so that results computed for the machine can be cached by this number.
        self.change_count = 0
        #: Whether the free capacity or the images have changed since a heartbeat last tried to place tasks here.
        self.needs_placement_attempt = True

    def set_capacity(self, capacity: Resources) -> None:
        """Set the total capacity, once the machine type is known."""
        self.capacity = capacity
        self.free = subtract(capacity, self.used)

    def add_allocation(self, allocation: Allocation) -> None:
        """Add an allocation that was opened on this machine to the machine's usage."""
        job = allocation.job
        self.used = add(self.used, job.task_size)
        self.free = subtract(self.capacity, self.used)
        self.slots_by_type[job.type_index] = self.slots_by_type.get(job.type_index, 0) + 1
        self.micro_cpus_by_rank[job.priority_rank] += job.task_size[0]
        rank_and_team = job.priority_rank, job.team_index
        self.micro_cpus_by_rank_and_team[rank_and_team] = (
            self.micro_cpus_by_rank_and_team.get(rank_and_team, 0) + job.task_size[0]
        )
        self.change_count += 1
        if job.image_index not in self.images:
            self.image_fetches[job.image_index] = self.image_fetches.get(job.image_index, 0) + 1
        self.allocations[allocation.name] = allocation

    def remove_allocation(self, allocation: Allocation, now: float) -> None:
        """Remove an allocation that has ended, and free its resources."""
        job = allocation.job
        self.used = subtract(self.used, job.task_size)
        self.free = subtract(self.capacity, self.used)
        self.slots_by_type[job.type_index] -= 1
        self.freed_at = now
        self.micro_cpus_by_rank[job.priority_rank] -= job.task_size[0]
        rank_and_team = job.priority_rank, job.team_index
        self.micro_cpus_by_rank_and_team[rank_and_team] -= job.task_size[0]
        if not self.micro_cpus_by_rank_and_team[rank_and_team]:
            del self.micro_cpus_by_rank_and_team[rank_and_team]
        self.change_count += 1
        self.needs_placement_attempt = True
        if job.image_index in self.image_fetches:
            self.image_fetches[job.image_index] -= 1
            if not self.image_fetches[job.image_index]:
                del self.image_fetches[job.image_index]  # no task waits for the image, so the worker aborts the fetch
        elif job.image_index in self.images:
            self.images.move_to_end(job.image_index)  # the ended task has just used the image
        if allocation.stop_reason is not None:
            self.stopping_count -= 1
        del self.allocations[allocation.name]
        if not self.allocations:
            self.empty_since = now

    def record_stop_request(self) -> None:
        """Record that the stop of one of the machine's allocations was requested."""
        self.stopping_count += 1
        self.change_count += 1

    def record_image(self, image: int, gigabytes: float, cache_gb: float) -> None:
        """Record that the machine has an image, and drop the images that its worker evicts in return.

        Workers evict the least recently used images that no task uses, once their cache is full.

        Args:
            image: The index of the image.
            gigabytes: The size of the image.
            cache_gb: The capacity of the worker's image cache, in gigabytes.
        """
        self.image_fetches.pop(image, None)
        self.needs_placement_attempt = True
        self.change_count += 1
        self.images[image] = gigabytes
        self.images.move_to_end(image)
        if sum(self.images.values()) <= cache_gb:
            return
        in_use = {allocation.job.image_index for allocation in self.allocations.values()}
        for unused in [cached for cached in self.images if cached not in in_use and cached != image]:
            del self.images[unused]
            if sum(self.images.values()) <= cache_gb:
                return

    def record_heartbeat(self, heartbeat: Heartbeat, acknowledged_token: int, now: float) -> None:
        """Record the newest heartbeat.

        Args:
            heartbeat: The heartbeat.
            acknowledged_token: The highest fencing token that the worker has acknowledged in a heartbeat.
            now: The current time, in seconds.
        """
        self.addr = heartbeat.addr
        self.epoch, self.sequence, self.token = heartbeat.epoch, heartbeat.sequence, acknowledged_token
        self.last_heard_at = now

    def update_pre_restart_bound(self) -> None:
        """Record that all heartbeats so far are from before a restart of the worker.

        Heartbeats sent before the restart and not received yet may have sequence numbers up to
        `MAX_UNSEEN_HEARTBEATS` higher than the last one received.
        """
        self.pre_restart_bound = max(self.pre_restart_bound, (self.epoch, self.sequence + MAX_UNSEEN_HEARTBEATS))

    def record_restart(self, epoch: int) -> None:
        """Record a restart of the worker, whose epochs and sequence numbers start over.

        Args:
            epoch: The worker's epoch after the restart. Its next heartbeat counts as newer than all before.
        """
        self.update_pre_restart_bound()
        for allocation in self.allocations.values():
            allocation.epoch = epoch
            allocation.sent_epoch = allocation.sent_sequence = 0
        self.epoch = self.sequence = self.token = 0

    def record_epoch_while_unreachable(self, epoch: int, now: float) -> None:
        """Record that an unreachable machine is in a later epoch, so that its lease expired before `now`."""
        self.unreachable_epoch, self.unreachable_since = epoch, now

    def record_success(self) -> None:
        """Record that a task was completed on this machine, and reset the failures that count against the machine."""
        self.consecutive_failures = 0
        self.failed_job_ids.clear()

    def block_until(self, until: float) -> None:
        """Keep the scheduler from placing tasks on the machine until the given time; an existing later end stays."""
        self.blocked_until = max(self.blocked_until, until)

    def reserve(self, job_id: str, until: float) -> None:
        """Reserve the machine for a job until the given time."""
        self.reserved_for, self.reserved_until = job_id, until

    def slots_used(self, task_type: int) -> int:
        """Return the number of allocations of a task type on this machine."""
        return self.slots_by_type.get(task_type, 0)
