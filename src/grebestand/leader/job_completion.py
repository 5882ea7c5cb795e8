"""Moves finished jobs from live to over, each in one transaction, and lets go of what only live jobs need."""

from __future__ import annotations

import logging

import msgspec

from ..clients.kv_store import StoreError
from ..cluster_state.jobs import Job
from ..features.hooks import Features
from ..flow_control.rate_limiter import Urgency
from ..state_machines import JobState
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import CompletedJobRecord, completed_key, completion_transaction
from ..wire.jobs import JobStatus
from .durable_grants import DurableGrants
from .task_progress import TaskProgress
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: a final record that waited for so long, in seconds, shows that the budget of writes is short
SHORT_S = 1.0


class JobCompletion(TermComponent):
    def __init__(
        self,
        context: TermContext,
        grants: DurableGrants,
        progress: TaskProgress,
        completed_jobs: CompletedJobs,
        features: Features,
    ) -> None:
        super().__init__(context)
        self.grants = grants
        self.progress = progress
        self.completed_jobs = completed_jobs
        self.features = features

    def close_jobs(self) -> None:
        """Moves finished jobs from live to over, each in one transaction."""
        for job in list(self.registry.finishing.values()):
            self._close(job)

    def _close(self, job: Job) -> None:
        ident = job.spec.id
        record = CompletedJobRecord(JobStatus.DONE, job.spec.tasks)
        conditions, changes = completion_transaction(ident, job.version, record)
        for hook in self.features.close:
            changes += hook(job, record)
        began = self.clock()
        try:
            _, failed = self.writer.commit(conditions, changes, Urgency.DONE)
        finally:
            if self.clock() - began >= SHORT_S:
                self.grants.save_writes()
        if failed:
            # either an earlier try of this commit was carried out after all, or a user's cancellation won
            found = self.writer.store.get(completed_key(ident), Urgency.DONE)
            if found is None:
                raise StoreError(f"{ident} is neither live nor over", maybe=True)
            record = msgspec.convert(found.value, CompletedJobRecord)
        now = self.clock()
        if job.state is JobState.CLOSING:
            self.registry.move_job(job, JobState.DONE if record.state is JobStatus.DONE else JobState.CANCELLED, now)
        self.completed_jobs.remember(ident, record)
        self.registry.finishing.pop(ident, None)
        self.drop_records(job)
        self.registry.drop_if_settled(job)
        age = now - job.accepted_at
        log.info("%s is %s, %.1f s after it was accepted", ident, record.state.value, age)
        if job.spec.deadline_s is not None and age > job.spec.deadline_s:
            log.info("%s of %s was due after %.1f s", ident, job.spec.klass, job.spec.deadline_s)

    def drop_records(self, job: Job) -> None:
        """What is kept of a job only while it is live; a reader passes over it once the job is over."""
        self.grants.pages.drop(job.spec.id, soon=False)
        self.progress.drop(job)
