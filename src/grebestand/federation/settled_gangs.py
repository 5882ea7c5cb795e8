"""Settled gangs: a cluster that operators declared lost has to end its settled gangs if it is reachable again."""

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

#: Interval between two recalls of one settled gang, in seconds.
RECALL_INTERVAL_S = 10.0


class SettledGangs:
    """Recalls each settled gang until its cluster has confirmed that the gang has ended, then removes the record."""

    def __init__(
        self,
        term: Term,
        remotes: RemoteClusters,
        spawn: Callable[[Callable[[], None]], None],
        on_ended: Callable[[EndedReservation], None],
    ) -> None:
        """Read the records.

        Args:
            term: The leader's term.
            remotes: The other clusters.
            spawn: Runs a function that waits for a reply of another cluster.
            on_ended: Called with each reservation whose end is confirmed and whose record is removed.

        Raises:
            StoreError: The store could not be reached.
        """
        self.term = term
        self.remotes = remotes
        self.spawn = spawn
        self.on_ended = on_ended
        #: Records of settled gangs, by reservation id.
        self.records: dict[str, SettledGangRecord] = {}
        self.load_records()

    def load_records(self) -> None:
        """Read the records of all settled gangs.

        Raises:
            StoreError: The store could not be reached.
        """
        for pair in self.term.writer.store.pairs(SETTLED_KEY_PREFIX):
            record = msgspec.convert(pair.value, SettledGangRecord)
            self.records[record.reservation_id] = record

    def recall_due(self, now: float) -> None:
        """Recall the settled gangs whose next recall is due and whose cluster's circuit breaker allows a request.

        Args:
            now: Time of the steady clock, in seconds.
        """
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
