"""Records cancellations that were confirmed to users, and broadcasts them to the other controllers.

A leader learns of cancellations by its watch of the job records, possibly late; the broadcast only shortens the delay.
Delayed or repeated messages do no harm, because a cancelled job stays cancelled.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import gevent

from ..api.peer_api import CANCELLATION_KEPT_S, MAX_CANCELLATIONS_PER_STATUS, PeerApi
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import CompletedJobRecord
from ..wire.jobs import JobStatus
from .current_term import CurrentTerm

#: Delay between a cancellation and its broadcast, so that one status message carries all cancellations of a burst.
BROADCAST_DELAY_S = 0.1


class CancellationRecorder:
    """Records cancellations and stops the cancelled jobs in this controller's own term, if it has one."""

    def __init__(self, current_term: CurrentTerm, completed_jobs: CompletedJobs, clock: Callable[[], float]) -> None:
        self.current_term = current_term
        self.completed_jobs = completed_jobs
        self.clock = clock
        #: When each job was cancelled through this controller, by job id, oldest cancellation first.
        self._cancelled_at: OrderedDict[str, float] = OrderedDict()

    def record_local(self, job_id: str) -> None:
        """Record a cancellation that this controller is about to confirm to a user."""
        self._cancelled_at[job_id] = self.clock()
        self.stop_in_term(job_id)

    def record_from_peer(self, job_ids: list[str]) -> None:
        """Record cancellations that a peer has confirmed to users."""
        for job_id in job_ids:
            if self.completed_jobs.get(job_id) is None:
                self.completed_jobs.remember(job_id, CompletedJobRecord(JobStatus.CANCELLED, 0))
                self.stop_in_term(job_id)

    def stop_in_term(self, job_id: str) -> None:
        """Stop a cancelled job in this controller's term, if there is one whose records are loaded."""
        term = self.current_term.loaded()
        if term is not None:
            term.job_watch.apply_removal(job_id, self.clock())

    def recent(self) -> list[str]:
        """Return the ids of recently cancelled jobs for the next status, oldest first, and drop older entries."""
        now = self.clock()
        while self._cancelled_at and (
            len(self._cancelled_at) > MAX_CANCELLATIONS_PER_STATUS
            or now - next(iter(self._cancelled_at.values())) > CANCELLATION_KEPT_S
        ):
            self._cancelled_at.popitem(last=False)
        return list(self._cancelled_at)

    def version(self) -> tuple[int, str]:
        """Return the number of recorded cancellations and the latest id, which change when one is recorded."""
        return len(self._cancelled_at), next(reversed(self._cancelled_at), "")


class CancellationBroadcaster:
    """Sends the status of this controller to all peers soon after a user cancelled a job through this controller."""

    def __init__(self, recorder: CancellationRecorder, peer_api: PeerApi) -> None:
        self.recorder = recorder
        self.peer_api = peer_api
        self._scheduled = False

    def on_cancelled(self, job_id: str) -> None:
        """Record the cancellation and schedule a broadcast, unless one is scheduled or in progress already."""
        self.recorder.record_local(job_id)
        if not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled = True
        gevent.spawn_later(BROADCAST_DELAY_S, self._broadcast)

    def _broadcast(self) -> None:
        """Send the status to all peers and wait for all responses, then repeat if more jobs were cancelled meanwhile.

        Waiting limits the requests to one per peer; further requests to an unresponsive peer would use up connections.
        """
        sent_version = self.recorder.version()
        gevent.joinall([gevent.spawn(self.peer_api.exchange_status, peer) for peer in self.peer_api.peers])
        self._scheduled = False
        if sent_version != self.recorder.version():
            self._schedule()
