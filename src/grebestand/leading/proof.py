"""What machines of an earlier term may still run, and how each of them is proved or told directly."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from ..books.jobs import Job
from ..books.machine import Machine
from ..outside.http import Unreachable
from ..states import MachineState, Reception
from ..wire.workers import Command, DirectOrders, Report
from .basis import Basis, Part

log = logging.getLogger("grebestand.proof")

#: sends a direct order to a worker's address: (addr, path, body) -> (status, body)
Direct = Callable[[str, str, bytes], tuple[int, bytes]]
#: machines that are asked at a time, and the least time between two questions to one, in seconds
MOST_ASKED = 60
ASK_S = 1.4


class Proof(Part):
    def __init__(self, basis: Basis, direct: Direct) -> None:
        super().__init__(basis)
        self.direct = direct
        #: every machine on record at the takeover has been proved
        self.proved = False
        #: machines that are being asked
        self.asking: set[int] = set()

    def check(self, now: float) -> None:
        """Once every machine that may hold a job's tasks is proved, its unseen tasks are nowhere and may run."""
        if self.proved:
            return
        news, self.fleet.proved = self.fleet.proved, []
        for index in news:
            for job in self.ledger.prove(index):
                self._check_gang(job, now)
        if self.fleet.unproved_count:
            return
        self.proved = True
        log.info("term %d: all machines proved after %.1f s", self.token, now - self.basis.started_at)
        self.ledger.changed = True

    def _check_gang(self, job: Job, now: float) -> None:
        if job.gang and job.live and job.places and len(job.places) < job.spec.tasks:
            # part of the gang is nowhere: what is left of the attempt can only wait in vain
            self.dispatch.stop_job(job, "gang incomplete after takeover", 0.0, now)

    def to_ask(self, now: float) -> list[Machine]:
        """Machines to be asked directly now: those that are to be shown the token, and those that are not understood.

        At hundreds at once, their reports would have to wait.
        """
        fleet = self.fleet
        wanted, fleet.to_ask = fleet.to_ask, set()
        due = fleet.unproved()
        due += [m for m in fleet.machines if m.reception is not Reception.HEARS or m.index in wanted]
        free = max(0, MOST_ASKED - len(self.asking))
        found = [m for m in dict.fromkeys(due) if m.index not in self.asking and now - m.asked_at >= ASK_S]
        fleet.to_ask = wanted - {m.index for m in found[:free]}
        return found[:free]

    def ask(self, m: Machine) -> None:
        """Shows a machine this term's token directly; its answer proves what it holds, and that it hears."""
        if m.index in self.asking:
            return
        self.asking.add(m.index)
        m.asked_at = self.clock()
        try:
            known = m.session, m.seq
            session = max(m.session, 1)
            commands: list[Command] = []
            for _ in range(3):
                body = msgspec.json.encode(DirectOrders(self.token, session, commands))
                try:
                    status, answer = self.direct(m.addr, "/do", body)
                    report = msgspec.json.decode(answer, type=Report)
                except (Unreachable, msgspec.DecodeError):
                    if m.reception is Reception.DOUBTED and m.state is not MachineState.GONE:
                        self.fleet.receive(m, Reception.DEAF, "nor does it answer a question", self.clock())
                    return
                if not self.pen.entitled():
                    return
                if report.token > self.token:
                    self.leadership.challenge(report.token, f"{m.name} has seen token {report.token}")
                    return
                session = report.session
                if status == 200 or report.token == self.token:
                    self.take_direct(m, report, known)
                    # what is over must not stay until its next report; it keeps the machine from being proved, too
                    commands, told = self.basis.answers.unwanted(report), commands
                    if told or not commands or m.state is MachineState.GONE:
                        return
                    known = m.session, m.seq
        finally:
            self.asking.discard(m.index)

    def take_direct(self, m: Machine, report: Report, known: tuple[int, int]) -> None:
        """An answer to a question; `known` is what had been heard when it was asked."""
        now = self.clock()
        if report.machine != m.name or m.state is MachineState.GONE:
            return
        if (report.session, report.seq) <= known:
            # it was made just now, so it is no late copy: the worker has begun to count anew
            self.basis.reader.restarted(m, report.session, now)
        self.basis.reader.read(report, now, direct=True)
        self.check(now)

    def order_stops(self, m: Machine) -> None:
        """Stops that should not wait for the next report go straight to the worker."""
        commands: list[Command] = self.basis.answers.direct_stops(m)
        if not commands or m.session == 0:
            return
        now = self.clock()
        for place in m.places.values():
            if place.stop is not None:
                place.stop_sent_at = now
        known = m.session, m.seq
        body = msgspec.json.encode(DirectOrders(self.token, m.session, commands))
        try:
            _, answer = self.direct(m.addr, "/do", body)
            report = msgspec.json.decode(answer, type=Report)
        except (Unreachable, msgspec.DecodeError) as e:
            log.debug("%s cannot be told to stop: %s", m.name, e)
            return
        if self.pen.entitled():
            self.take_direct(m, report, known)
