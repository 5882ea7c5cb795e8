"""Completes jobs: replaces the live record of a finished job by a final one, and drops its grants and progress."""

from __future__ import annotations

import logging

import msgspec

from ..clients.kv_store import StoreError
from ..cluster_state.jobs import Job
from ..features.hooks import Features
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..state_machines import JobState
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import CompletedJobRecord, completed_key, completion_transaction
from ..wire.jobs import JobStatus
from .durable_grants import DurableGrants
from .task_progress import TaskProgress
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: A commit that takes this long was delayed by the rate limit of writes, in seconds.
SLOW_COMMIT_S = 1.0


class JobCompletion(TermComponent):
    """Commits the final records of jobs whose tasks are all done."""

    def __init__(
        self,
        context: TermContext,
        *,
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

    def complete_jobs(self) -> None:
        """Complete all finished jobs, each in one transaction.

        Raises:
            FencedError: this term may no longer write.
            StoreError: the store could not be reached; the remaining jobs are completed by the next call.
        """
        for job in list(self.registry.closing_jobs.values()):
            self._complete(job)

    def _complete(self, job: Job) -> None:
        record = self._commit(job)
        now = self.clock()
        if job.state is JobState.CLOSING:
            is_done = record.state is JobStatus.DONE
            self.registry.change_job_state(job, JobState.DONE if is_done else JobState.CANCELLED, now)
        self.completed_jobs.remember(job.spec.id, record)
        self.registry.closing_jobs.pop(job.spec.id, None)
        self.drop_records(job)
        self.registry.remove_if_over(job)
        self._log_completion(job, record, now - job.accepted_at)

    def _commit(self, job: Job) -> CompletedJobRecord:
        """Commit the final record of a job, and return the final record that the store holds.

        Raises:
            FencedError: this term may no longer write.
            StoreError: the store could not be reached, or has neither a live nor a final record of the job.
        """
        job_id = job.spec.id
        record = CompletedJobRecord(JobStatus.DONE, job.spec.tasks)
        conditions, changes = completion_transaction(job_id, job.record_revision, record)
        for hook in self.features.close:
            changes += hook(job, record)
        commit_began_at = self.clock()
        try:
            _, failed = self.writer.commit(conditions, changes, Urgency.COMPLETION)
        finally:
            if self.clock() - commit_began_at >= SLOW_COMMIT_S:
                self.grants.conserve_writes()
        if not failed:
            return record
        # either an earlier attempt of this commit did succeed, or a user's cancellation was committed first
        found = self.writer.store.get(completed_key(job_id), Urgency.COMPLETION)
        if found is None:
            raise StoreError(f"{job_id} is neither live nor over", possibly_applied=True)
        return msgspec.convert(found.value, CompletedJobRecord)

    @staticmethod
    def _log_completion(job: Job, record: CompletedJobRecord, age_s: float) -> None:
        spec = job.spec
        log.info(LogEvent("job_finished", job_id=spec.id, state=record.state.value, age_s=age_s))
        if spec.deadline_s is not None and age_s > spec.deadline_s:
            log.info(
                LogEvent(
                    "job_deadline_missed", job_id=spec.id, class_=spec.klass, age_s=age_s, deadline_s=spec.deadline_s
                )
            )

    def drop_records(self, job: Job) -> None:
        """Drop the grants and the progress of a completed job, which readers ignore until they are deleted."""
        self.grants.pages.remove(job.spec.id, soon=False)
        self.progress.drop(job)
