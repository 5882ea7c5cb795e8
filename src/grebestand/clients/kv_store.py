"""Client of the consensus-backed key-value store: reads, compare-and-swap transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

from ..errors import GrebestandError
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

Message = TypeVar("Message")

#: limit on a request for one key, a transaction or a lease
REQUEST_TIMEOUT_S = 1.5
#: limit on a request for a page of keys, whose response is larger
PAGE_TIMEOUT_S = 4.0
#: what the limit on a watch exceeds the time by for which the store may delay its response
WATCH_GRACE_S = 2.0
#: keys on a page, unless the caller asks for another number
DEFAULT_PAGE_KEYS = 200
#: bytes of an unexpected response that go into the text of an error
MAX_QUOTED_BYTES = 200

_encoder = msgspec.json.Encoder()


class StoreError(GrebestandError):
    """The store gave no usable response.

    Attributes:
        maybe: Whether a change that was requested may have been made, or may be made later.
    """

    def __init__(self, text: str, possibly_applied: bool) -> None:
        super().__init__(text)
        self.possibly_applied = possibly_applied


class LeaseExpiredError(GrebestandError):
    """A lease has expired, and the keys that are attached to it are deleted.

    Attributes:
        reason: What shows that the lease has expired.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class RevisionCompactedError(GrebestandError):
    """The store no longer keeps the changes that a watch asked for; the keys have to be read again.

    Attributes:
        prefix: Key prefix of the watch.
        since: Revision after which changes were requested.
    """

    def __init__(self, prefix: str, since: int) -> None:
        self.prefix = prefix
        self.since = since
        super().__init__(f"changes of {prefix} since revision {since} are no longer kept")


def put(key: str, value: Any, lease: int | None = None) -> Change:
    """Return the change that sets a key, attached to a lease if one is given."""
    return Change(put=key, value=value, lease_id=lease)


def delete(key: str) -> Change:
    """Return the change that deletes a key."""
    return Change(delete=key)


def key_absent(key: str) -> Condition:
    """Return the condition that a key does not exist."""
    return Condition(key=key, version=0)


def version_is(key: str, version: int) -> Condition:
    """Return the condition that a key exists and was last changed at the revision `version`."""
    return Condition(key=key, version=version)


class KeyValueStoreClient:
    """Requests to the store, within rate limits on its requests and its writes.

    Unless described otherwise, methods raise `StoreError` where there is no usable response.
    """

    def __init__(self, transport: Transport, watches: Transport, reads: RateLimiter, writes: RateLimiter) -> None:
        """Bind the client to its connections and rate limiters.

        Args:
            transport: Connections for all requests but watches.
            watches: Connections for watches, which stay busy for long.
            reads: Limits requests of any kind.
            writes: Limits changes in transactions.
        """
        self._transport = transport
        self._watches = watches
        self.reads = reads
        self.writes = writes

    def wait_to_read(self, urgency: Urgency, patience_s: float) -> None:
        """Wait for the rate limiter on behalf of a request that follows with urgency None."""
        try:
            self.reads.take(urgency, 1, patience_s=patience_s)
        except RateLimitedError as error:
            raise StoreError(str(error), possibly_applied=False) from error

    def get(self, key: str, urgency: Urgency = Urgency.POLL, timeout: float = REQUEST_TIMEOUT_S) -> KeyValue | None:
        """Read a key; return None if it does not exist."""
        status, body = self._call("GET", f"/store/{key}", None, urgency, timeout)
        if status == HTTPStatus.OK:
            return self._decode(body, KeyValue)
        if status == HTTPStatus.NOT_FOUND:
            return None
        raise _unexpected(status)

    def page(self, prefix: str, since: str, urgency: Urgency, limit: int = DEFAULT_PAGE_KEYS) -> KeyValuePage:
        """Read up to `limit` keys under a prefix, in their order and after the key `since` (empty: from the first)."""
        path = f"/store?prefix={prefix}&page={limit}" + (f"&since={since}" if since else "")
        status, body = self._call("GET", path, None, urgency, PAGE_TIMEOUT_S)
        if status != HTTPStatus.OK:
            raise _unexpected(status)
        return self._decode(body, KeyValuePage)

    def scan(self, prefix: str, urgency: Urgency = Urgency.TAKEOVER) -> Iterator[KeyValuePage]:
        """Read all keys under a prefix, page by page; pages may be of different revisions."""
        since = ""
        while True:
            page = self.page(prefix, since, urgency)
            yield page
            if not page.more or not page.items:
                return
            since = page.items[-1].key

    def pairs(self, prefix: str) -> Iterator[KeyValue]:
        """Read all keys under a prefix, where their revisions do not matter."""
        for page in self.scan(prefix):
            yield from page.items

    def commit(
        self,
        conditions: list[Condition],
        changes: list[Change],
        urgency: Urgency | None,
        timeout: float = REQUEST_TIMEOUT_S,
    ) -> tuple[int, list[str]]:
        """Make all changes if all conditions are met, and none otherwise.

        Args:
            conditions: What has to be true of keys.
            changes: What to change; may be empty, where only the conditions are of interest.
            urgency: Priority at the rate limiters, or None if `wait_to_read` has been called.
            timeout: Limit on the request in seconds.

        Returns:
            The new revision and no keys, or 0 and the keys whose conditions are not met.

        Raises:
            LeaseExpiredError: A change refers to a lease that has expired.
        """
        transaction = Transaction(conditions=conditions, changes=changes)
        status, body = self._call("POST", "/commit", transaction, urgency, timeout, writes=len(changes))
        if status == HTTPStatus.OK:
            return self._decode(body, CommitResult).revision, []
        if status == HTTPStatus.CONFLICT:
            return 0, self._decode(body, CommitResult).failed
        if status == HTTPStatus.BAD_REQUEST and b"lease" in body:
            raise LeaseExpiredError(body.decode("utf-8", "replace"))
        raise StoreError(f"status {status}: {body[:MAX_QUOTED_BYTES]!r}", possibly_applied=False)

    def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease that expires `ttl_ms` milliseconds after its last renewal, and return its number."""
        status, body = self._call("POST", "/holds", LeaseRequest(ttl_ms=ttl_ms), Urgency.HOLD, REQUEST_TIMEOUT_S)
        if status != HTTPStatus.OK:
            raise _unexpected(status)
        return self._decode(body, LeaseGrant).lease_id

    def keep_alive(self, lease: int, /) -> None:
        """Renew a lease; raise `LeaseExpiredError` if it has expired."""
        status, _ = self._call("POST", f"/holds/{lease}/touch", None, Urgency.HOLD, REQUEST_TIMEOUT_S)
        if status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError("the hold has ended")
        if status != HTTPStatus.OK:
            raise _unexpected(status)

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys; a lease that has expired already is ignored."""
        self._call("DELETE", f"/holds/{lease}", None, Urgency.HOLD, REQUEST_TIMEOUT_S)

    def changes(self, prefix: str, since: int, wait_ms: int) -> ChangeEvents:
        """Watch the keys under a prefix.

        Args:
            prefix: Key prefix.
            since: Revision; only later changes are returned.
            wait_ms: Milliseconds for which the store may delay its response while there is no change.

        Raises:
            RevisionCompactedError: The store no longer keeps all changes after `since`.
        """
        try:
            self.reads.take(Urgency.TAKEOVER)
            path = f"/changes?prefix={prefix}&since={since}&waitMs={wait_ms}"
            status, body = self._watches.request("GET", path, b"", wait_ms / 1000 + WATCH_GRACE_S)
        except (RateLimitedError, UnreachableError) as error:
            raise StoreError(str(error), possibly_applied=False) from error
        if status == HTTPStatus.GONE:
            raise RevisionCompactedError(prefix, since)
        if status != HTTPStatus.OK:
            raise _unexpected(status)
        return self._decode(body, ChangeEvents)

    def _call(
        self,
        method: str,
        path: str,
        message: msgspec.Struct | None,
        urgency: Urgency | None,
        timeout: float,
        writes: int = 0,
    ) -> tuple[int, bytes]:
        """Send a request within the rate limits, and return the status and the body of its response.

        Args:
            method: HTTP method.
            path: Path with query.
            message: Body of the request, encoded as JSON; None for an empty body.
            urgency: Priority at the rate limiters, or None if their consent was obtained before.
            timeout: Limit in seconds, first on the wait at each rate limiter and then on the request.
            writes: Number of changes, for the rate limiter of writes.
        """
        if urgency is not None:
            try:
                if writes:
                    self.writes.take(urgency, writes, patience_s=timeout)
                self.reads.take(urgency, 1, patience_s=timeout)
            except RateLimitedError as error:
                raise StoreError(str(error), possibly_applied=False) from error
        data = b"" if message is None else _encoder.encode(message)
        try:
            status, body = self._transport.request(method, path, data, timeout)
        except UnreachableError as error:
            raise StoreError(str(error), possibly_applied=True) from error
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise _unexpected(status)
        return status, body

    @staticmethod
    def _decode(body: bytes, message_type: type[Message]) -> Message:
        """Return the message that a response holds."""
        try:
            return msgspec.json.decode(body, type=message_type)
        except msgspec.DecodeError as error:
            raise StoreError(f"unreadable answer: {error}", possibly_applied=True) from error


def _unexpected(status: int) -> StoreError:
    """Return the error for a status with which the store has refused a request."""
    return StoreError(f"status {status}", possibly_applied=False)
