"""Requests to the cloud and its responses."""

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
    """A type of machine that the cloud rents out.

    Attributes:
        name: Name of the type, to which jobs refer.
        cpus: Processors of a machine.
        gpus: GPUs of a machine; `cards` on the wire.
        memory_gb: Memory in gigabytes; `ramGb` on the wire.
        zones: Names of the zones in which the type exists; `quays` on the wire.
        cache_gb: Space for cached images in gigabytes; `localGb` on the wire.
        fetch_gb_per_s: Rate at which a machine fetches images, in gigabytes per second; `pullGbPerS` on the wire.
        price: Price of an on-demand machine, comparable between types.
        spot_price: Price of a spot machine in the same unit; `spotPrice` on the wire.
        boot_s: Usual time from the request to the first heartbeat, in seconds; `bootS` on the wire.
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
    """A request for machines. It is idempotent: the cloud answers a repetition with the machines of the first.

    Attributes:
        request: Name of the request, chosen by the client; `charter` on the wire.
        type: Name of the machine type; `hull` on the wire.
        zone: Name of the zone; `quay` on the wire.
        spot: Whether the machines may be spot machines, which the cloud can reclaim; `driftwood` on the wire.
        count: Number of machines; `howMany` on the wire.
    """

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Rented(msgspec.Struct, rename={"machines": "vessels"}):
    """The response to a `RentRequest`.

    Attributes:
        machines: Names of the machines, which may still be booting; `vessels` on the wire.
    """

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={"id": "ref", "type": "hull", "zone": "quay", "spot": "driftwood", "state": "tide", "age_s": "heldS"},
):
    """A rented machine, as the cloud lists it.

    Attributes:
        id: Name of the machine; `ref` on the wire.
        type: Name of the machine type; `hull` on the wire.
        zone: Name of the zone; `quay` on the wire.
        spot: Whether the cloud can reclaim the machine; `driftwood` on the wire.
        state: What the cloud says of the machine; `failed` means that it will never run. `tide` on the wire.
        age_s: For how long the machine has been rented, in seconds; `heldS` on the wire.
        addr: Address of the machine's worker as `host:port`; empty while it boots.
    """

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0
    addr: str = ""


class MachineList(msgspec.Struct, rename={"machines": "vessels", "more": "truncated"}):
    """A page of the list of rented machines.

    Attributes:
        machines: The machines of this page, ordered by name; `vessels` on the wire.
        more: Whether further pages follow; `truncated` on the wire.
    """

    machines: list[ListedMachine]
    more: bool = False


class MachineNames(msgspec.Struct, rename={"machines": "vessels"}):
    """A request to return machines to the cloud.

    Attributes:
        machines: Names of the machines; `vessels` on the wire.
    """

    machines: list[str]
