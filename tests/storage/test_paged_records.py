"""Many records on shared pages: few writes, no lost updates by late transactions, no lost records on moves."""

from __future__ import annotations

import pytest

from grebestand.clients.http import UnreachableError
from grebestand.clients.kv_store import KeyValueStoreClient, StoreError
from grebestand.emulators.kv_store import KeyValueStoreEmulator
from grebestand.flow_control.rate_limiter import RateLimiter, Urgency
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.storage.paged_records import PagedRecords, RecordTooLargeError

PREFIX = "p/"
SMALL_VALUE_BYTES = 256


class DelayingStore(KeyValueStoreEmulator):
    """A store that can delay transactions: the sender gets no response, and `release` executes them later."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.delaying = False
        self.delayed: list[tuple[str, str, bytes, float]] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        if self.delaying and path == "/commit":
            self.delayed.append((method, path, body, timeout))
            raise UnreachableError("no answer in time")
        return super().request(method, path, body, timeout)

    def release(self) -> None:
        self.delaying = False
        for call in self.delayed:
            self.request(*call)
        self.delayed.clear()


def client(store: KeyValueStoreEmulator) -> KeyValueStoreClient:
    unlimited = RateLimiter(1e9, 1e9, store.clock, lambda delay_s, call: None)
    return KeyValueStoreClient(store, store, unlimited, unlimited)


def paged_records(store: KeyValueStoreEmulator, value_bytes: int = 4096, txn_ops: int = 12) -> PagedRecords:
    """Return the records of the store, not loaded yet."""
    store_client = client(store)

    def version_of(key: str) -> int:
        pair = store_client.get(key)
        return pair.version if pair is not None else 0

    return PagedRecords(PREFIX, value_bytes, txn_ops, store_client.commit, version_of)


def small_pages(store: KeyValueStoreEmulator) -> PagedRecords:
    """Return records on pages with space for two small records each, with one page per transaction."""
    return paged_records(store, value_bytes=SMALL_VALUE_BYTES, txn_ops=1)


def load(store: KeyValueStoreEmulator, records: PagedRecords | None = None) -> dict[str, list[object]]:
    """Load the store into `records` (by default, into new ones), and return all values of each record by name."""
    loaded: dict[str, list[object]] = {}
    records = records if records is not None else paged_records(store)
    for name, value in records.load(client(store).pairs(PREFIX)):
        loaded.setdefault(name, []).append(value)
    return loaded


def save_until_clean(records: PagedRecords) -> None:
    """Save until stale copies are erased from all pages: each save may mark further pages as dirty."""
    for _ in range(3):
        records.save(Urgency.ACCEPT)


def test_hundreds_of_records_take_a_few_writes() -> None:
    """With one write per record, recording hundreds of machines took most of a minute at 20 writes per second."""
    store = KeyValueStoreEmulator(ManualClock())
    records = paged_records(store)
    for i in range(500):
        records.put(f"n-{i:06d}", ["atlas", "north", False, f"10.0.{i // 250}.{i % 250}:9000"])
    records.save(Urgency.TAKEOVER)
    assert len(store.data) <= 12 and store.largest_value <= 4096 and store.largest_txn <= 12
    assert len(load(store)) == 500


def test_record_dropped_soon_is_gone_after_the_next_save() -> None:
    store = KeyValueStoreEmulator(ManualClock())
    records = paged_records(store)
    for i in range(500):
        records.put(f"n-{i:06d}", ["atlas", "north", False, f"10.0.{i // 250}.{i % 250}:9000"])
    records.save(Urgency.TAKEOVER)
    records.remove("n-000007", soon=True)
    records.save(Urgency.TAKEOVER)
    assert "n-000007" not in load(store)


def test_late_transaction_does_not_undo_a_newer_one() -> None:
    """A write that timed out at its sender and is executed after a newer write must not overwrite the newer one."""
    store = DelayingStore(ManualClock())
    records = paged_records(store)
    records.put("a", 1)
    records.save(Urgency.ACCEPT)
    store.delaying = True
    records.put("a", 2)
    with pytest.raises(StoreError):
        records.save(Urgency.ACCEPT)
    store.delaying = False
    records.put("a", 3)
    records.save(Urgency.ACCEPT)
    store.release()
    assert load(store) == {"a": [3]}


def test_executed_write_without_response_does_not_block_the_next() -> None:
    store = KeyValueStoreEmulator(ManualClock())
    records = paged_records(store)
    records.put("a", 1)
    store.responses_to_drop = 1
    with pytest.raises(StoreError):
        records.save(Urgency.ACCEPT)
    records.put("b", 2)
    records.save(Urgency.ACCEPT)
    assert load(store) == {"a": [1], "b": [2]}


def store_with_moved_record() -> KeyValueStoreEmulator:
    """Return a store whose writer ended between the two writes that move record `b` to another page."""
    store = DelayingStore(ManualClock())
    records = small_pages(store)
    records.put("a", "x" * 100)
    records.put("b", "y" * 100)
    records.save(Urgency.ACCEPT)
    records.put("b", "z" * 180)
    records.save(Urgency.ACCEPT)
    return store


def test_record_that_outgrows_its_page_is_never_absent() -> None:
    """If a leader ends between the two writes that move a record to another page, both pages hold the record."""
    store = store_with_moved_record()
    assert load(store) == {"a": ["x" * 100], "b": ["y" * 100, "z" * 180]}


def test_successor_that_puts_a_moved_record_leaves_one_copy() -> None:
    store = store_with_moved_record()
    successor = small_pages(store)
    load(store, successor)
    successor.put("b", "w" * 180)
    save_until_clean(successor)
    assert load(store) == {"a": ["x" * 100], "b": ["w" * 180]}
    assert store.largest_value <= SMALL_VALUE_BYTES


def test_record_too_large_for_any_page_is_refused() -> None:
    records = paged_records(KeyValueStoreEmulator(ManualClock()), value_bytes=SMALL_VALUE_BYTES)
    with pytest.raises(ValueError, match="record a takes 307 bytes, but a page has space for at most 238") as refused:
        records.put("a", "x" * 300)
    assert isinstance(refused.value, RecordTooLargeError) and refused.value.name == "a"


def test_copies_of_a_record_loaded_twice_stay_until_it_is_put() -> None:
    """Only both copies together hold the value of a record that was being moved when its writer ended.

    Writing the page of the older copy for another record must not erase the newer copy before they are merged.
    """
    store = DelayingStore(ManualClock())
    records = small_pages(store)
    records.put("a", "x" * 100)
    records.put("b", "narrow")
    records.save(Urgency.ACCEPT)
    records.put("b", "wide" * 45)
    records.save(Urgency.ACCEPT)
    both_copies = {"a": ["x" * 100], "b": ["narrow", "wide" * 45]}
    assert load(store) == both_copies
    successor = small_pages(store)
    load(store, successor)
    successor.put("a", "z" * 100)
    save_until_clean(successor)
    assert load(store) == {**both_copies, "a": ["z" * 100]}
    successor.put("b", "merged")
    save_until_clean(successor)
    assert load(store) == {"a": ["z" * 100], "b": ["merged"]}
