"""The cloud's requests and answers."""

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
    types: list[MachineType]


class RentRequest(
    msgspec.Struct,
    rename={"request": "charter", "type": "hull", "zone": "quay", "spot": "driftwood", "count": "howMany"},
):
    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Rented(msgspec.Struct, rename={"machines": "vessels"}):
    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={"id": "ref", "type": "hull", "zone": "quay", "spot": "driftwood", "state": "tide", "age_s": "heldS"},
):
    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0
    addr: str = ""


class MachineList(msgspec.Struct, rename={"machines": "vessels", "more": "truncated"}):
    machines: list[ListedMachine]
    more: bool = False


class MachineNames(msgspec.Struct, rename={"machines": "vessels"}):
    machines: list[str]
