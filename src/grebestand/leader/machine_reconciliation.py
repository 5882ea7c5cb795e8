"""What machines of an earlier term may still run, and how each of them is proved or told directly."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from ..clients.http import UnreachableError
from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..state_machines import MachineState, Reception
from ..wire.workers import Command, DirectCommands, Heartbeat
from .term_context import TermComponent, TermContext

log = logging.getLogger(__name__)

#: sends a direct order to a worker's address: (addr, path, body) -> (status, body)
Direct = Callable[[str, str, bytes], tuple[int, bytes]]
#: machines that are asked at a time, and the least time between two questions to one, in seconds
MOST_ASKED = 60
ASK_S = 1.4


class MachineReconciliation(TermComponent):
    def __init__(self, context: TermContext, direct: Direct) -> None:
        super().__init__(context)
        self.direct = direct
        #: every machine on record at the takeover has been proved
        self.proved = False
        #: machines that are being asked
        self.asking: set[int] = set()

    def check(self, now: float) -> None:
        """Once every machine that may hold a job's tasks is proved, its unseen tasks are nowhere and may run."""
        if self.proved:
            return
        news, self.inventory.proved = self.inventory.proved, []
        for index in news:
            for job in self.registry.clear_possible_holder(index):
                self._check_gang(job, now)
        if self.inventory.unreconciled_count:
            return
        self.proved = True
        log.info("term %d: all machines proved after %.1f s", self.token, now - self.context.started_at)
        self.registry.changed = True

    def _check_gang(self, job: Job, now: float) -> None:
        if job.gang and job.live and job.allocations and len(job.allocations) < job.spec.tasks:
            # part of the gang is nowhere: what is left of the attempt can only wait in vain
            self.dispatch.stop_job(job, "gang incomplete after takeover", 0.0, now)

    def to_query(self, now: float) -> list[Machine]:
        """Machines to be asked directly now: those that are to be shown the token, and those that are not understood.

        At hundreds at once, their reports would have to wait.
        """
        inventory = self.inventory
        wanted, inventory.to_query = inventory.to_query, set()
        due = inventory.unreconciled()
        due += [m for m in inventory.machines if m.reception is not Reception.REACHABLE or m.index in wanted]
        free = max(0, MOST_ASKED - len(self.asking))
        found = [m for m in dict.fromkeys(due) if m.index not in self.asking and now - m.asked_at >= ASK_S]
        inventory.to_query = wanted - {m.index for m in found[:free]}
        return found[:free]

    def ask(self, m: Machine) -> None:
        """Shows a machine this term's token directly; its answer proves what it holds, and that it hears."""
        if m.index in self.asking:
            return
        self.asking.add(m.index)
        m.asked_at = self.clock()
        try:
            known = m.epoch, m.sequence
            epoch = max(m.epoch, 1)
            commands: list[Command] = []
            for _ in range(3):
                body = msgspec.json.encode(DirectCommands(self.token, epoch, commands))
                try:
                    status, answer = self.direct(m.addr, "/do", body)
                    report = msgspec.json.decode(answer, type=Heartbeat)
                except (UnreachableError, msgspec.DecodeError):
                    if m.reception is Reception.SUSPECTED and m.state is not MachineState.GONE:
                        self.inventory.receive(m, Reception.UNREACHABLE, "nor does it answer a question", self.clock())
                    return
                if not self.writer.is_leader():
                    return
                if report.token > self.token:
                    self.election.challenge(report.token, f"{m.name} has seen token {report.token}")
                    return
                epoch = report.epoch
                if status == 200 or report.token == self.token:
                    self.take_direct(m, report, known)
                    # what is over must not stay until its next report; it keeps the machine from being proved, too
                    commands, told = self.context.command_builder.unwanted(report), commands
                    if told or not commands or m.state is MachineState.GONE:
                        return
                    known = m.epoch, m.sequence
        finally:
            self.asking.discard(m.index)

    def take_direct(self, m: Machine, report: Heartbeat, known: tuple[int, int]) -> None:
        """An answer to a question; `known` is what had been heard when it was asked."""
        now = self.clock()
        if report.machine != m.name or m.state is MachineState.GONE:
            return
        if (report.epoch, report.sequence) <= known:
            # it was made just now, so it is no late copy: the worker has begun to count anew
            self.context.reconciler.restarted(m, report.epoch, now)
        self.context.reconciler.read(report, now, solicited=True)
        self.check(now)

    def order_stops(self, m: Machine) -> None:
        """Stops that should not wait for the next report go straight to the worker."""
        commands: list[Command] = self.context.command_builder.direct_stops(m)
        if not commands or m.epoch == 0:
            return
        now = self.clock()
        for allocation in m.allocations.values():
            if allocation.stop is not None:
                allocation.stop_sent_at = now
        known = m.epoch, m.sequence
        body = msgspec.json.encode(DirectCommands(self.token, m.epoch, commands))
        try:
            _, answer = self.direct(m.addr, "/do", body)
            report = msgspec.json.decode(answer, type=Heartbeat)
        except (UnreachableError, msgspec.DecodeError) as e:
            log.debug("%s cannot be told to stop: %s", m.name, e)
            return
        if self.writer.is_leader():
            self.take_direct(m, report, known)
