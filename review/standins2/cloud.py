"""The cloud: machine types, a lagging list, rentals that find no capacity, and deletions."""

from __future__ import annotations

import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from . import web
from .site import MachineType
from .workers import Fleet

#: Age of the machines when the case begins: they have just come up.
INITIAL_AGE_S = 60.0


class Cloud:
    """A cloud; unless it is given capacity, all of its machines are rented.

    Attributes:
        capacity: How many more ordinary machines of the site's own type can be rented, by zone.
        asked: How many machines were asked for, by zone.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.capacity: dict[str, int] = {}
        self.asked: dict[str, int] = {}
        self._rented: dict[str, list[str]] = {}
        self._began_at = time.monotonic()
        self._gone_at: dict[str, float] = {}

    async def start(self) -> None:
        """Start the server."""
        self._server, self.address = await web.serve(self.handle)

    async def handle(self, method: str, path: str, body: Any) -> tuple[int, Any] | None:
        """Answer one request."""
        url = urlsplit(path)
        if url.path == "/flavors":
            return 200, {"hulls": [self._describe(kind) for kind in self.fleet.site.machine_types]}
        if url.path == "/machines" and method == "POST":
            return await self._rent(body)
        if url.path == "/machines/delete":
            for name in body["vessels"]:
                if name in self.fleet.machines:
                    machine = self.fleet.machines[name]
                    if not machine.gone and machine.rented_at is not None:
                        self.capacity[machine.zone] += 1
                    self.fleet.record("deleted", name, "", 0, "")
                    machine.end("deleted")
            return 200, {}
        return 200, self._list({key: values[0] for key, values in parse_qs(url.query).items()})

    async def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body["charter"] in self._rented:
            return 200, {"vessels": self._rented[body["charter"]]}
        zone, kind = body["quay"], "spot" if body["driftwood"] else "ordinary"
        self.asked[zone] = self.asked.get(zone, 0) + body["howMany"]
        offered = not body["driftwood"] and body["hull"] == self.fleet.site.machine_type.name
        count = min(body["howMany"], self.capacity.get(zone, 0)) if offered else 0
        if not count:
            self.fleet.record("refused", body["hull"], zone, 0, kind)
            return 503, {"error": "no capacity"}
        self.capacity[zone] -= count
        names = self._rented[body["charter"]] = [(await self.fleet.rent(zone)).name for _ in range(count)]
        for name in names:
            self.fleet.record("rented", name, zone, 0, kind)
        return 200, {"vessels": names}

    def _describe(self, kind: MachineType) -> dict[str, Any]:
        return {
            "name": kind.name, "cpus": kind.cpus, "cards": 0, "ramGb": kind.memory_gb, "localGb": kind.cache_gb,
            "pullGbPerS": kind.fetch_gb_per_s, "price": kind.price, "spotPrice": kind.spot_price, "bootS": kind.boot_s,
            "quays": list(self.fleet.site.zones),
        }  # fmt: skip

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        now, lag_s = time.monotonic(), self.fleet.site.cloud["list_lag_s"]
        entries = []
        for machine in sorted(self.fleet.machines.values(), key=lambda m: m.name):
            if machine.gone and now - self._gone_at.setdefault(machine.name, now) > lag_s:
                continue
            rented_at = machine.rented_at
            if rented_at is not None and now - rented_at < lag_s:
                continue  # the list lags
            held_s = INITIAL_AGE_S + now - self._began_at if rented_at is None else now - lag_s - rented_at
            entries.append(
                {"ref": machine.name, "addr": machine.addr, "hull": machine.kind.name,
                 "quay": machine.zone, "driftwood": machine.spot,
                 "tide": "running" if now - lag_s >= machine.up_at else "starting", "heldS": held_s}
            )  # fmt: skip
        entries = [entry for entry in entries if entry["ref"] > query.get("since", "")]
        page = int(query.get("page", 500))
        return {"vessels": entries[:page], "truncated": len(entries) > page}
