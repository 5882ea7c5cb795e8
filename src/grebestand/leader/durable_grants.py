"""Durable coarse grants: on which machines a job's tasks may have been started, written before any of them is sent.

A later leader reads the grants and waits only for machines that may run what it has not seen. Grants are coarse, as a
write for each task would use up the rate limit of the key-value store.
"""

from __future__ import annotations

import logging
import math
from typing import NamedTuple

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import StoreError
from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..storage.leader_records import GrantRecord
from .election import FencedError
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: The grant of an array names up to this many machines; a wider one says that tasks may be on any machine.
MAX_NAMED_MACHINES = 16
#: After a sign that writes are short, arrays are granted once for all their tasks for this long.
WHOLE_GRANTS_S = 15.0
#: A grant covers this many tasks more than are queued, or half as many as it covers, whichever is more, so that the
#: next few tasks need no write.
MIN_GRANTED_AHEAD, GRANTED_AHEAD_SHARE = 4, 2
#: A grant that takes more than this part of a stored value names no machines.
MAX_VALUE_SHARE = 4


class GrantUpdate(NamedTuple):
    """A job's grant that is to be written, and the indices of the machines that the record names."""

    job: Job
    record: GrantRecord
    machines: set[int]


class DurableGrants(TermComponent):
    """Reads the grants of an earlier leader, and widens them before tasks are sent."""

    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self.pages = self.writer.pages("grants/")
        self._write_lock = BoundedSemaphore(1)
        #: the write of grants that was begun last
        self.cover_task: gevent.Greenlet | None = None
        #: until when arrays are granted whole
        self._whole_until = -math.inf

    def load(self) -> None:
        """Restore the grants of an earlier leader, and drop those of jobs that are over.

        Raises:
            StoreError: the store could not be reached.
        """
        grants: dict[str, GrantRecord] = {}
        for name, value in self.pages.load(self.writer.store.pairs(self.pages.prefix)):
            grant = msgspec.convert(value, GrantRecord)
            grants[name] = grant.joined(grants[name]) if name in grants else grant
        for name, grant in grants.items():
            job = self.registry.jobs.get(name)
            if job is None:
                self.pages.drop(name, soon=False)
            else:
                self._restore(job, grant)

    def _restore(self, job: Job, record: GrantRecord) -> None:
        """Let a job's unseen tasks wait until the machines of an earlier leader's grant are reconciled.

        A machine without a record was deleted, and a job without a grant was never started.
        """
        job.granted_tasks_below = record.hi
        holders: set[int] | None = None
        job.granted_machines = None
        if record.machines is not None:
            named = (self.inventory.by_name.get(name) for name in record.machines)
            holders = {machine.index for machine in named if machine is not None}
            job.granted_machines = set(holders)
        self.registry.add_possible_holders(job, holders, min(record.hi, job.spec.tasks))

    def write(self) -> None:
        """Make durable where queued tasks may be, so that they may be sent.

        A grant is widened as its job grows: a later leader need not wait for what it leaves out. At hundreds of jobs a
        minute these writes would take most of the rate limit and delay the records of finished jobs; then an array is
        granted whole at once (`conserve_writes`).

        Serialised: a grant counts as far as it was written, so that no other write may replace it meanwhile.

        Raises:
            FencedError: this term may not write any more.
            StoreError: the store could not be reached; the jobs are kept for the next write.
        """
        with self._write_lock:
            jobs, self.dispatch.jobs_awaiting_grant = self.dispatch.jobs_awaiting_grant, {}
            due = [
                job
                for job in jobs.values()
                if job.is_live and any(not job.grant_covers(allocation) for allocation in job.allocations.values())
            ]
            updates = [self._widened(job) for job in due]
            if not updates:
                return
            for job, record, _ in updates:
                self.pages.put(job.spec.id, record)
            try:
                self.pages.save(Urgency.ACCEPT)
            except BaseException:
                self.dispatch.jobs_awaiting_grant.update(jobs)
                raise
            now = self.clock()
            for job, record, machines in updates:
                self._record_written(job, record, machines, now)

    @staticmethod
    def _record_written(job: Job, record: GrantRecord, machines: set[int], now: float) -> None:
        if job.gang_start_timeline is not None:
            job.gang_start_timeline.grant_durable_at = now
        job.granted_tasks_below = max(job.granted_tasks_below, record.hi)
        if record.machines is None or job.granted_machines is None:
            job.granted_machines = None
        else:
            job.granted_machines |= machines

    def conserve_writes(self) -> None:
        """Grant arrays whole for a while, as more important records wait for the rate limit of writes."""
        self._whole_until = self.clock() + WHOLE_GRANTS_S

    def cover(self) -> None:
        """Write grants ahead of the heartbeats that fetch the starts, so that no worker has to wait."""
        if self.dispatch.jobs_awaiting_grant:
            self.covering().join()

    def covering(self) -> gevent.Greenlet:
        """Return the write of grants that is under way, or begin one."""
        if self.cover_task is None or self.cover_task.ready():
            self.cover_task = gevent.spawn(self._try_write)
        return self.cover_task

    def _try_write(self) -> None:
        try:
            self.write()
        except (StoreError, FencedError) as error:
            # the jobs stay in `dispatch.jobs_awaiting_grant`, and their starts wait for the next write
            log.info(LogEvent("grant_write_failed", error=error))

    def _widened(self, job: Job) -> GrantUpdate:
        """Return a job's grant, widened for its queued tasks."""
        if not job.is_gang and self.clock() < self._whole_until:
            return GrantUpdate(job, GrantRecord(job.spec.tasks, None), set())
        queued = [allocation for allocation in job.allocations.values() if not job.grant_covers(allocation)]
        machines = {allocation.machine_index for allocation in queued} | (job.granted_machines or set())
        granted_below = max([job.granted_tasks_below, *(allocation.task_index + 1 for allocation in queued)])
        if granted_below > job.granted_tasks_below:
            granted_below = min(
                job.spec.tasks, granted_below + max(MIN_GRANTED_AHEAD, granted_below // GRANTED_AHEAD_SHARE)
            )
        if job.granted_machines and not job.is_gang and len(machines) > MAX_NAMED_MACHINES:
            # tasks of a wide array reach ever more machines, each of which would cost a write
            return GrantUpdate(job, GrantRecord(granted_below, None), set())
        known = [
            machine for machine in (self.inventory.find_by_index(index) for index in machines) if machine is not None
        ]
        record = GrantRecord(granted_below, sorted(machine.name for machine in known))
        if (
            job.granted_machines is None
            or len(msgspec.json.encode(record)) > self.writer.value_bytes // MAX_VALUE_SHARE
        ):
            record.machines = None
        return GrantUpdate(job, record, {machine.index for machine in known})
