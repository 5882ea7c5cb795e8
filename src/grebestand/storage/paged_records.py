"""Many small records packed into few keys of the key-value store, which limits writes per second and value sizes.

A page is one key whose value maps record names to records, up to the size limit of a value. Every write of a page is
conditional on the last version of the page that this process knows. Without that condition, a transaction that timed
out at its sender but is executed later could overwrite a newer page. A record that outgrows its page is copied to
another page first, and is erased from the old page only after the copy is durable. A reader may therefore find two
copies of a record and has to merge them.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import StoreError, put, version_is
from ..errors import GrebestandError
from ..flow_control.rate_limiter import Urgency
from ..wire.store import Change, Condition, KeyValue

#: Commits a transaction. Returns the new revision and no keys, or 0 and the keys whose conditions failed.
Commit = Callable[[list[Condition], list[Change], Urgency], tuple[int, list[str]]]

#: Maximum total size of the pages in one transaction. The size limit of a transaction also has to cover the conditions
#: on the pages, the condition that only the current leader may write, and framing.
MAX_PAGE_BYTES_PER_TRANSACTION = 56_000
#: Bytes of a value that stay unused, because the store may count framing that `_Page.size_bytes` does not include.
PAGE_MARGIN_BYTES = 16
#: Size of the braces around an encoded page.
EMPTY_PAGE_BYTES = 2
#: Size of the quotes around a record's name, the colon and the comma.
RECORD_OVERHEAD_BYTES = 4
#: A page has only one writer, so a version condition can fail only because an earlier write of this process was
#: executed late. If this many attempts in a row fail, something else is changing the versions.
MAX_SAVE_ATTEMPTS = 4


class RecordTooLargeError(GrebestandError, ValueError):
    """A record is larger than an empty page.

    Attributes:
        name: Name of the record.
        size_bytes: Encoded size of the record, including its name and overhead.
        max_bytes: Largest size of a record that fits an empty page.
    """

    def __init__(self, name: str, size_bytes: int, max_bytes: int) -> None:
        self.name = name
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes
        super().__init__(f"record {name} takes {size_bytes} bytes, but a page has space for at most {max_bytes}")


class _Page:
    """One page in memory.

    Attributes:
        records: Encoded records on the page, by name.
        version: Last known version of the page's key in the store; 0 if the key does not exist.
        size_bytes: Encoded size of the page.
    """

    __slots__ = ("records", "size_bytes", "version")

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self.records: dict[str, msgspec.Raw] = {}
        self.size_bytes = EMPTY_PAGE_BYTES


def _record_size(name: str, body: bytes) -> int:
    """Return by how many bytes a record increases the encoded size of its page."""
    return len(name) + len(body) + RECORD_OVERHEAD_BYTES


class PagedRecords:
    """Records under one key prefix. `put` and `remove` change them in memory; `save` makes the changes durable."""

    def __init__(
        self, prefix: str, value_bytes: int, txn_ops: int, commit: Commit, version_of: Callable[[str], int]
    ) -> None:
        """Create an empty set of records. Pages that the store already holds are read by `load`.

        Args:
            prefix: Key prefix of the pages. The key of a page is this prefix followed by the page number.
            value_bytes: Maximum size of a value in the store, in bytes.
            txn_ops: Maximum number of changes in one transaction.
            commit: Commits a transaction.
            version_of: Reads the current version of a key from the store; returns 0 if the key does not exist.
        """
        self.prefix = prefix
        self._max_page_bytes = value_bytes - PAGE_MARGIN_BYTES
        self._pages_per_transaction = max(1, min(txn_ops, MAX_PAGE_BYTES_PER_TRANSACTION // value_bytes))
        self._commit = commit
        self._version_of = version_of
        self._pages: dict[int, _Page] = {}
        #: number of the page that holds the current value of each record, by record name
        self._page_of: dict[str, int] = {}
        #: numbers of the pages that still hold an older copy of a record, by record name
        self._stale_copies: dict[str, set[int]] = {}
        #: Names of records that were loaded from two pages and not put since. No copy of such a record may be erased,
        #: because only both copies together hold its value.
        self._unmerged: set[str] = set()
        #: numbers of the pages whose changes are not durable yet
        self._dirty: set[int] = set()
        #: Allows one save at a time. A second write of a page during the first one would be conditional on the version
        #: before the first write, and would fail.
        self._save_lock = BoundedSemaphore(1)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._page_of)

    def load(self, pairs: Iterable[KeyValue]) -> Iterator[tuple[str, Any]]:
        """Load the pages that the store holds, and yield the name and the value of every record.

        If the previous writer ended while it moved a record to another page, the record is yielded twice and the caller
        has to merge both values.

        Args:
            pairs: The keys under the prefix, with their values and versions.
        """
        for pair in pairs:
            number = self._page_number(pair.key)
            page = self._pages[number] = _Page(pair.version)
            for name, value in pair.value.items():
                self._load_record(page, number, name, msgspec.json.encode(value))
                yield name, value

    def _load_record(self, page: _Page, number: int, name: str, body: bytes) -> None:
        """Register a record that the store holds on a page."""
        page.records[name] = msgspec.Raw(body)
        page.size_bytes += _record_size(name, body)
        if name in self._page_of:
            self._stale_copies.setdefault(name, set()).add(number)
            self._unmerged.add(name)
        else:
            self._page_of[name] = number

    def put(self, name: str, value: Any) -> None:
        """Set the value of a record in memory. A `save` that begins after this call makes the value durable.

        Args:
            name: Name of the record.
            value: New value, which has to be encodable as JSON.

        Raises:
            RecordTooLargeError: The record is larger than an empty page.
        """
        body = msgspec.json.encode(value)
        size = _record_size(name, body)
        max_bytes = self._max_page_bytes - EMPTY_PAGE_BYTES
        if size > max_bytes:
            raise RecordTooLargeError(name, size, max_bytes)
        self._unmerged.discard(name)
        number = self._page_of.get(name)
        if number is None:
            self._add_to_page(self._choose_page(name, size), name, body)
        elif not self._replace_in_page(number, name, body):
            self._stale_copies.setdefault(name, set()).add(number)
            self._add_to_page(self._choose_page(name, size), name, body)

    def _replace_in_page(self, number: int, name: str, body: bytes) -> bool:
        """Replace a record on its page. Returns False and leaves the page unchanged if the new value does not fit."""
        page = self._pages[number]
        previous_size = _record_size(name, bytes(page.records[name]))
        if page.size_bytes - previous_size + _record_size(name, body) > self._max_page_bytes:
            return False
        page.size_bytes -= previous_size
        self._add_to_page(number, name, body)
        return True

    def _choose_page(self, name: str, size: int) -> int:
        """Return the number of a page with space for a record, or an unused page number if no page has enough space.

        Pages with unsaved changes are preferred, because the next save writes them anyway. A page that holds an older
        copy of the record is never chosen, because the older copy may be the only durable one.
        """
        excluded = self._stale_copies.get(name, ())
        for number in (*sorted(self._dirty), *sorted(self._pages)):
            if number not in excluded and self._pages[number].size_bytes + size <= self._max_page_bytes:
                return number
        return next(number for number in itertools.count() if number not in self._pages)

    def _add_to_page(self, number: int, name: str, body: bytes) -> None:
        """Put a record on a page that has space for it, and make that page the current page of the record."""
        page = self._pages.setdefault(number, _Page())
        page.records[name] = msgspec.Raw(body)
        page.size_bytes += _record_size(name, body)
        self._page_of[name] = number
        self._dirty.add(number)

    def remove(self, name: str, soon: bool) -> None:
        """Remove all copies of a record from memory, and from the store with a later save.

        Args:
            name: Name of the record. An unknown name is ignored.
            soon: Whether the next `save` makes the removal durable. If False, the record stays in the store until its
                page is written for another reason, so a process that loads the pages has to ignore the record.
        """
        self._unmerged.discard(name)
        pages = self._stale_copies.pop(name, set())
        number = self._page_of.pop(name, None)
        for page_number in pages if number is None else {number, *pages}:
            self._erase(page_number, name, soon)

    def _erase(self, number: int, name: str, soon: bool) -> None:
        """Remove a record from one page. If `soon` is set, the next `save` writes the page."""
        page = self._pages[number]
        body = page.records.pop(name, None)
        if body is not None:
            page.size_bytes -= _record_size(name, bytes(body))
            if soon:
                self._dirty.add(number)

    def save(self, urgency: Urgency) -> None:
        """Make every change that was made before this call durable.

        Args:
            urgency: Priority of the transactions at the rate limiters.

        Raises:
            StoreError: A transaction failed or its outcome is unknown. Its pages remain marked for the next save.
        """
        with self._save_lock:
            dirty = sorted(self._dirty)
            for start in range(0, len(dirty), self._pages_per_transaction):
                self._save_pages(dirty[start : start + self._pages_per_transaction], urgency)

    def _save_pages(self, numbers: list[int], urgency: Urgency) -> None:
        """Write pages in one transaction, and retry if the known versions of the pages were outdated."""
        for _ in range(MAX_SAVE_ATTEMPTS):
            self._dirty.difference_update(numbers)  # a change during the commit marks its page as dirty again
            try:
                written = self._try_to_write(numbers, urgency)
            except BaseException:  # including GreenletExit: the pages are not known to be durable
                self._dirty.update(numbers)
                raise
            if written:
                return
            self._dirty.update(numbers)
        raise StoreError(f"pages {self.prefix} change too often", possibly_applied=True)

    def _try_to_write(self, numbers: list[int], urgency: Urgency) -> bool:
        """Commit pages if their versions are the known ones. Otherwise, read the changed versions and return False."""
        snapshots = {number: dict(self._pages[number].records) for number in numbers}
        version, failed = self._commit(
            [version_is(self._key(number), self._pages[number].version) for number in numbers],
            [put(self._key(number), records) for number, records in snapshots.items()],
            urgency,
        )
        for key in failed:
            # an earlier write of this process was executed, but its response was lost
            self._pages[self._page_number(key)].version = self._version_of(key)
        if failed:
            return False
        for number, records in snapshots.items():
            self._pages[number].version = version
            self._erase_stale_copies(number, records)
        return True

    def _erase_stale_copies(self, number: int, written: dict[str, msgspec.Raw]) -> None:
        """Erase the older copies of the records that a committed write of a page has made durable."""
        candidates = written.keys() & self._stale_copies.keys() - self._unmerged
        records = self._pages[number].records
        # a value that was put during the commit is not the object that was written, and is not durable yet
        durable = [name for name in candidates if self._page_of.get(name) == number and records[name] is written[name]]
        for name in durable:
            for stale_number in self._stale_copies.pop(name):
                self._erase(stale_number, name, soon=True)

    def _key(self, number: int) -> str:
        """Return the key of a page."""
        return f"{self.prefix}{number}"

    def _page_number(self, key: str) -> int:
        """Return the number of the page that is stored under a key."""
        return int(key.removeprefix(self.prefix))
