"""Answers workers' reports: reads them, fills their room, waits a moment for grants, and writes the commands."""

from __future__ import annotations

from ..states import LeaderState, MachineState
from ..wire.workers import Orders, Report
from .basis import Basis, Part
from .grants import Grants
from .pace import Pace
from .proof import Proof
from .rentals import Rentals

#: how long a report waits for its starts' grants before it is answered without them
GRANT_WAIT_S = 0.25


class Checkins(Part):
    def __init__(self, basis: Basis, proof: Proof, grants: Grants, rentals: Rentals, pace: Pace) -> None:
        super().__init__(basis)
        self.proof = proof
        self.grants = grants
        self.rentals = rentals
        self.pace = pace
        #: when a worker last reported, and whether one has in this term
        self.heard_at = self.clock()
        self.first_heard = False

    def hear(self, report: Report) -> bool:
        """Notes that a worker reports; False if this term may not answer. One that has seen a higher token ends it."""
        if not self.pen.entitled():
            return False
        if report.token > self.token:
            self.leadership.lose(f"{report.machine} has seen a higher token")
            return False
        self.heard_at, self.first_heard = self.clock(), True
        return True

    def take(self, report: Report) -> Orders | None:
        """The answer to a report; None while this controller may not answer."""
        if not self.hear(report):
            return None
        now = self.clock()
        m = self.basis.reader.read(report, now, direct=False)
        if m is None:
            # an old report: its worker has gone on and will drop this
            return Orders(self.token, [])
        self.rentals.expected.pop(m.name, None)
        self.proof.check(now)
        if m.state is MachineState.GONE:
            return Orders(self.token, [])
        self.pace.step(now)
        if self.leadership.state is LeaderState.LEADING:
            self.basis.scheduler.fill(m, now)
        if self.basis.answers.uncovered(m):
            # one that is under way may have begun too early for these, so a second one is waited for; but never
            # for long: workers whose reports are not answered in time take this leader for gone
            for _ in range(2):
                if self.basis.answers.uncovered(m):
                    self.grants.covering().join(timeout=GRANT_WAIT_S)
            now = self.clock()
        if not self.pen.entitled():
            return None  # the wait, or a pass, took so long that the authority ran out meanwhile
        if (m.session, m.seq) != (report.session, report.seq):
            return Orders(self.token, [])  # a newer report came meanwhile
        commands = self.basis.answers.commands(m, report, now)
        m.given_at = now
        return Orders(self.token, commands)
