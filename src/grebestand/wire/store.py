"""The state service's requests and answers."""

from __future__ import annotations

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    key: str
    value: Any
    version: int


class KeyValuePage(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "logline"}):
    items: list[KeyValue]
    revision: int
    more: bool = False


class CommitResult(msgspec.Struct, rename={"revision": "logline"}):
    revision: int
    failed: list[str] = []


class LeaseGrant(msgspec.Struct, rename={"hold": "tenure"}):
    hold: int


class Condition(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    key: str
    version: int


class Change(msgspec.Struct, omit_defaults=True, rename={"put": "set", "delete": "remove", "hold": "tenure"}):
    put: str | None = None
    value: Any = msgspec.UNSET
    hold: int | None = None
    delete: str | None = None


class Transaction(msgspec.Struct, omit_defaults=True, rename={"conditions": "if", "changes": "apply"}):
    conditions: list[Condition] = []
    changes: list[Change] = []


class ChangeEvent(msgspec.Struct, rename={"put": "set", "delete": "remove", "version": "stamp"}):
    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class ChangeEvents(msgspec.Struct, rename={"revision": "logline"}):
    revision: int
    events: list[ChangeEvent] = []


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    ttl_ms: int
