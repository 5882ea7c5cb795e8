"""The users' interface: submission, status and cancellation of jobs. Every controller serves it.

A request that is answered has been decided by the key-value store: an accepted job is recorded there, and a status is
that of a moment after the question. What the store did not answer in time is answered with status 503.
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

#: a status that was read longer ago is not given as the present one; users do not wait longer for it either
STATUS_VALID_S = 2.0
#: users wait five seconds for anything else, so reads for one request take no longer than this in all
READ_LIMIT_S = 4.0
#: a single request to the store takes no longer than this
STORE_REQUEST_TIMEOUT_S = 1.5
#: with less time than this left, the store is not asked any more
MIN_STORE_REQUEST_S = 0.05
#: a transaction without an answer is repeated until so long after the request came
COMMIT_RETRY_LIMIT_S = 3.0
#: a transaction that accepts a job gets at least this long, and is not repeated with less left
MIN_ACCEPT_TIMEOUT_S = 0.3

#: `Retry-After` of answers that may be different soon, in seconds
RETRY_SOON_S = 1
#: the same while another cluster ends a job
RETRY_REMOTE_CANCELLATION_S = 2

STORE_UNREACHABLE = "the state service cannot be reached"


class JobRejectedError(GrebestandError):
    """A feature refuses a job."""

    def __init__(self, refusal: HookRefusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.text)


def _error(status: int, text: str, retry_after: int | None = None) -> Response:
    return Response(status, _json.encode({"error": text}), retry_after)


def _ignore_job(job_id: str) -> None:
    return


class JobApi:
    """Answers users' requests from the records of jobs in the key-value store."""

    def __init__(
        self,
        store: KeyValueStoreClient,
        teams: list[Team],
        value_bytes: int,
        wall: Callable[[], float],
        clock: Callable[[], float],
        machine_types: Callable[[], list[MachineType] | None],
        counts: Callable[[str], tuple[int, int]],
        completed_jobs: CompletedJobs,
        features: Features,
        batched_reads: BatchedReads | None = None,
        on_cancelled: Callable[[str], None] = _ignore_job,
        recall: Callable[[str], None] = _ignore_job,
    ) -> None:
        """Create the interface.

        Args:
            value_bytes: The largest value that may be written to the store.
            wall: The time of day, in seconds.
            clock: A steady clock, in seconds.
            counts: Returns the numbers of done and of running tasks of a job, as far as they are known.
            batched_reads: Reads shared by status requests; without them each reads for itself.
            on_cancelled: Called with a job whose user is about to be told that it is cancelled.
            recall: Asks whoever runs a gang in another cluster to end it.
        """
        self.store = store
        self.batched_reads = batched_reads
        self.teams = {team.name: team for team in teams}
        self.value_bytes = value_bytes
        self.wall = wall
        self.clock = clock
        self.machine_types = machine_types
        self.counts = counts
        self.completed_jobs = completed_jobs
        self.features = features
        self.on_cancelled = on_cancelled
        self.recall = recall

    # reads ------------------------------------------------------------------------------------------------

    def _request_timeout_s(self, until: float) -> float:
        """Return how long a request to the store may take if all reads are to end at `until`."""
        left_s = until - self.clock()
        if left_s < MIN_STORE_REQUEST_S:
            raise StoreError("it has taken too long already", possibly_applied=False)
        return min(STORE_REQUEST_TIMEOUT_S, left_s)

    def _completed(self, job_id: str, urgency: Urgency, until: float) -> CompletedJobRecord | None:
        """Read the record of a completed job, which never changes again."""
        known = self.completed_jobs.get(job_id)
        if known is not None:
            return known
        found = self.store.get(completed_key(job_id), urgency, self._request_timeout_s(until))
        if found is None:
            return None
        record = msgspec.convert(found.value, CompletedJobRecord)
        self.completed_jobs.remember(job_id, record)
        if record.state is JobStatus.CANCELLED:
            # the controller that committed it may have had no answer, so that this one is the first to tell a user
            self.on_cancelled(job_id)
        return record

    def _live(self, job_id: str, urgency: Urgency, until: float) -> tuple[int, bool]:
        """Read the version of a live record, 0 without one, and whether the job may run in another cluster.

        A status request may share its read, which does not tell where the job runs.
        """
        reads = self.batched_reads
        if reads is not None and urgency is Urgency.POLL:
            version = reads.live(job_id)
            if version:
                return version, False
        found = self.store.get(live_key(job_id), urgency, self._request_timeout_s(until))
        if found is None:
            return 0, False
        if reads is not None:
            reads.learn(job_id, found.version)
        return found.version, found.value.get("abroad") is not None

    def _lookup(self, job_id: str, urgency: Urgency, until: float) -> JobLookup | None:
        """Look a job up as of a moment after the request came.

        The live record is read first: a job that is completed meanwhile is then found in one of the two places.
        """
        completed = self.completed_jobs.get(job_id)
        if completed is None:
            asked_at = self.clock()
            version, abroad = self._live(job_id, urgency, until)
            if version:
                if self.clock() - asked_at > STATUS_VALID_S:
                    # this process stood still, and what was read may no longer be so
                    raise StoreError("what was read is too old", possibly_applied=False)
                done, running = self.counts(job_id)
                status = JobStatus.RUNNING if running else JobStatus.PENDING
                return JobLookup(status, done, running, version, abroad)
            completed = self._completed(job_id, urgency, until)
        return None if completed is None else JobLookup.of(completed)

    def _lookup_accepted(self, job_id: str, until: float) -> JobLookup:
        """Look up a job that is known to have been accepted."""
        found = self._lookup(job_id, Urgency.ACCEPT, until)
        if found is None:
            raise StoreError("the job's record moved while it was read", possibly_applied=True)
        return found

    @staticmethod
    def _view(status: int, job_id: str, known: JobLookup) -> Response:
        """Return the answer that describes a job; it is the same for all requests, so final states always agree."""
        return Response(status, _json.encode(JobStatusResponse(job_id, known.state, known.done, known.running)))

    # submission -------------------------------------------------------------------------------------------

    def submit(self, body: bytes) -> Response:
        """Accept a job (201), answer a repeated submission with the job's status (200), or say why neither is done."""
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
        """Return the job that a body describes and the record to be written for it."""
        spec = decode_spec(body)
        record = _json.encode(LiveJobRecord(spec, self.wall()))
        if len(record) > self.value_bytes:
            raise MalformedError("the job's description is too large to be kept")
        check_can_run(spec, self.teams, self.machine_types())
        refusal = self.features.first_refusal(spec)
        if refusal is not None:
            raise JobRejectedError(refusal)
        return spec, record

    def _refuse(self, job_id: str, error: MalformedError | UnsatisfiableJobError | JobRejectedError) -> Response:
        """Refuse a submission, unless its id is that of an accepted job: a repeat is known whatever else it says."""
        known = self._lookup(job_id, Urgency.ACCEPT, self.clock() + READ_LIMIT_S)
        if known is not None:
            return self._view(200, job_id, known)
        if isinstance(error, JobRejectedError):
            return _error(error.refusal.status, str(error), error.refusal.retry_after)
        log.info(LogEvent("job_refused", job_id=job_id, reason=error))
        return _error(422 if isinstance(error, UnsatisfiableJobError) else 400, str(error))

    def _accept(self, job_id: str, spec: JobSpec, record: bytes) -> Response:
        """Record a job, unless there is one of this id already."""
        completed = self.completed_jobs.get(job_id)
        if completed is not None:
            return self._view(200, job_id, JobLookup.of(completed))
        now = self.clock()
        read_until, retry_until = now + READ_LIMIT_S, now + COMMIT_RETRY_LIMIT_S
        reads = self.batched_reads
        if (reads is not None and reads.knows(job_id)) or any(self.counts(job_id)):
            # a transaction counts against the write rate even if its conditions fail, so a repeat is only read
            return self._view(200, job_id, self._lookup_accepted(job_id, read_until))
        version = self._create_record(job_id, record, retry_until)
        if version is None:
            return self._view(200, job_id, self._lookup_accepted(job_id, read_until))
        if reads is not None:
            reads.learn(job_id, version)
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
        return self._view(201, job_id, JobLookup(JobStatus.PENDING))

    def _create_record(self, job_id: str, record: bytes, retry_until: float) -> int | None:
        """Write a live record and return its version; None if the job has a record already.

        A transaction without an answer may have been carried out or not; repeating it on the same conditions settles
        that.
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
        """Answer with a job's status."""
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
        return self._view(200, job_id, known)

    # cancellation -----------------------------------------------------------------------------------------

    def cancel(self, job_id: str) -> Response:
        """Cancel a job, or answer with its status if it is over already."""
        if not JOB_ID.match(job_id):
            return _error(400, "malformed job id")
        try:
            return self._cancel(job_id)
        except StoreError as error:
            log.info(LogEvent("cancellation_failed", job_id=job_id, reason=error))
            return _error(503, STORE_UNREACHABLE, RETRY_SOON_S)

    def _cancel(self, job_id: str) -> Response:
        """Look the job up and complete it as cancelled, again if its record changes in between."""
        now = self.clock()
        read_until, retry_until = now + READ_LIMIT_S, now + COMMIT_RETRY_LIMIT_S
        while True:
            known = self._lookup(job_id, Urgency.ACCEPT, read_until)
            if known is None:
                return _error(404, "no such job")
            if known.state in (JobStatus.DONE, JobStatus.CANCELLED):
                return self._view(200, job_id, known)
            if known.abroad:
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
                return self._view(200, job_id, JobLookup.of(record))
            if self.clock() > retry_until:
                return _error(503, "the job changes too often", RETRY_SOON_S)

    # routing ----------------------------------------------------------------------------------------------

    def route(self, method: str, path: str, read_body: Callable[[], bytes]) -> Response:
        """Answer a request by its path: unknown paths with status 404, wrong methods with 405."""
        parts = path.split("?", 1)[0].strip("/").split("/")
        if parts[:2] != ["v2", "runs"] or len(parts) > 4 or (len(parts) == 4 and parts[3] != "abort"):
            return _error(404, "no such path")
        allowed_method = "GET" if len(parts) == 3 else "POST"
        if method != allowed_method:
            return Response(405, _json.encode({"error": f"use {allowed_method}"}), allow=allowed_method)
        if len(parts) == 2:
            return self.submit(read_body())
        return self.poll(parts[2]) if len(parts) == 3 else self.cancel(parts[2])
