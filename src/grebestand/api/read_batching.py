"""Reads shared by all users who ask at the same time: whether jobs that were live are live still.

One transaction without changes compares the versions of many records, and is executed after it was sent. So it is a
current read for every question that came before it left. What comes later waits for the next one.
"""

from __future__ import annotations

from collections import OrderedDict

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import KeyValueStoreClient, StoreError, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.job_records import live_key

#: versions of live records that are remembered
MOST_KNOWN = 20_000
#: comparisons that are under way at a time
MOST_UNDER_WAY = 2
#: users wait for two seconds
PATIENCE_S = 1.9


class _ReadBatch:
    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.live: set[str] = set()
        self.error: StoreError | None = None
        self.done = Event()


class BatchedReads:
    def __init__(self, state: KeyValueStoreClient, most: int) -> None:
        """`most` conditions fit one transaction."""
        self.store = state
        self.most = most
        self._versions: OrderedDict[str, int] = OrderedDict()
        self._open: _ReadBatch | None = None
        self._turn = BoundedSemaphore(MOST_UNDER_WAY)

    def learn(self, ident: str, version: int) -> None:
        """Its record was live at this version."""
        self._versions[ident] = version
        self._versions.move_to_end(ident)
        if len(self._versions) > MOST_KNOWN:
            self._versions.popitem(last=False)

    def knows(self, ident: str) -> bool:
        """Whether its record was seen live here, so that it has been accepted."""
        return ident in self._versions

    def live(self, ident: str) -> int:
        """The version of a job's live record if that is known to stand now; 0 if it has to be read.

        Raises `StoreError` if the state service did not answer in time.
        """
        version = self._versions.get(ident)
        if version is None:
            return 0
        batch = self._open
        if batch is None or len(batch.versions) >= self.most:
            batch = self._open = _ReadBatch()
            gevent.spawn(self._compare, batch)
        batch.versions[ident] = version
        if not batch.done.wait(PATIENCE_S):
            raise StoreError("the state service is slow, or too much is asked", maybe=False)
        if batch.error is not None:
            raise batch.error
        return version if ident in batch.live else 0

    def _compare(self, batch: _ReadBatch) -> None:
        with self._turn:
            try:
                # waits for its share of the requests; whoever comes meanwhile is still in time
                self.store.wait_to_read(Urgency.POLL, PATIENCE_S)
                if self._open is batch:
                    self._open = None
                self._ask(batch)
            except StoreError as e:
                batch.error = e
            finally:
                if self._open is batch:
                    self._open = None
                batch.done.set()

    def _ask(self, batch: _ReadBatch) -> None:
        left = dict(batch.versions)
        while left:
            _, failed = self.store.commit([version_is(live_key(i), v) for i, v in left.items()], [], None)
            if not failed:
                batch.live.update(left)
                return
            for key in failed:
                self._versions.pop(key[5:], None)
                left.pop(key[5:], None)
