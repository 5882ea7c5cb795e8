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
MOST_LOGGED = 10_000


class KeyValueStoreEmulator:
    """The state service's protocol over dictionaries, on any clock."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.revision = 10
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.holds: dict[int, tuple[float, float]] = {}
        self._down = False
        #: requests, and puts and deletes, a second, with one second's worth as a burst; more are answered 429
        self.rps = self.write_rps = math.inf
        self._left: dict[str, tuple[float, float]] = {}
        #: puts and deletes that were asked for, whether their conditions held or not
        self.writes = 0
        self.lose_answers = 0  # the next so many changes are made, but nobody hears of it
        self.largest_txn = 0
        self.largest_value = 0

    @property
    def down(self) -> bool:
        """Nobody is answered. Holds do not end meanwhile, and have their full time again once it is over."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        """Begin or end an outage."""
        if down == self._down:
            return
        if down:
            self.expire()
        else:
            self.holds = {hold: (life, self.clock() + life) for hold, (life, _) in self.holds.items()}
        self._down = down

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Answer a request of the store's protocol; raise `UnreachableError` while answers are to be lost."""
        if self.down:
            return 503, b"{}"
        content = json.loads(body) if body else {}
        changes = len(content.get("apply") or ()) if path == "/commit" else 0
        if self._too_many("requests", self.rps, 1) or self._too_many("writes", self.write_rps, changes):
            return 429, b"{}"
        self.writes += changes
        self.expire()
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        status, answer = self._route(method, url.path, query, content)
        if self.lose_answers and method == "POST" and url.path == "/commit":
            self.lose_answers -= 1
            raise UnreachableError("the answer was lost")
        return status, json.dumps(answer).encode()

    def _too_many(self, what: str, rate: float, count: int) -> bool:
        if rate == math.inf or not count:
            return False
        now = self.clock()
        left, at = self._left.get(what, (rate, now))
        left = min(rate, left + rate * (now - at))
        enough = left >= count
        self._left[what] = left - count * enough, now
        return not enough

    def expire(self) -> None:
        """End leases whose time is over, with the keys attached to them."""
        for hold, (_, end) in list(self.holds.items()):
            if self.clock() > end:
                self._end(hold)

    def _end(self, hold: int) -> None:
        del self.holds[hold]
        for key in [k for k, (_, _, h) in self.data.items() if h == hold]:
            self.revision += 1
            self._remove(key)

    def _record(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        if len(self.log) > 2 * MOST_LOGGED:
            del self.log[:MOST_LOGGED]

    def _remove(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            self._record({"remove": key, "stamp": self.revision})

    def _route(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if path == "/store":
            return self._scan(query)
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
            self.holds[self.revision] = (life, self.clock() + life)
            return 200, {"tenure": self.revision}
        if path.endswith("/touch"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            self.holds[hold] = (self.holds[hold][0], self.clock() + self.holds[hold][0])
            return 200, {"tenure": hold}
        if path.startswith("/holds/") and method == "DELETE":
            if int(path.split("/")[2]) in self.holds:
                self._end(int(path.split("/")[2]))
            return 200, {}
        if path == "/changes":
            since = int(query["since"])
            if len(self.log) >= MOST_LOGGED and since < self.log[0]["stamp"]:
                return 410, {}
            return 200, {"logline": self.revision, "events": self.events(query["prefix"], since)}
        return 404, {}

    def events(self, prefix: str, since: int) -> list[dict[str, Any]]:
        """Kept changes under a prefix after a revision; the log is in the order of revisions."""
        begin = bisect_right(self.log, since, key=lambda e: int(e["stamp"]))
        return [e for e in self.log[begin:] if self._key(e).startswith(prefix)]

    @staticmethod
    def _key(event: dict[str, Any]) -> str:
        return str(event.get("set") or event.get("remove"))

    def _scan(self, query: dict[str, str]) -> tuple[int, Any]:
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
                if change.get("tenure") is not None and change["tenure"] not in self.holds:
                    return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        self.revision += 1
        for change in changes:
            if "set" in change:
                key = change["set"]
                self.data[key] = (change["value"], self.revision, change.get("tenure"))
                self._record({"set": key, "value": change["value"], "stamp": self.revision})
            else:
                self._remove(change["remove"])
        return 200, {"logline": self.revision}
