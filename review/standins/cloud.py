"""A stand-in for the cloud, by the section "Controller nodes -> cloud" of the protocol page."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http1 import Server
from .state_service import Budget


class Cloud:
    """Rents machines of one type; whoever owns the machines is told of rentals and deletions.

    Attributes:
        free: How many more machines there are to rent, by zone.
        boot: Called with the name, zone and kind (spot or not) of each rented machine.
        delete: Called with the name of each deleted machine.
    """

    def __init__(self, flavor: dict[str, Any], limits: dict[str, float], rng: random.Random) -> None:
        self.flavor = flavor
        self.limits = limits
        self.rng = rng
        self.requests = Budget(limits["rps"], burst_s=2.0)
        self.free: dict[str, int] = {}
        self.rented: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.boot: Callable[[str, str, bool], None] = lambda name, zone, spot: None
        self.delete: Callable[[str], None] = lambda name: None
        self.trouble = False
        self.next_number = 1
        self.server = Server(self._handle)
        self._history_task: asyncio.Task[None] | None = None
        self._history: list[tuple[float, list[dict[str, Any]]]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start()
        self._history_task = asyncio.create_task(self._run_history())

    def new_machine(self, zone: str, spot: bool, *, listed: bool = True) -> str:
        """Add a machine and return its name."""
        name = f"n-{self.next_number:06d}"
        self.next_number += 1
        self.machines[name] = {
            "ref": name, "addr": "", "hull": self.flavor["name"], "quay": zone, "driftwood": spot,
            "tide": "starting", "since": time.monotonic(),
        }  # fmt: skip
        if listed:
            self._history.clear()
            self._record()
        return name

    def set_up(self, name: str, address: str) -> None:
        """Record that a machine is up."""
        self.machines[name] |= {"tide": "running", "addr": address}

    def lose(self, name: str) -> None:
        """Record that a machine is gone without having been deleted."""
        self.machines.pop(name, None)

    def _record(self) -> None:
        now = time.monotonic()
        entries = [
            {k: v for k, v in machine.items() if k != "since"} | {"heldS": round(now - machine["since"], 1)}
            for _, machine in sorted(self.machines.items())
        ]
        self._history.append((now, entries))
        lag = 2 * self.limits["list_lag_s"]
        while len(self._history) > 1 and self._history[1][0] < now - lag:
            del self._history[0]

    async def _run_history(self) -> None:
        while True:
            self._record()
            await asyncio.sleep(0.5)

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        seen_at = time.monotonic() - self.limits["list_lag_s"] * self.rng.uniform(0.8, 1.2)
        entries = next((e for at, e in reversed(self._history) if at <= seen_at), self._history[0][1])
        entries = [entry for entry in entries if entry["ref"] > query.get("since", "")]
        page = int(query.get("page", 500))
        return {"vessels": entries[:page], "truncated": len(entries) > page}

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        await asyncio.sleep(0.05)
        if self.trouble:
            return 503, b'{"error":"trouble"}'
        if not self.requests.take(1):
            return 429, b"{}"
        url = urlsplit(path)
        if url.path == "/flavors":
            return 200, json.dumps({"hulls": [self.flavor]}).encode()
        if url.path == "/machines/delete":
            for name in json.loads(body)["vessels"]:
                if self.machines.pop(name, None) is not None:
                    self.delete(name)
            return 200, b"{}"
        if method == "POST":
            return self._rent(json.loads(body))
        return 200, json.dumps(self._list({k: v[0] for k, v in parse_qs(url.query).items()})).encode()

    def _rent(self, request: dict[str, Any]) -> tuple[int, bytes]:
        if request["charter"] not in self.rented:
            count = min(request["howMany"], self.free.get(request["quay"], 0))
            if count <= 0:
                return 503, b'{"error":"no capacity"}'
            self.free[request["quay"]] -= count
            names = [self.new_machine(request["quay"], request["driftwood"], listed=False) for _ in range(count)]
            self.rented[request["charter"]] = names
            for name in names:
                self.boot(name, request["quay"], request["driftwood"])
        return 200, json.dumps({"vessels": self.rented[request["charter"]]}).encode()
