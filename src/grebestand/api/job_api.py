"""The users' interface: submissions, polls, cancellations. Any controller serves it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..clients.kv_store import KeyValueStoreClient, StoreError, absent, put
from ..cluster_state.resources import fits, machine_capacity, task_resources
from ..features.hooks import Features, HookRefusal
from ..flow_control.rate_limiter import Urgency
from ..settings.platform import Team
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import CompletedJobRecord, LiveJobRecord, completed_key, completion_transaction, live_key
from ..wire.cloud import MachineType
from ..wire.jobs import (
    JOB_ID,
    MAX_BODY,
    JobSpec,
    JobStatus,
    JobStatusResponse,
    Kind,
    MalformedError,
    decode_spec,
    peek_id,
)
from .read_batching import BatchedReads
from .response import Response

log = logging.getLogger(__name__)

_json = msgspec.json.Encoder()

#: what was asked for longer ago, in seconds, is not told as the present state; users do not wait for longer than this
CURRENT_S = 2.0
#: users wait for five seconds for anything else; what is read for them takes no longer than this, in seconds, and a
#: single request no longer than the other
ANSWER_S, REQUEST_S = 4.0, 1.5


class UnsatisfiableJobError(ValueError):
    """Well-formed, but it can never run: status 422."""


class JobRejectedError(Exception):
    """A feature does not let it in."""

    def __init__(self, refusal: HookRefusal) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal


class UncertainStateError(Exception):
    """Cannot be decided now: status 503."""


def _error(status: int, text: str, retry_after: int | None = None) -> Response:
    return Response(status, _json.encode({"error": text}), retry_after)


def _ignore_job(job_id: str) -> None:
    return


class JobLookup(NamedTuple):
    """What is known of a job: its state for its user, its counts, and of a live one its record's version."""

    state: JobStatus
    done: int = 0
    running: int = 0
    version: int = 0
    #: another cluster runs it, or may come to run it
    abroad: bool = False

    @classmethod
    def of(cls, record: CompletedJobRecord) -> JobLookup:
        """What is told of a job that is over."""
        return cls(record.state, record.tasks if record.state is JobStatus.DONE else 0)


class JobApi:
    def __init__(
        self,
        state: KeyValueStoreClient,
        teams: list[Team],
        zones: list[str],
        value_bytes: int,
        wall: Callable[[], float],
        clock: Callable[[], float],
        machine_types: Callable[[], list[MachineType] | None],
        counts: Callable[[str], tuple[int, int]],
        completed_jobs: CompletedJobs,
        features: Features,
        current: BatchedReads | None = None,
        on_cancelled: Callable[[str], None] = _ignore_job,
        recall: Callable[[str], None] = _ignore_job,
    ) -> None:
        self.store = state
        #: shared reads, for polls; without them each reads for itself
        self.current = current
        self.teams = {t.name: t for t in teams}
        self.zones = zones
        self.value_bytes = value_bytes
        self.wall = wall
        self.clock = clock
        self.machine_types = machine_types
        self.counts = counts
        self.completed_jobs = completed_jobs
        #: told of a job of which a user here is about to be told that it is cancelled
        self.on_cancelled = on_cancelled
        #: asks whoever runs a gang in another cluster to end it
        self.recall = recall
        self.features = features

    # shared -----------------------------------------------------------------------------------------------

    def _left(self, until: float) -> float:
        """How long a request may take, in seconds."""
        left = until - self.clock()
        if left < 0.05:
            raise StoreError("it has taken too long already", maybe=False)
        return min(REQUEST_S, left)

    def _final(self, ident: str, urgency: Urgency, until: float) -> CompletedJobRecord | None:
        known = self.completed_jobs.get(ident)
        if known is not None:
            return known
        found = self.store.get(completed_key(ident), urgency, self._left(until))
        if found is None:
            return None
        record = msgspec.convert(found.value, CompletedJobRecord)
        self.completed_jobs.remember(ident, record)
        if record.state is JobStatus.CANCELLED:
            # by a controller whose commit nobody answered, it may be; this one is the first to tell a user, then
            self.on_cancelled(ident)
        return record

    def _live(self, ident: str, urgency: Urgency, until: float) -> tuple[int, bool]:
        """The version of its live record, 0 if there is none, and whether it may run elsewhere; a current read."""
        current = self.current
        if current is not None and urgency is Urgency.POLL:
            version = current.live(ident)
            if version:
                return version, False  # who polls is not told where it runs
        found = self.store.get(live_key(ident), urgency, self._left(until))
        if found is None:
            return 0, False
        if current is not None:
            current.learn(ident, found.version)
        return found.version, found.value.get("abroad") is not None

    def _lookup(self, ident: str, urgency: Urgency, until: float) -> JobLookup | None:
        """A job's state as of a moment after the question came, its counts, and its live record's version.

        The live record is read first: a job on its way out is then found in one of the two places.
        """
        known = self.completed_jobs.get(ident)
        if known is None:
            asked = self.clock()
            version, abroad = self._live(ident, urgency, until)
            if version:
                if self.clock() - asked > CURRENT_S:
                    # this controller has stood still: what was so then may not be so now
                    raise StoreError("what was read is too old", maybe=False)
                done, running = self.counts(ident)
                view = JobStatus.RUNNING if running else JobStatus.PENDING
                return JobLookup(view, done, running, version, abroad)
            known = self._final(ident, urgency, until)
        return None if known is None else JobLookup.of(known)

    @staticmethod
    def _view(status: int, ident: str, known: JobLookup) -> Response:
        """Every answer that tells of a job, whatever was asked: its final state reads the same at all times."""
        return Response(status, _json.encode(JobStatusResponse(ident, known.state, known.done, known.running)))

    # requests ---------------------------------------------------------------------------------------------

    def submit(self, body: bytes) -> Response:
        if len(body) > MAX_BODY:
            return _error(400, "the body is over 64 KiB")
        try:
            ident = peek_id(body)
        except MalformedError as e:
            return _error(400, str(e))
        try:
            try:
                spec = decode_spec(body)
                record = _json.encode(LiveJobRecord(spec, self.wall()))
                if len(record) > self.value_bytes:
                    raise MalformedError("the job's description is too large to be kept")
                self.check_can_run(spec)
                refusal = self.features.refusal(spec)
                if refusal is not None:
                    raise JobRejectedError(refusal)
            except (MalformedError, UnsatisfiableJobError, JobRejectedError) as e:
                # a repeat of an accepted job is known by its id, whatever else the body says
                known = self._lookup(ident, Urgency.ACCEPT, self.clock() + ANSWER_S)
                if known is not None:
                    return self._view(200, ident, known)
                if isinstance(e, JobRejectedError):
                    return _error(e.refusal.status, str(e), e.refusal.retry_after)
                log.info("refused %s: %s", ident, e)
                return _error(422 if isinstance(e, UnsatisfiableJobError) else 400, str(e))
            return self._accept(ident, spec, record)
        except UncertainStateError as e:
            return _error(503, str(e), 1)
        except StoreError as e:
            log.info("submission of %s not taken: %s", ident, e)
            return _error(503, "the state service cannot be reached", 1)

    def _accept(self, ident: str, spec: JobSpec, record: bytes) -> Response:
        known = self.completed_jobs.get(ident)
        if known is not None:
            return self._view(200, ident, JobLookup.of(known))
        until, end = self.clock() + ANSWER_S, self.clock() + 3.0
        if (self.current is not None and self.current.knows(ident)) or any(self.counts(ident)):
            # a transaction counts against the writes also where its conditions fail; a repeat is told by a read
            return self._view(200, ident, self._there(ident, until))
        value = msgspec.Raw(record)
        while True:
            try:
                revision, failed = self.store.commit(
                    [absent(live_key(ident)), absent(completed_key(ident))],
                    [put(live_key(ident), value)],
                    Urgency.ACCEPT,
                    timeout=min(REQUEST_S, max(0.3, end - self.clock())),
                )
            except StoreError as e:
                # without an answer it may be in or not; asking again with the same conditions settles it
                if not e.maybe or self.clock() > end - 0.3:
                    raise
                continue
            if not failed:
                if self.current is not None:
                    self.current.learn(ident, revision)
                kind = spec.kind.name.lower()
                log.info("accepted %s: %s of %d tasks of %s for %s", ident, kind, spec.tasks, spec.klass, spec.team)
                return self._view(201, ident, JobLookup(JobStatus.PENDING))
            return self._view(200, ident, self._there(ident, until))

    def _there(self, ident: str, until: float) -> JobLookup:
        """What is known of a job that was accepted."""
        found = self._lookup(ident, Urgency.ACCEPT, until)
        if found is None:
            raise StoreError("the job's record moved while it was read", maybe=True)
        return found

    def check_can_run(self, spec: JobSpec) -> None:
        team = self.teams.get(spec.team)
        if team is None:
            raise UnsatisfiableJobError("unknown team")
        n = 1 if spec.kind is Kind.ARRAY else spec.tasks
        over_cpus = team.cpus_max > 0 and n * spec.cpus > team.cpus_max + 1e-6  # 0: no limit (`cluster_state.teams`)
        if over_cpus or n * spec.gpus > team.gpus_max + 1e-6:
            raise UnsatisfiableJobError("the job needs more than its team's limit")
        types = self.machine_types()
        if types is None:
            raise UncertainStateError("the machine types are not known yet")
        size = task_resources(spec)
        for t in types:
            if spec.types is not None and t.name not in spec.types:
                continue
            if spec.zone is not None and spec.zone not in t.zones:
                continue
            if fits(size, machine_capacity(t)):
                return
        raise UnsatisfiableJobError("a task fits no allowed machine type")

    def poll(self, ident: str) -> Response:
        if not JOB_ID.match(ident):
            return _error(400, "malformed job id")
        try:
            known = self._lookup(ident, Urgency.POLL, self.clock() + CURRENT_S)
        except StoreError as e:
            log.debug("poll of %s not answered: %s", ident, e)
            return _error(503, "the state service cannot be reached", 1)
        if known is None:
            return _error(404, "no such job")
        return self._view(200, ident, known)

    def cancel(self, ident: str) -> Response:
        if not JOB_ID.match(ident):
            return _error(400, "malformed job id")
        until, end = self.clock() + ANSWER_S, self.clock() + 3.0
        try:
            while True:
                known = self._lookup(ident, Urgency.ACCEPT, until)
                if known is None:
                    return _error(404, "no such job")
                if known.state in (JobStatus.DONE, JobStatus.CANCELLED):
                    return self._view(200, ident, known)
                if known.abroad:
                    self.recall(ident)
                    return _error(503, "another cluster runs it and is asked to end it", 2)
                record = CompletedJobRecord(JobStatus.CANCELLED, known.done)
                try:
                    _, failed = self.store.commit(
                        *completion_transaction(ident, known.version, record), Urgency.ACCEPT, self._left(until)
                    )
                except StoreError as e:
                    if not e.maybe or self.clock() > end:
                        raise
                    continue
                if not failed:
                    self.completed_jobs.remember(ident, record)
                    log.info("cancelled %s", ident)
                    self.on_cancelled(ident)
                    return self._view(200, ident, JobLookup.of(record))
                if self.clock() > end:
                    return _error(503, "the job changes too often", 1)
        except StoreError as e:
            log.info("cancellation of %s not taken: %s", ident, e)
            return _error(503, "the state service cannot be reached", 1)

    def route(self, method: str, path: str, read: Callable[[], bytes]) -> Response:
        """Users' paths only; anything else is 404, and a wrong method 405."""
        parts = path.split("?", 1)[0].strip("/").split("/")
        if parts[:2] != ["v2", "runs"] or len(parts) > 4 or (len(parts) == 4 and parts[3] != "abort"):
            return _error(404, "no such path")
        want = "GET" if len(parts) == 3 else "POST"
        if method != want:
            return Response(405, _json.encode({"error": f"use {want}"}), allow=want)
        if len(parts) == 2:
            return self.submit(read())
        return self.poll(parts[2]) if len(parts) == 3 else self.cancel(parts[2])
