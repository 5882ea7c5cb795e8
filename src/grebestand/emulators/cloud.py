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
MOST_LISTED = 500


class CloudEmulator:
    """The cloud's protocol: what was rented is listed only by who plays its machines."""

    def __init__(self) -> None:
        self.listed: list[dict[str, Any]] = []
        self.deleted: list[str] = []
        self.requests: dict[str, list[str]] = {}
        self.capacity = 100
        self.count = 100
        self.lose_answers = 0
        self.types: list[MachineType] = []
        #: told of what was rented, with the request, and of what was deleted
        self.rented: Callable[[list[str], dict[str, Any]], None] = lambda names, want: None
        self.removed: Callable[[list[str]], None] = lambda names: None

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Answer a request of the cloud's protocol; raise `UnreachableError` while answers are to be lost."""
        if path == "/flavors":
            return 200, msgspec.json.encode(MachineTypes(self.types))
        if path == "/machines" and method == "POST":
            want = json.loads(body)
            if want["charter"] not in self.requests:
                n = min(want["howMany"], self.capacity)
                if n <= 0:
                    return 503, b'{"error":"no capacity"}'
                self.capacity -= n
                self.requests[want["charter"]] = [f"n-{self.count + i:06d}" for i in range(n)]
                self.count += n
                self.rented(self.requests[want["charter"]], want)
            if self.lose_answers:
                self.lose_answers -= 1
                raise UnreachableError("the answer was lost")
            return 200, json.dumps({"vessels": self.requests[want["charter"]]}).encode()
        if path == "/machines/delete":
            gone = json.loads(body)["vessels"]
            self.deleted += gone
            self.removed(gone)
            return 200, b"{}"
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        rest = [e for e in self.listed if e["ref"] > query.get("since", "")]
        most = int(query.get("page", MOST_LISTED))
        return 200, json.dumps({"vessels": rest[:most], "truncated": len(rest) > most}).encode()
