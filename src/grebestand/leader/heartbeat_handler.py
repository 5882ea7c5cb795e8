"""Answers workers' heartbeats: applies them, fills freed capacity, and sends starts whose grants are durable."""

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

#: How long a response waits for one write of grants before it is sent without the starts, in seconds: workers whose
#: heartbeats time out look for another leader.
GRANT_WAIT_S = 0.25
#: How many writes of grants a response waits for: a write under way may have begun before the tasks of the response
#: were queued, so that a second write is needed.
GRANT_WRITES_AWAITED = 2


@dataclass(frozen=True)
class PendingResponse:
    """A heartbeat that has been applied and not been answered yet, with its machine."""

    machine: Machine
    heartbeat: Heartbeat


class HeartbeatHandler(TermComponent):
    """Applies heartbeats to the cluster state and answers them.

    This code runs thousands of times a second, for each heartbeat: no step allocates or looks up more than it needs.
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
        #: when a heartbeat with this term's token was last received, and whether one was received in this term
        self.last_heartbeat_at = self.clock()
        self.heartbeat_received_in_term = False
        #: since when no task is started, because the knowledge of cancellations is too old
        self._starts_paused_since: float | None = None

    def reset_silence(self, now: float) -> None:
        """Measure the time without heartbeats from `now`, as no heartbeat could be accepted before.

        Args:
            now: the current time of the monotonic clock, in seconds.
        """
        self.last_heartbeat_at = now

    def may_answer(self, heartbeat: Heartbeat) -> bool:
        """Return whether this term may answer a heartbeat; a heartbeat with a higher token pauses the term."""
        if self.writer.is_leader() and heartbeat.token > self.token:
            self.election.challenge(heartbeat.token, f"{heartbeat.machine} has seen token {heartbeat.token}")
        return self.writer.is_leader() and heartbeat.token <= self.token

    def validate(self, heartbeat: Heartbeat) -> None:
        """Check the task names of a heartbeat; names of known allocations of the machine are valid.

        Raises:
            MalformedError: the heartbeat lists a task that cannot exist.
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
        """Return the response to a heartbeat, or None while this controller may not answer.

        Raises:
            MalformedError: the heartbeat lists a task that cannot exist.
        """
        applied = self.apply(heartbeat)
        if not isinstance(applied, PendingResponse):
            return applied
        self.wait_for_grants([applied])
        return self.respond(applied)

    def apply(self, heartbeat: Heartbeat) -> PendingResponse | HeartbeatResponse | None:
        """Apply a heartbeat and allocate tasks to the capacity that the heartbeat frees.

        Returns:
            A pending response, whose starts may have to wait for their grants; the response itself if the heartbeat is
            outdated or its machine is gone; None while this controller may not answer.

        Raises:
            MalformedError: the heartbeat lists a task that cannot exist.
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
            # only a heartbeat with this term's token proves that the worker is running now; a heartbeat with an older
            # token may be a delayed copy
            self.last_heartbeat_at, self.heartbeat_received_in_term = now, True
        if machine.state is MachineState.NEW:
            self.provisioning.record_first_heartbeat(machine.name)
        self.machine_reconciliation.check(now)
        if machine.state is MachineState.GONE:
            return HeartbeatResponse(self.token, self.context.command_builder.unwanted_stops(heartbeat))
        self.scheduling_loop.step(now)
        if self.election.state is LeaderState.LEADING:
            self.context.scheduler.fill(machine, now)
        return PendingResponse(machine, heartbeat)

    def wait_for_grants(self, pending: Iterable[PendingResponse]) -> None:
        """Wait for durable grants of the tasks queued on the machines, at most `GRANT_WAIT_S` for each write."""
        machines = [response.machine for response in pending]
        for _ in range(GRANT_WRITES_AWAITED):
            if any(self.context.command_builder.needs_grant(machine) for machine in machines):
                self.grants.current_write().join(timeout=GRANT_WAIT_S)

    def respond(self, pending: PendingResponse) -> HeartbeatResponse | None:
        """Return the response to an applied heartbeat, or None if this controller may no longer answer."""
        machine, heartbeat, now = pending.machine, pending.heartbeat, self.clock()
        if not self.writer.is_leader():
            return None  # the wait for grants, or a scheduling pass, outlasted the authority
        if (machine.epoch, machine.sequence) != (heartbeat.epoch, heartbeat.sequence):
            return self._stale_response(heartbeat)  # a newer heartbeat was received during the wait
        if machine.stopping_count and self._runs_cancelled_too_long(machine, now):
            return None  # the limit for cancelled tasks was exceeded during the wait
        builder = self.context.command_builder
        starts = self._may_start()
        # a heartbeat with an older token may be incomplete or outdated, so that only unwanted tasks are stopped by it
        current = machine.token == self.token
        commands = (
            builder.build_commands(machine, heartbeat, now, starts) if current else builder.unwanted_stops(heartbeat)
        )
        machine.last_response_at = now
        return HeartbeatResponse(self.token, commands)

    def _stale_response(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Return the response to a heartbeat that is older than the last one known of its machine.

        If the worker has in fact restarted its counters, the response renews the worker's lease. The response therefore
        includes the stops of unwanted tasks: otherwise a series of leaders that each answer one such heartbeat would
        keep cancelled tasks running.
        """
        machine = self.inventory.by_name.get(heartbeat.machine)
        if machine is not None:
            machine.last_response_at = self.clock()
        return HeartbeatResponse(self.token, self.context.command_builder.unwanted_stops(heartbeat))

    def _must_not_renew(self, machine: Machine | None, now: float) -> bool:
        """Return whether a machine must get no response, so that its lease expires."""
        if machine is None:
            return False
        if machine.reception is Reception.UNREACHABLE and machine.state is not MachineState.LEASE_EXPIRED:
            return True  # a response that does arrive would renew the lease, and the leader could not know when it ends
        return bool(machine.stopping_count) and self._runs_cancelled_too_long(machine, now)

    @staticmethod
    def _runs_cancelled_too_long(machine: Machine, now: float) -> bool:
        """Return whether a machine reports a task that was cancelled too long ago to renew the machine's lease again.

        All other tasks of the machine are lost when the lease expires. Since each response includes the stop, only a
        worker that does not execute its commands reaches this limit.
        """
        cancelled = JobState.CANCELLED
        return any(
            allocation.job.state is cancelled and now > allocation.job.may_answer_until
            for allocation in machine.allocations.values()
        )

    def _may_start(self) -> bool:
        """Return whether the knowledge of cancellations is recent enough to start tasks, and log each change."""
        horizon = self.election.cancellation_horizon
        allowed, paused_since = horizon.allows_starts(), self._starts_paused_since
        if allowed and paused_since is not None:
            log.info(LogEvent("starts_resumed", paused_s=self.clock() - paused_since))
            self._starts_paused_since = None
        elif not allowed and paused_since is None:
            self._starts_paused_since = self.clock()
            log.info(LogEvent("starts_paused", cancellations_age_s=horizon.age_s))
        return allowed
