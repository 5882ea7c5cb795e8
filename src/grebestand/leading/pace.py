"""When targets are set and passes made, and for how long the leader then answers workers and users instead."""

from __future__ import annotations

import math

from ..limits.load import Load
from ..states import LeaderState
from .basis import Basis, Part
from .proof import Proof

ARRIVAL_GAP_S = 0.5
#: after a computation the leader answers workers and users for so many times as long as it took
REST = 6.0


class Pace(Part):
    def __init__(self, basis: Basis, proof: Proof, load: Load) -> None:
        super().__init__(basis)
        self.proof = proof
        self.load = load
        self.scheduler = basis.scheduler
        self.place_after = self.retarget_after = -math.inf

    def step(self, now: float) -> None:
        if self.leadership.state is not LeaderState.LEADING:
            return
        ledger = self.ledger
        since = now - self.scheduler.retargeted_at
        # the paper updates at every arrival; here an arrival brings the next computation forward
        due = since >= self.scheduler.view.knobs.period_s or (ledger.arrived and since >= ARRIVAL_GAP_S)
        if due and now >= self.retarget_after:
            ledger.arrived = False
            self.fleet.sweep_silence(now)
            self.proof.check(now)
            self.scheduler.retarget(now, self.load.spare)
            end = self.clock()
            self.retarget_after = end + REST * (end - now)
            ledger.changed = True
        if ledger.changed and now >= self.place_after:
            begin = self.clock()
            self.scheduler.place(now)
            ledger.changed = False
            end = self.clock()
            self.place_after = end + REST * (end - begin)
