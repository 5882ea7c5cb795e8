"""Reconciles the machines of an earlier term: asks each what it runs, and releases what is known to run nowhere."""

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
#: Machines queried at a time: with hundreds at once, heartbeats would have to wait.
MOST_ASKED = 60
#: The least time between two queries to one machine, in seconds.
QUERY_INTERVAL_S = 1.4
#: Requests of one query: the first may be answered under an older epoch, the next stops what is unwanted.
MAX_REQUESTS_PER_QUERY = 3
HTTP_OK = 200


class DirectRequest(Protocol):
    """Sends a request to a worker's own address."""

    def __call__(self, address: str, path: str, body: bytes, /) -> tuple[int, bytes]:
        """Return the status and the body of the answer.

        Raises:
            UnreachableError: no answer came.
        """


class MachineReconciliation(TermComponent):
    """Finds out what machines on record run, by their heartbeats and by direct queries."""

    def __init__(self, context: TermContext, direct: DirectRequest) -> None:
        super().__init__(context)
        self.direct = direct
        #: every machine that was on record when the term began has been reconciled
        self.all_reconciled = False
        #: indices of machines with a query under way
        self.queries_under_way: set[int] = set()

    def check(self, now: float) -> None:
        """Release the unseen tasks of jobs whose possible holders have all been reconciled."""
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
        """Stop a gang of which some tasks run nowhere: the others would wait for them in vain."""
        if job.is_gang and job.is_live and job.allocations and len(job.allocations) < job.spec.tasks:
            self.dispatch.stop_job(job, "gang incomplete after takeover", 0.0, now)

    def select_machines_to_query(self, now: float) -> list[Machine]:
        """Return the machines to query now: unreconciled ones, and those whose heartbeats are contradictory."""
        inventory = self.inventory
        wanted, inventory.to_query = inventory.to_query, set()
        due = inventory.unreconciled_machines()
        due += [m for m in inventory.machines if m.reception is not Reception.REACHABLE or m.index in wanted]
        free_queries = max(0, MOST_ASKED - len(self.queries_under_way))
        ready = [
            m
            for m in dict.fromkeys(due)
            if m.index not in self.queries_under_way and now - m.last_queried_at >= QUERY_INTERVAL_S
        ]
        chosen = ready[:free_queries]
        inventory.to_query = wanted - {m.index for m in chosen}
        return chosen

    def query(self, machine: Machine) -> None:
        """Show a machine this term's token; its answer says what it runs, and that requests arrive there.

        Unwanted tasks are stopped at once: until its next heartbeat they would keep it from being reconciled.
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
        """Send direct commands and return the status and the heartbeat of the answer.

        Raises:
            UnreachableError: no answer came.
            msgspec.DecodeError: the answer holds no heartbeat.
        """
        body = msgspec.json.encode(DirectCommands(self.token, epoch, commands))
        status, answer = self.direct(machine.addr, DIRECT_PATH, body)
        return status, msgspec.json.decode(answer, type=Heartbeat)

    def _record_missing_answer(self, machine: Machine) -> None:
        if machine.reception is Reception.SUSPECTED and machine.state is not MachineState.GONE:
            reason = "does not answer direct queries"
            self.inventory.change_reception(machine, Reception.UNREACHABLE, reason, self.clock())

    def apply_direct_answer(self, machine: Machine, heartbeat: Heartbeat, known: tuple[int, int]) -> None:
        """Apply the heartbeat with which a machine answered a direct request.

        Args:
            machine: the machine that was asked.
            heartbeat: its answer.
            known: the machine's last known epoch and sequence when the request was sent.
        """
        now = self.clock()
        if heartbeat.machine != machine.name or machine.state is MachineState.GONE:
            return
        if (heartbeat.epoch, heartbeat.sequence) <= known:
            # it was made after the request, so it is no late copy: the worker has restarted its counters
            self.context.reconciler.record_worker_restart(machine, heartbeat.epoch, now)
        self.context.reconciler.reconcile(heartbeat, now, solicited=True)
        self.check(now)

    def send_stops(self, machine: Machine) -> None:
        """Send those stops to a worker that should not wait for its next heartbeat."""
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
            # the answer to its next heartbeat carries the same stops
            log.debug(LogEvent("direct_stop_failed", machine=machine.name, error=error))
            return
        if self.writer.is_leader():
            self.apply_direct_answer(machine, heartbeat, known)
