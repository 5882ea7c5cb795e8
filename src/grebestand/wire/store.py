"""Requests to the key-value store and its responses.

The store is backed by a consensus log. Its revision (`logline` on the wire) is the position in that log, and the
version of a key (`stamp`) is the revision at which the key was last changed. A lease (`tenure`) is a number.
"""

from __future__ import annotations

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """A key with its value.

    Attributes:
        key: The key; `k` on the wire.
        value: The value, any JSON.
        version: Revision of the key's last change; `stamp` on the wire.
    """

    key: str
    value: Any
    version: int


class KeyValuePage(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "logline"}):
    """A page of the keys under a prefix.

    Attributes:
        items: The keys of this page in their order; `pairs` on the wire.
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
        failed: Keys whose conditions are not met; if there are any, nothing was changed.
    """

    revision: int
    failed: list[str] = []


class LeaseGrant(msgspec.Struct, rename={"hold": "tenure"}):
    """The response to a `LeaseRequest`.

    Attributes:
        hold: Number of the new lease; `tenure` on the wire.
    """

    hold: int


class Condition(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """What a transaction requires of a key.

    Attributes:
        key: The key; `k` on the wire.
        version: The required version of the key; 0 requires that it does not exist. `stamp` on the wire.
    """

    key: str
    version: int


class Change(msgspec.Struct, omit_defaults=True, rename={"put": "set", "delete": "remove", "hold": "tenure"}):
    """What a transaction changes: either `put` or `delete` is given.

    Attributes:
        put: Key to be set; `set` on the wire.
        value: Value for that key, any JSON.
        hold: Lease that the key is attached to: the key is deleted when the lease ends. `tenure` on the wire.
        delete: Key to be deleted; `remove` on the wire.
    """

    put: str | None = None
    value: Any = msgspec.UNSET
    hold: int | None = None
    delete: str | None = None


class Transaction(msgspec.Struct, omit_defaults=True, rename={"conditions": "if", "changes": "apply"}):
    """A compare-and-swap over several keys: all changes are made if all conditions are met, and none otherwise.

    Attributes:
        conditions: What is required; `if` on the wire.
        changes: What is changed; `apply` on the wire.
    """

    conditions: list[Condition] = []
    changes: list[Change] = []


class ChangeEvent(msgspec.Struct, rename={"put": "set", "delete": "remove", "version": "stamp"}):
    """A change of a key, as a watch returns it: either `put` or `delete` is given.

    Attributes:
        version: Revision of the change; `stamp` on the wire.
        put: Key that was set; `set` on the wire.
        delete: Key that was deleted; `remove` on the wire.
        value: New value of the key that was set, any JSON.
    """

    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class ChangeEvents(msgspec.Struct, rename={"revision": "logline"}):
    """The response to a watch.

    Attributes:
        revision: Revision up to which the changes are complete; `logline` on the wire.
        events: The changes in their order.
    """

    revision: int
    events: list[ChangeEvent] = []


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    """A request for a lease.

    Attributes:
        ttl_ms: Milliseconds after its last renewal at which the lease expires; `lifeMs` on the wire.
    """

    ttl_ms: int
