"""Gangs that operators have settled after the loss of a cluster: that cluster has to end them if it comes back."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from ..clients.kv_store import StoreError, delete, version_is
from ..flow_control.rate_limiter import Urgency
from ..leader.election import FencedError
from ..leader.term import Term
from ..log_events import LogEvent
from .messages import Ended, Recall, Rejection
from .remote_cluster import RemoteCluster, RemoteClusters
from .remote_gang import EndedReservation
from .settlement import SETTLED_KEY_PREFIX, SettledGangRecord

log = logging.getLogger(__name__)

#: seconds between two recalls of one settled gang
RECALL_INTERVAL_S = 10.0


class SettledGangs:
    """Recalls each settled gang from its cluster until that has confirmed its end, and removes the record then."""

    def __init__(
        self,
        term: Term,
        remotes: RemoteClusters,
        spawn: Callable[[Callable[[], None]], None],
        on_ended: Callable[[EndedReservation], None],
    ) -> None:
        """Read the records.

        Args:
            term: the leader's term.
            remotes: the other clusters.
            spawn: runs a function that waits for another cluster.
            on_ended: called with each reservation whose end is confirmed and whose record is removed.

        Raises:
            StoreError: the store could not be reached.
        """
        self.term = term
        self.remotes = remotes
        self.spawn = spawn
        self.on_ended = on_ended
        #: the records, by reservation id
        self.records: dict[str, SettledGangRecord] = {}
        self.load_records()

    def load_records(self) -> None:
        """Read the records of all settled gangs.

        Raises:
            StoreError: the store could not be reached.
        """
        for pair in self.term.writer.store.pairs(SETTLED_KEY_PREFIX):
            record = msgspec.convert(pair.value, SettledGangRecord)
            self.records[record.reservation_id] = record

    def recall_due(self, now: float) -> None:
        """Recall the settled gangs whose turn it is from the clusters that may be asked."""
        for record in list(self.records.values()):
            cluster = self.remotes.by_name.get(record.cluster)
            if cluster is None or now < record.next_recall_at or not cluster.breaker.allows_request():
                continue
            record.next_recall_at = now + RECALL_INTERVAL_S
            self.spawn(lambda record=record, cluster=cluster: self._recall(record, cluster))  # type: ignore[misc]

    def _recall(self, record: SettledGangRecord, cluster: RemoteCluster) -> None:
        reply = self.remotes.send(cluster, Recall(self.remotes.home, record.job_id, record.reservation_id))
        if not isinstance(reply, Ended | Rejection):
            return
        try:
            self._remove_record(record)
        except (StoreError, FencedError) as error:
            log.info(LogEvent("settlement_removal_postponed", job_id=record.job_id, error=error))
            return
        self.records.pop(record.reservation_id, None)
        log.info(LogEvent("settled_gang_gone", job_id=record.job_id, cluster=record.cluster))
        self.on_ended(EndedReservation(record.cluster, record.job_id, record.reservation_id))

    def _remove_record(self, record: SettledGangRecord) -> None:
        key = SETTLED_KEY_PREFIX + record.reservation_id
        found = self.term.writer.store.get(key, Urgency.PROGRESS)
        if found is not None:
            self.term.writer.commit([version_is(key, found.version)], [delete(key)], Urgency.PROGRESS)
