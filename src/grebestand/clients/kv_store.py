"""Client of the state service."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from ..flow_control.rate_limiter import RateLimitedError, RateLimiter, Urgency
from ..wire.store import (
    Change,
    ChangeEvents,
    CommitResult,
    Condition,
    KeyValue,
    KeyValuePage,
    LeaseGrant,
    LeaseRequest,
    Transaction,
)
from .http import Transport, UnreachableError

T = TypeVar("T")


_encoder = msgspec.json.Encoder()


class StoreError(Exception):
    """The state service did not answer usefully. `maybe`: a change may still have been made."""

    def __init__(self, text: str, maybe: bool) -> None:
        super().__init__(text)
        self.maybe = maybe


class LeaseExpiredError(Exception):
    """The hold has ended, and with it the keys attached to it."""


class RevisionCompactedError(Exception):
    """The changes asked for are no longer kept: read the keys again."""


def put(key: str, value: Any, hold: int | None = None) -> Change:
    return Change(put=key, value=value, hold=hold)


def delete(key: str) -> Change:
    return Change(delete=key)


def key_absent(key: str) -> Condition:
    return Condition(key=key, version=0)


def version_is(key: str, version: int) -> Condition:
    return Condition(key=key, version=version)


class KeyValueStoreClient:
    def __init__(self, transport: Transport, watches: Transport, reads: RateLimiter, writes: RateLimiter) -> None:
        self._transport = transport
        self._watches = watches
        self.reads = reads
        self.writes = writes

    def wait_to_read(self, urgency: Urgency, patience_s: float) -> None:
        """Takes a request from the budget ahead of the request itself."""
        try:
            self.reads.take(urgency, 1, patience_s=patience_s)
        except RateLimitedError as e:
            raise StoreError(str(e), maybe=False) from e

    def _call(
        self, method: str, path: str, body: Any, urgency: Urgency | None, timeout: float, writes: int = 0
    ) -> tuple[int, bytes]:
        """`urgency` None: what it takes of the budget was taken before."""
        if urgency is not None:
            try:
                if writes:
                    self.writes.take(urgency, writes, patience_s=timeout)
                self.reads.take(urgency, 1, patience_s=timeout)
            except RateLimitedError as e:
                raise StoreError(str(e), maybe=False) from e
        data = b"" if body is None else _encoder.encode(body)
        try:
            status, answer = self._transport.request(method, path, data, timeout)
        except UnreachableError as e:
            raise StoreError(str(e), maybe=True) from e
        if status in (429, 503):
            raise StoreError(f"status {status}", maybe=False)
        return status, answer

    @staticmethod
    def _decode(answer: bytes, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(answer, type=kind)
        except msgspec.DecodeError as e:
            raise StoreError(f"unreadable answer: {e}", maybe=True) from e

    def get(self, key: str, urgency: Urgency = Urgency.POLL, timeout: float = 1.5) -> KeyValue | None:
        status, answer = self._call("GET", f"/store/{key}", None, urgency, timeout)
        if status == 200:
            return self._decode(answer, KeyValue)
        if status == 404:
            return None
        raise StoreError(f"status {status}", maybe=False)

    def page(self, prefix: str, since: str, urgency: Urgency, limit: int = 200) -> KeyValuePage:
        path = f"/store?prefix={prefix}&page={limit}" + (f"&since={since}" if since else "")
        status, answer = self._call("GET", path, None, urgency, 4.0)
        if status != 200:
            raise StoreError(f"status {status}", maybe=False)
        return self._decode(answer, KeyValuePage)

    def scan(self, prefix: str, urgency: Urgency = Urgency.TAKEOVER) -> Iterator[KeyValuePage]:
        since = ""
        while True:
            page = self.page(prefix, since, urgency)
            yield page
            if not page.more or not page.items:
                return
            since = page.items[-1].key

    def pairs(self, prefix: str) -> Iterator[KeyValue]:
        """All keys under a prefix, where the revision does not matter."""
        for page in self.scan(prefix):
            yield from page.items

    def commit(
        self, conditions: list[Condition], changes: list[Change], urgency: Urgency | None, timeout: float = 1.5
    ) -> tuple[int, list[str]]:
        """The new revision and no failed keys, or 0 and the keys whose conditions failed."""
        body = Transaction(conditions=conditions, changes=changes)
        status, answer = self._call("POST", "/commit", body, urgency, timeout, writes=len(changes))
        if status == 200:
            return self._decode(answer, CommitResult).revision, []
        if status == 409:
            return 0, self._decode(answer, CommitResult).failed
        if status == 400 and b"lease" in answer:
            raise LeaseExpiredError(answer.decode("utf-8", "replace"))
        raise StoreError(f"status {status}: {answer[:200]!r}", maybe=False)

    def grant_lease(self, ttl_ms: int) -> int:
        status, answer = self._call("POST", "/holds", LeaseRequest(ttl_ms=ttl_ms), Urgency.HOLD, 1.5)
        if status != 200:
            raise StoreError(f"status {status}", maybe=False)
        return self._decode(answer, LeaseGrant).hold

    def keep_alive(self, hold: int) -> None:
        status, _ = self._call("POST", f"/holds/{hold}/touch", None, Urgency.HOLD, 1.5)
        if status == 404:
            raise LeaseExpiredError("the hold has ended")
        if status != 200:
            raise StoreError(f"status {status}", maybe=False)

    def revoke_lease(self, hold: int) -> None:
        self._call("DELETE", f"/holds/{hold}", None, Urgency.HOLD, 1.5)

    def changes(self, prefix: str, since: int, wait_ms: int) -> ChangeEvents:
        try:
            self.reads.take(Urgency.TAKEOVER)
            path = f"/changes?prefix={prefix}&since={since}&waitMs={wait_ms}"
            status, answer = self._watches.request("GET", path, b"", wait_ms / 1000 + 2.0)
        except (RateLimitedError, UnreachableError) as e:
            raise StoreError(str(e), maybe=False) from e
        if status == 410:
            raise RevisionCompactedError
        if status != 200:
            raise StoreError(f"status {status}", maybe=False)
        return self._decode(answer, ChangeEvents)
