"""An emulated cloud in memory, with the cloud's protocol."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from ..clients.http import UnreachableError
from ..wire.cloud import MachineType, MachineTypes

#: the default and largest number of machines in one response
MAX_LISTED_MACHINES = 500


class CloudEmulator:
    """The cloud's protocol over lists. Whoever emulates the machines adds rented ones to `listed_machines`.

    Attributes:
        listed_machines: The entries of the list of machines, in the order of names.
        deleted_machines: The names of all machines that were requested to be deleted.
        rentals: By the id of a request, the names of the machines that were rented.
        free_capacity: The number of machines that can still be rented.
        next_machine_number: The number of the next rented machine, which its name is made of.
        responses_to_drop: How many of the next requests to rent machines are executed and not answered.
        machine_types: The machine types that can be rented.
        on_rented: Called with the names of rented machines and the request.
        on_deleted: Called with the names of deleted machines.
    """

    def __init__(self) -> None:
        self.listed_machines: list[dict[str, Any]] = []
        self.deleted_machines: list[str] = []
        self.rentals: dict[str, list[str]] = {}
        self.free_capacity = 100
        self.next_machine_number = 100
        self.responses_to_drop = 0
        self.machine_types: list[MachineType] = []
        self.on_rented: Callable[[list[str], dict[str, Any]], None] = lambda names, request: None
        self.on_deleted: Callable[[list[str]], None] = lambda names: None

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Answer a request of the cloud's protocol.

        Args:
            method: The HTTP method.
            path: The path with the query.
            body: The request's body.
            timeout: Unused; a transport's parameter.

        Returns:
            The status and the body of the response.

        Raises:
            UnreachableError: The response is one of `responses_to_drop`.
        """
        if path == "/flavors":
            return 200, msgspec.json.encode(MachineTypes(self.machine_types))
        if path == "/machines" and method == "POST":
            request = json.loads(body)
            request_id = request["charter"]
            if request_id not in self.rentals:
                count = min(request["howMany"], self.free_capacity)
                if count <= 0:
                    return 503, b'{"error":"no capacity"}'
                self.free_capacity -= count
                self.rentals[request_id] = [f"n-{self.next_machine_number + i:06d}" for i in range(count)]
                self.next_machine_number += count
                self.on_rented(self.rentals[request_id], request)
            if self.responses_to_drop:
                self.responses_to_drop -= 1
                raise UnreachableError("the answer was lost")
            return 200, json.dumps({"vessels": self.rentals[request_id]}).encode()
        if path == "/machines/delete":
            names = json.loads(body)["vessels"]
            self.deleted_machines += names
            self.on_deleted(names)
            return 200, b"{}"
        query = {key: values[0] for key, values in parse_qs(urlsplit(path).query).items()}
        entries = [entry for entry in self.listed_machines if entry["ref"] > query.get("since", "")]
        page_size = int(query.get("page", MAX_LISTED_MACHINES))
        truncated = len(entries) > page_size
        return 200, json.dumps({"vessels": entries[:page_size], "truncated": truncated}).encode()
