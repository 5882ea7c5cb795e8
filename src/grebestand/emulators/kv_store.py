"""The state service, an ordered key-value store, emulated in memory with its protocol."""

from __future__ import annotations

import json
import math
from bisect import bisect_right
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ..clients.http import UnreachableError

#: the minimum number of latest changes kept for watches: the log is trimmed to it when it exceeds twice this number
MAX_LOGGED_CHANGES = 10_000


class KeyValueStoreEmulator:
    """The state service's protocol over dictionaries, on any clock.

    Attributes:
        clock: Returns the time in seconds.
        revision: The revision of the last change.
        data: By key, the value, the revision of its last change, and the id of the lease it is attached to, or None.
        changes: The last changes, in the order of revisions.
        leases: By id, the duration of a lease in seconds, and the time at which it expires.
        rps: The limit of requests per second; further requests get status 429. Bursts of one second's amount are
            allowed.
        write_rps: The same limit for puts and deletes.
        write_count: The number of puts and deletes that were requested, whether their conditions held or not.
        responses_to_drop: How many of the next commits are executed and not answered.
        largest_txn: The largest number of changes in a commit.
        largest_value: The largest size of a value, in characters of JSON.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.revision = 10
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._unavailable = False
        self.rps = self.write_rps = math.inf
        #: by kind of request, the remaining amount, and the time at which it was computed
        self._rate_budgets: dict[str, tuple[float, float]] = {}
        self.write_count = 0
        self.responses_to_drop = 0
        self.largest_txn = 0
        self.largest_value = 0

    @property
    def unavailable(self) -> bool:
        """Whether there is an outage: all requests get status 503.

        Leases don't expire during an outage, and get their full duration when it ends.
        """
        return self._unavailable

    @unavailable.setter
    def unavailable(self, unavailable: bool) -> None:
        if unavailable == self._unavailable:
            return
        if unavailable:
            self.expire_leases()
        else:
            self.leases = {
                lease_id: (duration_s, self.clock() + duration_s) for lease_id, (duration_s, _) in self.leases.items()
            }
        self._unavailable = unavailable

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Answer a request of the store's protocol.

        Args:
            method: The HTTP method.
            path: The path with the query.
            body: The request's body.
            timeout: Unused; a transport's parameter.

        Returns:
            The status and the body of the response. A watch is answered at once, also without changes.

        Raises:
            UnreachableError: The response is one of `responses_to_drop`.
        """
        if self.unavailable:
            return 503, b"{}"
        content = json.loads(body) if body else {}
        change_count = len(content.get("apply") or ()) if path == "/commit" else 0
        if self._exceeds_rate("requests", self.rps, 1) or self._exceeds_rate("writes", self.write_rps, change_count):
            return 429, b"{}"
        self.write_count += change_count
        self.expire_leases()
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        status, response = self._route(method, url.path, query, content)
        if self.responses_to_drop and method == "POST" and url.path == "/commit":
            self.responses_to_drop -= 1
            raise UnreachableError("the answer was lost")
        return status, json.dumps(response).encode()

    def _exceeds_rate(self, kind: str, rate: float, count: int) -> bool:
        """Take an amount from the budget of a kind of request; return whether the budget doesn't suffice."""
        if rate == math.inf or not count:
            return False
        now = self.clock()
        budget, updated_at = self._rate_budgets.get(kind, (rate, now))
        budget = min(rate, budget + rate * (now - updated_at))
        suffices = budget >= count
        self._rate_budgets[kind] = budget - count * suffices, now
        return not suffices

    def expire_leases(self) -> None:
        """End the leases whose time is over, and delete the keys attached to them."""
        for lease_id, (_, expires_at) in list(self.leases.items()):
            if self.clock() > expires_at:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        for key in [key for key, (_, _, attached_to) in self.data.items() if attached_to == lease_id]:
            self.revision += 1
            self._remove(key)

    def _append_change(self, change: dict[str, Any]) -> None:
        self.changes.append(change)
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
            duration_s = body["lifeMs"] / 1000
            self.leases[self.revision] = (duration_s, self.clock() + duration_s)
            return 200, {"tenure": self.revision}
        if path.endswith("/touch"):
            lease_id = int(path.split("/")[2])
            if lease_id not in self.leases:
                return 404, {}
            self.leases[lease_id] = (self.leases[lease_id][0], self.clock() + self.leases[lease_id][0])
            return 200, {"tenure": lease_id}
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

    def changes_after(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        """Return the logged changes after a revision of keys with a prefix, in the order of revisions."""
        begin = bisect_right(self.changes, revision, key=lambda change: int(change["stamp"]))
        return [change for change in self.changes[begin:] if self._key_of(change).startswith(prefix)]

    @staticmethod
    def _key_of(change: dict[str, Any]) -> str:
        return str(change.get("set") or change.get("remove"))

    def _list_keys(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(key for key in self.data if key.startswith(query["prefix"]) and key > query.get("since", ""))
        page = keys[: int(query.get("page", 1000))]
        pairs = [{"k": key, "value": self.data[key][0], "stamp": self.data[key][1]} for key in page]
        return 200, {"pairs": pairs, "truncated": len(keys) > len(page), "logline": self.revision}

    def _commit(self, body: Any) -> tuple[int, Any]:
        conditions, changes = body.get("if", ()), body.get("apply", ())
        failed = [
            condition["k"]
            for condition in conditions
            if self.data.get(condition["k"], (0, 0, 0))[1] != condition["stamp"]
        ]
        self.largest_txn = max(self.largest_txn, len(changes))
        for change in changes:
            if "set" in change:
                size = len(json.dumps(change["value"], separators=(",", ":")))
                self.largest_value = max(self.largest_value, size)
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
