"""What machines of an earlier term may still run, and how each of them is proved or told directly."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from ..books.jobs import Job
from ..books.machine import Machine
from ..outside.http import Unreachable
from ..wire.workers import Command, DirectOrders, Report
from .basis import Basis, Part

log = logging.getLogger("grebestand.proof")

#: sends a direct order to a worker's address: (addr, path, body) -> (status, body)
Direct = Callable[[str, str, bytes], tuple[int, bytes]]
MOST_FENCES = 60


class Proof(Part):
    def __init__(self, basis: Basis, direct: Direct) -> None:
        super().__init__(basis)
        self.direct = direct
        #: every machine on record at the takeover has been proved
        self.proved = False
        #: machines that are being shown the token
        self.fencing: set[int] = set()

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

    def to_fence(self) -> list[Machine]:
        """Machines to be shown the token directly; at hundreds at once, their reports would have to wait."""
        due = [m for m in self.fleet.unproved() if m.index not in self.fencing]
        return due[: max(0, MOST_FENCES - len(self.fencing))]

    def fence(self, m: Machine) -> None:
        """Shows a machine this term's token directly; its answer proves what it holds."""
        if m.index in self.fencing:
            return
        self.fencing.add(m.index)
        try:
            session = max(m.session, 1)
            for _ in range(2):
                body = msgspec.json.encode(DirectOrders(self.token, session, []))
                try:
                    status, answer = self.direct(m.addr, "/do", body)
                    report = msgspec.json.decode(answer, type=Report)
                except (Unreachable, msgspec.DecodeError):
                    return
                if not self.pen.entitled():
                    return
                if report.token > self.token:
                    self.leadership.lose(f"{m.name} has seen a higher token")
                    return
                if status == 200 or report.token == self.token:
                    self.take_direct(m, report)
                    return
                session = report.session
        finally:
            self.fencing.discard(m.index)

    def take_direct(self, m: Machine, report: Report) -> None:
        now = self.clock()
        if report.machine == m.name:
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
        body = msgspec.json.encode(DirectOrders(self.token, m.session, commands))
        try:
            _, answer = self.direct(m.addr, "/do", body)
            report = msgspec.json.decode(answer, type=Report)
        except (Unreachable, msgspec.DecodeError) as e:
            log.debug("%s cannot be told to stop: %s", m.name, e)
            return
        if self.pen.entitled():
            self.take_direct(m, report)
