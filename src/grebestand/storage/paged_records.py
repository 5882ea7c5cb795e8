"""Many small records in few keys, as a state service asks for that counts writes and bounds values.

A page is one key that holds as many records as fit its value. Every write of a page is conditional on the
version that this leader last knew of it, so that a write that was given up on and is carried out late can
never put an older page over a newer one. A record that outgrows its page is copied to another and leaves the
first only when the copy is durable: a reader may find it twice and has to take both.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import StoreError, at, put
from ..flow_control.rate_limiter import Urgency
from ..wire.store import Change, Condition, KeyValue

#: makes a transaction of these conditions and changes; answers the new version, or the keys that failed
Commit = Callable[[list[Condition], list[Change], Urgency], tuple[int, list[str]]]
#: what a transaction may hold in all, with room for its other parts
TRANSACTION_BYTES = 56_000


class _Page:
    __slots__ = ("records", "used", "version")

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self.records: dict[str, msgspec.Raw] = {}
        self.used = 2


class PagedRecords:
    def __init__(
        self, prefix: str, value_bytes: int, txn_ops: int, commit: Commit, version_of: Callable[[str], int]
    ) -> None:
        self.prefix = prefix
        self.room = value_bytes - 16
        self.most = max(1, min(txn_ops, TRANSACTION_BYTES // value_bytes))
        self._commit = commit
        self._version_of = version_of
        self._pages: dict[int, _Page] = {}
        self._page_of: dict[str, int] = {}
        #: pages where an older copy of a moved record still stands
        self._copies: dict[str, set[int]] = {}
        #: records found twice and not put since: what the pages say of them together is on none of them alone
        self._unjoined: set[str] = set()
        self._dirty: set[int] = set()
        self._lock = BoundedSemaphore(1)

    def __len__(self) -> int:
        return len(self._page_of)

    @staticmethod
    def _size(name: str, body: bytes) -> int:
        return len(name) + len(body) + 4

    def load(self, pairs: Iterable[KeyValue]) -> Iterator[tuple[str, Any]]:
        """Takes the pages as found; yields every record, a moved one perhaps twice."""
        for pair in pairs:
            number = int(pair.key[len(self.prefix) :])
            page = self._pages[number] = _Page(pair.version)
            for name, value in pair.value.items():
                body = msgspec.json.encode(value)
                page.records[name] = msgspec.Raw(body)
                page.used += self._size(name, body)
                if name in self._page_of:
                    self._copies.setdefault(name, set()).add(number)
                    self._unjoined.add(name)
                else:
                    self._page_of[name] = number
                yield name, value

    def put(self, name: str, value: Any) -> None:
        """Sets a record; it is durable once a `save` that began later has returned."""
        body = msgspec.json.encode(value)
        size = self._size(name, body)
        if size + 2 > self.room:
            raise ValueError(f"record {name} of {size} bytes fits no page")
        self._unjoined.discard(name)
        number = self._page_of.get(name)
        if number is not None:
            page = self._pages[number]
            before = self._size(name, bytes(page.records[name]))
            if page.used - before + size <= self.room:
                page.used -= before
                self._write(number, name, body, size)
                return
            self._copies.setdefault(name, set()).add(number)
        self._write(self._choose(name, size), name, body, size)

    def _choose(self, name: str, size: int) -> int:
        """A page with room, rather one that is to be written anyway."""
        taken = self._copies.get(name, ())
        for number in (*sorted(self._dirty), *sorted(self._pages)):
            if number not in taken and self._pages[number].used + size <= self.room:
                return number
        return next(n for n in itertools.count() if n not in self._pages)

    def _write(self, number: int, name: str, body: bytes, size: int) -> None:
        page = self._pages.setdefault(number, _Page())
        page.records[name] = msgspec.Raw(body)
        page.used += size
        self._page_of[name] = number
        self._dirty.add(number)

    def drop(self, name: str, soon: bool) -> None:
        """Removes a record: at the next save, or, if a reader passes over it anyway, when its page is next written."""
        self._unjoined.discard(name)
        number = self._page_of.pop(name, None)
        for n in {number, *self._copies.pop(name, ())} - {None}:
            self._erase(n, name, soon)

    def _erase(self, number: int, name: str, soon: bool) -> None:
        page = self._pages[number]
        body = page.records.pop(name, None)
        if body is not None:
            page.used -= self._size(name, bytes(body))
            if soon:
                self._dirty.add(number)

    def save(self, urgency: Urgency) -> None:
        """Writes what was changed before the call; raises if that is not certain to have been done."""
        with self._lock:
            due = sorted(self._dirty)
            for start in range(0, len(due), self.most):
                self._save_some(due[start : start + self.most], urgency)

    def _save_some(self, numbers: list[int], urgency: Urgency) -> None:
        for _ in range(4):
            self._dirty.difference_update(numbers)
            bodies = {n: dict(self._pages[n].records) for n in numbers}
            conditions = [at(self._key(n), self._pages[n].version) for n in numbers]
            changes = [put(self._key(n), bodies[n]) for n in numbers]
            try:
                version, failed = self._commit(conditions, changes, urgency)
                for key in failed:
                    # an earlier write that nobody answered was carried out after all
                    self._pages[int(key[len(self.prefix) :])].version = self._version_of(key)
            except BaseException:
                self._dirty.update(numbers)
                raise
            if not failed:
                for n in numbers:
                    self._pages[n].version = version
                    self._settle(n, bodies[n])
                return
            self._dirty.update(numbers)
        raise StoreError(f"pages {self.prefix} change too often", maybe=True)

    def _settle(self, number: int, written: dict[str, msgspec.Raw]) -> None:
        """Older copies of what is durable here now may leave their pages."""
        settled = written.keys() & self._copies.keys() - self._unjoined
        records = self._pages[number].records
        # a body put while this one was on its way is not durable yet
        for name in [n for n in settled if self._page_of.get(n) == number and records[n] is written[n]]:
            for n in self._copies.pop(name):
                self._erase(n, name, soon=True)

    def _key(self, number: int) -> str:
        return f"{self.prefix}{number}"
