"""Rents what the plan lacks, under names that are on record first, and settles what an earlier leader asked for."""

from __future__ import annotations

import contextlib
import logging

import msgspec

from ..limits.budget import Urgency
from ..outside.cloud import CloudClient, NoCapacity
from ..outside.state import delete, put
from ..records.leader import RentRecord
from ..wire.cloud import RentRequest
from .basis import Basis, Part

log = logging.getLogger("grebestand.rentals")

#: machines that one request asks the cloud for
FEWEST_RENTED, MOST_RENTED = 10, 50
#: requests of that kind in one step
MOST_REQUESTS = 6


class Expected(msgspec.Struct):
    """A machine rented, or listed as starting, but not heard of yet."""

    type: str
    zone: str
    spot: bool
    since: float


class Rentals(Part):
    def __init__(self, basis: Basis, cloud: CloudClient) -> None:
        super().__init__(basis)
        self.cloud = cloud
        self.expected: dict[str, Expected] = {}
        self.listed_pending: dict[str, Expected] = {}
        #: until when a type, zone and kind is not asked for again, and how often it was refused in a row
        self.refused_until: dict[tuple[int, int, bool], float] = {}
        self.refusals: dict[tuple[int, int, bool], int] = {}
        self.rents = 0
        #: on record and not settled
        self.old_rents: dict[str, RentRecord] = {}
        #: records of settled rentals
        self.orphans: set[str] = set()

    def load(self) -> None:
        for pair in self.pen.state.pairs("rent/"):
            self.old_rents[pair.key[5:]] = msgspec.convert(pair.value, RentRecord)

    def replay(self) -> None:
        """A request that an earlier leader may or may not have sent: repeating it settles it, under its name."""
        for name, record in list(self.old_rents.items()):
            self._rent_under(name, record)

    def rent(self) -> None:
        allow_spot = bool(self.basis.dials.value("rent_spot"))
        requests = 0
        for shortage in self.basis.scheduler.renting.shortages:
            if shortage.spot and not allow_spot:
                continue
            per_zone = {z: 0 for z in shortage.zones}
            for m in self.fleet.machines:
                if m.zone in per_zone:
                    per_zone[m.zone] += 1
            for zone in sorted(per_zone, key=lambda z: (per_zone[z], z)):
                pending = len(self.expected) + sum(1 for n in self.listed_pending if n not in self.fleet.by_name)
                lack = shortage.count - pending
                if lack <= 0 or requests >= MOST_REQUESTS:
                    return
                if self.refused_until.get((shortage.kind, zone, shortage.spot), 0.0) > self.clock():
                    continue
                record = RentRecord(
                    self.ledger.machine_types.name(shortage.kind),
                    self.ledger.zones.name(zone),
                    shortage.spot,
                    min(lack, max(FEWEST_RENTED, min(MOST_RENTED, lack // len(per_zone)))),
                )
                self._rent_under(f"r-{self.token}-{self.rents}", record)
                self.rents += 1
                requests += 1

    def _rent_under(self, name: str, record: RentRecord) -> None:
        """Rents under a name that is on record first: no later leader can use it for anything else."""
        key = f"rent/{name}"
        place = (
            self.ledger.machine_types.index(record.type),
            self.ledger.zones.index(record.zone),
            record.spot,
        )
        if name not in self.old_rents:
            # one change for up to fifty machines: behind grants and progress, rentals of a burst once came 40 s late
            self.pen.commit([], [put(key, msgspec.to_builtins(record))], Urgency.TAKEOVER)
            self.old_rents[name] = record
        self.leadership.guard()
        now = self.clock()
        got: list[str] = []
        with contextlib.suppress(NoCapacity):
            got = self.cloud.rent(RentRequest(name, record.type, record.zone, record.spot, record.count))
        for machine in got:
            if machine not in self.fleet.by_name:
                self.expected[machine] = Expected(record.type, record.zone, record.spot, now)
        if len(got) < record.count:
            n = self.refusals[place] = min(self.refusals.get(place, 0) + 1, 3)
            self.refused_until[place] = now + 10.0 * n
        else:
            self.refusals.pop(place, None)
        kind = "spot" if record.spot else "ordinary"
        log.info("rented %d of %d %s in %s (%s)", len(got), record.count, record.type, record.zone, kind)
        self.old_rents.pop(name, None)
        self.orphans.add(key)

    def clear_orphans(self) -> None:
        batch = list(self.orphans)[: self.pen.txn_ops]
        if batch:
            self.pen.commit([], [delete(k) for k in batch], Urgency.PROGRESS)
            self.orphans.difference_update(batch)
