"""Follows the live records: new jobs, and removals by whichever controller was asked to cancel."""

from __future__ import annotations

import logging
import math

import msgspec

from ..clients.kv_store import RevisionCompactedError, StoreError
from ..storage.job_records import LiveJobRecord
from ..wire.store import ChangeEvent
from .job_completion import JobCompletion
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)


class JobWatch(TermComponent):
    def __init__(self, context: TermContext, closing: JobCompletion) -> None:
        super().__init__(context)
        self.job_completion = closing
        #: the revision up to which changes are known
        self.watched = 0
        #: when the last reading of all records was begun
        self._read_at = -math.inf

    def take(self, value: object, version: int, now: float) -> None:
        record = msgspec.convert(value, LiveJobRecord)
        known = self.registry.jobs.get(record.spec.id)
        if known is not None:
            if known.abroad is not None and record.abroad is None and version > known.version:
                # its leader's own change, or its operators' word that the other cluster is lost for good
                known.version, known.abroad, known.away = version, None, False
                self.registry.changed = True
            return
        if self.job_completion.completed_jobs.get(record.spec.id) is not None:
            # what is over stays so: this was written before, and its removal is still to come this way. Taken for
            # live, it was started after its user had been told that it is cancelled
            return
        age = min(max(0.0, self.context.wall() - record.at), 86400.0)
        job = self.registry.add(record.spec, version, now - age, now)
        job.wait_since = now
        job.guest = record.guest
        if record.abroad is not None:
            job.abroad, job.away = record.abroad, True

    def watch(self) -> None:
        """Follows the live records: new jobs, and removals by whichever controller was asked to cancel."""
        self._follow(self.election.cancellation_horizon.watch_ms)

    def catch_up(self) -> None:
        """A current read, before a leader that had lost its authority answers anybody again.

        The watch may speak only later: one that came back after an outage started what had been cancelled a minute ago.
        """
        self._follow(0)

    def _follow(self, wait_ms: int) -> None:
        asked, since = self.clock(), self.watched
        try:
            events = self.writer.store.changes("live/", since, wait_ms)
        except RevisionCompactedError:
            self._reread()
            return
        if events.revision < since or any(e.version > events.revision for e in events.events):
            raise StoreError(f"revision {events.revision} after {since}: that cannot be", maybe=False)
        now = self.clock()
        for event in events.events:
            # two reads may be under way; what the later one has told is not to be undone by the earlier one
            if event.version > self.watched:
                self._take_event(event, now)
        self.watched = max(self.watched, events.revision)
        self.election.record_current_read(self.token, asked)

    def _take_event(self, event: ChangeEvent, now: float) -> None:
        if event.put is not None:
            self.take(event.value, event.version, now)
        elif event.delete is not None:
            self.removed(event.delete[5:], now)

    def removed(self, ident: str, now: float) -> None:
        job = self.registry.jobs.get(ident)
        if job is None or not job.live:
            return  # known already, or CLOSING: this leader's own commit, or one that settles it by failing
        log.info("%s was cancelled", ident)
        # it was live when all was last known, so nobody was told of this before
        job.may_answer_until = self.election.cancellation_horizon.may_answer_until()
        self.dispatch.cancel(job, now)
        self.job_completion.drop_records(job)

    def read_all(self, now: float) -> set[str]:
        """Takes all live records; the watch goes on from the revision of the first page."""
        asked = self.clock()
        seen: set[str] = set()
        first = 0
        for page in self.writer.store.scan("live/"):
            first = first or page.revision
            for pair in page.items:
                seen.add(pair.key[5:])
                self.take(pair.value, pair.version, now)
        self.watched = first
        self._read_at = asked
        return seen

    def begin(self) -> None:
        """All that was read is in the books, and so is what was heard of meanwhile."""
        for ident in [i for i in self.registry.jobs if self.job_completion.completed_jobs.get(i) is not None]:
            self.removed(ident, self.clock())
        self.election.record_current_read(self.token, self._read_at)

    def _reread(self) -> None:
        now = self.clock()
        seen = self.read_all(now)
        gone = [i for i, j in self.registry.jobs.items() if j.live and i not in seen and j.version <= self.watched]
        for ident in gone:
            self.removed(ident, now)
        self.begin()
