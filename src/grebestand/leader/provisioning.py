"""Rents what the plan lacks, under names that are on record first, and settles what an earlier leader asked for."""

from __future__ import annotations

import contextlib
import logging

import msgspec

from ..clients.cloud import CloudClient, NoCapacityError
from ..clients.kv_store import StoreError, delete, key_absent, put
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.machine_inventory import MachineInventory
from ..flow_control.rate_limiter import Urgency
from ..metrics.duration_sketches import DurationSketches
from ..storage.leader_records import RentalRecord
from ..wire.cloud import RentRequest
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: machines that one request asks the cloud for
FEWEST_RENTED, MOST_RENTED = 10, 50
#: of a type that the cloud has not named yet, in seconds
UNKNOWN_BOOT_S = 60.0
#: requests of that kind in one step
MOST_REQUESTS = 6


#: boots by which the usual time is known
SAMPLES = 8
#: a boot that takes so many times as long as usual is late, and its machine is replaced once; so many times, and it is
#: given up
LATE, GIVEN_UP = 1.5, 3.0
#: what usual is at the least, in times of what the cloud says; it says the middle of a wide range
USUAL = 1.5
#: of the machines that are on their way, one in so many may be replaced at a time, or two: where all are late, more
#: machines would be late as well
REPLACED = 4


class PendingMachine(msgspec.Struct):
    """A machine rented, or listed as starting, but not heard of yet."""

    type: str
    zone: str
    spot: bool
    #: when it was asked for, by this controller's clock
    since: float


class BootTimes:
    """How long machines of each type take until they report, as far as this term has seen."""

    def __init__(self, inventory: MachineInventory, registry: JobRegistry) -> None:
        self.inventory = inventory
        self.registry = registry
        self.sketches = DurationSketches()

    def learn(self, kind: str, seconds: float) -> None:
        self.sketches.add(kind, seconds)

    def usual_s(self, kind: str) -> float:
        """What nine in ten take at the most, and never less than the cloud's word would have it."""
        found = self.inventory.kinds.get(self.registry.machine_types.find(kind) or 0)
        told = USUAL * (found.boot_s if found is not None else UNKNOWN_BOOT_S)
        return max(told, self.sketches.quantile(kind, 0.9)) if self.sketches.count(kind) >= SAMPLES else told

    def late(self, e: PendingMachine, now: float) -> bool:
        return now - e.since > LATE * self.usual_s(e.type)


class Provisioning(TermComponent):
    def __init__(self, context: TermContext, cloud: CloudClient) -> None:
        super().__init__(context)
        self.cloud = cloud
        self.expected: dict[str, PendingMachine] = {}
        self.listed_pending: dict[str, PendingMachine] = {}
        self.boots = BootTimes(self.inventory, self.registry)
        #: until when a type, zone and kind is not asked for again, and how often it was refused in a row
        self.refused_until: dict[tuple[int, int, bool], float] = {}
        self.refusals: dict[tuple[int, int, bool], int] = {}
        self.rents = 0
        #: on record and not settled
        self.old_rents: dict[str, RentalRecord] = {}
        #: records of settled rentals
        self.orphans: set[str] = set()

    def load(self) -> None:
        for pair in self.writer.store.pairs("rent/"):
            self.old_rents[pair.key[5:]] = msgspec.convert(pair.value, RentalRecord)

    def replay(self) -> None:
        """A request that an earlier leader may or may not have sent: repeating it settles it, under its name."""
        for name, record in list(self.old_rents.items()):
            self._rent_under(name, record)

    def arrived(self, name: str) -> None:
        """A machine has reported for the first time."""
        e = self.expected.pop(name, None) or self.listed_pending.pop(name, None)
        if e is not None:
            self.boots.learn(e.type, self.clock() - e.since)

    def coming(self, now: float) -> tuple[int, dict[int, int]]:
        """How many machines are counted on that have not reported yet, and by zone how many of those are late.

        One that is late is replaced, so it no longer counts; but not all of them at once.
        """
        pending = {n: e for n, e in (self.listed_pending | self.expected).items() if n not in self.inventory.by_name}
        late = [e for e in pending.values() if self.boots.late(e, now)]
        zones: dict[int, int] = {}
        for e in late:
            zone = self.registry.zones.index(e.zone)
            zones[zone] = zones.get(zone, 0) + 1
        return len(pending) - min(len(late), max(2, len(pending) // REPLACED)), zones

    def rent(self) -> None:
        allow_spot = bool(self.context.policy_evaluator.value("rent_spot"))
        requests = 0
        for shortage in self.context.scheduler.renting.shortages:
            if shortage.spot and not allow_spot:
                continue
            per_zone = {z: 0 for z in shortage.zones}
            for m in self.inventory.machines:
                if m.zone in per_zone:
                    per_zone[m.zone] += 1
            late = self.coming(self.clock())[1]
            for zone in sorted(per_zone, key=lambda z: (late.get(z, 0), per_zone[z], z)):
                lack = shortage.count - self.coming(self.clock())[0]
                if lack <= 0 or requests >= MOST_REQUESTS:
                    return
                if self.refused_until.get((shortage.kind, zone, shortage.spot), 0.0) > self.clock():
                    continue
                record = RentalRecord(
                    self.registry.machine_types.name(shortage.kind),
                    self.registry.zones.name(zone),
                    shortage.spot,
                    min(lack, max(FEWEST_RENTED, min(MOST_RENTED, lack // len(per_zone)))),
                )
                # a name is never tried again with another record: the first try may be carried out late
                self.rents += 1
                self._rent_under(f"r-{self.token}-{self.rents}", record)
                requests += 1

    def _rent_under(self, name: str, record: RentalRecord) -> None:
        """Rents under a name that is on record first: no later leader can use it for anything else."""
        key = f"rent/{name}"
        allocation = (
            self.registry.machine_types.index(record.type),
            self.registry.zones.index(record.zone),
            record.spot,
        )
        if name not in self.old_rents:
            # one change for up to fifty machines: behind grants and progress, rentals of a burst once came 40 s late
            # a new name, so that this fails only if a reader may have it already
            _, failed = self.writer.commit([key_absent(key)], [put(key, msgspec.to_builtins(record))], Urgency.TAKEOVER)
            if failed:
                raise StoreError(f"{name} is on record already", maybe=False)
            self.old_rents[name] = record
        self.election.guard()
        now = self.clock()
        got: list[str] = []
        with contextlib.suppress(NoCapacityError):
            got = self.cloud.rent(RentRequest(name, record.type, record.zone, record.spot, record.count))
        for machine in got:
            if machine not in self.inventory.by_name:
                self.expected[machine] = PendingMachine(record.type, record.zone, record.spot, now)
        if len(got) < record.count:
            n = self.refusals[allocation] = min(self.refusals.get(allocation, 0) + 1, 3)
            self.refused_until[allocation] = now + 10.0 * n
        else:
            self.refusals.pop(allocation, None)
        kind = "spot" if record.spot else "ordinary"
        log.info("rented %d of %d %s in %s (%s)", len(got), record.count, record.type, record.zone, kind)
        self.old_rents.pop(name, None)
        self.orphans.add(key)

    def clear_orphans(self) -> None:
        batch = list(self.orphans)[: self.writer.txn_ops]
        if batch:
            self.writer.commit([], [delete(k) for k in batch], Urgency.PROGRESS)
            self.orphans.difference_update(batch)
