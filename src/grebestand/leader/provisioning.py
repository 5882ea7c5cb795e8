"""Rents the machines that the plan lacks, each request under a name that is on record before the cloud is asked.

A request of an earlier leader may or may not have been carried out. Since the cloud treats a repeated name as the same
request, a later leader settles it by repeating it.
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
#: How many machines one request asks for: within these bounds, the shortage divided by the zones.
FEWEST_RENTED, MAX_MACHINES_PER_REQUEST = 10, 50
#: Requests to the cloud in one step, so that other requests to the cloud need not wait for long.
MAX_REQUESTS_PER_STEP = 6
#: After refusals in a row, a pool is not asked again for this time for each of them, counting up to the maximum.
REFUSAL_BACKOFF_S, MAX_COUNTED_REFUSALS = 10.0, 3

#: The boot time of a type that the cloud has not described yet, in seconds.
UNKNOWN_BOOT_S = 60.0
#: The number of boots from which the usual boot time of a type is known, and the quantile that it is.
MIN_BOOT_SAMPLES, USUAL_BOOT_QUANTILE = 8, 0.9
#: The usual boot time is at least this many times what the cloud states, which is the middle of a wide range.
STATED_BOOT_FACTOR = 1.5
#: A boot is late after the first many times the usual time, and its machine is replaced once; after the second many
#: times it is given up.
LATE_BOOT_FACTOR, GIVEN_UP_BOOT_FACTOR = 1.5, 3.0
#: Of the expected machines, one in this many may be replaced at a time, but always the minimum: where all are late,
#: their replacements would be late as well.
REPLACED_SHARE, MIN_REPLACED = 4, 2


class PendingMachine(msgspec.Struct):
    """A machine that is rented, or listed as starting, and has not sent a heartbeat yet."""

    type: str
    zone: str
    spot: bool
    #: when it was asked for, by this controller's clock
    since: float


@dataclass(frozen=True)
class PoolKey:
    """Machines that the cloud rents out alike, by the indices of their type and zone."""

    kind: int
    zone: int
    spot: bool


@dataclass(frozen=True)
class ExpectedMachines:
    """How many machines may be counted on that have not sent a heartbeat, and how many are late by zone."""

    count: int
    late_by_zone: dict[int, int]


class BootTimes:
    """How long machines of each type take until their first heartbeat, as far as this term has seen."""

    def __init__(self, inventory: MachineInventory, registry: JobRegistry) -> None:
        self.inventory = inventory
        self.registry = registry
        self.sketches = DurationSketches()

    def learn(self, machine_type: str, seconds: float) -> None:
        """Add one observed boot."""
        self.sketches.add(machine_type, seconds)

    def usual_s(self, machine_type: str) -> float:
        """Return what nine in ten boots take at most, in seconds, and never less than what the cloud states."""
        described = self.inventory.machine_types.get(self.registry.machine_types.find(machine_type) or 0)
        stated_s = STATED_BOOT_FACTOR * (described.boot_s if described is not None else UNKNOWN_BOOT_S)
        if self.sketches.count(machine_type) < MIN_BOOT_SAMPLES:
            return stated_s
        return max(stated_s, self.sketches.quantile(machine_type, USUAL_BOOT_QUANTILE))

    def is_late(self, pending: PendingMachine, now: float) -> bool:
        """Return whether a machine should have sent a heartbeat by now."""
        return now - pending.since > LATE_BOOT_FACTOR * self.usual_s(pending.type)

    def is_given_up(self, machine_type: str, age_s: float) -> bool:
        """Return whether a machine of this age that has sent no heartbeat is not expected to boot any more."""
        return age_s > GIVEN_UP_BOOT_FACTOR * self.usual_s(machine_type)


class Provisioning(TermComponent):
    """Rents machines, and knows which of them are on their way."""

    def __init__(self, context: TermContext, cloud: CloudClient) -> None:
        super().__init__(context)
        self.cloud = cloud
        #: machines that the cloud has promised and not listed yet, and listed ones, both without a heartbeat
        self.expected: dict[str, PendingMachine] = {}
        self.listed_pending: dict[str, PendingMachine] = {}
        self.boots = BootTimes(self.inventory, self.registry)
        #: until when a pool is not asked again, and how often in a row it was refused
        self.refused_until: dict[PoolKey, float] = {}
        self.refusals: dict[PoolKey, int] = {}
        #: the number of requests of this term
        self.request_count = 0
        #: requests that are on record and not settled
        self.unsettled: dict[str, RentalRecord] = {}
        #: keys of records of settled requests, to be deleted
        self.settled_keys: set[str] = set()

    def load(self) -> None:
        """Restore the requests that an earlier leader has not settled.

        Raises:
            StoreError: the store could not be reached.
        """
        for pair in self.writer.store.pairs(RENT_PREFIX):
            self.unsettled[pair.key.removeprefix(RENT_PREFIX)] = msgspec.convert(pair.value, RentalRecord)

    def replay(self) -> None:
        """Repeat the requests of an earlier leader, which it may or may not have sent.

        Raises:
            CloudError: the cloud could not be reached.
            FencedError: this term may not write any more.
        """
        for name, record in list(self.unsettled.items()):
            self._rent_under(name, record)

    def arrived(self, name: str) -> None:
        """Note the first heartbeat of a machine."""
        pending = self.expected.pop(name, None) or self.listed_pending.pop(name, None)
        if pending is not None:
            self.boots.learn(pending.type, self.clock() - pending.since)

    def begin_list(self) -> None:
        """Forget what the cloud's last list showed, as another one is about to be recorded."""
        self.listed_pending = {}

    def record_listed(self, entry: ListedMachine, now: float, *, pending: bool) -> None:
        """Note a machine of the cloud's list, so that it does not count as promised any more.

        Args:
            entry: the machine as listed.
            now: the time of the steady clock.
            pending: whether it has sent no heartbeat and is still expected to.
        """
        promised = self.expected.pop(entry.id, None)
        if pending:
            # the listed age is that at the time which the list describes, so a promised machine keeps its own
            listed = PendingMachine(entry.type, entry.zone, entry.spot, now - entry.age_s)
            self.listed_pending[entry.id] = promised or listed

    def forget_unlisted(self, now: float, limit_s: float) -> None:
        """Do not expect machines any more that were promised longer ago than the limit, and never listed."""
        for name in [name for name, promised in self.expected.items() if now - promised.since > limit_s]:
            del self.expected[name]

    def coming(self, now: float) -> ExpectedMachines:
        """Return how many machines are on their way.

        A late one is replaced, so it does not count any more; but only some of them are replaced at a time.
        """
        pending = {
            name: machine
            for name, machine in (self.listed_pending | self.expected).items()
            if name not in self.inventory.by_name
        }
        late = [machine for machine in pending.values() if self.boots.is_late(machine, now)]
        late_by_zone: dict[int, int] = {}
        for machine in late:
            zone = self.registry.zones.intern(machine.zone)
            late_by_zone[zone] = late_by_zone.get(zone, 0) + 1
        replaced = min(len(late), max(MIN_REPLACED, len(pending) // REPLACED_SHARE))
        return ExpectedMachines(len(pending) - replaced, late_by_zone)

    def rent(self) -> None:
        """Ask the cloud for what the plan lacks, in all pools that fit, until that is on its way.

        Raises:
            CloudError: the cloud could not be reached; the request is repeated by the next step.
            FencedError: this term may not write any more.
            StoreError: the store could not be reached.
        """
        requests = 0
        for shortage, zone in self._pools_to_ask():
            lack = shortage.count - self.coming(self.clock()).count
            if lack <= 0 or requests >= MAX_REQUESTS_PER_STEP:
                return
            if self.refused_until.get(PoolKey(shortage.machine_type, zone, shortage.spot), 0.0) > self.clock():
                continue
            record = RentalRecord(
                type=self.registry.machine_types.name(shortage.machine_type),
                zone=self.registry.zones.name(zone),
                spot=shortage.spot,
                count=min(lack, max(FEWEST_RENTED, min(MAX_MACHINES_PER_REQUEST, lack // len(set(shortage.zones))))),
            )
            # a name is never used again with another record: the first request may be carried out late
            self.request_count += 1
            self._rent_under(f"r-{self.token}-{self.request_count}", record)
            requests += 1

    def _pools_to_ask(self) -> Iterator[tuple[CapacityShortage, int]]:
        """Yield shortages with their zones: first those with few late machines, then those with few machines."""
        allow_spot = bool(self.context.policy_evaluator.value("rent_spot"))
        for shortage in self.context.scheduler.scale_out.shortages:
            if shortage.spot and not allow_spot:
                continue
            machines_by_zone = self._machines_by_zone(shortage.zones)
            late_by_zone = self.coming(self.clock()).late_by_zone
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

    def _rent_under(self, name: str, record: RentalRecord) -> None:
        """Rent machines under a name that is on record first, so that no later leader uses it for anything else."""
        if name not in self.unsettled:
            self._put_on_record(name, record)
        self.election.guard()
        now = self.clock()
        rented: list[str] = []
        with contextlib.suppress(NoCapacityError):  # a refusal, like fewer machines than were asked for
            rented = self.cloud.rent(RentRequest(name, record.type, record.zone, record.spot, record.count))
        for machine in rented:
            if machine not in self.inventory.by_name:
                self.expected[machine] = PendingMachine(record.type, record.zone, record.spot, now)
        self._record_outcome(record, len(rented), now)
        self.unsettled.pop(name, None)
        self.settled_keys.add(f"{RENT_PREFIX}{name}")

    def _put_on_record(self, name: str, record: RentalRecord) -> None:
        """Store a new request.

        It is urgent: one change for up to fifty machines must not wait behind grants and progress in a burst.

        Raises:
            FencedError: this term may not write any more.
            StoreError: the store could not be reached, or has the name already.
        """
        key = f"{RENT_PREFIX}{name}"
        _, failed = self.writer.commit([key_absent(key)], [put(key, msgspec.to_builtins(record))], Urgency.TAKEOVER)
        if failed:
            raise StoreError(f"{name} is on record already", possibly_applied=False)
        self.unsettled[name] = record

    def _record_outcome(self, record: RentalRecord, rented: int, now: float) -> None:
        """Back off from a pool that gave fewer machines than were asked for."""
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
            FencedError: this term may not write any more.
            StoreError: the store could not be reached; the records are deleted by a later call.
        """
        keys = list(self.settled_keys)[: self.writer.txn_ops]
        if keys:
            self.writer.commit([], [delete(key) for key in keys], Urgency.PROGRESS)
            self.settled_keys.difference_update(keys)
