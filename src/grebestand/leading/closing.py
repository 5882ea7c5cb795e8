"""Moves finished jobs from live to over, each in one transaction, and lets go of what only live jobs need."""

from __future__ import annotations

import logging

import msgspec

from ..books.jobs import Job
from ..features.hooks import Features
from ..limits.budget import Urgency
from ..outside.state import StateError
from ..records.finals import Finals
from ..records.jobs import OverRecord, ending, over_key
from ..states import JobState
from ..wire.jobs import JobView
from .basis import Basis, Part
from .grants import Grants
from .progress import Progress

log = logging.getLogger("grebestand.closing")

#: a final record that waited for so long, in seconds, shows that the budget of writes is short
SHORT_S = 1.0


class Closing(Part):
    def __init__(self, basis: Basis, grants: Grants, progress: Progress, finals: Finals, features: Features) -> None:
        super().__init__(basis)
        self.grants = grants
        self.progress = progress
        self.finals = finals
        self.features = features

    def close_jobs(self) -> None:
        """Moves finished jobs from live to over, each in one transaction."""
        for job in list(self.ledger.closing.values()):
            self._close(job)

    def _close(self, job: Job) -> None:
        ident = job.spec.id
        record = OverRecord(JobView.DONE, job.spec.tasks)
        conditions, changes = ending(ident, job.version, record)
        for hook in self.features.close:
            changes += hook(job, record)
        began = self.clock()
        try:
            _, failed = self.pen.commit(conditions, changes, Urgency.DONE)
        finally:
            if self.clock() - began >= SHORT_S:
                self.grants.save_writes()
        if failed:
            # either an earlier try of this commit was carried out after all, or a user's cancellation won
            found = self.pen.state.get(over_key(ident), Urgency.DONE)
            if found is None:
                raise StateError(f"{ident} is neither live nor over", maybe=True)
            record = msgspec.convert(found.value, OverRecord)
        now = self.clock()
        if job.state is JobState.CLOSING:
            self.ledger.move_job(job, JobState.DONE if record.state is JobView.DONE else JobState.CANCELLED, now)
        self.finals.remember(ident, record)
        self.ledger.closing.pop(ident, None)
        self.drop_records(job)
        self.ledger.drop_if_settled(job)
        age = now - job.accepted_at
        log.info("%s is %s, %.1f s after it was accepted", ident, record.state.value, age)
        if job.spec.deadline_s is not None and age > job.spec.deadline_s:
            log.info("%s of %s was due after %.1f s", ident, job.spec.klass, job.spec.deadline_s)

    def drop_records(self, job: Job) -> None:
        """What is kept of a job only while it is live; a reader passes over it once the job is over."""
        self.grants.pages.drop(job.spec.id, soon=False)
        self.progress.drop(job)
