"""Watches the live job records: jobs accepted by any controller, and removals by the controller that cancelled them."""

from __future__ import annotations

import logging
import math

import msgspec

from ..clients.kv_store import RevisionCompactedError, StoreError
from ..cluster_state.jobs import Job
from ..log_events import LogEvent
from ..storage.job_records import LiveJobRecord
from ..wire.store import ChangeEvent
from .job_completion import JobCompletion
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

LIVE_PREFIX = "live/"
#: Larger ages of jobs are clamped to this, in seconds, as the time in a record comes from another machine's clock.
MAX_JOB_AGE_S = 86400.0


class JobWatch(TermComponent):
    """Keeps the job registry up to date with the live records."""

    def __init__(self, context: TermContext, job_completion: JobCompletion) -> None:
        super().__init__(context)
        self.job_completion = job_completion
        #: the revision of the store up to which changes have been applied
        self.applied_revision = 0
        #: when the last read of all live records was sent
        self._read_sent_at = -math.inf

    def apply_record(self, value: object, version: int, now: float) -> None:
        """Apply a live record: add its job, or record that the job is no longer assigned to another cluster.

        Args:
            value: the decoded JSON value of the record.
            version: the revision that wrote the key.
            now: the current time of the monotonic clock, in seconds.
        """
        record = msgspec.convert(value, LiveJobRecord)
        known = self.registry.jobs.get(record.spec.id)
        if known is not None:
            self._update(known, record, version)
            return
        if self.job_completion.completed_jobs.get(record.spec.id) is not None:
            # the record was written before the job was completed, and its removal has not been received yet: a job
            # added now could be started after its user was notified of the cancellation
            return
        age_s = min(max(0.0, self.context.wall() - record.accepted_at), MAX_JOB_AGE_S)
        job = self.registry.add_job(record.spec, version, now - age_s, now)
        job.waiting_since = now
        job.is_guest = record.guest
        if record.remote_assignment is not None:
            job.remote_assignment, job.runs_remotely = record.remote_assignment, True

    def _update(self, job: Job, record: LiveJobRecord, version: int) -> None:
        """Reclaim a job from another cluster, after a write of this leader or once operators abandoned that cluster."""
        if job.remote_assignment is not None and record.remote_assignment is None and version > job.record_revision:
            job.record_revision, job.remote_assignment, job.runs_remotely = version, None, False
            self.registry.changed_since_scheduling = True

    def watch(self) -> None:
        """Apply changes of the live records, waiting for changes as long as the cancellation horizon permits.

        Raises:
            StoreError: the store could not be reached, or its response is contradictory.
        """
        self._apply_changes(self.election.cancellation_horizon.watch_ms)

    def catch_up(self) -> None:
        """Apply changes with a read that does not wait, which a term has to do before it resumes after a pause.

        The open watch may be answered later, and until then tasks cancelled during the pause could be started.

        Raises:
            StoreError: the store could not be reached, or its response is contradictory.
        """
        self._apply_changes(0)

    def _apply_changes(self, wait_ms: int) -> None:
        """Request the changes since `applied_revision`, for which the store may wait `wait_ms`, and apply them."""
        sent_at, since = self.clock(), self.applied_revision
        try:
            changes = self.writer.store.watch(LIVE_PREFIX, since, wait_ms)
        except RevisionCompactedError:
            self._read_all_again()
            return
        if changes.revision < since or any(event.version > changes.revision for event in changes.events):
            raise StoreError(f"revision {changes.revision} after {since}: that cannot be", possibly_applied=False)
        now = self.clock()
        for event in changes.events:
            # two reads may be in progress: the older read must not undo changes that the newer read has applied
            if event.version > self.applied_revision:
                self._apply_event(event, now)
        self.applied_revision = max(self.applied_revision, changes.revision)
        self.election.record_current_read(self.token, sent_at)

    def _apply_event(self, event: ChangeEvent, now: float) -> None:
        if event.put is not None:
            self.apply_record(event.value, event.version, now)
        elif event.delete is not None:
            self.apply_removal(event.delete.removeprefix(LIVE_PREFIX), now)

    def apply_removal(self, job_id: str, now: float) -> None:
        """Apply the removal of a live record by another controller, which means that the job was cancelled.

        Args:
            job_id: the job whose record was removed.
            now: the current time of the monotonic clock, in seconds.
        """
        job = self.registry.jobs.get(job_id)
        if job is None or not job.is_live:
            # the removal is known already, or the job is CLOSING: then this leader has removed the record itself, or
            # its own commit fails and it reads the final record of the other controller
            return
        log.info(LogEvent("job_cancelled", job_id=job_id))
        # the job was live at the cancellation horizon, so no user was notified of its cancellation before then
        job.may_answer_until = self.election.cancellation_horizon.may_answer_until()
        self.dispatch.cancel(job, now)
        self.job_completion.drop_records(job)

    def read_all(self, now: float) -> set[str]:
        """Read all live records; the watch continues from the revision of the first page.

        Args:
            now: the current time of the monotonic clock, in seconds.

        Returns:
            The ids of the live jobs.

        Raises:
            StoreError: the store could not be reached.
        """
        sent_at = self.clock()
        live: set[str] = set()
        first_revision = 0
        for page in self.writer.store.scan(LIVE_PREFIX):
            first_revision = first_revision or page.revision
            for pair in page.items:
                live.add(pair.key.removeprefix(LIVE_PREFIX))
                self.apply_record(pair.value, pair.version, now)
        self.applied_revision = first_revision
        self._read_sent_at = sent_at
        return live

    def finish_full_read(self) -> None:
        """Remove jobs that were completed during the last read of all records, and record that read as current."""
        completed = self.job_completion.completed_jobs
        for job_id in [job_id for job_id in self.registry.jobs if completed.get(job_id) is not None]:
            self.apply_removal(job_id, self.clock())
        self.election.record_current_read(self.token, self._read_sent_at)

    def _read_all_again(self) -> None:
        """Read all live records again, as the store has compacted the changes since the last read."""
        now = self.clock()
        live = self.read_all(now)
        removed = [
            job_id
            for job_id, job in self.registry.jobs.items()
            if job.is_live and job_id not in live and job.record_revision <= self.applied_revision
        ]
        for job_id in removed:
            self.apply_removal(job_id, now)
        self.finish_full_read()
