"""Follows the live records: jobs that any controller accepted, and removals by whichever controller cancelled them."""

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
#: The oldest age of a job that is believed, in seconds: its record has another machine's time of day.
MAX_JOB_AGE_S = 86400.0


class JobWatch(TermComponent):
    """Keeps the job registry up to date with the live records."""

    def __init__(self, context: TermContext, job_completion: JobCompletion) -> None:
        super().__init__(context)
        self.job_completion = job_completion
        #: the revision up to which changes have been applied
        self.watched = 0
        #: when the last read of all records was sent
        self._read_sent_at = -math.inf

    def take(self, value: object, version: int, now: float) -> None:
        """Apply a live record: add a job, or note that it is no longer assigned to another cluster.

        Args:
            value: the value of the record's key.
            version: the revision that wrote it.
            now: the time of the steady clock.
        """
        record = msgspec.convert(value, LiveJobRecord)
        known = self.registry.jobs.get(record.spec.id)
        if known is not None:
            self._update(known, record, version)
            return
        if self.job_completion.completed_jobs.get(record.spec.id) is not None:
            # written before the job was over, and its removal is still to come: added now, the job could be started
            # after its user was told that it is cancelled
            return
        age_s = min(max(0.0, self.context.wall() - record.at), MAX_JOB_AGE_S)
        job = self.registry.add_job(record.spec, version, now - age_s, now)
        job.waiting_since = now
        job.is_guest = record.guest
        if record.abroad is not None:
            job.remote_assignment, job.runs_remotely = record.abroad, True

    def _update(self, job: Job, record: LiveJobRecord, version: int) -> None:
        """Bring a job back from another cluster, by this leader's own change or as operators gave that cluster up."""
        if job.remote_assignment is not None and record.abroad is None and version > job.record_revision:
            job.record_revision, job.remote_assignment, job.runs_remotely = version, None, False
            self.registry.changed_since_scheduling = True

    def watch(self) -> None:
        """Apply changes of the live records, waiting for some as long as the cancellation horizon permits.

        Raises:
            StoreError: the store could not be reached, or its answer is contradictory.
        """
        self._follow(self.election.cancellation_horizon.watch_ms)

    def catch_up(self) -> None:
        """Apply changes by a current read, which a term does before it answers again after a pause.

        The open watch may answer only later, and until then what was cancelled during the pause could be started.

        Raises:
            StoreError: the store could not be reached, or its answer is contradictory.
        """
        self._follow(0)

    def _follow(self, wait_ms: int) -> None:
        sent_at, since = self.clock(), self.watched
        try:
            changes = self.writer.store.changes(LIVE_PREFIX, since, wait_ms)
        except RevisionCompactedError:
            self._reread()
            return
        if changes.revision < since or any(event.version > changes.revision for event in changes.events):
            raise StoreError(f"revision {changes.revision} after {since}: that cannot be", possibly_applied=False)
        now = self.clock()
        for event in changes.events:
            # two reads may be under way: the older one must not undo what the newer one has applied
            if event.version > self.watched:
                self._apply_event(event, now)
        self.watched = max(self.watched, changes.revision)
        self.election.record_current_read(self.token, sent_at)

    def _apply_event(self, event: ChangeEvent, now: float) -> None:
        if event.put is not None:
            self.take(event.value, event.version, now)
        elif event.delete is not None:
            self.apply_removal(event.delete.removeprefix(LIVE_PREFIX), now)

    def apply_removal(self, job_id: str, now: float) -> None:
        """Apply the removal of a live record: whoever removed it has cancelled the job."""
        job = self.registry.jobs.get(job_id)
        if job is None or not job.is_live:
            return  # known already, or CLOSING: this leader's own commit, or one whose failure tells what happened
        log.info(LogEvent("job_cancelled", job_id=job_id))
        # it was live at the horizon, so no user was told before then that it is cancelled
        job.may_answer_until = self.election.cancellation_horizon.may_answer_until()
        self.dispatch.cancel(job, now)
        self.job_completion.drop_records(job)

    def read_all(self, now: float) -> set[str]:
        """Read all live records; the watch continues from the revision of the first page.

        Returns:
            The ids of the jobs that are live.

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
                self.take(pair.value, pair.version, now)
        self.watched = first_revision
        self._read_sent_at = sent_at
        return live

    def begin(self) -> None:
        """Count the last read of all records as current, once jobs that ended meanwhile have been removed."""
        completed = self.job_completion.completed_jobs
        for job_id in [job_id for job_id in self.registry.jobs if completed.get(job_id) is not None]:
            self.apply_removal(job_id, self.clock())
        self.election.record_current_read(self.token, self._read_sent_at)

    def _reread(self) -> None:
        """Read everything again, as the store no longer keeps the changes since the last read."""
        now = self.clock()
        live = self.read_all(now)
        removed = [
            job_id
            for job_id, job in self.registry.jobs.items()
            if job.is_live and job_id not in live and job.record_revision <= self.watched
        ]
        for job_id in removed:
            self.apply_removal(job_id, now)
        self.begin()
