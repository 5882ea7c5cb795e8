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

#: Timeout of a request for one key, a transaction or a lease
REQUEST_TIMEOUT_S = 1.5
#: Timeout of a request for a page of keys, whose response is larger
PAGE_TIMEOUT_S = 4.0
#: Added to the time for which the store may delay its response to a watch; the sum is the timeout of the request.
WATCH_GRACE_S = 2.0
#: Default number of keys on a page
DEFAULT_PAGE_KEYS = 200
#: Maximum number of bytes of an unexpected response that are quoted in an error text
MAX_QUOTED_BYTES = 200

_encoder = msgspec.json.Encoder()


class StoreError(GrebestandError):
    """The store gave no usable response to a request.

    Attributes:
        possibly_applied: Whether the changes of the request may have been made, or may be made later.
    """

    def __init__(self, text: str, possibly_applied: bool) -> None:
        super().__init__(text)
        self.possibly_applied = possibly_applied


class LeaseExpiredError(GrebestandError):
    """A lease has expired, and the store has deleted the keys that were attached to the lease.

    Attributes:
        reason: Text that says which request or response showed that the lease has expired.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class RevisionCompactedError(GrebestandError):
    """The store no longer keeps the changes that a watch requested, so the caller has to read the keys again.

    Attributes:
        prefix: Key prefix of the watch.
        since: Revision after which changes were requested.
    """

    def __init__(self, prefix: str, since: int) -> None:
        self.prefix = prefix
        self.since = since
        super().__init__(f"the store no longer keeps all changes of keys under {prefix} since revision {since}")


def put(key: str, value: Any, lease: int | None = None) -> Change:
    """Return the change that sets a key to a value.

    Args:
        key: Key to set.
        value: New value, which has to be encodable as JSON.
        lease: Number of the lease that the key is attached to, so that the key is deleted when the lease expires. None
            for a key without a lease.
    """
    return Change(put=key, value=value, lease_id=lease)


def delete(key: str) -> Change:
    """Return the change that deletes a key."""
    return Change(delete=key)


def key_absent(key: str) -> Condition:
    """Return the condition that a key does not exist."""
    return Condition(key=key, version=0)


def version_is(key: str, version: int) -> Condition:
    """Return the condition that a key exists and was last changed at revision `version`."""
    return Condition(key=key, version=version)


class KeyValueStoreClient:
    """Sends requests to the store, within limits on the rate of requests and on the rate of writes.

    Unless described otherwise, methods raise `StoreError` if the store gives no usable response.
    """

    def __init__(
        self, transport: Transport, watch_transport: Transport, request_limiter: RateLimiter, write_limiter: RateLimiter
    ) -> None:
        """Bind the client to its connections and rate limiters.

        Args:
            transport: Connections for all requests except watches.
            watch_transport: Connections for watches, each of which occupies a connection for a long time.
            request_limiter: Limits the rate of requests of any kind.
            write_limiter: Limits the rate of changes in transactions.
        """
        self._transport = transport
        self._watch_transport = watch_transport
        self.request_limiter = request_limiter
        self.write_limiter = write_limiter

    def wait_for_rate_limit(self, urgency: Urgency, max_wait_s: float) -> None:
        """Wait for the rate limiter of requests, on behalf of one `commit` without changes and with urgency None.

        Args:
            urgency: Priority of the request.
            max_wait_s: Maximum wait in seconds.

        Raises:
            StoreError: The rate limiter did not admit the request in time.
        """
        try:
            self.request_limiter.acquire(urgency, 1, max_wait_s=max_wait_s)
        except RateLimitedError as error:
            raise StoreError(str(error), possibly_applied=False) from error

    def get(self, key: str, urgency: Urgency = Urgency.POLL, timeout: float = REQUEST_TIMEOUT_S) -> KeyValue | None:
        """Read a key.

        Args:
            key: Key to read.
            urgency: Priority at the rate limiter.
            timeout: Limit in seconds, first on the wait at the rate limiter and then on the request.

        Returns:
            The key with its value and version, or None if the key does not exist.
        """
        path = f"/store/{key}"
        status, body = self._call("GET", path, None, urgency, timeout)
        if status == HTTPStatus.OK:
            return self._decode(body, KeyValue)
        if status == HTTPStatus.NOT_FOUND:
            return None
        raise _unexpected_status("GET", path, status)

    def page(self, prefix: str, since: str, urgency: Urgency, limit: int = DEFAULT_PAGE_KEYS) -> KeyValuePage:
        """Read one page of the keys under a prefix, in lexical order.

        Args:
            prefix: Key prefix.
            since: Last key of the previous page; empty for the first page.
            urgency: Priority at the rate limiter.
            limit: Maximum number of keys on the page.
        """
        path = f"/store?prefix={prefix}&page={limit}" + (f"&since={since}" if since else "")
        status, body = self._call("GET", path, None, urgency, PAGE_TIMEOUT_S)
        if status != HTTPStatus.OK:
            raise _unexpected_status("GET", path, status)
        return self._decode(body, KeyValuePage)

    def scan(self, prefix: str, urgency: Urgency = Urgency.TAKEOVER) -> Iterator[KeyValuePage]:
        """Read all keys under a prefix, page by page. The pages may be read at different revisions of the store."""
        since = ""
        while True:
            page = self.page(prefix, since, urgency)
            yield page
            if not page.more or not page.items:
                return
            since = page.items[-1].key

    def pairs(self, prefix: str) -> Iterator[KeyValue]:
        """Read all keys under a prefix. The keys may be read at different revisions of the store."""
        for page in self.scan(prefix):
            yield from page.items

    def commit(
        self,
        conditions: list[Condition],
        changes: list[Change],
        urgency: Urgency | None,
        timeout: float = REQUEST_TIMEOUT_S,
    ) -> tuple[int, list[str]]:
        """Execute a transaction: make all changes if all conditions are met, and no change otherwise.

        Args:
            conditions: Expected versions of keys.
            changes: Changes to make. Empty if the caller only wants to check the conditions.
            urgency: Priority at the rate limiters, or None if `wait_for_rate_limit` was called for this request.
            timeout: Limit in seconds, first on the wait at each rate limiter and then on the request.

        Returns:
            The new revision and no keys, or 0 and the keys whose conditions are not met.

        Raises:
            LeaseExpiredError: A change refers to a lease that has expired.
            StoreError: The store gave no usable response.
        """
        transaction = Transaction(conditions=conditions, changes=changes)
        status, body = self._call("POST", "/commit", transaction, urgency, timeout, writes=len(changes))
        if status == HTTPStatus.OK:
            return self._decode(body, CommitResult).revision, []
        if status == HTTPStatus.CONFLICT:
            return 0, self._decode(body, CommitResult).failed
        if status == HTTPStatus.BAD_REQUEST and b"lease" in body:
            raise LeaseExpiredError(body.decode("utf-8", "replace"))
        error_text = f"POST /commit: unexpected status {status}: {body[:MAX_QUOTED_BYTES]!r}"
        raise StoreError(error_text, possibly_applied=False)

    def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number. The lease expires `ttl_ms` milliseconds after its last renewal."""
        status, body = self._call("POST", "/holds", LeaseRequest(ttl_ms=ttl_ms), Urgency.LEASE, REQUEST_TIMEOUT_S)
        if status != HTTPStatus.OK:
            raise _unexpected_status("POST", "/holds", status)
        return self._decode(body, LeaseGrant).lease_id

    def keep_alive(self, lease: int, /) -> None:
        """Renew a lease.

        Raises:
            LeaseExpiredError: The lease has expired.
            StoreError: The store gave no usable response.
        """
        path = f"/holds/{lease}/touch"
        status, _ = self._call("POST", path, None, Urgency.LEASE, REQUEST_TIMEOUT_S)
        if status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError(f"the store has no lease {lease} to renew")
        if status != HTTPStatus.OK:
            raise _unexpected_status("POST", path, status)

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys that are attached to the lease. An expired lease is ignored."""
        self._call("DELETE", f"/holds/{lease}", None, Urgency.LEASE, REQUEST_TIMEOUT_S)

    def watch(self, prefix: str, since: int, wait_ms: int) -> ChangeEvents:
        """Wait for changes of the keys under a prefix, and return the changes.

        Args:
            prefix: Key prefix.
            since: Revision after which changes are returned.
            wait_ms: Time in milliseconds for which the store may delay its response while there is no change.

        Raises:
            RevisionCompactedError: The store no longer keeps all changes after `since`.
            StoreError: The store gave no usable response.
        """
        path = f"/changes?prefix={prefix}&since={since}&waitMs={wait_ms}"
        try:
            self.request_limiter.acquire(Urgency.TAKEOVER)
            status, body = self._watch_transport.request("GET", path, b"", wait_ms / 1000 + WATCH_GRACE_S)
        except (RateLimitedError, UnreachableError) as error:
            raise StoreError(str(error), possibly_applied=False) from error
        if status == HTTPStatus.GONE:
            raise RevisionCompactedError(prefix, since)
        if status != HTTPStatus.OK:
            raise _unexpected_status("GET", path, status)
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
        """Send a request within the rate limits, and return the status and the body of the response.

        Args:
            method: HTTP method.
            path: Path with query.
            message: Body of the request, encoded as JSON; None for an empty body.
            urgency: Priority at the rate limiters, or None to skip them.
            timeout: Limit in seconds, first on the wait at each rate limiter and then on the request.
            writes: Number of changes that count towards the rate limit on writes.
        """
        if urgency is not None:
            try:
                if writes:
                    self.write_limiter.acquire(urgency, writes, max_wait_s=timeout)
                self.request_limiter.acquire(urgency, 1, max_wait_s=timeout)
            except RateLimitedError as error:
                raise StoreError(str(error), possibly_applied=False) from error
        request_body = b"" if message is None else _encoder.encode(message)
        try:
            status, body = self._transport.request(method, path, request_body, timeout)
        except UnreachableError as error:
            raise StoreError(str(error), possibly_applied=True) from error
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise _unexpected_status(method, path, status)
        return status, body

    @staticmethod
    def _decode(body: bytes, message_type: type[Message]) -> Message:
        """Decode the body of a response."""
        try:
            return msgspec.json.decode(body, type=message_type)
        except msgspec.DecodeError as error:
            raise StoreError(f"unreadable answer: {error}", possibly_applied=True) from error


def _unexpected_status(method: str, path: str, status: int) -> StoreError:
    """Return the error for a status with which the store rejected a request."""
    return StoreError(f"{method} {path}: unexpected status {status}", possibly_applied=False)
