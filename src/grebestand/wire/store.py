"""Requests to the key-value store and the responses of the store.

The store is backed by a consensus log. A revision (`logline` on the wire) is a position in that log. The version of a
key (`stamp` on the wire) is the revision at which the key was last changed. A lease is identified by a number (`tenure`
on the wire).
"""

from __future__ import annotations

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """A key, its value and its version.

    Attributes:
        key: The key; `k` on the wire.
        value: Value of the key, any JSON.
        version: Revision of the key's last change; `stamp` on the wire.
    """

    key: str
    value: Any
    version: int


class KeyValuePage(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "logline"}):
    """A page of the keys under a prefix.

    Attributes:
        items: Keys and values of this page, ordered by key; `pairs` on the wire.
        revision: Revision at which the page was read; `logline` on the wire.
        more: Whether further pages follow; `truncated` on the wire.
    """

    items: list[KeyValue]
    revision: int
    more: bool = False


class CommitResult(msgspec.Struct, rename={"revision": "logline"}):
    """The response to a transaction.

    Attributes:
        revision: Revision of the transaction; `logline` on the wire.
        failed: Keys whose conditions were not met; unless this list is empty, the transaction changed nothing.
    """

    revision: int
    failed: list[str] = []


class LeaseGrant(msgspec.Struct, rename={"lease_id": "tenure"}):
    """The response to a `LeaseRequest`.

    Attributes:
        lease_id: Number of the new lease; `tenure` on the wire.
    """

    lease_id: int


class Condition(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """The version that a key must have for a transaction to be applied.

    Attributes:
        key: The key; `k` on the wire.
        version: Required version of the key; 0 requires that the key does not exist. `stamp` on the wire.
    """

    key: str
    version: int


class Change(msgspec.Struct, omit_defaults=True, rename={"put": "set", "delete": "remove", "lease_id": "tenure"}):
    """One change made by a transaction: exactly one of `put` and `delete` is given.

    Attributes:
        put: Key to be set; `set` on the wire.
        value: New value of the key in `put`, any JSON.
        lease_id: Lease that the key in `put` is attached to: the store deletes the key when the lease ends. `tenure` on
            the wire.
        delete: Key to be deleted; `remove` on the wire.
    """

    put: str | None = None
    value: Any = msgspec.UNSET
    lease_id: int | None = None
    delete: str | None = None


class Transaction(msgspec.Struct, omit_defaults=True, rename={"conditions": "if", "changes": "apply"}):
    """A compare-and-swap over several keys: all changes are made if all conditions are met, and none otherwise.

    Attributes:
        conditions: Conditions that must all be met; `if` on the wire.
        changes: Changes that are made together; `apply` on the wire.
    """

    conditions: list[Condition] = []
    changes: list[Change] = []


class ChangeEvent(msgspec.Struct, rename={"put": "set", "delete": "remove", "version": "stamp"}):
    """A change of a key, returned by a watch: exactly one of `put` and `delete` is given.

    Attributes:
        version: Revision of the change; `stamp` on the wire.
        put: Key that was set; `set` on the wire.
        delete: Key that was deleted; `remove` on the wire.
        value: New value of the key in `put`, any JSON.
    """

    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class ChangeEvents(msgspec.Struct, rename={"revision": "logline"}):
    """The response to a watch.

    Attributes:
        revision: Revision up to which `events` has every change; `logline` on the wire.
        events: Changes of keys, in the order of the log.
    """

    revision: int
    events: list[ChangeEvent] = []


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    """A request for a lease.

    Attributes:
        ttl_ms: Time after which a lease expires unless it is renewed, in milliseconds; `lifeMs` on the wire.
    """

    ttl_ms: int
