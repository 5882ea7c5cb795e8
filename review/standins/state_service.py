"""A stand-in for the state service, by the section "Controller nodes -> state service" of the protocol page."""

from __future__ import annotations

import asyncio
import bisect
import json
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http1 import Server

#: Number of the latest changes that the service keeps.
KEPT_CHANGES = 10_000
MAX_ITEMS, MAX_RESPONSE_BYTES, MAX_TRANSACTION_BYTES = 1000, 512 * 1024, 64 * 1024


class Budget:
    """A rate limit with a burst of some seconds' worth."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate = rate
        self.burst = self.left = rate * burst_s
        self.at = time.monotonic()

    def take(self, amount: int) -> bool:
        """Take an amount if it is left; return whether it was."""
        now = time.monotonic()
        self.left, self.at = min(self.burst, self.left + self.rate * (now - self.at)), now
        if amount > self.left:
            return False
        self.left -= amount
        return True


class StateService:
    """A consistent key-value store; each controller reaches it at an address of its own, so that faults can differ.

    Attributes:
        refused: Controllers that get 503 for every request.
        outage: Whether every controller gets 503; leases do not end meanwhile and have their full time afterwards.
        held: Controllers whose requests are held; set their event to let them go on, in order.
        late: Returns, for a controller and a transaction, after how many seconds the transaction is carried out, with
            no answer; None for an ordinary one.
        on_request: Called with the controller, method, path and body of each request that is carried out.
        delay_s: Returns the delay of an answer.
    """

    def __init__(self, limits: dict[str, float], rng: random.Random) -> None:
        self.limits = limits
        self.rng = rng
        self.revision = 10
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.requests, self.writes = Budget(limits["rps"]), Budget(limits["write_rps"])
        self.refused: set[str] = set()
        self.outage = False
        self.held: dict[str, asyncio.Event] = {}
        self.late: Callable[[str, dict[str, Any]], float | None] = lambda node, body: None
        self.on_request: Callable[[str, str, str, bytes], None] = lambda node, method, path, body: None
        self.on_change: Callable[[str, Any], None] = lambda key, value: None
        self.delay_s: Callable[[str, str], float] = lambda node, path: 0.0
        self.statuses: dict[tuple[str, int], int] = {}
        self._changed = asyncio.Event()
        self._lease_task: asyncio.Task[None] | None = None
        self.servers: dict[str, Server] = {}

    async def start(self, nodes: list[str]) -> None:
        """Listen on one free port for each controller."""
        for node in nodes:
            server = Server(lambda method, path, body, node=node: self._handle(node, method, path, body))  # type: ignore[misc]
            await server.start()
            self.servers[node] = server
        self._lease_task = asyncio.create_task(self._run_leases())

    def begin_outage(self) -> None:
        """Refuse everybody from now on."""
        self.expire_leases()
        self.outage = True

    def end_outage(self) -> None:
        """Serve everybody again; all leases have their full time."""
        self.leases = {lease: (life, time.monotonic() + life) for lease, (life, _) in self.leases.items()}
        self.outage = False

    async def _run_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if not self.outage:
                self.expire_leases()

    def expire_leases(self) -> None:
        """End the leases whose time is over."""
        for lease in [lease for lease, (_, end) in self.leases.items() if time.monotonic() > end]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, (_, _, held) in self.data.items() if held == lease]:
            self.revision += 1
            self._remove(key)
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _record(self, change: dict[str, Any]) -> None:
        self.log.append(change)
        if len(self.log) > KEPT_CHANGES:
            del self.log[0]

    def _remove(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            self._record({"remove": key, "stamp": self.revision})
            self.on_change(key, None)

    async def _handle(self, node: str, method: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        if node in self.held:
            await self.held[node].wait()
        url = urlsplit(path)
        is_watch = url.path == "/changes"
        if not is_watch and (self.outage or node in self.refused):
            return 503, b"{}"
        if is_watch:
            answer = await self._watch(node, {k: v[0] for k, v in parse_qs(url.query).items()})
        else:
            answer = await self._answer(node, method, url.path, url.query, body)
            if answer is None:
                return None
        delay = self.delay_s(node, path)
        if delay:
            await asyncio.sleep(delay)
        if node in self.held:
            await self.held[node].wait()
        status, response = answer
        self.statuses[node, status] = self.statuses.get((node, status), 0) + 1
        return status, json.dumps(response, separators=(",", ":")).encode()

    async def _answer(self, node: str, method: str, path: str, query: str, body: bytes) -> tuple[int, Any] | None:
        content = json.loads(body) if body else {}
        if not self.requests.take(1):
            return 429, {}
        self.expire_leases()
        if path == "/commit":
            late = self.late(node, content)
            if late is not None:
                asyncio.get_running_loop().call_later(late, self._commit, content)
                return None
        self.on_request(node, method, path, body)
        return self._route(method, path, {k: v[0] for k, v in parse_qs(query).items()}, content)

    def _route(self, method: str, path: str, query: dict[str, str], content: Any) -> tuple[int, Any]:
        if path == "/commit":
            return self._commit(content)
        if path == "/store":
            return self._list(query)
        if path.startswith("/store/"):
            key = path.removeprefix("/store/")
            if key not in self.data:
                return 404, {"logline": self.revision}
            value, stamp, lease = self.data[key]
            return 200, {"k": key, "value": value, "stamp": stamp} | ({"tenure": lease} if lease else {})
        return self._lease_request(method, path.split("/"), content)

    def _lease_request(self, method: str, parts: list[str], content: Any) -> tuple[int, Any]:
        if parts[1] != "holds":
            return 404, {}
        if len(parts) == 2:
            if not 100 <= content.get("lifeMs", 0) <= 600_000:
                return 400, {}
            self.revision += 1
            life = content["lifeMs"] / 1000
            self.leases[self.revision] = (life, time.monotonic() + life)
            return 200, {"tenure": self.revision}
        lease = int(parts[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease] = (self.leases[lease][0], time.monotonic() + self.leases[lease][0])
        return 200, {"tenure": lease}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, since = query.get("prefix", ""), query.get("since", "")
        keys = sorted(key for key in self.data if key.startswith(prefix) and key > since)
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(MAX_ITEMS, int(query.get("page", MAX_ITEMS)))]:
            pair = {"k": key, "value": self.data[key][0], "stamp": self.data[key][1]}
            size += len(json.dumps(pair))
            if size > MAX_RESPONSE_BYTES - 200:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "truncated": len(pairs) < len(keys), "logline": self.revision}

    def _commit(self, content: Any) -> tuple[int, Any]:
        conditions, changes = content.get("if", []), content.get("apply", [])
        if not self.writes.take(len(changes)):
            return 429, {}
        fault = self._fault(content, conditions, changes)
        if fault is not None:
            return 400, {"error": fault}
        failed = [c["k"] for c in conditions if self.data.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "set" in change:
                    self.data[change["set"]] = (change["value"], self.revision, change.get("tenure"))
                    self._record({"set": change["set"], "value": change["value"], "stamp": self.revision})
                    self.on_change(change["set"], change["value"])
                else:
                    self._remove(change["remove"])
            self._notify()
        return 200, {"logline": self.revision}

    def _fault(self, content: Any, conditions: list[Any], changes: list[Any]) -> str | None:
        """Return why a transaction is answered 400, or None."""
        operations = int(self.limits["txn_ops"])
        if len(changes) > operations or len(conditions) > 4 * operations:
            return "too many operations"
        if len(json.dumps(content, separators=(",", ":"))) > MAX_TRANSACTION_BYTES:
            return "transaction too large"
        for change in changes:
            if "set" in change:
                if len(json.dumps(change["value"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                    return "value too large"
                if change.get("tenure") is not None and change["tenure"] not in self.leases:
                    return "no such lease"
        return None

    async def _watch(self, node: str, query: dict[str, str]) -> tuple[int, Any]:
        prefix, since = query.get("prefix", ""), int(query.get("since", 0))
        end = time.monotonic() + min(60_000, int(query.get("waitMs", 0))) / 1000
        if not self.requests.take(1):
            return 429, {}
        while True:
            closed = self.outage or node in self.refused
            if not closed:
                if len(self.log) >= KEPT_CHANGES and since < self.log[0]["stamp"] - 1:
                    return 410, {}
                begin = bisect.bisect_right(self.log, since, key=lambda change: change["stamp"])
                events = [e for e in self.log[begin:] if (e.get("set") or e.get("remove", "")).startswith(prefix)]
                if events or time.monotonic() >= end:
                    return 200, {"logline": self.revision, "events": events}
            changed = self._changed
            left = 0.2 if closed else max(0.01, min(0.2, end - time.monotonic()))
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
