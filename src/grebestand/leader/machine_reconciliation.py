"""Reconciles the machines of an earlier term: queries their tasks, and releases tasks known to run on no machine."""

from __future__ import annotations

import logging
from typing import Protocol

import msgspec

from ..clients.http import UnreachableError
from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..log_events import LogEvent
from ..state_machines import MachineState, Reception
from ..wire.workers import Command, DirectCommands, Heartbeat
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: Where workers accept direct commands.
DIRECT_PATH = "/do"
#: At most this many machines are queried at a time: hundreds of concurrent queries would delay heartbeats.
MAX_QUERIES = 60
#: The minimum interval between two queries to one machine, in seconds.
QUERY_INTERVAL_S = 1.4
#: At most this many requests are sent in one query: the first may be answered under an older epoch, and a further one
#: stops unwanted tasks.
MAX_REQUESTS_PER_QUERY = 3
HTTP_OK = 200


class DirectRequest(Protocol):
    """A function that sends a request directly to a worker's address."""

    def __call__(self, address: str, path: str, body: bytes, /) -> tuple[int, bytes]:
        """Return the HTTP status and the body of the response.

        Args:
            address: the host and port of the worker.
            path: the path of the request.
            body: the body of the request.

        Raises:
            UnreachableError: the worker did not respond.
        """


class MachineReconciliation(TermComponent):
    """Determines which tasks the recorded machines run, by heartbeats and by direct queries."""

    def __init__(self, context: TermContext, direct: DirectRequest) -> None:
        super().__init__(context)
        self.direct = direct
        #: whether every machine that was recorded when the term began has been reconciled
        self.all_reconciled = False
        #: indices of machines with a query under way
        self.queries_under_way: set[int] = set()

    def check(self, now: float) -> None:
        """Release the unseen tasks of jobs whose possible holders have all been reconciled.

        Args:
            now: the current time of the monotonic clock, in seconds.
        """
        if self.all_reconciled:
            return
        reconciled, self.inventory.newly_reconciled = self.inventory.newly_reconciled, []
        for index in reconciled:
            for job in self.registry.clear_possible_holder(index):
                self._stop_incomplete_gang(job, now)
        if self.inventory.unreconciled_count:
            return
        self.all_reconciled = True
        log.info(LogEvent("machines_reconciled", token=self.token, after_s=now - self.context.started_at))
        self.registry.changed_since_scheduling = True

    def _stop_incomplete_gang(self, job: Job, now: float) -> None:
        """Stop a gang some of whose tasks run on no machine, as its other tasks cannot proceed without them."""
        if job.is_gang and job.is_live and job.allocations and len(job.allocations) < job.spec.tasks:
            self.dispatch.stop_job(job, "gang incomplete after takeover", 0.0, now)

    def select_machines_to_query(self, now: float) -> list[Machine]:
        """Return the machines to query now: unreconciled ones, not reachable ones, and those marked in `to_query`.

        Args:
            now: the current time of the monotonic clock, in seconds.
        """
        inventory = self.inventory
        wanted, inventory.to_query = inventory.to_query, set()
        due = inventory.unreconciled_machines()
        due += [m for m in inventory.machines if m.reception is not Reception.REACHABLE or m.index in wanted]
        free_queries = max(0, MAX_QUERIES - len(self.queries_under_way))
        ready = [
            m
            for m in dict.fromkeys(due)
            if m.index not in self.queries_under_way and now - m.last_queried_at >= QUERY_INTERVAL_S
        ]
        chosen = ready[:free_queries]
        inventory.to_query = wanted - {m.index for m in chosen}
        return chosen

    def query(self, machine: Machine) -> None:
        """Send a machine this term's token; the response lists the machine's tasks and proves that requests arrive.

        Unwanted tasks are stopped at once, as they would delay the reconciliation of the machine until its next
        heartbeat.
        """
        if machine.index in self.queries_under_way:
            return
        self.queries_under_way.add(machine.index)
        machine.last_queried_at = self.clock()
        try:
            self._query(machine)
        finally:
            self.queries_under_way.discard(machine.index)

    def _query(self, machine: Machine) -> None:
        known = machine.epoch, machine.sequence
        epoch = max(machine.epoch, 1)
        commands: list[Command] = []
        for _ in range(MAX_REQUESTS_PER_QUERY):
            try:
                status, heartbeat = self._send(machine, epoch, commands)
            except (UnreachableError, msgspec.DecodeError):
                self._record_missing_answer(machine)
                return
            if not self.writer.is_leader():
                return
            if heartbeat.token > self.token:
                self.election.challenge(heartbeat.token, f"{machine.name} has seen token {heartbeat.token}")
                return
            epoch = heartbeat.epoch
            if status == HTTP_OK or heartbeat.token == self.token:
                self.apply_direct_answer(machine, heartbeat, known)
                commands, sent = self.context.command_builder.unwanted_stops(heartbeat), commands
                if sent or not commands or machine.state is MachineState.GONE:
                    return
                known = machine.epoch, machine.sequence

    def _send(self, machine: Machine, epoch: int, commands: list[Command]) -> tuple[int, Heartbeat]:
        """Send direct commands, and return the HTTP status and the heartbeat of the response.

        Raises:
            UnreachableError: the worker did not respond.
            msgspec.DecodeError: the response contains no valid heartbeat.
        """
        body = msgspec.json.encode(DirectCommands(self.token, epoch, commands))
        status, answer = self.direct(machine.addr, DIRECT_PATH, body)
        return status, msgspec.json.decode(answer, type=Heartbeat)

    def _record_missing_answer(self, machine: Machine) -> None:
        if machine.reception is Reception.SUSPECTED and machine.state is not MachineState.GONE:
            reason = "does not answer direct queries"
            self.inventory.change_reception(machine, Reception.UNREACHABLE, reason, self.clock())

    def apply_direct_answer(self, machine: Machine, heartbeat: Heartbeat, known: tuple[int, int]) -> None:
        """Apply the heartbeat that a machine returned in response to a direct request.

        Args:
            machine: the machine that received the request.
            heartbeat: the heartbeat in the response of the machine.
            known: the machine's last known epoch and sequence when the request was sent.
        """
        now = self.clock()
        if heartbeat.machine != machine.name or machine.state is MachineState.GONE:
            return
        if (heartbeat.epoch, heartbeat.sequence) <= known:
            # the heartbeat was created after the request, so that it is no delayed copy: the worker has restarted its
            # counters
            self.context.reconciler.record_worker_restart(machine, heartbeat.epoch, now)
        self.context.reconciler.reconcile(heartbeat, now, solicited=True)
        self.check(now)

    def send_stops(self, machine: Machine) -> None:
        """Send requested stops directly to a worker, without waiting for the worker's next heartbeat."""
        commands: list[Command] = self.context.command_builder.requested_stops(machine)
        if not commands or machine.epoch == 0:
            return
        now = self.clock()
        for allocation in machine.allocations.values():
            if allocation.stop_reason is not None:
                allocation.stop_sent_at = now
        known = machine.epoch, machine.sequence
        try:
            _, heartbeat = self._send(machine, machine.epoch, commands)
        except (UnreachableError, msgspec.DecodeError) as error:
            # the response to the next heartbeat of the worker includes the same stops
            log.debug(LogEvent("direct_stop_failed", machine=machine.name, error=error))
            return
        if self.writer.is_leader():
            self.apply_direct_answer(machine, heartbeat, known)
