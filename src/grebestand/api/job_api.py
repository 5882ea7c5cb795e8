"""The HTTP interface for users, served by every controller: submission, status and cancellation of jobs.

Responses are based on the key-value store: an accepted job has been recorded there, and a job's status was current at
some moment after the request arrived. A request is answered with status 503 if the store does not respond in time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from ..clients.kv_store import KeyValueStoreClient, StoreError, key_absent, put
from ..errors import GrebestandError
from ..features.hooks import Features, HookRefusal
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..settings.platform import Team
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import CompletedJobRecord, LiveJobRecord, completed_key, completion_transaction, live_key
from ..wire.cloud import MachineType
from ..wire.jobs import (
    JOB_ID,
    MAX_SUBMISSION_BYTES,
    JobSpec,
    JobStatus,
    JobStatusResponse,
    MalformedError,
    decode_spec,
    peek_id,
)
from .job_feasibility import UncertainStateError, UnsatisfiableJobError, check_can_run
from .job_lookup import JobLookup
from .read_batching import BatchedReads
from .response import Response

log = logging.getLogger(__name__)

_json = msgspec.json.Encoder()

#: Maximum age of a status given to a user, and time limit of a status request; users wait no longer for a status.
STATUS_VALID_S = 2.0
#: Time limit for all reads of a request other than a status request; users wait five seconds for such a response.
READ_LIMIT_S = 4.0
#: Timeout of a single request to the store.
STORE_REQUEST_TIMEOUT_S = 1.5
#: Minimum remaining time for which another request to the store is sent.
MIN_STORE_REQUEST_S = 0.05
#: Time after the arrival of a user's request until which a transaction without a response is retried.
COMMIT_RETRY_LIMIT_S = 3.0
#: Minimum timeout of a transaction that accepts a job, and minimum remaining time for retrying such a transaction.
MIN_ACCEPT_TIMEOUT_S = 0.3

#: `Retry-After` of responses whose cause is likely to pass soon, in seconds.
RETRY_SOON_S = 1
#: `Retry-After` of a cancellation that has to wait for another cluster to stop the job, in seconds.
RETRY_REMOTE_CANCELLATION_S = 2

STORE_UNREACHABLE = "the state service cannot be reached"


class JobRejectedError(GrebestandError):
    """A feature's hook refuses a job."""

    def __init__(self, refusal: HookRefusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.text)


def _error(status: int, text: str, retry_after: int | None = None) -> Response:
    return Response(status, _json.encode({"error": text}), retry_after)


def _ignore_job(job_id: str) -> None:
    return


class JobApi:
    """Answers users' requests by means of the job records in the key-value store."""

    def __init__(
        self,
        store: KeyValueStoreClient,
        teams: list[Team],
        max_value_bytes: int,
        wall_clock: Callable[[], float],
        clock: Callable[[], float],
        machine_types: Callable[[], list[MachineType] | None],
        task_counts: Callable[[str], tuple[int, int]],
        completed_jobs: CompletedJobs,
        features: Features,
        batched_reads: BatchedReads | None = None,
        on_cancelled: Callable[[str], None] = _ignore_job,
        recall: Callable[[str], None] = _ignore_job,
    ) -> None:
        """Create the interface.

        Args:
            store: Client of the key-value store.
            teams: Teams that may submit jobs, with their limits.
            max_value_bytes: Size limit of a value written to the store, in bytes.
            wall_clock: The time of day, in seconds.
            clock: A monotonic clock, in seconds.
            machine_types: Returns the machine types that the cloud offers, or None while they are not known.
            task_counts: Returns the numbers of done and of running tasks of a job, as far as they are known.
            completed_jobs: Cache of completed jobs.
            features: Hooks of the features, which may refuse jobs.
            batched_reads: Reads shared by concurrent status requests; without them each request reads separately.
            on_cancelled: Called with the id of a job whose cancellation is about to be confirmed to a user.
            recall: Requests that the other cluster which may run a job stops it; called with the job's id.
        """
        self.store = store
        self.batched_reads = batched_reads
        self.teams = {team.name: team for team in teams}
        self.max_value_bytes = max_value_bytes
        self.wall_clock = wall_clock
        self.clock = clock
        self.machine_types = machine_types
        self.task_counts = task_counts
        self.completed_jobs = completed_jobs
        self.features = features
        self.on_cancelled = on_cancelled
        self.recall = recall

    # reads ------------------------------------------------------------------------------------------------

    def _request_timeout_s(self, until: float) -> float:
        """Return the timeout in seconds of a request to the store if all reads have to end by the time `until`.

        Raises:
            StoreError: Less than `MIN_STORE_REQUEST_S` is left.
        """
        left_s = until - self.clock()
        if left_s < MIN_STORE_REQUEST_S:
            raise StoreError("it has taken too long already", possibly_applied=False)
        return min(STORE_REQUEST_TIMEOUT_S, left_s)

    def _read_completed_record(self, job_id: str, urgency: Urgency, until: float) -> CompletedJobRecord | None:
        """Return the record of a completed job, cached if possible as it never changes, or None without a record."""
        known = self.completed_jobs.get(job_id)
        if known is not None:
            return known
        found = self.store.get(completed_key(job_id), urgency, self._request_timeout_s(until))
        if found is None:
            return None
        record = msgspec.convert(found.value, CompletedJobRecord)
        self.completed_jobs.remember(job_id, record)
        if record.state is JobStatus.CANCELLED:
            # the controller that committed the cancellation may have got no response from the store and thus confirmed
            # nothing, so this controller may be the first to confirm the cancellation to a user
            self.on_cancelled(job_id)
        return record

    def _read_live_record(self, job_id: str, urgency: Urgency, until: float) -> tuple[int, bool]:
        """Read the live record of a job.

        Returns:
            The version of the record, 0 if there is none, and whether the job may run in another cluster. The latter
            is always False for a status request answered by a batched read, which compares versions only.
        """
        reads = self.batched_reads
        if reads is not None and urgency is Urgency.POLL:
            version = reads.confirm_live_version(job_id)
            if version:
                return version, False
        found = self.store.get(live_key(job_id), urgency, self._request_timeout_s(until))
        if found is None:
            return 0, False
        if reads is not None:
            reads.remember_version(job_id, found.version)
        # `abroad` is the stored name of `LiveJobRecord.remote_assignment`
        return found.version, found.value.get("abroad") is not None

    def _lookup(self, job_id: str, urgency: Urgency, until: float) -> JobLookup | None:
        """Look up a job as of some moment after the request arrived; return None if the job is unknown.

        The live record is read before the record of the completed job, so that a job which is completed between the two
        reads is found by the second.

        Raises:
            StoreError: The store did not respond in time, or the read took longer than `STATUS_VALID_S`.
        """
        completed = self.completed_jobs.get(job_id)
        if completed is None:
            read_began_at = self.clock()
            version, may_run_remotely = self._read_live_record(job_id, urgency, until)
            if version:
                if self.clock() - read_began_at > STATUS_VALID_S:
                    # this process was stalled, so the version read may be outdated
                    raise StoreError("what was read is too old", possibly_applied=False)
                done, running = self.task_counts(job_id)
                status = JobStatus.RUNNING if running else JobStatus.PENDING
                return JobLookup(status, done, running, version, may_run_remotely)
            completed = self._read_completed_record(job_id, urgency, until)
        return None if completed is None else JobLookup.from_record(completed)

    def _lookup_accepted(self, job_id: str, until: float) -> JobLookup:
        """Look up a job that is known to have been accepted.

        Raises:
            StoreError: The store did not respond in time, or neither of the job's two possible records was found.
        """
        found = self._lookup(job_id, Urgency.ACCEPT, until)
        if found is None:
            raise StoreError("the job's record moved while it was read", possibly_applied=True)
        return found

    @staticmethod
    def _job_response(status: int, job_id: str, known: JobLookup) -> Response:
        """Return the response that describes a job.

        All kinds of requests use this format, so that they agree on the final state of a job.
        """
        return Response(status, _json.encode(JobStatusResponse(job_id, known.state, known.done, known.running)))

    # submission -------------------------------------------------------------------------------------------

    def submit(self, body: bytes) -> Response:
        """Accept a job (201), answer a repeated submission with the job's status (200), or return an error."""
        if len(body) > MAX_SUBMISSION_BYTES:
            return _error(400, "the body is over 64 KiB")
        try:
            job_id = peek_id(body)
        except MalformedError as error:
            return _error(400, str(error))
        try:
            try:
                spec, record = self._check_submission(body)
            except (MalformedError, UnsatisfiableJobError, JobRejectedError) as error:
                return self._refuse(job_id, error)
            return self._accept(job_id, spec, record)
        except UncertainStateError as error:
            return _error(503, str(error), RETRY_SOON_S)
        except StoreError as error:
            log.info(LogEvent("submission_failed", job_id=job_id, reason=error))
            return _error(503, STORE_UNREACHABLE, RETRY_SOON_S)

    def _check_submission(self, body: bytes) -> tuple[JobSpec, bytes]:
        """Decode and check a submission.

        Returns:
            The job, and the encoded live record to be written for it.

        Raises:
            MalformedError: The body does not describe a job, or the record would exceed the store's size limit.
            UnsatisfiableJobError: The job could never run in this cluster.
            UncertainStateError: The machine types are not known yet.
            JobRejectedError: A feature refuses the job.
        """
        spec = decode_spec(body)
        record = _json.encode(LiveJobRecord(spec, self.wall_clock()))
        if len(record) > self.max_value_bytes:
            raise MalformedError("the job's description is too large to be kept")
        check_can_run(spec, self.teams, self.machine_types())
        refusal = self.features.first_refusal(spec)
        if refusal is not None:
            raise JobRejectedError(refusal)
        return spec, record

    def _refuse(self, job_id: str, error: MalformedError | UnsatisfiableJobError | JobRejectedError) -> Response:
        """Reject a submission because of `error`, or return the job's status if a job of this id has been accepted.

        A repeated submission is recognised by its id alone, whatever its other fields are.
        """
        known = self._lookup(job_id, Urgency.ACCEPT, self.clock() + READ_LIMIT_S)
        if known is not None:
            return self._job_response(200, job_id, known)
        if isinstance(error, JobRejectedError):
            return _error(error.refusal.status, str(error), error.refusal.retry_after)
        log.info(LogEvent("job_refused", job_id=job_id, reason=error))
        return _error(422 if isinstance(error, UnsatisfiableJobError) else 400, str(error))

    def _accept(self, job_id: str, spec: JobSpec, record: bytes) -> Response:
        """Record a job, or return the status of an earlier job with this id."""
        completed = self.completed_jobs.get(job_id)
        if completed is not None:
            return self._job_response(200, job_id, JobLookup.from_record(completed))
        now = self.clock()
        read_until, retry_until = now + READ_LIMIT_S, now + COMMIT_RETRY_LIMIT_S
        reads = self.batched_reads
        if (reads is not None and reads.knows(job_id)) or any(self.task_counts(job_id)):
            # a transaction counts against the store's write rate even if its conditions fail, so a repeated submission
            # that is recognised beforehand only reads
            return self._job_response(200, job_id, self._lookup_accepted(job_id, read_until))
        version = self._create_record(job_id, record, retry_until)
        if version is None:
            return self._job_response(200, job_id, self._lookup_accepted(job_id, read_until))
        if reads is not None:
            reads.remember_version(job_id, version)
        log.info(
            LogEvent(
                "job_accepted",
                job_id=job_id,
                kind=spec.kind.name.lower(),
                tasks=spec.tasks,
                class_=spec.klass,
                team=spec.team,
            )
        )
        return self._job_response(201, job_id, JobLookup(JobStatus.PENDING))

    def _create_record(self, job_id: str, record: bytes, retry_until: float) -> int | None:
        """Write a live record unless the job has a record already.

        A transaction without a response may or may not have been applied. Retrying it with the same conditions is safe,
        as it fails if the first one was applied.

        Returns:
            The version of the new record, or None if the job has a record already, possibly written by an unanswered
            attempt of this call.

        Raises:
            StoreError: The store rejected the transaction, or did not respond by the time `retry_until`.
        """
        conditions = [key_absent(live_key(job_id)), key_absent(completed_key(job_id))]
        changes = [put(live_key(job_id), msgspec.Raw(record))]
        while True:
            timeout_s = min(STORE_REQUEST_TIMEOUT_S, max(MIN_ACCEPT_TIMEOUT_S, retry_until - self.clock()))
            try:
                revision, failed = self.store.commit(conditions, changes, Urgency.ACCEPT, timeout=timeout_s)
            except StoreError as error:
                if not error.possibly_applied or self.clock() > retry_until - MIN_ACCEPT_TIMEOUT_S:
                    raise
                continue
            return None if failed else revision

    # status -----------------------------------------------------------------------------------------------

    def poll(self, job_id: str) -> Response:
        """Return a job's status (200), or an error: 400 for a malformed id, 404 for an unknown job, 503."""
        if not JOB_ID.match(job_id):
            return _error(400, "malformed job id")
        try:
            known = self._lookup(job_id, Urgency.POLL, self.clock() + STATUS_VALID_S)
        except StoreError as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(LogEvent("status_request_failed", job_id=job_id, reason=error))
            return _error(503, STORE_UNREACHABLE, RETRY_SOON_S)
        if known is None:
            return _error(404, "no such job")
        return self._job_response(200, job_id, known)

    # cancellation -----------------------------------------------------------------------------------------

    def cancel(self, job_id: str) -> Response:
        """Cancel a job; return its status (200), which is that of a completed job if it had completed before."""
        if not JOB_ID.match(job_id):
            return _error(400, "malformed job id")
        try:
            return self._cancel(job_id)
        except StoreError as error:
            log.info(LogEvent("cancellation_failed", job_id=job_id, reason=error))
            return _error(503, STORE_UNREACHABLE, RETRY_SOON_S)

    def _cancel(self, job_id: str) -> Response:
        """Look up a job and record it as cancelled, with retries if its live record changes in between.

        Raises:
            StoreError: The store did not respond in time.
        """
        now = self.clock()
        read_until, retry_until = now + READ_LIMIT_S, now + COMMIT_RETRY_LIMIT_S
        while True:
            known = self._lookup(job_id, Urgency.ACCEPT, read_until)
            if known is None:
                return _error(404, "no such job")
            if known.state in (JobStatus.DONE, JobStatus.CANCELLED):
                return self._job_response(200, job_id, known)
            if known.may_run_remotely:
                self.recall(job_id)
                return _error(503, "another cluster runs it and is asked to end it", RETRY_REMOTE_CANCELLATION_S)
            record = CompletedJobRecord(JobStatus.CANCELLED, known.done)
            conditions, changes = completion_transaction(job_id, known.version, record)
            timeout_s = self._request_timeout_s(read_until)
            try:
                _, failed = self.store.commit(conditions, changes, Urgency.ACCEPT, timeout_s)
            except StoreError as error:
                if not error.possibly_applied or self.clock() > retry_until:
                    raise
                continue
            if not failed:
                self.completed_jobs.remember(job_id, record)
                log.info(LogEvent("cancellation_confirmed", job_id=job_id))
                self.on_cancelled(job_id)
                return self._job_response(200, job_id, JobLookup.from_record(record))
            if self.clock() > retry_until:
                return _error(503, "the job changes too often", RETRY_SOON_S)

    # routing ----------------------------------------------------------------------------------------------

    def route(self, method: str, path: str, read_body: Callable[[], bytes]) -> Response:
        """Dispatch a request by path and method; unknown paths get status 404, and wrong methods 405."""
        parts = path.split("?", 1)[0].strip("/").split("/")
        if parts[:2] != ["v2", "runs"] or len(parts) > 4 or (len(parts) == 4 and parts[3] != "abort"):
            return _error(404, "no such path")
        allowed_method = "GET" if len(parts) == 3 else "POST"
        if method != allowed_method:
            return Response(405, _json.encode({"error": f"use {allowed_method}"}), allow=allowed_method)
        if len(parts) == 2:
            return self.submit(read_body())
        return self.poll(parts[2]) if len(parts) == 3 else self.cancel(parts[2])
