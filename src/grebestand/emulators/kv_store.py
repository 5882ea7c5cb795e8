"""The state service by its protocol, in memory: for tests as it is, and behind HTTP for newcomers and rehearsals."""

from __future__ import annotations

import json
import math
from bisect import bisect_right
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ..clients.http import UnreachableError

#: changes that are kept for watchers
MAX_LOGGED_CHANGES = 10_000


class KeyValueStoreEmulator:
    """The state service's protocol over dictionaries, on any clock."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.revision = 10
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._unavailable = False
        #: requests, and puts and deletes, a second, with one second's worth as a burst; more are answered 429
        self.rps = self.write_rps = math.inf
        self._rate_budgets: dict[str, tuple[float, float]] = {}
        #: puts and deletes that were asked for, whether their conditions held or not
        self.write_count = 0
        self.responses_to_drop = 0  # the next so many changes are made, but nobody hears of it
        self.largest_txn = 0
        self.largest_value = 0

    @property
    def unavailable(self) -> bool:
        """Nobody is answered. Holds do not end meanwhile, and have their full time again once it is over."""
        return self._unavailable

    @unavailable.setter
    def unavailable(self, down: bool) -> None:
        """Begin or end an outage."""
        if down == self._unavailable:
            return
        if down:
            self.expire_leases()
        else:
            self.leases = {hold: (life, self.clock() + life) for hold, (life, _) in self.leases.items()}
        self._unavailable = down

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Answer a request of the store's protocol; raise `UnreachableError` while answers are to be lost."""
        if self.unavailable:
            return 503, b"{}"
        content = json.loads(body) if body else {}
        changes = len(content.get("apply") or ()) if path == "/commit" else 0
        if self._exceeds_rate("requests", self.rps, 1) or self._exceeds_rate("writes", self.write_rps, changes):
            return 429, b"{}"
        self.write_count += changes
        self.expire_leases()
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        status, answer = self._route(method, url.path, query, content)
        if self.responses_to_drop and method == "POST" and url.path == "/commit":
            self.responses_to_drop -= 1
            raise UnreachableError("the answer was lost")
        return status, json.dumps(answer).encode()

    def _exceeds_rate(self, what: str, rate: float, count: int) -> bool:
        if rate == math.inf or not count:
            return False
        now = self.clock()
        left, at = self._rate_budgets.get(what, (rate, now))
        left = min(rate, left + rate * (now - at))
        enough = left >= count
        self._rate_budgets[what] = left - count * enough, now
        return not enough

    def expire_leases(self) -> None:
        """End leases whose time is over, with the keys attached to them."""
        for hold, (_, end) in list(self.leases.items()):
            if self.clock() > end:
                self._end_lease(hold)

    def _end_lease(self, hold: int) -> None:
        del self.leases[hold]
        for key in [k for k, (_, _, h) in self.data.items() if h == hold]:
            self.revision += 1
            self._remove(key)

    def _append_change(self, event: dict[str, Any]) -> None:
        self.changes.append(event)
        if len(self.changes) > 2 * MAX_LOGGED_CHANGES:
            del self.changes[:MAX_LOGGED_CHANGES]

    def _remove(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            self._append_change({"remove": key, "stamp": self.revision})

    def _route(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if path == "/store":
            return self._list_keys(query)
        if path.startswith("/store/"):
            found = self.data.get(path[7:])
            if found is None:
                return 404, {"logline": self.revision}
            return 200, {"k": path[7:], "value": found[0], "stamp": found[1]}
        if path == "/commit":
            return self._commit(body)
        if path == "/holds":
            self.revision += 1
            life = body["lifeMs"] / 1000
            self.leases[self.revision] = (life, self.clock() + life)
            return 200, {"tenure": self.revision}
        if path.endswith("/touch"):
            hold = int(path.split("/")[2])
            if hold not in self.leases:
                return 404, {}
            self.leases[hold] = (self.leases[hold][0], self.clock() + self.leases[hold][0])
            return 200, {"tenure": hold}
        if path.startswith("/holds/") and method == "DELETE":
            if int(path.split("/")[2]) in self.leases:
                self._end_lease(int(path.split("/")[2]))
            return 200, {}
        if path == "/changes":
            since = int(query["since"])
            if len(self.changes) >= MAX_LOGGED_CHANGES and since < self.changes[0]["stamp"]:
                return 410, {}
            return 200, {"logline": self.revision, "events": self.changes_after(query["prefix"], since)}
        return 404, {}

    def changes_after(self, prefix: str, since: int) -> list[dict[str, Any]]:
        """Kept changes under a prefix after a revision; the log is in the order of revisions."""
        begin = bisect_right(self.changes, since, key=lambda e: int(e["stamp"]))
        return [e for e in self.changes[begin:] if self._key_of(e).startswith(prefix)]

    @staticmethod
    def _key_of(event: dict[str, Any]) -> str:
        return str(event.get("set") or event.get("remove"))

    def _list_keys(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(k for k in self.data if k.startswith(query["prefix"]) and k > query.get("since", ""))
        page = keys[: int(query.get("page", 1000))]
        pairs = [{"k": k, "value": self.data[k][0], "stamp": self.data[k][1]} for k in page]
        return 200, {"pairs": pairs, "truncated": len(keys) > len(page), "logline": self.revision}

    def _commit(self, body: Any) -> tuple[int, Any]:
        failed = [c["k"] for c in body.get("if", ()) if self.data.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        changes = body.get("apply", ())
        self.largest_txn = max(self.largest_txn, len(changes))
        for change in changes:
            if "set" in change:
                self.largest_value = max(self.largest_value, len(json.dumps(change["value"], separators=(",", ":"))))
                if change.get("tenure") is not None and change["tenure"] not in self.leases:
                    return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        self.revision += 1
        for change in changes:
            if "set" in change:
                key = change["set"]
                self.data[key] = (change["value"], self.revision, change.get("tenure"))
                self._append_change({"set": key, "value": change["value"], "stamp": self.revision})
            else:
                self._remove(change["remove"])
        return 200, {"logline": self.revision}
