"""Answers workers' reports: reads them, fills their room, waits a moment for grants, and writes the commands."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from ..cluster_state.machine import Machine
from ..state_machines import JobState, LeaderState, MachineState, Reception
from ..wire.jobs import MAX_TASKS, MalformedError, split_task
from ..wire.workers import Heartbeat, HeartbeatResponse
from .durable_grants import DurableGrants
from .machine_reconciliation import MachineReconciliation
from .provisioning import Provisioning
from .scheduling_loop import SchedulingLoop
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: how long a report waits for its starts' grants before it is answered without them
GRANT_WAIT_S = 0.25


@dataclass(frozen=True)
class PendingResponse:
    """A report that is in the books and not answered yet."""

    machine: Machine
    report: Heartbeat


class HeartbeatHandler(TermComponent):
    def __init__(
        self,
        context: TermContext,
        machine_reconciliation: MachineReconciliation,
        grants: DurableGrants,
        provisioning: Provisioning,
        scheduling_loop: SchedulingLoop,
    ) -> None:
        super().__init__(context)
        self.machine_reconciliation = machine_reconciliation
        self.grants = grants
        self.provisioning = provisioning
        self.scheduling_loop = scheduling_loop
        #: when a worker last reported, and whether one has in this term
        self.last_heard_at = self.clock()
        self.first_heard = False
        #: since when nothing is started, as too little is known of cancellations
        self.held_since: float | None = None

    def _may_start(self) -> bool:
        """Whether what is known of cancellations is recent enough for starts; tells when that changes."""
        starts, held = self.election.cancellation_horizon.allows_starts(), self.held_since
        if starts and held is not None:
            log.info("starts go on after %.1f s", self.clock() - held)
            self.held_since = None
        elif not starts and held is None:
            self.held_since = self.clock()
            log.info(
                "starts wait: cancellations are known up to %.1f s ago only", self.election.cancellation_horizon.age_s
            )
        return starts

    def may_answer(self, report: Heartbeat) -> bool:
        """Whether this term may answer it. One that has seen a higher token has the key looked at first."""
        if self.writer.is_leader() and report.token > self.token:
            self.election.challenge(report.token, f"{report.machine} has seen token {report.token}")
        return self.writer.is_leader() and report.token <= self.token

    def check(self, report: Heartbeat) -> None:
        """Raises `MalformedError` for a task that cannot be; names that are in the books are right."""
        known = self.inventory.by_name.get(report.machine)
        allocations = known.allocations if known is not None else {}
        for status in report.tasks:
            if status.task not in allocations:
                ident, index = split_task(status.task)
                job = self.registry.jobs.get(ident)
                if index >= (job.spec.tasks if job is not None else MAX_TASKS):
                    raise MalformedError(f"{status.task}: there is no such task")

    def take(self, report: Heartbeat) -> HeartbeatResponse | None:
        """The answer to a report; None while this controller may not answer. Raises `MalformedError`."""
        taken = self.begin(report)
        if not isinstance(taken, PendingResponse):
            return taken
        self.cover([taken])
        return self.finish(taken)

    def begin(self, report: Heartbeat) -> PendingResponse | HeartbeatResponse | None:
        """Reads a report and fills the room that it brings; its answer may have to wait for grants.

        The answer at once where nothing new is in it; None while this controller may not answer.
        Raises `MalformedError`.
        """
        if not self.may_answer(report):
            return None
        self.check(report)
        now = self.clock()
        m = self.context.reconciler.read(report, now, solicited=False)
        known = m or self.inventory.by_name.get(report.machine)
        if (
            known is not None
            and known.reception is Reception.UNREACHABLE
            and known.state is not MachineState.LEASE_EXPIRED
        ):
            return None  # an answer would renew its lease if it came through, and its end could not be proved
        if known is not None and known.leaving and self._defies(known, now):
            return None
        if m is None:
            return self._nothing_new(report)
        if m.token == self.token:
            # a copy that came late shows nobody to be there; one that echoes this term was not answered by another
            self.last_heard_at, self.first_heard = now, True
        if m.state is MachineState.NEW:
            self.provisioning.arrived(m.name)
        self.machine_reconciliation.check(now)
        if m.state is MachineState.GONE:
            return HeartbeatResponse(self.token, self.context.command_builder.unwanted(report))
        self.scheduling_loop.step(now)
        if self.election.state is LeaderState.LEADING:
            self.context.scheduler.fill(m, now)
        return PendingResponse(m, report)

    def cover(self, taken: Iterable[PendingResponse]) -> None:
        """Waits for the grants of what is queued on these machines.

        One that is under way may have begun too early for these, so a second one is waited for; but never
        for long: workers whose reports are not answered in time take this leader for gone.
        """
        machines = [t.machine for t in taken]
        for _ in range(2):
            if any(self.context.command_builder.uncovered(m) for m in machines):
                self.grants.covering().join(timeout=GRANT_WAIT_S)

    def finish(self, taken: PendingResponse) -> HeartbeatResponse | None:
        """The answer to a report that was read; None if this controller may not answer any more."""
        m, report, now = taken.machine, taken.report, self.clock()
        if not self.writer.is_leader():
            return None  # the wait, or a pass, took so long that the authority ran out meanwhile
        if (m.epoch, m.sequence) != (report.epoch, report.sequence):
            return self._nothing_new(report)  # a newer report came meanwhile
        if m.leaving and self._defies(m, now):
            return None  # the wait made it so
        # what a report of an older token lists may have changed since, and may not be all: nothing follows from it
        answers = self.context.command_builder
        starts = self._may_start()
        commands = answers.commands(m, report, now, starts) if m.token == self.token else answers.unwanted(report)
        m.last_response_at = now
        return HeartbeatResponse(self.token, commands)

    def _nothing_new(self, report: Heartbeat) -> HeartbeatResponse:
        """The answer to a report that came late. If it did not, but its worker counts anew, this renews its lease.

        So even this stops what must not be there: a chain of such answers, each by a new leader, would keep it up.
        """
        known = self.inventory.by_name.get(report.machine)
        if known is not None:
            known.last_response_at = self.clock()
        return HeartbeatResponse(self.token, self.context.command_builder.unwanted(report))

    @staticmethod
    def _defies(m: Machine, now: float) -> bool:
        """Whether it still lists a cancelled task that an answer would now keep up for too long: its lease has to end.

        What else is on it is lost with that. An answer that arrives carries the stop, so that only a machine which does
        not do as it is told comes to this.
        """
        over = JobState.CANCELLED
        return any(p.job.state is over and now > p.job.may_answer_until for p in m.allocations.values())
