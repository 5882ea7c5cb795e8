"""Rents the machines that the plan lacks; the name of each rental request is stored before the request is sent.

A request of an earlier leader may or may not have been executed. Since the cloud treats a repeated name as the same
request, a later leader settles a request by repeating it.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ..clients.cloud import CloudClient, NoCapacityError
from ..clients.kv_store import StoreError, delete, key_absent, put
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.machine_inventory import MachineInventory
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..metrics.duration_sketches import DurationSketches
from ..scheduling.scale_out import CapacityShortage
from ..storage.leader_records import RentalRecord
from ..wire.cloud import ListedMachine, RentRequest
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

RENT_PREFIX = "rent/"
#: The smallest and largest number of machines in one rental request, which is otherwise the shortage divided by the
#: number of zones.
MIN_MACHINES_PER_REQUEST, MAX_MACHINES_PER_REQUEST = 10, 50
#: At most this many rental requests are sent in one step, so that other requests to the cloud are not delayed.
MAX_REQUESTS_PER_STEP = 6
#: After consecutive refusals, no request is sent to a pool for this time multiplied by their number, in seconds; at
#: most this many refusals count.
REFUSAL_BACKOFF_S, MAX_COUNTED_REFUSALS = 10.0, 3

#: The assumed boot time of a machine type that the cloud has not described yet, in seconds.
UNKNOWN_BOOT_S = 60.0
#: The number of observed boots of a machine type from which its usual boot time is estimated, and the quantile used.
MIN_BOOT_SAMPLES, USUAL_BOOT_QUANTILE = 8, 0.9
#: The usual boot time is at least this many times the boot time stated by the cloud, which is the middle of a wide
#: range.
STATED_BOOT_FACTOR = 1.5
#: A machine is late and replaced once after the first multiple of its usual boot time, and given up after the second.
LATE_BOOT_FACTOR, GIVEN_UP_BOOT_FACTOR = 1.5, 3.0
#: At most one in this many expected machines is replaced at a time, but always up to the minimum: where all machines
#: are late, their replacements would be late as well.
REPLACED_SHARE, MIN_REPLACED = 4, 2


class PendingMachine(msgspec.Struct):
    """A machine that is rented, or listed as starting, and has not sent a heartbeat yet."""

    type: str
    zone: str
    spot: bool
    #: when the machine was requested, in seconds of this controller's monotonic clock
    since: float


@dataclass(frozen=True)
class PoolKey:
    """A pool of identical machines for rent: the indices of their type and zone, and whether they are spot machines."""

    kind: int
    zone: int
    spot: bool


@dataclass(frozen=True)
class ExpectedMachines:
    """How many machines without a heartbeat are expected to boot, and how many machines are late by zone."""

    count: int
    late_by_zone: dict[int, int]


class BootTimes:
    """The times until the first heartbeat observed in this term, by machine type."""

    def __init__(self, inventory: MachineInventory, registry: JobRegistry) -> None:
        self.inventory = inventory
        self.registry = registry
        self.sketches = DurationSketches()

    def add(self, machine_type: str, seconds: float) -> None:
        """Add an observed boot time, in seconds."""
        self.sketches.add(machine_type, seconds)

    def usual_s(self, machine_type: str) -> float:
        """Return the boot time, in seconds, that nine in ten machines of a type do not exceed.

        Never less than `STATED_BOOT_FACTOR` times the boot time stated by the cloud.
        """
        described = self.inventory.machine_types.get(self.registry.machine_types.find(machine_type) or 0)
        stated_s = STATED_BOOT_FACTOR * (described.boot_s if described is not None else UNKNOWN_BOOT_S)
        if self.sketches.count(machine_type) < MIN_BOOT_SAMPLES:
            return stated_s
        return max(stated_s, self.sketches.quantile(machine_type, USUAL_BOOT_QUANTILE))

    def is_late(self, pending: PendingMachine, now: float) -> bool:
        """Return whether a machine should have sent a heartbeat by now."""
        return now - pending.since > LATE_BOOT_FACTOR * self.usual_s(pending.type)

    def is_given_up(self, machine_type: str, age_s: float) -> bool:
        """Return whether a machine without a heartbeat is no longer expected to boot.

        Args:
            machine_type: the name of the machine's type.
            age_s: the age of the machine, in seconds.
        """
        return age_s > GIVEN_UP_BOOT_FACTOR * self.usual_s(machine_type)


class Provisioning(TermComponent):
    """Rents machines, and tracks rented machines until their first heartbeat."""

    def __init__(self, context: TermContext, cloud: CloudClient) -> None:
        super().__init__(context)
        self.cloud = cloud
        #: machines without a heartbeat: those rented and not listed yet, and those in the cloud's last list
        self.expected: dict[str, PendingMachine] = {}
        self.listed_pending: dict[str, PendingMachine] = {}
        self.boot_times = BootTimes(self.inventory, self.registry)
        #: until when no request is sent to a pool, and the number of consecutive refusals
        self.refused_until: dict[PoolKey, float] = {}
        self.refusals: dict[PoolKey, int] = {}
        #: the number of rental requests of this term
        self.request_count = 0
        #: stored requests that are not settled
        self.unsettled: dict[str, RentalRecord] = {}
        #: keys of the records of settled requests, which are to be deleted
        self.settled_keys: set[str] = set()

    def load(self) -> None:
        """Restore the requests that an earlier leader has not settled.

        Raises:
            StoreError: the store could not be reached.
        """
        for pair in self.writer.store.pairs(RENT_PREFIX):
            self.unsettled[pair.key.removeprefix(RENT_PREFIX)] = msgspec.convert(pair.value, RentalRecord)

    def repeat_unsettled_requests(self) -> None:
        """Repeat the unsettled requests, which an earlier leader may or may not have sent.

        Raises:
            CloudError: the cloud could not be reached.
            FencedError: this term may no longer write.
        """
        for name, record in list(self.unsettled.items()):
            self._rent_as(name, record)

    def record_first_heartbeat(self, name: str) -> None:
        """Record the first heartbeat of a machine and its boot time."""
        pending = self.expected.pop(name, None) or self.listed_pending.pop(name, None)
        if pending is not None:
            self.boot_times.add(pending.type, self.clock() - pending.since)

    def start_list(self) -> None:
        """Discard the machines of the cloud's last list, before another list is recorded."""
        self.listed_pending = {}

    def record_listed(self, entry: ListedMachine, now: float, *, pending: bool) -> None:
        """Record a machine of the cloud's list, which is then no longer waiting to be listed.

        Args:
            entry: the machine as listed.
            now: the current time of the monotonic clock, in seconds.
            pending: whether the machine has sent no heartbeat and is still expected to boot.
        """
        promised = self.expected.pop(entry.id, None)
        if pending:
            # the listed age is outdated by the lag of the list, so that a machine rented here keeps its own time
            listed = PendingMachine(entry.type, entry.zone, entry.spot, now - entry.age_s)
            self.listed_pending[entry.id] = promised or listed

    def forget_unlisted(self, now: float, limit_s: float) -> None:
        """Stop expecting machines that were rented longer ago than a limit and have not been listed.

        Args:
            now: the current time of the monotonic clock, in seconds.
            limit_s: how long a rented machine may remain unlisted, in seconds.
        """
        for name in [name for name, promised in self.expected.items() if now - promised.since > limit_s]:
            del self.expected[name]

    def expected_machines(self, now: float) -> ExpectedMachines:
        """Return how many machines are expected to boot.

        A late machine that is replaced does not count; only some of the late machines are replaced at a time.

        Args:
            now: the current time of the monotonic clock, in seconds.
        """
        pending = {
            name: machine
            for name, machine in (self.listed_pending | self.expected).items()
            if name not in self.inventory.by_name
        }
        late = [machine for machine in pending.values() if self.boot_times.is_late(machine, now)]
        late_by_zone: dict[int, int] = {}
        for machine in late:
            zone = self.registry.zones.intern(machine.zone)
            late_by_zone[zone] = late_by_zone.get(zone, 0) + 1
        replaced = min(len(late), max(MIN_REPLACED, len(pending) // REPLACED_SHARE))
        return ExpectedMachines(len(pending) - replaced, late_by_zone)

    def rent(self) -> None:
        """Request the machines that the plan lacks, from all suitable pools, until enough machines are expected.

        Raises:
            CloudError: the cloud could not be reached; the request is repeated by the next step.
            FencedError: this term may no longer write.
            StoreError: the store could not be reached.
        """
        requests = 0
        for shortage, zone in self._pools_to_ask():
            lack = shortage.count - self.expected_machines(self.clock()).count
            if lack <= 0 or requests >= MAX_REQUESTS_PER_STEP:
                return
            if self.refused_until.get(PoolKey(shortage.machine_type, zone, shortage.spot), 0.0) > self.clock():
                continue
            record = RentalRecord(
                type=self.registry.machine_types.name(shortage.machine_type),
                zone=self.registry.zones.name(zone),
                spot=shortage.spot,
                count=min(
                    lack, max(MIN_MACHINES_PER_REQUEST, min(MAX_MACHINES_PER_REQUEST, lack // len(set(shortage.zones))))
                ),
            )
            # a name is never reused for another record, as the first request may still be executed later
            self.request_count += 1
            self._rent_as(f"r-{self.token}-{self.request_count}", record)
            requests += 1

    def _pools_to_ask(self) -> Iterator[tuple[CapacityShortage, int]]:
        """Yield each shortage with its zones, those with the fewest late machines first, then the fewest machines."""
        allow_spot = bool(self.context.policy_evaluator.value("rent_spot"))
        for shortage in self.context.scheduler.scale_out.shortages:
            if shortage.spot and not allow_spot:
                continue
            machines_by_zone = self._machines_by_zone(shortage.zones)
            late_by_zone = self.expected_machines(self.clock()).late_by_zone
            by_preference = sorted(
                (late_by_zone.get(zone, 0), machines, zone) for zone, machines in machines_by_zone.items()
            )
            for _, _, zone in by_preference:
                yield shortage, zone

    def _machines_by_zone(self, zones: tuple[int, ...]) -> dict[int, int]:
        counts = dict.fromkeys(zones, 0)
        for machine in self.inventory.machines:
            if machine.zone_index in counts:
                counts[machine.zone_index] += 1
        return counts

    def _rent_as(self, name: str, record: RentalRecord) -> None:
        """Rent machines under a request name, which is stored first so that a later leader can settle the request."""
        if name not in self.unsettled:
            self._store_request(name, record)
        self.election.require_leadership()
        now = self.clock()
        rented: list[str] = []
        with contextlib.suppress(NoCapacityError):  # a refusal counts as zero machines
            rented = self.cloud.rent(RentRequest(name, record.type, record.zone, record.spot, record.count))
        for machine in rented:
            if machine not in self.inventory.by_name:
                self.expected[machine] = PendingMachine(record.type, record.zone, record.spot, now)
        self._record_outcome(record, len(rented), now)
        self.unsettled.pop(name, None)
        self.settled_keys.add(f"{RENT_PREFIX}{name}")

    def _store_request(self, name: str, record: RentalRecord) -> None:
        """Store a new request.

        The write is urgent: one change for up to fifty machines must not wait behind grants and progress in a burst.

        Raises:
            FencedError: this term may no longer write.
            StoreError: the store could not be reached, or already has a request of this name.
        """
        key = f"{RENT_PREFIX}{name}"
        _, failed = self.writer.commit([key_absent(key)], [put(key, msgspec.to_builtins(record))], Urgency.TAKEOVER)
        if failed:
            raise StoreError(f"{name} is on record already", possibly_applied=False)
        self.unsettled[name] = record

    def _record_outcome(self, record: RentalRecord, rented: int, now: float) -> None:
        """Log the outcome of a request, and back off from a pool that provided fewer machines than requested."""
        pool = PoolKey(
            self.registry.machine_types.intern(record.type), self.registry.zones.intern(record.zone), record.spot
        )
        if rented < record.count:
            refusals = self.refusals[pool] = min(self.refusals.get(pool, 0) + 1, MAX_COUNTED_REFUSALS)
            self.refused_until[pool] = now + REFUSAL_BACKOFF_S * refusals
        else:
            self.refusals.pop(pool, None)
        log.info(
            LogEvent(
                "machines_rented",
                rented=rented,
                requested=record.count,
                type=record.type,
                zone=record.zone,
                spot=record.spot,
            )
        )

    def delete_settled_records(self) -> None:
        """Delete the records of settled requests, as many as fit a transaction.

        Raises:
            FencedError: this term may no longer write.
            StoreError: the store could not be reached; the records are deleted by a later call.
        """
        keys = list(self.settled_keys)[: self.writer.txn_ops]
        if keys:
            self.writer.commit([], [delete(key) for key in keys], Urgency.PROGRESS)
            self.settled_keys.difference_update(keys)
