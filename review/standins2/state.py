"""The state service: a consistent key-value store with transactions, leases, watches and limits."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from . import web

KEPT_CHANGES = 10_000
LEASE_CHECK_S = 0.02
MAX_ITEMS, MAX_PAGE_BYTES = 1000, 512 * 1024


class StateService:
    """Answers as the protocol says; `outage` makes every request 503, `delay_s` delays each answer.

    Attributes:
        limits: `rps`, `write_rps`, `value_kb` and `txn_ops` of the settings.
        outage: Whether there is an outage.
        delay_s: The time that each answer takes, in seconds.
    """

    def __init__(self, limits: dict[str, float], delay_s: float) -> None:
        self.limits = limits
        self.delay_s = delay_s
        self.outage = False
        self.revision = 100
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._budgets: dict[str, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Start the server and the expiry of leases."""
        self._server, self.address = await web.serve(self.handle)
        self._expiry = asyncio.create_task(self._expire_leases())

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if not self.outage:
                for lease in [lease for lease, (_, end) in self.leases.items() if time.monotonic() > end]:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, (_, _, attached) in self.data.items() if attached == lease]:
            self.revision += 1
            self._remove(key)

    def end_outage(self) -> None:
        """End an outage; all leases have their full time again."""
        self.outage = False
        now = time.monotonic()
        self.leases = {lease: (life, now + life) for lease, (life, _) in self.leases.items()}

    def _over_limit(self, kind: str, rate: float, count: int) -> bool:
        now = time.monotonic()
        left, since = self._budgets.get(kind, (rate, now))
        left = min(rate, left + rate * (now - since))
        allowed = left >= count
        self._budgets[kind] = (left - count if allowed else left), now
        return not allowed

    def _log(self, change: dict[str, Any]) -> None:
        self.changes.append(change)
        if len(self.changes) > 2 * KEPT_CHANGES:
            del self.changes[:KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    def _remove(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            self._log({"remove": key, "stamp": self.revision})

    async def handle(self, method: str, path: str, body: Any) -> tuple[int, Any] | None:
        """Answer one request."""
        await asyncio.sleep(self.delay_s)
        if self.outage:
            return 503, {"error": "trouble"}
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        writes = len((body or {}).get("apply") or ()) if url.path == "/commit" else 0
        if self._over_limit("requests", self.limits["rps"], 1):
            return 429, {}
        if writes and self._over_limit("writes", self.limits["write_rps"], writes):
            return 429, {}
        if url.path == "/changes":
            return await self._watch(query)
        if url.path == "/commit":
            return self._commit(body or {})
        if url.path == "/store":
            return self._list(query)
        if url.path.startswith("/store/"):
            found = self.data.get(url.path[len("/store/") :])
            if found is None:
                return 404, {"logline": self.revision}
            return 200, {"k": url.path[len("/store/") :], "value": found[0], "stamp": found[1]}
        return self._hold(method, url.path, body)

    def _hold(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/holds":
            self.revision += 1
            life = body["lifeMs"] / 1000
            self.leases[self.revision] = life, time.monotonic() + life
            return 200, {"tenure": self.revision}
        lease = int(path.split("/")[2])
        if method == "DELETE":
            if lease in self.leases:
                self._end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        life = self.leases[lease][0]
        self.leases[lease] = life, time.monotonic() + life
        return 200, {"tenure": lease}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(key for key in self.data if key.startswith(query["prefix"]) and key > query.get("since", ""))
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(MAX_ITEMS, int(query.get("page", MAX_ITEMS)))]:
            pair = {"k": key, "value": self.data[key][0], "stamp": self.data[key][1]}
            size += len(json.dumps(pair))
            if size > MAX_PAGE_BYTES:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "truncated": len(pairs) < len(keys), "logline": self.revision}

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        conditions, changes = body.get("if") or [], body.get("apply") or []
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many"}
        for change in changes:
            if "set" not in change:
                continue
            if len(json.dumps(change["value"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if self.data.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "set" in change:
                self.data[change["set"]] = change["value"], self.revision, change.get("tenure")
                self._log({"set": change["set"], "value": change["value"], "stamp": self.revision})
            else:
                self._remove(change["remove"])
        return 200, {"logline": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        since, prefix = int(query["since"]), query["prefix"]
        end = time.monotonic() + float(query.get("waitMs", 0)) / 1000
        while True:
            if len(self.changes) >= KEPT_CHANGES and self.changes[0]["stamp"] > since + 1:
                return 410, {}
            events = [
                change
                for change in self.changes
                if change["stamp"] > since and str(change.get("set") or change.get("remove")).startswith(prefix)
            ]
            left = end - time.monotonic()
            if (events or left <= 0) and not self.outage:
                return 200, {"logline": self.revision, "events": events}
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.05, left))
            except TimeoutError:
                continue
