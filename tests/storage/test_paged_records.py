"""Records on shared pages: every write counts at the state service, and one that is late must not undo another."""

from __future__ import annotations

import pytest

from grebestand.clients.http import UnreachableError
from grebestand.clients.kv_store import KeyValueStoreClient, StoreError
from grebestand.emulators.kv_store import KeyValueStoreEmulator
from grebestand.flow_control.rate_limiter import RateLimiter, Urgency
from grebestand.simulation.single_controller_cluster import ManualClock
from grebestand.storage.paged_records import PagedRecords


class Late(KeyValueStoreEmulator):
    """Holds transactions back: the sender hears nothing, and they are carried out when released."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.hold_back = False
        self.held: list[tuple[str, str, bytes, float]] = []

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        if self.hold_back and path == "/commit":
            self.held.append((method, path, body, timeout))
            raise UnreachableError("no answer in time")
        return super().request(method, path, body, timeout)

    def release(self) -> None:
        self.hold_back = False
        for call in self.held:
            self.request(*call)
        self.held.clear()


def client(state: KeyValueStoreEmulator) -> KeyValueStoreClient:
    plenty = RateLimiter(1e9, 1e9, state.clock, lambda s, f: None)
    return KeyValueStoreClient(state, state, plenty, plenty)


def pages_on(state: KeyValueStoreEmulator, value_bytes: int = 4096, txn_ops: int = 12) -> PagedRecords:
    store = client(state)

    def version_of(key: str) -> int:
        found = store.get(key)
        return found.version if found is not None else 0

    return PagedRecords("p/", value_bytes, txn_ops, store.commit, version_of)


def read_back(state: KeyValueStoreEmulator, pages: PagedRecords | None = None) -> dict[str, list[object]]:
    found: dict[str, list[object]] = {}
    reconciler = pages if pages is not None else pages_on(state)
    for name, value in reconciler.load(client(state).pairs("p/")):
        found.setdefault(name, []).append(value)
    return found


def test_hundreds_of_records_take_a_few_writes() -> None:
    """At one write a record, hundreds of machines took most of a minute to be recorded at 20 writes a second."""
    state = KeyValueStoreEmulator(ManualClock())
    pages = pages_on(state)
    for i in range(500):
        pages.put(f"n-{i:06d}", ["atlas", "north", False, f"10.0.{i // 250}.{i % 250}:9000"])
    pages.save(Urgency.TAKEOVER)
    assert len(state.data) <= 12 and state.largest_value <= 4096 and state.largest_txn <= 12
    assert len(read_back(state)) == 500
    pages.drop("n-000007", soon=True)
    pages.save(Urgency.TAKEOVER)
    assert "n-000007" not in read_back(state)


def test_a_write_that_is_carried_out_late_does_not_undo_a_newer_one() -> None:
    """The sender gave the first write up and wrote more; the first one must not come back over it."""
    state = Late(ManualClock())
    pages = pages_on(state)
    pages.put("a", 1)
    pages.save(Urgency.ACCEPT)
    state.hold_back = True
    pages.put("a", 2)
    with pytest.raises(StoreError):
        pages.save(Urgency.ACCEPT)
    state.hold_back = False
    pages.put("a", 3)
    pages.save(Urgency.ACCEPT)
    state.release()
    assert read_back(state) == {"a": [3]}


def test_a_write_that_was_made_though_nobody_heard_does_not_block_the_next() -> None:
    state = KeyValueStoreEmulator(ManualClock())
    pages = pages_on(state)
    pages.put("a", 1)
    state.lose_answers = 1
    with pytest.raises(StoreError):
        pages.save(Urgency.ACCEPT)
    pages.put("b", 2)
    pages.save(Urgency.ACCEPT)
    assert read_back(state) == {"a": [1], "b": [2]}


def test_a_record_that_outgrows_its_page_is_always_found_somewhere() -> None:
    """It moves to another page; a leader that ends between the two writes leaves it on both, never on neither."""
    state = Late(ManualClock())
    pages = pages_on(state, value_bytes=256, txn_ops=1)
    pages.put("a", "x" * 100)
    pages.put("b", "y" * 100)
    pages.save(Urgency.ACCEPT)
    pages.put("b", "z" * 180)
    pages.save(Urgency.ACCEPT)
    assert read_back(state) == {"a": ["x" * 100], "b": ["y" * 100, "z" * 180]}
    # a successor takes both, and what it writes leaves one
    heir = pages_on(state, value_bytes=256, txn_ops=1)
    read_back(state, heir)
    heir.put("b", "w" * 180)
    for _ in range(3):
        heir.save(Urgency.ACCEPT)
    assert read_back(state) == {"a": ["x" * 100], "b": ["w" * 180]}
    assert state.largest_value <= 256


def test_a_record_too_large_for_any_page_is_refused() -> None:
    with pytest.raises(ValueError, match="fits no page"):
        pages_on(KeyValueStoreEmulator(ManualClock()), value_bytes=256).put("a", "x" * 300)


def test_of_a_record_found_twice_neither_copy_goes_before_it_is_written_anew() -> None:
    """A successor joins both; writing the older copy's page for another record once erased the newer, wider one."""
    state = Late(ManualClock())
    pages = pages_on(state, value_bytes=256, txn_ops=1)
    pages.put("a", "x" * 100)
    pages.put("b", "narrow")
    pages.save(Urgency.ACCEPT)
    pages.put("b", "wide" * 45)
    pages.save(Urgency.ACCEPT)
    both = {"a": ["x" * 100], "b": ["narrow", "wide" * 45]}
    assert read_back(state) == both
    heir = pages_on(state, value_bytes=256, txn_ops=1)
    read_back(state, heir)
    heir.put("a", "z" * 100)
    for _ in range(3):
        heir.save(Urgency.ACCEPT)
    assert read_back(state) == {**both, "a": ["z" * 100]}
    heir.put("b", "joined")
    for _ in range(3):
        heir.save(Urgency.ACCEPT)
    assert read_back(state) == {"a": ["z" * 100], "b": ["joined"]}
