"""The cloud by its protocol, in memory."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from ..clients.http import UnreachableError
from ..wire.cloud import MachineType, MachineTypes

#: machines in one answer
MAX_LISTED_MACHINES = 500


class CloudEmulator:
    """The cloud's protocol: what was rented is listed only by who plays its machines."""

    def __init__(self) -> None:
        self.listed_machines: list[dict[str, Any]] = []
        self.deleted_machines: list[str] = []
        self.rentals: dict[str, list[str]] = {}
        self.free_capacity = 100
        self.next_machine_number = 100
        self.responses_to_drop = 0
        self.machine_types: list[MachineType] = []
        #: told of what was rented, with the request, and of what was deleted
        self.on_rented: Callable[[list[str], dict[str, Any]], None] = lambda names, want: None
        self.on_deleted: Callable[[list[str]], None] = lambda names: None

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Answer a request of the cloud's protocol; raise `UnreachableError` while answers are to be lost."""
        if path == "/flavors":
            return 200, msgspec.json.encode(MachineTypes(self.machine_types))
        if path == "/machines" and method == "POST":
            want = json.loads(body)
            if want["charter"] not in self.rentals:
                n = min(want["howMany"], self.free_capacity)
                if n <= 0:
                    return 503, b'{"error":"no capacity"}'
                self.free_capacity -= n
                self.rentals[want["charter"]] = [f"n-{self.next_machine_number + i:06d}" for i in range(n)]
                self.next_machine_number += n
                self.on_rented(self.rentals[want["charter"]], want)
            if self.responses_to_drop:
                self.responses_to_drop -= 1
                raise UnreachableError("the answer was lost")
            return 200, json.dumps({"vessels": self.rentals[want["charter"]]}).encode()
        if path == "/machines/delete":
            gone = json.loads(body)["vessels"]
            self.deleted_machines += gone
            self.on_deleted(gone)
            return 200, b"{}"
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        rest = [e for e in self.listed_machines if e["ref"] > query.get("since", "")]
        most = int(query.get("page", MAX_LISTED_MACHINES))
        return 200, json.dumps({"vessels": rest[:most], "truncated": len(rest) > most}).encode()
