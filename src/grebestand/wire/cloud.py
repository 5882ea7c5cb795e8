"""Requests to the cloud API and the responses of the cloud."""

from __future__ import annotations

import msgspec


class MachineType(
    msgspec.Struct,
    rename={
        "gpus": "cards",
        "memory_gb": "ramGb",
        "cache_gb": "localGb",
        "fetch_gb_per_s": "pullGbPerS",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "quays",
    },
):
    """A machine type that can be rented from the cloud.

    Attributes:
        name: Name of the type; jobs refer to the type by this name.
        cpus: Number of processors of a machine.
        gpus: Number of GPUs of a machine; `cards` on the wire.
        memory_gb: Memory of a machine in gigabytes; `ramGb` on the wire.
        zones: Names of the zones in which the type exists; `quays` on the wire.
        cache_gb: Space for cached images in gigabytes; `localGb` on the wire.
        fetch_gb_per_s: Rate at which a machine fetches images, in gigabytes per second; `pullGbPerS` on the wire.
        price: Price of an on-demand machine, in a unit that is the same for all machine types.
        spot_price: Price of a spot machine, in the unit of `price`; `spotPrice` on the wire.
        boot_s: Usual time from the rent request to the first heartbeat, in seconds; `bootS` on the wire.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: list[str]
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    price: float = 0.0
    spot_price: float = 0.0
    boot_s: float = 60.0


class MachineTypes(msgspec.Struct, rename={"types": "hulls"}):
    """The response to a request for all machine types.

    Attributes:
        types: All machine types; `hulls` on the wire.
    """

    types: list[MachineType]


class RentRequest(
    msgspec.Struct,
    rename={"request": "charter", "type": "hull", "zone": "quay", "spot": "driftwood", "count": "howMany"},
):
    """A request to rent machines.

    Rent requests are idempotent: the response to a repeated request lists the machines rented by the first one.

    Attributes:
        request: Idempotency key, chosen by the client; `charter` on the wire.
        type: Name of the machine type; `hull` on the wire.
        zone: Name of the zone; `quay` on the wire.
        spot: Whether the machines may be spot machines, which the cloud can reclaim; `driftwood` on the wire.
        count: Number of machines to rent; `howMany` on the wire.
    """

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Rented(msgspec.Struct, rename={"machines": "vessels"}):
    """The response to a `RentRequest`.

    Attributes:
        machines: Names of the rented machines, which may still be booting; `vessels` on the wire.
    """

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={"id": "ref", "type": "hull", "zone": "quay", "spot": "driftwood", "state": "tide", "age_s": "heldS"},
):
    """A rented machine in the list returned by the cloud.

    Attributes:
        id: Name of the machine; `ref` on the wire.
        type: Name of the machine type; `hull` on the wire.
        zone: Name of the zone; `quay` on the wire.
        spot: Whether the cloud can reclaim the machine; `driftwood` on the wire.
        state: State of the machine; `failed` means that the machine will never boot. `tide` on the wire.
        age_s: Time since the machine was rented, in seconds; `heldS` on the wire.
        addr: Address of the machine's worker as `host:port`; empty while the machine boots.
    """

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0
    addr: str = ""


class MachineList(msgspec.Struct, rename={"machines": "vessels", "more": "truncated"}):
    """One page of the list of rented machines.

    Attributes:
        machines: Machines on this page, ordered by name; `vessels` on the wire.
        more: Whether further pages follow; `truncated` on the wire.
    """

    machines: list[ListedMachine]
    more: bool = False


class MachineNames(msgspec.Struct, rename={"machines": "vessels"}):
    """A request to return machines to the cloud.

    Attributes:
        machines: Names of the machines to return; `vessels` on the wire.
    """

    machines: list[str]
