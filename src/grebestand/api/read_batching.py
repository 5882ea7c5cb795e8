"""Shared reads: whether jobs that were live are live still, for all users who ask at the same time.

One transaction without changes compares the versions of many records. The store executes it after it was sent, so it is
a current read for every question that came before. Later questions wait for the next transaction.
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
MAX_KNOWN_VERSIONS = 20_000
#: transactions that are under way at a time
MAX_CONCURRENT_BATCHES = 2
#: users wait two seconds for a status
ANSWER_TIMEOUT_S = 1.9
#: before the job id in a key of a live record
LIVE_PREFIX = live_key("")


class _ReadBatch:
    """Questions that one transaction answers."""

    def __init__(self) -> None:
        #: by job id, the version that is compared
        self.versions: dict[str, int] = {}
        #: ids of jobs whose live record stands at its version
        self.live: set[str] = set()
        self.error: StoreError | None = None
        self.done = Event()


class BatchedReads:
    """Remembers versions of live records and checks many of them in one transaction."""

    def __init__(self, store: KeyValueStoreClient, max_conditions: int) -> None:
        """`max_conditions` is the number of conditions that fit one transaction."""
        self.store = store
        self.max_conditions = max_conditions
        #: by job id, least recently learned first
        self._versions: OrderedDict[str, int] = OrderedDict()
        #: the batch that takes new questions
        self._open: _ReadBatch | None = None
        self._slots = BoundedSemaphore(MAX_CONCURRENT_BATCHES)

    def learn(self, job_id: str, version: int) -> None:
        """Remember that the record of a job was live at this version."""
        self._versions[job_id] = version
        self._versions.move_to_end(job_id)
        if len(self._versions) > MAX_KNOWN_VERSIONS:
            self._versions.popitem(last=False)

    def knows(self, job_id: str) -> bool:
        """Return whether the record of a job was seen live here, so that the job has been accepted."""
        return job_id in self._versions

    def live(self, job_id: str) -> int:
        """Return the version of a job's live record if it is certain that it stands now; 0 if it has to be read.

        Raises:
            StoreError: the store did not answer in time.
        """
        version = self._versions.get(job_id)
        if version is None:
            return 0
        batch = self._open
        if batch is None or len(batch.versions) >= self.max_conditions:
            batch = self._open = _ReadBatch()
            gevent.spawn(self._run, batch)
        batch.versions[job_id] = version
        if not batch.done.wait(ANSWER_TIMEOUT_S):
            raise StoreError("the state service is slow, or too much is asked", possibly_applied=False)
        if batch.error is not None:
            raise batch.error
        return version if job_id in batch.live else 0

    def _run(self, batch: _ReadBatch) -> None:
        """Wait for a share of the store's requests, close the batch and ask."""
        with self._slots:
            try:
                # the batch stays open while it waits: whoever comes meanwhile is still in time
                self.store.wait_for_rate_limit(Urgency.POLL, ANSWER_TIMEOUT_S)
                self._close(batch)
                self._ask(batch)
            except StoreError as error:
                batch.error = error
            finally:
                self._close(batch)
                batch.done.set()

    def _close(self, batch: _ReadBatch) -> None:
        if self._open is batch:
            self._open = None

    def _ask(self, batch: _ReadBatch) -> None:
        """Compare all versions; records that have changed are forgotten, and the others compared once more."""
        remaining = dict(batch.versions)
        while remaining:
            conditions = [version_is(live_key(job_id), version) for job_id, version in remaining.items()]
            _, failed_keys = self.store.commit(conditions, [], None)
            if not failed_keys:
                batch.live.update(remaining)
                return
            for key in failed_keys:
                job_id = key.removeprefix(LIVE_PREFIX)
                self._versions.pop(job_id, None)
                remaining.pop(job_id, None)
