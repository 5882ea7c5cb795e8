"""Answers workers' heartbeats: applies them, fills freed capacity, and returns commands that are durably granted."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from ..cluster_state.machine import Machine
from ..log_events import LogEvent
from ..state_machines import JobState, LeaderState, MachineState, Reception
from ..wire.jobs import MAX_TASKS, MalformedError, split_task
from ..wire.workers import Heartbeat, HeartbeatResponse
from .durable_grants import DurableGrants
from .machine_reconciliation import MachineReconciliation
from .provisioning import Provisioning
from .scheduling_loop import SchedulingLoop
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: How long an answer waits for one write of grants before it leaves without the starts: workers whose heartbeats are
#: not answered in time look for another leader.
GRANT_WAIT_S = 0.25
#: A write under way may have begun too early for the tasks of this answer, so that a second one is waited for.
GRANT_WRITES_AWAITED = 2


@dataclass(frozen=True)
class PendingResponse:
    """A heartbeat that has been applied and not been answered yet."""

    machine: Machine
    heartbeat: Heartbeat


class HeartbeatHandler(TermComponent):
    """Applies heartbeats to the cluster state and answers them.

    All of this runs for each heartbeat, thousands of times a second: no step allocates or looks up more than it needs.
    """

    def __init__(
        self,
        context: TermContext,
        *,
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
        #: when a worker last sent a heartbeat, and whether one has in this term
        self.last_heartbeat_at = self.clock()
        self.heartbeat_received_in_term = False
        #: since when nothing is started, as the knowledge of cancellations is too old for it
        self._starts_paused_since: float | None = None

    def restart_silence(self, now: float) -> None:
        """Count the silence of all workers from now on: none of them could be heard before."""
        self.last_heartbeat_at = now

    def may_answer(self, heartbeat: Heartbeat) -> bool:
        """Return whether this term may answer; a worker that has seen a higher token pauses the term."""
        if self.writer.is_leader() and heartbeat.token > self.token:
            self.election.challenge(heartbeat.token, f"{heartbeat.machine} has seen token {heartbeat.token}")
        return self.writer.is_leader() and heartbeat.token <= self.token

    def validate(self, heartbeat: Heartbeat) -> None:
        """Check the names of tasks; those of the machine's known allocations are right.

        Raises:
            MalformedError: a task that cannot exist is listed.
        """
        machine = self.inventory.by_name.get(heartbeat.machine)
        allocations = machine.allocations if machine is not None else {}
        for status in heartbeat.tasks:
            if status.task not in allocations:
                job_id, index = split_task(status.task)
                job = self.registry.jobs.get(job_id)
                if index >= (job.spec.tasks if job is not None else MAX_TASKS):
                    raise MalformedError(f"{status.task}: there is no such task")

    def handle(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the answer to a heartbeat, or None while this controller may not answer.

        Raises:
            MalformedError: a task that cannot exist is listed.
        """
        begun = self.begin(heartbeat)
        if not isinstance(begun, PendingResponse):
            return begun
        self.cover([begun])
        return self.finish(begun)

    def begin(self, heartbeat: Heartbeat) -> PendingResponse | HeartbeatResponse | None:
        """Apply a heartbeat and fill the capacity that it frees.

        Returns:
            A pending response, whose starts may have to wait for their grants; the response itself if the heartbeat
            brings nothing new; None while this controller may not answer.

        Raises:
            MalformedError: a task that cannot exist is listed.
        """
        if not self.may_answer(heartbeat):
            return None
        self.validate(heartbeat)
        now = self.clock()
        machine = self.context.reconciler.reconcile(heartbeat, now, solicited=False)
        if self._must_not_renew(machine or self.inventory.by_name.get(heartbeat.machine), now):
            return None
        if machine is None:
            return self._stale_response(heartbeat)
        if machine.token == self.token:
            # only a heartbeat with this term's token shows that the worker is there now; others may be late copies
            self.last_heartbeat_at, self.heartbeat_received_in_term = now, True
        if machine.state is MachineState.NEW:
            self.provisioning.arrived(machine.name)
        self.machine_reconciliation.check(now)
        if machine.state is MachineState.GONE:
            return HeartbeatResponse(self.token, self.context.command_builder.unwanted_stops(heartbeat))
        self.scheduling_loop.step(now)
        if self.election.state is LeaderState.LEADING:
            self.context.scheduler.fill(machine, now)
        return PendingResponse(machine, heartbeat)

    def cover(self, pending: Iterable[PendingResponse]) -> None:
        """Wait a short while for the grants of what is queued on these machines."""
        machines = [response.machine for response in pending]
        for _ in range(GRANT_WRITES_AWAITED):
            if any(self.context.command_builder.needs_grant(machine) for machine in machines):
                self.grants.covering().join(timeout=GRANT_WAIT_S)

    def finish(self, pending: PendingResponse) -> HeartbeatResponse | None:
        """Return the answer to a heartbeat that was begun, or None if this controller may not answer any more."""
        machine, heartbeat, now = pending.machine, pending.heartbeat, self.clock()
        if not self.writer.is_leader():
            return None  # the wait for grants, or a scheduling pass, outlasted the authority
        if (machine.epoch, machine.sequence) != (heartbeat.epoch, heartbeat.sequence):
            return self._stale_response(heartbeat)  # a newer heartbeat came meanwhile
        if machine.stopping_count and self._runs_cancelled_too_long(machine, now):
            return None  # the limit was passed during the wait
        builder = self.context.command_builder
        starts = self._may_start()
        # a heartbeat with an older token may be incomplete or outdated: only stops of unwanted tasks follow from it
        current = machine.token == self.token
        commands = (
            builder.build_commands(machine, heartbeat, now, starts) if current else builder.unwanted_stops(heartbeat)
        )
        machine.last_response_at = now
        return HeartbeatResponse(self.token, commands)

    def _stale_response(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Return the answer to a heartbeat that is older than what is known of its machine.

        If the worker has in fact restarted its counters, the answer renews its lease. So it carries the stops: else
        a series of leaders that each answer one such heartbeat would keep cancelled tasks running.
        """
        machine = self.inventory.by_name.get(heartbeat.machine)
        if machine is not None:
            machine.last_response_at = self.clock()
        return HeartbeatResponse(self.token, self.context.command_builder.unwanted_stops(heartbeat))

    def _must_not_renew(self, machine: Machine | None, now: float) -> bool:
        """Return whether the lease of a machine has to run out, so that it gets no answer."""
        if machine is None:
            return False
        if machine.reception is Reception.UNREACHABLE and machine.state is not MachineState.LEASE_EXPIRED:
            return True  # an answer that comes through after all renews the lease, and its end could not be known
        return bool(machine.stopping_count) and self._runs_cancelled_too_long(machine, now)

    @staticmethod
    def _runs_cancelled_too_long(machine: Machine, now: float) -> bool:
        """Return whether a machine lists a task that was cancelled too long ago for another renewal of its lease.

        Everything else on the machine is lost with the lease. Since each answer carries the stop, only a worker that
        does not follow its commands comes to this.
        """
        cancelled = JobState.CANCELLED
        return any(
            allocation.job.state is cancelled and now > allocation.job.may_answer_until
            for allocation in machine.allocations.values()
        )

    def _may_start(self) -> bool:
        """Return whether cancellations are known recently enough to start tasks; log when that changes."""
        horizon = self.election.cancellation_horizon
        allowed, paused_since = horizon.allows_starts(), self._starts_paused_since
        if allowed and paused_since is not None:
            log.info(LogEvent("starts_resumed", paused_s=self.clock() - paused_since))
            self._starts_paused_since = None
        elif not allowed and paused_since is None:
            self._starts_paused_since = self.clock()
            log.info(LogEvent("starts_paused", cancellations_age_s=horizon.age_s))
        return allowed
