"""Batched reads that confirm whether live jobs are still live, shared by concurrent status requests.

One transaction without changes compares the versions of many live records. The store executes the transaction after it
was sent, so its result is current for every request that arrived before sending. Later requests wait for the next one.
"""

from __future__ import annotations

from collections import OrderedDict

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import KeyValueStoreClient, StoreError, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.job_records import live_key

#: Maximum number of live records whose versions are remembered.
MAX_KNOWN_VERSIONS = 20_000
#: Maximum number of transactions in progress at a time.
MAX_CONCURRENT_BATCHES = 2
#: Timeout of a batched read; slightly less than the two seconds that users wait for a status.
ANSWER_TIMEOUT_S = 1.9
#: Prefix of the keys of live records; the job id follows.
LIVE_PREFIX = live_key("")


class _ReadBatch:
    """The reads that one transaction performs."""

    def __init__(self) -> None:
        #: Expected version of the live record, by job id.
        self.versions: dict[str, int] = {}
        #: Ids of jobs whose live record was confirmed to have the expected version.
        self.live: set[str] = set()
        self.error: StoreError | None = None
        self.done = Event()


class BatchedReads:
    """Remembers versions of live records, and checks in one transaction whether many of them are still current."""

    def __init__(self, store: KeyValueStoreClient, max_conditions: int) -> None:
        """Create the reader.

        Args:
            store: Client of the key-value store.
            max_conditions: Maximum number of conditions in a transaction.
        """
        self.store = store
        self.max_conditions = max_conditions
        #: Known version of the live record by job id, least recently updated first.
        self._versions: OrderedDict[str, int] = OrderedDict()
        #: The batch that new reads are added to, if any.
        self._open: _ReadBatch | None = None
        self._slots = BoundedSemaphore(MAX_CONCURRENT_BATCHES)

    def remember_version(self, job_id: str, version: int) -> None:
        """Remember the version at which the live record of a job was seen."""
        self._versions[job_id] = version
        self._versions.move_to_end(job_id)
        if len(self._versions) > MAX_KNOWN_VERSIONS:
            self._versions.popitem(last=False)

    def knows(self, job_id: str) -> bool:
        """Return whether the live record of a job has been seen, which shows that the job was accepted."""
        return job_id in self._versions

    def confirm_live_version(self, job_id: str) -> int:
        """Confirm that the remembered version of a job's live record is still current.

        Returns:
            The version if it is current; 0 if the caller has to read the record, as its version is unknown or outdated.

        Raises:
            StoreError: The store did not answer within `ANSWER_TIMEOUT_S`, or the request failed.
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
        """Wait for the rate limit of store requests, then close the batch and perform its reads."""
        with self._slots:
            try:
                # reads may still join the batch during this wait, because the transaction is sent afterwards
                self.store.wait_for_rate_limit(Urgency.POLL, ANSWER_TIMEOUT_S)
                self._close(batch)
                self._compare_versions(batch)
            except StoreError as error:
                batch.error = error
            finally:
                self._close(batch)
                batch.done.set()

    def _close(self, batch: _ReadBatch) -> None:
        if self._open is batch:
            self._open = None

    def _compare_versions(self, batch: _ReadBatch) -> None:
        """Compare the versions of all records in the batch with the store.

        If some versions have changed, the transaction fails as a whole. Changed records are then dropped, and the
        remaining ones are compared again.
        """
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
