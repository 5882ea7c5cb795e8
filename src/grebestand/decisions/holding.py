"""Whole slots that are kept for the next gang instead of being cut up for lower work.

The paper keeps spare slots of each type. Ours may be borrowed by work that can be displaced, and where gangs come one
after the other that throws work away: a machine that a gang has left is filled with small tasks within a second and
cleared for the next gang a few seconds later. Kept empty, a slot costs its cores for as long as it waits; with k of
them and `rate` tasks of gangs coming a second, the last one waits k / rate. So as many are kept as make that
`hold_spare_s`, which should be less than what a displaced task has lost on average. Where gangs seldom come, none is.
"""

from __future__ import annotations

from ..books.amounts import Amounts, how_many, minus, times
from ..books.jobs import Job
from ..books.machine import Machine
from .view import Decision, View


class Holding(Decision):
    def __init__(self, view: View) -> None:
        super().__init__(view)
        #: whole slots to be kept of each type of gangs, by its index
        self.keep: dict[int, int] = {}
        #: whole slots that there are, by type and machine, and their sums
        self._whole: dict[int, dict[int, int]] = {}
        self._sums: dict[int, int] = {}

    def begin(self, ready: list[Machine], now: float) -> None:
        """A full pass begins."""
        wanted = {k: int(self.knobs.hold_spare_s * t.rate(now)) for k, t in enumerate(self.ledger.types) if t.gangs}
        self.keep = {k: n for k, n in wanted.items() if n > 0}
        self._whole = {k: {} for k in self.keep}
        self._sums = dict.fromkeys(self.keep, 0)
        if self.keep:
            least = min(self.ledger.types[k].size[0] for k in self.keep)
            for m in ready:
                if m.free[0] >= least:
                    self.note(m)

    def note(self, m: Machine) -> None:
        """A machine's room has changed."""
        for k in self.keep:
            n = how_many(self.ledger.types[k].size, m.free) if m.reserved_for is None else 0
            before = self._whole[k].get(m.index, 0)
            if n != before:
                self._whole[k][m.index] = n
                self._sums[k] += n - before

    def concerns(self, m: Machine) -> bool:
        """Whether there is a whole slot on a machine that may have to be kept."""
        return any(whole.get(m.index) for whole in self._whole.values())

    def room(self, job: Job, m: Machine) -> Amounts:
        """What of a machine's free room a job may take: not what is kept for gangs of higher priority."""
        free = m.free
        for k in self.keep:
            t = self.ledger.types[k]
            whole = self._whole[k].get(m.index, 0)
            if whole and t.rank < job.rank and self._sums[k] <= self.keep[k]:
                free = minus(m.free, times(t.size, whole))
        return free
