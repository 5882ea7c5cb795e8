"""Durable coarse grants: where a job's tasks may have been started, written before any of them is sent."""

from __future__ import annotations

import logging
import math

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import StoreError
from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from ..storage.leader_records import GrantRecord
from .election import FencedError
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: machines that the grant of an array names before it says that tasks may be anywhere
MOST_NAMED = 16
#: while the budget of writes is short, and so long after, in seconds, an array is granted once for all its tasks
WHOLE_S = 15.0


class DurableGrants(TermComponent):
    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self.pages = self.writer.pages("grants/")
        self.granting = BoundedSemaphore(1)
        self.cover_task: gevent.Greenlet | None = None
        #: until when arrays are granted whole
        self.whole_until = -math.inf

    def load(self) -> None:
        grants: dict[str, GrantRecord] = {}
        for name, value in self.pages.load(self.writer.store.pairs(self.pages.prefix)):
            grant = msgspec.convert(value, GrantRecord)
            grants[name] = grant.joined(grants[name]) if name in grants else grant
        for name, grant in grants.items():
            job = self.registry.jobs.get(name)
            if job is None:
                self.pages.drop(name, soon=False)
            else:
                self._take(job, grant)

    def _take(self, job: Job, record: GrantRecord) -> None:
        """An earlier leader's grant: its machines have to be proved before unseen tasks start again. Machines
        without a record were deleted; a job without a grant was never started."""
        job.granted_hi = record.hi
        held: set[int] | None = None
        job.granted = None
        if record.machines is not None:
            held = {m.index for m in (self.inventory.by_name.get(n) for n in record.machines) if m is not None}
            job.granted = set(held)
        self.registry.add_possible_holders(job, held, min(record.hi, job.spec.tasks))

    def write(self) -> None:
        """Makes durable where queued tasks may be, before any of them is sent.

        A grant widens with its job: what it leaves out, a successor need not wait for. At hundreds of jobs a minute
        that took nine tenths of the budget of writes, and hardly a finished job was recorded: then one has to do.

        One at a time: a grant counts as wide as what was written, so nothing may replace it meanwhile.
        """
        with self.granting:
            jobs, self.dispatch.to_cover = self.dispatch.to_cover, {}
            due = [j for j in jobs.values() if j.live and any(not j.covers(p) for p in j.allocations.values())]
            batch = [self._widened(job) for job in due]
            if not batch:
                return
            for job, record, _ in batch:
                self.pages.put(job.spec.id, record)
            try:
                self.pages.save(Urgency.ACCEPT)
            except BaseException:
                self.dispatch.to_cover.update(jobs)
                raise
            now = self.clock()
            for job, record, machines in batch:
                if job.stages is not None:
                    job.stages.covered = now
                job.granted_hi = max(job.granted_hi, record.hi)
                if record.machines is None or job.granted is None:
                    job.granted = None
                else:
                    job.granted |= machines

    def save_writes(self) -> None:
        """What matters less than grants waits for its writes."""
        self.whole_until = self.clock() + WHOLE_S

    def cover(self) -> None:
        """Grants are written ahead of the reports that fetch the starts, so that no worker has to wait."""
        if self.dispatch.to_cover:
            self.covering().join()

    def covering(self) -> gevent.Greenlet:
        """The writing of grants that is under way, or a new one."""
        if self.cover_task is None or self.cover_task.ready():
            self.cover_task = gevent.spawn(self._try_grants)
        return self.cover_task

    def _try_grants(self) -> None:
        try:
            self.write()
        except (StoreError, FencedError) as e:
            log.info("starts wait for their grants: %s", e)

    def _widened(self, job: Job) -> tuple[Job, GrantRecord, set[int]]:
        if not job.gang and self.clock() < self.whole_until:
            return job, GrantRecord(job.spec.tasks, None), set()
        queued = [p for p in job.allocations.values() if not job.covers(p)]
        machines = {p.machine for p in queued} | (job.granted or set())
        # somewhat further than needed, so that the next few tasks need no write
        hi = max([job.granted_hi, *(p.index + 1 for p in queued)])
        if hi > job.granted_hi:
            hi = min(job.spec.tasks, hi + max(4, hi // 2))
        if job.granted and not job.gang and len(machines) > MOST_NAMED:
            # tasks of a wide array come to ever more machines: one write for each would use up the budget
            record = GrantRecord(hi, None)
            return job, record, set()
        known = [m for m in (self.inventory.at(i) for i in machines) if m is not None]
        record = GrantRecord(hi, sorted(m.name for m in known))
        if job.granted is None or len(msgspec.json.encode(record)) > self.writer.value_bytes // 4:
            record.machines = None
        return job, record, {m.index for m in known}
