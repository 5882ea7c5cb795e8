"""Many small records packed into few keys of the key-value store, which limits writes per second and value sizes.

A page is one key whose value is a map of records, filled up to the size limit of a value. Every write of a page is
conditional on the version that this process last knew of it, so that a transaction that is executed after its sender
has given up on it cannot overwrite a newer page. A record that outgrows its page is first copied to another page and
leaves the old one only when the copy is durable. A reader may therefore find a record twice and has to merge both.
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

#: commits a transaction and returns its revision and no keys, or 0 and the keys whose conditions failed
Commit = Callable[[list[Condition], list[Change], Urgency], tuple[int, list[str]]]

#: size of all pages in one transaction, in bytes; leaves space for its conditions, the leader's own and framing
TRANSACTION_BYTES = 56_000
#: bytes of a value that stay unused, as the store may count framing that is not counted here
PAGE_MARGIN_BYTES = 16
#: the braces around an encoded page
EMPTY_PAGE_BYTES = 2
#: the quotes around a record's name, its colon and its comma
RECORD_OVERHEAD_BYTES = 4
#: A page has one writer, so only its own earlier writes, executed late, can fail a condition. A failure of this many
#: attempts means that versions keep changing for another reason.
MAX_SAVE_ATTEMPTS = 4


class RecordTooLargeError(GrebestandError, ValueError):
    """A record does not fit even an empty page.

    Attributes:
        name: The name of the record.
        size_bytes: Its encoded size, including its name and overhead.
    """

    def __init__(self, name: str, size_bytes: int) -> None:
        self.name = name
        self.size_bytes = size_bytes
        super().__init__(f"record {name} of {size_bytes} bytes fits no page")


class _Page:
    """The records of one key, its version in the store, and its encoded size in bytes."""

    __slots__ = ("records", "size_bytes", "version")

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self.records: dict[str, msgspec.Raw] = {}
        self.size_bytes = EMPTY_PAGE_BYTES


def _record_size(name: str, body: bytes) -> int:
    """Return the bytes that a record adds to its encoded page."""
    return len(name) + len(body) + RECORD_OVERHEAD_BYTES


class PagedRecords:
    """Records under one key prefix, changed in memory by `put` and `drop` and made durable by `save`."""

    def __init__(
        self, prefix: str, value_bytes: int, txn_ops: int, commit: Commit, version_of: Callable[[str], int]
    ) -> None:
        """Start without pages.

        Args:
            prefix: Key prefix of the pages; a page number follows it.
            value_bytes: Size limit of a value in the store.
            txn_ops: Limit on the changes of one transaction.
            commit: Commits a transaction.
            version_of: Reads the current version of a key, 0 if the key does not exist.
        """
        self.prefix = prefix
        self._max_page_bytes = value_bytes - PAGE_MARGIN_BYTES
        self._pages_per_transaction = max(1, min(txn_ops, TRANSACTION_BYTES // value_bytes))
        self._commit = commit
        self._version_of = version_of
        self._pages: dict[int, _Page] = {}
        #: by record, the page that holds its current value
        self._page_of: dict[str, int] = {}
        #: by record, the pages that still hold an older copy of it
        self._stale_copies: dict[str, set[int]] = {}
        #: records that were loaded from two pages and not put since: only both copies together hold their value
        self._unmerged: set[str] = set()
        #: pages that differ from what is durable
        self._dirty: set[int] = set()
        #: serialises saves: a page that is being written must not be written again on the version before
        self._save_lock = BoundedSemaphore(1)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._page_of)

    def load(self, pairs: Iterable[KeyValue]) -> Iterator[tuple[str, Any]]:
        """Take over the pages that the store holds, and yield every record with its value.

        A record that was being moved is yielded twice; the caller has to merge both values.
        """
        for pair in pairs:
            number = self._page_number(pair.key)
            page = self._pages[number] = _Page(pair.version)
            for name, value in pair.value.items():
                self._load_record(page, number, name, msgspec.json.encode(value))
                yield name, value

    def _load_record(self, page: _Page, number: int, name: str, body: bytes) -> None:
        """Enter a record that was found on a page."""
        page.records[name] = msgspec.Raw(body)
        page.size_bytes += _record_size(name, body)
        if name in self._page_of:
            self._stale_copies.setdefault(name, set()).add(number)
            self._unmerged.add(name)
        else:
            self._page_of[name] = number

    def put(self, name: str, value: Any) -> None:
        """Set a record. It is durable once a `save` that began later has returned.

        Raises:
            RecordTooLargeError: The record does not fit an empty page.
        """
        body = msgspec.json.encode(value)
        size = _record_size(name, body)
        if size + EMPTY_PAGE_BYTES > self._max_page_bytes:
            raise RecordTooLargeError(name, size)
        self._unmerged.discard(name)
        number = self._page_of.get(name)
        if number is None:
            self._add_to_page(self._choose_page(name, size), name, body)
        elif not self._replace_in_page(number, name, body):
            self._stale_copies.setdefault(name, set()).add(number)
            self._add_to_page(self._choose_page(name, size), name, body)

    def _replace_in_page(self, number: int, name: str, body: bytes) -> bool:
        """Replace a record on the page that holds it; return whether the new value fits there."""
        page = self._pages[number]
        previous_size = _record_size(name, bytes(page.records[name]))
        if page.size_bytes - previous_size + _record_size(name, body) > self._max_page_bytes:
            return False
        page.size_bytes -= previous_size
        self._add_to_page(number, name, body)
        return True

    def _choose_page(self, name: str, size: int) -> int:
        """Return the number of a page with space for a record, a new one if there is none.

        Pages that have to be written anyway come first. A page that holds an older copy of the record is not chosen, as
        the older copy may be the only durable one.
        """
        excluded = self._stale_copies.get(name, ())
        for number in (*sorted(self._dirty), *sorted(self._pages)):
            if number not in excluded and self._pages[number].size_bytes + size <= self._max_page_bytes:
                return number
        return next(number for number in itertools.count() if number not in self._pages)

    def _add_to_page(self, number: int, name: str, body: bytes) -> None:
        """Put a record on a page that has space for it, and remember the page as its current one."""
        page = self._pages.setdefault(number, _Page())
        page.records[name] = msgspec.Raw(body)
        page.size_bytes += _record_size(name, body)
        self._page_of[name] = number
        self._dirty.add(number)

    def drop(self, name: str, soon: bool) -> None:
        """Remove a record and all its copies.

        Args:
            name: Name of the record; unknown names are ignored.
            soon: Whether the next `save` has to make the removal durable. If not, the record stays in the store until
                its page is written for another reason, so its readers have to ignore it.
        """
        self._unmerged.discard(name)
        pages = self._stale_copies.pop(name, set())
        number = self._page_of.pop(name, None)
        for page_number in pages if number is None else {number, *pages}:
            self._erase(page_number, name, soon)

    def _erase(self, number: int, name: str, soon: bool) -> None:
        """Remove a record from one page, and mark the page for the next `save` if `soon`."""
        page = self._pages[number]
        body = page.records.pop(name, None)
        if body is not None:
            page.size_bytes -= _record_size(name, bytes(body))
            if soon:
                self._dirty.add(number)

    def save(self, urgency: Urgency) -> None:
        """Make every change before the call durable.

        Raises:
            StoreError: A transaction failed or its outcome is unknown; the pages concerned remain marked for the next
                save.
        """
        with self._save_lock:
            due = sorted(self._dirty)
            for start in range(0, len(due), self._pages_per_transaction):
                self._save_pages(due[start : start + self._pages_per_transaction], urgency)

    def _save_pages(self, numbers: list[int], urgency: Urgency) -> None:
        """Write pages in one transaction, again if their versions turn out to be outdated."""
        for _ in range(MAX_SAVE_ATTEMPTS):
            self._dirty.difference_update(numbers)  # before the commit, so that changes during it mark the pages anew
            try:
                written = self._try_to_write(numbers, urgency)
            except BaseException:  # also a kill of the greenlet: the pages must not pass for durable
                self._dirty.update(numbers)
                raise
            if written:
                return
            self._dirty.update(numbers)
        raise StoreError(f"pages {self.prefix} change too often", possibly_applied=True)

    def _try_to_write(self, numbers: list[int], urgency: Urgency) -> bool:
        """Commit pages on the versions known of them; if a condition fails, read its key's version and return False."""
        snapshots = {number: dict(self._pages[number].records) for number in numbers}
        version, failed = self._commit(
            [version_is(self._key(number), self._pages[number].version) for number in numbers],
            [put(self._key(number), records) for number, records in snapshots.items()],
            urgency,
        )
        for key in failed:
            # an earlier write whose answer was lost has been executed after all
            self._pages[self._page_number(key)].version = self._version_of(key)
        if failed:
            return False
        for number, records in snapshots.items():
            self._pages[number].version = version
            self._erase_stale_copies(number, records)
        return True

    def _erase_stale_copies(self, number: int, written: dict[str, msgspec.Raw]) -> None:
        """Erase older copies of the records that have become durable with a page."""
        candidates = written.keys() & self._stale_copies.keys() - self._unmerged
        records = self._pages[number].records
        # a value that was put during the commit is another object than the one written, and not durable yet
        durable = [name for name in candidates if self._page_of.get(name) == number and records[name] is written[name]]
        for name in durable:
            for stale_number in self._stale_copies.pop(name):
                self._erase(stale_number, name, soon=True)

    def _key(self, number: int) -> str:
        """Return the key of a page."""
        return f"{self.prefix}{number}"

    def _page_number(self, key: str) -> int:
        """Return the number of the page that a key holds."""
        return int(key.removeprefix(self.prefix))
