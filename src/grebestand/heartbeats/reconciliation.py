"""What a report proves, and what follows from it for the books."""

from __future__ import annotations

import logging

from ..cluster_state.dispatch import Dispatch
from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import Allocation, GangStartTimeline, Job
from ..cluster_state.machine import Machine
from ..cluster_state.machine_inventory import (
    MISSED_RESPONSES_BEFORE_SUSPICION,
    SILENT_AFTER_INTERVALS,
    MachineInventory,
)
from ..cluster_state.run_time_estimates import RunTimeEstimates
from ..metrics.duration_sketches import DurationSketches
from ..scheduling.machine_health import MachineHealth
from ..scheduling.stragglers import StragglerDetector
from ..state_machines import AllocationState, JobState, MachineState, Reception
from ..wire.jobs import Kind, MalformedError, split_task
from ..wire.workers import ExitReason, Heartbeat, TaskPhase, TaskStatus

log = logging.getLogger(__name__)

_SEEN = {
    TaskPhase.FETCHING: AllocationState.FETCHING,
    TaskPhase.WAITING: AllocationState.WAITING,
    TaskPhase.RUNNING: AllocationState.RUNNING,
    TaskPhase.SAVING: AllocationState.SAVING,
}
#: a machine may have counted so much further than was heard of it before it began anew
UNSEEN_COUNTS = 40
#: a worker drops an answer after four seconds, and a question of three may have been made in between: so long after it
#: was told to start a task, its answer to a question shows that it was not
TOLD_S = 8.0
#: a session that lasts for so many leases is kept up by answers
OUTLIVED_LEASES = 1.4
#: how long the machines of a gang are kept for its next attempt while an image is still on its way
WARM_S = 45.0


class HeartbeatReconciler:
    def __init__(
        self,
        registry: JobRegistry,
        inventory: MachineInventory,
        dispatch: Dispatch,
        run_times: RunTimeEstimates,
        health: MachineHealth,
        stragglers: StragglerDetector,
        sketches: DurationSketches,
    ) -> None:
        self.registry = registry
        self.inventory = inventory
        self.dispatch = dispatch
        self.run_times = run_times
        self.health = health
        self.stragglers = stragglers
        self.sketches = sketches
        self.token = dispatch.token

    def meet(self, r: Heartbeat, now: float) -> Machine | None:
        """The machine that a report is of; None if it was deleted: then the report was made before."""
        m = self.inventory.by_name.get(r.machine)
        if m is None:
            if self.inventory.was_deleted(r.machine, now):
                return None
            m = self.inventory.add(r.machine, r.addr, r.type, r.zone, r.spot, now)
            m.has_seen_no_term = not r.token
            log.info("machine %s reports for the first time (%s, %s)", r.machine, r.type, r.zone)
        return m

    def read(self, r: Heartbeat, now: float, direct: bool) -> Machine | None:
        """Takes a report into the books; None if nothing in it is known to be so now.

        What each part of a report proves is in docs/design.md, "What a report proves". A result is true for ever. All
        else is taken only from a report that is newer than any before and echoes this term's token: it was made after
        the worker had heard of this term, so that nothing of an earlier leader can follow it.
        """
        m = self.meet(r, now)
        if m is None:
            return None
        newer = (r.epoch, r.sequence) > (m.epoch, m.sequence)
        fenced = r.token == self.token
        if not newer or not fenced or not self._explained(m, r, direct, now):
            self._read_results(m, r, now)
            return self._check_unreconciled(m, r, newer, fenced, now)
        # of a machine that has begun anew, what is not above its earlier counts may be a copy from before
        sure = direct or (r.epoch, r.sequence) > m.previous_epoch_end
        if not sure and m.epoch and r.epoch != m.epoch:
            self._read_results(m, r, now)
            self.inventory.to_query.add(m.index)
            return None
        m.addr = r.addr
        new_session = r.epoch > m.epoch
        # one that is heard now and then only may be trying others, as nobody's answers come through
        seldom = now - m.last_heard_at > SILENT_AFTER_INTERVALS * self.inventory.report_s
        m.epoch, m.sequence, m.token = r.epoch, r.sequence, r.token
        if new_session:
            # the lease ended in between: the worker killed and forgot all tasks of earlier sessions
            for allocation in [p for p in m.allocations.values() if p.epoch < r.epoch]:
                if allocation.state is AllocationState.QUEUED:
                    allocation.epoch = r.epoch
                else:
                    self._lost(m, allocation, "lease ended", now)
        if m.state is MachineState.LEASE_EXPIRED:
            self.inventory.move(m, MachineState.READY if m.recorded else MachineState.NEW, now)
        elif m.state is MachineState.SUSPECT or (m.state is MachineState.NEW and m.recorded):
            self.inventory.move(m, MachineState.READY, now)
        if not direct and now - m.last_heard_at < self.inventory.lease_s:
            self.sketches.add("late report", now - m.last_heard_at - self.inventory.report_s)
        m.last_heard_at = now
        allocations, sequence = m.allocations, r.sequence
        for status in r.tasks:
            known = allocations.get(status.task)
            if known is None or known.attempt != status.attempt or status.state is TaskPhase.EXITED:
                self._read_other(m, status, now)
                continue
            # nearly all that is ever reported: a known task, mostly with no news
            known.seen_sequence = sequence
            if known.state is not _SEEN[status.state]:
                self._read_state(m, known, _SEEN[status.state], now)
        self._read_absent(m, r, direct, sure, seldom, now)
        if m.state is MachineState.UNRECONCILED:
            self._heard_us(m, now)  # nobody but this term can have told it the token
            if not self._strangers(m, r):
                self.inventory.move(m, MachineState.READY, now)
        if r.notice_s is not None and m.drain != "recall":
            log.info("machine %s will be taken back in %.0f s", m.name, r.notice_s)
            m.drain = "recall"
            m.terminates_at = now + r.notice_s
            self.health.evacuate(m, now)
        return m

    def _check_unreconciled(self, m: Machine, r: Heartbeat, newer: bool, fenced: bool, now: float) -> Machine | None:
        """What follows from a report that does not say how its machine is now."""
        if newer and not fenced and m.token != self.token:
            # it has not heard of this term yet: the answer tells it, and its next report is proof
            if m.epoch:
                self.inventory.doubt(m, "it goes on reporting an older token", now)
            m.addr, m.epoch, m.sequence, m.last_heard_at = r.addr, r.epoch, r.sequence, now
            return m
        if newer and not fenced:
            # counts only go up in one life, and so does the token: this is another
            m.previous_epoch_end = max(m.previous_epoch_end, (m.epoch, m.sequence + UNSEEN_COUNTS))
        # an old copy, or a worker that began to count anew: only its answer to a question asked now tells which
        self.inventory.to_query.add(m.index)
        return None

    def _explained(self, m: Machine, r: Heartbeat, direct: bool, now: float) -> bool:
        """Whether a new report of this term fits what is known of its machine; if not, it is asked."""
        if direct:
            self.inventory.receive(m, Reception.REACHABLE, "it answers", now)
            return True
        if m.reception is Reception.UNREACHABLE:
            # that its reports come says nothing of whether answers arrive
            return self._outlived(m, r, now)
        if m.state is MachineState.LEASE_EXPIRED and r.epoch <= m.epoch:
            return False  # its lease is over, so it has gone on to a later session: this was sent before
        if r.epoch > m.epoch and (m.epoch or m.state is MachineState.LEASE_EXPIRED):
            # its lease ended: it was away, or its reports come and the answers do not. They come seldom then, as it
            # tries one controller after the other; in between it lapsed here, and was used again with each report
            self.inventory.doubt(m, "its lease has ended", now, MISSED_RESPONSES_BEFORE_SUSPICION)
            if m.allocations and m.state is not MachineState.LEASE_EXPIRED and not self.inventory.lease_expired(m, now):
                # it was answered within a lease: either the answer did not arrive, or this is a copy of an earlier life
                # whose sessions nobody here has heard of. Taken for true, it ended what ran, and it was started again
                return False
        return True

    def _outlived(self, m: Machine, r: Heartbeat, now: float) -> bool:
        """Whether a deaf machine has gone on in one session for longer than its lease.

        Once its lease is over it holds nothing and is answered again. If that arrives, no further lease ends; so it is
        also known to hear where it cannot be asked directly.
        """
        if m.state is not MachineState.LEASE_EXPIRED or r.epoch < m.unreachable_epoch:
            return False
        if r.epoch > m.unreachable_epoch:
            m.unreachable_epoch, m.unreachable_since = r.epoch, now
        if now - m.unreachable_since <= OUTLIVED_LEASES * self.inventory.lease_s:
            return False
        self.inventory.receive(
            m, Reception.REACHABLE, "its lease did not end though nothing but answers renews it", now
        )
        return True

    @staticmethod
    def _strangers(m: Machine, r: Heartbeat) -> bool:
        """Whether something runs there that is in no books: of a job that is over, or a second copy.

        It was cancelled while nobody led, or done elsewhere, and is told to stop; whose it was is on no record.
        Until it is gone, the machine counts in full against every team like one that has not been heard. Taken for
        proved with such tasks on it, others of their team were started, and it was over its limit.
        """
        return any(s.state is not TaskPhase.EXITED and s.task not in m.allocations for s in r.tasks)

    def _heard_us(self, m: Machine, now: float) -> None:
        """What it reports is as it was answered."""
        if m.reception is not Reception.UNREACHABLE:
            m.missed_responses = 0
            self.inventory.receive(m, Reception.REACHABLE, "it does as it is told", now)

    def restarted(self, m: Machine, epoch: int, now: float) -> None:
        """A machine counts its reports anew: it has begun again, in this session.

        What was on it is read from the answer that showed this, which follows. A copy of its earlier life may have made
        it look so; then what was just sent there may still begin, so nothing is taken for lost here.
        """
        log.info("machine %s has begun anew", m.name)
        m.previous_epoch_end = max(m.previous_epoch_end, (m.epoch, m.sequence + UNSEEN_COUNTS))
        for allocation in m.allocations.values():
            allocation.epoch = epoch
            allocation.sent_epoch = allocation.sent_sequence = 0
        m.epoch = m.sequence = m.token = 0

    def _read_results(self, m: Machine, r: Heartbeat, now: float) -> None:
        """Tasks that are done: however old the report is, they stay so."""
        for status in r.tasks:
            if status.state is TaskPhase.EXITED and status.why is ExitReason.DONE:
                self._read_other(m, status, now)

    def _read_absent(self, m: Machine, r: Heartbeat, direct: bool, sure: bool, seldom: bool, now: float) -> None:
        resent = False
        for allocation in [
            p for p in m.allocations.values() if p.seen_sequence != r.sequence and p.state is not AllocationState.QUEUED
        ]:
            if allocation.state is AllocationState.GONE:
                continue  # with another task of its gang
            if allocation.state is AllocationState.SENT:
                # a direct report may overtake the check-in response that carries the start, so only a newer
                # check-in proves that the start was lost
                newer = (r.epoch, r.sequence) > (allocation.sent_epoch, allocation.sent_sequence)
                if (direct or not newer) and not (direct and now - allocation.told_at > TOLD_S):
                    continue
                resent = True
                if allocation.stop is not None or not allocation.job.live:
                    if sure:
                        self._lost(m, allocation, "never started", now)
                    else:
                        self.inventory.to_query.add(m.index)
                else:
                    self.registry.move_allocation(allocation, AllocationState.SENT, now)
                    allocation.sent_sequence = -1  # send again
                continue
            if sure:
                self._lost(m, allocation, "vanished", now)
            else:
                # its earlier life's report, which came late, did not list it either: the machine is asked
                self.inventory.to_query.add(m.index)
        if resent:
            self.inventory.doubt(
                m, "it was told to start tasks and has not", now, MISSED_RESPONSES_BEFORE_SUSPICION if seldom else 1
            )

    def _read_other(self, m: Machine, status: TaskStatus, now: float) -> None:
        """A task that has exited, or one that this leader has not started there."""
        try:
            ident, index = split_task(status.task)
        except MalformedError:
            return
        job = self.registry.jobs.get(ident)
        if job is None or index >= job.spec.tasks:
            return  # answered with a stop in `commands`
        if status.state is TaskPhase.EXITED:
            allocation = m.allocations.get(status.task)
            same = allocation is not None and allocation.attempt == status.attempt
            self._read_exit(m, job, index, allocation if same else None, status, now)
        elif index not in job.allocations and job.live and not job.is_done(index):
            allocation = self._adopt(m, job, index, status, now)
            allocation.seen_sequence = m.sequence
            self._read_state(m, allocation, _SEEN[status.state], now)

    def _read_state(self, m: Machine, allocation: Allocation, state: AllocationState, now: float) -> None:
        """A task is in another state than it was before."""
        if allocation.state is AllocationState.SENT:
            self._heard_us(m, now)
        self.registry.move_allocation(allocation, state, now)
        stages = allocation.job.stages
        if stages is not None and stages.attempt == allocation.attempt:
            self._stage(allocation.job, stages, state, now)
        if state is AllocationState.RUNNING:
            self._tell_begun(allocation.job, now)
        if state is not AllocationState.FETCHING:
            self.inventory.note_image(m, allocation.job.image, allocation.job.spec.image_gb)
            if allocation.warms:
                self.dispatch.stop(allocation, "gang broken", 0.0, now)

    @staticmethod
    def _tell_begun(job: Job, now: float) -> None:
        """Tells once when a job began: an array with its first task, a gang when all run."""
        if not job.begun and (not job.gang or job.done_count or job.running() == job.spec.tasks):
            job.begun = True
            log.info("%s began after %.1f s", job.spec.id, now - job.accepted_at)

    @staticmethod
    def _stage(job: Job, stages: GangStartTimeline, state: AllocationState, now: float) -> None:
        """Tells of a gang that runs as a whole what each stage of its start took."""
        if state is AllocationState.FETCHING:
            stages.reported = now
        elif state is AllocationState.RUNNING and job.running() == job.spec.tasks:
            job.stages = None
            reported = max(stages.reported, stages.sent)
            log.info(
                "gang %s runs whole: %d tasks, placed %.1f s after there was room, %.1f s to the grant, %.1f s to the "
                "last answer, %.1f s to the last report of it, %.1f s to the last image",
                job.spec.id, job.spec.tasks, stages.placed - stages.room, stages.covered - stages.placed,
                stages.sent - max(stages.covered, stages.placed), reported - stages.sent, now - reported,
            )  # fmt: skip

    def _adopt(self, m: Machine, job: Job, index: int, status: TaskStatus, now: float) -> Allocation:
        """A task that an earlier leader started: it goes on."""
        allocation = self.registry.open_allocation(job, index, m.index, status.attempt, now)
        allocation.epoch = m.epoch
        self.inventory.add_allocation(m, allocation)
        log.debug("found %s/%d on %s", job.spec.id, index, m.name)
        return allocation

    def _read_exit(
        self, m: Machine, job: Job, index: int, allocation: Allocation | None, status: TaskStatus, now: float
    ) -> None:
        why = status.why
        if why is ExitReason.DONE:
            if allocation is not None and allocation.run_at is not None and job.spec.estimate_s > 0:
                self.run_times.learn(job, now - allocation.run_at)
            if allocation is not None:
                self.stragglers.finished(m, allocation, now)
                self.inventory.release(m, allocation, now)
            m.errors = 0
            m.error_jobs.clear()
            self.finish_task(job, index, now)
            return
        if allocation is None:
            return
        if why is ExitReason.BUSY:
            # another attempt of this task is on this very machine: the report names it, and it is adopted
            log.info("%s on %s: another attempt is there", status.task, m.name)
        elif why is ExitReason.ERROR:
            self.health.failed(m, job, now - allocation.run_at if allocation.run_at is not None else 0.0, now)
        elif why is ExitReason.NO_ROOM:
            # the machine holds something this leader does not count: look again after the next reports
            log.info("%s refused by %s: no room", status.task, m.name)
            m.blocked_until = max(m.blocked_until, now + self.inventory.report_s)
        elif why is ExitReason.UNKNOWN:
            log.info("%s refused by %s: no such job there", status.task, m.name)
            job.hold_until = max(job.hold_until, now + 2 * self.inventory.report_s)
        elif why is ExitReason.STOPPED and status.saved:
            job.earned = True
            job.doubtful = False
        elif why is ExitReason.ALONE:
            log.info("%s on %s: its gang did not become complete", status.task, m.name)
        self._lost(m, allocation, why.value if why else "exited", now)

    def _lost(self, m: Machine, allocation: Allocation, why: str, now: float) -> None:
        """A place ended without completing its task."""
        job = allocation.job
        log.debug("%s/%d on %s ended: %s", job.spec.id, allocation.index, m.name, why)
        was_queued = allocation.state is AllocationState.QUEUED
        self.inventory.release(m, allocation, now)
        if job.gang and job.live and not was_queued and job.allocations:
            # the rest of this attempt is of no use: their progress since the last checkpoint is lost anyway,
            # and no task may start again before all of them are gone. An orderly stop goes on as it is.
            for other in list(job.allocations.values()):
                if other.attempt == allocation.attempt:
                    if other.stop is None and not self._keeps_fetching(m, other, why, now):
                        self.dispatch.stop(other, "gang broken", 0.0, now)
                else:
                    self.dispatch.stop(other, "stale attempt", 0.0, now)

    def _keeps_fetching(self, m: Machine, allocation: Allocation, why: str, now: float) -> bool:
        """Whether a task of a gang that waited in vain goes on fetching, so that the next attempt finds the image.

        A machine gives up a fetch that no task waits for. When the slowest fetch of a gang took longer than
        `gang_wait_s` after the fastest, the gang cleared machines and began anew every 30 s without ever starting.
        """
        if why != ExitReason.ALONE.value or allocation.state is not AllocationState.FETCHING:
            return False
        allocation.warms = True
        for machine in (m, self.inventory.at(allocation.machine)):
            if machine is not None and machine.reserved_for is None:
                machine.reserved_for, machine.reserved_until = allocation.job.spec.id, now + WARM_S
        return True

    def finish_task(self, job: Job, index: int, now: float) -> None:
        if not job.live:
            return
        if job.spec.kind is Kind.GANG:
            # a gang completes together: if one task is done, all are
            for i in range(job.spec.tasks):
                self.registry.mark_done(job, i, now)
        elif not job.is_done(index):
            self.registry.mark_done(job, index, now)
            job.dirty.setdefault(index // self.registry.chunk_bits, now)
        self._tell_begun(job, now)
        if job.unfinished() == 0:
            self.registry.move_job(job, JobState.CLOSING, now)
